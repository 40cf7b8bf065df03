package dispatch

import (
	"container/heap"
	"time"

	"peridotpick.example/core/rank"
)

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	// timerDeadline: the deadline of the submission.
	timerDeadline timerKind = iota
	// timerAskOwner asks the owner for the outcome again.
	timerAskOwner
	// timerWidenClaim adds candidates to the claim.
	timerWidenClaim
	// timerHedge: the attempt has run for so long that the task may be hedged.
	timerHedge
	// timerOverdue: the attempt has run for so long that it counts against its agent.
	timerOverdue
	// timerRetryInDoubt starts a task in doubt again.
	timerRetryInDoubt
	// timerClaimWrite requests the claim write that the phase needs.
	timerClaimWrite
	// timerClaimUnknown gives up a claim whose write still has an unknown status.
	timerClaimUnknown
	// timerWaiterDeadline: the deadline of a caller that is attached to the submission.
	timerWaiterDeadline
)

// timer is an element of the timer heap. A timer whose submission has ended is skipped.
type timer struct {
	at   time.Time
	kind timerKind
	sub  *submission
	task *task
	// agent and attempt identify the attempt of task that the timer is for.
	agent   rank.ID
	attempt uint32
	// request is the waiter of timerWaiterDeadline, or the nonce of the write of timerClaimUnknown.
	request uint64
	// index is the position in the heap, -1 if the timer is not in it.
	index int
	// seq is the order of creation.
	seq uint64
}

// addTimer adds a timer that fires at the given time.
func (c *Core) addTimer(at time.Time, t timer) *timer {
	t.at = at
	c.timerSeq++
	t.seq = c.timerSeq
	added := &t
	heap.Push(&c.timers, added)
	return added
}

// removeTimer removes a timer that has not fired. It accepts nil.
func (c *Core) removeTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&c.timers, t.index)
	}
}

// runTimers fires the timers that are due.
func (c *Core) runTimers(now time.Time) {
	for len(c.timers) > 0 && !now.Before(c.timers[0].at) {
		t := heap.Pop(&c.timers).(*timer)
		if t.sub.ended {
			continue
		}
		c.fireTimer(now, t)
	}
}

func (c *Core) fireTimer(now time.Time, t *timer) {
	switch t.kind {
	case timerDeadline:
		c.handleDeadline(now, t.sub)
	case timerAskOwner:
		c.askOwner(t.sub)
	case timerWidenClaim:
		c.widenClaim(now, t.sub)
	case timerHedge:
		c.hedgeStraggler(now, t.task, t.agent, t.attempt)
	case timerOverdue:
		c.markOverdue(t.task, t.agent, t.attempt)
	case timerRetryInDoubt:
		c.retryInDoubt(now, t.task, t.agent)
	case timerClaimUnknown:
		c.giveUpUnknownClaim(t.sub, t.request)
	case timerWaiterDeadline:
		c.expireWaiter(now, t.sub, t.request)
	case timerClaimWrite:
		c.writeClaim(now, t.sub)
	}
}

// timerHeap orders timers by time, then by creation, so that the order is deterministic.
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
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*h = old[:len(old)-1]
	return last
}
