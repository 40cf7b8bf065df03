package runner

import (
	"time"

	"peridotpick.example/wire/runs"
)

// OrderKind is what the worker is ordered to do.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
)

// Order is one call to the worker.
type Order struct {
	Kind OrderKind
	Key  runs.Key
	// Worker is the ID of the incarnation that the order is for, Born its start time in Unix ms.
	Worker string
	Born   int64
	// Token is the fencing token: the worker refuses orders with a lower one than it has seen.
	Token int64
	// Deadline is the end of the requested lease on the worker's clock in ms. A start is refused
	// after it.
	Deadline   int64
	Spec       string
	Checkpoint string
}

// Verdict is how the worker answered an order or a poll.
type Verdict uint8

// Verdicts.
const (
	// Accepted: the worker has carried the order out, or answered the poll.
	Accepted Verdict = iota + 1
	// NoAnswer: the order may have been carried out, or may be carried out later.
	NoAnswer
	// RefusedOld: the worker has already seen this run of the task or a higher one.
	RefusedOld
	// RefusedLate: the deadline of the order had passed.
	RefusedLate
	// RefusedRoom: the worker has too little free capacity.
	RefusedRoom
	// RefusedFence: the worker has seen a higher fencing token.
	RefusedFence
	// RefusedUnhealthy: the worker refuses work at present.
	RefusedUnhealthy
	// RefusedOther: the worker does not understand the order, or it was never sent.
	RefusedOther
	// WrongIncarnation: the incarnation that the order is for is over.
	WrongIncarnation
	// NotListening: nothing listens at the worker's address; its process has ended.
	NotListening
)

// Answer is the worker's answer to an order or a poll.
type Answer struct {
	Verdict Verdict
	// Clock is the worker's clock in ms; 0 if the answer does not contain it.
	Clock int64
	// Born is the start time in Unix ms of the incarnation that answered; 0 if the answer does
	// not contain it.
	Born int64
}

// Ordered handles the answer to an order.
func (c *Core) Ordered(now time.Time, o Order, a Answer) {
	c.now = now
	if r := c.runs.Get(o.Key); r != nil && r.inFlight && o.Kind == OrderStart {
		c.handleInFlightAnswer(r, a)
		return
	}
	if !c.worker.known || o.Worker != c.worker.info.ID || o.Born != c.worker.info.Born {
		return
	}
	c.readAnswerClock(a.Clock)
	r := c.runs.Get(o.Key)
	if a.Verdict == WrongIncarnation || a.Verdict == NotListening {
		if r != nil && r.phase == phaseOrdered && o.Kind == OrderStart {
			c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: runs.NoWorker})
		}
		c.handleIncarnationOver()
		return
	}
	if r == nil {
		return
	}
	if o.Kind == OrderStop {
		c.handleStopAnswer(r, a)
		return
	}
	c.handleStartAnswer(r, a)
}

func (c *Core) handleStartAnswer(r *run, a Answer) {
	if r.phase != phaseOrdered {
		return // a listing has shown more already
	}
	switch a.Verdict {
	case Accepted:
		c.markRunning(r)
	case NoAnswer:
		r.phase = phaseUnconfirmed
		c.terminate(r, runs.Unanswered)
	case RefusedFence:
		c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: runs.NoWorker})
		c.handleFenced()
	case RefusedUnhealthy:
		c.speed.failStreak++
		c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: runs.Unhealthy})
	default:
		c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: refusalReasons[a.Verdict]})
	}
}

var refusalReasons = map[Verdict]runs.Reason{
	RefusedOld: runs.OldRun, RefusedLate: runs.Late, RefusedRoom: runs.NoRoom,
	RefusedUnhealthy: runs.Unhealthy, RefusedOther: runs.Unhealthy,
}

// markRunning records that the worker has confirmed a run.
func (c *Core) markRunning(r *run) {
	if r.phase == phaseRunning {
		return
	}
	r.phase = phaseRunning
	r.confirmedAt = c.now
	r.percentAt = c.now
}

func (c *Core) handleStopAnswer(r *run, a Answer) {
	switch a.Verdict {
	case Accepted, RefusedOld:
		r.stopAnsweredAt = c.now
	case RefusedFence:
		c.handleFenced()
	}
}

