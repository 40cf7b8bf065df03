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

// Status is how the worker answered an order or a poll.
type Status uint8

// Answers of the worker.
const (
	// Accepted: the worker has carried the order out, or answered the poll.
	Accepted Status = iota + 1
	// NoAnswer: the order may have been carried out, or may be carried out later.
	NoAnswer
	// RefusedOldRun: the worker has already seen this run of the task or a higher one.
	RefusedOldRun
	// RefusedLate: the deadline of the order had passed.
	RefusedLate
	// RefusedCapacity: the worker has too little free capacity.
	RefusedCapacity
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
	Status Status
	// Clock is the worker's clock in ms; 0 if the answer does not contain it.
	Clock int64
	// Born is the start time in Unix ms of the incarnation that answered; 0 if the answer does
	// not contain it.
	Born int64
}

// OrderAnswered handles the answer to an order.
func (c *Core) OrderAnswered(now time.Time, o Order, a Answer) {
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
	if a.Status == WrongIncarnation || a.Status == NotListening {
		if r != nil && r.phase == phaseOrdered && o.Kind == OrderStart {
			c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeRefused, Reason: runs.ReasonNoWorker})
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
	switch a.Status {
	case Accepted:
		c.markRunning(r)
	case NoAnswer:
		r.phase = phaseUnconfirmed
		c.terminate(r, runs.ReasonNoAnswer)
	case RefusedFence:
		c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeRefused, Reason: runs.ReasonNoWorker})
		c.handleFenced()
	case RefusedUnhealthy:
		c.speed.failStreak++
		c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeRefused, Reason: runs.ReasonUnhealthy})
	default:
		c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeRefused, Reason: refusalReasons[a.Status]})
	}
}

