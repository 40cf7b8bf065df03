package runner

import (
	"time"

	"peridotpick.example/wire/runs"
)

// OrderKind tells what the worker is asked to do.
type OrderKind uint8

// Orders to the worker.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
)

// Order is one call to the worker.
type Order struct {
	Kind OrderKind
	Key  runs.Key
	// Worker is the ID of the incarnation meant, Born the time of its start in Unix ms.
	Worker string
	Born   int64
	// Token is the fencing token.
	Token int64
	// Deadline is the end of the lease on the worker's clock, in ms.
	Deadline   int64
	Spec       string
	Checkpoint string
}

// Verdict is the worker's answer to an order.
type Verdict uint8

// Verdicts.
const (
	// Accepted: the order was carried out.
	Accepted Verdict = iota + 1
	// NoAnswer: the order may have been carried out or may be later.
	NoAnswer
	// RefusedOld: the worker has seen this or a higher run.
	RefusedOld
	// RefusedLate: the order's deadline had passed.
	RefusedLate
	// RefusedRoom: the worker has no room.
	RefusedRoom
	// RefusedFence: another process has taken the worker over.
	RefusedFence
	// RefusedUnhealthy: the worker refuses work at the moment.
	RefusedUnhealthy
	// RefusedOther: the worker does not understand the order.
	RefusedOther
	// WrongIncarnation: the incarnation meant is over.
	WrongIncarnation
	// NotListening: nothing listens at the worker's address; its process has ended.
	NotListening
)

// Answer is the outcome of an order.
type Answer struct {
	Verdict Verdict
	// Clock is the worker's clock in ms; 0 if the answer had none.
	Clock int64
	// Born is the time of the start of the incarnation that answered, in Unix ms; 0 if the
	// answer does not tell it.
	Born int64
}

// Ordered handles the outcome of an order.
func (c *Core) Ordered(now time.Time, o Order, a Answer) {
	c.now = now
	if r := c.runs.Get(o.Key); r != nil && r.stranded && o.Kind == OrderStart {
		c.strandedAnswered(r, a)
		return
	}
	if !c.worker.known || o.Worker != c.worker.info.ID || o.Born != c.worker.info.Born {
		return
	}
	c.readAnswer(a.Clock)
	r := c.runs.Get(o.Key)
	if a.Verdict == WrongIncarnation || a.Verdict == NotListening {
		if r != nil && r.phase == phaseOrdered && o.Kind == OrderStart {
			c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: runs.NoWorker})
		}
		c.replaced()
		return
	}
	if r == nil {
		return
	}
	if o.Kind == OrderStop {
		c.stopAnswered(r, a)
		return
	}
	c.startAnswered(r, a)
}

func (c *Core) startAnswered(r *run, a Answer) {
	if r.phase != phaseOrdered {
		return // a look has shown more already
	}
	switch a.Verdict {
	case Accepted:
		c.confirm(r)
	case NoAnswer:
		r.phase = phaseDoubtful
		c.end(r, runs.Unanswered)
	case RefusedFence:
		c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: runs.NoWorker})
		c.fenced()
	case RefusedUnhealthy:
		c.pace.failStreak++
		c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: runs.Unhealthy})
	default:
		c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: refusalReasons[a.Verdict]})
	}
}

var refusalReasons = map[Verdict]runs.Reason{
	RefusedOld: runs.OldRun, RefusedLate: runs.Late, RefusedRoom: runs.NoRoom,
	RefusedUnhealthy: runs.Unhealthy, RefusedOther: runs.Unhealthy,
}

// confirm notes that a run is at the worker.
func (c *Core) confirm(r *run) {
	if r.phase == phaseRunning {
		return
	}
	r.phase = phaseRunning
	r.confirmedAt = c.now
	r.percentAt = c.now
}

func (c *Core) stopAnswered(r *run, a Answer) {
	switch a.Verdict {
	case Accepted, RefusedOld:
		r.stopAnsweredAt = c.now
	case RefusedFence:
		c.fenced()
	}
}

