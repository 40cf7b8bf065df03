package runner

import (
	"math"
	"testing"
	"time"
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
