// Package eventloop provides the bounded queue through which goroutines pass events to the event
// loop, the one goroutine that owns a decision core.
package eventloop

import "time"

// Event is a call of the core that the event loop makes at the time now.
type Event[C any] func(core C, now time.Time)

// DefaultBatch is the batch size of most event loops: the number of further events that they handle
// before they execute the output of the core.
const DefaultBatch = 64

// Queue is the bounded queue of events that wait for the event loop.
type Queue[C any] struct {
	events  chan Event[C]
	batch   int
	stopped <-chan struct{}
}

// New returns a queue of up to size events, of which HandleBatch handles up to batch further ones at
// a time. Once stopped is closed, Post does not wait.
func New[C any](size, batch int, stopped <-chan struct{}) *Queue[C] {
	return &Queue[C]{events: make(chan Event[C], size), batch: batch, stopped: stopped}
}

// Len returns the number of waiting events.
func (q *Queue[C]) Len() int { return len(q.events) }

// Events returns the channel from which the event loop receives the first event of a batch.
func (q *Queue[C]) Events() <-chan Event[C] { return q.events }

// Post queues an event. It waits while the queue is full, unless the event loop has stopped; then it
// may drop the event.
func (q *Queue[C]) Post(e Event[C]) {
	select {
	case q.events <- e:
	case <-q.stopped:
	}
}

// TryPost queues an event unless the queue is full, and reports whether it was queued.
func (q *Queue[C]) TryPost(e Event[C]) bool {
	select {
	case q.events <- e:
		return true
	default:
		return false
	}
}

// HandleBatch handles the first event and up to a batch of the events that wait behind it.
func (q *Queue[C]) HandleBatch(first Event[C], core C, now time.Time) {
	first(core, now)
	for range q.batch {
		select {
		case e := <-q.events:
			e(core, now)
		default:
			return
		}
	}
}
