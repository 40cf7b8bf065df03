// Package fair orders waiting tasks: by class first, and within a class by
// weighted fair sharing among teams (start-time fair queueing).
//
// Tasks of one team that ask for different agents wait in separate lanes, so
// that a task whose agents are all busy does not hold up the others.
package fair

import "container/heap"

// Item is a waiting value.
type Item[T any] struct {
	// Class orders items before anything else: lower values first.
	Class uint8
	Team  string
	// Weight is the team's share; greater than 0.
	Weight float64
	// Lane names what the item asks for. Items of a lane keep their order.
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
	limit   int
	size    int
	classes map[uint8]*class[T]
	// levels are the keys of classes in ascending order.
	levels []uint8
}

// class holds the teams that have items of one class.
type class[T any] struct {
	// virtual is the start tag of the item taken last.
	virtual float64
	size    int
	teams   map[string]*team[T]
	active  teamHeap[T]
}

// team is one team's items within a class.
type team[T any] struct {
	name string
	// tag is the virtual start time of the team's next item.
	tag    float64
	weight float64
	size   int
	lanes  []*lane[T]
	pos    int
}

// lane is a first-in first-out list; it is removed when empty.
type lane[T any] struct {
	name  string
	items []T
}

// NewQueue returns a queue that holds at most limit items.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, classes: make(map[uint8]*class[T])}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.size }

// Free returns how many more items fit.
func (q *Queue[T]) Free() int { return q.limit - q.size }

// Ahead returns the number of items of the class or a more urgent one.
func (q *Queue[T]) Ahead(level uint8) int {
	n := 0
	for at, c := range q.classes {
		if at <= level {
			n += c.size
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
	c := q.class(item.Class)
	c.size++
	t := c.teams[item.Team]
	if t == nil {
		t = &team[T]{name: item.Team}
		c.teams[item.Team] = t
	}
	t.weight = item.Weight
	t.push(item.Lane, item.Value)
	if t.size == 1 {
		t.tag = max(t.tag, c.virtual)
		heap.Push(&c.active, t)
	}
	return true
}

// Scan offers items in order until every lane is blocked or empty. Taken items
// leave the queue; others keep their place.
func (q *Queue[T]) Scan(try func(T) Verdict) {
	blocked := make(map[string]bool)
	for _, level := range q.levels {
		q.scanClass(q.classes[level], blocked, try)
	}
}

func (q *Queue[T]) scanClass(c *class[T], blocked map[string]bool, try func(T) Verdict) {
	var aside []*team[T]
	for c.active.Len() > 0 {
		t := c.active[0]
		l := t.open(blocked)
		switch {
		case l == nil:
			aside = append(aside, heap.Pop(&c.active).(*team[T]))
		case try(l.items[0]) == Taken:
			q.take(c, t, l)
		default:
			blocked[l.name] = true
		}
	}
	for _, t := range aside {
		heap.Push(&c.active, t)
	}
}

// take removes the first item of lane l of team t, which is first in c.
func (q *Queue[T]) take(c *class[T], t *team[T], l *lane[T]) {
	q.size--
	c.size--
	c.virtual = max(c.virtual, t.tag)
	t.tag += 1 / t.weight
	t.shift(l)
	if t.size > 0 {
		heap.Fix(&c.active, 0)
		return
	}
	heap.Remove(&c.active, 0)
	if len(c.teams) > maxIdleTeams {
		delete(c.teams, t.name)
	}
}

// maxIdleTeams bounds the tags remembered for teams without items.
const maxIdleTeams = 1024

func (q *Queue[T]) class(level uint8) *class[T] {
	if c := q.classes[level]; c != nil {
		return c
	}
	c := &class[T]{teams: make(map[string]*team[T])}
	q.classes[level] = c
	at := 0
	for at < len(q.levels) && q.levels[at] < level {
		at++
	}
	q.levels = append(q.levels, 0)
	copy(q.levels[at+1:], q.levels[at:])
	q.levels[at] = level
	return c
}

func (t *team[T]) push(name string, value T) {
	t.size++
	for _, l := range t.lanes {
		if l.name == name {
			l.items = append(l.items, value)
			return
		}
	}
	t.lanes = append(t.lanes, &lane[T]{name: name, items: []T{value}})
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

// shift removes the first item of l and moves l behind the team's other lanes.
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
	if len(l.items) > 0 {
		kept = append(kept, l)
	}
	t.lanes = kept
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
	h[i].pos = i
	h[j].pos = j
}

// Push implements heap.Interface.
func (h *teamHeap[T]) Push(x any) {
	t := x.(*team[T])
	t.pos = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
