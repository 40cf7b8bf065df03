package batch

import "time"

// Standard returns the settings that do not depend on the deployment.
func Standard() Settings {
	return Settings{
		Beat: 100 * time.Millisecond, IdleBeat: 500 * time.Millisecond,
		// Three missed heartbeats of an idle link.
		SilentAfter: 1600 * time.Millisecond,
		// Several ticks of the event loop, and less than the owner lease.
		StallLimit: 350 * time.Millisecond,
		Settling:   100 * time.Millisecond,
		// The round trip to another data centre takes 1 to 1.8 ms. The rest is a margin against
		// needless traffic between data centres.
		CrossCost: 4 * time.Millisecond,
		// The round trips to the caller and to the worker.
		Overhead: 10 * time.Millisecond,
	}
}
