package runner

import (
	"slices"
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// A backend server may restart under the same ID. An order that names only the ID then reaches
// the new incarnation, which has seen no fencing token and whose clock and numbers of ends start
// anew. Therefore:
//   - An incarnation is identified by its ID and its start time. Listings of the worker
//     contain both.
//   - While the worker may have restarted, polls request no lease and acknowledge no ends:
//     both would be in terms of the previous incarnation.
//   - The token for the new incarnation is above that for the previous one, so that no order
//     for the previous one takes effect once the new one has answered a poll with it. Only
//     then are the runs of the previous one over, unless the new one lists them.

// maxRetired is the number of retired incarnations that are remembered, since their messages may
// arrive some seconds late.
const maxRetired = 64

// retiredIncarnations remembers the latest incarnations that are over.
type retiredIncarnations struct {
	members map[runs.Incarnation]bool
	order   []runs.Incarnation
}

func (r *retiredIncarnations) add(incarnation runs.Incarnation) {
	if r.members[incarnation] {
		return
	}
	if r.members == nil {
		r.members = make(map[runs.Incarnation]bool)
	}
	r.members[incarnation] = true
	r.order = append(r.order, incarnation)
	if len(r.order) > maxRetired {
		delete(r.members, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *retiredIncarnations) has(incarnation runs.Incarnation) bool { return r.members[incarnation] }

// hasID reports whether a retired incarnation had an ID.
func (r *retiredIncarnations) hasID(id string) bool {
	return slices.ContainsFunc(r.order, func(incarnation runs.Incarnation) bool { return incarnation.ID == id })
}

// mayHaveRestarted reports whether the server may have restarted under the same ID since it last
// confirmed its incarnation.
func (c *Core) mayHaveRestarted() bool {
	w := &c.worker
	return w.info.Born != 0 && (w.restartSuspected || w.unansweredPolls > 0 || w.candidate != nil && w.candidate.info.ID == w.info.ID)
}

// maxClockJump is the greatest step of the worker's clock, in ms, that a delayed answer can
// explain. A greater step means that the answer is from another incarnation.
const maxClockJump = 60_000

// readAnswerClock takes the reading of the worker's clock in ms from the answer to an order,
// which does not identify the incarnation. If the reading is from another clock, the worker is
// polled.
func (c *Core) readAnswerClock(clock int64) {
	w := &c.worker
	if w.info.Born != 0 && w.clock != 0 && clock != 0 && (clock < w.clock-maxClockJump || clock > w.clockLowerBound(c.now)+maxClockJump) {
		w.restartSuspected = true
		return
	}
	w.readClock(c.now, clock)
}

// handleRestart handles an answer of another incarnation under the same ID. Until that one is
// announced, nothing is known of it but what it lists.
func (c *Core) handleRestart(a Answer) {
	previous := c.worker
	next := previous.info
	next.Born = a.Born
	announced := previous.candidate != nil && previous.candidate.info.Incarnation() == next.Incarnation()
	var pending *announcement
	if announced {
		pending = previous.candidate
		next = pending.info
	}
	c.retire(previous.info.Incarnation())
	c.markSuspect()
	reason := c.currentLossReason()
	c.resolveExpiredEnds(reason == runs.ReasonWorkerCrashed)
	c.refuseWaiting(runs.ReasonNoWorker)
	c.held = ordered.Map[int64, *heldEnd]{} // the list of the previous incarnation is gone with it
	c.worker = workerState{
		info: next, known: true, idReused: true, unannounced: !announced, pending: pending, unjudged: announced, epoch: previous.epoch + 1, token: max(a.Clock, previous.token+1),
		previousLease: previousLeaseFactor * c.settings.WorkerLease.Milliseconds(),
	}
	c.worker.readClock(c.now, a.Clock)
	c.speed = speedStats{}
	for r := range c.runs.Values() {
		if r.phase == phaseOrdered {
			r.phase = phaseUnconfirmed
		}
		r.lossReason = reason
	}
	c.logRestart("worker restarted", previous.info.Incarnation())
}

// handleInFlightAnswer handles the answer to a start that was in flight when the worker was lost.
// If it was carried out, that may have been by the next incarnation.
func (c *Core) handleInFlightAnswer(r *run, a Answer) {
	if a.Status != Accepted {
		c.finish(r, c.lossEnd(r, runs.OutcomeStopped, r.lossReason))
		return
	}
	r.phase = phaseUnconfirmed
}

// expireInFlight finishes runs whose starts were in flight when the worker was lost, once any
// lease of that time has expired.
func (c *Core) expireInFlight() {
	for r := range c.runs.Values() {
		if r.inFlight && c.now.Sub(r.orderedAt) > c.maxLease()+inFlightSlack {
			c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeGone, Reason: runs.ReasonNoWorker})
		}
	}
}

// inFlightSlack covers the duration of a call and a slow clock of the worker.
const inFlightSlack = time.Second

// maxLease returns the longest lease that a worker may hold.
func (c *Core) maxLease() time.Duration {
	return max(c.settings.MaxWorkerLease, previousLeaseFactor*c.settings.WorkerLease)
}

// assumeMaxLease assumes the longest lease if a new incarnation under a reused ID has runs or
// ends already: it carried out orders for the previous incarnation, in terms of another clock.
func (c *Core) assumeMaxLease(l Listing) {
	if c.worker.idReused && len(l.Running)+len(l.Ended) > 0 {
		c.worker.recordDeadline(c.worker.clock + c.maxLease().Milliseconds())
	}
}

// logRestart records that the worker has another incarnation.
func (c *Core) logRestart(event string, previous runs.Incarnation) {
	c.out.Decisions = append(c.out.Decisions, Decision{Event: event, Worker: c.worker.info.Incarnation(), Previous: previous})
}
