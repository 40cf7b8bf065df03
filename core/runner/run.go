package runner

import (
	"sort"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// phase is the state of a run.
type phase uint8

const (
	// phaseWaiting: in the queue; the worker does not know of it.
	phaseWaiting phase = iota
	// phaseOrdered: the start was ordered and is not answered yet.
	phaseOrdered
	// phaseRunning: the worker has confirmed it.
	phaseRunning
	// phaseUnconfirmed: the start got no answer; the task may run now or later.
	phaseUnconfirmed
)

// run is one execution of a task.
type run struct {
	key   runs.Key
	owner runs.Entry
	start runs.Start
	need  room.Resources
	phase phase
	// incarnation is the worker's incarnation that was ordered to start it, or that lists it.
	incarnation runs.Incarnation
	// inFlight is set if the worker was lost while the answer to the start was outstanding: the
	// next incarnation may carry the start out.
	inFlight bool
	// lossReason is why the incarnation that it was started in was lost. suspect is set if that
	// is a crash blamed on this run.
	lossReason runs.Reason
	suspect    bool
	// orphan is set for a run that no entry has ordered from this process or claimed.
	orphan bool
	// durable is set if the job is durable: the run's end is held until an entry has stored it.
	durable bool
	// checkpoint is the newest that the worker lists, reportedCheckpoint the one sent to the
	// owner.
	checkpoint, reportedCheckpoint string
	// resourcesHeld is set if resources were held for the run when it arrived.
	resourcesHeld bool
	// startBy is when it should start in order to end in time; it must not start after
	// latestStart.
	startBy, latestStart time.Time
	orderedAt            time.Time
	// orderDeadline is the deadline of the start order, on the worker's clock in ms.
	orderDeadline int64
	// confirmedAt is when the worker first confirmed it.
	confirmedAt time.Time
	percentDone int
	percentAt   time.Time
	// stopReason is set once it is to be stopped. stopOrderedAt is when the last stop was
	// ordered, stopAnsweredAt when the last answer to a stop arrived.
	stopReason     runs.Reason
	stopOrderedAt  time.Time
	stopAnsweredAt time.Time
	// endDeadline is when others rely on its end; zero while it may go on.
	endDeadline time.Time
}

// runQueue holds the runs that wait for free capacity, the most urgent first. Runs whose resources
// were held for them come before all others.
type runQueue []*run

// queuedAs returns the time by which waiting runs are ordered.
func (r *run) queuedAs() time.Time {
	if r.resourcesHeld {
		return time.Time{}
	}
	return r.startBy
}

func (q *runQueue) add(r *run) {
	at := sort.Search(len(*q), func(i int) bool { return (*q)[i].queuedAs().After(r.queuedAs()) })
	*q = append(*q, nil)
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = r
}

func (q *runQueue) remove(r *run) {
	for i, other := range *q {
		if other == r {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return
		}
	}
}

// admit queues or refuses a run. sentAt is the reading of this agent's clock, in Unix ns, that
// the start came with.
func (c *Core) admit(l *link, s *runs.Start, sentAt int64) {
	if other := c.runs.Get(s.Key); other != nil {
		if other.owner.Incarnation != l.entry.Incarnation {
			// Each entry numbers the runs of a job from 1: this is a run of another entry.
			l.out.Ends = append(l.out.Ends, runs.End{Key: s.Key, Outcome: runs.OutcomeRefused, Reason: runs.ReasonStaleRun})
			l.dirty = true
		}
		return // a repeated start of the same entry
	}
	r := &run{
		key: s.Key, owner: l.entry, start: *s, need: s.Need,
		durable: s.Durable, startBy: c.now.Add(s.Slack), latestStart: time.Unix(0, sentAt).Add(s.StartTimeout),
	}
	c.loadChanged = true
	if reason := c.refusalReason(l, r); reason != runs.ReasonNone {
		c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeRefused, Reason: reason})
		return
	}
	c.runs.Put(r.key, r)
	r.resourcesHeld = s.Reservation != 0 && c.reservations.Take(l.reservationKey(s.Reservation))
	if !c.settings.Policy.Enabled(policy.LeastSlack) {
		c.queue = append(c.queue, r)
		return
	}
	c.queue.add(r)
}

