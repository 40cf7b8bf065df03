// Package lifecycle runs the duties of a process until it is asked to end, then lets it
// drain. Entries and agents of both kinds share it.
package lifecycle

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// Duty is what one goroutine of a process does until its context ends.
type Duty func(ctx context.Context) error

// Process is what Run needs of a process.
type Process struct {
	// Work is the context of all duties, Abort ends it.
	Work  context.Context
	Abort func()
	// Drain lets work that has begun end, once the process is asked to end; nil if nothing
	// is to be waited for. It must return when Work ends.
	Drain func(work context.Context)
}

// Run carries out duties until ctx ends, or one of them fails. It returns the first error of
// a duty.
func Run(ctx context.Context, p Process, duties ...Duty) error {
	defer p.Abort()
	group, work := errgroup.WithContext(p.Work)
	for _, duty := range duties {
		group.Go(func() error { return duty(work) })
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

// idlePoll is how often a draining process looks whether it is idle.
const idlePoll = 20 * time.Millisecond

// AwaitIdle waits until a draining process is idle, a time has passed or its work has ended.
// It reports whether the process is idle.
func AwaitIdle(work context.Context, limit time.Duration, idle func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && work.Err() == nil {
		if idle() {
			return true
		}
		time.Sleep(idlePoll)
	}
	return false
}
