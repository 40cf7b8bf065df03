package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// drainRig is a rig whose worker stands in data centre d.
func drainRig(t *testing.T) *rig {
	r := newRig(t)
	info := worker("w1")
	info.DataCentre = "d"
	r.Announced(start, info, 5001)
	r.settings.DrainsWithin = 3 * time.Second
	return r
}

func (r *rig) drain(now time.Time, version uint64, dataCentres ...string) Output {
	view := &runs.Drains{Version: version, DataCentres: dataCentres}
	r.Receive(now, 1, &runs.ToAgent{Clock: now.UnixNano(), Drains: view})
	return r.Flush(now)
}

func TestDrainedDataCentreStartsNothingAndEndsNothing(t *testing.T) {
	r := drainRig(t)
	r.is.Equal(len(startsOf(r.send(start, "t1", "t2", "t3"))), 2) // t3 waits for room
	out := r.drain(after(10), 5, "d")
	r.is.Equal(ends(out), []runs.End{{Key: key("t3"), How: runs.Refused, Reason: runs.Drained}})
	r.is.Equal(len(stopsOf(out)), 0) // what runs ends by itself
	out = r.send(after(20), "t4")
	r.is.Equal(ends(out), []runs.End{{Key: key("t4"), How: runs.Refused, Reason: runs.Drained}})
	r.lookAt(after(30), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), How: runs.Done}, {Number: 2, Key: key("t2"), How: runs.Done}}})
	r.Tick(after(40))
	out = r.Flush(after(40))
	r.is.Equal(len(startsOf(out)), 0)
	r.is.Equal(out.Notes[len(out.Notes)-1].Event, "worker empty in drained data centre")
	r.drain(after(50), 9)
	r.is.Equal(startsOf(r.send(after(60), "t5")), []runs.Key{key("t5")})
}

// TestViewInTheMessageOfAStartComesFirst: an entry that has just learned of the drain
// may have sent starts with the same word.
func TestViewInTheMessageOfAStartComesFirst(t *testing.T) {
	r := drainRig(t)
	msg := &runs.ToAgent{Clock: start.UnixNano(), Drains: &runs.Drains{Version: 5, DataCentres: []string{"d"}}}
	msg.Starts = []runs.Start{{Key: key("t1"), Need: small, Patience: time.Second}}
	r.Receive(start, 1, msg)
	r.is.Equal(len(startsOf(r.Flush(start))), 0)
}

// TestEntryWithAnOlderViewOpensNothing: one that is cut off from the store goes on sending.
func TestEntryWithAnOlderViewOpensNothing(t *testing.T) {
	r := drainRig(t)
	r.drain(after(10), 5, "d")
	r.drain(after(20), 4)
	r.is.Equal(len(startsOf(r.send(after(30), "t1"))), 0)
}

func TestDrainOfAnotherDataCentreChangesNothing(t *testing.T) {
	r := drainRig(t)
	r.drain(after(10), 5, "e")
	r.is.Equal(len(startsOf(r.send(after(20), "t1"))), 1)
}

// TestAgentAsksTheStoreOnceNobodyVouches: its entries may all be cut off from the store.
func TestAgentAsksTheStoreOnceNobodyVouches(t *testing.T) {
	r := drainRig(t)
	r.Tick(start)
	r.is.True(!r.DrainsUnconfirmed(after(2900))) // a new agent is told by its first entry
	r.is.True(r.DrainsUnconfirmed(after(3100)))
	r.drain(after(3200), 5)
	r.is.True(!r.DrainsUnconfirmed(after(6100)))
	r.is.True(r.DrainsUnconfirmed(after(6300)))
	// An entry that has not heard of the store for 4 s repeats what it knows.
	r.Receive(after(6300), 1, &runs.ToAgent{Clock: after(6300).UnixNano(), Drains: &runs.Drains{Version: 5, Age: 4 * time.Second}})
	r.is.True(r.DrainsUnconfirmed(after(6300)))
	// A message that was held up on the way for 4 s confirms nothing new either.
	r.Receive(after(10000), 1, &runs.ToAgent{Clock: after(6000).UnixNano(), Drains: &runs.Drains{Version: 5}})
	r.is.True(r.DrainsUnconfirmed(after(10000)))
}