// refusalReason returns why a run cannot be admitted, or ReasonNone.
func (c *Core) refusalReason(l *link, r *run) runs.Reason {
	switch {
	case c.draining || c.worker.info.Draining || l.isReleased():
		return runs.ReasonDraining
	case c.isDrained():
		return runs.ReasonDataCentreDrained
	case !c.worker.synced || c.isUnavailable():
		return runs.ReasonNoWorker
	case !c.hasLease(r.owner):
		return runs.ReasonNoLease
	case c.now.After(r.latestStart):
		return runs.ReasonStartTimeout
	case !c.worker.info.Capacity.Fits(r.need) || len(c.queue) >= c.settings.QueueLimit:
		return runs.ReasonNoCapacity
	}
	return runs.ReasonNone
}

// startWaiting orders the start of waiting runs that fit and offers resources to reservations that
// fit, the most urgent first. A smaller run may start before one that does not fit, so that no
// capacity stays unused.
//
// A run whose entry has no link does not start, since the entry could not stop it. The entry
// may be gone, or its caller may have turned to another entry while the link was broken: the run
// would be wasted, or run beside the same task of the other entry.
func (c *Core) startWaiting() {
	if len(c.queue) == 0 && len(c.reservations.Waiting()) == 0 || !c.worker.synced || c.isUnavailable() || c.isDrained() || c.mayHaveRestarted() || c.awaitsClock() {
		return
	}
	lease := c.leaseToRequest()
	if lease < minStartLease {
		return
	}
	left := c.freeCapacity()
	iso := c.newIsolation()
	var waiting runQueue
	for _, r := range c.queue {
		if !c.hasLink(r.owner) {
			waiting = append(waiting, r)
			continue
		}
		if !r.resourcesHeld {
			left = c.offerFitting(left, r.startBy)
		}
		if !left.Fits(r.need) {
			waiting = append(waiting, r)
			if !c.settings.Policy.Enabled(policy.Passing) {
				left = room.Resources{}
			}
			continue
		}
		if !iso.admits(r.start.Isolation) {
			waiting = append(waiting, r)
			if r.start.Isolation == runs.IsolationExclusive {
				left = room.Resources{} // otherwise the worker would never be empty
			}
			continue
		}
		left = left.Sub(r.need)
		iso.add(r.start.Isolation)
		c.orderStart(r, lease)
	}
	c.queue = waiting
	c.offerFitting(left, time.Time{})
}

// hasLink reports whether a link to an entry's incarnation is open.
func (c *Core) hasLink(entry runs.Entry) bool {
	for l := range c.links.Values() {
		if l.entry.Incarnation == entry.Incarnation {
			return true
		}
	}
	return false
}

// orderStart orders the worker to start a run under the given lease.
func (c *Core) orderStart(r *run, lease time.Duration) {
	r.phase = phaseOrdered
	r.orderedAt = c.now
	r.incarnation = c.worker.info.Incarnation()
	r.orderDeadline = c.worker.deadline(c.now, lease)
	c.worker.recordDeadline(r.orderDeadline)
	c.out.Orders = append(c.out.Orders, Order{
		Kind: OrderStart, Key: r.key, Worker: c.worker.info.ID, Born: c.worker.info.Born, Token: c.worker.token,
		Deadline: r.orderDeadline, Spec: r.start.Spec, Checkpoint: r.start.Checkpoint,
	})
}

// expireWaiting refuses waiting runs whose latest start has passed.
func (c *Core) expireWaiting() {
	for _, r := range append(runQueue(nil), c.queue...) {
		if c.now.After(r.latestStart) {
			c.terminate(r, runs.ReasonStartTimeout)
		}
	}
}

// refuseWaiting refuses all waiting runs and drops all reservations.
func (c *Core) refuseWaiting(reason runs.Reason) {
	c.dropReservations()
	for _, r := range append(runQueue(nil), c.queue...) {
		c.terminate(r, reason)
	}
}

// terminate ends a run: a waiting one is refused at once, others are stopped.
func (c *Core) terminate(r *run, reason runs.Reason) {
	if r.phase == phaseWaiting {
		c.queue.remove(r)
		c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeRefused, Reason: reason})
		return
	}
	if r.stopReason != runs.ReasonNone {
		return
	}
	r.stopReason = reason
	if reason == runs.ReasonStopRequested {
		c.observeStopped(r)
	}
	c.orderStop(r)
}

