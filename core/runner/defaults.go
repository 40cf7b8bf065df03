package runner

import "time"

// Standard returns the settings with the times that no file names, the same for
// each deployment.
func Standard() Settings {
	return Settings{
		// It bounds the age of what is known of the progress of runs.
		LookWait: 60 * time.Millisecond,
		// What an entry needs to find a new agent process.
		AdoptWithin: 250 * time.Millisecond,
		Beat:        100 * time.Millisecond, IdleBeat: 500 * time.Millisecond,
		// Some four rounds of a full worker.
		QueueLimit: 64,
		LateFactor: 1.5,
		// Twice the time in which an entry in reach of the store confirms its view.
		DrainsWithin: 3 * time.Second,
	}
}
