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
	small = room.Resources{CPU: 1000, Memory: 10}
)

// after returns the time ms milliseconds after the start of a test.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// key is that of the first run of a task.
func key(task string) runs.Key { return runs.Key{Task: task, Run: 1} }

// harness is a core with a worker of two cores and a link to one entry.
type harness struct {
	*Core
	is *is.I
}

func newHarness(t *testing.T) *harness {
	c := New(Settings{
		Agent: "a", OwnerLease: 400 * time.Millisecond, WorkerLease: 800 * time.Millisecond, PollWait: 100 * time.Millisecond,
		AdoptTimeout: 250 * time.Millisecond, QueueLimit: 4, HeartbeatInterval: 100 * time.Millisecond, IdleHeartbeatInterval: time.Second, ProgressReportFactor: 1.5,
	})
	h := &harness{c, is.New(t)}
	h.WorkerAnnounced(start, worker("w1"), 5000)
	h.syncWorker(start, 0, 5000)
	h.LinkUp(start, 1, entry)
	h.Flush(start)
	return h
}

// syncWorker has a new incarnation of the worker answer the two polls after which its runs are known.
// clock is its clock in ms.
func (h *harness) syncWorker(now time.Time, born, clock int64) {
	for _, token := range []int64{0, clock} {
		poll, ok := h.NextPoll(now)
		h.is.True(ok)
		h.is.Equal(poll.Token, token)
		h.is.Equal(poll.Deadline, int64(0)) // no lease may be renewed before the runs are known
		h.PollAnswered(now, poll, Answer{Status: Accepted, Clock: clock, Born: born}, Listing{})
	}
}

// worker is the incarnation id of a worker with two cores.
func worker(id string) runs.Worker {
	return runs.Worker{ID: id, Agent: "a", Service: "s", Capacity: room.Resources{CPU: 2000, Memory: 100}}
}

// send delivers starts of tasks in one message whose clock reading is now.
func (h *harness) send(now time.Time, tasks ...string) Output {
	msg := &runs.ToAgent{Clock: now.UnixNano()}
	for _, task := range tasks {
		msg.Starts = append(msg.Starts, runs.Start{
			Key: key(task), Need: small, Estimate: 100 * time.Millisecond, Slack: 100 * time.Millisecond, StartTimeout: time.Second,
		})
	}
	h.Receive(now, 1, msg)
	return h.Flush(now)
}

// heartbeat delivers an empty message, which renews the entry's lease.
func (h *harness) heartbeat(now time.Time) { h.Receive(now, 1, &runs.ToAgent{Clock: now.UnixNano()}) }

// ends returns the ends in all messages of an output.
func ends(out Output) []runs.End {
	var list []runs.End
	for _, s := range out.Sends {
		list = append(list, s.Msg.Ends...)
	}
	return list
}

// pollAt has the worker polled and accept the poll with a listing.
func (h *harness) pollAt(now time.Time, listing Listing) {
	poll, ok := h.NextPoll(now)
	h.is.True(ok)
	h.PollAnswered(now, poll, Answer{Status: Accepted, Clock: h.worker.clock + 1}, listing)
}

func TestRunsThatFitStartAndOthersWait(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1", "t2", "t3")
	h.is.Equal(len(out.Orders), 2)
	h.is.Equal(h.load(h.links.Get(1)).Free.CPU, 0)
	h.is.Equal(out.Orders[0].Deadline, int64(5800))
}

func TestRunOccupiesWorkerUntilItsEndIsListed(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1", "t2", "t3")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.Receive(after(2), 1, &runs.ToAgent{Clock: after(2).UnixNano(), Stops: []runs.Key{key("t1")}})
	out = h.Flush(after(2))
	h.is.Equal(len(out.Orders), 1) // only the stop: t3 does not start yet
	h.is.Equal(out.Orders[0].Kind, OrderStop)
	h.OrderAnswered(after(3), out.Orders[0], Answer{Status: Accepted, Clock: 5003})
	h.is.Equal(len(h.Flush(after(3)).Orders), 0)
	h.pollAt(after(5), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), Outcome: runs.OutcomeStopped}}})
	out = h.Flush(after(5))
	h.is.Equal(out.Orders[0].Key, key("t3"))
	h.is.Equal(ends(out)[0].Outcome, runs.OutcomeStopped)
}