// handleFenced handles that the worker has seen a higher fencing token, which is that of another
// agent process: what runs there is unknown from then on, and the next poll needs a higher token.
func (c *Core) handleFenced() {
	c.worker.synced = false
	c.raiseToken(c.worker.clockLowerBound(c.now))
	c.sendWorkerToAll()
}

// raiseToken raises the token above one that the worker has refused, to least or more. The steps
// double: the worker may have seen a token in terms of the clock of a previous incarnation, which
// can be far ahead.
func (c *Core) raiseToken(least int64) {
	w := &c.worker
	w.tokenStep = max(2*w.tokenStep, 1)
	w.token = max(least, w.token+w.tokenStep)
}

// Look is a poll: a call to the worker that renews its lease and lists its runs.
type Look struct {
	// Worker is the ID of the incarnation that the poll is for, Born its start time in Unix ms.
	Worker string
	Born   int64
	Token  int64
	// LastSeen is the number up to which the worker may forget its ends.
	LastSeen int64
	// Deadline is the end of the requested lease on the worker's clock in ms; 0 requests none.
	Deadline int64
	// Wait is how long the worker shall wait for an end before it answers.
	Wait time.Duration
	// SentAt is when the poll was sent.
	SentAt time.Time
	// epoch is workerState.epoch when the poll was sent.
	epoch uint64
}

// maxAnswerDelay is how long the answer to a poll may take beyond the wait of the poll. An answer
// that arrives later, for example because the process was suspended, describes an outdated state.
const maxAnswerDelay = 400 * time.Millisecond

// isStale reports whether the answer to a poll came too late or is from an earlier epoch.
func (l Look) isStale(now time.Time, epoch uint64) bool {
	return l.epoch != epoch || now.Sub(l.SentAt) > l.Wait+maxAnswerDelay
}

// LookDue reports whether the worker should be polled now.
func (c *Core) LookDue(now time.Time) bool {
	c.now = now
	return c.NeedsPoll() && now.Sub(c.polledAt) >= c.pollInterval()
}

// NextLook returns the poll to send now, if one is due.
func (c *Core) NextLook(now time.Time) (Look, bool) {
	c.now = now
	if !c.LookDue(now) {
		return Look{}, false
	}
	c.polledAt = now
	poll := Look{
		Worker: c.worker.info.ID, Born: c.worker.info.Born, Token: c.worker.token, LastSeen: c.ackUpTo(), SentAt: now,
		epoch: c.worker.epoch,
	}
	if c.mayHaveRestarted() {
		poll.LastSeen = 0
		return poll, true
	}
	if lease := c.leaseToRequest(); lease > 0 {
		poll.Deadline = c.worker.deadline(now, lease)
		c.worker.recordDeadline(poll.Deadline)
	}
	if c.worker.synced && !c.awaitsListing() {
		poll.Wait = c.settings.LookWait
	}
	return poll, true
}

// awaitsListing reports whether a listing would show that an unconfirmed run is over.
func (c *Core) awaitsListing() bool {
	for r := range c.runs.Values() {
		if r.phase == phaseUnconfirmed && !r.stopAnsweredAt.IsZero() {
			return true
		}
	}
	return false
}

// Running is a running run in a listing of the worker.
type Running struct {
	Key        runs.Key
	Checkpoint string
	// Percent is the share of its work that is done, in percent.
	Percent int
}

// Ended is an ended run in a listing of the worker.
type Ended struct {
	// Number counts the ends of the incarnation, from 1.
	Number     int64
	Key        runs.Key
	How        runs.How
	Checkpoint string
}

// Listing is the content of the answer to a poll.
type Listing struct {
	Running []Running
	Ended   []Ended
	// Cut is set if the worker has further ends; it lists them once these are acknowledged.
	Cut bool
}

