package batch

import (
	"testing"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// busyFor returns an edit that sets a load without free CPU, some of which becomes free after the
// given time in ms.
func busyFor(after, cpu int) func(*runs.ToEntry) {
	return func(m *runs.ToEntry) {
		m.Load.Free = room.Resources{Memory: 1000}
		m.Load.ExpectedEnds = []runs.ExpectedEnd{{After: after, CPU: cpu}}
	}
}

func TestLateJobWaitsForSpareCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.receiveReport(begin, 0, busyFor(200, 1000))
	out := h.submit(begin, 1, 2, 100*time.Millisecond) // its slack is 120 ms
	h.is.Equal(len(out.Sends), 0)
	h.is.Equal(len(h.answers), 0)
	h.receiveReport(after(200), 0, func(m *runs.ToEntry) { m.Load.Free = room.Resources{CPU: 1000, Memory: 1000} })
	h.is.Equal(len(startsByLink(h.flush(after(200)))[0]), 0) // the tasks do not start one by one
	h.receiveReport(after(210), 0, nil)
	starts := startsByLink(h.flush(after(210)))[0]
	h.is.Equal(len(starts), 2)
	h.is.True(runs.SlackBand(starts[0].Slack) == runs.SlackBands-1) // behind all that can be in time
}

func TestDeferredJobLeavesHeadroom(t *testing.T) {
	h := newHarness(t, 1)
	h.receiveReport(begin, 0, busyFor(200, 1000))
	h.submit(begin, 1, 2, 100*time.Millisecond)
	h.receiveReport(after(200), 0, func(m *runs.ToEntry) { m.Load.Free = room.Resources{CPU: 2100, Memory: 1000} })
	h.is.Equal(len(startsByLink(h.flush(after(200)))[0]), 0) // 100 would be left, but 5% are 200
	h.receiveReport(after(210), 0, func(m *runs.ToEntry) { m.Load.Free = room.Resources{CPU: 2200, Memory: 1000} })
	h.is.Equal(len(startsByLink(h.flush(after(210)))[0]), 2)
}

func TestDeferredJobIsGivenUpOnceItCannotBeUseful(t *testing.T) {
	h := newHarness(t, 1)
	h.receiveReport(begin, 0, busyFor(200, 1000))
	// The answer is useful until 660 ms, so the task must start by 550 ms. The expected wait is 125
	// ms.
	h.submit(begin, 1, 1, 100*time.Millisecond)
	h.advanceTo(after(440))
	h.is.Equal(len(h.answers), 0)
	h.advanceTo(after(560))
	h.isRefusedForLoad(1)
	h.is.Equal(h.jobs.Len(), 0)
}

// countDeferredUntilRefused submits jobs of 0.4 core-seconds until one is refused at once, and
// returns the number of deferred ones.
func (h *harness) countDeferredUntilRefused(now time.Time, first int) int {
	for n := range 20 {
		before := len(h.answers)
		h.submit(now, first+n, 4, 100*time.Millisecond)
		if len(h.answers) > before {
			return n
		}
	}
	return 20
}

// TestDeferredWorkIsBoundedBySpareCapacity verifies that no more is deferred than can be started.
// Nearly all capacity becomes spare right after the return of all workers, and nearly none in a
// burst. Work deferred beyond that keeps its callers waiting and is lost.
func TestDeferredWorkIsBoundedBySpareCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.receiveReport(begin, 0, busyFor(200, 1000))
	// 3.8 of four cores for 0.3 of 540 ms are 0.6 core-seconds.
	h.is.Equal(h.countDeferredUntilRefused(begin, 1), 1)

	busy := newHarness(t, 1)
	for ms := 0; ms <= 3000; ms += 100 {
		busy.receiveReport(after(ms), 0, nil)
		busy.submit(after(ms), 1000+ms, 4, 95*time.Millisecond) // in time: uses up the capacity
	}
	busy.receiveReport(after(3050), 0, busyFor(200, 1000))
	busy.is.Equal(busy.countDeferredUntilRefused(after(3050), 1), 0)
}

func TestDeferredJobIsRemovedWhenTheCallerDisconnects(t *testing.T) {
	h := newHarness(t, 1)
	h.receiveReport(begin, 0, busyFor(200, 1000))
	h.submit(begin, 1, 1, 100*time.Millisecond)
	h.CancelRequest(after(50), 1)
	h.receiveReport(after(60), 0, nil)
	h.is.Equal(len(startsByLink(h.flush(after(60)))[0]), 0)
	h.is.Equal(h.deferred.Len(), 0)
	h.is.Equal(h.jobs.Len(), 0)
}

func TestStartingEntryDefersJobsUntilWorkersConnect(t *testing.T) {
	h := newHarness(t, 0)
	h.submit(after(10), 1, 1, 100*time.Millisecond)
	h.is.Equal(len(h.answers), 0)
	h.LinkUp(after(60), 0)
	h.receiveReport(after(60), 0, nil)
	h.is.Equal(len(startsByLink(h.flush(after(60)))[0]), 1)
	later := newHarness(t, 0)
	later.advanceTo(after(1100))
	later.submit(after(1100), 1, 1, 100*time.Millisecond)
	later.is.Equal(len(later.answers), 1) // the discovery time has passed
}

// TestDecisionAtTheEndOfADeferredJobIsMarked verifies the input of a metric, the share of deferred
// jobs that are served.
func TestDecisionAtTheEndOfADeferredJobIsMarked(t *testing.T) {
	for _, served := range []bool{true, false} {
		h := newHarness(t, 1)
		h.receiveReport(begin, 0, busyFor(200, 1000))
		h.submit(begin, 1, 1, 100*time.Millisecond)
		var last Decision
		remember := func(out Output) {
			for _, d := range out.Decisions {
				if d.Event == "done" || d.Event == "give up" {
					last = d
				}
			}
		}
		if served {
			h.receiveReport(after(100), 0, nil)
			h.flush(after(100))
			remember(h.reportEnd(after(200), 0, 0, 1, runs.OutcomeDone))
		}
		for ms := 200; ms <= 600; ms += 50 {
			h.Tick(after(ms))
			remember(h.flush(after(ms)))
		}
		h.is.True(last.Deferred)
		h.is.Equal(last.Event == "done", served)
	}
}
