package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// Two incarnations under one ID.
const (
	firstBorn  = 1_000_000
	secondBorn = 1_005_000
)

func bornWorker(born int64) runs.Worker {
	w := worker("w1")
	w.Born = born
	return w
}

// newLifeRig is a core with a worker that tells when it started.
func newLifeRig(t *testing.T) *rig {
	r := newRig(t)
	r.former = lives{}
	r.replaceWorker(bornWorker(firstBorn), 500_000)
	r.lookAt(start, Listing{})
	r.Flush(start)
	return r
}

// lookBy has a look answered by an incarnation.
func (r *rig) lookBy(now time.Time, born, clock int64, listing Listing) Look {
	look, ok := r.NextLook(now)
	r.is.True(ok)
	r.Looked(now, look, Answer{Verdict: Accepted, Clock: clock, Born: born}, listing)
	return look
}

func TestRunsOfAFormerIncarnationAreOverOnceThePresentOneWasLookedAt(t *testing.T) {
	r := newLifeRig(t)
	out := r.send(start, "t1", "t2", "t3")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 500_001})
	r.lookBy(after(20), secondBorn, 7000, Listing{Running: []Running{{Key: key("t2"), Percent: 1}}})
	got := ends(r.Flush(after(20)))
	r.is.Equal(len(got), 1) // the one that waited; the others may run there
	r.is.Equal(got[0].Key, key("t3"))
	r.is.Equal(got[0].How, runs.Refused)

	look := r.lookBy(after(21), secondBorn, 7001, Listing{Running: []Running{{Key: key("t2"), Percent: 1}}})
	r.is.True(look.Token > 500_000) // no late order for the former one has an effect any more
	r.is.Equal(look.Deadline, int64(0))
	got = ends(r.Flush(after(21)))
	r.is.Equal(len(got), 1)
	r.is.Equal(got[0].Key, key("t1"))
	r.is.Equal(got[0].How, runs.Gone) // it began, so it is not refused
	r.is.Equal(r.Runs(), 1)
}

func TestWorkerThatStartedAgainTakesWorkOnceItHasAnnouncedItself(t *testing.T) {
	r := newLifeRig(t)
	r.worker.doubted = true
	r.lookBy(after(20), secondBorn, 7000, Listing{})
	r.lookBy(after(21), secondBorn, 7001, Listing{})
	r.is.Equal(ends(r.send(after(22), "t1"))[0].Reason, runs.NoWorker) // its room is not known
	r.is.True(r.Announced(after(30), bornWorker(secondBorn), 7010))
	r.is.Equal(startsOf(r.send(after(31), "t2")), []runs.Key{key("t2")})
}

func TestAnnouncementOfAnotherIncarnationHasTheWorkerAsked(t *testing.T) {
	r := newLifeRig(t)
	r.is.True(r.Announced(after(5), bornWorker(secondBorn), 7000))
	look := r.lookBy(after(6), secondBorn, 7001, Listing{})
	r.is.Equal(look.Wait, time.Duration(0))
	r.is.Equal(look.Deadline, int64(0)) // it would be in terms of another clock
	r.lookBy(after(7), secondBorn, 7002, Listing{})
	r.is.Equal(startsOf(r.send(after(8), "t1")), []runs.Key{key("t1")})
	r.is.Equal(r.Announced(after(9), bornWorker(firstBorn), 500_009), false) // came late
}

func TestLateAnnouncementOfAFormerIncarnationChangesNothing(t *testing.T) {
	r := newLifeRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 500_001})
	r.is.True(r.Announced(after(5), bornWorker(firstBorn-9000), 400))
	r.lookBy(after(6), firstBorn, 500_006, Listing{Running: []Running{{Key: key("t1")}}})
	r.is.Equal(len(ends(r.Flush(after(6)))), 0)
	r.is.Equal(r.worker.info.Born, int64(firstBorn))
	r.is.Equal(r.Announced(after(7), bornWorker(firstBorn-9000), 500), false)
}

func TestLateAnswersOfAFormerIncarnationChangeNothing(t *testing.T) {
	r := newLifeRig(t)
	out := r.send(start, "t1")
	old, _ := r.NextLook(after(1))
	r.Announced(after(2), bornWorker(secondBorn), 7000)
	r.lookBy(after(3), secondBorn, 7001, Listing{})
	r.lookBy(after(4), secondBorn, 7002, Listing{})
	r.Flush(after(4))
	r.Looked(after(5), old, Answer{Verdict: Accepted, Clock: 500_003, Born: firstBorn}, Listing{
		Ended: []Ended{{Number: 9, Key: key("t1"), How: runs.Done}},
	})
	r.Ordered(after(6), out.Orders[0], Answer{Verdict: Accepted, Clock: 500_004})
	r.is.Equal(r.worker.lastSeen, int64(0)) // its own ends begin at 1
	r.is.Equal(r.worker.info.Born, int64(secondBorn))
	r.is.True(r.worker.clock < 8000)
	r.is.Equal(len(ends(r.Flush(after(6)))), 0)
}

