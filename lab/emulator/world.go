package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a deployment in virtual time.
type world struct {
	layout  *layout
	now     time.Time
	rand    *rand.Rand
	queue   events
	seq     int
	workers []*worker
	agents  []*agentProcess
	entries []*entryProcess
	store   *store
	checks  checks
	// jobs are those that callers have handed in, by name.
	jobs map[string]*jobSpec
	// tally counts what became of jobs; nil if nobody asks.
	tally *tally
	// lostOrders is the share of orders to workers that get no answer.
	lostOrders float64
	// looksArrive is set if looks at workers are answered while orders are lost.
	looksArrive bool
	// lines is the story of a play, if it is told.
	lines    []string
	story    bool
	nextLink uint64
	nextLife uint64
}

// worldStart is when virtual time begins.
var worldStart = time.Unix(1_000_000, 0)

func newWorld(seed uint64, l *layout) *world {
	w := &world{layout: l, now: worldStart, rand: rand.New(rand.NewPCG(seed, 7)), jobs: make(map[string]*jobSpec)}
	w.checks = newChecks(w)
	w.store = &store{w: w, rows: make(map[string]ledger.Stored), drained: make(map[string]time.Time)}
	for _, c := range l.centres {
		for range c.workers {
			n := len(w.workers)
			w.workers = append(w.workers, newWorker(w, fmt.Sprintf("w%d", n), c.name, n))
			w.agents = append(w.agents, newAgentProcess(w, w.workers[n]))
		}
	}
	for _, c := range l.centres {
		for range c.entries {
			w.entries = append(w.entries, newEntryProcess(w, entryAddress(len(w.entries)), c.name))
		}
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// run lets time pass, or until a promise is broken.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	w.every(step, end, func() {
		for i, k := range w.workers {
			w.agents[i].watchTouch()
			k.step()
		}
	})
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && len(w.checks.broken) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) every(d time.Duration, end time.Time, do func()) {
	w.after(d, func() {
		do()
		if w.now.Before(end) {
			w.every(d, end, do)
		}
	})
}

// since returns the time since the world began.
func (w *world) since() time.Duration { return w.now.Sub(worldStart) }

// tell adds a line to the story.
func (w *world) tell(format string, args ...any) {
	if w.story {
		w.lines = append(w.lines, fmt.Sprintf("%8.4f ", w.since().Seconds())+fmt.Sprintf(format, args...))
	}
}

// aliveEntries counts the entries whose process lives.
func (w *world) aliveEntries() int {
	n := 0
	for _, e := range w.entries {
		if !e.dead {
			n++
		}
	}
	return n
}

// request is one attempt to hand a job in.
type request struct {
	id   batch.RequestID
	job  *jobSpec
	done bool
	// lost tells the caller that its connection broke.
	lost func()
}

// crashOf tells whether a run crashes its worker, and after which time.
func (w *world) crashOf(key runs.Key) (time.Duration, bool) {
	j := w.jobs[key.Job()]
	if j == nil || j.crashes == nil {
		return 0, false
	}
	return j.crashes(key)
}

// startOf returns what a worker does with a start: how long it runs and whether it fails.
func (w *world) startOf(key runs.Key) (time.Duration, bool) {
	j := w.jobs[key.Job()]
	if j == nil {
		return time.Millisecond, false
	}
	return j.run(key)
}
