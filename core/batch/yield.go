package batch

import (
	"time"

	"peridotpick.example/core/catalog"
)

// yielding makes queues of low priority give way while jobs of a higher one are
// lost. The load it answers: a burst with every queue full. Urgent jobs of many
// short parallel tasks have little slack and little time of use, and would be lost
// long before large jobs that can wait, whatever their priority. With it 2% of the
// short jobs of a burst are lost, without it 5% (emulator, burst, eight seeds).
type yielding struct{ queues map[string]*losses }

// losses are decaying counts of a queue's jobs.
type losses struct {
	service  string
	priority int
	// offered are all jobs, lost those refused or given up, deferred those that had
	// to wait for room that stays free.
	offered, lost, deferred float64
	at                      time.Time
}

const (
	// lossHalfLife is the time after which a job counts half.
	lossHalfLife = time.Second
	// offeredPrior is a number of jobs that count as offered and not lost, so that
	// the first loss of a quiet queue does not turn others away.
	offeredPrior = 5
	// yieldFrom is the share of lost jobs, above its own, from which a queue gives way.
	yieldFrom = 0.01
	// deferredCost is what a deferred job of a queue counts against a lost one: a
	// queue does not give way without limit, but at ten deferred jobs for each lost one.
	deferredCost = 0.1
)

func newYielding() yielding { return yielding{queues: make(map[string]*losses)} }

// of returns the counts of a queue as of now.
func (y yielding) of(now time.Time, q *catalog.Queue) *losses {
	l := y.queues[q.Name]
	if l == nil {
		l = &losses{at: now}
		y.queues[q.Name] = l
	}
	l.service, l.priority = q.Service, q.Priority
	l.decay(now)
	return l
}

func (l *losses) decay(now time.Time) {
	kept := decay(now.Sub(l.at), lossHalfLife)
	l.offered *= kept
	l.lost *= kept
	l.deferred *= kept
	l.at = now
}

// share returns the share of jobs that were lost.
func (l *losses) share(now time.Time) float64 {
	l.decay(now)
	return l.lost / (l.offered + offeredPrior)
}

// givesWay reports whether jobs of a queue are to leave room to more urgent ones.
func (y yielding) givesWay(now time.Time, q *catalog.Queue) bool {
	own := 0.0
	if l := y.queues[q.Name]; l != nil {
		own = l.share(now) + deferredCost*l.deferred/(l.offered+offeredPrior)
	}
	for _, l := range y.queues {
		if l.service == q.Service && l.priority < q.Priority && l.share(now) > own+yieldFrom {
			return true
		}
	}
	return false
}
