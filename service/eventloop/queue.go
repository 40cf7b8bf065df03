// Package eventloop has the bounded ring through which goroutines hand events to
// the one loop that owns a decision core.
package eventloop

import "time"

// Event is something that happened, for the core.
type Event[C any] func(core C, now time.Time)

// Batch bounds the events that most loops take before their output is carried out.
const Batch = 64

// Ring holds the events that wait for the loop.
type Ring[C any] struct {
	events  chan Event[C]
	batch   int
	stopped <-chan struct{}
}

// New returns a ring for a number of events, of which a batch is taken at a time; posting
// to it ends when stopped is closed.
func New[C any](size, batch int, stopped <-chan struct{}) *Ring[C] {
	return &Ring[C]{events: make(chan Event[C], size), batch: batch, stopped: stopped}
}

// Len returns the number of events that wait.
func (r *Ring[C]) Len() int { return len(r.events) }

// Next returns the channel from which the loop takes the first event of a batch.
func (r *Ring[C]) Next() <-chan Event[C] { return r.events }

// Post hands an event over. It waits while the ring is full, unless the loop has stopped.
func (r *Ring[C]) Post(e Event[C]) {
	select {
	case r.events <- e:
	case <-r.stopped:
	}
}

// TryPost hands an event over if there is room, and reports whether there was.
func (r *Ring[C]) TryPost(e Event[C]) bool {
	select {
	case r.events <- e:
		return true
	default:
		return false
	}
}

// Take has the core handle an event and those that wait behind it, up to a batch.
func (r *Ring[C]) Take(first Event[C], core C, now time.Time) {
	first(core, now)
	for range r.batch {
		select {
		case e := <-r.events:
			e(core, now)
		default:
			return
		}
	}
}