func TestUnansweredStartOccupiesWorkerUntilItCannotRun(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(100), out.Orders[0], Answer{Status: NoAnswer})
	stop := h.Flush(after(100)).Orders[0]
	h.is.Equal(stop.Kind, OrderStop)
	h.is.Equal(h.freeCapacity().CPU, 1000)
	h.pollAt(after(110), Listing{}) // the start may still be carried out
	h.is.Equal(len(ends(h.Flush(after(110)))), 0)
	h.OrderAnswered(after(120), stop, Answer{Status: Accepted, Clock: 5120})
	h.pollAt(after(130), Listing{})
	got := ends(h.Flush(after(130)))
	h.is.Equal(len(got), 1)
	h.is.Equal(got[0].Outcome, runs.OutcomeRefused)
}

func TestUnansweredStartIsOverAfterItsDeadlineOnTheWorkersClock(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(100), out.Orders[0], Answer{Status: NoAnswer})
	h.Flush(after(100))
	for ms := 200; ms <= 1000; ms += 100 {
		h.heartbeat(after(ms))
		poll, _ := h.NextPoll(after(ms))
		h.PollAnswered(after(ms), poll, Answer{Status: Accepted, Clock: int64(5000 + ms)}, Listing{})
		h.Tick(after(ms))
		over := len(ends(h.Flush(after(ms)))) > 0
		h.is.Equal(over, ms >= 900) // the order's deadline is 5800
		if over {
			return
		}
	}
	t.Fatal("the run was never over")
}

func TestRunsEndWithTheLeaseOfTheirEntry(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1", "t2", "t3")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.Tick(after(399))
	h.is.Equal(len(h.Flush(after(399)).Orders), 0)
	h.Tick(after(401))
	out = h.Flush(after(401))
	h.is.Equal(len(out.Orders), 2) // the stops of the two that were ordered
	h.is.Equal(ends(out)[0].Key, key("t3"))
	h.is.Equal(ends(out)[0].Outcome, runs.OutcomeRefused)
}

func TestDelayedMessageDoesNotRenewLease(t *testing.T) {
	h := newHarness(t)
	h.Receive(after(1000), 1, &runs.ToAgent{Clock: start.UnixNano(), Starts: []runs.Start{{
		Key: key("t1"), Need: small, StartTimeout: time.Hour,
	}}})
	out := h.Flush(after(1000))
	h.is.Equal(len(out.Orders), 0)
	h.is.Equal(ends(out)[0].Reason, runs.ReasonNoLease)
}

func TestNewIncarnationOfAnEntryEndsRunsOfThePreviousOne(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.LinkUp(after(2), 2, runs.Entry{Address: entry.Address, Incarnation: entry.Incarnation + 1})
	h.is.Equal(h.Flush(after(2)).Orders[0].Kind, OrderStop)
}

func TestReconnectWithinTheLeaseStopsNothing(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.LinkDown(after(10), 1)
	h.LinkUp(after(100), 1, entry)
	h.Receive(after(110), 1, &runs.ToAgent{Clock: after(110).UnixNano(), Owned: []runs.OwnedRun{
		{Key: key("t1"), Need: small}, {Key: key("never-came"), Need: small},
	}})
	out = h.Flush(after(110))
	h.is.Equal(len(out.Orders), 0)
	h.is.Equal(ends(out), []runs.End{{Key: key("never-came"), Outcome: runs.OutcomeGone}})
}