// fenced handles that another process has taken the worker over: nothing is
// known any more, and the token must be raised above that of the other.
func (c *Core) fenced() {
	c.worker.synced = false
	c.raiseToken(c.worker.earliest(c.now))
	c.workerChanged()
}

// raiseToken takes a token above one that the worker has refused, at least the given one.
// The steps double: the worker may have seen one in terms of a former incarnation's clock,
// which can be far ahead.
func (c *Core) raiseToken(least int64) {
	w := &c.worker
	w.tokenStep = max(2*w.tokenStep, 1)
	w.token = max(least, w.token+w.tokenStep)
}

// Look is a call that renews the lease and lists the runs.
type Look struct {
	// Worker is the ID of the incarnation meant, Born the time of its start in Unix ms.
	Worker string
	Born   int64
	Token  int64
	// LastSeen is the number of the newest end taken note of.
	LastSeen int64
	// Deadline is the end of the lease on the worker's clock in ms; 0 renews nothing.
	Deadline int64
	// Wait is how long the worker shall wait for an end.
	Wait time.Duration
	// SentAt is when the look was made.
	SentAt time.Time
	// epoch is that of the worker's state.
	epoch uint64
}

// staleAfter is what an answer to a look may take beyond its wait. One that lay
// in a suspended process for longer tells what was, not what is.
const staleAfter = 400 * time.Millisecond

// stale reports whether the answer to a look no longer counts.
func (l Look) stale(now time.Time, epoch uint64) bool {
	return l.epoch != epoch || now.Sub(l.SentAt) > l.Wait+staleAfter
}

// LookDue reports whether the worker should be looked at now.
func (c *Core) LookDue(now time.Time) bool {
	c.now = now
	return c.Busy() && now.Sub(c.lookedAt) >= c.lookPause()
}

// NextLook returns the next look, if there is a need.
func (c *Core) NextLook(now time.Time) (Look, bool) {
	c.now = now
	if !c.LookDue(now) {
		return Look{}, false
	}
	c.lookedAt = now
	look := Look{
		Worker: c.worker.info.ID, Born: c.worker.info.Born, Token: c.worker.token, LastSeen: c.notedUpTo(), SentAt: now,
		epoch: c.worker.epoch,
	}
	if c.mayHaveRestarted() {
		look.LastSeen = 0
		return look, true
	}
	if lease := c.leaseToTake(); lease > 0 {
		look.Deadline = c.worker.deadline(now, lease)
		c.worker.promised(look.Deadline)
	}
	if c.worker.synced && !c.awaitsListing() {
		look.Wait = c.settings.LookWait
	}
	return look, true
}

// awaitsListing reports whether a listing would settle the fate of a run.
func (c *Core) awaitsListing() bool {
	for r := range c.runs.Values() {
		if r.phase == phaseDoubtful && !r.stopAnsweredAt.IsZero() {
			return true
		}
	}
	return false
}

// Running is a run that the worker lists.
type Running struct {
	Key        runs.Key
	Checkpoint string
	// Percent is the share of its work that is done.
	Percent int
}

// Ended is an end that the worker lists.
type Ended struct {
	// Number counts the ends of the incarnation.
	Number     int64
	Key        runs.Key
	How        runs.How
	Checkpoint string
}

// Listing is the answer to a look.
type Listing struct {
	Running []Running
	Ended   []Ended
	// Cut is true if there are further ends, which are listed once these were taken
	// note of.
	Cut bool
}

