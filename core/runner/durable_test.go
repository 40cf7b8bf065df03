package runner

import (
	"fmt"
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// sendDurable delivers a start of a durable job's task.
func (h *harness) sendDurable(now time.Time, task string) Output {
	h.Receive(now, 1, &runs.ToAgent{Clock: now.UnixNano(), Starts: []runs.Start{{
		Key: key(task), Need: small, Estimate: 100 * time.Millisecond, Slack: time.Second, StartTimeout: time.Second, Durable: true,
	}}})
	return h.Flush(now)
}

// endDurable has a run of a durable job start and end.
func (h *harness) endDurable(task string, outcome runs.Outcome) {
	out := h.sendDurable(start, task)
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.pollAt(after(10), Listing{Ended: []Ended{{Number: 1, Key: key(task), Outcome: outcome}}})
}

func TestEndIsHeldUntilItIsStored(t *testing.T) {
	h := newHarness(t)
	h.endDurable("j.0.0.0", runs.OutcomeDone)
	end := ends(h.Flush(after(10)))[0]
	h.is.True(end.NeedsAck)
	poll, _ := h.NextPoll(after(20))
	h.is.Equal(poll.AckUpTo, int64(0)) // the worker must go on listing it
	h.Receive(after(30), 1, &runs.ToAgent{AckedEnds: []runs.Key{key("j.0.0.0")}})
	poll, ok := h.NextPoll(after(40))
	h.is.True(ok)
	h.is.Equal(poll.AckUpTo, int64(1))
}

func TestHeldEndIsSentAgainOnANewLink(t *testing.T) {
	h := newHarness(t)
	h.endDurable("j.0.0.0", runs.OutcomeDone)
	h.Flush(after(10))
	h.LinkDown(after(20), 1)
	h.LinkUp(after(30), 2, entry)
	h.is.Equal(len(ends(h.Flush(after(30)))), 1)
}

func TestEntriesAreAskedAboutAnEndThatIsNotStored(t *testing.T) {
	h := newHarness(t)
	h.endDurable("j.0.0.0", runs.OutcomeDone)
	h.Flush(after(10))
	h.heartbeat(after(300))
	h.Tick(after(600))
	out := h.Flush(after(600))
	h.is.Equal(len(out.Sends[0].Msg.UnownedEnds), 1)
}

// TestStoreOutageDoesNotFillTheWorkersList: held ends are given up before the worker's list is so
// long that it hides later ones.
func TestStoreOutageDoesNotFillTheWorkersList(t *testing.T) {
	h := newHarness(t)
	var listing Listing
	for n := range maxListedEnds {
		listing.Ended = append(listing.Ended, Ended{Number: int64(n + 1), Key: key(fmt.Sprintf("j%d.0.0.0", n)), Outcome: runs.OutcomeDone})
	}
	h.endDurable("j.0.0.0", runs.OutcomeDone)
	h.sendDurable(after(15), "k.0.0.0") // the worker is polled while it has runs
	h.pollAt(after(20), listing)
	for ms := 40; ms < 2000; ms += 20 {
		h.heartbeat(after(ms))
		h.Tick(after(ms))
		if poll, ok := h.NextPoll(after(ms)); ok {
			h.PollAnswered(after(ms), poll, Answer{Status: Accepted, Clock: 5000 + int64(ms)}, Listing{})
		}
	}
	h.is.Equal(h.held.Len(), 0)
	h.is.Equal(h.isUnavailable(), false)
}

func TestRunMissingInATruncatedListingMayHaveEnded(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.pollAt(after(50), Listing{Truncated: true})
	h.is.Equal(len(ends(h.Flush(after(50)))), 0)
	h.pollAt(after(60), Listing{})
	h.is.Equal(ends(h.Flush(after(60)))[0].Outcome, runs.OutcomeGone)
}

func TestVoidEndIsForgottenOnceTheLeaseHasExpired(t *testing.T) {
	h := newHarness(t)
	h.endDurable("j.0.0.0", runs.OutcomeDone)
	h.Flush(after(10))
	h.Receive(after(20), 1, &runs.ToAgent{Clock: after(20).UnixNano(), VoidEnds: []runs.Key{key("j.0.0.0")}})
	h.is.Equal(h.Flush(after(20)).Sends[0].Msg.Worker.ID, "") // the worker gets no new runs
	ended := 0
	for ms := 40; ms < 2000; ms += 20 {
		h.heartbeat(after(ms))
		h.Tick(after(ms))
		poll, ok := h.NextPoll(after(ms))
		if !h.awaitsLeaseExpiry() {
			ended = ms
			break
		}
		if ok {
			h.is.Equal(poll.Deadline, int64(0)) // nothing renews the lease
			h.is.Equal(poll.AckUpTo, int64(0))
			h.PollAnswered(after(ms), poll, Answer{Status: Accepted, Clock: 5000 + int64(ms)}, Listing{
				Ended: []Ended{{Number: 1, Key: key("j.0.0.0"), Outcome: runs.OutcomeDone}},
			})
		}
		h.Flush(after(ms))
	}
	h.is.True(ended > 800) // the lease that the start requested
	poll, ok := h.NextPoll(after(2100))
	h.is.True(ok)
	h.is.Equal(poll.AckUpTo, int64(1))
}

// TestEndOfAnOrphanIsHeld guards against a task that is started again although it is done: its run ends after the
// agent was restarted and before an entry claims it, since the entry is lost, too.
func TestEndOfAnOrphanIsHeld(t *testing.T) {
	for _, outcome := range []runs.Outcome{runs.OutcomeDone, runs.OutcomeFailed, runs.OutcomeStopped} {
		h := newHarness(t)
		out := h.send(start, "other")
		h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
		running := []Running{{Key: key("other")}, {Key: key("j.0.0.0")}}
		h.pollAt(after(5), Listing{Running: running})
		h.is.True(h.runs.Get(key("j.0.0.0")).orphan)
		h.pollAt(after(30), Listing{Running: running[:1], Ended: []Ended{{Number: 1, Key: key("j.0.0.0"), Outcome: outcome}}})
		h.Tick(after(31))
		out = h.Flush(after(31))
		h.is.Equal(len(out.Sends[0].Msg.UnownedEnds), 1) // all entries are asked at once
		h.is.Equal(out.Sends[0].Msg.UnownedEnds[0].Outcome, outcome)
		poll, ok := h.NextPoll(after(60))
		h.is.True(ok)
		h.is.Equal(poll.AckUpTo, int64(0)) // the worker must go on listing it
		h.Receive(after(70), 1, &runs.ToAgent{Clock: after(70).UnixNano(), AckedEnds: []runs.Key{key("j.0.0.0")}})
		poll, _ = h.NextPoll(after(100))
		h.is.Equal(poll.AckUpTo, int64(1))
	}
}

// TestEndOfAClaimedAwaitedRunIsNotHeld has an entry claim a run of an awaited job before it ends.
func TestEndOfAClaimedAwaitedRunIsNotHeld(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "other")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	running := []Running{{Key: key("other")}, {Key: key("j.0.0.0")}}
	h.pollAt(after(5), Listing{Running: running})
	h.Receive(after(10), 1, &runs.ToAgent{Clock: after(10).UnixNano(), Owned: []runs.OwnedRun{{Key: key("j.0.0.0"), Need: small}}})
	h.pollAt(after(30), Listing{Running: running[:1], Ended: []Ended{{Number: 1, Key: key("j.0.0.0"), Outcome: runs.OutcomeDone}}})
	h.is.Equal(h.held.Len(), 0)
}