func TestNewProcessAdoptsClaimedRunsAndStopsOthers(t *testing.T) {
	h := newHarness(t)
	c := New(h.settings)
	c.WorkerAnnounced(start, worker("w1"), 9000)
	c.LinkUp(start, 1, entry)
	c.Receive(start, 1, &runs.ToAgent{Clock: start.UnixNano(), Owned: []runs.OwnedRun{{Key: key("mine"), Need: small}}})
	poll, _ := c.NextPoll(start)
	c.PollAnswered(start, poll, Answer{Status: Accepted, Clock: 9000}, Listing{})
	poll, _ = c.NextPoll(start)
	h.is.Equal(poll.Token, int64(9000)) // fences off orders of the previous process
	c.PollAnswered(start, poll, Answer{Status: Accepted, Clock: 9000}, Listing{Running: []Running{{Key: key("mine")}, {Key: key("other")}}})
	h.is.Equal(c.freeCapacity(), room.Resources{}) // what other needs is not known
	poll, _ = c.NextPoll(after(1))
	h.is.Equal(poll.Deadline, int64(0)) // its lease must not be renewed
	c.Tick(after(260))
	out := c.Flush(after(260))
	h.is.Equal(len(out.Orders), 1)
	h.is.Equal(out.Orders[0].Key, key("other"))
}

func TestUnreachableWorkerGetsNoWorkAndItsRunsEndWithTheLease(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1", "t2", "t3")
	for _, o := range out.Orders {
		h.OrderAnswered(after(1), o, Answer{Status: Accepted, Clock: 5001})
	}
	for _, ms := range []int{250, 500} {
		poll, _ := h.NextPoll(after(ms - 250))
		h.PollAnswered(after(ms), poll, Answer{Status: NoAnswer}, Listing{})
		h.heartbeat(after(ms))
	}
	out = h.Flush(after(500))
	h.is.Equal(out.Sends[0].Msg.Worker.ID, "") // entries are informed at once
	h.is.Equal(ends(out)[0].Key, key("t3"))
	poll, _ := h.NextPoll(after(510))
	h.is.Equal(poll.Deadline, int64(0)) // unanswered polls must not renew the lease for ever
	for ms := 600; ms <= 2000; ms += 100 {
		h.heartbeat(after(ms))
		h.Tick(after(ms))
		if got := ends(h.Flush(after(ms))); len(got) == 2 {
			h.is.True(ms >= 1100) // the lease that the poll at 250 requested
			return
		}
	}
	t.Fatal("the runs were never over")
}

func TestDelayedAnnouncementOfAPreviousIncarnationEndsNothing(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.WorkerAnnounced(after(5), worker("w0"), 100)
	h.is.Equal(len(ends(h.Flush(after(5)))), 0)
	h.pollAt(after(6), Listing{Running: []Running{{Key: key("t1"), Percent: 5}}})
	h.is.Equal(h.WorkerAnnounced(after(7), worker("w0"), 101), false)
	h.is.True(h.runs.Has(key("t1")))
}

func TestNewIncarnationIsUsedOnceTheWorkerRejectsThePreviousOne(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.WorkerAnnounced(after(5), worker("w2"), 100)
	poll, _ := h.NextPoll(after(6))
	h.PollAnswered(after(6), poll, Answer{Status: WrongIncarnation}, Listing{})
	h.is.Equal(ends(h.Flush(after(6)))[0].Outcome, runs.OutcomeStopped)
	h.is.Equal(h.worker.info.ID, "w2")
}

func TestPollAnswerDelayedBySuspensionIsIgnored(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	poll, _ := h.NextPoll(after(2))
	h.Tick(after(3000))
	h.PollAnswered(after(3000), poll, Answer{Status: Accepted, Clock: 5002}, Listing{Running: []Running{{Key: key("t1")}}})
	h.is.Equal(h.runs.Len(), 0)
	h.is.Equal(h.worker.synced, false)
}

func TestDrainRefusesWaitingAndNewRuns(t *testing.T) {
	h := newHarness(t)
	h.send(start, "t1", "t2", "t3")
	h.Drain(after(1))
	out := h.Flush(after(1))
	h.is.Equal(ends(out)[0].Reason, runs.ReasonDraining)
	h.is.True(out.Sends[0].Msg.Worker.Draining)
	h.is.Equal(ends(h.send(after(2), "t4"))[0].Reason, runs.ReasonDraining)
	h.is.Equal(h.IsIdle(), false)
}

func TestStalledRunShowsWithinOnePoll(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(start, out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.pollAt(after(100), Listing{Running: []Running{{Key: key("t1"), Percent: 0}}})
	h.is.True(h.slowness() > 300)
	h.heartbeat(after(100))
	h.Receive(after(101), 1, &runs.ToAgent{Clock: after(101).UnixNano(), Stops: []runs.Key{key("t1")}})
	h.Flush(after(101))
	h.pollAt(after(120), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), Outcome: runs.OutcomeStopped}}})
	h.Flush(after(120))
	h.is.True(h.slowness() > 200) // remembered although nothing runs
	h.Flush(after(8000))
	h.is.True(h.slowness() < 150) // and forgotten in time
}

