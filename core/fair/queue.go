// Package fair orders waiting tasks by weighted fair sharing among teams
// (start-time fair queueing), and within a team by class.
//
// Teams come before classes: a team cannot take the share of another by calling
// its work urgent. Tasks of one team that ask for different agents wait in
// separate lanes, so that a task whose agents are all busy does not hold up the
// others.
package fair

import "container/heap"

// Item is a waiting value.
type Item[T any] struct {
	// Class orders the items of a team: lower values first.
	Class uint8
	Team  string
	// Weight is the team's share; greater than 0.
	Weight float64
	// Lane names what the item asks for. Items of a lane and class keep their order.
	Lane  string
	Value T
}

// Verdict is the answer to an offer.
type Verdict int

// Verdicts. Blocked means that no other item of the lane can be taken now.
const (
	Taken Verdict = iota
	Blocked
)

// Queue is a bounded queue. Not safe for concurrent use.
type Queue[T any] struct {
	limit int
	size  int
	// byClass counts items by class.
	byClass map[uint8]int
	// virtual is the start tag of the item taken last.
	virtual float64
	teams   map[string]*team[T]
	active  teamHeap[T]
}

// team is the items of one team.
type team[T any] struct {
	name string
	// tag is the virtual start time of the team's next item.
	tag    float64
	weight float64
	size   int
	// lanes are ordered by class, and within a class by the last take.
	lanes []*lane[T]
}

// lane is a first-in first-out list of one class; it is removed when empty.
type lane[T any] struct {
	name  string
	class uint8
	items []T
}

// NewQueue returns a queue that holds at most limit items.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, byClass: make(map[uint8]int), teams: make(map[string]*team[T])}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.size }

// Free returns how many more items fit.
func (q *Queue[T]) Free() int { return q.limit - q.size }

// Ahead returns the number of items of the class or a more urgent one.
func (q *Queue[T]) Ahead(class uint8) int {
	n := 0
	for at, count := range q.byClass {
		if at <= class {
			n += count
		}
	}
	return n
}

// Push appends an item. It reports false if the queue is full.
func (q *Queue[T]) Push(item Item[T]) bool {
	if q.size >= q.limit {
		return false
	}
	q.size++
	q.byClass[item.Class]++
	t := q.teams[item.Team]
	if t == nil {
		t = &team[T]{name: item.Team}
		q.teams[item.Team] = t
	}
	t.weight = item.Weight
	t.push(item)
	if t.size == 1 {
		t.tag = max(t.tag, q.virtual)
		heap.Push(&q.active, t)
	}
	return true
}

// Scan offers items in order until every lane is blocked or empty. Taken items
// leave the queue; others keep their place.
func (q *Queue[T]) Scan(try func(T) Verdict) {
	blocked := make(map[string]bool)
	var aside []*team[T]
	for q.active.Len() > 0 {
		t := q.active[0]
		l := t.open(blocked)
		switch {
		case l == nil:
			aside = append(aside, heap.Pop(&q.active).(*team[T]))
		case try(l.items[0]) == Taken:
			q.take(t, l)
		default:
			blocked[l.name] = true
		}
	}
	for _, t := range aside {
		heap.Push(&q.active, t)
	}
}

// take removes the first item of lane l of the team that is first.
func (q *Queue[T]) take(t *team[T], l *lane[T]) {
	q.size--
	q.byClass[l.class]--
	q.virtual = max(q.virtual, t.tag)
	t.tag += 1 / t.weight
	t.shift(l)
	if t.size > 0 {
		heap.Fix(&q.active, 0)
		return
	}
	heap.Remove(&q.active, 0)
	if len(q.teams) > maxIdleTeams {
		delete(q.teams, t.name)
	}
}

// maxIdleTeams bounds the tags remembered for teams without items.
const maxIdleTeams = 1024

func (t *team[T]) push(item Item[T]) {
	t.size++
	at := 0
	for ; at < len(t.lanes) && t.lanes[at].class <= item.Class; at++ {
		if l := t.lanes[at]; l.class == item.Class && l.name == item.Lane {
			l.items = append(l.items, item.Value)
			return
		}
	}
	t.insert(at, &lane[T]{name: item.Lane, class: item.Class, items: []T{item.Value}})
}

func (t *team[T]) insert(at int, l *lane[T]) {
	t.lanes = append(t.lanes, nil)
	copy(t.lanes[at+1:], t.lanes[at:])
	t.lanes[at] = l
}

// open returns the first lane that is not blocked, or nil.
func (t *team[T]) open(blocked map[string]bool) *lane[T] {
	for _, l := range t.lanes {
		if !blocked[l.name] {
			return l
		}
	}
	return nil
}

// shift removes the first item of l and moves l behind the lanes of its class.
func (t *team[T]) shift(l *lane[T]) {
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
	at := 0
	for at < len(t.lanes) && t.lanes[at].class <= l.class {
		at++
	}
	t.insert(at, l)
}

type teamHeap[T any] []*team[T]

func (h teamHeap[T]) Len() int { return len(h) }
func (h teamHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
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
