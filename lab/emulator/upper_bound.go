package emulator

import (
	"math"
	"sort"
	"time"
)

// slotLength is the time resolution of the bound.
const slotLength = 100 * time.Millisecond

// maxSpan is the longest span of time over which the bound compares work and capacity. Longer spans
// would only make the bound tighter.
const maxSpan = 30 * time.Second

// creditBound returns a share of the credit that no policy can exceed in a trial, not even one that
// knows all run times and faults.
//
// It is the optimum of a fluid relaxation: the work of a job may be split arbitrarily over the
// healthy workers between its arrival and its objective, and earns its worth in proportion. Jobs
// are considered in decreasing order of worth per core-second. The work of each is limited to the
// capacity that is left in every span of time around it (Hall's condition); the rest counts as
// served late.
func (r *TrialResult) creditBound() float64 {
	b := newUpperBound(r.healthyCores)
	jobs := append([]*jobRecord(nil), r.stats.records...)
	sort.SliceStable(jobs, func(i, k int) bool { return jobs[i].worth*jobs[k].work > jobs[k].worth*jobs[i].work })
	earnedWorth, totalWorth := 0.0, 0.0
	for _, j := range jobs {
		totalWorth += j.worth
		part := b.reserve(j)
		earnedWorth += part*j.worth + (1-part)*j.lateWorth
	}
	if totalWorth == 0 {
		return 1
	}
	return earnedWorth / totalWorth
}

// upperBound holds the capacity and the reserved work of spans of slots.
type upperBound struct {
	// cumulativeCapacity is the capacity in core-seconds before each slot.
	cumulativeCapacity []float64
	// reservedWork[i][k] is the work in core-seconds whose time lies within the slots from i to
	// i+k.
	reservedWork [][]float64
	maxSlots     int
}

func newUpperBound(healthyCores []float64) *upperBound {
	b := &upperBound{maxSlots: int(maxSpan / slotLength), cumulativeCapacity: make([]float64, len(healthyCores)+1), reservedWork: make([][]float64, len(healthyCores)+1)}
	for i, cores := range healthyCores {
		b.cumulativeCapacity[i+1] = b.cumulativeCapacity[i] + cores*slotLength.Seconds()
	}
	for i := range b.reservedWork {
		b.reservedWork[i] = make([]float64, b.maxSlots+1)
	}
	return b
}

// reserve reserves capacity for a job and returns the share of its work that fits within its
// objective.
func (b *upperBound) reserve(j *jobRecord) float64 {
	from := min(int(j.sent/slotLength), len(b.cumulativeCapacity)-1)
	to := min(int(math.Ceil(float64(j.sent+j.objective)/float64(slotLength))), len(b.cumulativeCapacity)-1)
	to = min(to, from+b.maxSlots)
	available := j.work
	b.eachSpan(from, to, func(first, last int) {
		available = min(available, b.cumulativeCapacity[last]-b.cumulativeCapacity[first]-b.reservedWork[first][last-first])
	})
	available = max(available, 0)
	b.eachSpan(from, to, func(first, last int) { b.reservedWork[first][last-first] += available })
	if j.work == 0 {
		return 1
	}
	return available / j.work
}

// eachSpan calls visit for each span of at most maxSlots slots that contains the slots from one to
// another.
func (b *upperBound) eachSpan(from, to int, visit func(first, last int)) {
	for first := max(to-b.maxSlots, 0); first <= from; first++ {
		for last := to; last < len(b.cumulativeCapacity) && last <= first+b.maxSlots; last++ {
			visit(first, last)
		}
	}
}