// TestEndsAreNotForgottenWhileTheWorkerMayHaveStartedAgain: a number of the former
// incarnation would have the present one forget ends that nobody has heard of.
func TestEndsAreNotForgottenWhileTheWorkerMayHaveStartedAgain(t *testing.T) {
	r := newLifeRig(t)
	r.send(start, "t1", "t2")
	r.lookBy(after(5), firstBorn, 500_005, Listing{
		Running: []Running{{Key: key("t2")}}, Ended: []Ended{{Number: 57, Key: key("t1"), How: runs.Done}},
	})
	look, _ := r.NextLook(after(6))
	r.is.Equal(look.LastSeen, int64(57))
	r.Looked(after(90), look, Answer{Verdict: NoAnswer}, Listing{})
	look, _ = r.NextLook(after(91))
	r.is.Equal(look.LastSeen, int64(0))
	r.is.Equal(look.Deadline, int64(0))
	r.is.Equal(len(startsOf(r.send(after(92), "t3"))), 0) // nor does anything start
	r.Looked(after(93), look, Answer{Verdict: Accepted, Clock: 500_093, Born: firstBorn}, Listing{Running: []Running{{Key: key("t2")}}})
	look, _ = r.NextLook(after(94))
	r.is.Equal(look.LastSeen, int64(57))
	r.is.Equal(startsOf(r.Flush(after(94))), []runs.Key{key("t3")})
}

// TestAnswerWithAnotherClockHasTheWorkerAsked: answers to orders do not tell who answers.
func TestAnswerWithAnotherClockHasTheWorkerAsked(t *testing.T) {
	r := newLifeRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 90_000_000})
	r.is.True(r.worker.clock < 600_000)
	r.lookBy(after(2), secondBorn, 90_000_001, Listing{Running: []Running{{Key: key("t1")}}})
	r.lookBy(after(3), secondBorn, 90_000_002, Listing{Running: []Running{{Key: key("t1")}}})
	r.is.Equal(len(ends(r.Flush(after(3)))), 0) // it runs in the present incarnation
	// What that took as its lease was in terms of the former one's clock.
	r.is.True(r.worker.promisedUntil >= 90_000_002+r.longestLease().Milliseconds())
}

// TestStartOnItsWayWhenTheWorkerIsLostMayBeTheNextIncarnations.
func TestStartOnItsWayWhenTheWorkerIsLostMayBeTheNextIncarnations(t *testing.T) {
	r := newLifeRig(t)
	out := r.send(start, "t1", "t2")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: NotListening})
	got := ends(r.Flush(after(1)))
	r.is.Equal(len(got), 1) // the answer to t2 is on its way
	r.is.Equal(got[0].Key, key("t1"))
	r.is.Equal(got[0].How, runs.Refused)
	r.Ordered(after(2), out.Orders[1], Answer{Verdict: Accepted, Clock: 7000})
	r.Announced(after(3), bornWorker(secondBorn), 7001)
	r.lookBy(after(4), secondBorn, 7002, Listing{Running: []Running{{Key: key("t2")}}})
	r.is.Equal(r.runs.Get(key("t2")).phase, phaseRunning)
	r.lookBy(after(5), secondBorn, 7003, Listing{Ended: []Ended{{Number: 1, Key: key("t2"), How: runs.Done}}})
	last := ends(r.Flush(after(5)))
	r.is.Equal(last[len(last)-1].How, runs.Done)
}

func TestWordThatAFormerIncarnationEndsDoesNotEndThePresentOne(t *testing.T) {
	r := newLifeRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 500_001})
	r.Left(after(2), "w1")
	r.lookBy(after(3), firstBorn, 500_003, Listing{Running: []Running{{Key: key("t1")}}})
	r.Tick(after(100))
	r.is.Equal(len(ends(r.Flush(after(100)))), 0)
	r.is.Equal(startsOf(r.send(after(101), "t2")), []runs.Key{key("t2")})
}

// TestStartRefusedForItsTokenIsOver: the worker has done nothing, and the token rises in
// steps that double, since a former incarnation's clock may have been far ahead.
func TestStartRefusedForItsTokenIsOver(t *testing.T) {
	r := newLifeRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: RefusedFence, Clock: 500_001})
	got := ends(r.Flush(after(1)))
	r.is.Equal(len(got), 1)
	r.is.Equal(got[0].How, runs.Refused)
	const seen = 80_000_000
	looks := 0
	for now := 2; ; now++ {
		look, ok := r.NextLook(after(now))
		r.is.True(ok)
		if looks++; look.Token > seen {
			break
		}
		r.Looked(after(now), look, Answer{Verdict: RefusedFence, Clock: int64(500_000 + now)}, Listing{})
	}
	r.is.True(looks < 40)
}

func TestFormerIncarnationsAreBounded(t *testing.T) {
	r := newLifeRig(t)
	for born := int64(firstBorn + 1); born < firstBorn+1000; born++ {
		r.replaceWorker(bornWorker(born), 1)
	}
	r.is.Equal(len(r.former.known), livesKept)
	r.is.Equal(len(r.former.order), livesKept)
}
