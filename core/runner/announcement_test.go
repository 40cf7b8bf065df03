package runner

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// oddClocks are readings that another program may announce as those of the worker.
var oddClocks = []int64{math.MaxInt64, math.MaxInt64 - 800, 1 << 62, 1 << 53, 9_000_000, 5001}

// TestAnnouncedClockSetsNoDeadline guards against start orders whose deadline never comes or lies in the
// past: another program announces a clock that is not the worker's.
func TestAnnouncedClockSetsNoDeadline(t *testing.T) {
	for _, clock := range oddClocks {
		h := newHarness(t)
		h.WorkerAnnounced(after(1), worker("w1"), clock)
		out := h.send(after(2), "t1")
		h.is.Equal(len(out.Orders), 1)
		h.is.Equal(out.Orders[0].Deadline, int64(5801))
		h.WorkerAnnounced(after(3), worker("w1"), 5003)
		h.pollAt(after(4), Listing{})
		h.is.Equal(h.send(after(5), "t2").Orders[0].Deadline, h.worker.clock+800)
	}
}

// TestFencingTokenIsTheWorkersClock guards against a fencing token that the worker did not reach by
// itself, and that a later process of the agent cannot outrank.
func TestFencingTokenIsTheWorkersClock(t *testing.T) {
	for _, clock := range oddClocks {
		h := newHarness(t)
		h.Core = New(h.settings)
		h.WorkerAnnounced(start, worker("w1"), clock)
		h.syncWorker(start, 0, 5000)
		h.WorkerAnnounced(start, worker("w1"), 5000)
		h.LinkUp(start, 1, entry)
		out := h.send(start, "t1")
		h.is.Equal(len(out.Orders), 1)
		h.is.Equal(out.Orders[0].Token, int64(5000))
	}
}

// TestIdleWorkerTellsItsClockBeforeARunStarts verifies that the first run after a time without polls gets
// a deadline in terms of the worker's present clock, which an idle worker costs nothing.
func TestIdleWorkerTellsItsClockBeforeARunStarts(t *testing.T) {
	h := newHarness(t)
	h.is.Equal(h.NeedsPoll(), false)
	h.Tick(after(60_000))
	h.is.Equal(h.NeedsPoll(), false)
	out := h.send(after(60_000), "t1")
	h.is.Equal(len(out.Orders), 0)
	poll, ok := h.NextPoll(after(60_000))
	h.is.True(ok)
	h.is.Equal(poll.Wait, time.Duration(0))
	h.PollAnswered(after(60_001), poll, Answer{Status: Accepted, Clock: 65_000}, Listing{})
	out = h.Flush(after(60_001))
	h.is.Equal(len(out.Orders), 1)
	h.is.Equal(out.Orders[0].Deadline, int64(65_800))
}

// TestAbsurdClockOfTheWorkerIsNotUsed verifies that no sum of a clock and a lease overflows.
func TestAbsurdClockOfTheWorkerIsNotUsed(t *testing.T) {
	h := newHarness(t)
	poll := Poll{Worker: "w1", SentAt: after(1)}
	h.PollAnswered(after(1), poll, Answer{Status: Accepted, Clock: math.MaxInt64}, Listing{})
	h.is.Equal(h.send(after(2), "t1").Orders[0].Deadline, int64(5801))
}

// trueWorker plays a worker whose clock shows 5000 at the start of a test.
type trueWorker struct {
	*harness
	now time.Time
}

func (w *trueWorker) clock() int64 { return 5000 + w.now.Sub(start).Milliseconds() }

// answerPoll has the worker answer a poll if one is due.
func (w *trueWorker) answerPoll() {
	if poll, ok := w.NextPoll(w.now); ok {
		w.PollAnswered(w.now, poll, Answer{Status: Accepted, Clock: w.clock()}, Listing{})
	}
	w.Flush(w.now)
}

// TestTrueAnnouncementIsFollowedAfterAnOddOne guards against an agent that no longer follows its worker:
// another program has announced the same worker with a clock, a capacity or a state that is not its own.
func TestTrueAnnouncementIsFollowedAfterAnOddOne(t *testing.T) {
	odd := worker("w1")
	odd.Service, odd.Labels, odd.Capacity = "other", []string{"x"}, room.Resources{CPU: 1, Memory: 1}
	draining := odd
	draining.Draining = true
	for _, clock := range append(oddClocks, 0, 1) {
		for _, info := range []runs.Worker{odd, draining} {
			h := newHarness(t)
			w := &trueWorker{h, after(2000)}
			h.WorkerAnnounced(w.now, info, clock)
			w.answerPoll()
			w.now = after(3500)
			want := worker("w1")
			want.Capacity.CPU = 3000
			h.is.True(h.WorkerAnnounced(w.now, want, w.clock()))
			w.answerPoll()
			h.is.Equal(h.worker.info, want)
			h.is.Equal(h.worker.unannounced, false)
			h.is.Equal(h.worker.pending, nil)
		}
	}
}

// TestDescriptionOfAnotherProgramIsNotUsed verifies that an announcement whose clock is ahead of the
// worker's changes nothing but the state, which the next true one corrects.
func TestDescriptionOfAnotherProgramIsNotUsed(t *testing.T) {
	h := newHarness(t)
	w := &trueWorker{h, after(1000)}
	odd := worker("w1")
	odd.Capacity.CPU = 1 << 20
	h.WorkerAnnounced(w.now, odd, 1<<50)
	h.is.Equal(h.worker.info, worker("w1"))
	w.answerPoll()
	h.is.Equal(h.worker.info, worker("w1"))
}

