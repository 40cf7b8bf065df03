package runner

import (
	"time"

	"peridotpick.example/wire/runs"
)

// heldEnd is an end that the worker must go on listing, since no entry has confirmed yet that it
// is stored. If the worker forgot it earlier and the entry were lost, the job's next entry would
// run the task again although it is done.
type heldEnd struct {
	end runs.End
	// owner is the incarnation of the entry that the end was sent to; 0 if none is known.
	owner uint64
	// listedAt is when the worker listed it first.
	listedAt time.Time
	// askedAt is when entries were last asked about it, or when it was sent to its owner.
	askedAt time.Time
	// void is set once an entry has declared that the end came too late. See voidEnds.
	void bool
}

const (
	// heldPollInterval is the shortest interval between polls while ends are held: the worker
	// answers such polls at once.
	heldPollInterval = 5 * time.Millisecond
	// longHeldPollInterval is that interval once an end was held for askInterval, for example in
	// an outage of the store: 200 polls a second would take a quarter of an agent's processor.
	longHeldPollInterval = 20 * time.Millisecond
	// askInterval is the interval at which all entries are asked about a held end: its owner may
	// be gone, or may have lost the job. A held end keeps the worker from forgetting later ones,
	// and it lists only a limited number.
	askInterval = 500 * time.Millisecond
)

// pollInterval returns the shortest interval between two polls.
func (c *Core) pollInterval() time.Duration {
	for h := range c.held.Values() {
		if c.now.Sub(h.listedAt) > askInterval {
			return longHeldPollInterval
		}
		return heldPollInterval
	}
	return 0
}

// ackUpTo returns the number up to which the worker may forget its ends.
func (c *Core) ackUpTo() int64 {
	upTo := c.worker.lastEndNumber
	for number := range c.held.All() {
		upTo = min(upTo, number-1)
	}
	return upTo
}

// holdEnd holds an end until an entry has stored it. owner is 0 if it is not sent to any.
func (c *Core) holdEnd(number int64, owner uint64, end runs.End) {
	end.NeedsAck = true
	h := &heldEnd{end: end, owner: owner, listedAt: c.now}
	if owner != 0 {
		h.askedAt = c.now // it is sent to its owner now
	}
	c.held.Put(number, h)
}

// releaseEnds releases held ends that an entry has stored or need not store.
func (c *Core) releaseEnds(keys []runs.Key) {
	for _, key := range keys {
		for number, h := range c.held.All() {
			if h.end.Key == key {
				c.held.Delete(number)
			}
		}
	}
}

// voidEnds marks held ends that came too late. Their entry relied on the expiry of the worker's
// lease and has started their tasks again, so that lease must expire before the worker may forget
// the ends.
func (c *Core) voidEnds(keys []runs.Key) {
	for _, key := range keys {
		for h := range c.held.Values() {
			if h.end.Key == key {
				c.voidEnd(h)
			}
		}
	}
}

// voidEnd marks one held end as void. See voidEnds.
func (c *Core) voidEnd(h *heldEnd) {
	if h.void {
		return
	}
	h.void = true
	c.logHeldEnd("lease left to end", h)
	c.refuseWaiting(runs.ReasonNoWorker)
}

// maxListedEnds is the greatest number of ends that the worker goes on listing. A held end makes it list
// all later ones too. It lists 500 ends and hides later ones, so that it would seem fully occupied for as
// long as one end is held.
const maxListedEnds = 400

// limitListedEnds gives held ends up once the worker lists maxListedEnds. Those of runs that were neither
// done nor failed are forgotten: the job's owner starts the task again, with or without them. If others
// are left, the worker's lease is left to expire once, which takes a second, and they are forgotten then.
func (c *Core) limitListedEnds() {
	if c.listedEnds() < maxListedEnds {
		return
	}
	for number, h := range c.held.All() {
		if !h.void && h.end.Outcome != runs.OutcomeDone && h.end.Outcome != runs.OutcomeFailed {
			c.logHeldEnd("end given up", h)
			c.held.Delete(number)
		}
	}
	if c.listedEnds() < maxListedEnds {
		return
	}
	for h := range c.held.Values() {
		c.voidEnd(h)
	}
}

// listedEnds returns the number of ends that the worker goes on listing.
func (c *Core) listedEnds() int64 { return c.worker.lastEndNumber - c.ackUpTo() }

// awaitsLeaseExpiry reports whether the worker's lease is left to expire because of void ends.
func (c *Core) awaitsLeaseExpiry() bool {
	for h := range c.held.Values() {
		if h.void {
			return true
		}
	}
	return false
}

// deleteVoidEnds deletes void ends once the worker's lease has expired.
func (c *Core) deleteVoidEnds() {
	if !c.awaitsLeaseExpiry() || c.worker.clockLowerBound(c.now) <= c.worker.latestDeadline+stopGrace.Milliseconds() {
		return
	}
	for number, h := range c.held.All() {
		if h.void {
			c.logHeldEnd("lease has ended", h)
			c.held.Delete(number)
		}
	}
}

// logHeldEnd records a decision about a held end for the log.
func (c *Core) logHeldEnd(event string, h *heldEnd) {
	c.out.Decisions = append(c.out.Decisions, Decision{Event: event, Key: h.end.Key, Reason: h.end.Reason, Age: c.now.Sub(h.listedAt)})
}

// isUnavailable reports whether the worker may be given nothing at present.
func (c *Core) isUnavailable() bool {
	return c.isUnreachable() || c.awaitsLeaseExpiry() || c.worker.unannounced
}

// resendHeldEnds sends the held ends of an entry on its new link: their first message may have
// been lost with the previous one.
func (c *Core) resendHeldEnds(l *link) {
	for h := range c.held.Values() {
		if h.owner == l.entry.Incarnation {
			l.out.Ends = append(l.out.Ends, h.end)
			l.dirty = true
		}
	}
}

// askAboutHeldEnds asks all entries about ends that were not stored within askInterval. The entry
// that has the job answers, or any entry if the job is not durable or is over.
func (c *Core) askAboutHeldEnds() {
	if c.links.Len() == 0 {
		return
	}
	for h := range c.held.Values() {
		if h.void || c.now.Sub(h.askedAt) < askInterval {
			continue
		}
		h.askedAt = c.now
		c.logHeldEnd("end not stored", h)
		for l := range c.links.Values() {
			l.out.UnownedEnds = append(l.out.UnownedEnds, h.end)
			l.dirty = true
		}
	}
}
