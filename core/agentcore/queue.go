package agentcore

import (
	"cmp"
	"container/heap"
	"slices"

	"peridotpick.example/wire"
)

// attemptQueue is a priority queue of attempts in the order of runsBefore.
type attemptQueue struct{ items attemptHeap }

func (q *attemptQueue) Len() int { return len(q.items) }

func (q *attemptQueue) push(a *attempt) { heap.Push(&q.items, a) }

func (q *attemptQueue) pop() *attempt { return heap.Pop(&q.items).(*attempt) }

func (q *attemptQueue) remove(a *attempt) { heap.Remove(&q.items, a.heapPos) }

// lastToRun returns the attempt that would run last, or nil if the queue is empty.
func (q *attemptQueue) lastToRun() *attempt {
	var last *attempt
	for _, a := range q.items {
		if last == nil || runsBefore(last, a) {
			last = a
		}
	}
	return last
}

// runsBefore reports whether a is started before b: by class (lower first), then deadline, then
// arrival.
func runsBefore(a, b *attempt) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.seq < b.seq
}

// attemptHeap implements heap.Interface and keeps attempt.heapPos up to date.
type attemptHeap []*attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return runsBefore(h[i], h[j]) }
func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPos = i
	h[j].heapPos = j
}

func (h *attemptHeap) Push(x any) {
	a := x.(*attempt)
	a.heapPos = len(*h)
	*h = append(*h, a)
}

func (h *attemptHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// sortAttempts sorts by task index.
func sortAttempts(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.index, b.index) })
}

// sortTaskStates sorts by task index.
func sortTaskStates(list []wire.TaskState) {
	slices.SortFunc(list, func(a, b wire.TaskState) int { return cmp.Compare(a.Index, b.Index) })
}