// orderStop orders the worker to stop a run.
func (c *Core) orderStop(r *run) {
	r.stopOrderedAt = c.now
	if !c.worker.known {
		return
	}
	c.out.Orders = append(c.out.Orders, Order{
		Kind: OrderStop, Key: r.key, Worker: c.worker.info.ID, Born: c.worker.info.Born, Token: c.worker.token,
	})
	c.logDecision("stop", r, r.stopReason)
}

// handleStopRequest handles an entry's request to end a run. If the result is still wanted and
// the task is to start elsewhere, the run gets no end deadline: its entry waits for the end.
func (c *Core) handleStopRequest(l *link, key runs.Key, wanted bool) {
	r := c.runs.Get(key)
	if r == nil {
		c.reportUnknown(l, key)
		return
	}
	if r.owner.Incarnation != l.entry.Incarnation {
		return
	}
	if !wanted {
		c.setEndDeadline(r, c.now)
	}
	c.terminate(r, runs.ReasonStopRequested)
}

// reportUnknown reports the end of a run that is not here, as far as it is known.
func (c *Core) reportUnknown(l *link, key runs.Key) {
	end, ok := c.recent.find(key)
	if !ok {
		end = runs.End{Key: key, Outcome: runs.OutcomeGone}
		if len(c.retired.order) > 0 {
			end.Reason = runs.ReasonLeaseExpired // it may have ended with a previous incarnation
		}
	}
	for h := range c.held.Values() {
		if h.end.Key == key {
			h.owner = l.entry.Incarnation
			end = h.end
		}
	}
	l.out.Ends = append(l.out.Ends, end)
	l.dirty = true
}

// stopRetryInterval is the time after which a stop is repeated if its run has not ended. The
// worker takes about 50 ms for a stop.
const stopRetryInterval = 150 * time.Millisecond

// retryStops repeats stops whose runs have not ended.
func (c *Core) retryStops() {
	for r := range c.runs.Values() {
		if r.stopReason != runs.ReasonNone && c.now.Sub(r.stopOrderedAt) >= stopRetryInterval {
			c.orderStop(r)
		}
	}
}

// finish removes a run that is certainly over and reports its end.
func (c *Core) finish(r *run, end runs.End) {
	c.runs.Delete(r.key)
	c.loadChanged = true
	c.recent.add(end)
	c.logDecision("end "+end.Outcome.String(), r, end.Reason)
	if r.durable && end.Reason == runs.ReasonWorkerCrashed {
		c.sendLoss(r.owner, end) // the job may outlive its owner
		return
	}
	c.sendEnd(r.owner, end)
}

// sendEnd sends an end to the owner of the run, if it has a link.
func (c *Core) sendEnd(owner runs.Entry, end runs.End) {
	for l := range c.links.Values() {
		if l.entry.Incarnation == owner.Incarnation {
			l.out.Ends = append(l.out.Ends, end)
			l.dirty = true
		}
	}
}

// logDecision records a decision about a run for the log.
func (c *Core) logDecision(event string, r *run, reason runs.Reason) {
	age := time.Duration(0)
	if !r.orderedAt.IsZero() {
		age = c.now.Sub(r.orderedAt)
	}
	c.out.Decisions = append(c.out.Decisions, Decision{Event: event, Key: r.key, Entry: r.owner.Address, Reason: reason, Age: age})
}

// maxRecentEnds is the number of remembered ends: a busy worker has as many in some seconds.
const maxRecentEnds = 1024

// recentEnds remembers the latest ends for entries whose links broke before they received them.
type recentEnds struct {
	ends  map[runs.Key]runs.End
	order []runs.Key
}

func newRecentEnds() recentEnds { return recentEnds{ends: make(map[runs.Key]runs.End)} }

func (e *recentEnds) add(end runs.End) {
	if _, known := e.ends[end.Key]; !known {
		e.order = append(e.order, end.Key)
	}
	e.ends[end.Key] = end
	if len(e.order) > maxRecentEnds {
		delete(e.ends, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *recentEnds) find(key runs.Key) (runs.End, bool) {
	end, ok := e.ends[key]
	return end, ok
}
