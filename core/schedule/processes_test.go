package schedule

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/core/runner"
	"peridotpick.example/wire/runs"
)

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
	ledger  *ledger.Core
	// asks are callers that wait for the answer about a durable job.
	asks map[ledger.RequestID]func(errkind.Kind)
	// cut entries reach neither the store nor other entries.
	cut bool
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
	e.asks = make(map[ledger.RequestID]func(errkind.Kind))
	e.ledger = ledger.New(ledger.Settings{
		Self: e.self, OwnFor: ownFor, RunsOver: ownerLease + runsOver, SilentAfter: entrySilent, KeepEnded: time.Hour, MaxOpen: 1000,
	}, e.w.now)
	e.ticks()
	e.follow(0, true)
	for _, a := range e.w.agents {
		e.w.connect(a, e)
	}
}

func (e *entryProcess) ticks() {
	e.deliver(tick, func() {
		e.core.Tick(e.w.now)
		e.hearPeers()
		e.perform()
		e.ticks()
	})
}

func (e *entryProcess) perform() {
	for e.performOnce() {
	}
}

func (e *entryProcess) performOnce() bool {
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
	return e.exchange(&out)
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