func TestUrgentRunsAreQueuedFirst(t *testing.T) {
	h := newHarness(t)
	h.send(start, "t1", "t2")
	for i, slack := range []time.Duration{300, 100, 200} {
		h.Receive(after(1), 1, &runs.ToAgent{Clock: after(1).UnixNano(), Starts: []runs.Start{{
			Key: key(string(rune('a' + i))), Need: small, Slack: slack * time.Millisecond, StartTimeout: time.Second,
		}}})
	}
	h.is.Equal(h.queue[0].key, key("b"))
	h.is.Equal(h.queue[1].key, key("c"))
	h.is.Equal(h.waitingCPU(), []int{0, 0, 1000, 2000, 0})
}

func TestLoadedWorkerIsPolledWithATokenFromItsClock(t *testing.T) {
	is := is.New(t)
	for _, first := range []Status{RefusedFence, Accepted} {
		c := New(newHarness(t).settings)
		c.WorkerLoaded(start, worker("w1"))
		poll, _ := c.NextPoll(start)
		is.Equal(poll.Token, int64(0))
		c.PollAnswered(start, poll, Answer{Status: first, Clock: 700000}, Listing{})
		is.Equal(c.worker.synced, false)
		poll, _ = c.NextPoll(after(1))
		is.Equal(poll.Token, int64(700000))
		c.PollAnswered(after(1), poll, Answer{Status: Accepted, Clock: 700001}, Listing{Running: []Running{{Key: key("t1")}}})
		c.Tick(after(2))
		is.True(c.worker.synced) // a lease of the previous process may still hold
	}
}

func TestLoadedIncarnationThatIsOverIsRetired(t *testing.T) {
	is := is.New(t)
	c := New(newHarness(t).settings)
	c.WorkerLoaded(start, worker("w1"))
	poll, _ := c.NextPoll(start)
	c.PollAnswered(start, poll, Answer{Status: WrongIncarnation}, Listing{})
	is.Equal(c.NeedsPoll(), false)
	is.Equal(c.WorkerAnnounced(after(1), worker("w1"), 5), false)
	is.True(c.WorkerAnnounced(after(1), worker("w2"), 5))
}

// TestRunDoesNotStartWhileItsEntryHasNoLink: the entry could not stop it. Runs of other
// entries start.
func TestRunDoesNotStartWhileItsEntryHasNoLink(t *testing.T) {
	h := newHarness(t)
	other := runs.Entry{Address: "e:2", Incarnation: 8}
	h.LinkUp(start, 2, other)
	first := h.send(start, "t1", "t2", "t3") // t3 waits for free capacity
	h.is.Equal(len(first.Orders), 2)
	h.LinkDown(after(10), 1)
	h.Receive(after(10), 2, &runs.ToAgent{Clock: after(10).UnixNano(), Starts: []runs.Start{{
		Key: key("t4"), Need: small, Estimate: 100 * time.Millisecond, Slack: time.Second, StartTimeout: time.Second,
	}}})
	for _, o := range first.Orders {
		h.OrderAnswered(after(11), o, Answer{Status: Accepted, Clock: 5011})
	}
	h.pollAt(after(20), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), Outcome: runs.OutcomeDone}, {Number: 2, Key: key("t2"), Outcome: runs.OutcomeDone}}})
	out := h.Flush(after(20))
	h.is.Equal(len(out.Orders), 1)
	h.is.Equal(out.Orders[0].Key, key("t4"))
	h.LinkUp(after(60), 3, entry) // within the lease
	h.Receive(after(61), 3, &runs.ToAgent{Clock: after(61).UnixNano(), Owned: []runs.OwnedRun{{Key: key("t3"), Need: small}}})
	out = h.Flush(after(61))
	h.is.Equal(len(out.Orders), 1)
	h.is.Equal(out.Orders[0].Key, key("t3"))
}
