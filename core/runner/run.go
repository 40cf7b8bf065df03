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
	// phaseWaiting: in the queue; the worker knows nothing of it.
	phaseWaiting phase = iota
	// phaseOrdered: the start was ordered and not answered yet.
	phaseOrdered
	// phaseRunning: the worker has confirmed it.
	phaseRunning
	// phaseDoubtful: the start got no answer; it may run now or later.
	phaseDoubtful
)

// run is one run of a task.
type run struct {
	key   runs.Key
	owner runs.Entry
	start runs.Start
	need  room.Room
	phase phase
	// life is the worker's incarnation that was told to start it, or lists it.
	life runs.Life
	// stranded is set while the worker is gone and the answer to the start is on its way:
	// it may be that of the next incarnation.
	stranded bool
	// lost tells how the incarnation that it was started in was lost, suspect whether a
	// crash is put down to it.
	lost    runs.Reason
	suspect bool
	// orphan marks a run of a former agent process that no entry has claimed.
	orphan bool
	// durable runs' ends are held until their entry has stored them.
	durable bool
	// checkpoint is the newest that the worker lists, told the one that the entry has.
	checkpoint, told string
	// startBy is when it should start to end in time; notAfter is when it must not
	// start any more.
	startBy, notAfter time.Time
	orderedAt         time.Time
	// orderDeadline is the deadline that the start order carried, on the worker's
	// clock.
	orderDeadline int64
	// confirmedAt is when the worker first confirmed it.
	confirmedAt time.Time
	percent     int
	percentAt   time.Time
	// stopReason is set once it shall end. stopOrderedAt is when the last stop was
	// ordered, stopAnsweredAt when one was answered.
	stopReason     runs.Reason
	stopOrderedAt  time.Time
	stopAnsweredAt time.Time
	// overBy is when others count on its end; zero while it may go on.
	overBy time.Time
}

// waiting is the queue of runs that wait for room, the most urgent first.
type waiting []*run

func (w *waiting) add(r *run) {
	at := sort.Search(len(*w), func(i int) bool { return (*w)[i].startBy.After(r.startBy) })
	*w = append(*w, nil)
	copy((*w)[at+1:], (*w)[at:])
	(*w)[at] = r
}

func (w *waiting) remove(r *run) {
	for i, other := range *w {
		if other == r {
			*w = append((*w)[:i], (*w)[i+1:]...)
			return
		}
	}
}

// admit takes a start into the queue or refuses it.
func (c *Core) admit(l *link, s *runs.Start, sentAt int64) {
	if other := c.runs.Get(s.Key); other != nil {
		if other.owner.Incarnation != l.entry.Incarnation {
			// Entries number the runs of a job each from 1: this start is another one.
			l.out.Ends = append(l.out.Ends, runs.End{Key: s.Key, How: runs.Refused, Reason: runs.OldRun})
			l.dirty = true
		}
		return // else a repeated order
	}
	r := &run{
		key: s.Key, owner: l.entry, start: *s, need: s.Need,
		durable: s.Durable, startBy: c.now.Add(s.Slack), notAfter: time.Unix(0, sentAt).Add(s.Patience),
	}
	c.loadChanged = true
	if reason := c.refusal(l, r); reason != runs.NoReason {
		c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: reason})
		return
	}
	c.runs.Put(r.key, r)
	if !c.settings.Policy.Has(policy.LeastSlack) {
		c.queue = append(c.queue, r)
		return
	}
	c.queue.add(r)
}

// refusal returns why a run cannot be taken.
func (c *Core) refusal(l *link, r *run) runs.Reason {
	switch {
	case c.draining || c.worker.info.Draining || l.released():
		return runs.Draining
	case c.drained():
		return runs.Drained
	case !c.worker.synced || c.outOfUse():
		return runs.NoWorker
	case !c.leased(r.owner):
		return runs.NoLease
	case c.now.After(r.notAfter):
		return runs.Late
	case !c.worker.info.Capacity.Fits(r.need) || len(c.queue) >= c.settings.QueueLimit:
		return runs.NoRoom
	}
	return runs.NoReason
}

// startWaiting orders the start of waiting runs that fit, the most urgent first.
// A smaller run may pass one that does not fit, so that no room stays unused.
//
// A run whose entry has no link does not start: the entry could not take it back. It may
// be gone, or its caller may have left it for another entry while the link was broken;
// what starts then is work in vain, or runs beside the same task of the other entry.
func (c *Core) startWaiting() {
	if len(c.queue) == 0 || !c.worker.synced || c.outOfUse() || c.drained() || c.mayHaveRestarted() {
		return
	}
	lease := c.leaseToTake()
	if lease < shortestLease {
		return
	}
	left := c.roomLeft()
	gate := c.newGate()
	var still waiting
	for _, r := range c.queue {
		if !c.linked(r.owner) {
			still = append(still, r)
			continue
		}
		if !left.Fits(r.need) {
			still = append(still, r)
			if !c.settings.Policy.Has(policy.Passing) {
				left = room.Room{}
			}
			continue
		}
		if !gate.admits(r.start.Suspicion) {
			still = append(still, r)
			if r.start.Suspicion == runs.Alone {
				left = room.Room{} // else the worker would never be empty
			}
			continue
		}
		left = left.Minus(r.need)
		gate.pass(r.start.Suspicion)
		c.order(r, lease)
	}
	c.queue = still
}

