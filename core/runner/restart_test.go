package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// Start times of two incarnations under one ID, in Unix ms.
const (
	firstStart  = 1_000_000
	secondStart = 1_005_000
)

// workerStartedAt is the incarnation of worker w1 with the given start time in Unix ms.
func workerStartedAt(born int64) runs.Worker {
	w := worker("w1")
	w.Born = born
	return w
}

// newRestartHarness returns a harness whose worker announces its start time, in its first
// incarnation.
func newRestartHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.retired = retiredIncarnations{}
	h.startIncarnation(workerStartedAt(firstStart), nil)
	h.syncWorker(start, firstStart, 500_000)
	h.Flush(start)
	return h
}

// pollAnsweredBy has a poll answered by the incarnation with the given start time.
func (h *harness) pollAnsweredBy(now time.Time, born, clock int64, listing Listing) Poll {
	poll, ok := h.NextPoll(now)
	h.is.True(ok)
	h.PollAnswered(now, poll, Answer{Status: Accepted, Clock: clock, Born: born}, listing)
	return poll
}

func TestRunsOfThePreviousIncarnationEndOnceThePresentOneWasPolled(t *testing.T) {
	h := newRestartHarness(t)
	out := h.send(start, "t1", "t2", "t3")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 500_001})
	h.pollAnsweredBy(after(20), secondStart, 7000, Listing{Running: []Running{{Key: key("t2"), Percent: 1}}})
	got := ends(h.Flush(after(20)))
	h.is.Equal(len(got), 1) // the waiting one; the others may run in the new incarnation
	h.is.Equal(got[0].Key, key("t3"))
	h.is.Equal(got[0].Outcome, runs.OutcomeRefused)

	poll := h.pollAnsweredBy(after(21), secondStart, 7001, Listing{Running: []Running{{Key: key("t2"), Percent: 1}}})
	h.is.True(poll.Token > 500_000) // delayed orders for the previous incarnation take no effect
	h.is.Equal(poll.Deadline, int64(0))
	got = ends(h.Flush(after(21)))
	h.is.Equal(len(got), 1)
	h.is.Equal(got[0].Key, key("t1"))
	h.is.Equal(got[0].Outcome, runs.OutcomeGone) // it had started, so it is not refused
	h.is.Equal(h.RunCount(), 1)
}

func TestRestartedWorkerGetsWorkOnceItIsAnnounced(t *testing.T) {
	h := newRestartHarness(t)
	h.worker.restartSuspected = true
	h.pollAnsweredBy(after(20), secondStart, 7000, Listing{})
	h.pollAnsweredBy(after(21), secondStart, 7001, Listing{})
	h.is.Equal(ends(h.send(after(22), "t1"))[0].Reason, runs.ReasonNoWorker) // its capacity is not known yet
	h.is.True(h.WorkerAnnounced(after(30), workerStartedAt(secondStart), 7010))
	h.is.Equal(startsOf(h.send(after(31), "t2")), []runs.Key{key("t2")})
}

func TestAnnouncementOfAnotherIncarnationCausesAPoll(t *testing.T) {
	h := newRestartHarness(t)
	h.is.True(h.WorkerAnnounced(after(5), workerStartedAt(secondStart), 7000))
	poll := h.pollAnsweredBy(after(6), secondStart, 7001, Listing{})
	h.is.Equal(poll.Wait, time.Duration(0))
	h.is.Equal(poll.Deadline, int64(0)) // it would be in terms of another clock
	h.pollAnsweredBy(after(7), secondStart, 7002, Listing{})
	h.is.Equal(startsOf(h.send(after(8), "t1")), []runs.Key{key("t1")})
	h.is.Equal(h.WorkerAnnounced(after(9), workerStartedAt(firstStart), 500_009), false) // a delayed announcement
}

