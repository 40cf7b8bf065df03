package emulator

import (
	"maps"
	"slices"
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/core/runner"
	"peridotpick.example/wire/runs"
)

// process is one process that may be frozen or killed.
type process struct {
	w      *world
	life   int
	frozen time.Time
	dead   bool
	// turnedAway processes do not reach the store.
	turnedAway bool
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
	core   *runner.Core
	worker *worker
	// entries are the addresses of the entries that it works with, chosen those when
	// all its ends are settled.
	entries, chosen map[string]bool
	looking         bool
	links           ordered.Map[runner.LinkID, *simLink]
	// heardLife and heardNumber are those of the newest announcement.
	heardLife   runs.Life
	heardNumber int
	// known is what the registry remembers of the worker.
	known runs.Worker
	// drained are the data centres for which chosen was made.
	drained []string
	// drainsAskedAt is when the store was last asked for drained data centres.
	drainsAskedAt time.Time
	// outOfTouchAt is when it last was not running, or nobody told it of drains.
	outOfTouchAt time.Time
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
	chosen := w.layout.chosen(k, nil)
	a := &agentProcess{process: process{w: w}, worker: k, entries: chosen, chosen: chosen}
	a.start()
	return a
}

func (a *agentProcess) start() {
	l := a.w.layout
	a.life++
	a.dead = false
	a.looking = false
	a.links = ordered.Map[runner.LinkID, *simLink]{}
	settings := runner.Standard()
	settings.Agent, settings.Policy = a.worker.name, l.policy
	settings.OwnerLease, settings.WorkerLease, settings.LookWait = l.ownerLease, l.workerLease, l.lookWait
	settings.LongestLease = l.longestLease
	a.core = runner.New(settings)
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
		a.turnToOwners()
		a.confirmDrains()
		a.perform()
		a.ticks()
	})
}

// turnToOwners has the agent work also with entries that are short of agents, and with
// all while kept ends find no owner.
func (a *agentProcess) turnToOwners() {
	if drained := a.core.DrainedDataCentres(); !slices.Equal(drained, a.drained) {
		a.drained = drained
		a.chosen = a.w.layout.chosen(a.worker, drained)
	}
	all := a.core.Unsettled()
	entries := make(map[string]bool)
	for _, e := range a.w.entries {
		if all || a.chosen[e.address] || !e.dead && e.core.Short(!e.cut) {
			entries[e.address] = true
		}
	}
	a.turn(entries)
}

// turn has the agent work with some entries, and release its links to others.
func (a *agentProcess) turn(entries map[string]bool) {
	if maps.Equal(a.entries, entries) {
		return
	}
	a.entries = entries
	for id, l := range a.links.All() {
		if entries[l.entry.address] {
			a.core.Retain(a.w.now, id)
		} else {
			a.core.Release(a.w.now, id)
		}
		a.core.OnDemand(a.w.now, id, !a.chosen[l.entry.address])
	}
	for _, e := range a.w.entries {
		if entries[e.address] {
			a.w.reconnect(a, e)
		}
	}
}

func (a *agentProcess) announce() {
	w := a.w
	a.deliver(time.Duration(w.rand.Int64N(int64(w.layout.announceEvery))), func() {
		a.announceOnce()
		a.announce()
	})
}

// announceOnce has the worker announce itself, which may be delayed.
func (a *agentProcess) announceOnce() {
	w := a.w
	if a.worker.down || a.worker.cut {
		return
	}
	info, clock := a.worker.info(), a.worker.clock()
	a.worker.said++
	number := a.worker.said
	late := time.Duration(0)
	if w.rand.Float64() < w.layout.lateShare {
		late = time.Duration(w.rand.IntN(3000)) * time.Millisecond
	}
	a.deliver(late, func() {
		if info.Life() == a.heardLife && number < a.heardNumber {
			return // a newer one has come; the adapter drops it
		}
		a.heardLife, a.heardNumber = info.Life(), number
		a.known = info
		a.event(func() { a.core.Announced(w.now, info, clock) })
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
		a.w.tell("%s %s %s/%d %s %v", a.worker.name, n.Event, n.Key.Task, n.Key.Run, n.Reason, n.Worker)
	}
	for _, id := range out.Closes {
		if l := a.links.Get(id); l != nil {
			l.close()
		}
	}
	for _, o := range out.Orders {
		a.order(o)
	}
	for _, s := range out.Sends {
		if l := a.links.Get(s.Link); l != nil {
			l.toEntry(s.Msg)
		}
	}
	a.look()
}

// order sends an order to the worker. It may be lost, and carried out late.
func (a *agentProcess) order(o runner.Order) {
	w := a.w
	need := w.needOf(o.Key)
	delay := time.Duration(100+w.rand.IntN(900)) * time.Microsecond
	if w.rand.Float64() < w.lostOrders {
		if w.rand.IntN(3) > 0 {
			sentTo := a.worker.life
			w.after(time.Duration(w.rand.IntN(6000))*time.Millisecond, func() {
				if a.worker.life == sentTo { // what a process has not handled dies with it
					a.worker.order(o, need)
				}
			})
		}
		a.noAnswer(o)
		return
	}
	if a.worker.cut || a.worker.down && !a.worker.refuses {
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
	if !a.w.looksArrive && a.w.rand.Float64() < a.w.lostOrders {
		sentTo := a.worker.life
		a.w.after(time.Duration(a.w.rand.IntN(4000))*time.Millisecond, func() {
			if a.worker.life == sentTo {
				a.worker.hold(look, func(runner.Answer, runner.Listing) {})
			}
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
	for l := range a.links.Values() {
		l.close()
	}
	a.w.after(pause, a.start)
}
