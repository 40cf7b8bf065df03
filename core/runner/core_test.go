package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

var (
	start = time.Unix(1000, 0)
	entry = runs.Entry{Address: "e:1", Incarnation: 7}
	small = room.Room{CPU: 1000, Memory: 10}
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func key(task string) runs.Key { return runs.Key{Task: task, Run: 1} }

// rig is a core with a worker of two cores and a link to one entry.
type rig struct {
	*Core
	is *is.I
}

func newRig(t *testing.T) *rig {
	c := New(Settings{
		Agent: "a", OwnerLease: 400 * time.Millisecond, WorkerLease: 800 * time.Millisecond, LookWait: 100 * time.Millisecond,
		AdoptWithin: 250 * time.Millisecond, QueueLimit: 4, Beat: 100 * time.Millisecond, IdleBeat: time.Second, LateFactor: 1.5,
	})
	r := &rig{c, is.New(t)}
	r.Announced(start, worker("w1"), 5000)
	look, ok := r.NextLook(start)
	r.is.True(ok)
	r.is.Equal(look.Deadline, int64(0)) // nothing may be renewed before the runs are known
	r.Looked(start, look, Answer{Verdict: Accepted, Clock: 5000}, Listing{})
	r.LinkUp(start, 1, entry)
	r.Flush(start)
	return r
}

func worker(id string) runs.Worker {
	return runs.Worker{ID: id, Agent: "a", Service: "s", Capacity: room.Room{CPU: 2000, Memory: 100}}
}

// send delivers starts whose clock reading is now.
func (r *rig) send(now time.Time, tasks ...string) Output {
	msg := &runs.ToAgent{Clock: now.UnixNano()}
	for _, task := range tasks {
		msg.Starts = append(msg.Starts, runs.Start{
			Key: key(task), Need: small, Estimate: 100 * time.Millisecond, Slack: 100 * time.Millisecond, Patience: time.Second,
		})
	}
	r.Receive(now, 1, msg)
	return r.Flush(now)
}

// beat renews the entry's lease.
func (r *rig) beat(now time.Time) { r.Receive(now, 1, &runs.ToAgent{Clock: now.UnixNano()}) }

func ends(out Output) []runs.End {
	var list []runs.End
	for _, s := range out.Sends {
		list = append(list, s.Msg.Ends...)
	}
	return list
}

func (r *rig) lookAt(now time.Time, listing Listing) {
	look, ok := r.NextLook(now)
	r.is.True(ok)
	r.Looked(now, look, Answer{Verdict: Accepted, Clock: r.worker.clock + 1}, listing)
}

func TestStartsWhatFitsAndQueuesTheRest(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1", "t2", "t3")
	r.is.Equal(len(out.Orders), 2)
	r.is.Equal(r.load(r.links.Get(1)).Free.CPU, 0)
	r.is.Equal(out.Orders[0].Deadline, int64(5800))
}

func TestRoomIsTakenUntilTheEndIsListed(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1", "t2", "t3")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.Receive(after(2), 1, &runs.ToAgent{Clock: after(2).UnixNano(), Stops: []runs.Key{key("t1")}})
	out = r.Flush(after(2))
	r.is.Equal(len(out.Orders), 1) // the stop, and no start of t3 yet
	r.is.Equal(out.Orders[0].Kind, OrderStop)
	r.Ordered(after(3), out.Orders[0], Answer{Verdict: Accepted, Clock: 5003})
	r.is.Equal(len(r.Flush(after(3)).Orders), 0)
	r.lookAt(after(5), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), How: runs.Stopped}}})
	out = r.Flush(after(5))
	r.is.Equal(out.Orders[0].Key, key("t3"))
	r.is.Equal(ends(out)[0].How, runs.Stopped)
}

func TestUnansweredStartHoldsItsRoomUntilProvedNotToRun(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(100), out.Orders[0], Answer{Verdict: NoAnswer})
	stop := r.Flush(after(100)).Orders[0]
	r.is.Equal(stop.Kind, OrderStop)
	r.is.Equal(r.roomLeft().CPU, 1000)
	r.lookAt(after(110), Listing{}) // it may still be carried out
	r.is.Equal(len(ends(r.Flush(after(110)))), 0)
	r.Ordered(after(120), stop, Answer{Verdict: Accepted, Clock: 5120})
	r.lookAt(after(130), Listing{})
	got := ends(r.Flush(after(130)))
	r.is.Equal(len(got), 1)
	r.is.Equal(got[0].How, runs.Refused)
}

func TestUnansweredStartIsOverAfterItsDeadlineOnTheWorkersClock(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(100), out.Orders[0], Answer{Verdict: NoAnswer})
	r.Flush(after(100))
	for ms := 200; ms <= 1000; ms += 100 {
		r.beat(after(ms))
		look, _ := r.NextLook(after(ms))
		r.Looked(after(ms), look, Answer{Verdict: Accepted, Clock: int64(5000 + ms)}, Listing{})
		r.Tick(after(ms))
		over := len(ends(r.Flush(after(ms)))) > 0
		r.is.Equal(over, ms >= 900) // the order's deadline is 5800
		if over {
			return
		}
	}
	t.Fatal("the run was never over")
}