// linked reports whether a link to an entry's process is open.
func (c *Core) linked(entry runs.Entry) bool {
	for l := range c.links.Values() {
		if l.entry.Incarnation == entry.Incarnation {
			return true
		}
	}
	return false
}

// order has the worker start a run under a lease.
func (c *Core) order(r *run, lease time.Duration) {
	r.phase = phaseOrdered
	r.orderedAt = c.now
	r.life = c.worker.info.Life()
	r.orderDeadline = c.worker.deadline(c.now, lease)
	c.worker.promised(r.orderDeadline)
	c.out.Orders = append(c.out.Orders, Order{
		Kind: OrderStart, Key: r.key, Worker: c.worker.info.ID, Born: c.worker.info.Born, Token: c.worker.token,
		Deadline: r.orderDeadline, Spec: r.start.Spec, Checkpoint: r.start.Checkpoint,
	})
}

// expireWaiting refuses waiting runs whose time has passed.
func (c *Core) expireWaiting() {
	for _, r := range append(waiting(nil), c.queue...) {
		if c.now.After(r.notAfter) {
			c.end(r, runs.Late)
		}
	}
}

func (c *Core) refuseWaiting(reason runs.Reason) {
	for _, r := range append(waiting(nil), c.queue...) {
		c.end(r, reason)
	}
}

// end has a run end: a waiting one at once, others by a stop.
func (c *Core) end(r *run, reason runs.Reason) {
	if r.phase == phaseWaiting {
		c.queue.remove(r)
		c.finish(r, runs.End{Key: r.key, How: runs.Refused, Reason: reason})
		return
	}
	if r.stopReason != runs.NoReason {
		return
	}
	r.stopReason = reason
	if reason == runs.Asked {
		c.stoppedSlow(r)
	}
	c.orderStop(r)
}

func (c *Core) orderStop(r *run) {
	r.stopOrderedAt = c.now
	if !c.worker.known {
		return
	}
	c.out.Orders = append(c.out.Orders, Order{
		Kind: OrderStop, Key: r.key, Worker: c.worker.info.ID, Born: c.worker.info.Born, Token: c.worker.token,
	})
	c.note("stop", r, r.stopReason)
}

// stopAsked handles an entry's request to end a run. One that is wanted, and shall start
// again elsewhere, may take its time: its entry waits for the end.
func (c *Core) stopAsked(l *link, key runs.Key, wanted bool) {
	r := c.runs.Get(key)
	if r == nil {
		c.answerUnknown(l, key)
		return
	}
	if r.owner.Incarnation != l.entry.Incarnation {
		return
	}
	if !wanted {
		c.mustEnd(r, c.now)
	}
	c.end(r, runs.Asked)
}

// answerUnknown tells an entry how a run that is not here ended.
func (c *Core) answerUnknown(l *link, key runs.Key) {
	end, ok := c.recent.find(key)
	if !ok {
		end = runs.End{Key: key, How: runs.Gone}
		if len(c.former.order) > 0 {
			end.Reason = runs.Lapsed // it may have gone with a former incarnation
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

// retryStopAfter is the time after which a stop that has not ended its run is
// ordered again. A stop takes some 50 ms at the worker.
const retryStopAfter = 150 * time.Millisecond

// retryStops repeats stops that have had no effect.
func (c *Core) retryStops() {
	for r := range c.runs.Values() {
		if r.stopReason != runs.NoReason && c.now.Sub(r.stopOrderedAt) >= retryStopAfter {
			c.orderStop(r)
		}
	}
}

// finish removes a run that is certainly over and tells its entry.
func (c *Core) finish(r *run, end runs.End) {
	c.runs.Delete(r.key)
	c.loadChanged = true
	c.recent.add(end)
	c.note("end "+end.How.String(), r, end.Reason)
	c.tellEnd(r.owner, end)
}

// tellEnd tells the owner of a run how it ended.
func (c *Core) tellEnd(owner runs.Entry, end runs.End) {
	for l := range c.links.Values() {
		if l.entry.Incarnation == owner.Incarnation {
			l.out.Ends = append(l.out.Ends, end)
			l.dirty = true
		}
	}
}

func (c *Core) note(event string, r *run, reason runs.Reason) {
	age := time.Duration(0)
	if !r.orderedAt.IsZero() {
		age = c.now.Sub(r.orderedAt)
	}
	c.out.Notes = append(c.out.Notes, Note{Event: event, Key: r.key, Entry: r.owner.Address, Reason: reason, Age: age})
}

// recentLimit bounds the remembered ends: some seconds of a busy worker.
const recentLimit = 1024

// recentEnds remembers ends for entries whose link broke before they heard.
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
	if len(e.order) > recentLimit {
		delete(e.ends, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *recentEnds) find(key runs.Key) (runs.End, bool) {
	end, ok := e.ends[key]
	return end, ok
}