// Looked handles the answer to a look.
func (c *Core) Looked(now time.Time, look Look, a Answer, listing Listing) {
	c.now = now
	if !c.worker.known || look.Worker != c.worker.info.ID || look.Born != c.worker.info.Born {
		return
	}
	if look.stale(now, c.worker.epoch) || look.SentAt.Before(c.worker.lookedAt) {
		return
	}
	if a.Born != 0 && a.Born != c.worker.info.Born {
		c.restarted(a)
		return
	}
	c.worker.read(now, a.Clock)
	switch a.Verdict {
	case Accepted:
		c.worker.doubted = false
		c.settleLapsed(false)
		c.worker.acknowledged = max(c.worker.acknowledged, look.LastSeen)
		c.worker.lookedAt = look.SentAt
		c.dropCandidate()
		c.answered()
	case WrongIncarnation, NotListening:
		c.replaced()
		return
	case NoAnswer:
		c.unanswered()
		return
	case RefusedFence:
		c.raiseToken(a.Clock)
		c.worker.synced = false
		return
	default:
		return
	}
	if c.worker.token == 0 {
		c.worker.token = a.Clock // the former process's orders must be shut out first
		return
	}
	c.takeEnds(listing.Ended)
	c.takeRunning(listing.Running)
	if !listing.Cut { // what is not listed may have ended
		c.settle(look, listing.Running)
	}
	if !c.worker.synced {
		c.promiseLongest(listing)
		c.worker.synced = true
		c.worker.syncedAt = now
		c.workerChanged()
		c.reconcile()
	}
}

func (c *Core) takeEnds(ended []Ended) {
	for _, e := range ended {
		if e.Number <= c.worker.lastSeen {
			continue
		}
		c.worker.lastSeen = e.Number
		end := runs.End{Key: e.Key, How: e.How, Checkpoint: e.Checkpoint}
		r := c.runs.Get(e.Key)
		if r == nil {
			c.recent.add(end)        // of a former process: an entry may still ask
			c.hold(e.Number, 0, end) // its job may be durable
			continue
		}
		if !r.confirmedAt.IsZero() {
			end.Ran = c.now.Sub(r.confirmedAt)
		}
		if end.How == runs.Stopped {
			end.Reason = r.stopReason
		}
		c.pace.ended(c.now, r, end)
		if r.durable {
			c.hold(e.Number, r.owner.Incarnation, end)
			end.Held = true
		}
		c.finish(r, end)
	}
}

func (c *Core) takeRunning(running []Running) {
	for _, listed := range running {
		r := c.runs.Get(listed.Key)
		if r == nil {
			r = &run{key: listed.Key, orphan: true, phase: phaseOrdered, orderedAt: c.now, life: c.worker.info.Life()}
			c.runs.Put(listed.Key, r)
			c.note("orphan", r, runs.NoReason)
		}
		if r.phase == phaseWaiting {
			continue // an older process's run of this number; its stop settles it
		}
		r.life, r.lost, r.suspect = c.worker.info.Life(), runs.NoReason, false
		c.confirm(r)
		r.percent = listed.Percent
		r.checkpoint = listed.Checkpoint
		r.percentAt = c.now
	}
	c.loadChanged = c.loadChanged || len(running) > 0
}

// settle ends runs that this listing proves to be over: those confirmed before
// the look that it does not show, and doubtful ones that cannot start any more.
func (c *Core) settle(look Look, running []Running) {
	listed := make(map[runs.Key]bool, len(running))
	for _, r := range running {
		listed[r.Key] = true
	}
	for r := range c.runs.Values() {
		if listed[r.key] {
			continue
		}
		switch {
		case r.phase != phaseWaiting && r.life != c.worker.info.Life():
			c.finish(r, c.lostEnd(r, runs.Gone, r.lost))
		case r.phase == phaseRunning && r.confirmedAt.Before(look.SentAt):
			c.finish(r, runs.End{Key: r.key, How: runs.Gone})
		case r.phase == phaseDoubtful && c.cannotStart(r, look):
			c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: runs.Unanswered})
		}
	}
}

// cannotStart reports whether a doubtful run could not start any more when the
// look was sent.
func (c *Core) cannotStart(r *run, look Look) bool {
	stopped := !r.stopAnsweredAt.IsZero() && r.stopAnsweredAt.Before(look.SentAt)
	expired := c.worker.earliest(look.SentAt) > r.orderDeadline
	return stopped || expired
}
