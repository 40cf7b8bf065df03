package emulator

import (
	"time"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/runner"
	"peridotpick.example/wire/runs"
)

// connect opens a link from an agent to an entry, and opens it again whenever it has closed or is
// silent.
func (sim *simulation) connect(a *agentProcess, e *entryProcess) {
	if a.dead || e.dead || a.isCutFrom(e) {
		sim.schedule(linkRetryDelay, func() { sim.reconnect(a, e) })
		return
	}
	sim.nextLink++
	l := &simLink{id: sim.nextLink, agent: a, entry: e, open: true, lastToAgent: sim.now, lastToEntry: sim.now}
	agentIncarnation, entryIncarnation := a.incarnation, e.incarnation
	oneWay := sim.config.latency(a.worker.dataCentre, e.dataCentre)
	e.deliver(time.Millisecond+oneWay, func() {
		e.links.Put(batch.LinkID(l.id), l)
		e.core.LinkUp(sim.now, batch.LinkID(l.id))
		e.perform()
	})
	self := e.self
	a.deliver(2*time.Millisecond+2*oneWay, func() {
		a.links.Put(runner.LinkID(l.id), l)
		a.asks.SetLinked(sim.now, e.address, true)
		a.handleEvent(func() {
			a.core.LinkUp(sim.now, runner.LinkID(l.id), self)
			a.core.SetOnDemand(sim.now, runner.LinkID(l.id), !a.chosen[e.address])
		})
	})
	sim.watchLink(l, agentIncarnation, entryIncarnation)
}

// reconnect opens a link if the agent is to link to the entry and no link between them is open.
func (sim *simulation) reconnect(a *agentProcess, e *entryProcess) {
	if !a.linkedEntries[e.address] {
		return
	}
	for l := range a.links.Values() {
		if l.entry == e && l.open {
			return
		}
	}
	sim.connect(a, e)
}

// watchLink closes a link on which the agent receives nothing for too long. The timeout is shorter
// while the agent has runs of the entry.
func (sim *simulation) watchLink(l *simLink, agentIncarnation, entryIncarnation int) {
	sim.schedule(50*time.Millisecond, func() {
		silenceTimeout := 1500 * time.Millisecond
		if l.agent.core.EntryHasRuns(runner.LinkID(l.id)) {
			silenceTimeout = 260 * time.Millisecond
		}
		ended := l.agent.incarnation != agentIncarnation || l.entry.incarnation != entryIncarnation || l.agent.dead || l.entry.dead
		if !l.open || ended || sim.now.Sub(l.lastToAgent) > silenceTimeout {
			l.close()
			sim.schedule(linkRetryDelay, func() { sim.reconnect(l.agent, l.entry) })
			return
		}
		sim.watchLink(l, agentIncarnation, entryIncarnation)
	})
}

// close closes a link. Each end is notified after its own delay.
func (l *simLink) close() {
	if !l.open {
		return
	}
	l.open = false
	l.agent.deliver(0, func() {
		l.agent.links.Delete(runner.LinkID(l.id))
		l.agent.asks.SetLinked(l.agent.sim.now, l.entry.address, false)
		l.agent.handleEvent(func() { l.agent.core.LinkDown(l.agent.sim.now, runner.LinkID(l.id)) })
	})
	l.entry.deliver(time.Millisecond, func() {
		l.entry.links.Delete(batch.LinkID(l.id))
		l.entry.core.LinkDown(l.entry.sim.now, batch.LinkID(l.id))
		l.entry.perform()
	})
}

// deliveryDelay returns the delay of a message sent now. It keeps the order of the messages of one
// direction, whose last delivery time is *last.
func (l *simLink) deliveryDelay(last *time.Time) time.Duration {
	sim := l.agent.sim
	oneWay := sim.config.latency(l.agent.worker.dataCentre, l.entry.dataCentre)
	at := sim.now.Add(oneWay + time.Duration(sim.rand.Int64N(int64(sim.config.jitter))))
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at.Sub(sim.now)
}

func (l *simLink) sendToEntry(msg *runs.ToEntry) {
	l.agent.sim.messages++
	if l.dropsMessages {
		return
	}
	delay := l.deliveryDelay(&l.lastToEntry)
	l.entry.deliver(delay, func() {
		if !l.open {
			return
		}
		l.entry.core.Receive(l.entry.sim.now, batch.LinkID(l.id), msg)
		l.entry.perform()
	})
}

func (l *simLink) sendToAgent(msg *runs.ToAgent) {
	l.agent.sim.messages++
	if l.dropsMessages {
		return
	}
	delay := l.deliveryDelay(&l.lastToAgent)
	l.agent.deliver(delay, func() {
		if !l.open {
			return
		}
		l.lastToAgent = l.agent.sim.now
		l.agent.receiveAsks(l, msg)
		l.agent.handleEvent(func() { l.agent.core.Receive(l.agent.sim.now, runner.LinkID(l.id), msg) })
	})
}
