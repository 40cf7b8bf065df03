package runner

import "time"

// DefaultSettings returns the settings that are equal in all deployments.
func DefaultSettings() Settings {
	return Settings{
		// Bounds the age of the known progress of runs.
		PollWait: 60 * time.Millisecond,
		// The time that an entry needs to find a new agent process.
		AdoptTimeout:      250 * time.Millisecond,
		HeartbeatInterval: 100 * time.Millisecond, IdleHeartbeatInterval: 500 * time.Millisecond,
		// About four rounds of starts of a full worker.
		QueueLimit:           64,
		ProgressReportFactor: 1.5,
		// Twice the interval at which an entry that reaches the store confirms its view.
		DrainViewMaxAge: 3 * time.Second,
	}
}
