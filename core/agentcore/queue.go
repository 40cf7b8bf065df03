package agentcore

import (
	"cmp"
	"container/heap"
	"slices"

	"peridotpick.example/wire"
)

// runQueue holds queued attempts ordered by class, deadline and arrival.
type runQueue struct{ items attemptHeap }

// Len returns the number of queued attempts.
func (q *runQueue) Len() int { return len(q.items) }

func (q *runQueue) push(a *attempt) { heap.Push(&q.items, a) }

func (q *runQueue) pop() *attempt { return heap.Pop(&q.items).(*attempt) }

func (q *runQueue) remove(a *attempt) { heap.Remove(&q.items, a.heapPos) }

// worst returns the attempt that would run last, or nil.
func (q *runQueue) worst() *attempt {
	var worst *attempt
	for _, a := range q.items {
		if worst == nil || before(worst, a) {
			worst = a
		}
	}
	return worst
}

// before is the order of execution: class, then deadline, then arrival.
func before(a, b *attempt) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.seq < b.seq
}

type attemptHeap []*attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return before(h[i], h[j]) }
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

func sortAttempts(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.index, b.index) })
}

func sortStates(list []wire.TaskState) {
	slices.SortFunc(list, func(a, b wire.TaskState) int { return cmp.Compare(a.Index, b.Index) })
}
