package runner

import "time"

// Standard returns the settings that are equal in all deployments.
func Standard() Settings {
	return Settings{
		// Bounds the age of the known progress of runs.
		LookWait: 60 * time.Millisecond,
		// The time that an entry needs to find a new agent process.
		AdoptWithin: 250 * time.Millisecond,
		Beat:        100 * time.Millisecond, IdleBeat: 500 * time.Millisecond,
		// About four rounds of starts of a full worker.
		QueueLimit: 64,
		LateFactor: 1.5,
		// Twice the interval at which an entry that reaches the store confirms its view.
		DrainsWithin: 3 * time.Second,
	}
}
