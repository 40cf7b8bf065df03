package batch

import (
	"fmt"
	"testing"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// own gives the core a durable job of one step.
func (h *harness) own(now time.Time, id, tasks int, edit func(*DurableJob)) Output {
	d := &DurableJob{Job: jobName(id), Queue: queue, Spec: "x", Steps: []Step{{Count: tasks, Need: need, Estimate: 100 * time.Millisecond}}}
	if edit != nil {
		edit(d)
	}
	h.ConfirmOwnership(now, now.Add(5*time.Second))
	h.RunDurable(now, d)
	return h.flush(now)
}

// reportHeldEnd reports the held end of a run.
func (h *harness) reportHeldEnd(now time.Time, agent, id, index int, run uint32, outcome runs.Outcome) Output {
	k := runs.Key{Task: fmt.Sprintf("%s.0.0.%d", jobName(id), index), Run: run}
	h.Receive(now, LinkID(agent), &runs.ToEntry{Clock: now.UnixNano(), Ends: []runs.End{{Key: k, Outcome: outcome, NeedsAck: true}}})
	return h.flush(now)
}

// collectRecords returns the records of the next 250 ms.
func (h *harness) collectRecords(now time.Time) []Record {
	var list []Record
	for ms := 0; ms <= 250; ms += 50 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		h.Tick(at)
		list = append(list, h.flush(at).Records...)
	}
	return list
}

// ackedAndVoidKeys returns the runs whose ends an output acknowledges or declares void.
func ackedAndVoidKeys(out Output) (acked, void []runs.Key) {
	for _, s := range out.Sends {
		acked = append(acked, s.Msg.AckedEnds...)
		void = append(void, s.Msg.VoidEnds...)
	}
	return acked, void
}

func TestDurableEndIsAcknowledgedOnceItIsStored(t *testing.T) {
	h := newHarness(t, 1)
	starts := startsByLink(h.own(begin, 1, 1, nil))[0]
	h.is.Equal(starts[0].Durable, true)
	out := h.reportHeldEnd(after(100), 0, 1, 0, 1, runs.OutcomeDone)
	h.is.Equal(out.Records, []Record{{Job: jobName(1), Seq: 1, State: JobDone, Progress: []TaskProgress{{Done: true, Run: 1}}}})
	acked, _ := ackedAndVoidKeys(out)
	h.is.Equal(len(acked), 0)
	state, _ := h.DurableState(jobName(1))
	h.is.Equal(state, JobRunning) // not shown as done before it is stored
	h.RecordStored(after(110), jobName(1), 1)
	acked, _ = ackedAndVoidKeys(h.flush(after(110)))
	h.is.Equal(acked, []runs.Key{starts[0].Key})
	state, _ = h.DurableState(jobName(1))
	h.is.Equal(state, JobDone)
	// The agent's link broke before it received the acknowledgement: it reports the end again.
	acked, _ = ackedAndVoidKeys(h.reportHeldEnd(after(200), 0, 1, 0, 1, runs.OutcomeDone))
	h.is.Equal(len(acked), 1)
}

func TestDurableJobSurvivesTheDisconnectOfItsCaller(t *testing.T) {
	h := newHarness(t, 1)
	h.own(begin, 1, 1, nil)
	h.CancelRequest(after(10), 1) // requests of awaited jobs do not affect it
	h.is.Equal(h.CancelJob(after(10), jobName(1)), false)
	h.advanceTo(after(3000)) // neither does a deadline
	state, here := h.DurableState(jobName(1))
	h.is.True(here)
	h.is.Equal(state, JobRunning)
}

func TestEndOfAnEarlierRunIsVoidOnceItsTaskWasStartedAgain(t *testing.T) {
	h := newHarness(t, 2)
	first := startsByLink(h.own(begin, 1, 1, nil))
	at := 0
	if len(first[1]) > 0 {
		at = 1
	}
	h.LinkDown(after(10), LinkID(at))
	h.advanceTo(after(1500)) // both leases have expired: the task starts on the other worker
	h.LinkUp(after(1500), 7)
	h.receiveReport(after(1500), 7, func(m *runs.ToEntry) { m.Worker.Agent = fmt.Sprintf("a%d", at) })
	acked, void := ackedAndVoidKeys(h.reportHeldEnd(after(1510), 7, 1, 0, 1, runs.OutcomeDone))
	h.is.Equal(len(acked), 0)
	h.is.Equal(len(void), 1)
}

