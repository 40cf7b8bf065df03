package batch

import (
	"time"

	"peridotpick.example/core/catalog"
)

// lossTracker makes queues of low priority yield while jobs of a queue with higher priority are
// lost. It serves bursts in which all queues are full. Urgent jobs of many short parallel tasks
// have little slack and are useful for a short time only. Without yielding they would be lost long
// before large jobs that can wait, whatever their priority: 5% of the short jobs of a burst are
// lost without it, 2% with it.
type lossTracker struct{ queues map[string]*queueLosses }

// queueLosses are exponentially decaying counts of the jobs of one queue.
type queueLosses struct {
	service  string
	priority int
	// offered counts all jobs, lost those that were refused or given up, and deferred those that
	// had to wait for spare capacity.
	offered, lost, deferred float64
	// at is the time as of which the counts are decayed.
	at time.Time
}

const (
	// lossHalfLife is the time in which the weight of a job halves.
	lossHalfLife = time.Second
	// offeredJobsPrior is added to the offered jobs, so that the first loss of a quiet queue does
	// not make others yield.
	offeredJobsPrior = 5
	// yieldThreshold is how far the loss share of a more urgent queue must exceed a queue's own
	// before the queue yields.
	yieldThreshold = 0.01
	// deferredLossWeight is the weight of a deferred job against a lost one in a queue's own
	// losses. It bounds yielding: ten deferred jobs count as much as one lost job of the more
	// urgent queue.
	deferredLossWeight = 0.1
)

func newLossTracker() lossTracker { return lossTracker{queues: make(map[string]*queueLosses)} }

// forQueue returns the counts of a queue, decayed to the given time.
func (t lossTracker) forQueue(now time.Time, q *catalog.Queue) *queueLosses {
	l := t.queues[q.Name]
	if l == nil {
		l = &queueLosses{at: now}
		t.queues[q.Name] = l
	}
	l.service, l.priority = q.Service, q.Priority
	l.decay(now)
	return l
}

func (l *queueLosses) decay(now time.Time) {
	remaining := decay(now.Sub(l.at), lossHalfLife)
	l.offered *= remaining
	l.lost *= remaining
	l.deferred *= remaining
	l.at = now
}

// lossShare returns the share of offered jobs that were lost.
func (l *queueLosses) lossShare(now time.Time) float64 {
	l.decay(now)
	return l.lost / (l.offered + offeredJobsPrior)
}

// mustYield reports whether jobs of a queue must leave capacity to those of a more urgent one.
func (t lossTracker) mustYield(now time.Time, q *catalog.Queue) bool {
	own := 0.0
	if l := t.queues[q.Name]; l != nil {
		own = l.lossShare(now) + deferredLossWeight*l.deferred/(l.offered+offeredJobsPrior)
	}
	for _, l := range t.queues {
		if l.service == q.Service && l.priority < q.Priority && l.lossShare(now) > own+yieldThreshold {
			return true
		}
	}
	return false
}
