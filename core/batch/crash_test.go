package batch

import (
	"fmt"
	"testing"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire/runs"
)

// reportLoss reports that a run ended because its worker was lost.
func (h *harness) reportLoss(ms, agent, id, index int, run uint32, reason runs.Reason, suspect bool) Output {
	k := runs.Key{Task: fmt.Sprintf("%s.0.0.%d", jobName(id), index), Run: run}
	h.Receive(after(ms), LinkID(agent), &runs.ToEntry{Clock: after(ms).UnixNano(), Ends: []runs.End{
		{Key: k, Outcome: runs.OutcomeStopped, Reason: reason, Suspect: suspect},
	}})
	return h.flush(after(ms))
}

// onlyStart returns the start in an output and the agent that it was sent to.
func (h *harness) onlyStart(out Output) (int, runs.Start) {
	for link, list := range startsByLink(out) {
		if len(list) > 0 {
			return int(link), list[0]
		}
	}
	h.is.Fail()
	return 0, runs.Start{}
}

func TestTaskIsGivenUpAfterTwoBlamedCrashes(t *testing.T) {
	h := newHarness(t, 4)
	at, s := h.onlyStart(h.submit(begin, 1, 1, after(0).Sub(begin)+100e6))
	h.is.Equal(s.Isolation, runs.IsolationNone)
	at, s = h.onlyStart(h.reportLoss(20, at, 1, 0, s.Key.Run, runs.ReasonWorkerCrashed, true))
	h.is.Equal(s.Isolation, runs.IsolationFromSuspects)
	h.reportLoss(40, at, 1, 0, s.Key.Run, runs.ReasonWorkerCrashed, true)
	h.is.Equal(len(h.answers), 1)
	h.is.Equal(h.answers[0].Kind, errkind.TaskFailed)
}

func TestTaskBesideTheCauseOfACrashIsNotBlamed(t *testing.T) {
	h := newHarness(t, 4)
	at, s := h.onlyStart(h.submit(begin, 1, 1, 100e6))
	for n := range 3 {
		at, s = h.onlyStart(h.reportLoss(20+10*n, at, 1, 0, s.Key.Run, runs.ReasonWorkerCrashed, false))
	}
	h.is.Equal(len(h.answers), 0)
	h.is.Equal(s.Isolation, runs.IsolationExclusive) // so that the next loss shows the cause
}

// TestJobsDoNotFailForASharedCrash covers jobs that lose their workers at the same time, which has
// a cause other than the jobs.
func TestJobsDoNotFailForASharedCrash(t *testing.T) {
	h := newHarness(t, 8)
	type sent struct {
		at  int
		run uint32
	}
	jobs := make([]sent, 6)
	for i := range jobs {
		at, s := h.onlyStart(h.submit(begin, i+1, 1, 100e6))
		jobs[i] = sent{at, s.Key.Run}
	}
	for round := range 2 {
		for i := range jobs {
			at, s := h.onlyStart(h.reportLoss(100+200*round+i, jobs[i].at, i+1, 0, jobs[i].run, runs.ReasonWorkerCrashed, true))
			jobs[i] = sent{at, s.Key.Run}
		}
	}
	for _, a := range h.answers {
		h.is.True(a.Kind != errkind.TaskFailed)
	}
	blamed := 0
	for j := range h.jobs.Values() {
		blamed += j.steps[0].tasks[0].blamedCrashes
	}
	h.is.True(blamed <= sharedCrashWorkers) // only the first ones, before enough losses count as shared
}