func TestTakenOverJobWaitsForItsPreviousOwner(t *testing.T) {
	h := newHarness(t, 1)
	takenOver := func(d *DurableJob) { d.Epoch, d.SafeAt = 2, after(1000) }
	h.is.Equal(len(startsByLink(h.own(begin, 1, 2, takenOver))), 0)
	h.advanceTo(after(450))
	// Ends are accepted at once, but nothing starts.
	out := h.reportHeldEnd(after(500), 0, 1, 0, 3, runs.OutcomeDone)
	h.is.Equal(len(startsByLink(out)[0]), 0)
	// Nothing starts before it is stored that this owner starts tasks.
	var records []Record
	for ms := 550; ms <= 1500; ms += 50 {
		h.Tick(after(ms))
		out = h.flush(after(ms))
		h.is.Equal(len(startsByLink(out)[0]), 0)
		for _, r := range out.Records {
			h.is.True(r.StartedEpoch == 0 || ms >= 1000)
			records = append(records, r)
		}
	}
	last := records[len(records)-1]
	h.is.Equal(last.StartedEpoch, uint64(2))
	h.RecordStored(after(1510), jobName(1), last.Seq)
	starts := startsByLink(h.flush(after(1510)))[0]
	h.is.Equal(len(starts), 1)
	h.is.Equal(starts[0].Key.Task, TaskName(jobName(1), 0, 1))
	h.is.True(starts[0].Key.Run > maxRunsInEpoch) // the previous owner's run numbers are not known
}

// loseAgent breaks the link to an agent and lets both leases expire. It returns the records.
func (h *harness) loseAgent(agent int) []Record {
	h.LinkDown(after(10), LinkID(agent))
	var records []Record
	for ms := 50; ms <= 1500; ms += 50 {
		h.Tick(after(ms))
		records = append(records, h.flush(after(ms)).Records...)
	}
	return records
}

func TestAbandonedRunIsRecordedBeforeItsTaskStartsAgain(t *testing.T) {
	h := newHarness(t, 2)
	first := startsByLink(h.own(begin, 1, 1, nil))
	at := 0
	if len(first[1]) > 0 {
		at = 1
	}
	records := h.loseAgent(at)
	last := records[len(records)-1]
	h.is.Equal(last.Progress, []TaskProgress{{Abandoned: 1}})
	h.is.Equal(h.byTask[TaskName(jobName(1), 0, 0)].state, taskWaiting)
	h.RecordStored(after(1510), jobName(1), last.Seq)
	h.is.Equal(len(startsByLink(h.flush(after(1510)))[LinkID(1-at)]), 1)
}

func TestEndOfAnAbandonedRunIsVoidAfterATakeover(t *testing.T) {
	h := newHarness(t, 1)
	h.own(begin, 1, 1, func(d *DurableJob) {
		d.SafeAt = after(1000)
		d.Progress = []TaskProgress{{Abandoned: 2}}
	})
	acked, void := ackedAndVoidKeys(h.reportHeldEnd(after(500), 0, 1, 0, 2, runs.OutcomeDone))
	h.is.Equal(len(acked), 0)
	h.is.Equal(len(void), 1)
}

// TestEndOfAnEarlierEpochIsVoidOnceALaterOwnerHasStarted guards against a task that counts as done by
// a run of the first owner although the second one has started it again.
func TestEndOfAnEarlierEpochIsVoidOnceALaterOwnerHasStarted(t *testing.T) {
	second := newHarness(t, 1)
	second.own(begin, 1, 1, func(d *DurableJob) { d.Epoch = 2 })
	starts, records := second.storeRecords(after(10))
	second.is.Equal(len(starts), 1)
	stored := records[len(records)-1]

	third := newHarness(t, 1)
	third.own(begin, 1, 1, func(d *DurableJob) {
		d.Epoch, d.SafeAt, d.StartedEpoch, d.Progress = 3, after(1000), stored.StartedEpoch, stored.Progress
	})
	_, void := ackedAndVoidKeys(third.reportHeldEnd(after(500), 0, 1, 0, 1, runs.OutcomeDone))
	third.is.Equal(len(void), 1)
	third.reportHeldEnd(after(510), 0, 1, 0, starts[0].Key.Run, runs.OutcomeDone)
	third.is.Equal(third.jobs.Get(jobName(1)).openTasks, 0) // the second owner's run counts
}

func TestJobIsDisownedWhenItsOwnershipIsNotConfirmed(t *testing.T) {
	h := newHarness(t, 1)
	starts := startsByLink(h.own(begin, 1, 1, nil))[0]
	h.settings.SuspensionThreshold = time.Hour
	h.Tick(after(5100))
	out := h.flush(after(5100))
	h.is.Equal(out.OwnershipExpired, []string{jobName(1)})
	h.is.Equal(out.Sends[0].Msg.Stops, []runs.Key{starts[0].Key})
	out = h.reportHeldEnd(after(5150), 0, 1, 0, 1, runs.OutcomeStopped)
	acked, void := ackedAndVoidKeys(out)
	h.is.Equal(len(acked)+len(void)+len(out.Records), 0) // left to the next owner
}

