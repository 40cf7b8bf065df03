package batch

import (
	"time"

	"peridotpick.example/wire/runs"
)

// TaskProgress is the stored progress of one task. Tasks without it have not begun.
type TaskProgress struct {
	Step  int  `cbor:"1,keyasint"`
	Index int  `cbor:"2,keyasint"`
	Done  bool `cbor:"3,keyasint,omitempty"`
	// Failures is the number of failed runs.
	Failures int `cbor:"4,keyasint,omitempty"`
	// Run is the number of the newest run whose end was handled.
	Run uint32 `cbor:"5,keyasint,omitempty"`
	// Abandoned is the number of the newest run whose outcome is unknown. Its end does not count.
	Abandoned uint32 `cbor:"7,keyasint,omitempty"`
	// Checkpoint is where the next run resumes.
	Checkpoint string `cbor:"6,keyasint,omitempty"`
	// LostWorkers is the number of workers lost while they ran the task, BlamedCrashes the number
	// of crashes attributed to it.
	LostWorkers   int `cbor:"8,keyasint,omitempty"`
	BlamedCrashes int `cbor:"9,keyasint,omitempty"`
	// UnreachableWorkers is the number of workers that became unreachable while they ran the task
	// and may have crashed.
	UnreachableWorkers int `cbor:"10,keyasint,omitempty"`
	// CrashedRuns are the newest runs, at most lostWorkerLimit, whose crash is part of LostWorkers.
	CrashedRuns []uint32 `cbor:"11,keyasint,omitempty"`
}

// Record is the progress of a job to be stored.
type Record struct {
	Job string
	// Seq numbers the records of the job.
	Seq   uint64
	State JobState
	// StartedEpoch is the newest epoch whose owner may have started tasks; 0 if only the first one
	// has. Ends of runs of earlier epochs no longer count.
	StartedEpoch uint64
	Progress     []TaskProgress
}

// UnownedEnd is a held end of a job that is not here. The owner of the list of durable jobs decides
// whether the agent may forget it.
type UnownedEnd struct {
	Link LinkID
	End  runs.End
}

// pendingAck is an end that its agent holds until it is acknowledged. seq is the number of the
// record that contains it; 0 if none was emitted yet.
type pendingAck struct {
	seq   uint64
	agent string
	key   runs.Key
}

const (
	// recordInterval is the shortest time between two records of a running job, so that the ends of
	// its tasks share a write to the store.
	recordInterval = 150 * time.Millisecond
	// beginRecordDelay is the time after which the start of a job is recorded if nothing else of it
	// was. Most jobs are over by then and need one write less.
	beginRecordDelay = time.Second
)

// restoreTask restores the stored progress of a task.
func (c *Core) restoreTask(j *job, p *TaskProgress) {
	if p.Step >= len(j.steps) || p.Index >= len(j.steps[p.Step].tasks) {
		return
	}
	s := &j.steps[p.Step]
	t := s.tasks[p.Index]
	t.failures, t.run, t.newestHandledRun, t.checkpoint = p.Failures, p.Run, p.Run, p.Checkpoint
	t.abandonedRun = p.Abandoned
	t.lostWorkers, t.blamedCrashes = p.LostWorkers, p.BlamedCrashes
	c.restoreUnreachableRuns(t, p.UnreachableWorkers)
	if p.Run > 0 {
		t.handledRuns = map[uint32]bool{p.Run: true}
	}
	for _, run := range p.CrashedRuns {
		t.addCrashedRun(run)
	}
	j.durable.state = JobRunning
	if p.Done && t.state != taskDone {
		t.state = taskDone
		s.openTasks--
		j.openTasks--
	}
}

// progress returns the progress of all tasks that have any.
func (j *job) progress() []TaskProgress {
	var list []TaskProgress
	for i := range j.steps {
		for n, t := range j.steps[i].tasks {
			if t.newestHandledRun == 0 && t.abandonedRun == 0 && t.lostWorkers == 0 {
				continue
			}
			p := TaskProgress{
				Step: i, Index: n, Done: t.state == taskDone, Failures: t.failures, Run: t.newestHandledRun, Abandoned: t.abandonedRun,
				LostWorkers: t.lostWorkers, BlamedCrashes: t.blamedCrashes, UnreachableWorkers: len(t.unreachableRuns),
				CrashedRuns: t.newestCrashedRuns(),
			}
			if !p.Done {
				p.Checkpoint = t.checkpoint
			}
			list = append(list, p)
		}
	}
	return list
}