func TestBlamedTaskIsKnownToOtherEntries(t *testing.T) {
	h, other := newHarness(t, 4), newHarness(t, 4)
	at, s := h.onlyStart(h.submit(begin, 1, 1, 100e6))
	out := h.reportLoss(20, at, 1, 0, s.Key.Run, runs.ReasonWorkerCrashed, true)
	h.is.Equal(out.Suspects, []runs.Suspect{{Task: s.Key.Task, LostWorkers: 1, BlamedCrashes: 1}})
	other.MergeSuspects(begin, out.Suspects)
	other.is.Equal(other.flush(begin).Suspects, out.Suspects) // forwarded
	other.MergeSuspects(begin, out.Suspects)
	other.is.Equal(len(other.flush(begin).Suspects), 0) // only once
	at, s = other.onlyStart(other.submit(begin, 1, 1, 100e6))
	other.is.Equal(s.Isolation, runs.IsolationFromSuspects)
	other.reportLoss(20, at, 1, 0, s.Key.Run, runs.ReasonWorkerCrashed, true)
	other.is.Equal(other.answers[0].Kind, errkind.TaskFailed)
	other.submit(after(50), 1, 1, 100e6) // the caller submits it again nevertheless
	other.is.Equal(other.answers[1].Kind, errkind.TaskFailed)
}

func TestSuspectsAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	var list []runs.Suspect
	for n := range 3 * maxSuspects {
		list = append(list, runs.Suspect{Task: fmt.Sprint(n), LostWorkers: 1, BlamedCrashes: 1})
	}
	h.MergeSuspects(begin, list)
	h.is.Equal(h.crashes.suspects.Len(), maxSuspects)
}

// TestCrashesOfADurableTaskAreRecorded verifies that an entry which takes the job over continues
// the counts.
func TestCrashesOfADurableTaskAreRecorded(t *testing.T) {
	h := newHarness(t, 4)
	at, s := h.onlyStart(h.own(begin, 1, 1, nil))
	out := h.reportLoss(20, at, 1, 0, s.Key.Run, runs.ReasonWorkerCrashed, true)
	h.is.Equal(out.Records[0].Progress, []TaskProgress{{Abandoned: 1, LostWorkers: 1, BlamedCrashes: 1, CrashedRuns: []uint32{1}}})

	next := newHarness(t, 4)
	at, s = next.onlyStart(next.own(begin, 1, 1, func(d *DurableJob) { d.Progress = out.Records[0].Progress }))
	next.is.Equal(s.Isolation, runs.IsolationFromSuspects)
	next.reportLoss(20, at, 1, 0, s.Key.Run, runs.ReasonWorkerCrashed, true)
	state, _ := next.jobs.Get(jobName(1)).durable.state, true
	next.is.Equal(state, JobFailed)
}

// TestDurableTaskDoesNotFailForUnreachableWorkers verifies that unreachable workers, which may have
// been cut off, do not fail a job. Once its task may have had the allowed number of starts, it
// waits for a crash report.
func TestDurableTaskDoesNotFailForUnreachableWorkers(t *testing.T) {
	h := newHarness(t, 4)
	at, s := h.onlyStart(h.own(begin, 1, 1, nil))
	sent := []runs.Key{s.Key}
	for n := range 3 {
		h.reportLoss(20+50*n, at, 1, 0, s.Key.Run, runs.ReasonLeaseExpired, true)
		h.RecordStored(after(30+50*n), jobName(1), h.jobs.Get(jobName(1)).durable.seq)
		h.Tick(after(40 + 50*n))
		at, s = h.onlyStart(h.flush(after(40 + 50*n)))
		sent = append(sent, s.Key)
	}
	h.is.Equal(s.Isolation, runs.IsolationExclusive)
	h.reportLoss(300, at, 1, 0, s.Key.Run, runs.ReasonLeaseExpired, true)
	h.RecordStored(after(310), jobName(1), h.jobs.Get(jobName(1)).durable.seq)
	h.Tick(after(320))
	for _, list := range startsByLink(h.flush(after(320))) {
		h.is.Equal(len(list), 0)
	}
	h.is.Equal(h.jobs.Get(jobName(1)).ended, false)
	for _, k := range sent[:2] { // two have crashed after all
		h.Receive(after(400), 0, &runs.ToEntry{Ends: []runs.End{{Key: k, Outcome: runs.OutcomeGone, Reason: runs.ReasonWorkerCrashed, Suspect: true}}})
	}
	h.is.Equal(h.jobs.Get(jobName(1)).durable.state, JobFailed)
}