// TestReacquiredJobThatIsNoLongerToRunDoesNotStart guards against a job that starts although it was
// cancelled, or taken over by another entry, while runs from before it was disowned were ending.
func TestReacquiredJobThatIsNoLongerToRunDoesNotStart(t *testing.T) {
	for _, stop := range []func(c *Core, now time.Time, name string){(*Core).CancelDurable, (*Core).StopLost} {
		h := newHarness(t, 1)
		first := startsByLink(h.own(begin, 1, 1, nil))[0][0]
		h.StopLost(after(100), jobName(1))
		h.own(after(200), 1, 1, func(d *DurableJob) { d.Epoch = 2 })
		stop(h.Core, after(300), jobName(1))
		h.reportHeldEnd(after(400), 0, 1, 0, first.Key.Run, runs.OutcomeStopped)
		starts, _ := h.storeRecords(after(410))
		h.is.Equal(len(starts), 0)
		_, owned := h.DurableState(jobName(1))
		h.is.Equal(owned, false)
	}
}

func TestCancelledJobStopsAndNeedsNoRecord(t *testing.T) {
	h := newHarness(t, 1)
	starts := startsByLink(h.own(begin, 1, 1, nil))[0]
	h.CancelDurable(after(10), jobName(1))
	h.is.Equal(h.flush(after(10)).Sends[0].Msg.Stops, []runs.Key{starts[0].Key})
	out := h.reportHeldEnd(after(50), 0, 1, 0, 1, runs.OutcomeStopped)
	acked, _ := ackedAndVoidKeys(out)
	h.is.Equal(len(acked), 1)
	h.is.Equal(len(out.Records), 0)
}

func TestDurableTaskFailsAfterMaxAttempts(t *testing.T) {
	h := newHarness(t, 1)
	h.own(begin, 1, 1, nil)
	h.reportHeldEnd(after(50), 0, 1, 0, 1, runs.OutcomeFailed)
	h.receiveReport(after(60), 0, func(m *runs.ToEntry) { m.Load.FailStreak = 1 })
	h.flush(after(60))
	records := append(h.reportHeldEnd(after(150), 0, 1, 0, 2, runs.OutcomeFailed).Records, h.collectRecords(after(160))...)
	h.is.Equal(records[len(records)-1].State, JobFailed)
	h.is.Equal(records[len(records)-1].Progress[0].Failures, 2)
}

func TestProgressIsRestoredAfterATakeover(t *testing.T) {
	h := newHarness(t, 1)
	out := h.own(begin, 1, 3, func(d *DurableJob) {
		d.Progress = []TaskProgress{{Index: 0, Done: true, Run: 1}, {Index: 2, Failures: 1, Run: 4, Checkpoint: "c"}}
	})
	starts := startsByLink(out)[0]
	h.is.Equal(len(starts), 2)
	h.is.Equal(starts[1].Checkpoint, "c")
	h.is.Equal(starts[1].Key.Run, uint32(5))
	// That end was counted before the takeover, so its agent may forget it.
	acked, _ := ackedAndVoidKeys(h.reportHeldEnd(after(10), 0, 1, 2, 4, runs.OutcomeFailed))
	h.is.Equal(len(acked), 1)
}

func TestStepsOfADurableJobRunInOrder(t *testing.T) {
	h := newHarness(t, 1)
	out := h.own(begin, 1, 1, func(d *DurableJob) {
		d.Steps = append(d.Steps, Step{Count: 1, Need: need, Estimate: time.Second, After: []int{0}})
	})
	h.is.Equal(len(startsByLink(out)[0]), 1)
	out = h.reportHeldEnd(after(100), 0, 1, 0, 1, runs.OutcomeDone)
	h.is.Equal(startsByLink(out)[0][0].Key.Task, TaskName(jobName(1), 1, 0))
}

// TestJobsInTimeGoBeforeLateOnes replays the load after an outage: jobs that have waited for long
// compete with new ones that can still be in time.
func TestJobsInTimeGoBeforeLateOnes(t *testing.T) {
	h := newHarness(t, 1)
	full := func(m *runs.ToEntry) {
		m.Load.Free = room.Resources{Memory: 1000}
		m.Load.ExpectedEnds = []runs.ExpectedEnd{{After: 5000, CPU: 4000}}
	}
	h.receiveReport(begin, 0, full)
	for id := 1; id <= 6; id++ {
		h.own(begin, id, 1, nil)
	}
	h.advanceTo(after(2000))
	for id := 7; id <= 9; id++ {
		h.own(after(2000), id, 1, nil)
	}
	h.receiveReport(after(2020), 0, nil) // four cores are free
	first := startsByLink(h.flush(after(2020)))[0]
	h.is.Equal(len(first), 4)
	for i, id := range []int{7, 8, 9, 1} {
		h.is.Equal(first[i].Key.Job(), jobName(id))
	}
}

