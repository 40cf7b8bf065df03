package logs

import (
	"sync"
	"time"
)

// Budget is a rate limiter for log lines: it limits the lines of each event per second, so that
// many lines of one event neither cost much time nor hide those of others. The next line of the
// event that is allowed reports how many were suppressed. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// perSecond is the number of lines of one event that are allowed per second.
	perSecond int
	events    map[string]*eventCount
}

// eventCount counts the lines of one event.
type eventCount struct {
	second     int64 // Unix time in seconds that lines refers to
	lines      int   // lines allowed in that second
	suppressed int   // lines suppressed since the last allowed one
}

// NewBudget returns a Budget that allows perSecond lines of each event per second.
func NewBudget(perSecond int) *Budget {
	return &Budget{perSecond: perSecond, events: make(map[string]*eventCount)}
}

// Allow reports whether a line of an event may be written now, and how many lines of the event were
// suppressed since the last one that was allowed.
func (b *Budget) Allow(event string, now time.Time) (ok bool, suppressed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := b.events[event]
	if count == nil {
		count = &eventCount{}
		b.events[event] = count
	}
	if second := now.Unix(); second != count.second {
		count.second, count.lines = second, 0
	}
	if count.lines >= b.perSecond {
		count.suppressed++
		return false, 0
	}
	count.lines++
	suppressed, count.suppressed = count.suppressed, 0
	return true, suppressed
}