// TestLateAnnouncementChangesNothing guards against a start at a worker that drains: an announcement from
// before arrives after the one that says so.
func TestLateAnnouncementChangesNothing(t *testing.T) {
	h := newHarness(t)
	w := &trueWorker{h, after(1000)}
	draining := worker("w1")
	draining.Draining = true
	h.WorkerAnnounced(w.now, draining, w.clock())
	w.answerPoll()
	w.now = after(1400)
	for _, clock := range []int64{5999, 6000} {
		h.WorkerAnnounced(w.now, worker("w1"), clock)
		w.answerPoll()
		h.is.True(h.worker.info.Draining)
	}
	w.now = after(1500)
	h.WorkerAnnounced(w.now, worker("w1"), w.clock())
	w.answerPoll()
	h.is.True(!h.worker.info.Draining)
}

// TestAnnouncementThatSaysNothingNewCausesNoPoll verifies that the regular announcements of an idle worker
// cost no polls.
func TestAnnouncementThatSaysNothingNewCausesNoPoll(t *testing.T) {
	h := newHarness(t)
	w := &trueWorker{h, start}
	w.WorkerAnnounced(w.now, worker("w1"), w.clock())
	w.answerPoll()
	for ms := 100; ms < 600_000; ms += 100 {
		w.now = after(ms)
		h.Tick(w.now)
		if ms%1500 == 0 {
			h.WorkerAnnounced(w.now, worker("w1"), w.clock())
		}
		if h.NeedsPoll() {
			t.Fatalf("an idle worker is polled after %d ms", ms)
		}
	}
}

// TestOddAnnouncements feeds random announcements of another program, and verifies after each true one
// that it is followed within one poll, that deadlines and tokens are the worker's, and that sums do not
// overflow.
func TestOddAnnouncements(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		w := &trueWorker{h, start}
		number := rapid.OneOf(rapid.Int64(), rapid.SampledFrom(oddClocks), rapid.Int64Range(4000, 70_000))
		for n := range rapid.IntRange(1, 6).Draw(rt, "rounds") {
			for range rapid.IntRange(1, 4).Draw(rt, "odd") {
				odd := worker(rapid.SampledFrom([]string{"w1", "w1", "w2", ""}).Draw(rt, "id"))
				odd.Born = rapid.SampledFrom([]int64{0, 0, 1, math.MaxInt64}).Draw(rt, "born")
				odd.Service = rapid.SampledFrom([]string{"s", "other"}).Draw(rt, "service")
				odd.Capacity.CPU = int(number.Draw(rt, "cpu"))
				odd.Draining = rapid.Bool().Draw(rt, "draining")
				h.WorkerAnnounced(w.now, odd, number.Draw(rt, "clock"))
				if rapid.Bool().Draw(rt, "answered") {
					w.answerPoll()
				}
			}
			w.now = w.now.Add(time.Duration(rapid.IntRange(200, 9000).Draw(rt, "ms")) * time.Millisecond)
			h.Tick(w.now)
			want := worker("w1")
			want.Capacity.CPU = 2000 + n
			h.WorkerAnnounced(w.now, want, w.clock())
			for range 3 { // of a new incarnation the clock, the runs and the announcement
				w.answerPoll()
			}
			if h.worker.info.Capacity != want.Capacity || h.worker.info.Service != "s" || h.worker.info.Draining || h.worker.unannounced {
				rt.Fatalf("not followed: %+v", h.worker)
			}
			if h.worker.token > w.clock() {
				rt.Fatalf("token %d at clock %d", h.worker.token, w.clock())
			}
			for _, o := range h.send(w.now, "t").Orders {
				if o.Deadline < w.clock() || o.Deadline > w.clock()+800 {
					rt.Fatalf("deadline %d at clock %d", o.Deadline, w.clock())
				}
			}
			h.runs.Delete(key("t"))
		}
	})
}

// TestStartTimeOfAnotherProgramHidesNoWorker guards against an agent that no longer follows its worker:
// another program has announced it with a start time, which the worker does not report.
func TestStartTimeOfAnotherProgramHidesNoWorker(t *testing.T) {
	h := newHarness(t)
	h.Core = New(h.settings)
	w := &trueWorker{h, after(1000)}
	odd := worker("w1")
	odd.Born = 77
	h.WorkerAnnounced(w.now, odd, w.clock())
	for range 2 {
		w.answerPoll()
	}
	w.now = after(1500)
	h.is.True(h.WorkerAnnounced(w.now, worker("w1"), w.clock()))
	for range 3 {
		w.answerPoll()
	}
	h.is.Equal(h.worker.info, worker("w1"))
	h.is.True(h.WorkerAnnounced(w.now, worker("w1"), w.clock()))
}

// TestAnnouncementWithoutStartTimeChangesNothing verifies that an announcement without the start time that
// the worker reports in its answers ends no run and is not followed.
func TestAnnouncementWithoutStartTimeChangesNothing(t *testing.T) {
	h := newRestartHarness(t)
	h.retired = retiredIncarnations{}
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 500_001})
	h.is.True(h.WorkerAnnounced(after(2), worker("w1"), 500_002))
	h.pollAnsweredBy(after(3), firstStart, 500_003, Listing{Running: []Running{{Key: key("t1")}}})
	h.is.Equal(h.worker.info.Born, int64(firstStart))
	h.is.Equal(len(ends(h.Flush(after(3)))), 0)
	h.is.Equal(h.WorkerAnnounced(after(4), worker("w1"), 500_004), false)
	h.is.Equal(startsOf(h.send(after(5), "t2")), []runs.Key{key("t2")})
}
