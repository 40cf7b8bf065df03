package runner

import (
	"testing"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"

	"pgregory.net/rapid"
)

// workerWithCores is worker w1 with the given number of cores.
func workerWithCores(cores int) runs.Worker {
	w := worker("w1")
	w.Capacity.CPU = 1000 * cores
	return w
}

func TestShrunkWorkerStartsNothingUntilEnoughHasEnded(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1", "t2")
	for _, o := range out.Orders {
		h.OrderAnswered(after(1), o, Answer{Status: Accepted, Clock: 5001})
	}
	h.WorkerAnnounced(after(2), workerWithCores(1), 5002)
	out = h.Flush(after(2))
	h.is.Equal(out.Sends[0].Msg.Load.Free.CPU, -1000)
	h.is.Equal(out.Sends[0].Msg.Worker.Capacity.CPU, 1000)
	h.is.Equal(len(startsOf(h.send(after(3), "t3"))), 0)
	h.pollAt(after(4), Listing{Running: []Running{{Key: key("t2")}}, Ended: []Ended{{Number: 1, Key: key("t1"), Outcome: runs.OutcomeDone}}})
	h.is.Equal(len(startsOf(h.Flush(after(4)))), 0) // t2 occupies all of it
	h.pollAt(after(5), Listing{Ended: []Ended{{Number: 2, Key: key("t2"), Outcome: runs.OutcomeDone}}})
	h.is.Equal(startsOf(h.Flush(after(5))), []runs.Key{key("t3")})
}

func TestStoppingRunOccupiesShrunkWorker(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1", "t2")
	for _, o := range out.Orders {
		h.OrderAnswered(after(1), o, Answer{Status: Accepted, Clock: 5001})
	}
	h.Receive(after(2), 1, &runs.ToAgent{Clock: after(2).UnixNano(), Stops: []runs.Key{key("t1")}})
	h.WorkerAnnounced(after(2), workerWithCores(2), 5002)
	h.is.Equal(len(startsOf(h.send(after(3), "t3"))), 0)
}

// TestWaitingRunThatNoLongerFitsIsRefused: its entry may find free capacity elsewhere.
func TestWaitingRunThatNoLongerFitsIsRefused(t *testing.T) {
	h := newHarness(t)
	h.send(start, "t1", "t2", "t3")
	h.WorkerAnnounced(after(2), workerWithCores(1), 5002)
	list := ends(h.Flush(after(2)))
	h.is.Equal(len(list), 1)
	h.is.Equal(list[0].Key, key("t3"))
	h.is.Equal(list[0].Outcome, runs.OutcomeRefused)
	h.is.Equal(list[0].Reason, runs.ReasonNoCapacity)
}

func TestGrownWorkerStartsWaitingRuns(t *testing.T) {
	h := newHarness(t)
	h.send(start, "t1", "t2", "t3")
	h.WorkerAnnounced(after(2), workerWithCores(3), 5002)
	h.is.Equal(startsOf(h.Flush(after(2))), []runs.Key{key("t3")})
}

func TestLoadedCapacityDoesNotReplaceAnnouncedOne(t *testing.T) {
	// The adapter drops delayed announcements by their number. What the registry has may be older
	// than the last announcement and does not replace it.
	h := newHarness(t)
	h.WorkerAnnounced(after(1), workerWithCores(1), 5001)
	h.WorkerLoaded(after(2), workerWithCores(2))
	h.is.Equal(h.worker.info.Capacity.CPU, 1000)
}

// TestStartsNeverExceedChangingCapacity: the runs that may be at the worker, with those just
// started, never need more than the capacity announced last.
func TestStartsNeverExceedChangingCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		at := make(map[runs.Key]bool)
		capacity, now, ended := 2, 1, int64(0)
		for n := range rapid.IntRange(5, 60).Draw(rt, "events") {
			now++
			h.heartbeat(after(now))
			var out Output
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				capacity = rapid.IntRange(1, 5).Draw(rt, "cores")
				h.WorkerAnnounced(after(now), workerWithCores(capacity), int64(5000+now))
				out = h.Flush(after(now))
			case 1:
				out = h.send(after(now), string(rune('a'+n)))
			case 2:
				out = h.Flush(after(now))
				for k := range at {
					ended++
					delete(at, k)
					h.pollAt(after(now), Listing{Running: running(at), Ended: []Ended{{Number: ended, Key: k, Outcome: runs.OutcomeDone}}})
					break
				}
			case 3:
				out = h.Flush(after(now))
			}
			for _, k := range startsOf(out) {
				at[k] = true
				if used := (room.Resources{CPU: 1000 * len(at)}); used.CPU > 1000*capacity {
					rt.Fatalf("%d runs on %d cores", len(at), capacity)
				}
			}
			for _, o := range out.Orders {
				h.OrderAnswered(after(now), o, Answer{Status: Accepted, Clock: int64(5000 + now)})
			}
		}
	})
}

// running lists the given runs as running.
func running(at map[runs.Key]bool) []Running {
	var list []Running
	for k := range at {
		list = append(list, Running{Key: k})
	}
	return list
}

// TestCapacityIsUnknownAfterASuspension: the worker may have shrunk while its agent was suspended.
// Nothing starts before it has announced itself again.
func TestCapacityIsUnknownAfterASuspension(t *testing.T) {
	h := newHarness(t)
	h.Tick(start)
	resumed := after(2000)
	h.Tick(resumed)
	h.heartbeat(resumed)
	got := ends(h.send(resumed, "t1"))
	h.is.Equal(got[0].Reason, runs.ReasonNoWorker)
	h.is.Equal(lastWorkerSent(h.Flush(resumed), 1), nil) // was sent with the refusal
	shrunk := worker("w1")
	shrunk.Capacity.CPU = 1000
	h.WorkerAnnounced(after(2100), shrunk, 7100)
	h.is.Equal(lastWorkerSent(h.Flush(after(2100)), 1).Capacity.CPU, 1000)
	h.is.Equal(len(h.send(after(2101), "t2", "t3").Orders), 1)
}
