package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// newDrainHarness returns a harness whose worker is in data centre d.
func newDrainHarness(t *testing.T) *harness {
	h := newHarness(t)
	info := worker("w1")
	info.DataCentre = "d"
	h.WorkerAnnounced(start, info, 5001)
	h.settings.DrainViewMaxAge = 3 * time.Second
	return h
}

// drain delivers a view of the drained data centres.
func (h *harness) drain(now time.Time, version uint64, dataCentres ...string) Output {
	view := &runs.DrainView{Version: version, DataCentres: dataCentres}
	h.Receive(now, 1, &runs.ToAgent{Clock: now.UnixNano(), Drains: view})
	return h.Flush(now)
}

func TestDrainedDataCentreStartsNothingAndStopsNothing(t *testing.T) {
	h := newDrainHarness(t)
	h.is.Equal(len(startsOf(h.send(start, "t1", "t2", "t3"))), 2) // t3 waits for free capacity
	out := h.drain(after(10), 5, "d")
	h.is.Equal(ends(out), []runs.End{{Key: key("t3"), Outcome: runs.OutcomeRefused, Reason: runs.ReasonDataCentreDrained}})
	h.is.Equal(len(stopsOf(out)), 0) // runs at the worker go on
	out = h.send(after(20), "t4")
	h.is.Equal(ends(out), []runs.End{{Key: key("t4"), Outcome: runs.OutcomeRefused, Reason: runs.ReasonDataCentreDrained}})
	h.pollAt(after(30), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), Outcome: runs.OutcomeDone}, {Number: 2, Key: key("t2"), Outcome: runs.OutcomeDone}}})
	h.Tick(after(40))
	out = h.Flush(after(40))
	h.is.Equal(len(startsOf(out)), 0)
	h.is.Equal(out.Decisions[len(out.Decisions)-1].Event, "worker empty in drained data centre")
	h.drain(after(50), 9)
	h.is.Equal(startsOf(h.send(after(60), "t5")), []runs.Key{key("t5")})
}

// TestDrainViewAppliesToStartsOfTheSameMessage: an entry that has just received the view may send
// it together with starts that it placed before.
func TestDrainViewAppliesToStartsOfTheSameMessage(t *testing.T) {
	h := newDrainHarness(t)
	msg := &runs.ToAgent{Clock: start.UnixNano(), Drains: &runs.DrainView{Version: 5, DataCentres: []string{"d"}}}
	msg.Starts = []runs.Start{{Key: key("t1"), Need: small, StartTimeout: time.Second}}
	h.Receive(start, 1, msg)
	h.is.Equal(len(startsOf(h.Flush(start))), 0)
}

// TestOlderDrainViewIsIgnored: an entry that is cut off from the store goes on sending its view.
func TestOlderDrainViewIsIgnored(t *testing.T) {
	h := newDrainHarness(t)
	h.drain(after(10), 5, "d")
	h.drain(after(20), 4)
	h.is.Equal(len(startsOf(h.send(after(30), "t1"))), 0)
}

func TestDrainOfAnotherDataCentreChangesNothing(t *testing.T) {
	h := newDrainHarness(t)
	h.drain(after(10), 5, "e")
	h.is.Equal(len(startsOf(h.send(after(20), "t1"))), 1)
}

// TestDrainViewIsUnconfirmedOnceItIsTooOld: all entries of the agent may be cut off from the
// store.
func TestDrainViewIsUnconfirmedOnceItIsTooOld(t *testing.T) {
	h := newDrainHarness(t)
	h.Tick(start)
	h.is.True(!h.IsDrainViewStale(after(2900))) // a new agent waits for the view of its first entry
	h.is.True(h.IsDrainViewStale(after(3100)))
	h.drain(after(3200), 5)
	h.is.True(!h.IsDrainViewStale(after(6100)))
	h.is.True(h.IsDrainViewStale(after(6300)))
	// An entry that was cut off from the store for 4 s repeats its view.
	h.Receive(after(6300), 1, &runs.ToAgent{Clock: after(6300).UnixNano(), Drains: &runs.DrainView{Version: 5, Age: 4 * time.Second}})
	h.is.True(h.IsDrainViewStale(after(6300)))
	// A message that was delayed by 4 s confirms nothing either.
	h.Receive(after(10000), 1, &runs.ToAgent{Clock: after(6000).UnixNano(), Drains: &runs.DrainView{Version: 5}})
	h.is.True(h.IsDrainViewStale(after(10000)))
}
