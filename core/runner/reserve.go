package runner

import (
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/reserve"
	"peridotpick.example/wire/runs"
)

// reservationKey returns the key of a link's reservation.
func (l *link) reservationKey(id uint64) reserve.Key { return reserve.Key{Link: uint64(l.id), ID: id} }

// reserve takes a reservation that came with a reading of this agent's clock, or drops it if a run
// with the same needs would be refused.
func (c *Core) reserve(l *link, r *runs.Reservation, sentAt int64) {
	latestStart := time.Unix(0, sentAt).Add(r.StartTimeout)
	probe := run{owner: l.entry, need: r.Need, latestStart: latestStart}
	added := c.refusalReason(l, &probe) == runs.ReasonNone && c.reservations.Add(reserve.Reservation{
		Key: l.reservationKey(r.ID), Need: r.Need, StartBy: c.now.Add(r.Slack), LatestStart: latestStart, Copies: r.Copies,
	})
	if !added {
		l.out.Dropped = append(l.out.Dropped, r.ID)
		l.dirty = true
		return
	}
	c.loadChanged = true
}

// releaseReservations removes reservations that their entry no longer needs.
func (c *Core) releaseReservations(l *link, ids []uint64) {
	for _, id := range ids {
		c.reservations.Release(l.reservationKey(id))
		c.loadChanged = true
	}
}

// expireReservations drops the reservations that are over.
func (c *Core) expireReservations() {
	held := c.reservations.Held()
	dropped := c.reservations.Expire(c.now)
	if held != c.reservations.Held() {
		c.out.Decisions = append(c.out.Decisions, Decision{Event: "offer not answered", Entry: c.entryOf(dropped[0]), Age: reserve.OfferTimeout})
	}
	c.reportDropped(dropped)
}

// entryOf returns the address of the entry that has a reservation; empty if its link is closed.
func (c *Core) entryOf(r *reserve.Reservation) string {
	if l := c.links.Get(LinkID(r.Key.Link)); l != nil {
		return l.entry.Address
	}
	return ""
}

// ReservationCount returns the number of reservations.
func (c *Core) ReservationCount() int { return c.reservations.Len() }

// dropReservations drops all reservations, since the worker gets no new runs.
func (c *Core) dropReservations() { c.reportDropped(c.reservations.DropAll()) }

// reportDropped reports dropped reservations to their entries.
func (c *Core) reportDropped(dropped []*reserve.Reservation) {
	for _, r := range dropped {
		c.loadChanged = true
		l := c.links.Get(LinkID(r.Key.Link))
		if l == nil {
			continue
		}
		l.out.Dropped = append(l.out.Dropped, r.Key.ID)
		l.dirty = true
	}
}

// offerFitting offers the given free resources to waiting reservations that should start before the
// given time, and returns what is left. A zero time means no limit.
func (c *Core) offerFitting(left room.Resources, before time.Time) room.Resources {
	for _, r := range append([]*reserve.Reservation(nil), c.reservations.Waiting()...) {
		if !before.IsZero() && !r.StartBy.Before(before) {
			break
		}
		if !left.Fits(r.Need) {
			continue
		}
		left = left.Sub(r.Need)
		c.offer(r)
	}
	return left
}

// offer holds resources for a reservation and offers them to its entry.
func (c *Core) offer(r *reserve.Reservation) {
	l := c.links.Get(LinkID(r.Key.Link))
	if l == nil {
		c.reservations.Release(r.Key)
		return
	}
	c.reservations.Offer(c.now, r)
	c.loadChanged = true
	l.out.Offers = append(l.out.Offers, r.Key.ID)
	l.dirty = true
}
