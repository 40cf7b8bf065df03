// Package lifecycle runs the goroutines of a process until it is asked to stop, and then lets it
// drain. Entries and agents use it.
package lifecycle

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// Routine is a function that one goroutine of a process runs until its context ends.
type Routine func(ctx context.Context) error

// Process describes a process to Run.
type Process struct {
	// Work is the parent context of all routines; Abort cancels it.
	Work  context.Context
	Abort func()
	// Drain is called once when the process is asked to stop, and waits for work that has begun.
	// It is nil if there is nothing to wait for. It must return when its context ends.
	Drain func(work context.Context)
}

// Run runs the routines until ctx ends or one of them fails. When ctx ends, it drains the process
// before it stops the routines. It returns the first error of a routine.
func Run(ctx context.Context, p Process, routines ...Routine) error {
	defer p.Abort()
	group, work := errgroup.WithContext(p.Work)
	for _, routine := range routines {
		group.Go(func() error { return routine(work) })
	}
	select {
	case <-ctx.Done():
		if p.Drain != nil {
			p.Drain(work)
		}
	case <-work.Done():
	}
	p.Abort()
	return group.Wait()
}

// idlePollInterval is the interval at which AwaitIdle calls its function.
const idlePollInterval = 20 * time.Millisecond

// AwaitIdle waits until idle returns true, for at most limit or until work ends. It reports whether
// idle has returned true.
func AwaitIdle(work context.Context, limit time.Duration, idle func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && work.Err() == nil {
		if idle() {
			return true
		}
		time.Sleep(idlePollInterval)
	}
	return false
}
