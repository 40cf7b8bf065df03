package dispatch

import (
	"container/heap"
	"time"

	"peridotpick.example/core/rank"
)

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerPeer
	timerCandidates
	timerHedge
	timerOverdue
	timerLapse
	timerReclaim
	// timerUnknown gives a claim of unknown fate up.
	timerUnknown
	// timerWaiter ends the wait of a caller that attached to a submission.
	timerWaiter
)

// timer is one entry of the heap. A timer whose job has ended is skipped.
type timer struct {
	at   time.Time
	kind timerKind
	job  *job
	task *task
	// agent and attempt name the flight that the timer is about.
	agent   rank.ID
	attempt uint32
	// request is the caller whose wait ends.
	request uint64
	pos     int
	seq     uint64
}

func (c *Core) after(at time.Time, t timer) *timer {
	t.at = at
	c.timerSeq++
	t.seq = c.timerSeq
	armed := &t
	heap.Push(&c.timers, armed)
	return armed
}

func (c *Core) disarm(t *timer) {
	if t != nil && t.pos >= 0 {
		heap.Remove(&c.timers, t.pos)
	}
}

func (c *Core) runTimers(now time.Time) {
	for len(c.timers) > 0 && !now.Before(c.timers[0].at) {
		t := heap.Pop(&c.timers).(*timer)
		if t.job.ended {
			continue
		}
		c.fire(now, t)
	}
}

func (c *Core) fire(now time.Time, t *timer) {
	switch t.kind {
	case timerDeadline:
		c.deadlinePassed(now, t.job)
	case timerPeer:
		c.askOwner(t.job)
	case timerCandidates:
		c.widen(now, t.job)
	case timerHedge:
		c.hedgeStraggler(now, t.task, t.agent, t.attempt)
	case timerOverdue:
		c.markOverdue(t.task, t.agent, t.attempt)
	case timerLapse:
		c.lapsed(now, t.task, t.agent)
	case timerUnknown:
		c.claimStillUnknown(t.job, t.request)
	case timerWaiter:
		c.waitOver(now, t.job, t.request)
	case timerReclaim:
		c.writeFreshClaim(now, t.job)
	}
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos = i
	h[j].pos = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.pos = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.pos = -1
	*h = old[:len(old)-1]
	return last
}
