package schedule

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/runner"
	"peridotpick.example/wire/runs"
)

// connect opens a link from an agent to an entry, and opens it again whenever it
// has closed or gone silent.
func (w *world) connect(a *agentProcess, e *entryProcess) {
	if a.dead || e.dead {
		w.after(50*time.Millisecond, func() { w.reconnect(a, e) })
		return
	}
	w.nextLink++
	l := &simLink{id: w.nextLink, agent: a, entry: e, open: true, lastA: w.now, lastE: w.now}
	lifeA, lifeE := a.life, e.life
	e.deliver(time.Millisecond, func() {
		e.links[batch.LinkID(l.id)] = l
		e.core.LinkUp(w.now, batch.LinkID(l.id))
		e.perform()
	})
	self := e.self
	a.deliver(2*time.Millisecond, func() {
		a.links[runner.LinkID(l.id)] = l
		a.event(func() { a.core.LinkUp(w.now, runner.LinkID(l.id), self) })
	})
	w.watchLink(l, lifeA, lifeE)
}

// reconnect opens a link if neither side has got one meanwhile.
func (w *world) reconnect(a *agentProcess, e *entryProcess) {
	for _, l := range a.links {
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
			w.after(50*time.Millisecond, func() { w.reconnect(l.agent, l.entry) })
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
		delete(l.agent.links, runner.LinkID(l.id))
		l.agent.event(func() { l.agent.core.LinkDown(l.agent.w.now, runner.LinkID(l.id)) })
	})
	l.entry.deliver(time.Millisecond, func() {
		delete(l.entry.links, batch.LinkID(l.id))
		l.entry.core.LinkDown(l.entry.w.now, batch.LinkID(l.id))
		l.entry.perform()
	})
}

// latency keeps the order of messages in one direction.
func latency(w *world, last *time.Time) time.Duration {
	at := w.now.Add(time.Duration(300+w.rand.IntN(1200)) * time.Microsecond)
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
	d := latency(l.agent.w, &l.lastE)
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
	d := latency(l.entry.w, &l.lastA)
	l.agent.deliver(d, func() {
		if !l.open {
			return
		}
		l.lastA = l.agent.w.now
		l.agent.event(func() { l.agent.core.Receive(l.agent.w.now, runner.LinkID(l.id), msg) })
	})
}

// took is an answer that a caller got.
func (w *world) took(job string, a batch.Answer) {
	w.answered[job] = append(w.answered[job], a)
	if a.Kind == errkind.OK {
		w.done++
	}
	if !refusedNotRun(a) || !w.began[job] {
		return
	}
	// An earlier attempt that got no answer may have begun: only if all attempts
	// were refused is the refusal untrue.
	for _, other := range w.answered[job] {
		if !refusedNotRun(other) {
			return
		}
	}
	if w.firstAttempt(job) {
		w.breaks("job %s was refused as not run and had begun", job)
	}
}

// firstAttempt reports whether every attempt of the job was answered.
func (w *world) firstAttempt(job string) bool { return len(w.answered[job]) == w.attempts[job] }

func refusedNotRun(a batch.Answer) bool {
	return a.Kind != errkind.OK && errkind.Of(a.Kind).Ran == errkind.NotRun
}
