package runner

import (
	"testing"

	"peridotpick.example/wire/runs"
)

// workerTold returns what was last said of the worker on a link.
func workerTold(out Output, id LinkID) *runs.Worker {
	var told *runs.Worker
	for _, s := range out.Sends {
		if s.Link == id && s.Msg.Worker != nil {
			told = s.Msg.Worker
		}
	}
	return told
}

// TestReleasedLinkIsClosedOnceItsRunsHaveEnded: nothing new starts there, what runs goes
// on, and its end is still told.
func TestReleasedLinkIsClosedOnceItsRunsHaveEnded(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.Release(after(2), 1)
	r.is.True(workerTold(r.Flush(after(2)), 1).Released)
	got := ends(r.send(after(3), "t2")) // was on its way
	r.is.Equal(got[0].How, runs.Refused)
	r.is.Equal(got[0].Reason, runs.Draining)
	for ms := 100; ms <= 1500; ms += 100 {
		r.beat(after(ms))
		r.Tick(after(ms))
		r.is.Equal(len(r.Flush(after(ms)).Closes), 0) // t1 is still here
	}
	r.lookAt(after(1510), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), How: runs.Done}}})
	r.is.Equal(ends(r.Flush(after(1510)))[0].How, runs.Done)
	r.Tick(after(1520))
	r.is.Equal(r.Flush(after(1520)).Closes, []LinkID{1})
}

// TestReleasedLinkIsTakenBack: the entry is wanted again before the link was closed.
func TestReleasedLinkIsTakenBack(t *testing.T) {
	r := newRig(t)
	r.Release(after(1), 1)
	r.Flush(after(1))
	r.Retain(after(500), 1)
	r.is.True(!workerTold(r.Flush(after(500)), 1).Released)
	r.is.Equal(len(r.send(after(501), "t1").Orders), 1)
	r.Tick(after(5000))
	r.is.Equal(len(r.Flush(after(5000)).Closes), 0)
}

// TestSharersAreCounted: entries learn with how many others they share the worker.
func TestSharersAreCounted(t *testing.T) {
	r := crowd(t, 5)
	r.is.Equal(r.load(r.links.Get(1)).Sharers, 5)
	r.Release(after(1), 2)
	r.Flush(after(1))
	r.send(after(200), "t1")
	r.is.Equal(r.load(r.links.Get(1)).Sharers, 4)
}

// TestKeptEndsAreUnsettledAfterAWhile: the entry that has taken their job over may be one
// that this agent does not work with.
func TestKeptEndsAreUnsettledAfterAWhile(t *testing.T) {
	r := newRig(t)
	r.Receive(start, 1, &runs.ToAgent{Clock: start.UnixNano(), Starts: []runs.Start{{
		Key: key("t1"), Need: small, Estimate: askAgain, Slack: askAgain, Patience: askAgain, Durable: true,
	}}})
	order := r.Flush(start).Orders[0]
	r.Ordered(after(1), order, Answer{Verdict: Accepted, Clock: 5001})
	r.lookAt(after(10), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), How: runs.Done}}})
	r.Tick(after(400))
	r.is.True(!r.Unsettled())
	r.Tick(after(600))
	r.is.True(r.Unsettled())
	r.Receive(after(610), 1, &runs.ToAgent{Clock: after(610).UnixNano(), Noted: []runs.Key{key("t1")}})
	r.is.True(!r.Unsettled())
}
