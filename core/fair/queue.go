// Package fair implements a queue with weighted fair sharing among teams (start-time fair
// queueing), which orders the items of each team by class.
//
// Teams come before classes, so that a team cannot take the share of another by declaring its work
// urgent. Items of one team that need different agents wait in separate lanes, which prevents
// head-of-line blocking: an item whose agents are all busy does not hold up the others. A lane is a
// first-in, first-out list of items that can be served by the same agents.
package fair

import "container/heap"

// Item is a value with the properties that determine its place in the queue.
type Item[T any] struct {
	// Class orders the items of a team: lower values first.
	Class uint8
	Team  string
	// Weight is the team's share relative to the other teams; greater than 0.
	Weight float64
	// Lane names the set of agents that the item needs. Items of one lane and class keep their order.
	Lane  string
	Value T
}

// ScanResult is the answer of the function passed to Scan about one item.
type ScanResult int

// Verdicts.
const (
	// Taken removes the item from the queue.
	Taken ScanResult = iota
	// Blocked keeps the item, and means that no other item of its lane can be taken in this scan.
	Blocked
)

// Queue is a bounded queue. It is not safe for concurrent use.
type Queue[T any] struct {
	limit int
	size  int
	// countByClass is the number of items of each class.
	countByClass map[uint8]int
	// virtualTime is the highest start tag of the items taken so far.
	virtualTime float64
	// teams also holds teams without items, for their start tags; see maxIdleTeams.
	teams map[string]*team[T]
	// activeTeams are the teams with items, the lowest start tag first.
	activeTeams teamHeap[T]
}

// team is the items of one team.
type team[T any] struct {
	name string
	// startTag is the virtual start time of the team's next item. Each item taken raises it by the
	// inverse of the team's weight.
	startTag float64
	weight   float64
	size     int
	// lanes are ordered by class. Within a class the lane served last comes last.
	lanes []*lane[T]
}

// lane is a first-in, first-out list of the items of one class and lane name. Empty lanes are
// removed.
type lane[T any] struct {
	name  string
	class uint8
	items []T
}

// NewQueue returns a queue that holds at most limit items.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, countByClass: make(map[uint8]int), teams: make(map[string]*team[T])}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.size }

// Free returns how many more items fit.
func (q *Queue[T]) Free() int { return q.limit - q.size }

// CountUpTo returns the number of items of the class and of more urgent ones, those of all teams.
func (q *Queue[T]) CountUpTo(class uint8) int {
	n := 0
	for itemClass, count := range q.countByClass {
		if itemClass <= class {
			n += count
		}
	}
	return n
}

// Push appends an item to its lane. It returns false if the queue is full.
func (q *Queue[T]) Push(item Item[T]) bool {
	if q.size >= q.limit {
		return false
	}
	q.size++
	q.countByClass[item.Class]++
	t := q.teams[item.Team]
	if t == nil {
		t = &team[T]{name: item.Team}
		q.teams[item.Team] = t
	}
	t.weight = item.Weight
	t.push(item)
	if t.size == 1 {
		t.startTag = max(t.startTag, q.virtualTime)
		heap.Push(&q.activeTeams, t)
	}
	return true
}

// Scan passes the items to try in their order until every lane is blocked or empty. It removes the
// items that try takes; the others keep their place.
func (q *Queue[T]) Scan(try func(T) ScanResult) {
	blocked := make(map[string]bool)
	var skipped []*team[T]
	for q.activeTeams.Len() > 0 {
		t := q.activeTeams[0]
		l := t.firstUnblockedLane(blocked)
		switch {
		case l == nil:
			skipped = append(skipped, heap.Pop(&q.activeTeams).(*team[T]))
		case try(l.items[0]) == Taken:
			q.take(t, l)
		default:
			blocked[l.name] = true
		}
	}
	for _, t := range skipped {
		heap.Push(&q.activeTeams, t)
	}
}

// take removes the first item of lane l of team t, which must be the first of the active teams.
func (q *Queue[T]) take(t *team[T], l *lane[T]) {
	q.size--
	q.countByClass[l.class]--
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.startTag += 1 / t.weight
	t.removeFirst(l)
	if t.size > 0 {
		heap.Fix(&q.activeTeams, 0)
		return
	}
	heap.Remove(&q.activeTeams, 0)
	if len(q.teams) > maxIdleTeams {
		delete(q.teams, t.name)
	}
}

// maxIdleTeams is the number of teams above which a team is forgotten with its start tag when its
// last item is taken.
const maxIdleTeams = 1024

// push appends the item to its lane, which it creates behind the lanes of its class if needed.
func (t *team[T]) push(item Item[T]) {
	t.size++
	i := 0
	for ; i < len(t.lanes) && t.lanes[i].class <= item.Class; i++ {
		if l := t.lanes[i]; l.class == item.Class && l.name == item.Lane {
			l.items = append(l.items, item.Value)
			return
		}
	}
	t.insertLane(i, &lane[T]{name: item.Lane, class: item.Class, items: []T{item.Value}})
}

// insertLane inserts l at index i.
func (t *team[T]) insertLane(i int, l *lane[T]) {
	t.lanes = append(t.lanes, nil)
	copy(t.lanes[i+1:], t.lanes[i:])
	t.lanes[i] = l
}

// firstUnblockedLane returns the first lane whose name is not in blocked, or nil.
func (t *team[T]) firstUnblockedLane(blocked map[string]bool) *lane[T] {
	for _, l := range t.lanes {
		if !blocked[l.name] {
			return l
		}
	}
	return nil
}

// removeFirst removes the first item of l and moves l behind the other lanes of its class.
func (t *team[T]) removeFirst(l *lane[T]) {
	var zero T
	l.items[0] = zero
	l.items = l.items[1:]
	t.size--
	kept := t.lanes[:0]
	for _, other := range t.lanes {
		if other != l {
			kept = append(kept, other)
		}
	}
	t.lanes = kept
	if len(l.items) == 0 {
		return
	}
	i := 0
	for i < len(t.lanes) && t.lanes[i].class <= l.class {
		i++
	}
	t.insertLane(i, l)
}

// teamHeap orders teams by start tag, then by name so that the order is deterministic.
type teamHeap[T any] []*team[T]

func (h teamHeap[T]) Len() int { return len(h) }
func (h teamHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].name < h[j].name
}
func (h teamHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
}

// Push implements heap.Interface.
func (h *teamHeap[T]) Push(x any) {
	*h = append(*h, x.(*team[T]))
}

// Pop implements heap.Interface.
func (h *teamHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
