package runner

import (
	"testing"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"

	"pgregory.net/rapid"
)

// resized is the worker with another number of cores.
func resized(cores int) runs.Worker {
	w := worker("w1")
	w.Capacity.CPU = 1000 * cores
	return w
}

func TestShrunkWorkerStartsNothingUntilEnoughHasEnded(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1", "t2")
	for _, o := range out.Orders {
		r.Ordered(after(1), o, Answer{Verdict: Accepted, Clock: 5001})
	}
	r.Announced(after(2), resized(1), 5002)
	out = r.Flush(after(2))
	r.is.Equal(out.Sends[0].Msg.Load.Free.CPU, -1000)
	r.is.Equal(out.Sends[0].Msg.Worker.Capacity.CPU, 1000)
	r.is.Equal(len(startsOf(r.send(after(3), "t3"))), 0)
	r.lookAt(after(4), Listing{Running: []Running{{Key: key("t2")}}, Ended: []Ended{{Number: 1, Key: key("t1"), How: runs.Done}}})
	r.is.Equal(len(startsOf(r.Flush(after(4)))), 0) // t2 fills it
	r.lookAt(after(5), Listing{Ended: []Ended{{Number: 2, Key: key("t2"), How: runs.Done}}})
	r.is.Equal(startsOf(r.Flush(after(5))), []runs.Key{key("t3")})
}

func TestStopOnItsWayStillCountsInAShrunkWorker(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1", "t2")
	for _, o := range out.Orders {
		r.Ordered(after(1), o, Answer{Verdict: Accepted, Clock: 5001})
	}
	r.Receive(after(2), 1, &runs.ToAgent{Clock: after(2).UnixNano(), Stops: []runs.Key{key("t1")}})
	r.Announced(after(2), resized(2), 5002)
	r.is.Equal(len(startsOf(r.send(after(3), "t3"))), 0)
}

// TestWhatWaitsInAShrunkWorkerIsHandedOn: its entry may have room elsewhere.
func TestWhatWaitsInAShrunkWorkerIsHandedOn(t *testing.T) {
	r := newRig(t)
	r.send(start, "t1", "t2", "t3")
	r.Announced(after(2), resized(1), 5002)
	list := ends(r.Flush(after(2)))
	r.is.Equal(len(list), 1)
	r.is.Equal(list[0].Key, key("t3"))
	r.is.Equal(list[0].How, runs.Refused)
	r.is.Equal(list[0].Reason, runs.NoRoom)
}

func TestGrownWorkerStartsWhatWaits(t *testing.T) {
	r := newRig(t)
	r.send(start, "t1", "t2", "t3")
	r.Announced(after(2), resized(3), 5002)
	r.is.Equal(startsOf(r.Flush(after(2))), []runs.Key{key("t3")})
}

func TestLateWordOfAFormerCapacityIsNotTaken(t *testing.T) {
	// The adapter drops it by its number; another process of the agent recalls the newest.
	r := newRig(t)
	r.Announced(after(1), resized(1), 5001)
	r.Recalled(after(2), resized(2))
	r.is.Equal(r.worker.info.Capacity.CPU, 1000)
}

// TestRoomHoldsWhateverTheCapacityDoes: no start brings the worker over what it has said
// last, counting all that may be there.
func TestRoomHoldsWhateverTheCapacityDoes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRig(t)
		at := make(map[runs.Key]bool)
		capacity, now, ended := 2, 1, int64(0)
		for n := range rapid.IntRange(5, 60).Draw(rt, "events") {
			now++
			r.beat(after(now))
			var out Output
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				capacity = rapid.IntRange(1, 5).Draw(rt, "cores")
				r.Announced(after(now), resized(capacity), int64(5000+now))
				out = r.Flush(after(now))
			case 1:
				out = r.send(after(now), string(rune('a'+n)))
			case 2:
				out = r.Flush(after(now))
				for k := range at {
					ended++
					delete(at, k)
					r.lookAt(after(now), Listing{Running: running(at), Ended: []Ended{{Number: ended, Key: k, How: runs.Done}}})
					break
				}
			case 3:
				out = r.Flush(after(now))
			}
			for _, k := range startsOf(out) {
				at[k] = true
				if used := (room.Room{CPU: 1000 * len(at)}); used.CPU > 1000*capacity {
					rt.Fatalf("%d runs on %d cores", len(at), capacity)
				}
			}
			for _, o := range out.Orders {
				r.Ordered(after(now), o, Answer{Verdict: Accepted, Clock: int64(5000 + now)})
			}
		}
	})
}

func running(at map[runs.Key]bool) []Running {
	var list []Running
	for k := range at {
		list = append(list, Running{Key: k})
	}
	return list
}
