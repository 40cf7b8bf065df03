package runner

import (
	"time"

	"peridotpick.example/wire/runs"
)

// heldEnd is an end that the worker goes on listing, since no entry has said yet
// that it is stored. Were the worker told to forget it before, a job whose entry
// dies now would run the task again although it is done.
type heldEnd struct {
	end runs.End
	// owner is the entry that the end was told to; 0 if none is known.
	owner uint64
	// listedAt is when the worker listed it first.
	listedAt time.Time
	// askedAt is when entries were last asked about the end; at first when it was listed.
	askedAt time.Time
	// void ends came too late for their entry.
	void bool
}

const (
	// heldLookEvery is the shortest time between looks while ends are held: the
	// worker answers such looks at once.
	heldLookEvery = 5 * time.Millisecond
	// heldLongEvery is that time once an end is kept for askAgain, as in an outage of
	// the store: 200 looks a second would take a quarter of an agent's processor.
	heldLongEvery = 20 * time.Millisecond
	// askAgain is the time after which all entries are asked about an end: its owner
	// may be gone, or may have lost the job. One end that is kept holds up all later
	// ones, and a worker lists only so many.
	askAgain = 500 * time.Millisecond
)

// lookPause returns the shortest time between two looks.
func (c *Core) lookPause() time.Duration {
	for h := range c.held.Values() {
		if c.now.Sub(h.listedAt) > askAgain {
			return heldLongEvery
		}
		return heldLookEvery
	}
	return 0
}

// notedUpTo returns the number up to which all ends may be forgotten.
func (c *Core) notedUpTo() int64 {
	noted := c.worker.lastSeen
	for number := range c.held.All() {
		noted = min(noted, number-1)
	}
	return noted
}

// hold keeps an end until an entry has stored it.
func (c *Core) hold(number int64, owner uint64, end runs.End) {
	end.Held = true
	h := &heldEnd{end: end, owner: owner, listedAt: c.now}
	if owner != 0 {
		h.askedAt = c.now // it is told to its owner
	}
	c.held.Put(number, h)
}

// noted releases the ends of runs that an entry has stored, or need not store.
func (c *Core) noted(keys []runs.Key) {
	for _, key := range keys {
		for number, h := range c.held.All() {
			if h.end.Key == key {
				c.held.Delete(number)
			}
		}
	}
}

// void marks ends that came too late. The entry has started their tasks again,
// counting on the end of the worker's lease; so that lease must now end, before
// the worker may be told to forget them.
func (c *Core) void(keys []runs.Key) {
	for _, key := range keys {
		for h := range c.held.Values() {
			if h.end.Key == key {
				c.voidEnd(h)
			}
		}
	}
}

func (c *Core) voidEnd(h *heldEnd) {
	if h.void {
		return
	}
	h.void = true
	c.noteEnd("lease left to end", h)
	c.refuseWaiting(runs.NoWorker)
	c.workerChanged()
}

// heldLimit bounds the ends that are kept. A worker lists 500 and hides those after
// them, so that its room would seem taken for as long as an outage of the store lasts.
// Instead its lease is left to end once, which takes a second, and all are forgotten.
const heldLimit = 400

func (c *Core) boundHeld() {
	if c.held.Len() < heldLimit {
		return
	}
	for h := range c.held.Values() {
		c.voidEnd(h)
	}
}

// lapsing reports whether the worker's lease is left to end.
func (c *Core) lapsing() bool {
	for h := range c.held.Values() {
		if h.void {
			return true
		}
	}
	return false
}

// forgetVoid forgets void ends once the worker's lease has ended.
func (c *Core) forgetVoid() {
	if !c.lapsing() || c.worker.earliest(c.now) <= c.worker.promisedUntil+stopGrace.Milliseconds() {
		return
	}
	for number, h := range c.held.All() {
		if h.void {
			c.noteEnd("lease has ended", h)
			c.held.Delete(number)
		}
	}
	c.workerChanged()
}

func (c *Core) noteEnd(event string, h *heldEnd) {
	c.out.Notes = append(c.out.Notes, Note{Event: event, Key: h.end.Key, Reason: h.end.Reason, Age: c.now.Sub(h.listedAt)})
}

// outOfUse reports whether the worker may be given nothing at present.
func (c *Core) outOfUse() bool { return c.silent() || c.lapsing() || c.worker.unannounced }

// tellHeld repeats the held ends of an entry on a new link: their first message
// may have been lost with the former one.
func (c *Core) tellHeld(l *link) {
	for h := range c.held.Values() {
		if h.owner == l.entry.Incarnation {
			l.out.Ends = append(l.out.Ends, h.end)
			l.dirty = true
		}
	}
}

// askAboutHeld asks all entries about ends that were not stored for a while. The
// owner of the job answers, or any entry if the job is not durable or has ended.
func (c *Core) askAboutHeld() {
	if c.links.Len() == 0 {
		return
	}
	for h := range c.held.Values() {
		if h.void || c.now.Sub(h.askedAt) < askAgain {
			continue
		}
		h.askedAt = c.now
		c.noteEnd("end not stored", h)
		for l := range c.links.Values() {
			l.out.Unowned = append(l.out.Unowned, h.end)
			l.dirty = true
		}
	}
}
