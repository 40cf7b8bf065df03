package runner

import (
	"testing"
	"time"

	"peridotpick.example/core/reserve"
	"peridotpick.example/wire/runs"
)

// reserveOn delivers reservations with the given IDs on a link.
func (h *harness) reserveOn(now time.Time, link LinkID, ids ...uint64) Output {
	msg := &runs.ToAgent{Clock: now.UnixNano()}
	for _, id := range ids {
		msg.Reserve = append(msg.Reserve, runs.Reservation{ID: id, Need: small, Slack: 100 * time.Millisecond, StartTimeout: time.Second, Copies: 2})
	}
	h.Receive(now, link, msg)
	return h.Flush(now)
}

// offers returns the offers and the dropped reservations sent on a link.
func offers(out Output, link LinkID) (offered, dropped []uint64) {
	for _, s := range out.Sends {
		if s.Link == link {
			offered = append(offered, s.Msg.Offers...)
			dropped = append(dropped, s.Msg.Dropped...)
		}
	}
	return offered, dropped
}

// newFullHarness returns a harness whose worker has no free resources, with a link to a second entry.
func newFullHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.LinkUp(start, 2, runs.Entry{Address: "e:2", Incarnation: 8})
	h.Receive(start, 2, &runs.ToAgent{Clock: start.UnixNano()})
	out := h.send(start, "t1", "t2")
	for _, o := range out.Orders {
		h.OrderAnswered(start, o, Answer{Status: Accepted, Clock: 5000})
	}
	return h
}

// endRun lists the end of a task's run and returns the output.
func (h *harness) endRun(now time.Time, number int64, task, running string) Output {
	h.pollAt(now, Listing{Running: []Running{{Key: key(running)}}, Ended: []Ended{{Number: number, Key: key(task), Outcome: runs.OutcomeDone}}})
	return h.Flush(now)
}

func TestReservationIsOfferedOnceResourcesAreFree(t *testing.T) {
	h := newFullHarness(t)
	offered, _ := offers(h.reserveOn(after(1), 2, 1), 2)
	h.is.Equal(len(offered), 0)
	h.is.Equal(h.load(h.links.Get(1)).Waiting[runs.SlackBand(100*time.Millisecond)], small.CPU/2) // as the run also waits elsewhere
	offered, _ = offers(h.endRun(after(2), 1, "t1", "t2"), 2)
	h.is.Equal(offered, []uint64{1})
	h.is.Equal(h.load(h.links.Get(1)).Free.CPU, 0)
}

func TestOfferedResourcesAreKeptForTheirRun(t *testing.T) {
	h := newFullHarness(t)
	h.reserveOn(after(1), 2, 1)
	h.endRun(after(2), 1, "t1", "t2")
	h.is.Equal(len(h.send(after(3), "other").Orders), 0)
	h.Receive(after(4), 2, &runs.ToAgent{Clock: after(4).UnixNano(), Starts: []runs.Start{{
		Key: key("bound"), Need: small, Slack: time.Second, StartTimeout: time.Second, Reservation: 1,
	}}})
	out := h.Flush(after(4))
	h.is.Equal(len(out.Orders), 1)
	h.is.Equal(out.Orders[0].Key, key("bound")) // though the other run has less slack
}

func TestReleasedReservationLeavesItsResources(t *testing.T) {
	h := newFullHarness(t)
	h.reserveOn(after(1), 2, 1)
	h.endRun(after(2), 1, "t1", "t2")
	h.send(after(3), "other")
	h.Receive(after(4), 2, &runs.ToAgent{Clock: after(4).UnixNano(), Released: []uint64{1}})
	h.is.Equal(len(h.Flush(after(4)).Orders), 1)
}

// TestUnansweredOfferIsDropped: an entry that is frozen keeps resources for one offer timeout, and a
// start that still comes is treated like any other.
func TestUnansweredOfferIsDropped(t *testing.T) {
	h := newFullHarness(t)
	h.reserveOn(after(1), 2, 1, 2)
	h.endRun(after(2), 1, "t1", "t2")
	h.send(after(3), "other")
	now := after(2).Add(reserve.OfferTimeout)
	h.Tick(now)
	out := h.Flush(now)
	_, dropped := offers(out, 2)
	h.is.Equal(len(dropped), 2)
	h.is.Equal(out.Orders[0].Key, key("other"))
	h.Receive(now, 2, &runs.ToAgent{Clock: now.UnixNano(), Starts: []runs.Start{{Key: key("late"), Need: small, StartTimeout: time.Second, Reservation: 1}}})
	h.is.Equal(len(h.Flush(now).Orders), 0)
}

func TestReservationsEndWithTheirLink(t *testing.T) {
	h := newFullHarness(t)
	h.reserveOn(after(1), 2, 1)
	h.endRun(after(2), 1, "t1", "t2")
	h.send(after(3), "other")
	h.LinkDown(after(4), 2)
	h.is.Equal(len(h.Flush(after(4)).Orders), 1)
}

func TestReservationsAreDroppedWhenNothingMayStart(t *testing.T) {
	for name, event := range map[string]func(*harness){
		"draining":    func(h *harness) { h.Drain(after(2)) },
		"worker left": func(h *harness) { h.WorkerLeft(after(2), "w1") },
		"released":    func(h *harness) { h.Release(after(2), 2) },
		"lost worker": func(h *harness) { h.loseWorker() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newFullHarness(t)
			h.reserveOn(after(1), 2, 1)
			event(h)
			_, dropped := offers(h.Flush(after(2)), 2)
			h.is.Equal(dropped, []uint64{1})
			_, dropped = offers(h.reserveOn(after(3), 2, 2), 2) // and so is each new one
			h.is.Equal(dropped, []uint64{2})
		})
	}
}

func TestReservationOfAnEntryWithoutLeaseIsDropped(t *testing.T) {
	h := newFullHarness(t)
	msg := &runs.ToAgent{Clock: start.UnixNano(), Reserve: []runs.Reservation{{ID: 1, Need: small, StartTimeout: time.Hour}}}
	h.Receive(after(500), 2, msg) // was sent 500 ms ago
	_, dropped := offers(h.Flush(after(500)), 2)
	h.is.Equal(dropped, []uint64{1})
}
