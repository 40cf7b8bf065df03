package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/runner"
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
	broken     []string
	done       int
	starts     int
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

// process is one process that may be frozen or killed.
type process struct {
	w      *world
	life   int
	frozen time.Time
	dead   bool
}

// freeze suspends the process for a time, or longer if it is frozen already.
func (p *process) freeze(d time.Duration) {
	if until := p.w.now.Add(d); until.After(p.frozen) {
		p.frozen = until
	}
}

// deliver has the process handle something, after it wakes if it is frozen. What
// is meant for a former life is lost.
func (p *process) deliver(d time.Duration, do func()) {
	life := p.life
	p.w.after(d, func() { p.handle(life, do) })
}

func (p *process) handle(life int, do func()) {
	if p.life != life || p.dead {
		return
	}
	if p.w.now.Before(p.frozen) {
		p.w.after(p.frozen.Sub(p.w.now), func() { p.handle(life, do) })
		return
	}
	do()
}

// agentProcess is an agent with its shell.
type agentProcess struct {
	process
	core    *runner.Core
	worker  *worker
	looking bool
	links   map[runner.LinkID]*simLink
	// known is what the registry remembers of the worker.
	known runs.Worker
}

// simLink joins an agent and an entry. Both ends see it close unless it is silent.
type simLink struct {
	id     uint64
	agent  *agentProcess
	entry  *entryProcess
	open   bool
	silent bool
	lastA  time.Time
	lastE  time.Time
}

func newAgentProcess(w *world, k *worker) *agentProcess {
	a := &agentProcess{process: process{w: w}, worker: k}
	a.start()
	return a
}

func (a *agentProcess) start() {
	a.life++
	a.dead = false
	a.looking = false
	a.links = make(map[runner.LinkID]*simLink)
	a.core = runner.New(runner.Settings{
		Agent: a.worker.name, OwnerLease: ownerLease, WorkerLease: workerLease, LookWait: 100 * time.Millisecond,
		AdoptWithin: 250 * time.Millisecond, QueueLimit: 64, Beat: 100 * time.Millisecond,
		IdleBeat: 500 * time.Millisecond, LateFactor: 1.5,
	})
	a.ticks()
	a.announce()
	if a.known.ID != "" {
		known := a.known
		a.deliver(10*time.Millisecond, func() { a.event(func() { a.core.Recalled(a.w.now, known) }) })
	}
}

func (a *agentProcess) ticks() {
	a.deliver(tick, func() {
		a.core.Tick(a.w.now)
		a.perform()
		a.ticks()
	})
}

func (a *agentProcess) announce() {
	a.deliver(time.Duration(a.w.rand.IntN(300))*time.Millisecond, func() {
		if !a.worker.down {
			info, clock := a.worker.info(), a.worker.clock()
			late := time.Duration(0)
			if a.w.rand.IntN(10) == 0 {
				late = time.Duration(a.w.rand.IntN(3000)) * time.Millisecond
			}
			a.deliver(late, func() {
				a.known = info
				a.event(func() { a.core.Announced(a.w.now, info, clock) })
			})
		}
		a.announce()
	})
}

func (a *agentProcess) event(do func()) {
	a.core.Tick(a.w.now)
	do()
	a.perform()
}

func (a *agentProcess) perform() {
	out := a.core.Flush(a.w.now)
	for _, n := range out.Notes {
		a.w.tell("%s %s %s/%d %s", a.worker.name, n.Event, n.Key.Task, n.Key.Run, n.Reason)
	}
	for _, o := range out.Orders {
		a.order(o)
	}
	for _, s := range out.Sends {
		if l := a.links[s.Link]; l != nil {
			l.toEntry(s.Msg)
		}
	}
	a.look()
}

// order sends an order to the worker. It may be lost, and carried out late.
func (a *agentProcess) order(o runner.Order) {
	w := a.w
	need := w.needs[o.Key.Task]
	delay := time.Duration(100+w.rand.IntN(900)) * time.Microsecond
	if w.rand.Float64() < w.lostOrders {
		if w.rand.IntN(3) > 0 {
			w.after(time.Duration(w.rand.IntN(6000))*time.Millisecond, func() { a.worker.order(o, need) })
		}
		a.noAnswer(o)
		return
	}
	if a.worker.down {
		a.noAnswer(o)
		return
	}
	life := a.life
	w.after(delay, func() {
		answer := a.worker.order(o, need)
		w.after(delay, func() {
			a.handle(life, func() { a.event(func() { a.core.Ordered(w.now, o, answer) }) })
		})
	})
}

