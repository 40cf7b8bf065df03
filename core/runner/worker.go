package runner

import (
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// workerState is the state of the worker's present incarnation.
type workerState struct {
	info runs.Worker
	// known is set once an incarnation was announced or loaded from the registry.
	known bool
	// synced is set once the worker was polled with this process's token: all its runs are known
	// then, and no order of a previous process can take effect.
	synced   bool
	syncedAt time.Time
	token    int64
	// tokenStep is the amount by which the token was raised last.
	tokenStep int64
	// lastEndNumber is the number of the newest end handled.
	lastEndNumber int64
	// acknowledged is the highest number of an end whose acknowledgement the worker has
	// confirmed.
	acknowledged int64
	// clock is the highest reading of the worker's clock in ms, received at clockReadAt. Readings are
	// taken from the worker's own answers only: other software can send announcements.
	clock       int64
	clockReadAt time.Time
	// latestDeadline is the latest deadline that the worker may have received, on its clock in
	// ms.
	latestDeadline int64
	// previousLease is how far beyond the first reading of the clock, in ms, a lease of a
	// previous agent process may reach.
	previousLease int64
	// candidate is another incarnation that was announced. The announcement may be an old one
	// that was delayed, so the worker is polled to find out.
	candidate *announcement
	// pending is an announcement of the present incarnation that waits for the answer to a poll.
	// unjudged is set while info is from an announcement that nothing was held against. announcedClock
	// is the clock in ms of the newest announcement that was followed.
	pending        *announcement
	unjudged       bool
	announcedClock int64
	// polledClock is the worker's clock in ms from the newest answer to a poll; 0 before the first.
	polledClock int64
	// leavingSince is when the worker announced that the incarnation ends; its runs may need a
	// moment to end.
	leavingSince time.Time
	// epoch rises whenever the known state of the worker's runs becomes invalid.
	epoch uint64
	// answeredPollAt is when the newest answered poll was sent; answers to older polls are
	// outdated.
	answeredPollAt time.Time
	// unansweredPolls counts the polls since the last answer.
	unansweredPolls int
	// idReused is set if a retired incarnation had the same ID.
	idReused bool
	// unannounced is set while the incarnation has answered but not announced itself.
	unannounced bool
	// restartSuspected is set while the server may have restarted under the same ID.
	restartSuspected bool
}

// maxClockDrift is the greatest fraction by which a worker's clock may run slower than real time.
const maxClockDrift = 0.02

const (
	// maxClock is the highest reading of a worker's clock, in ms, that is taken. Sums with leases stay
	// exact below it, also in JSON.
	maxClock = 1 << 53
	// maxClockAge is the age of the newest reading from which the worker is polled before a run starts.
	// Its clock may be ahead of the lowest value possible by maxClockDrift of that age.
	maxClockAge = 3 * time.Second
)

// readClock takes a reading of the worker's clock in ms from an answer. Older readings are ignored.
func (w *workerState) readClock(now time.Time, clock int64) {
	if clock <= 0 || clock < w.clock || clock > maxClock {
		return
	}
	if w.clock == 0 {
		w.recordDeadline(clock + w.previousLease)
	}
	w.clock = clock
	w.clockReadAt = now
}

// hasFreshClock reports whether deadlines for the worker can be computed from the newest reading of its
// clock.
func (w *workerState) hasFreshClock(now time.Time) bool {
	return w.clock > 0 && now.Sub(w.clockReadAt) <= maxClockAge
}

// clockLowerBound returns the lowest value that the worker's clock may show now, in ms.
func (w *workerState) clockLowerBound(now time.Time) int64 {
	since := float64(now.Sub(w.clockReadAt).Milliseconds()) * (1 - maxClockDrift)
	return w.clock + int64(since)
}

// deadline returns the end of a lease that starts now, on the worker's clock in ms.
func (w *workerState) deadline(now time.Time, lease time.Duration) int64 {
	return w.clockLowerBound(now) + lease.Milliseconds()
}

// recordDeadline records a deadline that the worker may have received.
func (w *workerState) recordDeadline(ms int64) { w.latestDeadline = max(w.latestDeadline, ms) }

// WorkerLoaded handles what the registry has of the worker, as announced to a previous process of
// this agent. The first poll shows whether that incarnation still exists.
func (c *Core) WorkerLoaded(now time.Time, info runs.Worker) {
	c.now = now
	if !c.worker.known && !c.retired.has(info.Incarnation()) {
		c.startIncarnation(info, nil)
	}
}

// startIncarnation replaces the worker's incarnation by a new one. All runs of the previous one
// are over. The first poll has no token; its answer contains the worker's clock, which becomes the
// token, or tells that the incarnation is over. a is the announcement that the description is from; nil
// if it was not announced to this process.
func (c *Core) startIncarnation(info runs.Worker, a *announcement) {
	c.loseWorker()
	c.worker = workerState{
		info: info, known: true, idReused: c.retired.hasID(info.ID), pending: a, unjudged: a != nil,
		previousLease: previousLeaseFactor * c.settings.WorkerLease.Milliseconds(),
	}
	c.speed = speedStats{}
}

// previousLeaseFactor is the longest lease that a previous agent process may have requested, as a
// multiple of this process's.
const previousLeaseFactor = 2

// handleIncarnationOver handles that the present incarnation is over.
func (c *Core) handleIncarnationOver() {
	next := c.worker.candidate
	c.loseWorker()
	if next != nil {
		c.startIncarnation(next.info, next)
	}
}

// retireCandidate handles an answer of the present incarnation, which proves that the candidate
// is over.
func (c *Core) retireCandidate() {
	if c.worker.candidate == nil {
		return
	}
	c.retire(c.worker.candidate.info.Incarnation())
	c.worker.candidate = nil
}

// retire records that an incarnation is over, so that its delayed announcements are rejected.
func (c *Core) retire(incarnation runs.Incarnation) { c.retired.add(incarnation) }

// loseWorker finishes the runs of the present incarnation, which is over.
func (c *Core) loseWorker() {
	c.held = ordered.Map[int64, *heldEnd]{} // the worker's list of ends is gone with the incarnation
	if c.worker.known {
		c.retire(c.worker.info.Incarnation())
	}
	c.markSuspect()
	c.resolveExpiredEnds(c.currentLossReason() == runs.ReasonWorkerCrashed)
	c.finishAll(c.currentLossReason())
	c.worker = workerState{info: runs.Worker{Agent: c.settings.Agent}}
}

// finishAll finishes all runs, which are no longer at the worker. A start that is in flight may
// still reach the next incarnation, so that its run stays.
func (c *Core) finishAll(reason runs.Reason) {
	c.dropReservations()
	for r := range c.runs.Values() {
		if r.phase == phaseWaiting {
			c.queue.remove(r)
			c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeRefused, Reason: runs.ReasonNoWorker})
			continue
		}
		if r.phase == phaseOrdered && r.incarnation.Born != 0 {
			r.inFlight, r.lossReason = true, reason
			continue
		}
		if !r.inFlight {
			c.finish(r, c.lossEnd(r, runs.OutcomeStopped, reason))
		}
	}
}

