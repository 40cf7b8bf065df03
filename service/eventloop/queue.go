// Package eventloop provides the bounded queue through which goroutines pass events to the event
// loop, the one goroutine that owns a decision core.
package eventloop

import "time"

// Event is a call of the core that the event loop makes at the time now.
type Event[C any] func(core C, now time.Time)

// DefaultBatch is the batch size of most event loops: the number of further events that they handle before
// they execute the output of the core.
const DefaultBatch = 64

// Queue is the bounded queue of events that wait for the event loop.
type Queue[C any] struct {
	events  chan Event[C]
	batch   int
	stopped <-chan struct{}
}

// New returns a queue of up to size events, of which Take handles up to batch further ones at a time.
// Once stopped is closed, Post no longer waits.
func New[C any](size, batch int, stopped <-chan struct{}) *Queue[C] {
	return &Queue[C]{events: make(chan Event[C], size), batch: batch, stopped: stopped}
}

// Len returns the number of waiting events.
func (r *Queue[C]) Len() int { return len(r.events) }

// Events returns the channel from which the event loop receives the first event of a batch.
func (r *Queue[C]) Events() <-chan Event[C] { return r.events }

// Post queues an event. It waits while the queue is full, unless the event loop has stopped; then it
// may drop the event.
func (r *Queue[C]) Post(e Event[C]) {
	select {
	case r.events <- e:
	case <-r.stopped:
	}
}

// TryPost queues an event unless the queue is full, and reports whether it was queued.
func (r *Queue[C]) TryPost(e Event[C]) bool {
	select {
	case r.events <- e:
		return true
	default:
		return false
	}
}

// HandleBatch handles the first event and up to a batch of the events that wait behind it.
func (r *Queue[C]) HandleBatch(first Event[C], core C, now time.Time) {
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