func TestRunsEndWithTheLeaseOfTheirEntry(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1", "t2", "t3")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.Tick(after(399))
	r.is.Equal(len(r.Flush(after(399)).Orders), 0)
	r.Tick(after(401))
	out = r.Flush(after(401))
	r.is.Equal(len(out.Orders), 2) // stops of both that were ordered
	r.is.Equal(ends(out)[0].Key, key("t3"))
	r.is.Equal(ends(out)[0].How, runs.Refused)
}

func TestMessageHeldUpOnTheWayRenewsNothing(t *testing.T) {
	r := newRig(t)
	r.Receive(after(1000), 1, &runs.ToAgent{Clock: start.UnixNano(), Starts: []runs.Start{{
		Key: key("t1"), Need: small, Patience: time.Hour,
	}}})
	out := r.Flush(after(1000))
	r.is.Equal(len(out.Orders), 0)
	r.is.Equal(ends(out)[0].Reason, runs.NoLease)
}

func TestNewIncarnationOfAnEntryEndsRunsOfTheFormer(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.LinkUp(after(2), 2, runs.Entry{Address: entry.Address, Incarnation: entry.Incarnation + 1})
	r.is.Equal(r.Flush(after(2)).Orders[0].Kind, OrderStop)
}

func TestLinkThatComesBackInTimeStopsNothing(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.LinkDown(after(10), 1)
	r.LinkUp(after(100), 1, entry)
	r.Receive(after(110), 1, &runs.ToAgent{Clock: after(110).UnixNano(), Owned: []runs.Owned{
		{Key: key("t1"), Need: small}, {Key: key("never-came"), Need: small},
	}})
	out = r.Flush(after(110))
	r.is.Equal(len(out.Orders), 0)
	r.is.Equal(ends(out), []runs.End{{Key: key("never-came"), How: runs.Gone}})
}

func TestNewProcessAdoptsWhatItsEntryClaimsAndStopsTheRest(t *testing.T) {
	r := newRig(t)
	c := New(r.settings)
	c.Announced(start, worker("w1"), 9000)
	c.LinkUp(start, 1, entry)
	c.Receive(start, 1, &runs.ToAgent{Clock: start.UnixNano(), Owned: []runs.Owned{{Key: key("mine"), Need: small}}})
	look, _ := c.NextLook(start)
	r.is.Equal(look.Token, int64(9000)) // shuts out orders of the former process
	c.Looked(start, look, Answer{Verdict: Accepted, Clock: 9000}, Listing{Running: []Running{{Key: key("mine")}, {Key: key("other")}}})
	r.is.Equal(c.roomLeft(), room.Room{}) // the size of other is not known
	look, _ = c.NextLook(after(1))
	r.is.Equal(look.Deadline, int64(0)) // its lease must not be renewed
	c.Tick(after(260))
	out := c.Flush(after(260))
	r.is.Equal(len(out.Orders), 1)
	r.is.Equal(out.Orders[0].Key, key("other"))
}

func TestSilentWorkerGetsNoWorkAndItsRunsEndWithTheLease(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1", "t2", "t3")
	for _, o := range out.Orders {
		r.Ordered(after(1), o, Answer{Verdict: Accepted, Clock: 5001})
	}
	for _, ms := range []int{250, 500} {
		look, _ := r.NextLook(after(ms - 250))
		r.Looked(after(ms), look, Answer{Verdict: NoAnswer}, Listing{})
		r.beat(after(ms))
	}
	out = r.Flush(after(500))
	r.is.Equal(out.Sends[0].Msg.Worker.ID, "") // entries are told at once
	r.is.Equal(ends(out)[0].Key, key("t3"))
	look, _ := r.NextLook(after(510))
	r.is.Equal(look.Deadline, int64(0)) // unanswered looks must not renew for ever
	for ms := 600; ms <= 2000; ms += 100 {
		r.beat(after(ms))
		r.Tick(after(ms))
		if got := ends(r.Flush(after(ms))); len(got) == 2 {
			r.is.True(ms >= 1100) // the lease of the look at 250
			return
		}
	}
	t.Fatal("the runs were never over")
}

func TestLateAnnouncementOfAFormerIncarnationEndsNothing(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.Announced(after(5), worker("w0"), 100)
	r.is.Equal(len(ends(r.Flush(after(5)))), 0)
	r.lookAt(after(6), Listing{Running: []Running{{Key: key("t1"), Percent: 5}}})
	r.is.Equal(r.Announced(after(7), worker("w0"), 101), false)
	r.is.True(r.runs.Has(key("t1")))
}

func TestNewIncarnationIsTakenOnceTheWorkerSaysSo(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.Announced(after(5), worker("w2"), 100)
	look, _ := r.NextLook(after(6))
	r.Looked(after(6), look, Answer{Verdict: WrongIncarnation}, Listing{})
	r.is.Equal(ends(r.Flush(after(6)))[0].How, runs.Stopped)
	r.is.Equal(r.worker.info.ID, "w2")
}

