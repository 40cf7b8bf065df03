package batch

import "time"

// Standard returns the settings with the times that no file names, the same for
// each deployment.
func Standard() Settings {
	return Settings{
		Beat: 100 * time.Millisecond, IdleBeat: 500 * time.Millisecond,
		// Three missed beats of an idle link.
		SilentAfter: 1600 * time.Millisecond,
		// Several ticks of the loop, and below the lease.
		StallLimit: 350 * time.Millisecond,
		Settling:   100 * time.Millisecond,
		// The way to another data centre and back, in the users' deployments 1 and
		// 1.8 ms, with some margin against needless traffic.
		CrossCost: 4 * time.Millisecond,
		// The way from and to a caller and to a worker and back.
		Overhead: 10 * time.Millisecond,
	}
}
