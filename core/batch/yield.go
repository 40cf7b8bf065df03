package batch

import (
	"math"
	"time"

	"peridotpick.example/core/catalog"
)

// yielding makes queues of low priority give way while jobs of a higher one are
// refused. The load it answers: a burst with every queue full. Urgent jobs of many
// short parallel tasks have little slack and would be refused long before large
// jobs that can wait, whatever their priority.
type yielding struct{ queues map[string]*refusals }

// refusals are decaying counts of a queue's jobs.
type refusals struct {
	service          string
	priority         int
	offered, refused float64
	at               time.Time
}

const (
	// refusalHalfLife is the time after which a job counts half.
	refusalHalfLife = time.Second
	// offeredPrior is a number of jobs that count as offered and not refused, so
	// that the first refusal of a quiet queue does not turn others away.
	offeredPrior = 5
	// yieldGain is the part of its slack that a queue gives up for each unit by which
	// a more urgent queue's share of refused jobs is above its own.
	yieldGain = 6
	// minYield is the part of its slack that a queue keeps.
	minYield = 0.1
)

func newYielding() yielding { return yielding{queues: make(map[string]*refusals)} }

// count takes the decision on a job.
func (y yielding) count(now time.Time, q *catalog.Queue, refused bool) {
	r := y.queues[q.Name]
	if r == nil {
		r = &refusals{at: now}
		y.queues[q.Name] = r
	}
	r.service, r.priority = q.Service, q.Priority
	r.decay(now)
	r.offered++
	if refused {
		r.refused++
	}
}

func (r *refusals) decay(now time.Time) {
	kept := math.Exp2(-now.Sub(r.at).Seconds() / refusalHalfLife.Seconds())
	r.offered *= kept
	r.refused *= kept
	r.at = now
}

func (r *refusals) share(now time.Time) float64 {
	r.decay(now)
	return r.refused / (r.offered + offeredPrior)
}

// factor returns the part of its slack that a job of a queue may use.
func (y yielding) factor(now time.Time, q *catalog.Queue) float64 {
	own := 0.0
	if r := y.queues[q.Name]; r != nil {
		own = r.share(now)
	}
	worst := 0.0
	for _, r := range y.queues {
		if r.service == q.Service && r.priority < q.Priority {
			worst = max(worst, r.share(now)-own)
		}
	}
	return max(1-yieldGain*worst, minYield)
}
