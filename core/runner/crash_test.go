package runner

import (
	"testing"

	"peridotpick.example/wire/runs"
)

// suspectsOf returns the runs that are suspects among the ends.
func suspectsOf(list []runs.End) []runs.Key {
	var keys []runs.Key
	for _, e := range list {
		if e.Suspect {
			keys = append(keys, e.Key)
		}
	}
	return keys
}

// sendSuspect delivers a start with the given isolation, at now in ms after the start of the test.
func (h *harness) sendSuspect(now int, task string, s runs.Isolation) Output {
	h.Receive(after(now), 1, &runs.ToAgent{Clock: after(now).UnixNano(), Starts: []runs.Start{{
		Key: key(task), Need: small, Estimate: 100e6, Slack: 100e6, StartTimeout: 1e9, Isolation: s,
	}}})
	return h.Flush(after(now))
}

func TestCrashIsBlamedOnTheRunThatStartedLast(t *testing.T) {
	h := newRestartHarness(t)
	first := h.send(start, "t1")
	h.OrderAnswered(after(1), first.Orders[0], Answer{Status: Accepted, Clock: 500_001})
	second := h.send(after(2), "t2")
	h.OrderAnswered(after(3), second.Orders[0], Answer{Status: Accepted, Clock: 500_003})
	h.OrderAnswered(after(9), Order{Kind: OrderStop, Worker: "w1", Born: firstStart, Key: key("t1")}, Answer{Status: NotListening})
	list := ends(h.Flush(after(9)))
	h.is.Equal(len(list), 2)
	for _, e := range list {
		h.is.Equal(e.Reason, runs.ReasonWorkerCrashed)
	}
	h.is.Equal(suspectsOf(list), []runs.Key{key("t2")})
}

// TestStartWithoutAnAnswerIsNotBlamedForTheCrash: the worker may have crashed before the start
// arrived.
func TestStartWithoutAnAnswerIsNotBlamedForTheCrash(t *testing.T) {
	h := newRestartHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 500_001})
	out = h.send(after(2), "t2")
	h.OrderAnswered(after(4), out.Orders[0], Answer{Status: NoAnswer}) // the connection was reset
	stop := h.Flush(after(4)).Orders[0]
	h.OrderAnswered(after(5), stop, Answer{Status: NotListening})
	list := ends(h.Flush(after(5)))
	h.is.Equal(suspectsOf(list), []runs.Key{key("t1")})
	h.is.Equal(list[0].Reason, runs.ReasonWorkerCrashed)
	h.is.Equal(list[1].Reason, runs.ReasonLeaseExpired) // it does not count as a crash under t2
}

// TestStartWithoutAnAnswerIsBlamedIfItMustRunAlone: otherwise a task that crashes workers before
// they answer would be started again without end.
func TestStartWithoutAnAnswerIsBlamedIfItMustRunAlone(t *testing.T) {
	h := newRestartHarness(t)
	out := h.sendSuspect(0, "t1", runs.IsolationExclusive)
	h.OrderAnswered(after(2), out.Orders[0], Answer{Status: NoAnswer})
	stop := h.Flush(after(2)).Orders[0]
	h.OrderAnswered(after(3), stop, Answer{Status: NotListening})
	h.is.Equal(suspectsOf(ends(h.Flush(after(3)))), []runs.Key{key("t1")})
}

func TestWorkerThatLeavesHasNotCrashed(t *testing.T) {
	h := newRestartHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 500_001})
	leaving := workerStartedAt(firstStart)
	leaving.Draining = true
	h.WorkerAnnounced(after(2), leaving, 500_002)
	h.WorkerLeft(after(3), "w1")
	h.Tick(after(100))
	list := ends(h.Flush(after(100)))
	h.is.Equal(list[0].Reason, runs.ReasonNoWorker)
	h.is.Equal(len(suspectsOf(list)), 0)
}

// TestUnreachableWorkerHasCrashedIfAnotherIncarnationAnswers: its runs end with their lease;
// their entries receive the crash once it is known.
func TestUnreachableWorkerHasCrashedIfAnotherIncarnationAnswers(t *testing.T) {
	for _, c := range []struct {
		born    int64
		crashed int
	}{{secondStart, 1}, {firstStart, 0}} {
		h := newRestartHarness(t)
		out := h.send(start, "t1")
		h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 500_001})
		var list []runs.End
		for ms := 100; ms <= 2000; ms += 100 {
			h.heartbeat(after(ms))
			if poll, ok := h.NextPoll(after(ms)); ok {
				h.PollAnswered(after(ms+50), poll, Answer{Status: NoAnswer}, Listing{})
			}
			h.Tick(after(ms + 50))
			list = append(list, ends(h.Flush(after(ms+50)))...)
		}
		h.is.Equal(len(list), 1)
		h.is.Equal(list[0].Reason, runs.ReasonLeaseExpired)
		h.pollAnsweredBy(after(2500), c.born, 502_500, Listing{})
		list = ends(h.Flush(after(2500)))
		h.is.Equal(len(list), c.crashed)
		if c.crashed > 0 {
			h.is.Equal(list[0].Reason, runs.ReasonWorkerCrashed)
			h.is.True(list[0].Suspect)
		}
	}
}

func TestSuspectsDoNotRunBesideEachOther(t *testing.T) {
	h := newHarness(t)
	h.is.Equal(startsOf(h.sendSuspect(0, "t1", runs.IsolationFromSuspects)), []runs.Key{key("t1")})
	h.is.Equal(len(startsOf(h.sendSuspect(1, "t2", runs.IsolationFromSuspects))), 0)
	h.is.Equal(startsOf(h.sendSuspect(2, "t3", runs.IsolationNone)), []runs.Key{key("t3")})
}

func TestTaskThatMustRunAloneRunsAlone(t *testing.T) {
	h := newHarness(t)
	out := h.sendSuspect(0, "t1", runs.IsolationNone)
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.is.Equal(len(startsOf(h.sendSuspect(2, "t2", runs.IsolationExclusive))), 0)
	h.is.Equal(len(startsOf(h.sendSuspect(3, "t3", runs.IsolationNone))), 0) // else t2 would wait for ever
	h.pollAt(after(5), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), Outcome: runs.OutcomeDone}}})
	h.is.Equal(startsOf(h.Flush(after(5))), []runs.Key{key("t2")})
	h.is.Equal(h.freeCapacity().CPU, 0) // entries send nothing here meanwhile
}

// TestCrashIsReportedToAllEntriesIfItsOwnerIsGone guards against a crash that is counted by no entry,
// as the one that owned the job was lost first.
func TestCrashIsReportedToAllEntriesIfItsOwnerIsGone(t *testing.T) {
	h := newHarness(t)
	out := h.sendDurable(start, "j.0.0.0")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.LinkDown(after(10), 1)
	h.LinkUp(after(20), 2, runs.Entry{Address: "e:2", Incarnation: 8})
	h.Flush(after(20))
	poll, _ := h.NextPoll(after(30))
	h.PollAnswered(after(40), poll, Answer{Status: WrongIncarnation}, Listing{})
	list := ends(h.Flush(after(40)))
	h.is.Equal(len(list), 1)
	h.is.Equal(list[0].Reason, runs.ReasonWorkerCrashed)
}