var refusalReasons = map[Status]runs.Reason{
	RefusedOldRun: runs.ReasonStaleRun, RefusedLate: runs.ReasonStartTimeout, RefusedCapacity: runs.ReasonNoCapacity,
	RefusedUnhealthy: runs.ReasonUnhealthy, RefusedOther: runs.ReasonUnhealthy,
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
	switch a.Status {
	case Accepted, RefusedOldRun:
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
}

// raiseToken raises the token above one that the worker has refused, to least or more. The steps
// double: the worker may have seen a token in terms of the clock of a previous incarnation, which
// can be far ahead.
func (c *Core) raiseToken(least int64) {
	w := &c.worker
	w.tokenStep = max(2*w.tokenStep, 1)
	w.token = max(least, w.token+w.tokenStep)
}

// Poll is a poll: a call to the worker that renews its lease and lists its runs.
type Poll struct {
	// Worker is the ID of the incarnation that the poll is for, Born its start time in Unix ms.
	Worker string
	Born   int64
	Token  int64
	// AckUpTo is the number up to which the worker may forget its ends.
	AckUpTo int64
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
func (p Poll) isStale(now time.Time, epoch uint64) bool {
	return p.epoch != epoch || now.Sub(p.SentAt) > p.Wait+maxAnswerDelay
}

// IsPollDue reports whether the worker should be polled now.
func (c *Core) IsPollDue(now time.Time) bool {
	c.now = now
	return c.NeedsPoll() && now.Sub(c.polledAt) >= c.pollInterval()
}

// NextPoll returns the poll to send now, if one is due.
func (c *Core) NextPoll(now time.Time) (Poll, bool) {
	c.now = now
	if !c.IsPollDue(now) {
		return Poll{}, false
	}
	c.polledAt = now
	poll := Poll{
		Worker: c.worker.info.ID, Born: c.worker.info.Born, Token: c.worker.token, AckUpTo: c.ackUpTo(), SentAt: now,
		epoch: c.worker.epoch,
	}
	if c.mayHaveRestarted() {
		poll.AckUpTo = 0
		return poll, true
	}
	if lease := c.leaseToRequest(); lease > 0 {
		poll.Deadline = c.worker.deadline(now, lease)
		c.worker.recordDeadline(poll.Deadline)
	}
	if c.worker.synced && !c.awaitsListing() && !c.awaitsClock() && c.worker.pending == nil {
		poll.Wait = c.settings.PollWait
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
	Outcome    runs.Outcome
	Checkpoint string
}

// Listing is the content of the answer to a poll.
type Listing struct {
	Running []Running
	Ended   []Ended
	// Truncated is set if the worker has further ends; it lists them once these are acknowledged.
	Truncated bool
}

// PollAnswered handles the answer to a poll.
func (c *Core) PollAnswered(now time.Time, poll Poll, a Answer, listing Listing) {
	c.now = now
	if !c.worker.known || poll.Worker != c.worker.info.ID || poll.Born != c.worker.info.Born {
		return
	}
	if poll.isStale(now, c.worker.epoch) || poll.SentAt.Before(c.worker.answeredPollAt) {
		return
	}
	// A listing tells the start time if the server reports one. Without it, another program has announced
	// one.
	isListing := a.Status == Accepted && a.Clock > 0
	if a.Born != c.worker.info.Born && (a.Born != 0 || isListing) {
		c.handleRestart(a)
		return
	}
	c.worker.readClock(now, a.Clock)
	switch a.Status {
	case Accepted:
		c.worker.polledClock = c.worker.clock
		c.worker.restartSuspected = false
		c.resolveExpiredEnds(false)
		c.worker.acknowledged = max(c.worker.acknowledged, poll.AckUpTo)
		c.worker.answeredPollAt = poll.SentAt
		c.retireCandidate()
		c.resetUnanswered()
		c.judgeAnnouncement()
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
		c.worker.token = a.Clock // fences off the orders of a previous process
		return
	}
	c.processEnds(listing.Ended)
	c.processRunning(listing.Running)
	if !listing.Truncated { // a run that is missing in a truncated listing may have ended
		c.finishUnlisted(poll, listing.Running)
	}
	if !c.worker.synced {
		c.assumeMaxLease(listing)
		c.worker.synced = true
		c.worker.syncedAt = now
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
		end := runs.End{Key: e.Key, Outcome: e.Outcome, Checkpoint: e.Checkpoint}
		r := c.runs.Get(e.Key)
		if r == nil {
			c.recent.add(end)           // a run of a previous process: an entry may ask about it
			c.holdEnd(e.Number, 0, end) // its job may be durable
			continue
		}
		if !r.confirmedAt.IsZero() {
			end.Ran = c.now.Sub(r.confirmedAt)
		}
		if end.Outcome == runs.OutcomeStopped {
			end.Reason = r.stopReason
		}
		c.speed.observeEnd(c.now, r, end)
		if r.durable || r.orphan { // the job of an orphan may be durable
			c.holdEnd(e.Number, r.owner.Incarnation, end)
			end.NeedsAck = true
		}
		c.finish(r, end)
	}
}

// processRunning updates the listed runs. A run that the core does not know becomes an orphan.
func (c *Core) processRunning(running []Running) {
	for _, listed := range running {
		r := c.runs.Get(listed.Key)
		if r == nil {
			r = &run{key: listed.Key, orphan: true, phase: phaseOrdered, orderedAt: c.now, incarnation: c.worker.info.Incarnation()}
			c.runs.Put(listed.Key, r)
			c.logDecision("orphan", r, runs.ReasonNone)
		}
		if r.phase == phaseWaiting {
			continue // a run with the same key of a previous process; its stop ends it
		}
		r.incarnation, r.lossReason, r.suspect, r.inFlight = c.worker.info.Incarnation(), runs.ReasonNone, false, false
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
func (c *Core) finishUnlisted(poll Poll, running []Running) {
	listed := make(map[runs.Key]bool, len(running))
	for _, r := range running {
		listed[r.Key] = true
	}
	for r := range c.runs.Values() {
		if listed[r.key] {
			continue
		}
		switch {
		case r.phase != phaseWaiting && r.incarnation != c.worker.info.Incarnation():
			c.finish(r, c.lossEnd(r, runs.OutcomeGone, r.lossReason))
		case r.phase == phaseRunning && r.confirmedAt.Before(poll.SentAt):
			c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeGone})
		case r.phase == phaseUnconfirmed && c.cannotStart(r, poll):
			c.finish(r, runs.End{Key: r.key, Outcome: runs.OutcomeRefused, Reason: runs.ReasonNoAnswer})
		}
	}
}

// cannotStart reports whether an unconfirmed run could no longer start when a poll was sent.
func (c *Core) cannotStart(r *run, poll Poll) bool {
	stopped := !r.stopAnsweredAt.IsZero() && r.stopAnsweredAt.Before(poll.SentAt)
	expired := c.worker.clockLowerBound(poll.SentAt) > r.orderDeadline
	return stopped || expired
}