func (a *agentProcess) noAnswer(o runner.Order) {
	a.deliver(120*time.Millisecond, func() {
		a.event(func() { a.core.Ordered(a.w.now, o, runner.Answer{Verdict: runner.NoAnswer}) })
	})
}

func (a *agentProcess) look() {
	if a.looking {
		return
	}
	look, ok := a.core.NextLook(a.w.now)
	if !ok {
		return
	}
	a.looking = true
	life, answered := a.life, false
	answer := func(ans runner.Answer, listing runner.Listing) {
		a.w.after(300*time.Microsecond, func() {
			a.handle(life, func() {
				if answered {
					return
				}
				answered = true
				a.looking = false
				a.event(func() { a.core.Looked(a.w.now, look, ans, listing) })
			})
		})
	}
	if a.w.rand.Float64() < a.w.lostOrders {
		a.w.after(time.Duration(a.w.rand.IntN(4000))*time.Millisecond, func() {
			a.worker.hold(look, func(runner.Answer, runner.Listing) {})
		})
	} else {
		a.w.after(300*time.Microsecond, func() { a.worker.hold(look, answer) })
	}
	a.w.after(look.Wait+150*time.Millisecond, func() { answer(runner.Answer{Verdict: runner.NoAnswer}, runner.Listing{}) })
}

// kill ends the process; a new one starts later.
func (a *agentProcess) kill(pause time.Duration) {
	a.dead = true
	a.w.tell("%s agent killed", a.worker.name)
	for _, l := range a.links {
		l.close()
	}
	a.w.after(pause, a.start)
}

// request is an attempt to hand a job in.
type request struct {
	id   batch.RequestID
	job  string
	done bool
}

// entryProcess is an entry with its shell.
type entryProcess struct {
	process
	core    *batch.Core
	address string
	self    runs.Entry
	links   map[batch.LinkID]*simLink
	open    map[batch.RequestID]*request
	nextID  uint64
}

func newEntryProcess(w *world, address string) *entryProcess {
	e := &entryProcess{process: process{w: w}, address: address}
	e.start()
	return e
}

func (e *entryProcess) start() {
	e.life++
	e.dead = false
	e.w.nextLife++
	e.self = runs.Entry{Address: e.address, Incarnation: e.w.nextLife}
	e.links = make(map[batch.LinkID]*simLink)
	e.open = make(map[batch.RequestID]*request)
	e.core = batch.New(batch.Settings{
		DataCentre: "d", OwnerLease: ownerLease, WorkerLease: runsOver, Beat: 100 * time.Millisecond,
		IdleBeat: 500 * time.Millisecond, SilentAfter: 1600 * time.Millisecond, StallLimit: 350 * time.Millisecond,
		Settling: 100 * time.Millisecond, RemoteFactor: 1.5, CrossCost: time.Millisecond, Overhead: 10 * time.Millisecond,
	})
	e.ticks()
	for _, a := range e.w.agents {
		e.w.connect(a, e)
	}
}

func (e *entryProcess) ticks() {
	e.deliver(tick, func() {
		e.core.Tick(e.w.now)
		e.perform()
		e.ticks()
	})
}

func (e *entryProcess) perform() {
	out := e.core.Flush(e.w.now)
	for _, n := range out.Notes {
		e.w.tell("%s %s %s %s/%d on %s %s %s", e.address, n.Event, n.Job, n.Key.Task, n.Key.Run, n.Worker, n.How, n.Reason)
	}
	for _, id := range out.Closes {
		if l := e.links[id]; l != nil {
			l.close()
		}
	}
	for _, s := range out.Sends {
		if l := e.links[s.Link]; l != nil {
			l.toAgent(s.Msg)
		}
	}
	for _, a := range out.Answers {
		if r := e.open[a.Request]; r != nil {
			delete(e.open, a.Request)
			r.done = true
			e.w.took(r.job, a)
		}
	}
}

func (e *entryProcess) kill(pause time.Duration) {
	e.dead = true
	e.w.tell("%s entry killed", e.address)
	e.open = make(map[batch.RequestID]*request)
	for _, l := range e.links {
		l.close()
	}
	e.w.after(pause, e.start)
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
	q := &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, Target: 500 * time.Millisecond}
	need := w.needOf(job, tasks)
	e.open[r.id] = r
	e.deliver(3*time.Millisecond, func() {
		e.core.Submit(w.now, &batch.Request{
			ID: r.id, Job: job, Queue: q, Spec: "x", Deadline: w.now.Add(patience),
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
