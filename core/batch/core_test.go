package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/room"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

var (
	begin = time.Unix(1000, 0)
	need  = room.Room{CPU: 1000, Memory: 10}
	queue = &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
)

func after(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// rig is a core with agents that each have a worker of four cores.
type rig struct {
	*Core
	is *is.I
	// got are the answers so far.
	got []Answer
}

func newRig(t *testing.T, agents int) *rig {
	r := &rig{is: is.New(t), Core: New(Settings{
		DataCentre: "d", OwnerLease: 400 * time.Millisecond, WorkerLease: 900 * time.Millisecond,
		Beat: 100 * time.Millisecond, IdleBeat: 500 * time.Millisecond, SilentAfter: time.Hour, StallLimit: 350 * time.Millisecond,
		Settling: 100 * time.Millisecond, RemoteFactor: 1.5, CrossCost: 4 * time.Millisecond, Overhead: 10 * time.Millisecond,
	})}
	for i := range agents {
		r.LinkUp(begin, LinkID(i))
		r.hear(begin, i, nil)
	}
	r.Flush(begin)
	return r
}

// pass lets time pass from the core's present to a time.
func (r *rig) pass(until time.Time) {
	for now := r.now; now.Before(until); now = now.Add(50 * time.Millisecond) {
		r.Tick(now)
		r.flush(now)
	}
}

func workerID(agent int) string { return fmt.Sprintf("w%d", agent) }

// hear delivers a load of an agent with four free cores, after an edit.
func (r *rig) hear(now time.Time, agent int, edit func(*runs.ToEntry)) {
	msg := &runs.ToEntry{
		Clock: now.UnixNano(),
		Worker: &runs.Worker{
			ID: workerID(agent), Agent: fmt.Sprintf("a%d", agent), Service: "s", DataCentre: "d",
			Capacity: room.Room{CPU: 4000, Memory: 1000},
		},
		Load: &runs.Load{Free: room.Room{CPU: 4000, Memory: 1000}, Slowness: 100, Seen: 1 << 40},
	}
	if edit != nil {
		edit(msg)
	}
	r.Receive(now, LinkID(agent), msg)
}

// submit hands in a job of one step.
func (r *rig) submit(now time.Time, id int, tasks int, estimate time.Duration) Output {
	r.Submit(now, &Request{
		ID: RequestID(id), Job: jobName(id), Queue: queue, Spec: "x", Deadline: now.Add(1500 * time.Millisecond),
		Steps: []Step{{Count: tasks, Need: need, Estimate: estimate}},
	})
	return r.flush(now)
}

func jobName(id int) string { return fmt.Sprintf("%016x", id) }

func (r *rig) flush(now time.Time) Output {
	out := r.Flush(now)
	r.got = append(r.got, out.Answers...)
	return out
}

func without(t *testing.T, m policy.Mechanism) policy.Policy {
	p, err := policy.Without(string(m))
	is.New(t).NoErr(err)
	return p
}

// started returns the starts sent, by agent.
func started(out Output) map[LinkID][]runs.Start {
	list := make(map[LinkID][]runs.Start)
	for _, s := range out.Sends {
		list[s.Link] = append(list[s.Link], s.Msg.Starts...)
	}
	return list
}

// end reports the end of a run of job 1.
func (r *rig) end(now time.Time, agent int, index int, run uint32, how runs.How) Output {
	return r.endFor(now, agent, index, run, how, runs.NoReason)
}

func (r *rig) endFor(now time.Time, agent, index int, run uint32, how runs.How, reason runs.Reason) Output {
	k := runs.Key{Task: fmt.Sprintf("%s.0.0.%d", jobName(1), index), Run: run}
	r.Receive(now, LinkID(agent), &runs.ToEntry{Clock: now.UnixNano(), Ends: []runs.End{{Key: k, How: how, Reason: reason}}})
	return r.flush(now)
}

func TestSpreadsAJobOverTheRoomAndAnswersOnce(t *testing.T) {
	r := newRig(t, 2)
	got := started(r.submit(begin, 1, 6, 100*time.Millisecond))
	r.is.Equal(len(got[0]), 3)
	r.is.Equal(len(got[1]), 3)
	for agent, starts := range got {
		for _, s := range starts {
			r.Receive(after(100), agent, &runs.ToEntry{Ends: []runs.End{{Key: s.Key, How: runs.Done, Ran: 100 * time.Millisecond}}})
		}
	}
	r.flush(after(100))
	r.is.Equal(r.got, []Answer{{Request: 1, Kind: errkind.OK}})
	r.is.Equal(r.jobs.Len(), 0)
}

func TestRefusesAtOnceWhatCannotEndInTime(t *testing.T) {
	r := newRig(t, 1)
	r.settings.Policy = without(t, policy.Deferring)
	r.hear(begin, 0, func(m *runs.ToEntry) {
		m.Load.Free = room.Room{Memory: 1000}
		m.Load.Freeings = []runs.Freeing{{After: 200, CPU: 1000}}
	})
	out := r.submit(begin, 1, 1, 100*time.Millisecond) // its slack is 120 ms
	r.is.Equal(len(out.Sends), 0)
	r.is.Equal(r.got, []Answer{{Request: 1, Kind: errkind.Overloaded, RetryAfter: time.Second}})
}

func TestUrgentJobPassesWaitingWorkThatHasTime(t *testing.T) {
	busy := func(m *runs.ToEntry) {
		m.Load.Free = room.Room{Memory: 1000}
		m.Load.Freeings = []runs.Freeing{{After: 5, CPU: 1000}, {After: 100, CPU: 1000}, {After: 200, CPU: 1000}}
		m.Load.Waiting = []int{0, 0, 0, 1000, 1000}
	}
	r := newRig(t, 1)
	r.hear(begin, 0, busy)
	r.submit(begin, 1, 1, 60*time.Millisecond) // slack 96 ms: before what waits
	r.is.Equal(len(r.got), 0)
	r.hear(begin, 0, busy)
	r.submit(begin, 2, 1, 600*time.Millisecond) // slack 420 ms: behind it, 200 ms
	r.is.Equal(len(r.got), 0)
	r.hear(begin, 0, func(m *runs.ToEntry) { busy(m); m.Load.Waiting[0] = 3000 })
	r.settings.Policy = without(t, policy.Deferring)
	r.submit(begin, 3, 1, 60*time.Millisecond) // behind three as urgent
	r.is.Equal(r.got, []Answer{{Request: 3, Kind: errkind.Overloaded, RetryAfter: time.Second}})
}

func TestRefusalNeedsTheProofThatNothingBegan(t *testing.T) {
	for _, c := range []struct {
		how  runs.How
		want errkind.Kind
	}{{runs.Refused, errkind.Overloaded}, {runs.Stopped, errkind.DeadlineExceeded}} {
		r := newRig(t, 1)
		r.submit(begin, 1, 2, 100*time.Millisecond)
		r.pass(after(300))
		r.endFor(after(300), 0, 0, 1, runs.Refused, runs.Late)
		r.pass(after(700))
		out := r.endFor(after(700), 0, 0, 2, runs.Refused, runs.Late) // three objectives have passed
		r.is.Equal(len(r.got), 0)                                     // the other run may have begun
		r.is.Equal(len(out.Sends[0].Msg.Stops), 1)
		r.end(after(703), 0, 1, 1, c.how)
		r.is.Equal(len(r.got), 1)
		r.is.Equal(r.got[0].Kind, c.want)
	}
}

func TestAnswerOfAGivenUpJobIsNotHeldBack(t *testing.T) {
	r := newRig(t, 1)
	r.submit(begin, 1, 1, 100*time.Millisecond)
	for ms := 20; ms <= 1500; ms += 20 {
		r.Tick(after(ms))
		r.flush(after(ms))
	}
	r.is.Equal(len(r.got), 0)
	r.Tick(after(1520))
	r.Tick(after(1560))
	r.flush(after(1560))
	r.is.Equal(r.got, []Answer{{Request: 1, Kind: errkind.DeadlineExceeded}})
}

func TestTaskIsReplacedOnlyAfterItsRunIsOver(t *testing.T) {
	r := newRig(t, 2)
	out := r.submit(begin, 1, 1, 100*time.Millisecond)
	on := out.Sends[0].Link
	r.LinkDown(after(10), on)
	for ms := 20; ms <= 1280; ms += 20 {
		r.Tick(after(ms))
		r.is.Equal(len(started(r.flush(after(ms)))[1-on]), 0)
	}
	r.Tick(after(1320)) // both leases after the last message
	out = r.flush(after(1320))
	_ = out
	r.is.Equal(r.byTask[jobName(1)+".0.0.0"] == nil, true) // three objectives have passed: given up
	r.is.Equal(r.got[0].Kind, errkind.DeadlineExceeded)
}

func TestReconnectingAgentIsToldItsRuns(t *testing.T) {
	r := newRig(t, 1)
	r.submit(begin, 1, 1, 300*time.Millisecond)
	r.LinkDown(after(10), 0)
	r.LinkUp(after(60), 5)
	r.Receive(after(61), 5, &runs.ToEntry{Clock: 1, Worker: &runs.Worker{Agent: "a0"}})
	out := r.flush(after(61))
	r.is.Equal(len(out.Sends[0].Msg.Owned), 1)
	r.is.Equal(r.lost.Len(), 0)
}

func TestFailuresOnAFailingWorkerDoNotCount(t *testing.T) {
	r := newRig(t, 2)
	r.submit(begin, 1, 1, 100*time.Millisecond)
	r.hear(after(1), 0, func(m *runs.ToEntry) { m.Load.FailStreak = 5 })
	onSound := 0
	for run := 1; len(r.got) == 0 && run <= 10; run++ {
		agent := 0
		if r.byTask[jobName(1)+".0.0.0"].worker == workerID(1) {
			agent = 1
			onSound++
		}
		r.end(after(1+run), agent, 0, uint32(run), runs.Failed)
		r.is.Equal(len(r.got) > 0, onSound == queue.MaxAttempts)
	}
	r.is.Equal(r.got, []Answer{{Request: 1, Kind: errkind.TaskFailed}})
}

func TestSuspendedEntryGivesItsJobsUpAndRefusesWhatItReads(t *testing.T) {
	r := newRig(t, 1)
	r.submit(begin, 1, 1, 100*time.Millisecond)
	r.Tick(after(2000))
	r.submit(after(2000), 2, 1, 100*time.Millisecond)
	r.submit(after(2010), 1, 1, 100*time.Millisecond) // also one that is here still
	r.is.Equal(len(r.got), 3)
	r.is.Equal(r.got[0].Kind, errkind.FateUnknown)
	r.is.Equal(r.got[1].Kind, errkind.Draining)
	r.is.Equal(r.got[2].Kind, errkind.Draining)
}

func TestCallerThatLeavesHasItsRunsStopped(t *testing.T) {
	r := newRig(t, 1)
	r.submit(begin, 1, 2, 100*time.Millisecond)
	r.Cancel(after(10), 1)
	out := r.flush(after(10))
	r.is.Equal(len(out.Sends[0].Msg.Stops), 2)
	r.end(after(20), 0, 0, 1, runs.Stopped)
	r.end(after(20), 0, 1, 1, runs.Stopped)
	r.is.Equal(r.jobs.Len(), 0)
	r.is.Equal(len(r.got), 0)
}

func TestRepeatedSubmissionStartsNothingBesideARunThatEnds(t *testing.T) {
	r := newRig(t, 2)
	r.submit(begin, 1, 1, 100*time.Millisecond)
	r.Cancel(after(10), 1)
	r.flush(after(10))
	out := r.submit(after(11), 1, 1, 100*time.Millisecond)
	r.is.Equal(len(started(out)[0])+len(started(out)[1]), 0)
	out = r.end(after(60), 0, 0, 1, runs.Stopped)
	if r.byTask[jobName(1)+".0.0.0"].run == 1 {
		out = r.end(after(60), 1, 0, 1, runs.Stopped)
	}
	got := started(out)
	all := append(got[0], got[1]...)
	r.is.Equal(len(all), 1)
	r.is.Equal(all[0].Key.Run, uint32(2))
}

// crawl starts job 1 of one task, which its worker runs far too slowly. It returns where
// the run is.
func (r *rig) crawl() (on LinkID, k runs.Key) {
	out := r.submit(begin, 1, 1, 100*time.Millisecond)
	on = out.Sends[0].Link
	k = out.Sends[0].Msg.Starts[0].Key
	r.hear(after(100), int(on), func(m *runs.ToEntry) {
		m.Load.Slowness = 900
		m.Progress = []runs.Progress{{Key: k, Remaining: 5 * time.Second}}
	})
	return on, k
}

func TestRunOnACrawlingWorkerMovesAndTheWorkerIsShunned(t *testing.T) {
	r := newRig(t, 3)
	on, k := r.crawl()
	r.Tick(after(120))
	r.is.Equal(r.flush(after(120)).Sends[0].Msg.Moves, []runs.Key{k})
	out := r.end(after(130), int(on), 0, 1, runs.Stopped)
	r.is.Equal(len(started(out)[on]), 0)
}

func TestRunThatIsLongByItsOwnWorkStays(t *testing.T) {
	r := newRig(t, 3)
	out := r.submit(begin, 1, 1, 100*time.Millisecond)
	k := out.Sends[0].Msg.Starts[0].Key
	r.hear(after(100), int(out.Sends[0].Link), func(m *runs.ToEntry) {
		m.Progress = []runs.Progress{{Key: k, Remaining: time.Second}}
	})
	r.Tick(after(120))
	for _, s := range r.flush(after(120)).Sends {
		r.is.Equal(len(s.Msg.Stops), 0)
	}
}

func TestWaitingRunIsWithdrawnOnlyForRoomThatIsFreeNow(t *testing.T) {
	r := newRig(t, 1)
	out := r.submit(begin, 1, 1, 100*time.Millisecond)
	k := out.Sends[0].Msg.Starts[0].Key
	full := func(m *runs.ToEntry) {
		m.Load.Free = room.Room{Memory: 1000}
		m.Load.Freeings = []runs.Freeing{{After: 60, CPU: 4000}}
	}
	waits := func(m *runs.ToEntry) { full(m); m.Progress = []runs.Progress{{Key: k, Waiting: true}} }
	r.LinkUp(after(1), 1)
	r.hear(after(1), 1, func(m *runs.ToEntry) { full(m); m.Load.Freeings[0].After = 10 })
	r.hear(after(2), 0, waits)
	r.Tick(after(3))
	r.is.Equal(withdrawn(r.flush(after(3))), 0)
	r.hear(after(4), 1, nil)
	r.hear(after(4), 0, waits)
	r.Tick(after(5))
	r.is.Equal(withdrawn(r.flush(after(5))), 1)
}

func withdrawn(out Output) int {
	n := 0
	for _, s := range out.Sends {
		n += len(s.Msg.Withdraws)
	}
	return n
}

func TestStepWaitsForTheStepsBefore(t *testing.T) {
	r := newRig(t, 1)
	r.Submit(begin, &Request{
		ID: 1, Job: jobName(1), Queue: queue, Deadline: after(1500),
		Steps: []Step{{Count: 1, Need: need, Estimate: time.Millisecond}, {Count: 1, Need: need, Estimate: time.Millisecond, After: []int{0}}},
	})
	r.is.Equal(len(started(r.flush(begin))[0]), 1)
	out := r.end(after(5), 0, 0, 1, runs.Done)
	r.is.Equal(started(out)[0][0].Key.Task, jobName(1)+".0.1.0")
}

func TestLabelsAndAntiAffinityBindPlacement(t *testing.T) {
	r := newRig(t, 2)
	r.hear(begin, 1, func(m *runs.ToEntry) { m.Worker.Labels = []string{"big"} })
	r.Submit(begin, &Request{
		ID: 1, Job: jobName(1), Queue: queue, Deadline: after(1500),
		Steps: []Step{{Count: 3, Need: need, Estimate: time.Millisecond, Requires: "big", AntiAffinity: 2}},
	})
	got := started(r.flush(begin))
	r.is.Equal(len(got[0]), 0)
	r.is.Equal(len(got[1]), 2)
}

// TestTimeInTheEntryCountsAgainstTheObjective: a job that has waited in the process for
// longer than its slack is not taken as one that will be in time.
func TestTimeInTheEntryCountsAgainstTheObjective(t *testing.T) {
	r := newRig(t, 1)
	submit := func(id int, arrived time.Time) {
		r.Submit(after(200), &Request{
			ID: RequestID(id), Job: jobName(id), Queue: queue, Arrived: arrived, Deadline: after(1700),
			Steps: []Step{{Count: 1, Need: need, Estimate: 100 * time.Millisecond}},
		})
	}
	r.hear(after(200), 0, nil)
	submit(1, after(100)) // 120 ms of slack, 100 of them gone
	r.is.Equal(len(started(r.flush(after(200)))[0]), 1)
	submit(2, after(50))
	r.is.True(r.jobs.Get(jobName(2)).late)
	starts := started(r.flush(after(200)))[0]
	r.is.Equal(runs.SlackBand(starts[0].Slack), runs.SlackBands-1) // in room that is free, behind others
}

// TestEndToldByAnotherAgentIsNotThatOfTheRun: entries number the runs of a job each from
// 1, so that an agent may tell the end of a run that a former process of this entry had.
func TestEndToldByAnotherAgentIsNotThatOfTheRun(t *testing.T) {
	r := newRig(t, 2)
	out := r.submit(begin, 1, 1, 100*time.Millisecond)
	on := out.Sends[0].Link
	k := out.Sends[0].Msg.Starts[0].Key
	for _, held := range []bool{false, true} {
		r.Receive(after(10), 1-on, &runs.ToEntry{Clock: after(10).UnixNano(), Unowned: []runs.End{{Key: k, How: runs.Stopped, Held: held}}})
		out = r.flush(after(10))
		r.is.Equal(len(started(out)[0])+len(started(out)[1]), 0) // it would run beside the first
	}
	r.is.Equal(out.Sends[0].Msg.Noted, []runs.Key{k}) // the worker need not keep it
	r.end(after(20), int(on), 0, 1, runs.Done)
	r.is.Equal(r.got, []Answer{{Request: 1, Kind: errkind.OK}})
}

// TestCallerThatLeavesHasAMovingRunStopped: nobody waits for the end of the run any more.
func TestCallerThatLeavesHasAMovingRunStopped(t *testing.T) {
	r := newRig(t, 3)
	_, k := r.crawl()
	r.Tick(after(120))
	r.is.Equal(r.flush(after(120)).Sends[0].Msg.Moves, []runs.Key{k})
	r.Cancel(after(130), 1)
	r.is.Equal(r.flush(after(130)).Sends[0].Msg.Stops, []runs.Key{k})
}