// WorkerLeft handles the worker's message that an incarnation ends. Its runs are finished after
// stopGrace, once it has had the time to end them.
func (c *Core) WorkerLeft(now time.Time, id string) {
	c.now = now
	if !c.worker.known || c.worker.info.ID != id || !c.worker.leavingSince.IsZero() {
		return
	}
	if c.worker.info.Born != 0 && !c.worker.info.Draining {
		c.worker.restartSuspected = true // a previous incarnation under this ID may have sent it
		return
	}
	c.worker.leavingSince = now
	c.worker.synced = false
	c.refuseWaiting(runs.ReasonNoWorker)
}

// stopGrace is how long a worker may take to end its runs.
const stopGrace = 50 * time.Millisecond

// expireLeaving ends the present incarnation stopGrace after it announced that it ends.
func (c *Core) expireLeaving() {
	if !c.worker.leavingSince.IsZero() && c.now.Sub(c.worker.leavingSince) > stopGrace {
		c.handleIncarnationOver()
	}
}

// unansweredPollLimit is the number of successive polls without an answer after which the worker
// counts as unreachable. A single answer may be lost.
const unansweredPollLimit = 2

// isUnreachable reports whether the worker is unreachable. Its lease is then no longer renewed:
// an unanswered call may have renewed it, so that its runs could not be declared over as long as
// such calls are sent.
func (c *Core) isUnreachable() bool { return c.worker.unansweredPolls >= unansweredPollLimit }

// countUnanswered counts a poll without an answer.
func (c *Core) countUnanswered() {
	c.worker.unansweredPolls++
	if c.worker.unansweredPolls == unansweredPollLimit {
		c.refuseWaiting(runs.ReasonNoWorker)
	}
}

// resetUnanswered handles that the worker has answered a poll.
func (c *Core) resetUnanswered() { c.worker.unansweredPolls = 0 }

// expireWorkerLease finishes all runs once their lease has certainly expired on the worker's
// clock. The worker must be polled again before it gets new work.
func (c *Core) expireWorkerLease() {
	if !c.worker.synced || c.runsAtWorker() == 0 {
		return
	}
	if c.worker.clockLowerBound(c.now) <= c.worker.latestDeadline+stopGrace.Milliseconds() {
		return
	}
	c.worker.synced = false
	c.worker.epoch++
	c.markSuspect()
	c.keepExpiredEnds()
	c.finishAll(runs.ReasonLeaseExpired)
}

// reconcile handles the pending lists of owned runs, once it is known what runs at the worker.
func (c *Core) reconcile() {
	if c.worker.known && !c.worker.synced {
		return
	}
	if !c.worker.known && len(c.retired.order) == 0 {
		return // a new process that does not know its worker yet cannot tell what runs there
	}
	for id, owned := range c.pendingOwned.All() {
		c.pendingOwned.Delete(id)
		for _, o := range owned {
			c.reconcileRun(c.links.Get(id), o)
		}
	}
}

// reconcileRun reports the end of a run that an entry believes to be here but that is not, and
// adopts an orphan.
func (c *Core) reconcileRun(l *link, o runs.OwnedRun) {
	r := c.runs.Get(o.Key)
	switch {
	case r == nil:
		c.reportUnknown(l, o.Key)
		if !o.Durable {
			c.releaseEnds([]runs.Key{o.Key})
		}
	case r.orphan:
		r.orphan = false
		r.owner = l.entry
		r.need = o.Need
		r.start.Estimate = o.Estimate
		r.durable = o.Durable
		c.loadChanged = true
		c.logDecision("adopt", r, runs.ReasonNone)
	}
}

// stopOrphans stops orphans that no entry has claimed within AdoptTimeout.
func (c *Core) stopOrphans() {
	if !c.worker.synced || c.now.Sub(c.worker.syncedAt) < c.settings.AdoptTimeout {
		return
	}
	for r := range c.runs.Values() {
		if r.orphan {
			c.terminate(r, runs.ReasonNoLease)
		}
	}
}
