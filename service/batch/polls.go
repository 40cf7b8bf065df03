package batch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Each entry keeps two long polls open at the store: one for changes of the operator state and one
// for changes of durable jobs. A poll returns at once when there is a change. The longest wait
// without a change decides how many calls an idle fleet makes to the store, and how soon a dead
// connection is detected. Entries also pass on changes of the operator state, and the age of their
// view, to each other. In a large fleet polls may therefore wait longer, as long as this entry has
// exchanges with others.

const (
	// minPollWait is the wait in a small fleet, or without exchanges with other entries. A dead
	// connection is detected after this time, which is within the time in which a new configuration
	// must be in force.
	minPollWait = 1500 * time.Millisecond
	// pollWaitPerEntry is the intended time between two polls of the operator state that return
	// anywhere in the fleet. What they confirm reaches all entries after a few exchanges.
	pollWaitPerEntry = 30 * time.Millisecond
	// maxPollWait keeps the delay of a new configuration within its limit also for an entry that
	// has just lost all its exchanges.
	maxPollWait = 6 * time.Second
	// jobPollWait is the wait for changes of durable jobs while there are any.
	jobPollWait = time.Second
)

// pollWait returns how long a poll may wait, for the number of live entries and of open exchanges.
// It is between half of the longest wait and all of it, as draw is between 0 and 1. Without the
// random part, entries that have started together would all poll at the same times, and nothing
// would confirm the operator state in between.
func pollWait(entries, exchanges int, draw float64) time.Duration {
	if exchanges == 0 {
		return minPollWait
	}
	longest := min(time.Duration(entries)*pollWaitPerEntry, maxPollWait)
	return max(time.Duration((1+draw)/2*float64(longest)), minPollWait)
}

// nextPollWait returns how long the next poll of this entry may wait.
func (e *Entry) nextPollWait() time.Duration {
	return pollWait(e.peers.aliveCount(), e.peers.exchangeCount(), rand.Float64())
}

// pollSet has the waiting polls, so that they can be cancelled when they should wait less long.
type pollSet struct {
	mu     sync.Mutex
	cancel map[*pollID]context.CancelFunc
	// alone is set while there is no exchange with another entry.
	alone bool
}

// pollID identifies a waiting poll by its address.
type pollID struct{ _ byte } // not empty, so that each has an address of its own

// begin registers a poll and returns its context. done must be called when the poll has returned.
func (s *pollSet) begin(ctx context.Context) (call context.Context, done func()) {
	call, cancel := context.WithCancel(ctx)
	id := &pollID{}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil {
		s.cancel = make(map[*pollID]context.CancelFunc)
	}
	s.cancel[id] = cancel
	return call, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancel, id)
		cancel()
	}
}

// cancelAll cancels all waiting polls. Their callers start new ones.
func (s *pollSet) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.cancel {
		cancel()
	}
}

// setExchangeCount cancels the waiting polls when the last exchange is lost.
func (s *pollSet) setExchangeCount(exchanges int) {
	alone := exchanges == 0
	s.mu.Lock()
	lost := alone && !s.alone
	s.alone = alone
	s.mu.Unlock()
	if lost {
		s.cancelAll()
	}
}