// Looked handles the answer to a poll.
func (c *Core) Looked(now time.Time, poll Look, a Answer, listing Listing) {
	c.now = now
	if !c.worker.known || poll.Worker != c.worker.info.ID || poll.Born != c.worker.info.Born {
		return
	}
	if poll.isStale(now, c.worker.epoch) || poll.SentAt.Before(c.worker.answeredPollAt) {
		return
	}
	if a.Born != 0 && a.Born != c.worker.info.Born {
		c.handleRestart(a)
		return
	}
	c.worker.readClock(now, a.Clock)
	switch a.Verdict {
	case Accepted:
		c.worker.restartSuspected = false
		c.resolveExpiredEnds(false)
		c.worker.acknowledged = max(c.worker.acknowledged, poll.LastSeen)
		c.worker.answeredPollAt = poll.SentAt
		c.retireCandidate()
		c.resetUnanswered()
	case WrongIncarnation, NotListening:
		c.handleIncarnationOver()
		return
	case NoAnswer:
		c.countUnanswered()
		return
	case RefusedFence:
		c.raiseToken(a.Clock)
		c.worker.synced = false
		return
	default:
		return
	}
	if c.worker.token == 0 {
		c.worker.token = a.Clock // shuts out the orders of a previous process
		return
	}
	c.processEnds(listing.Ended)
	c.processRunning(listing.Running)
	if !listing.Cut { // a run that is missing in a cut listing may have ended
		c.finishUnlisted(poll, listing.Running)
	}
	if !c.worker.synced {
		c.assumeMaxLease(listing)
		c.worker.synced = true
		c.worker.syncedAt = now
		c.sendWorkerToAll()
		c.reconcile()
	}
}

// processEnds handles the listed ends that were not handled before.
func (c *Core) processEnds(ended []Ended) {
	for _, e := range ended {
		if e.Number <= c.worker.lastEndNumber {
			continue
		}
		c.worker.lastEndNumber = e.Number
		end := runs.End{Key: e.Key, How: e.How, Checkpoint: e.Checkpoint}
		r := c.runs.Get(e.Key)
		if r == nil {
			c.recent.add(end)           // a run of a previous process: an entry may ask about it
			c.holdEnd(e.Number, 0, end) // its job may be durable
			continue
		}
		if !r.confirmedAt.IsZero() {
			end.Ran = c.now.Sub(r.confirmedAt)
		}
		if end.How == runs.Stopped {
			end.Reason = r.stopReason
		}
		c.speed.observeEnd(c.now, r, end)
		if r.durable {
			c.holdEnd(e.Number, r.owner.Incarnation, end)
			end.Held = true
		}
		c.finish(r, end)
	}
}

// processRunning updates the listed runs. A run that the core does not know becomes an orphan.
func (c *Core) processRunning(running []Running) {
	for _, listed := range running {
		r := c.runs.Get(listed.Key)
		if r == nil {
			r = &run{key: listed.Key, orphan: true, phase: phaseOrdered, orderedAt: c.now, incarnation: c.worker.info.Life()}
			c.runs.Put(listed.Key, r)
			c.recordDecision("orphan", r, runs.NoReason)
		}
		if r.phase == phaseWaiting {
			continue // a run with the same key of a previous process; its stop ends it
		}
		r.incarnation, r.lossReason, r.suspect = c.worker.info.Life(), runs.NoReason, false
		c.markRunning(r)
		r.percentDone = listed.Percent
		r.checkpoint = listed.Checkpoint
		r.percentAt = c.now
	}
	c.loadChanged = c.loadChanged || len(running) > 0
}

// finishUnlisted finishes runs that are missing in a complete listing and that this proves to be
// over: those of a previous incarnation, those confirmed before the poll was sent, and
// unconfirmed ones that can no longer start.
func (c *Core) finishUnlisted(poll Look, running []Running) {
	listed := make(map[runs.Key]bool, len(running))
	for _, r := range running {
		listed[r.Key] = true
	}
	for r := range c.runs.Values() {
		if listed[r.key] {
			continue
		}
		switch {
		case r.phase != phaseWaiting && r.incarnation != c.worker.info.Life():
			c.finish(r, c.lossEnd(r, runs.Gone, r.lossReason))
		case r.phase == phaseRunning && r.confirmedAt.Before(poll.SentAt):
			c.finish(r, runs.End{Key: r.key, How: runs.Gone})
		case r.phase == phaseUnconfirmed && c.cannotStart(r, poll):
			c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: runs.Unanswered})
		}
	}
}

// cannotStart reports whether an unconfirmed run could no longer start when a poll was sent.
func (c *Core) cannotStart(r *run, poll Look) bool {
	stopped := !r.stopAnsweredAt.IsZero() && r.stopAnsweredAt.Before(poll.SentAt)
	expired := c.worker.clockLowerBound(poll.SentAt) > r.orderDeadline
	return stopped || expired
}
