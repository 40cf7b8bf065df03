package batch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Each entry keeps two calls waiting at the store, for changes of the operator's wishes and
// of durable jobs. Such a call returns at once when there is a change; how long it may wait
// without one decides what a fleet at rest costs the store, and how soon a connection that
// went silent is found. Other entries pass changes of the operator's wishes on, and how
// old their views are; so the calls of a large fleet may wait longer, as long as this
// entry hears the others.

const (
	// waitShort is how long a call waits in a small fleet, or where no other entry is heard:
	// a connection that went silent is found after that, within the bound for new
	// configurations.
	waitShort = 1500 * time.Millisecond
	// waitEach is the time between two confirmations of the operator's wishes anywhere in
	// the fleet: they reach all entries within a few exchanges.
	waitEach = 30 * time.Millisecond
	// waitLong keeps what an entry that loses all others may miss within the bound, too.
	waitLong = 6 * time.Second
	// followShort is how long a look at durable jobs waits while there are some.
	followShort = time.Second
)

// storeWait is how long a call may wait in a fleet of a size. The part of it is drawn from
// draw, which is from 0 up to 1: entries that have started at once would confirm what they
// know at once, too, and nobody in between.
func storeWait(entries, exchanges int, draw float64) time.Duration {
	if exchanges == 0 {
		return waitShort
	}
	longest := min(time.Duration(entries)*waitEach, waitLong)
	return max(time.Duration((1+draw)/2*float64(longest)), waitShort)
}

// storeWait is how long this entry's next call may wait.
func (e *Entry) storeWait() time.Duration {
	return storeWait(e.peers.count(), e.peers.exchanges(), rand.Float64())
}

// storeWaits ends waiting calls early that should not wait as long any more.
type storeWaits struct {
	mu     sync.Mutex
	cancel map[*waitingCall]context.CancelFunc
	// alone is set while no other entry is heard.
	alone bool
}

// waitingCall names one waiting call.
type waitingCall struct{ _ byte } // not empty: its address tells it apart

// begin registers a call that waits. done must be called at its end.
func (w *storeWaits) begin(ctx context.Context) (call context.Context, done func()) {
	call, cancel := context.WithCancel(ctx)
	id := &waitingCall{}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel == nil {
		w.cancel = make(map[*waitingCall]context.CancelFunc)
	}
	w.cancel[id] = cancel
	return call, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.cancel, id)
		cancel()
	}
}

// end ends all waiting calls; they are made anew.
func (w *storeWaits) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancel {
		cancel()
	}
}

// judge ends the waiting calls when the last exchange with another entry is lost.
func (w *storeWaits) judge(exchanges int) {
	alone := exchanges == 0
	w.mu.Lock()
	lost := alone && !w.alone
	w.alone = alone
	w.mu.Unlock()
	if lost {
		w.end()
	}
}