func TestSuspectDoesNotTakeTheLastFreeWorker(t *testing.T) {
	h := newHarness(t, 3)
	at, s := h.onlyStart(h.submit(begin, 1, 1, 100e6))
	full := func(m *runs.ToEntry) { m.Load.Free.CPU = 0 }
	h.receiveReport(after(5), (at+1)%3, full)
	h.receiveReport(after(5), (at+2)%3, full)
	h.reportLoss(20, at, 1, 0, s.Key.Run, runs.ReasonWorkerCrashed, false)
	out := h.reportLoss(40, at, 1, 0, s.Key.Run+1, runs.ReasonWorkerCrashed, false)
	for _, list := range startsByLink(out) {
		h.is.Equal(len(list), 0)
	}
	h.receiveReport(after(60), (at+1)%3, nil)
	_, s = h.onlyStart(h.flush(after(60)))
	h.is.Equal(s.Isolation, runs.IsolationExclusive)
}

// TestCrashLimitRisesWithLossesOfOtherWorkers covers crashes that may be coincidence because other
// workers are lost too, even if these ran nothing of this entry.
func TestCrashLimitRisesWithLossesOfOtherWorkers(t *testing.T) {
	h := newHarness(t, 8)
	at, s := h.onlyStart(h.submit(begin, 1, 1, 100e6))
	for n := range 2 {
		other := (at + 1 + n) % 8
		h.receiveReport(after(5), other, func(m *runs.ToEntry) { m.Worker.ID = "" })
	}
	for n := range lostWorkerLimit {
		h.is.Equal(len(h.answers), 0)
		out := h.reportLoss(20+30*n, at, 1, 0, s.Key.Run, runs.ReasonWorkerCrashed, true)
		if n < lostWorkerLimit-1 {
			at, s = h.onlyStart(out)
		}
	}
	h.is.Equal(h.answers[0].Kind, errkind.TaskFailed)
}

// TestDrainingWorkerIsNotCountedAsLost covers the end of a worker that has announced to drain.
func TestDrainingWorkerIsNotCountedAsLost(t *testing.T) {
	h := newHarness(t, 4)
	h.receiveReport(after(5), 0, func(m *runs.ToEntry) { m.Worker.Draining = true })
	h.receiveReport(after(9), 0, func(m *runs.ToEntry) { m.Worker.ID = "" })
	h.is.Equal(h.crashes.countOtherLosses(after(10), "j", recentLossWindow), 0)
}

// TestCrashesOfADurableTaskAreKnownAfterATakeover: the previous owner was lost before it had stored
// them.
func TestCrashesOfADurableTaskAreKnownAfterATakeover(t *testing.T) {
	h := newHarness(t, 4)
	task := jobName(1) + ".0.0.0"
	h.MergeSuspects(after(1), []runs.Suspect{{Task: task, LostWorkers: 3, BlamedCrashes: 1}})
	h.ConfirmOwnership(h.now, after(5000))
	h.RunDurable(after(2), &DurableJob{Job: jobName(1), Queue: queue, Steps: []Step{{Count: 1, Need: need, Estimate: 100 * time.Millisecond}}})
	h.is.Equal(h.byTask[task].lostWorkers, 3)
	h.is.Equal(h.byTask[task].isolation(), runs.IsolationExclusive)
}

