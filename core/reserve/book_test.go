package reserve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
)

var (
	begin = time.Unix(1000, 0)
	need  = room.Resources{CPU: 1000, Memory: 10}
)

// reservation is one of a link that should start by a time in ms and must start within a second.
func reservation(link, id uint64, startBy int) Reservation {
	return Reservation{
		Key: Key{Link: link, ID: id}, Need: need, StartBy: begin.Add(time.Duration(startBy) * time.Millisecond),
		LatestStart: begin.Add(time.Second),
	}
}

func ids(list []*Reservation) []uint64 {
	var ids []uint64
	for _, r := range list {
		ids = append(ids, r.Key.ID)
	}
	return ids
}

func TestMostUrgentReservationIsFirst(t *testing.T) {
	is := is.New(t)
	var b Book
	for _, r := range []Reservation{reservation(1, 1, 50), reservation(1, 2, 20), reservation(2, 3, 50), reservation(2, 4, 10)} {
		is.True(b.Add(r))
	}
	is.Equal(ids(b.Waiting()), []uint64{4, 2, 1, 3})
}

func TestOfferedResourcesAreHeldUntilTaken(t *testing.T) {
	is := is.New(t)
	var b Book
	b.Add(reservation(1, 1, 0))
	key := Key{Link: 1, ID: 1}
	is.True(!b.Take(key)) // nothing is held before the offer
	b.Offer(begin, b.Waiting()[0])
	is.Equal(b.Held(), need)
	is.True(!b.Take(Key{Link: 2, ID: 1})) // of another link
	is.True(b.Take(key))
	is.True(!b.Take(key))
	is.Equal(b.Held(), room.Resources{})
	is.Equal(b.Len(), 0)
}

func TestReleasedOfferIsNoLongerHeld(t *testing.T) {
	is := is.New(t)
	var b Book
	b.Add(reservation(1, 1, 0))
	b.Offer(begin, b.Waiting()[0])
	b.Release(Key{Link: 1, ID: 1})
	is.Equal(b.Held(), room.Resources{})
}

// TestSilentLinkLosesItsReservations: an entry that is frozen or cut off holds resources for one
// offer timeout, however many reservations it has.
func TestSilentLinkLosesItsReservations(t *testing.T) {
	is := is.New(t)
	var b Book
	for id := range uint64(10) {
		b.Add(reservation(1, id, 0))
	}
	b.Add(reservation(2, 10, 0))
	b.Offer(begin, b.Waiting()[0])
	is.Equal(len(b.Expire(begin.Add(OfferTimeout-1))), 0)
	is.Equal(len(b.Expire(begin.Add(OfferTimeout))), 10)
	is.Equal(ids(b.Waiting()), []uint64{10})
	is.Equal(b.Held(), room.Resources{})
}

func TestReservationEndsWithItsLatestStartOrLink(t *testing.T) {
	is := is.New(t)
	var b Book
	b.Add(reservation(1, 1, 0))
	b.Add(reservation(2, 2, 0))
	is.Equal(ids(b.DropLink(1)), []uint64{1})
	is.Equal(len(b.Expire(begin.Add(time.Second))), 0)
	is.Equal(ids(b.Expire(begin.Add(time.Second+1))), []uint64{2})
	is.Equal(b.Len(), 0)
}

func TestBookIsBounded(t *testing.T) {
	is := is.New(t)
	var b Book
	for id := range uint64(MaxReservations) {
		is.True(b.Add(reservation(1, id, 0)))
	}
	is.True(!b.Add(reservation(1, MaxReservations, 0)))
	is.Equal(len(b.DropAll()), MaxReservations)
}
