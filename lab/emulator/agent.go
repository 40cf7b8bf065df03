package emulator

import (
	"maps"
	"slices"
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/core/reach"
	"peridotpick.example/core/runner"
	"peridotpick.example/wire/runs"
)

// process is a simulated operating system process of an entry or agent, which can be suspended or
// killed.
type process struct {
	sim            *simulation
	incarnation    int
	suspendedUntil time.Time
	dead           bool
	// storeDenied is set while the store rejects the requests of this process.
	storeDenied bool
}

// suspend suspends the process for a time. It does not shorten a longer suspension.
func (p *process) suspend(d time.Duration) {
	if until := p.sim.now.Add(d); until.After(p.suspendedUntil) {
		p.suspendedUntil = until
	}
}

// deliver has the process run action after a delay, or when its suspension ends. The action is
// dropped if the process has ended by then, also if it has been started again.
func (p *process) deliver(delay time.Duration, action func()) {
	incarnation := p.incarnation
	p.sim.schedule(delay, func() { p.handle(incarnation, action) })
}

// handle runs action at once, or when the suspension of the process ends. It drops the action if the
// given incarnation has ended.
func (p *process) handle(incarnation int, action func()) {
	if p.incarnation != incarnation || p.dead {
		return
	}
	if p.sim.now.Before(p.suspendedUntil) {
		p.sim.schedule(p.suspendedUntil.Sub(p.sim.now), func() { p.handle(incarnation, action) })
		return
	}
	action()
}

// agentProcess runs an agent's core: it exchanges messages with entries and the worker, and applies
// the core's outputs.
type agentProcess struct {
	process
	core   *runner.Core
	worker *worker
	// linkedEntries are the addresses of the entries that the agent maintains links to. chosen are
	// those it links to while it has no undelivered ends and no entry is short of agents.
	linkedEntries, chosen map[string]bool
	polling               bool
	links                 ordered.Map[runner.LinkID, *simLink]
	// announcedIncarnation and announcementNumber identify the newest announcement received from
	// the worker.
	announcedIncarnation runs.Incarnation
	announcementNumber   int
	// registered is the worker as stored in the registry; the agent reads it when it starts.
	registered runs.Worker
	// asks are the entries that ask for the agent.
	asks *reach.Asks
	// drained are the drained data centres for which chosen was computed.
	drained []string
	// drainsQueriedAt is when the agent last queried the store for the drained data centres.
	drainsQueriedAt time.Time
	// cutUntil is, by the address of an entry, until when the agent cannot open a link to it.
	cutUntil map[string]time.Time
	// disconnectedAt is the last time at which the agent did not run or had no source for drains.
	disconnectedAt time.Time
}

// simLink is a link between an agent and an entry. Both ends are notified when it closes.
type simLink struct {
	id    uint64
	agent *agentProcess
	entry *entryProcess
	open  bool
	// dropsMessages is set once the link loses all messages without closing.
	dropsMessages bool
	// lastToAgent and lastToEntry are the latest delivery times in each direction.
	lastToAgent time.Time
	lastToEntry time.Time
}

func newAgentProcess(sim *simulation, w *worker) *agentProcess {
	chosen := sim.config.chosenEntries(w, nil)
	a := &agentProcess{process: process{sim: sim}, worker: w, linkedEntries: chosen, chosen: chosen, cutUntil: make(map[string]time.Time)}
	a.start()
	return a
}

func (a *agentProcess) start() {
	config := a.sim.config
	a.incarnation++
	a.dead = false
	a.polling = false
	a.links = ordered.Map[runner.LinkID, *simLink]{}
	a.asks = reach.NewAsks(a.worker.name)
	settings := runner.DefaultSettings()
	settings.Agent, settings.Policy = a.worker.name, config.policy
	settings.OwnerLease, settings.WorkerLease, settings.PollWait = config.ownerLease, config.workerLease, config.pollWait
	settings.MaxWorkerLease = config.longestLease
	a.core = runner.New(settings)
	a.scheduleTick()
	a.scheduleAnnouncement()
	if a.registered.ID != "" {
		registered := a.registered
		a.deliver(10*time.Millisecond, func() { a.handleEvent(func() { a.core.WorkerLoaded(a.sim.now, registered) }) })
	}
}

