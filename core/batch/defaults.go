package batch

import (
	"time"

	"peridotpick.example/core/admission"
)

// DefaultSettings returns the settings that do not depend on the deployment.
func DefaultSettings() Settings {
	return Settings{
		HeartbeatInterval: 100 * time.Millisecond, IdleHeartbeatInterval: 500 * time.Millisecond,
		// Three missed heartbeats of an idle link.
		SilenceTimeout: 1600 * time.Millisecond,
		// Several ticks of the event loop, and less than the owner lease.
		SuspensionThreshold: 350 * time.Millisecond,
		SettleTime:          100 * time.Millisecond,
		// The round trip to another data centre takes 1 to 1.8 ms. The rest is a margin against
		// needless traffic between data centres.
		CrossDataCentreCost: 4 * time.Millisecond,
		// The round trips to the caller and to the worker.
		Overhead:      10 * time.Millisecond,
		PriorityFloor: admission.DefaultFloor,
	}
}