// scheduleRecord schedules a record of the job within the given time.
func (c *Core) scheduleRecord(j *job, delay time.Duration) {
	d := j.durable
	at := c.now.Add(delay)
	if !d.unrecorded || at.Before(d.recordAt) {
		d.recordAt = at
	}
	d.unrecorded = true
	c.unrecorded.Put(j.name, j)
}

// emitRecords adds the records that are due to the output.
func (c *Core) emitRecords() {
	for name, j := range c.unrecorded.All() {
		d := j.durable
		if d.disowned || d.state == JobCancelled {
			c.unrecorded.Delete(name)
			continue
		}
		if c.now.Before(d.recordAt) {
			continue
		}
		c.unrecorded.Delete(name)
		d.seq++
		d.unrecorded = false
		for i := range d.pendingAcks {
			if d.pendingAcks[i].seq == 0 {
				d.pendingAcks[i].seq = d.seq
			}
		}
		c.out.Records = append(c.out.Records, Record{Job: name, Seq: d.seq, State: d.state, StartedEpoch: d.startedEpoch, Progress: j.progress()})
	}
}

// RecordStored handles that a record is stored.
func (c *Core) RecordStored(now time.Time, name string, seq uint64) {
	c.Advance(now)
	j := c.jobs.Get(name)
	if j == nil || j.durable == nil || j.durable.disowned {
		return
	}
	j.durable.storedSeq = max(j.durable.storedSeq, seq)
	if !j.ended {
		c.placeJob(j) // tasks may have waited for the record
	}
	if j.durable.state.Ended() && j.durable.storedSeq == j.durable.seq {
		j.durable.forgetAt = now.Add(endedRetention)
	}
	c.ackStoredEnds(j)
}

// ackStoredEnds acknowledges ends whose record is stored, and all ends of a cancelled job. An agent
// without a link reports them again when it reconnects.
func (c *Core) ackStoredEnds(j *job) {
	d := j.durable
	var unstored []pendingAck
	for _, ack := range d.pendingAcks {
		if d.state != JobCancelled && (ack.seq == 0 || ack.seq > d.storedSeq) {
			unstored = append(unstored, ack)
			continue
		}
		for a := range c.agents.Values() {
			if a.worker.Agent == ack.agent {
				c.ackEnds(a, ack.key)
			}
		}
	}
	d.pendingAcks = unstored
}

// ackEnds tells an agent that the ends of runs are stored.
func (c *Core) ackEnds(a *agent, keys ...runs.Key) {
	a.out.AckedEnds = append(a.out.AckedEnds, keys...)
	c.markDirty(a)
}

// ResolveEnds acknowledges ends of jobs that are not here to an agent, or tells it that they are
// void: they came too late, see core/runner.
func (c *Core) ResolveEnds(now time.Time, id LinkID, acknowledged, void []runs.Key) {
	c.Advance(now)
	a := c.agents.Get(id)
	if a == nil {
		return
	}
	c.ackEnds(a, acknowledged...)
	a.out.VoidEnds = append(a.out.VoidEnds, void...)
}

// receiveEnd handles an end reported by an agent.
func (c *Core) receiveEnd(a *agent, end runs.End) {
	t := c.byTask[end.Key.Task]
	switch {
	case t != nil && t.job.durable == nil && t.agent != a.worker.Agent:
		// The run belongs to another entry, or a previous process of this one, that had the same
		// job. Each numbers the runs from 1. If the end were taken for that of the current run, the
		// task would start a second time beside it.
		if end.NeedsAck {
			c.ackEnds(a, end.Key)
		}
	case !end.NeedsAck:
		c.handleEnd(a.worker.ID, end)
	case t == nil:
		c.out.UnownedEnds = append(c.out.UnownedEnds, UnownedEnd{Link: a.link, End: end})
	case t.job.durable == nil:
		c.handleEnd(a.worker.ID, end)
		c.ackEnds(a, end.Key)
	default:
		c.receiveDurableEnd(a, t, end)
	}
}

