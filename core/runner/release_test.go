package runner

import (
	"testing"

	"peridotpick.example/wire/runs"
)

// lastWorkerSent returns the last description of the worker sent on a link, or nil.
func lastWorkerSent(out Output, id LinkID) *runs.Worker {
	var last *runs.Worker
	for _, s := range out.Sends {
		if s.Link == id && s.Msg.Worker != nil {
			last = s.Msg.Worker
		}
	}
	return last
}

// TestReleasedLinkIsClosedOnceItsRunsHaveEnded: nothing new starts on the link, runs at the
// worker go on, and their ends are still sent.
func TestReleasedLinkIsClosedOnceItsRunsHaveEnded(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.Release(after(2), 1)
	h.is.True(lastWorkerSent(h.Flush(after(2)), 1).Released)
	got := ends(h.send(after(3), "t2")) // was sent before the release arrived
	h.is.Equal(got[0].Outcome, runs.OutcomeRefused)
	h.is.Equal(got[0].Reason, runs.ReasonDraining)
	for ms := 100; ms <= 1500; ms += 100 {
		h.heartbeat(after(ms))
		h.Tick(after(ms))
		h.is.Equal(len(h.Flush(after(ms)).CloseLinks), 0) // t1 still runs
	}
	h.pollAt(after(1510), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), Outcome: runs.OutcomeDone}}})
	h.is.Equal(ends(h.Flush(after(1510)))[0].Outcome, runs.OutcomeDone)
	h.Tick(after(1520))
	h.is.Equal(h.Flush(after(1520)).CloseLinks, []LinkID{1})
}

// TestReleasedLinkCanBeRetained: the agent works with the entry again before the link was closed.
func TestReleasedLinkCanBeRetained(t *testing.T) {
	h := newHarness(t)
	h.Release(after(1), 1)
	h.Flush(after(1))
	h.Retain(after(500), 1)
	h.is.True(!lastWorkerSent(h.Flush(after(500)), 1).Released)
	h.is.Equal(len(h.send(after(501), "t1").Orders), 1)
	h.Tick(after(5000))
	h.is.Equal(len(h.Flush(after(5000)).CloseLinks), 0)
}

// TestLoadCountsActiveLinks: the load tells entries how many of them share the worker.
func TestLoadCountsActiveLinks(t *testing.T) {
	h := newHarnessWithEntries(t, 5)
	h.is.Equal(h.load(h.links.Get(1)).SharingEntries, 5)
	h.Release(after(1), 2)
	h.Flush(after(1))
	h.send(after(200), "t1")
	h.is.Equal(h.load(h.links.Get(1)).SharingEntries, 4)
}

// TestEndsHeldForLongAreReported: the entry that has taken their job over may be one that this
// agent has no link to.
func TestEndsHeldForLongAreReported(t *testing.T) {
	h := newHarness(t)
	h.Receive(start, 1, &runs.ToAgent{Clock: start.UnixNano(), Starts: []runs.Start{{
		Key: key("t1"), Need: small, Estimate: askInterval, Slack: askInterval, StartTimeout: askInterval, Durable: true,
	}}})
	order := h.Flush(start).Orders[0]
	h.OrderAnswered(after(1), order, Answer{Status: Accepted, Clock: 5001})
	h.pollAt(after(10), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), Outcome: runs.OutcomeDone}}})
	h.Tick(after(400))
	h.is.True(!h.HasUndeliveredEnds())
	h.Tick(after(600))
	h.is.True(h.HasUndeliveredEnds())
	h.Receive(after(610), 1, &runs.ToAgent{Clock: after(610).UnixNano(), AckedEnds: []runs.Key{key("t1")}})
	h.is.True(!h.HasUndeliveredEnds())
}