// cutFrom cuts the agent off from an entry for a time. Open links lose all messages from then on.
func (a *agentProcess) cutFrom(e *entryProcess, d time.Duration) {
	a.cutUntil[e.address] = a.sim.now.Add(d)
	for l := range a.links.Values() {
		if l.entry == e {
			l.dropsMessages = true
		}
	}
}

// isCutFrom reports whether the agent is cut off from an entry.
func (a *agentProcess) isCutFrom(e *entryProcess) bool {
	return a.sim.now.Before(a.cutUntil[e.address])
}

func (a *agentProcess) scheduleTick() {
	a.deliver(tickInterval, func() {
		a.core.Tick(a.sim.now)
		a.updateLinkedEntries()
		a.queryDrains()
		a.perform()
		a.scheduleTick()
	})
}

// updateLinkedEntries selects the entries to link to: the chosen ones, those that are short of
// agents or ask for this one, and all while the agent has ends that it cannot deliver to their entry.
func (a *agentProcess) updateLinkedEntries() {
	if drained := a.core.DrainedDataCentres(); !slices.Equal(drained, a.drained) {
		a.drained = drained
		a.chosen = a.sim.config.chosenEntries(a.worker, drained)
	}
	all, asking := a.core.HasUndeliveredEnds(), a.askingEntries()
	entries := make(map[string]bool)
	for _, e := range a.sim.entries {
		if all || a.chosen[e.address] || asking[e.address] || !e.dead && e.core.IsShortOfAgents(!e.partitioned) {
			entries[e.address] = true
		}
	}
	a.setLinkedEntries(entries)
}

// setLinkedEntries opens links to the given entries and releases those to all others.
func (a *agentProcess) setLinkedEntries(entries map[string]bool) {
	if maps.Equal(a.linkedEntries, entries) {
		return
	}
	a.linkedEntries = entries
	for id, l := range a.links.All() {
		if entries[l.entry.address] {
			a.core.Retain(a.sim.now, id)
		} else {
			a.core.Release(a.sim.now, id)
		}
		a.core.SetOnDemand(a.sim.now, id, !a.chosen[l.entry.address])
	}
	for _, e := range a.sim.entries {
		if entries[e.address] {
			a.sim.reconnect(a, e)
		}
	}
}

func (a *agentProcess) scheduleAnnouncement() {
	sim := a.sim
	a.deliver(time.Duration(sim.rand.Int64N(int64(sim.config.announceInterval))), func() {
		a.announceOnce()
		a.scheduleAnnouncement()
	})
}

// announceOnce sends an announcement of the worker to the agent. A share of them is delayed.
func (a *agentProcess) announceOnce() {
	sim := a.sim
	if a.worker.down || a.worker.partitioned {
		return
	}
	info, clock := a.worker.info(), a.worker.clock()
	a.worker.announcements++
	number := a.worker.announcements
	delay := time.Duration(0)
	if sim.rand.Float64() < sim.config.delayedShare {
		delay = time.Duration(sim.rand.IntN(3000)) * time.Millisecond
	}
	a.deliver(delay, func() {
		if info.Incarnation() == a.announcedIncarnation && number < a.announcementNumber {
			return // out of order; the announcement handler of the agent drops it as well
		}
		a.announcedIncarnation, a.announcementNumber = info.Incarnation(), number
		a.registered = info
		a.handleEvent(func() { a.core.WorkerAnnounced(sim.now, info, clock) })
	})
}

// handleEvent passes an event to the core and applies its output.
func (a *agentProcess) handleEvent(event func()) {
	a.core.Tick(a.sim.now)
	event()
	a.perform()
}

