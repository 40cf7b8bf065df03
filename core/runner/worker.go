package runner

import (
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// workerState is what the agent knows of the worker's present incarnation.
type workerState struct {
	info runs.Worker
	// known: the incarnation has announced itself.
	known bool
	// synced: it was looked at with this process's token, so that all its runs
	// are known and no order of a former process can have an effect.
	synced   bool
	syncedAt time.Time
	token    int64
	// tokenStep is by how much the token was raised last.
	tokenStep int64
	// lastSeen is the number of the newest end taken note of.
	lastSeen int64
	// acknowledged is the newest lastSeen that the worker has answered.
	acknowledged int64
	// clock is a reading of the worker's clock in ms, received at readAt.
	clock  int64
	readAt time.Time
	// promisedUntil is the latest deadline ever sent, on the worker's clock.
	promisedUntil int64
	// formerLease is what a former agent process may have promised beyond the first
	// reading of the clock, in ms.
	formerLease int64
	// candidate is another incarnation that has announced itself. The announcement
	// may be an old one that came late, so the worker is asked who it is.
	candidate      runs.Worker
	candidateClock int64
	// leftAt is when the incarnation said that it ends; its runs may need a moment.
	leftAt time.Time
	// epoch rises whenever what was known of the worker's runs no longer holds.
	epoch uint64
	// lookedAt is when the newest look was made that was answered; answers of
	// older ones tell what was.
	lookedAt time.Time
	// unanswered counts the looks in a row that got no answer.
	unanswered int
	// again: the server has started again under the ID that it had.
	again bool
	// unannounced: the incarnation has answered and said nothing of itself yet.
	unannounced bool
	// doubted is set while the server may have started again under its ID.
	doubted bool
}

// clockDrift is how much slower than real time a worker's clock may run.
const clockDrift = 0.02

// read takes a reading of the worker's clock.
func (w *workerState) read(now time.Time, clock int64) {
	if clock <= w.clock {
		return
	}
	if w.clock == 0 {
		w.promised(clock + w.formerLease)
	}
	w.clock = clock
	w.readAt = now
}

// earliest returns the lowest value that the worker's clock may show.
func (w *workerState) earliest(now time.Time) int64 {
	since := float64(now.Sub(w.readAt).Milliseconds()) * (1 - clockDrift)
	return w.clock + int64(since)
}

// deadline returns the end of a lease from now on, on the worker's clock.
func (w *workerState) deadline(now time.Time, lease time.Duration) int64 {
	return w.earliest(now) + lease.Milliseconds()
}

func (w *workerState) promised(deadline int64) { w.promisedUntil = max(w.promisedUntil, deadline) }

// Announced handles an announcement of the worker. It returns false if the
// announcement is of an incarnation that is over.
func (c *Core) Announced(now time.Time, info runs.Worker, clock int64) bool {
	c.now = now
	if c.former.has(info.Life()) {
		return false
	}
	if !c.worker.known {
		c.replaceWorker(info, clock)
		return true
	}
	if c.worker.info.Life() != info.Life() {
		c.worker.candidate = info
		c.worker.candidateClock = clock
		return true
	}
	c.worker.read(now, clock)
	changed := info.Draining != c.worker.info.Draining || info.Capacity != c.worker.info.Capacity || c.worker.unannounced
	c.worker.unannounced = false
	c.worker.info = info
	if changed {
		if info.Draining {
			c.refuseWaiting(runs.Draining)
		}
		c.handOn()
		c.workerChanged()
	}
	return true
}

// Recalled handles what a former process of this agent was told by its worker.
// The first look, without a token, tells the worker's clock or that the
// incarnation is over.
func (c *Core) Recalled(now time.Time, info runs.Worker) {
	c.now = now
	if !c.worker.known && !c.former.has(info.Life()) {
		c.replaceWorker(info, 0)
	}
}

// replaceWorker begins with a new incarnation. All runs of the former are over.
func (c *Core) replaceWorker(info runs.Worker, clock int64) {
	c.loseWorker()
	c.worker = workerState{
		info: info, known: true, again: c.former.hasID(info.ID), token: clock,
		formerLease: formerLeases * c.settings.WorkerLease.Milliseconds(),
	}
	c.worker.read(c.now, clock)
	c.pace = pace{}
	c.workerChanged()
}

// formerLeases is how many of this process's leases a former one may have taken.
const formerLeases = 2

// replaced handles that the present incarnation is over.
func (c *Core) replaced() {
	next, clock := c.worker.candidate, c.worker.candidateClock
	c.loseWorker()
	if next.ID != "" {
		c.replaceWorker(next, clock)
	}
}

// dropCandidate handles that the present incarnation has answered: another one
// that announced itself is over.
func (c *Core) dropCandidate() {
	if c.worker.candidate.ID == "" {
		return
	}
	c.retire(c.worker.candidate.Life())
	c.worker.candidate = runs.Worker{}
}

// retire notes that an incarnation is over; its announcements come late from now on.
func (c *Core) retire(life runs.Life) { c.former.add(life) }

// loseWorker ends all runs of the present incarnation, which is over.
func (c *Core) loseWorker() {
	c.held = ordered.Map[int64, *heldEnd]{} // what the incarnation listed is gone with it
	if c.worker.known {
		c.retire(c.worker.info.Life())
	}
	c.markSuspects()
	c.settleLapsed(c.lostReason() == runs.Crashed)
	c.endAll(c.lostReason())
	c.worker = workerState{info: runs.Worker{Agent: c.settings.Agent}}
	c.workerChanged()
}

// endAll reports all runs as over: they are not at the worker any more.
func (c *Core) endAll(reason runs.Reason) {
	for r := range c.runs.Values() {
		if r.phase == phaseWaiting {
			c.queue.remove(r)
			c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: runs.NoWorker})
			continue
		}
		if r.phase == phaseOrdered && r.life.Born != 0 {
			r.stranded, r.lost = true, reason
			continue
		}
		if !r.stranded {
			c.finish(r, c.lostEnd(r, runs.Stopped, reason))
		}
	}
}

