// Package eventloop provides the bounded queue through which goroutines pass events to the event
// loop, the one goroutine that owns a decision core.
package eventloop

import "time"

// Event is a call of the core that the event loop makes at the time now.
type Event[C any] func(core C, now time.Time)

// Batch is the batch size of most event loops: the number of further events that they handle before
// they execute the output of the core.
const Batch = 64

// Ring is the bounded queue of events that wait for the event loop.
type Ring[C any] struct {
	events  chan Event[C]
	batch   int
	stopped <-chan struct{}
}

// New returns a queue of up to size events, of which Take handles up to batch further ones at a time.
// Once stopped is closed, Post no longer waits.
func New[C any](size, batch int, stopped <-chan struct{}) *Ring[C] {
	return &Ring[C]{events: make(chan Event[C], size), batch: batch, stopped: stopped}
}

// Len returns the number of waiting events.
func (r *Ring[C]) Len() int { return len(r.events) }

// Next returns the channel from which the event loop receives the first event of a batch.
func (r *Ring[C]) Next() <-chan Event[C] { return r.events }

// Post queues an event. It waits while the queue is full, unless the event loop has stopped; then it
// may drop the event.
func (r *Ring[C]) Post(e Event[C]) {
	select {
	case r.events <- e:
	case <-r.stopped:
	}
}

// TryPost queues an event unless the queue is full, and reports whether it was queued.
func (r *Ring[C]) TryPost(e Event[C]) bool {
	select {
	case r.events <- e:
		return true
	default:
		return false
	}
}

// Take handles the first event and up to a batch of the events that wait behind it.
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