// TestCrashReportedBeforeATakeoverIsCounted guards against a task that goes on crashing workers since
// its owner was lost before it had heard of the first crashes.
func TestCrashReportedBeforeATakeoverIsCounted(t *testing.T) {
	cases := []struct {
		stored []uint32 // the runs whose crash the previous owner has stored
		lost   int
	}{{nil, 2}, {[]uint32{2}, 2}, {[]uint32{1, 2}, 2}, {[]uint32{7}, 3}}
	for _, c := range cases {
		h := newHarness(t, 4)
		for _, run := range []uint32{1, 2, 2} { // the last one is reported by two links
			h.reportLoss(10, 0, 1, 0, run, runs.ReasonWorkerCrashed, false)
		}
		h.own(after(20), 1, 1, func(d *DurableJob) {
			d.Epoch, d.SafeAt = 2, after(1000)
			d.Progress = []TaskProgress{{LostWorkers: len(c.stored), CrashedRuns: c.stored}}
		})
		task := h.byTask[TaskName(jobName(1), 0, 0)]
		h.is.Equal(task.lostWorkers, c.lost)
		if c.lost > len(c.stored) {
			h.is.Equal(h.collectRecords(after(30))[0].Progress[0].LostWorkers, c.lost)
		}
	}
}

// loseTwice has a durable task of one job lose two workers that become unreachable. It returns its last worker.
func loseTwice(h *harness) (task *task, last int) {
	at, s := h.onlyStart(h.own(begin, 1, 1, nil))
	h.reportLoss(20, at, 1, 0, s.Key.Run, runs.ReasonLeaseExpired, true)
	h.RecordStored(after(30), jobName(1), h.jobs.Get(jobName(1)).durable.seq)
	h.Tick(after(40))
	last, s = h.onlyStart(h.flush(after(40)))
	for n := range h.agents.Len() {
		h.receiveReport(after(45), n, func(m *runs.ToEntry) {
			m.Load.Free.CPU -= 1000 // no worker is empty
			if n == at || n == last {
				m.Worker.ID = "" // out of reach
			}
		})
	}
	h.reportLoss(50, last, 1, 0, s.Key.Run, runs.ReasonLeaseExpired, true)
	h.RecordStored(after(60), jobName(1), h.jobs.Get(jobName(1)).durable.seq)
	h.Tick(after(70))
	h.flush(after(70))
	return h.byTask[TaskName(jobName(1), 0, 0)], last
}

// TestTaskOfWorkersThatWereSilentIsNoSuspect guards against a sound task that waits for an empty worker for good, as
// two workers became unreachable under it.
func TestTaskOfWorkersThatWereSilentIsNoSuspect(t *testing.T) {
	h := newHarness(t, 5)
	task, last := loseTwice(h)
	h.is.Equal(task.isolation(), runs.IsolationExclusive)
	h.receiveReport(after(200), last, func(m *runs.ToEntry) { m.Worker.ID = "another incarnation" })
	h.is.Equal(task.isolation(), runs.IsolationExclusive) // it may have crashed
	h.receiveReport(after(300), last, nil)                // it has not
	h.is.Equal(task.isolation(), runs.IsolationNone)
	h.is.Equal(h.crashes.unreachable.Len(), 1) // the other worker
}

// TestSuspicionOfUnreachableWorkersEnds has workers that stay away, and a previous owner's, which are not known.
func TestSuspicionOfUnreachableWorkersEnds(t *testing.T) {
	h := newHarness(t, 5)
	task, _ := loseTwice(h)
	h.own(after(80), 2, 1, func(d *DurableJob) { d.Progress = []TaskProgress{{Run: 2, UnreachableWorkers: 3}} })
	restored := h.byTask[TaskName(jobName(2), 0, 0)]
	h.is.Equal(restored.isolation(), runs.IsolationExclusive)
	h.ConfirmOwnership(after(80), after(20_000))
	h.advanceTo(after(80 + int(crashReportTimeout.Milliseconds()) - 100))
	h.is.Equal(restored.isolation(), runs.IsolationExclusive)
	h.advanceTo(after(80 + int(crashReportTimeout.Milliseconds()) + 200))
	h.is.Equal(task.isolation(), runs.IsolationNone)
	h.is.Equal(restored.isolation(), runs.IsolationNone)
	h.is.Equal(h.crashes.unreachable.Len(), 0)
}
