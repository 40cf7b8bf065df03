// Package reserve keeps the reservations of an agent: requests of entries for resources that are
// occupied at present.
//
// It serves loads above the capacity. An entry sees a worker only by reports that are some
// milliseconds old. If it sends a run to the worker that seemed to be free first, several entries
// choose the same one, and resources that become free elsewhere stay unused until the next report.
// With reservations at several agents the first one that has the resources offers them, and the
// entry decides only then which task takes them.
//
// A reservation starts nothing, so that losing one is harmless. Resources are held only between an
// offer and its answer.
package reserve

import (
	"sort"
	"time"

	"peridotpick.example/common/room"
)

const (
	// OfferTimeout is how long resources are held for an offer. It covers a round trip to another
	// data centre and a slow entry. An entry that is suspended or cut off must not keep resources
	// unused for longer than a short task takes.
	OfferTimeout = 40 * time.Millisecond
	// MaxReservations is the largest number of reservations of an agent: several rounds of runs of
	// a large worker. What is further behind would not start in time.
	MaxReservations = 256
)

// Key identifies a reservation by the link on which it came and its ID there.
type Key struct{ Link, ID uint64 }

// Reservation is one reservation.
type Reservation struct {
	Key  Key
	Need room.Resources
	// StartBy is when the run should start in order to end in time; it must not start after
	// LatestStart.
	StartBy, LatestStart time.Time
	// Copies is the number of agents that have a reservation for the same run, at least 1.
	Copies int
	// offeredAt is when the resources were offered; zero while they are not.
	offeredAt time.Time
}

// Book holds the reservations of an agent. The zero Book is empty.
type Book struct {
	// waiting is ordered by StartBy.
	waiting []*Reservation
	offered []*Reservation
}

// Len returns the number of reservations.
func (b *Book) Len() int { return len(b.waiting) + len(b.offered) }

// Waiting returns the reservations without an offer, those that should start first coming first.
// The list is valid until the next change.
func (b *Book) Waiting() []*Reservation { return b.waiting }

// Add adds a reservation. It reports false if the book is full.
func (b *Book) Add(r Reservation) bool {
	if b.Len() >= MaxReservations {
		return false
	}
	r.Copies = max(r.Copies, 1)
	at := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].StartBy.After(r.StartBy) })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = &r
	return true
}

// Offer marks a waiting reservation as offered: its resources are held from now on.
func (b *Book) Offer(now time.Time, r *Reservation) {
	b.waiting, _ = without(b.waiting, func(other *Reservation) bool { return other == r })
	r.offeredAt = now
	b.offered = append(b.offered, r)
}

// Held returns the resources that are held for offers.
func (b *Book) Held() room.Resources {
	var held room.Resources
	for _, r := range b.offered {
		held = held.Add(r.Need)
	}
	return held
}

// Take removes an offered reservation because a run takes its resources. It reports false if there
// is no such offer, in which case no resources are held for the run.
func (b *Book) Take(key Key) bool {
	var taken []*Reservation
	b.offered, taken = without(b.offered, func(r *Reservation) bool { return r.Key == key })
	return len(taken) > 0
}

// Release removes a reservation that its entry no longer needs.
func (b *Book) Release(key Key) {
	b.remove(func(r *Reservation) bool { return r.Key == key })
}

// DropLink removes all reservations of a link and returns them.
func (b *Book) DropLink(link uint64) []*Reservation {
	return b.remove(func(r *Reservation) bool { return r.Key.Link == link })
}

// DropAll removes all reservations and returns them.
func (b *Book) DropAll() []*Reservation {
	return b.remove(func(*Reservation) bool { return true })
}

// Expire removes the reservations that are over and returns them: those past their latest start,
// and all of a link on which an offer was not answered in time. The entry behind such a link would
// not answer the next offers either.
func (b *Book) Expire(now time.Time) []*Reservation {
	silent := make(map[uint64]bool)
	for _, r := range b.offered {
		if now.Sub(r.offeredAt) >= OfferTimeout {
			silent[r.Key.Link] = true
		}
	}
	return b.remove(func(r *Reservation) bool { return silent[r.Key.Link] || now.After(r.LatestStart) })
}

// remove removes the matching reservations and returns them.
func (b *Book) remove(match func(r *Reservation) bool) []*Reservation {
	var fromWaiting, fromOffered []*Reservation
	b.waiting, fromWaiting = without(b.waiting, match)
	b.offered, fromOffered = without(b.offered, match)
	return append(fromWaiting, fromOffered...)
}

// without splits a list into what does not match and what does.
func without(list []*Reservation, match func(r *Reservation) bool) (rest, removed []*Reservation) {
	rest = list[:0]
	for _, r := range list {
		if match(r) {
			removed = append(removed, r)
		} else {
			rest = append(rest, r)
		}
	}
	clear(list[len(rest):])
	return rest, removed
}
