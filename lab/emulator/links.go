package emulator

import (
	"time"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/runner"
	"peridotpick.example/wire/runs"
)

// connect opens a link from an agent to an entry, and opens it again whenever it
// has closed or gone silent.
func (w *world) connect(a *agentProcess, e *entryProcess) {
	if a.dead || e.dead {
		w.after(linkRetry, func() { w.reconnect(a, e) })
		return
	}
	w.nextLink++
	l := &simLink{id: w.nextLink, agent: a, entry: e, open: true, lastA: w.now, lastE: w.now}
	lifeA, lifeE := a.life, e.life
	way := w.layout.oneWay(a.worker.centre, e.centre)
	e.deliver(time.Millisecond+way, func() {
		e.links.Put(batch.LinkID(l.id), l)
		e.core.LinkUp(w.now, batch.LinkID(l.id))
		e.perform()
	})
	self := e.self
	a.deliver(2*time.Millisecond+2*way, func() {
		a.links.Put(runner.LinkID(l.id), l)
		a.event(func() {
			a.core.LinkUp(w.now, runner.LinkID(l.id), self)
			a.core.OnDemand(w.now, runner.LinkID(l.id), !a.chosen[e.address])
		})
	})
	w.watchLink(l, lifeA, lifeE)
}

// reconnect opens a link if the agent works with the entry, and neither side has got
// one meanwhile.
func (w *world) reconnect(a *agentProcess, e *entryProcess) {
	if !a.entries[e.address] {
		return
	}
	for l := range a.links.Values() {
		if l.entry == e && l.open {
			return
		}
	}
	w.connect(a, e)
}

// watchLink is the agent's shell: a link that is silent too long is closed.
func (w *world) watchLink(l *simLink, lifeA, lifeE int) {
	w.after(50*time.Millisecond, func() {
		limit := 1500 * time.Millisecond
		if l.agent.core.Owes(runner.LinkID(l.id)) {
			limit = 260 * time.Millisecond
		}
		gone := l.agent.life != lifeA || l.entry.life != lifeE || l.agent.dead || l.entry.dead
		if !l.open || gone || w.now.Sub(l.lastA) > limit {
			l.close()
			w.after(linkRetry, func() { w.reconnect(l.agent, l.entry) })
			return
		}
		w.watchLink(l, lifeA, lifeE)
	})
}

// close ends a link. Each side hears of it in its own time.
func (l *simLink) close() {
	if !l.open {
		return
	}
	l.open = false
	l.agent.deliver(0, func() {
		l.agent.links.Delete(runner.LinkID(l.id))
		l.agent.event(func() { l.agent.core.LinkDown(l.agent.w.now, runner.LinkID(l.id)) })
	})
	l.entry.deliver(time.Millisecond, func() {
		l.entry.links.Delete(batch.LinkID(l.id))
		l.entry.core.LinkDown(l.entry.w.now, batch.LinkID(l.id))
		l.entry.perform()
	})
}

// latency returns the way of a message, and keeps the order of one direction.
func (l *simLink) latency(last *time.Time) time.Duration {
	w := l.agent.w
	way := w.layout.oneWay(l.agent.worker.centre, l.entry.centre)
	at := w.now.Add(way + time.Duration(w.rand.Int64N(int64(w.layout.jitter))))
	if at.Before(*last) {
		at = *last
	}
	*last = at
	return at.Sub(w.now)
}

func (l *simLink) toEntry(msg *runs.ToEntry) {
	if l.silent {
		return
	}
	d := l.latency(&l.lastE)
	l.entry.deliver(d, func() {
		if !l.open {
			return
		}
		l.entry.core.Receive(l.entry.w.now, batch.LinkID(l.id), msg)
		l.entry.perform()
	})
}

func (l *simLink) toAgent(msg *runs.ToAgent) {
	if l.silent {
		return
	}
	d := l.latency(&l.lastA)
	l.agent.deliver(d, func() {
		if !l.open {
			return
		}
		l.lastA = l.agent.w.now
		l.agent.event(func() { l.agent.core.Receive(l.agent.w.now, runner.LinkID(l.id), msg) })
	})
}
