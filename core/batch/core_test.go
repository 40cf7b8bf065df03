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
	need  = room.Resources{CPU: 1000, Memory: 10}
	queue = &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
)

// after returns the time the given number of milliseconds after begin.
func after(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// harness is a core with agents that each have a worker of four cores.
type harness struct {
	*Core
	is *is.I
	// answers are all answers so far.
	answers []Answer
}

// newHarness returns a harness with registered agents 0, 1 and so on.
func newHarness(t *testing.T, agents int) *harness {
	h := &harness{is: is.New(t), Core: New(Settings{
		DataCentre: "d", OwnerLease: 400 * time.Millisecond, WorkerLease: 900 * time.Millisecond,
		HeartbeatInterval: 100 * time.Millisecond, IdleHeartbeatInterval: 500 * time.Millisecond, SilenceTimeout: time.Hour, SuspensionThreshold: 350 * time.Millisecond,
		SettleTime: 100 * time.Millisecond, RemoteFactor: 1.5, CrossDataCentreCost: 4 * time.Millisecond, Overhead: 10 * time.Millisecond,
	})}
	for i := range agents {
		h.LinkUp(begin, LinkID(i))
		h.receiveReport(begin, i, nil)
	}
	h.Flush(begin)
	return h
}

// advanceTo ticks the core until the given time.
func (h *harness) advanceTo(until time.Time) {
	for now := h.now; now.Before(until); now = now.Add(50 * time.Millisecond) {
		h.Tick(now)
		h.flush(now)
	}
}

func workerID(agent int) string { return fmt.Sprintf("w%d", agent) }

// receiveReport delivers a message of an agent with four free cores, changed by edit.
func (h *harness) receiveReport(now time.Time, agent int, edit func(*runs.ToEntry)) {
	msg := &runs.ToEntry{
		Clock: now.UnixNano(),
		Worker: &runs.Worker{
			ID: workerID(agent), Agent: fmt.Sprintf("a%d", agent), Service: "s", DataCentre: "d",
			Capacity: room.Resources{CPU: 4000, Memory: 1000},
		},
		Load: &runs.Load{Free: room.Resources{CPU: 4000, Memory: 1000}, Slowness: 100, StartsSeen: 1 << 40},
	}
	if edit != nil {
		edit(msg)
	}
	h.Receive(now, LinkID(agent), msg)
}

// submit submits a job of one step.
func (h *harness) submit(now time.Time, id int, tasks int, estimate time.Duration) Output {
	h.Submit(now, &Request{
		ID: RequestID(id), Job: jobName(id), Queue: queue, Spec: "x", Deadline: now.Add(1500 * time.Millisecond),
		Steps: []Step{{Count: tasks, Need: need, Estimate: estimate}},
	})
	return h.flush(now)
}

func jobName(id int) string { return fmt.Sprintf("%016x", id) }

// flush flushes the core and adds the answers to h.answers.
func (h *harness) flush(now time.Time) Output {
	out := h.Flush(now)
	h.answers = append(h.answers, out.Answers...)
	return out
}

// isRefusedForLoad verifies that the only answer so far refuses a request as not run, and tells when
// to come back: after a second at the mean.
func (h *harness) isRefusedForLoad(id RequestID) {
	h.is.Equal(len(h.answers), 1)
	a := h.answers[0]
	h.is.Equal(a.Request, id)
	h.is.Equal(a.Kind, errkind.Overloaded)
	h.is.True(a.RetryAfter >= 500*time.Millisecond && a.RetryAfter <= 2*time.Second)
}

// policyWithout returns the policy with all mechanisms but one.
func policyWithout(t *testing.T, m policy.Mechanism) policy.Policy {
	p, err := policy.Without(string(m))
	is.New(t).NoErr(err)
	return p
}

// startsByLink returns the starts in an output by link.
func startsByLink(out Output) map[LinkID][]runs.Start {
	list := make(map[LinkID][]runs.Start)
	for _, s := range out.Sends {
		list[s.Link] = append(list[s.Link], s.Msg.Starts...)
	}
	return list
}

// reportEnd reports the end of a run of job 1.
func (h *harness) reportEnd(now time.Time, agent int, index int, run uint32, outcome runs.Outcome) Output {
	return h.reportEndWithReason(now, agent, index, run, outcome, runs.ReasonNone)
}

// reportEndWithReason reports the end of a run of job 1 with a reason.
func (h *harness) reportEndWithReason(now time.Time, agent, index int, run uint32, outcome runs.Outcome, reason runs.Reason) Output {
	k := runs.Key{Task: fmt.Sprintf("%s.0.0.%d", jobName(1), index), Run: run}
	h.Receive(now, LinkID(agent), &runs.ToEntry{Clock: now.UnixNano(), Ends: []runs.End{{Key: k, Outcome: outcome, Reason: reason}}})
	return h.flush(now)
}

func TestJobIsSpreadOverWorkersAndAnsweredOnce(t *testing.T) {
	h := newHarness(t, 2)
	got := startsByLink(h.submit(begin, 1, 6, 100*time.Millisecond))
	h.is.Equal(len(got[0]), 3)
	h.is.Equal(len(got[1]), 3)
	for agent, starts := range got {
		for _, s := range starts {
			h.Receive(after(100), agent, &runs.ToEntry{Ends: []runs.End{{Key: s.Key, Outcome: runs.OutcomeDone, Ran: 100 * time.Millisecond}}})
		}
	}
	h.flush(after(100))
	h.is.Equal(h.answers, []Answer{{Request: 1, Kind: errkind.OK}})
	h.is.Equal(h.jobs.Len(), 0)
}

func TestJobThatCannotMeetItsObjectiveIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.settings.Policy = policyWithout(t, policy.Deferring)
	h.receiveReport(begin, 0, func(m *runs.ToEntry) {
		m.Load.Free = room.Resources{Memory: 1000}
		m.Load.ExpectedEnds = []runs.ExpectedEnd{{After: 200, CPU: 1000}}
	})
	out := h.submit(begin, 1, 1, 100*time.Millisecond) // its slack is 120 ms
	h.is.Equal(len(out.Sends), 0)
	h.isRefusedForLoad(1)
}