// receiveDurableEnd handles a held end of a durable job.
func (c *Core) receiveDurableEnd(a *agent, t *task, end runs.End) {
	d := t.job.durable
	current := t.state == taskPlaced && t.run == end.Key.Run
	// The task has no later run. The end belongs to a run whose outcome was unknown, or that a
	// previous owner started.
	hasNoLaterRun := t.state == taskWaiting && end.Key.Run >= t.run && end.Key.Run > max(t.abandonedRun, runsBefore(d.startedEpoch))
	switch {
	case t.handledRuns[end.Key.Run]:
		if !d.isAckPending(end.Key) && !d.disowned {
			c.ackEnds(a, end.Key)
		}
		return
	case current:
	case d.disowned:
		return
	case hasNoLaterRun:
		c.adoptRun(t, a, end.Key.Run)
	case end.Outcome == runs.OutcomeDone || end.Outcome == runs.OutcomeFailed:
		a.out.VoidEnds = append(a.out.VoidEnds, end.Key)
		c.markDirty(a)
		return
	default:
		c.ackEnds(a, end.Key)
		return
	}
	if !d.disowned {
		t.markHandled(end)
		d.pendingAcks = append(d.pendingAcks, pendingAck{agent: a.worker.Agent, key: end.Key})
	}
	c.handleEnd(a.worker.ID, end)
	if d.disowned {
		return
	}
	if d.state == JobCancelled {
		c.ackStoredEnds(t.job)
		return
	}
	c.scheduleRecord(t.job, recordInterval)
}

// abandonRun records that a run whose outcome is unknown does not count. The task waits until the
// record is stored. Otherwise, if this entry lost the job now, the next owner would accept the
// run's end although the task was started again.
func (c *Core) abandonRun(t *task, run uint32) {
	t.abandonedRun = max(t.abandonedRun, run)
	t.blockingRecord = t.job.durable.seq + 1 // the next record
	c.scheduleRecord(t.job, 0)
}

// needsStartRecord reports whether it is still to be recorded that this owner starts tasks. The first
// owner has no predecessors and needs no record.
func (d *durable) needsStartRecord() bool { return d.epoch > max(d.startedEpoch, 1) }

// recordStart records that this owner starts tasks, so that the ends of its predecessors' runs no
// longer count. No task starts before the record is stored. Otherwise, if this entry lost the job,
// the next owner would accept the end of a predecessor's run that this entry has not heard of,
// although the task was started again.
func (c *Core) recordStart(j *job) {
	d := j.durable
	d.startedEpoch = d.epoch
	d.startRecord = d.seq + 1 // the next record
	c.scheduleRecord(j, 0)
}

// isBlocked reports whether a task waits for a record to be stored.
func (t *task) isBlocked() bool {
	return t.job.durable != nil && t.blockingRecord > t.job.durable.storedSeq
}

// markHandled remembers that the end of a run was handled, with its checkpoint.
func (t *task) markHandled(end runs.End) {
	if t.handledRuns == nil {
		t.handledRuns = make(map[uint32]bool)
	}
	t.handledRuns[end.Key.Run] = true
	t.newestHandledRun = max(t.newestHandledRun, end.Key.Run)
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
}

// isAckPending reports whether the end of a run is not acknowledged yet.
func (d *durable) isAckPending(key runs.Key) bool {
	for _, ack := range d.pendingAcks {
		if ack.key == key {
			return true
		}
	}
	return false
}

// adoptRun makes a run at an agent the current run of a task.
func (c *Core) adoptRun(t *task, a *agent, run uint32) {
	t.state, t.run = taskPlaced, run
	t.link, t.agent, t.worker = a.link, a.worker.Agent, a.worker.ID
	t.sentAt, t.expected = c.now, t.step.estimate
	t.stopping, t.moving = false, false
	a.runCount++
}
