package logs

import (
	"sync"
	"time"
)

// Budget bounds the lines of each event per second, so that a flood of one kind
// neither costs much nor hides the others. What was left out is told by the next
// line of the same event.
type Budget struct {
	mu sync.Mutex
	// perSecond is the number of lines of one event.
	perSecond int
	events    map[string]*spending
}

type spending struct {
	second  int64
	lines   int
	leftOut int
}

// NewBudget returns a budget of lines of each event per second.
func NewBudget(perSecond int) *Budget {
	return &Budget{perSecond: perSecond, events: make(map[string]*spending)}
}

// Allow reports whether a line of an event may be written now, and how many were
// left out since the last.
func (b *Budget) Allow(event string, now time.Time) (ok bool, leftOut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.events[event]
	if s == nil {
		s = &spending{}
		b.events[event] = s
	}
	if second := now.Unix(); second != s.second {
		s.second, s.lines = second, 0
	}
	if s.lines >= b.perSecond {
		s.leftOut++
		return false, 0
	}
	s.lines++
	leftOut, s.leftOut = s.leftOut, 0
	return true, leftOut
}