func TestDelayedAnnouncementUnderTheSameIDChangesNothing(t *testing.T) {
	h := newRestartHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 500_001})
	h.is.True(h.WorkerAnnounced(after(5), workerStartedAt(firstStart-9000), 400))
	h.pollAnsweredBy(after(6), firstStart, 500_006, Listing{Running: []Running{{Key: key("t1")}}})
	h.is.Equal(len(ends(h.Flush(after(6)))), 0)
	h.is.Equal(h.worker.info.Born, int64(firstStart))
	h.is.Equal(h.WorkerAnnounced(after(7), workerStartedAt(firstStart-9000), 500), false)
}

func TestDelayedAnswersOfThePreviousIncarnationChangeNothing(t *testing.T) {
	h := newRestartHarness(t)
	out := h.send(start, "t1")
	old, _ := h.NextPoll(after(1))
	h.WorkerAnnounced(after(2), workerStartedAt(secondStart), 7000)
	h.pollAnsweredBy(after(3), secondStart, 7001, Listing{})
	h.pollAnsweredBy(after(4), secondStart, 7002, Listing{})
	h.Flush(after(4))
	h.PollAnswered(after(5), old, Answer{Status: Accepted, Clock: 500_003, Born: firstStart}, Listing{
		Ended: []Ended{{Number: 9, Key: key("t1"), Outcome: runs.OutcomeDone}},
	})
	h.OrderAnswered(after(6), out.Orders[0], Answer{Status: Accepted, Clock: 500_004})
	h.is.Equal(h.worker.lastEndNumber, int64(0)) // the new incarnation numbers its ends from 1
	h.is.Equal(h.worker.info.Born, int64(secondStart))
	h.is.True(h.worker.clock < 8000)
	h.is.Equal(len(ends(h.Flush(after(6)))), 0)
}

// TestEndsAreNotAcknowledgedWhileTheWorkerMayHaveRestarted: with an end number of the previous
// incarnation, the new one would forget ends that the agent has not received.
func TestEndsAreNotAcknowledgedWhileTheWorkerMayHaveRestarted(t *testing.T) {
	h := newRestartHarness(t)
	h.send(start, "t1", "t2")
	h.pollAnsweredBy(after(5), firstStart, 500_005, Listing{
		Running: []Running{{Key: key("t2")}}, Ended: []Ended{{Number: 57, Key: key("t1"), Outcome: runs.OutcomeDone}},
	})
	poll, _ := h.NextPoll(after(6))
	h.is.Equal(poll.AckUpTo, int64(57))
	h.PollAnswered(after(90), poll, Answer{Status: NoAnswer}, Listing{})
	poll, _ = h.NextPoll(after(91))
	h.is.Equal(poll.AckUpTo, int64(0))
	h.is.Equal(poll.Deadline, int64(0))
	h.is.Equal(len(startsOf(h.send(after(92), "t3"))), 0) // nothing starts either
	h.PollAnswered(after(93), poll, Answer{Status: Accepted, Clock: 500_093, Born: firstStart}, Listing{Running: []Running{{Key: key("t2")}}})
	poll, _ = h.NextPoll(after(94))
	h.is.Equal(poll.AckUpTo, int64(57))
	h.is.Equal(startsOf(h.Flush(after(94))), []runs.Key{key("t3")})
}

// TestAnswerWithAnotherClockCausesAPoll: answers to orders do not identify the incarnation.
func TestAnswerWithAnotherClockCausesAPoll(t *testing.T) {
	h := newRestartHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 90_000_000})
	h.is.True(h.worker.clock < 600_000)
	h.pollAnsweredBy(after(2), secondStart, 90_000_001, Listing{Running: []Running{{Key: key("t1")}}})
	h.pollAnsweredBy(after(3), secondStart, 90_000_002, Listing{Running: []Running{{Key: key("t1")}}})
	h.is.Equal(len(ends(h.Flush(after(3)))), 0) // it runs in the new incarnation
	// The lease of that start was in terms of the previous incarnation's clock.
	h.is.True(h.worker.latestDeadline >= 90_000_002+h.maxLease().Milliseconds())
}