func TestUrgentJobOvertakesWaitingWorkWithMoreSlack(t *testing.T) {
	busy := func(m *runs.ToEntry) {
		m.Load.Free = room.Resources{Memory: 1000}
		m.Load.ExpectedEnds = []runs.ExpectedEnd{{After: 5, CPU: 1000}, {After: 100, CPU: 1000}, {After: 200, CPU: 1000}}
		m.Load.Waiting = []int{0, 0, 0, 1000, 1000}
	}
	h := newHarness(t, 1)
	h.receiveReport(begin, 0, busy)
	h.submit(begin, 1, 1, 60*time.Millisecond) // slack 96 ms: before the waiting work
	h.is.Equal(len(h.answers), 0)
	h.receiveReport(begin, 0, busy)
	h.submit(begin, 2, 1, 600*time.Millisecond) // slack 420 ms: behind the waiting work, which takes 200 ms
	h.is.Equal(len(h.answers), 0)
	h.receiveReport(begin, 0, func(m *runs.ToEntry) { busy(m); m.Load.Waiting[0] = 3000 })
	h.settings.Policy = policyWithout(t, policy.Deferring)
	h.submit(begin, 3, 1, 60*time.Millisecond) // behind three waiting cores of equal urgency
	h.isRefusedForLoad(3)
}

func TestRefusalRequiresProofThatNothingBegan(t *testing.T) {
	for _, c := range []struct {
		outcome runs.Outcome
		want    errkind.Kind
	}{{runs.OutcomeRefused, errkind.Overloaded}, {runs.OutcomeStopped, errkind.DeadlineExceeded}} {
		h := newHarness(t, 1)
		h.submit(begin, 1, 2, 100*time.Millisecond)
		h.advanceTo(after(300))
		h.reportEndWithReason(after(300), 0, 0, 1, runs.OutcomeRefused, runs.ReasonStartTimeout)
		h.advanceTo(after(700))
		out := h.reportEndWithReason(after(700), 0, 0, 2, runs.OutcomeRefused, runs.ReasonStartTimeout) // three objectives have passed
		h.is.Equal(len(h.answers), 0)                                                                   // the other run may have begun
		h.is.Equal(len(out.Sends[0].Msg.Stops), 1)
		h.reportEnd(after(703), 0, 1, 1, c.outcome)
		h.is.Equal(len(h.answers), 1)
		h.is.Equal(h.answers[0].Kind, c.want)
	}
}

func TestAnswerOfTimedOutJobIsSentAfterProofTimeout(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(begin, 1, 1, 100*time.Millisecond)
	for ms := 20; ms <= 1500; ms += 20 {
		h.Tick(after(ms))
		h.flush(after(ms))
	}
	h.is.Equal(len(h.answers), 0)
	h.Tick(after(1520))
	h.Tick(after(1560))
	h.flush(after(1560))
	h.is.Equal(h.answers, []Answer{{Request: 1, Kind: errkind.DeadlineExceeded}})
}

func TestTaskIsReplacedOnlyAfterItsRunIsOver(t *testing.T) {
	h := newHarness(t, 2)
	out := h.submit(begin, 1, 1, 100*time.Millisecond)
	on := out.Sends[0].Link
	h.LinkDown(after(10), on)
	for ms := 20; ms <= 1280; ms += 20 {
		h.Tick(after(ms))
		h.is.Equal(len(startsByLink(h.flush(after(ms)))[1-on]), 0)
	}
	h.Tick(after(1320)) // both leases after the last message
	out = h.flush(after(1320))
	_ = out
	h.is.Equal(h.byTask[jobName(1)+".0.0.0"] == nil, true) // three objectives have passed: given up
	h.is.Equal(h.answers[0].Kind, errkind.DeadlineExceeded)
}

func TestReconnectedAgentIsSentItsRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(begin, 1, 1, 300*time.Millisecond)
	h.LinkDown(after(10), 0)
	h.LinkUp(after(60), 5)
	h.Receive(after(61), 5, &runs.ToEntry{Clock: 1, Worker: &runs.Worker{Agent: "a0"}})
	out := h.flush(after(61))
	h.is.Equal(len(out.Sends[0].Msg.Owned), 1)
	h.is.Equal(h.lostAgents.Len(), 0)
}

func TestFailuresOnAFailingWorkerDoNotCount(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(begin, 1, 1, 100*time.Millisecond)
	h.receiveReport(after(1), 0, func(m *runs.ToEntry) { m.Load.FailStreak = 5 })
	onHealthy := 0
	for run := 1; len(h.answers) == 0 && run <= 10; run++ {
		agent := 0
		if h.byTask[jobName(1)+".0.0.0"].worker == workerID(1) {
			agent = 1
			onHealthy++
		}
		h.reportEnd(after(1+run), agent, 0, uint32(run), runs.OutcomeFailed)
		h.is.Equal(len(h.answers) > 0, onHealthy == queue.MaxAttempts)
	}
	h.is.Equal(h.answers, []Answer{{Request: 1, Kind: errkind.TaskFailed}})
}

func TestSuspendedEntryGivesUpItsJobsAndRefusesNewOnes(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(begin, 1, 1, 100*time.Millisecond)
	h.Tick(after(2000))
	h.submit(after(2000), 2, 1, 100*time.Millisecond)
	h.submit(after(2010), 1, 1, 100*time.Millisecond) // job 1 is still in the core
	h.is.Equal(len(h.answers), 3)
	h.is.Equal(h.answers[0].Kind, errkind.FateUnknown)
	h.is.Equal(h.answers[1].Kind, errkind.Draining)
	h.is.Equal(h.answers[2].Kind, errkind.Draining)
}

func TestRunsAreStoppedWhenTheCallerDisconnects(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(begin, 1, 2, 100*time.Millisecond)
	h.CancelRequest(after(10), 1)
	out := h.flush(after(10))
	h.is.Equal(len(out.Sends[0].Msg.Stops), 2)
	h.reportEnd(after(20), 0, 0, 1, runs.OutcomeStopped)
	h.reportEnd(after(20), 0, 1, 1, runs.OutcomeStopped)
	h.is.Equal(h.jobs.Len(), 0)
	h.is.Equal(len(h.answers), 0)
}

func TestResubmittedJobStartsOnlyAfterItsRunIsStopped(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(begin, 1, 1, 100*time.Millisecond)
	h.CancelRequest(after(10), 1)
	h.flush(after(10))
	out := h.submit(after(11), 1, 1, 100*time.Millisecond)
	h.is.Equal(len(startsByLink(out)[0])+len(startsByLink(out)[1]), 0)
	out = h.reportEnd(after(60), 0, 0, 1, runs.OutcomeStopped)
	if h.byTask[jobName(1)+".0.0.0"].run == 1 {
		out = h.reportEnd(after(60), 1, 0, 1, runs.OutcomeStopped)
	}
	got := startsByLink(out)
	all := append(got[0], got[1]...)
	h.is.Equal(len(all), 1)
	h.is.Equal(all[0].Key.Run, uint32(2))
}

// startOnSlowWorker starts job 1 of one task, whose worker then reports that it is nine times too
// slow. It returns the link and the key of the run.
func (h *harness) startOnSlowWorker() (on LinkID, k runs.Key) {
	out := h.submit(begin, 1, 1, 100*time.Millisecond)
	on = out.Sends[0].Link
	k = out.Sends[0].Msg.Starts[0].Key
	h.receiveReport(after(100), int(on), func(m *runs.ToEntry) {
		m.Load.Slowness = 900
		m.Progress = []runs.Progress{{Key: k, Remaining: 5 * time.Second}}
	})
	return on, k
}

func TestRunMovesAwayFromVerySlowWorkerWhichIsEjected(t *testing.T) {
	h := newHarness(t, 3)
	on, k := h.startOnSlowWorker()
	h.Tick(after(120))
	h.is.Equal(h.flush(after(120)).Sends[0].Msg.Moves, []runs.Key{k})
	out := h.reportEnd(after(130), int(on), 0, 1, runs.OutcomeStopped)
	h.is.Equal(len(startsByLink(out)[on]), 0)
}