// perform applies the output of the core.
func (a *agentProcess) perform() {
	out := a.core.Flush(a.sim.now)
	for _, n := range out.Decisions {
		a.sim.logEvent("%s %s %s/%d %s %v", a.worker.name, n.Event, n.Key.Task, n.Key.Run, n.Reason, n.Worker)
	}
	for _, id := range out.CloseLinks {
		if l := a.links.Get(id); l != nil {
			l.close()
		}
	}
	for _, o := range out.Orders {
		a.sendOrder(o)
	}
	for _, s := range out.Sends {
		if l := a.links.Get(s.Link); l != nil {
			l.sendToEntry(s.Msg)
		}
	}
	a.poll()
}

// sendOrder sends an order to the worker. A share of the orders gets no answer; two thirds of those
// are still carried out, up to six seconds later.
func (a *agentProcess) sendOrder(o runner.Order) {
	sim := a.sim
	need := sim.needOf(o.Key)
	delay := time.Duration(100+sim.rand.IntN(900)) * time.Microsecond
	if sim.rand.Float64() < sim.orderLossShare {
		if sim.rand.IntN(3) > 0 {
			workerIncarnation := a.worker.incarnation
			sim.schedule(time.Duration(sim.rand.IntN(6000))*time.Millisecond, func() {
				if a.worker.incarnation == workerIncarnation { // a restarted worker does not receive it
					a.worker.order(o, need)
				}
			})
		}
		a.deliverNoAnswer(o)
		return
	}
	if a.worker.partitioned || a.worker.down && !a.worker.refusesConnections {
		a.deliverNoAnswer(o)
		return
	}
	incarnation := a.incarnation
	sim.schedule(delay, func() {
		answer := a.worker.order(o, need)
		sim.schedule(delay, func() {
			a.handle(incarnation, func() { a.handleEvent(func() { a.core.OrderAnswered(sim.now, o, answer) }) })
		})
	})
}

func (a *agentProcess) deliverNoAnswer(o runner.Order) {
	a.deliver(120*time.Millisecond, func() {
		a.handleEvent(func() { a.core.OrderAnswered(a.sim.now, o, runner.Answer{Status: runner.NoAnswer}) })
	})
}

// poll polls the worker if the core asks for it and no poll is open.
func (a *agentProcess) poll() {
	if a.polling {
		return
	}
	poll, ok := a.core.NextPoll(a.sim.now)
	if !ok {
		return
	}
	a.polling = true
	incarnation, answered := a.incarnation, false
	answer := func(result runner.Answer, listing runner.Listing) {
		a.sim.schedule(300*time.Microsecond, func() {
			a.handle(incarnation, func() {
				if answered {
					return
				}
				answered = true
				a.polling = false
				a.handleEvent(func() { a.core.PollAnswered(a.sim.now, poll, result, listing) })
			})
		})
	}
	if !a.sim.pollsReliable && a.sim.rand.Float64() < a.sim.orderLossShare {
		workerIncarnation := a.worker.incarnation
		a.sim.schedule(time.Duration(a.sim.rand.IntN(4000))*time.Millisecond, func() {
			if a.worker.incarnation == workerIncarnation {
				a.worker.poll(poll, func(runner.Answer, runner.Listing) {})
			}
		})
	} else {
		a.sim.schedule(300*time.Microsecond, func() { a.worker.poll(poll, answer) })
	}
	a.sim.schedule(poll.Wait+150*time.Millisecond, func() { answer(runner.Answer{Status: runner.NoAnswer}, runner.Listing{}) })
}

// kill ends the process. A new one starts after the downtime.
func (a *agentProcess) kill(downtime time.Duration) {
	a.dead = true
	a.sim.logEvent("%s agent killed", a.worker.name)
	for l := range a.links.Values() {
		l.close()
	}
	a.sim.schedule(downtime, a.start)
}
