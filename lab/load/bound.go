package load

import (
	"container/heap"
	"math"
	"time"
)

// CentralQueue computes the response ratios of an ideal dispatcher for a plan:
// one queue in front of all slots, ordered by class and arrival, with perfect
// knowledge and no messages. No real dispatcher without preemption does better
// on average; it is the bound to compare with.
func CentralQueue(mix Mix, plan []Arrival, slots int) Quantiles {
	q := &centralQueue{free: slots}
	for i := range plan {
		q.advance(plan[i].At)
		job := &centralJob{at: plan[i].At, left: len(plan[i].RunMs), ideal: idealOf(plan[i].RunMs, slots)}
		level := classLevel[mix.Kinds[plan[i].Kind].Class]
		for _, ms := range plan[i].RunMs {
			q.seq++
			heap.Push(&q.waiting, centralTask{job, time.Duration(ms * float64(time.Millisecond)), level, q.seq})
		}
		q.fill(plan[i].At)
	}
	q.advance(math.MaxInt64)
	h := newHistogram()
	for _, ratio := range q.ratios {
		record(h, ratio)
	}
	return quantiles(h)
}

// classLevel orders the classes of the mixes as the users' configurations do.
var classLevel = map[string]int{"urgent": 0, "interactive": 1, "interactive-scan": 2, "batch": 2}

// idealOf is the response time of a request on idle hardware, in milliseconds.
func idealOf(runMs []float64, slots int) float64 {
	longest, sum := 0.0, 0.0
	for _, ms := range runMs {
		longest = math.Max(longest, ms)
		sum += ms
	}
	return math.Max(longest, sum/float64(slots))
}

type centralJob struct {
	at    time.Duration
	left  int
	ideal float64
}

type centralTask struct {
	job   *centralJob
	run   time.Duration
	level int
	seq   int
}

type centralQueue struct {
	free    int
	seq     int
	waiting centralWaiting
	running centralRunning
	ratios  []float64
}

// advance ends all tasks that end by a time, and starts waiting ones.
func (q *centralQueue) advance(until time.Duration) {
	for len(q.running) > 0 && q.running[0].ends <= until {
		end := heap.Pop(&q.running).(centralEnd)
		q.free++
		end.job.left--
		if end.job.left == 0 {
			q.ratios = append(q.ratios, (end.ends-end.job.at).Seconds()*1000/end.job.ideal)
		}
		q.fill(end.ends)
	}
}

func (q *centralQueue) fill(now time.Duration) {
	for q.free > 0 && len(q.waiting) > 0 {
		t := heap.Pop(&q.waiting).(centralTask)
		q.free--
		heap.Push(&q.running, centralEnd{now + t.run, t.job})
	}
}

type centralWaiting []centralTask

func (h centralWaiting) Len() int { return len(h) }
func (h centralWaiting) Less(i, j int) bool {
	if h[i].level != h[j].level {
		return h[i].level < h[j].level
	}
	return h[i].seq < h[j].seq
}
func (h centralWaiting) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *centralWaiting) Push(x any) { *h = append(*h, x.(centralTask)) }

// Pop implements heap.Interface.
func (h *centralWaiting) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type centralEnd struct {
	ends time.Duration
	job  *centralJob
}

type centralRunning []centralEnd

func (h centralRunning) Len() int           { return len(h) }
func (h centralRunning) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h centralRunning) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *centralRunning) Push(x any) { *h = append(*h, x.(centralEnd)) }

// Pop implements heap.Interface.
func (h *centralRunning) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