func TestLongRunOnNormalWorkerIsNotMoved(t *testing.T) {
	h := newHarness(t, 3)
	out := h.submit(begin, 1, 1, 100*time.Millisecond)
	k := out.Sends[0].Msg.Starts[0].Key
	h.receiveReport(after(100), int(out.Sends[0].Link), func(m *runs.ToEntry) {
		m.Progress = []runs.Progress{{Key: k, Remaining: time.Second}}
	})
	h.Tick(after(120))
	for _, s := range h.flush(after(120)).Sends {
		h.is.Equal(len(s.Msg.Stops), 0)
	}
}

func TestStepWaitsForItsDependencies(t *testing.T) {
	h := newHarness(t, 1)
	h.Submit(begin, &Request{
		ID: 1, Job: jobName(1), Queue: queue, Deadline: after(1500),
		Steps: []Step{{Count: 1, Need: need, Estimate: time.Millisecond}, {Count: 1, Need: need, Estimate: time.Millisecond, After: []int{0}}},
	})
	h.is.Equal(len(startsByLink(h.flush(begin))[0]), 1)
	out := h.reportEnd(after(5), 0, 0, 1, runs.OutcomeDone)
	h.is.Equal(startsByLink(out)[0][0].Key.Task, jobName(1)+".0.1.0")
}

func TestPlacementRespectsLabelsAndAntiAffinity(t *testing.T) {
	h := newHarness(t, 2)
	h.receiveReport(begin, 1, func(m *runs.ToEntry) { m.Worker.Labels = []string{"big"} })
	h.Submit(begin, &Request{
		ID: 1, Job: jobName(1), Queue: queue, Deadline: after(1500),
		Steps: []Step{{Count: 3, Need: need, Estimate: time.Millisecond, Requires: "big", AntiAffinity: 2}},
	})
	got := startsByLink(h.flush(begin))
	h.is.Equal(len(got[0]), 0)
	h.is.Equal(len(got[1]), 2)
}

// TestTimeInTheEntryCountsAgainstTheObjective verifies that a job which has waited in the process
// for longer than its slack is not admitted as one that is in time.
func TestTimeInTheEntryCountsAgainstTheObjective(t *testing.T) {
	h := newHarness(t, 1)
	submit := func(id int, arrived time.Time) {
		h.Submit(after(200), &Request{
			ID: RequestID(id), Job: jobName(id), Queue: queue, Arrived: arrived, Deadline: after(1700),
			Steps: []Step{{Count: 1, Need: need, Estimate: 100 * time.Millisecond}},
		})
	}
	h.receiveReport(after(200), 0, nil)
	submit(1, after(100)) // 120 ms of slack, of which 100 are used up
	h.is.Equal(len(startsByLink(h.flush(after(200)))[0]), 1)
	submit(2, after(50))
	h.is.True(h.jobs.Get(jobName(2)).pastObjective)
	starts := startsByLink(h.flush(after(200)))[0]
	h.is.Equal(runs.SlackBand(starts[0].Slack), runs.SlackBands-1) // deferred: behind all others
}

// TestEndReportedByAnotherAgentDoesNotEndTheRun covers keys that name two runs. Entries number the
// runs of a job independently, each from 1, so an agent may report the end of a run that a previous
// process of this entry started.
func TestEndReportedByAnotherAgentDoesNotEndTheRun(t *testing.T) {
	h := newHarness(t, 2)
	out := h.submit(begin, 1, 1, 100*time.Millisecond)
	on := out.Sends[0].Link
	k := out.Sends[0].Msg.Starts[0].Key
	for _, held := range []bool{false, true} {
		h.Receive(after(10), 1-on, &runs.ToEntry{Clock: after(10).UnixNano(), UnownedEnds: []runs.End{{Key: k, Outcome: runs.OutcomeStopped, NeedsAck: held}}})
		out = h.flush(after(10))
		h.is.Equal(len(startsByLink(out)[0])+len(startsByLink(out)[1]), 0) // a second run would run beside the first
	}
	h.is.Equal(out.Sends[0].Msg.AckedEnds, []runs.Key{k}) // the worker need not keep the end
	h.reportEnd(after(20), int(on), 0, 1, runs.OutcomeDone)
	h.is.Equal(h.answers, []Answer{{Request: 1, Kind: errkind.OK}})
}

// TestMovingRunIsStoppedWhenTheCallerDisconnects verifies that a pending move becomes a stop, as
// the task will not start again.
func TestMovingRunIsStoppedWhenTheCallerDisconnects(t *testing.T) {
	h := newHarness(t, 3)
	_, k := h.startOnSlowWorker()
	h.Tick(after(120))
	h.is.Equal(h.flush(after(120)).Sends[0].Msg.Moves, []runs.Key{k})
	h.CancelRequest(after(130), 1)
	h.is.Equal(h.flush(after(130)).Sends[0].Msg.Stops, []runs.Key{k})
}
