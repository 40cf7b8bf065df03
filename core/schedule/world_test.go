package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// Times of the simulated deployment; they follow from a resend after 1.3 s.
const (
	resend      = 1300 * time.Millisecond
	patience    = 1500 * time.Millisecond
	ownerLease  = 390 * time.Millisecond
	workerLease = 780 * time.Millisecond
	runsOver    = 900 * time.Millisecond
	tick        = 20 * time.Millisecond
	step        = 2 * time.Millisecond
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
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a deployment in virtual time.
type world struct {
	now     time.Time
	rand    *rand.Rand
	queue   events
	seq     int
	workers []*worker
	agents  []*agentProcess
	entries []*entryProcess
	// runningOn are the workers on which a task runs now.
	runningOn map[string]map[*worker]bool
	// began are the jobs of which something started.
	began    map[string]bool
	answered map[string][]batch.Answer
	attempts map[string]int
	needs    map[string]room.Room
	// lostOrders is the share of orders that get no answer.
	lostOrders float64
	store      *store
	// accepted are durable jobs whose callers heard so; tasksOf their numbers of tasks.
	accepted map[string]bool
	tasksOf  map[string]int
	// doneRuns are the runs of durable tasks that ended done.
	doneRuns map[string][]*doneRun
	broken   []string
	done     int
	starts   int
	// lines is the story of a schedule that is played alone.
	lines    []string
	story    bool
	nextLink uint64
	nextLife uint64
}

func newWorld(seed uint64) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(seed, 7)), runningOn: make(map[string]map[*worker]bool),
		began: make(map[string]bool), answered: make(map[string][]batch.Answer), attempts: make(map[string]int), needs: make(map[string]room.Room),
	}
	w.store = &store{w: w, rows: make(map[string]ledger.Stored)}
	w.accepted, w.tasksOf, w.doneRuns = make(map[string]bool), make(map[string]int), make(map[string][]*doneRun)
	for i := range 4 {
		w.workers = append(w.workers, newWorker(w, fmt.Sprintf("w%d", i)))
		w.agents = append(w.agents, newAgentProcess(w, w.workers[i]))
	}
	for i := range 2 {
		w.entries = append(w.entries, newEntryProcess(w, fmt.Sprintf("e%d", i)))
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	w.every(step, func() {
		for _, k := range w.workers {
			k.step()
		}
	}, end)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && len(w.broken) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) every(d time.Duration, do func(), end time.Time) {
	w.after(d, func() {
		do()
		if w.now.Before(end) {
			w.every(d, do, end)
		}
	})
}

// tell adds a line to the story.
func (w *world) tell(format string, args ...any) {
	if w.story {
		w.lines = append(w.lines, fmt.Sprintf("%8.4f ", w.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now.Sub(time.Unix(1_000_000, 0)))+fmt.Sprintf(format, args...))
}

// startedOn checks what must hold when a worker starts a run.
func (w *world) startedOn(key runs.Key, k *worker) {
	w.starts++
	w.restarts(key)
	job := key.Task[:16]
	w.began[job] = true
	for _, a := range w.answered[job] {
		if refusedNotRun(a) && !w.open(job) {
			w.breaks("task %s starts after its job was refused as not run", key.Task)
		}
	}
	for other := range w.runningOn[key.Task] {
		if other != k && !other.down {
			w.breaks("task %s runs on %s and %s", key.Task, other.id, k.id)
		}
	}
	if w.runningOn[key.Task] == nil {
		w.runningOn[key.Task] = make(map[*worker]bool)
	}
	w.runningOn[key.Task][k] = true
	used := room.Room{}
	for _, r := range k.running {
		used = used.Plus(r.need)
	}
	if !k.capacity.Fits(used) {
		w.breaks("%s is over its room: %+v", k.id, used)
	}
}

func (w *world) ranUntil(task string, k *worker) { delete(w.runningOn[task], k) }

// open reports whether an attempt of a job is still without an answer.
func (w *world) open(job string) bool {
	for _, e := range w.entries {
		for _, r := range e.open {
			if r.job == job {
				return true
			}
		}
	}
	return false
}

// submit sends a job to an entry; without an answer it is sent again elsewhere.
func (w *world) submit(job string, tasks, attempts int) {
	e := w.entries[w.rand.IntN(len(w.entries))]
	if e.dead {
		w.after(resend, func() { w.submit(job, tasks, attempts-1) })
		return
	}
	w.attempts[job]++
	w.tell("caller sends %s to %s", job, e.address)
	e.nextID++
	r := &request{id: batch.RequestID(e.nextID), job: job}
	life := e.life
	need := w.needOf(job, tasks)
	e.open[r.id] = r
	e.deliver(3*time.Millisecond, func() {
		e.core.Submit(w.now, &batch.Request{
			ID: r.id, Job: job, Queue: testQueue, Spec: "x", Deadline: w.now.Add(patience),
			Steps: []batch.Step{{Count: tasks, Need: need, Estimate: 200 * time.Millisecond}},
		})
		e.perform()
	})
	w.watch(e, life, r, tasks, attempts)
}

// needOf returns the room that each task of a job needs, the same at each attempt.
func (w *world) needOf(job string, tasks int) room.Room {
	first := fmt.Sprintf("%s.0.0.0", job)
	if need, known := w.needs[first]; known {
		return need
	}
	w.tasksOf[job] = tasks
	need := room.Room{CPU: 1500 + w.rand.IntN(1500), Memory: 10}
	for i := range tasks {
		w.needs[fmt.Sprintf("%s.0.0.%d", job, i)] = need
	}
	return need
}

// watch is the caller's side of an attempt.
func (w *world) watch(e *entryProcess, life int, r *request, tasks, attempts int) {
	given := w.now.Add(patience)
	var look func()
	look = func() {
		switch {
		case r.done:
			return
		case e.life != life || e.dead:
			if attempts > 1 {
				w.after(resend, func() { w.submit(r.job, tasks, attempts-1) })
			}
		case !w.now.Before(given):
			delete(e.open, r.id)
			w.tell("caller gives %s up at %s", r.job, e.address)
			e.deliver(3*time.Millisecond, func() {
				e.core.Cancel(w.now, r.id)
				e.perform()
			})
			if attempts > 1 {
				w.after(resend, func() { w.submit(r.job, tasks, attempts-1) })
			}
		default:
			w.after(5*time.Millisecond, look)
		}
	}
	look()
}