func TestAnswerThatLayInASuspendedProcessIsIgnored(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	look, _ := r.NextLook(after(2))
	r.Tick(after(3000))
	r.Looked(after(3000), look, Answer{Verdict: Accepted, Clock: 5002}, Listing{Running: []Running{{Key: key("t1")}}})
	r.is.Equal(r.runs.Len(), 0)
	r.is.Equal(r.worker.synced, false)
}

func TestDrainRefusesWaitingAndNewRuns(t *testing.T) {
	r := newRig(t)
	r.send(start, "t1", "t2", "t3")
	r.Drain(after(1))
	out := r.Flush(after(1))
	r.is.Equal(ends(out)[0].Reason, runs.Draining)
	r.is.True(out.Sends[0].Msg.Worker.Draining)
	r.is.Equal(ends(r.send(after(2), "t4"))[0].Reason, runs.Draining)
	r.is.Equal(r.Idle(), false)
}

func TestStandstillShowsWithinOneLook(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(start, out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.lookAt(after(100), Listing{Running: []Running{{Key: key("t1"), Percent: 0}}})
	r.is.True(r.slowness() > 300)
	r.beat(after(100))
	r.Receive(after(101), 1, &runs.ToAgent{Clock: after(101).UnixNano(), Stops: []runs.Key{key("t1")}})
	r.Flush(after(101))
	r.lookAt(after(120), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), How: runs.Stopped}}})
	r.Flush(after(120))
	r.is.True(r.slowness() > 200) // remembered although nothing runs
	r.Flush(after(8000))
	r.is.True(r.slowness() < 150) // and forgotten in time
}

func TestUrgentRunsGoFirst(t *testing.T) {
	r := newRig(t)
	r.send(start, "t1", "t2")
	for i, slack := range []time.Duration{300, 100, 200} {
		r.Receive(after(1), 1, &runs.ToAgent{Clock: after(1).UnixNano(), Starts: []runs.Start{{
			Key: key(string(rune('a' + i))), Need: small, Slack: slack * time.Millisecond, Patience: time.Second,
		}}})
	}
	r.is.Equal(r.queue[0].key, key("b"))
	r.is.Equal(r.queue[1].key, key("c"))
	r.is.Equal(r.waitingCPU(), []int{0, 0, 1000, 2000, 0})
}

func TestRecalledWorkerIsLookedAtWithATokenOfItsOwnClock(t *testing.T) {
	is := is.New(t)
	for _, first := range []Verdict{RefusedFence, Accepted} {
		c := New(newRig(t).settings)
		c.Recalled(start, worker("w1"))
		look, _ := c.NextLook(start)
		is.Equal(look.Token, int64(0))
		c.Looked(start, look, Answer{Verdict: first, Clock: 700000}, Listing{})
		is.Equal(c.worker.synced, false)
		look, _ = c.NextLook(after(1))
		is.Equal(look.Token, int64(700000))
		c.Looked(after(1), look, Answer{Verdict: Accepted, Clock: 700001}, Listing{Running: []Running{{Key: key("t1")}}})
		c.Tick(after(2))
		is.True(c.worker.synced) // what the former process promised may still hold
	}
}

func TestRecalledWorkerThatIsOverIsForgotten(t *testing.T) {
	is := is.New(t)
	c := New(newRig(t).settings)
	c.Recalled(start, worker("w1"))
	look, _ := c.NextLook(start)
	c.Looked(start, look, Answer{Verdict: WrongIncarnation}, Listing{})
	is.Equal(c.Busy(), false)
	is.Equal(c.Announced(after(1), worker("w1"), 5), false)
	is.True(c.Announced(after(1), worker("w2"), 5))
}

// TestRunDoesNotStartWhileItsEntryHasNoLink: it could not be taken back. Others go on.
func TestRunDoesNotStartWhileItsEntryHasNoLink(t *testing.T) {
	r := newRig(t)
	other := runs.Entry{Address: "e:2", Incarnation: 8}
	r.LinkUp(start, 2, other)
	first := r.send(start, "t1", "t2", "t3") // t3 waits for room
	r.is.Equal(len(first.Orders), 2)
	r.LinkDown(after(10), 1)
	r.Receive(after(10), 2, &runs.ToAgent{Clock: after(10).UnixNano(), Starts: []runs.Start{{
		Key: key("t4"), Need: small, Estimate: 100 * time.Millisecond, Slack: time.Second, Patience: time.Second,
	}}})
	for _, o := range first.Orders {
		r.Ordered(after(11), o, Answer{Verdict: Accepted, Clock: 5011})
	}
	r.lookAt(after(20), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), How: runs.Done}, {Number: 2, Key: key("t2"), How: runs.Done}}})
	out := r.Flush(after(20))
	r.is.Equal(len(out.Orders), 1)
	r.is.Equal(out.Orders[0].Key, key("t4"))
	r.LinkUp(after(60), 3, entry) // back in time
	r.Receive(after(61), 3, &runs.ToAgent{Clock: after(61).UnixNano(), Owned: []runs.Owned{{Key: key("t3"), Need: small}}})
	out = r.Flush(after(61))
	r.is.Equal(len(out.Orders), 1)
	r.is.Equal(out.Orders[0].Key, key("t3"))
}