// Left handles the worker's word that an incarnation ends. Its runs count as over
// only once it has had the time to end them.
func (c *Core) Left(now time.Time, id string) {
	c.now = now
	if !c.worker.known || c.worker.info.ID != id || !c.worker.leftAt.IsZero() {
		return
	}
	if c.worker.info.Born != 0 && !c.worker.info.Draining {
		c.worker.doubted = true // a former incarnation under this ID may have said so
		return
	}
	c.worker.leftAt = now
	c.worker.synced = false
	c.refuseWaiting(runs.NoWorker)
	c.workerChanged()
}

// stopGrace is how long a worker may take to end its runs.
const stopGrace = 50 * time.Millisecond

func (c *Core) expireLeft() {
	if !c.worker.leftAt.IsZero() && c.now.Sub(c.worker.leftAt) > stopGrace {
		c.replaced()
	}
}

// silentLooks is the number of looks in a row without an answer from which the
// worker is taken to be out of reach. A single answer may be lost.
const silentLooks = 2

// silent reports whether the worker is out of reach. Its lease is then no longer
// renewed: an unanswered call may have renewed it, and runs could not be told to
// be over as long as such calls go out.
func (c *Core) silent() bool { return c.worker.unanswered >= silentLooks }

// unanswered counts a look without an answer.
func (c *Core) unanswered() {
	c.worker.unanswered++
	if c.worker.unanswered == silentLooks {
		c.refuseWaiting(runs.NoWorker)
		c.workerChanged()
	}
}

// answered notes that the worker is in reach.
func (c *Core) answered() {
	was := c.silent()
	c.worker.unanswered = 0
	if was {
		c.workerChanged()
	}
}

// expireWorker ends all runs once their lease has certainly passed on the
// worker's clock; the worker must then be looked at anew.
func (c *Core) expireWorker() {
	if !c.worker.synced || c.occupied() == 0 {
		return
	}
	if c.worker.earliest(c.now) <= c.worker.promisedUntil+stopGrace.Milliseconds() {
		return
	}
	c.worker.synced = false
	c.worker.epoch++
	c.markSuspects()
	c.rememberLapsed()
	c.endAll(runs.Lapsed)
	c.workerChanged()
}

// workerChanged has all entries told of the worker.
func (c *Core) workerChanged() {
	c.loadChanged = true
	for l := range c.links.Values() {
		c.tellWorker(l)
	}
}

func (c *Core) tellWorker(l *link) {
	info := c.worker.info
	info.Draining = info.Draining || c.draining
	info.Released, info.OnDemand = l.released(), l.onDemand
	if !c.worker.synced || c.outOfUse() {
		info.ID = ""
	}
	l.out.Worker = &info
	l.dirty = true
}

// reconcile answers entries what became of the runs that they believe to be here.
func (c *Core) reconcile() {
	if c.worker.known && !c.worker.synced {
		return
	}
	if !c.worker.known && len(c.former.order) == 0 {
		return // a new process that has not heard of its worker cannot know
	}
	for id, owned := range c.pendingOwned.All() {
		c.pendingOwned.Delete(id)
		for _, o := range owned {
			c.reconcileRun(c.links.Get(id), o)
		}
	}
}

func (c *Core) reconcileRun(l *link, o runs.Owned) {
	r := c.runs.Get(o.Key)
	switch {
	case r == nil:
		c.answerUnknown(l, o.Key)
		if !o.Durable {
			c.noted([]runs.Key{o.Key})
		}
	case r.orphan:
		r.orphan = false
		r.owner = l.entry
		r.need = o.Need
		r.start.Estimate = o.Estimate
		r.durable = o.Durable
		c.loadChanged = true
		c.note("adopt", r, runs.NoReason)
	}
}

// stopOrphans stops runs of a former process that no entry has claimed.
func (c *Core) stopOrphans() {
	if !c.worker.synced || c.now.Sub(c.worker.syncedAt) < c.settings.AdoptWithin {
		return
	}
	for r := range c.runs.Values() {
		if r.orphan {
			c.end(r, runs.NoLease)
		}
	}
}
