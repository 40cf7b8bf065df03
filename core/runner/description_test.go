package runner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/wire/runs"
)

// beliefs are the descriptions of the worker that each link received last.
type beliefs map[LinkID]runs.Worker

// take takes the descriptions of an output.
func (b beliefs) take(out Output) {
	for _, s := range out.Sends {
		if s.Msg.Worker != nil {
			b[s.Link] = *s.Msg.Worker
		}
	}
}

// TestEntriesLearnThatVoidEndsAreStored guards against an idle worker that no entry uses any more:
// its ends were void, so that it was to be given nothing, and were stored before its lease ended.
func TestEntriesLearnThatVoidEndsAreStored(t *testing.T) {
	h := newHarness(t)
	known := beliefs{}
	h.endDurable("j.0.0.0", runs.OutcomeDone)
	known.take(h.Flush(after(10)))
	h.Receive(after(20), 1, &runs.ToAgent{Clock: after(20).UnixNano(), VoidEnds: []runs.Key{key("j.0.0.0")}})
	known.take(h.Flush(after(20)))
	h.is.Equal(known[1].ID, "")
	h.Receive(after(30), 1, &runs.ToAgent{Clock: after(30).UnixNano(), AckedEnds: []runs.Key{key("j.0.0.0")}})
	known.take(h.Flush(after(30)))
	h.is.Equal(known[1].ID, "w1")
}

// randomEvent applies one event, drawn from those that change what an entry may give the worker.
func (h *harness) randomEvent(rng *rand.Rand, now time.Time, known beliefs) {
	w := worker("w1")
	switch rng.IntN(14) {
	case 0:
		w.Draining = rng.IntN(4) == 0
		w.Capacity.CPU = 1000 * (1 + rng.IntN(3))
		h.WorkerAnnounced(now, w, h.worker.clockLowerBound(now))
	case 1:
		h.WorkerAnnounced(now, worker(fmt.Sprintf("w%d", rng.IntN(3))), 5000)
	case 2:
		h.WorkerLeft(now, h.worker.info.ID)
	case 3:
		h.Release(now, 1)
	case 4:
		h.Retain(now, 1)
	case 5:
		h.SetOnDemand(now, 1, rng.IntN(2) == 0)
	case 6:
		h.LinkDown(now, 2)
		h.LinkUp(now, 2, runs.Entry{Address: "e:2", Incarnation: 8})
	case 7:
		h.Tick(now)
	case 8, 9, 10:
		h.randomPoll(rng, now)
	case 11:
		known.take(h.sendDurable(now, fmt.Sprintf("j%d.0.0.0", rng.IntN(4))))
	case 12, 13:
		keys := []runs.Key{key(fmt.Sprintf("j%d.0.0.0", rng.IntN(4)))}
		msg := &runs.ToAgent{Clock: now.UnixNano(), VoidEnds: keys}
		if rng.IntN(2) == 0 {
			msg = &runs.ToAgent{Clock: now.UnixNano(), AckedEnds: keys}
		}
		h.Receive(now, 1, msg)
	}
}

// randomPoll sends a poll if one is due, and draws its answer.
func (h *harness) randomPoll(rng *rand.Rand, now time.Time) {
	poll, ok := h.NextPoll(now)
	if !ok {
		return
	}
	answers := []Answer{{Status: NoAnswer}, {Status: RefusedFence, Clock: h.worker.clock + 1}, {Status: WrongIncarnation}}
	if n := rng.IntN(6); n < len(answers) {
		h.PollAnswered(now, poll, answers[n], Listing{})
		return
	}
	var listing Listing
	for r := range h.runs.Values() {
		if r.phase != phaseWaiting {
			listing.Ended = append(listing.Ended, Ended{Number: h.worker.lastEndNumber + int64(len(listing.Ended)) + 1, Key: r.key, Outcome: runs.OutcomeDone})
		}
	}
	h.PollAnswered(now, poll, Answer{Status: Accepted, Clock: h.worker.clock + 1}, listing)
}

// TestEntriesKnowTheWorkerAfterAnyEvents guards against an event after which an entry believes a
// worker to be usable that is not, or an idle one to be unusable for good.
func TestEntriesKnowTheWorkerAfterAnyEvents(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t)
		known := beliefs{}
		h.LinkUp(start, 2, runs.Entry{Address: "e:2", Incarnation: 8})
		known.take(h.Flush(start))
		known[1] = known[2]
		now := start
		for range 1 + rng.IntN(60) {
			now = now.Add(time.Duration(rng.IntN(150)) * time.Millisecond)
			h.randomEvent(rng, now, known)
			known.take(h.Flush(now))
		}
		for quiet := time.Duration(0); quiet < time.Second; quiet += 20 * time.Millisecond {
			h.Tick(now.Add(quiet))
			known.take(h.Flush(now.Add(quiet)))
		}
		for id, l := range h.links.All() {
			usable := h.worker.synced && !h.isUnavailable()
			if (known[id].ID != "") != usable {
				t.Fatalf("seed %d: link %d: usable %v, believed %+v", seed, id, usable, known[id])
			}
			is.Equal(known[id].Released, l.isReleased())
			is.Equal(known[id].OnDemand, l.onDemand)
			is.Equal(known[id].Draining, h.worker.info.Draining)
			is.Equal(known[id].Capacity, h.worker.info.Capacity)
		}
	}
}

// TestDescriptionIsRepeatedWithinHeartbeats guards against an entry that keeps a wrong belief for
// good, and against additional messages of an idle agent, whatever the number of its links.
func TestDescriptionIsRepeatedWithinHeartbeats(t *testing.T) {
	for _, links := range []LinkID{1, 6} {
		h := newHarness(t)
		describedAt := make(map[LinkID]time.Time)
		for id := LinkID(1); id <= links; id++ {
			if id > 1 {
				h.LinkUp(start, id, runs.Entry{Address: fmt.Sprintf("e:%d", id), Incarnation: uint64(100 + id)})
			}
			describedAt[id] = start
		}
		h.Flush(start)
		messages := make(map[LinkID]int)
		for now := start; now.Before(after(60_000)); now = now.Add(50 * time.Millisecond) {
			h.Tick(now)
			for _, s := range h.Flush(now).Sends {
				messages[s.Link]++
				if s.Msg.Worker != nil {
					describedAt[s.Link] = now
				}
			}
			for _, at := range describedAt {
				h.is.True(now.Sub(at) <= descriptionInterval+h.settings.IdleHeartbeatInterval)
			}
		}
		for id := LinkID(1); id <= links; id++ {
			h.is.Equal(messages[id], 59) // one heartbeat a second, the first after one second
		}
	}
}