// TestUrgentQueueGoesFirst verifies that jobs of equal usefulness are ordered by the priority of
// their queue.
func TestUrgentQueueGoesFirst(t *testing.T) {
	h := newHarness(t, 1)
	urgent := &catalog.Queue{Name: "u", Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 1.6, Target: time.Minute}
	lessUrgent := &catalog.Queue{Name: "p", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 1.6, Target: time.Minute}
	h.receiveReport(begin, 0, func(m *runs.ToEntry) {
		m.Load.Free = room.Resources{}
		m.Load.ExpectedEnds = []runs.ExpectedEnd{{After: 900, CPU: 4000}}
	})
	h.own(begin, 1, 4, func(d *DurableJob) { d.Queue = lessUrgent })
	h.own(after(500), 2, 4, func(d *DurableJob) { d.Queue = urgent })
	h.receiveReport(after(520), 0, nil)
	for _, s := range startsByLink(h.flush(after(520)))[0] {
		h.is.Equal(s.Key.Job(), jobName(2))
	}
}

// TestNothingStartsAfterASuspensionBeforeTheStoreIsRead guards against starts of jobs that were cancelled
// while the entry stood still: what it owned before may have changed since.
func TestNothingStartsAfterASuspensionBeforeTheStoreIsRead(t *testing.T) {
	h := newHarness(t, 2)
	for id := 1; id <= 2; id++ {
		h.own(begin, id, 1, func(d *DurableJob) { d.SafeAt = after(1000) })
	}
	h.advanceTo(after(900))
	h.is.Equal(h.AwaitsStore(), false)
	starts := func(ms int) int {
		h.receiveReport(after(ms), 0, nil)
		h.Tick(after(ms))
		out := startsByLink(h.flush(after(ms)))
		return len(out[0]) + len(out[1])
	}
	h.is.Equal(starts(4000), 0)
	h.is.True(h.AwaitsStore())
	h.ConfirmOwnership(after(3990), after(9490)) // sent before the suspension was over
	h.is.Equal(starts(4020), 0)
	h.CancelDurable(after(4030), jobName(1))
	h.ConfirmOwnership(after(4010), after(9510))
	h.is.Equal(h.AwaitsStore(), false)
	h.is.Equal(starts(4040), 1)
}

// TestJobOnHoldTakesEndsAndStartsNothing guards against ends that no entry answers for while the queue of their
// job is not known.
func TestJobOnHoldTakesEndsAndStartsNothing(t *testing.T) {
	h := newHarness(t, 1)
	onHold := func(d *DurableJob) {
		d.Epoch, d.OnHold = 2, true
		d.Queue = &catalog.Queue{Name: "removed", MaxAttempts: 100, Stretch: 1}
	}
	h.is.Equal(countStarts(h.own(begin, 1, 3, onHold)), 0)
	h.reportHeldEnd(after(100), 0, 1, 0, 1, runs.OutcomeDone)
	h.reportHeldEnd(after(100), 0, 1, 1, 1, runs.OutcomeFailed)
	h.reportHeldEnd(after(100), 0, 1, 2, 1, runs.OutcomeStopped)
	records := h.collectRecords(after(110))
	h.is.Equal(len(records), 1)
	h.is.Equal(len(records[0].Progress), 3)
	h.is.Equal(records[0].StartedEpoch, uint64(0)) // it has started none
	h.RecordStored(after(400), jobName(1), records[0].Seq)
	acked, void := ackedAndVoidKeys(h.flush(after(400)))
	h.is.Equal(len(acked), 3)
	h.is.Equal(len(void), 0)
	for ms := 500; ms < 4000; ms += 100 {
		h.Tick(after(ms))
		h.is.Equal(countStarts(h.flush(after(ms))), 0)
	}
}

// countStarts returns the number of starts that an output sends.
func countStarts(out Output) int {
	n := 0
	for _, list := range startsByLink(out) {
		n += len(list)
	}
	return n
}

// TestTaskThatFailedTooOftenBeforeIsNotStartedAgain guards against a start beyond the attempts of the queue: the
// last failure was stored while the queue was not known.
func TestTaskThatFailedTooOftenBeforeIsNotStartedAgain(t *testing.T) {
	for failures, state := range map[int]JobState{queue.MaxAttempts - 1: JobQueued, queue.MaxAttempts: JobFailed} {
		h := newHarness(t, 1)
		out := h.own(begin, 1, 2, func(d *DurableJob) {
			d.Progress = []TaskProgress{{Index: 1, Failures: failures, Run: uint32(failures)}}
		})
		if state == JobFailed {
			h.is.Equal(countStarts(out), 0)
			h.is.Equal(out.Records[0].State, JobFailed)
		} else {
			h.is.Equal(countStarts(out), 2)
		}
	}
}
