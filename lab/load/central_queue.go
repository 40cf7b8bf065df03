package load

import (
	"container/heap"
	"math"
	"time"
)

// CentralQueue computes the response ratios of an ideal dispatcher for a plan: one queue in front of all
// slots, ordered by class and arrival, with perfect knowledge and no messages. No real dispatcher
// without preemption does better on average, so it is a lower bound to compare with.
// Its quantiles cover all requests of the plan.
func CentralQueue(mix Mix, plan []Arrival, slots int) Quantiles {
	q := &centralQueue{freeSlots: slots}
	for i := range plan {
		q.advance(plan[i].At)
		job := &centralJob{arrivedAt: plan[i].At, tasksLeft: len(plan[i].RunMs), idealMs: idealResponseMs(plan[i].RunMs, slots)}
		priority := classPriority[mix.Kinds[plan[i].Kind].Class]
		for _, ms := range plan[i].RunMs {
			q.lastNumber++
			heap.Push(&q.waiting, centralTask{job, time.Duration(ms * float64(time.Millisecond)), priority, q.lastNumber})
		}
		q.startWaiting(plan[i].At)
	}
	q.advance(math.MaxInt64)
	histogram := newHistogram()
	for _, ratio := range q.ratios {
		recordRatio(histogram, ratio)
	}
	return quantiles(histogram)
}

// classPriority orders the classes of the mixes as the users' configurations do; the lowest number runs
// first.
var classPriority = map[string]int{"urgent": 0, "interactive": 1, "interactive-scan": 2, "batch": 2}

// idealResponseMs returns the response time of a request on idle hardware in milliseconds: that of its
// longest task or, if greater, the work of all tasks divided by the slots.
func idealResponseMs(runMs []float64, slots int) float64 {
	longest, sum := 0.0, 0.0
	for _, ms := range runMs {
		longest = math.Max(longest, ms)
		sum += ms
	}
	return math.Max(longest, sum/float64(slots))
}

// centralJob is a request whose tasks wait or run.
type centralJob struct {
	arrivedAt time.Duration
	tasksLeft int
	idealMs   float64
}

// centralTask is a waiting task.
type centralTask struct {
	job      *centralJob
	runTime  time.Duration
	priority int
	number   int
}

// centralQueue is the state of the simulation. Times count from the start of the run.
type centralQueue struct {
	freeSlots  int
	lastNumber int
	waiting    waitingHeap
	running    runningHeap
	ratios     []float64
}

// advance moves the time forward: it ends the tasks that are over by then, in order, and starts waiting
// ones in their slots.
func (q *centralQueue) advance(until time.Duration) {
	for len(q.running) > 0 && q.running[0].endsAt <= until {
		end := heap.Pop(&q.running).(runningTask)
		q.freeSlots++
		end.job.tasksLeft--
		if end.job.tasksLeft == 0 {
			q.ratios = append(q.ratios, (end.endsAt-end.job.arrivedAt).Seconds()*1000/end.job.idealMs)
		}
		q.startWaiting(end.endsAt)
	}
}

// startWaiting starts waiting tasks while slots are free.
func (q *centralQueue) startWaiting(now time.Duration) {
	for q.freeSlots > 0 && len(q.waiting) > 0 {
		t := heap.Pop(&q.waiting).(centralTask)
		q.freeSlots--
		heap.Push(&q.running, runningTask{now + t.runTime, t.job})
	}
}

// waitingHeap is a heap of tasks, ordered by priority and then by arrival.
type waitingHeap []centralTask

func (h waitingHeap) Len() int { return len(h) }
func (h waitingHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].number < h[j].number
}
func (h waitingHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) { *h = append(*h, x.(centralTask)) }

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// runningTask is a task in a slot.
type runningTask struct {
	endsAt time.Duration
	job    *centralJob
}

// runningHeap is a heap of tasks, ordered by their end.
type runningHeap []runningTask

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *runningHeap) Push(x any) { *h = append(*h, x.(runningTask)) }

// Pop implements heap.Interface.
func (h *runningHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
