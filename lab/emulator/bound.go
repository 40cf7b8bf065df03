package emulator

import (
	"math"
	"sort"
	"time"
)

// slot is the grain of time of the bound.
const slot = 100 * time.Millisecond

// boundSpan is the longest span of time over which the bound compares work and
// room. A longer one would only make the bound tighter.
const boundSpan = 30 * time.Second

// boundOf returns a share of the credit that no policy can exceed on a play, not
// even one that knows all run times and faults.
//
// It is the best that a fluid could do: a job's work may go in any pieces to any
// sound worker between its arrival and its objective, and counts by the piece.
// Jobs are taken by credit for each core-second; a job's work is cut to what every
// span of time around it has room for (Hall's condition). What does not fit in
// time counts as served late.
func (r *Result) boundOf() float64 {
	b := newBound(r.sound)
	jobs := append([]*record(nil), r.tally.records...)
	sort.SliceStable(jobs, func(i, k int) bool { return jobs[i].worth*jobs[k].work > jobs[k].worth*jobs[i].work })
	got, owed := 0.0, 0.0
	for _, j := range jobs {
		owed += j.worth
		part := b.take(j)
		got += part*j.worth + (1-part)*j.late
	}
	if owed == 0 {
		return 1
	}
	return got / owed
}

// bound holds the room and the work taken for spans of slots.
type bound struct {
	// room sums up the room in core-seconds before each slot.
	room []float64
	// taken is the work whose span lies in slots from i to i+k.
	taken [][]float64
	spans int
}

func newBound(sound []float64) *bound {
	b := &bound{spans: int(boundSpan / slot), room: make([]float64, len(sound)+1), taken: make([][]float64, len(sound)+1)}
	for i, cores := range sound {
		b.room[i+1] = b.room[i] + cores*slot.Seconds()
	}
	for i := range b.taken {
		b.taken[i] = make([]float64, b.spans+1)
	}
	return b
}

// take returns the part of a job that fits in time, and takes its room.
func (b *bound) take(j *record) float64 {
	from := min(int(j.sent/slot), len(b.room)-1)
	to := min(int(math.Ceil(float64(j.sent+j.objective)/float64(slot))), len(b.room)-1)
	to = min(to, from+b.spans)
	left := j.work
	b.around(from, to, func(first, last int) {
		left = min(left, b.room[last]-b.room[first]-b.taken[first][last-first])
	})
	left = max(left, 0)
	b.around(from, to, func(first, last int) { b.taken[first][last-first] += left })
	if j.work == 0 {
		return 1
	}
	return left / j.work
}

// around calls do for each span that holds the slots from one to another.
func (b *bound) around(from, to int, do func(first, last int)) {
	for first := max(to-b.spans, 0); first <= from; first++ {
		for last := to; last < len(b.room) && last <= first+b.spans; last++ {
			do(first, last)
		}
	}
}