// TestStartInFlightMayRunInTheNextIncarnation: the answer to a start is outstanding when the
// worker is lost, and the next incarnation lists the run.
func TestStartInFlightMayRunInTheNextIncarnation(t *testing.T) {
	h := newRestartHarness(t)
	out := h.send(start, "t1", "t2")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: NotListening})
	got := ends(h.Flush(after(1)))
	h.is.Equal(len(got), 1) // the answer to t2 is outstanding
	h.is.Equal(got[0].Key, key("t1"))
	h.is.Equal(got[0].Outcome, runs.OutcomeRefused)
	h.OrderAnswered(after(2), out.Orders[1], Answer{Status: Accepted, Clock: 7000})
	h.WorkerAnnounced(after(3), workerStartedAt(secondStart), 7001)
	h.pollAnsweredBy(after(3), secondStart, 7001, Listing{Running: []Running{{Key: key("t2")}}}) // tells the clock
	h.pollAnsweredBy(after(4), secondStart, 7002, Listing{Running: []Running{{Key: key("t2")}}})
	h.is.Equal(h.runs.Get(key("t2")).phase, phaseRunning)
	h.pollAnsweredBy(after(5), secondStart, 7003, Listing{Ended: []Ended{{Number: 1, Key: key("t2"), Outcome: runs.OutcomeDone}}})
	last := ends(h.Flush(after(5)))
	h.is.Equal(last[len(last)-1].Outcome, runs.OutcomeDone)
}

func TestLeaveMessageOfThePreviousIncarnationDoesNotEndThePresentOne(t *testing.T) {
	h := newRestartHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 500_001})
	h.WorkerLeft(after(2), "w1")
	h.pollAnsweredBy(after(3), firstStart, 500_003, Listing{Running: []Running{{Key: key("t1")}}})
	h.Tick(after(100))
	h.is.Equal(len(ends(h.Flush(after(100)))), 0)
	h.is.Equal(startsOf(h.send(after(101), "t2")), []runs.Key{key("t2")})
}

// TestStartRefusedForItsTokenIsOver: the worker has not started it. The token rises in steps that
// double, since the clock of a previous incarnation may have been far ahead.
func TestStartRefusedForItsTokenIsOver(t *testing.T) {
	h := newRestartHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: RefusedFence, Clock: 500_001})
	got := ends(h.Flush(after(1)))
	h.is.Equal(len(got), 1)
	h.is.Equal(got[0].Outcome, runs.OutcomeRefused)
	const seen = 80_000_000
	polls := 0
	for now := 2; ; now++ {
		poll, ok := h.NextPoll(after(now))
		h.is.True(ok)
		if polls++; poll.Token > seen {
			break
		}
		h.PollAnswered(after(now), poll, Answer{Status: RefusedFence, Clock: int64(500_000 + now)}, Listing{})
	}
	h.is.True(polls < 40)
}

func TestRetiredIncarnationsAreBounded(t *testing.T) {
	h := newRestartHarness(t)
	for born := int64(firstStart + 1); born < firstStart+1000; born++ {
		h.startIncarnation(workerStartedAt(born), nil)
	}
	h.is.Equal(len(h.retired.members), maxRetired)
	h.is.Equal(len(h.retired.order), maxRetired)
}

// TestRunThatTheNextIncarnationListsGoesOn: it was in flight when its worker was lost, and runs for
// longer than any lease of that time. To end it would have its task started a second time.
func TestRunThatTheNextIncarnationListsGoesOn(t *testing.T) {
	h := newRestartHarness(t)
	h.send(start, "t1")
	h.WorkerAnnounced(after(1), workerStartedAt(secondStart), 7000)
	h.handleIncarnationOver()
	running := Listing{Running: []Running{{Key: key("t1"), Percent: 1}}}
	for ms := 10; ms <= 4000; ms += 10 {
		h.heartbeat(after(ms))
		h.Tick(after(ms))
		if poll, ok := h.NextPoll(after(ms)); ok {
			h.PollAnswered(after(ms), poll, Answer{Status: Accepted, Clock: int64(7000 + ms), Born: secondStart}, running)
		}
		h.is.Equal(len(ends(h.Flush(after(ms)))), 0)
	}
	h.is.Equal(h.RunCount(), 1)
}
