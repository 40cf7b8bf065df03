package batch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/catalog"
)

// DurableJob is a job that the store keeps and this entry owns there.
type DurableJob struct {
	Job   string
	Queue *catalog.Queue
	// Version is the version of the configuration in force.
	Version uint64
	Spec    string
	Steps   []Step
	// Epoch is the epoch of this owner, from 1. The entry must not have run the job under it before.
	Epoch uint64
	// StartedEpoch is the newest stored Record.StartedEpoch.
	StartedEpoch uint64
	// Progress is the stored progress of its tasks.
	Progress []TaskProgress
	// SafeAt is when all runs that a previous owner may have started are over, and it starts no
	// more. Nothing is started before, but ends are accepted: a previous owner must store that they
	// no longer count before it starts a task again, which it can no longer do. Zero for a new job.
	SafeAt time.Time
	// OnHold is set if nothing of the job may be started by this owner.
	OnHold bool
}

// JobState is the state of a durable job.
type JobState uint8

// States of a durable job.
const (
	// JobQueued means that no task of the job was started.
	JobQueued JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobCancelled
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobDone }

// durable is the additional state of a durable job.
type durable struct {
	state  JobState
	epoch  uint64
	safeAt time.Time
	onHold bool
	// outOfNumbers is set once a task has used the last run number of the epoch.
	outOfNumbers bool
	// startedEpoch is the value for Record.StartedEpoch, and startRecord the number of the record that
	// must be stored before any task is started; 0 if there is none.
	startedEpoch uint64
	startRecord  uint64
	// seq is the number of the newest record emitted, storedSeq that of the newest record in the
	// store.
	seq, storedSeq uint64
	// unrecorded is set while the job has changes that no emitted record contains. recordAt is when
	// the next record is due.
	unrecorded bool
	recordAt   time.Time
	// pendingAcks are ends that are acknowledged to their agents once their record is stored.
	pendingAcks []pendingAck
	// disowned is set once this entry must not run the job.
	disowned bool
	// reacquired is the job to own again once all runs of the disowned one are over.
	reacquired *DurableJob
	// forgetAt is when an ended job is forgotten.
	forgetAt time.Time
}

// endedRetention is how long an ended job is remembered. Agents whose link broke may repeat its
// last ends in this time.
const endedRetention = 30 * time.Second

// ConfirmOwnership sets the time until which the entry's ownership of its durable jobs is
// confirmed, by an answered read of the store that was sent at sentAt. An earlier time than the present
// one is ignored.
func (c *Core) ConfirmOwnership(sentAt, until time.Time) {
	if until.After(c.ownershipUntil) {
		c.ownershipUntil = until
	}
	if sentAt.After(c.storeReadAt) {
		c.storeReadAt = sentAt
	}
}

// AwaitsStore reports whether the entry has not read the store since its last suspension, and has
// durable jobs that wait for it. Nothing of them starts before: they may have been cancelled.
func (c *Core) AwaitsStore() bool {
	if !c.storeReadAt.Before(c.resumedAt) {
		return false
	}
	for j := range c.jobs.Values() {
		if j.durable != nil && !j.ended {
			return true
		}
	}
	return false
}

// checkOwnership disowns all durable jobs once the confirmation has expired and another entry may
// take them over.
func (c *Core) checkOwnership() {
	if c.ownershipUntil.IsZero() || c.now.Before(c.ownershipUntil) {
		return
	}
	c.ownershipUntil = time.Time{}
	for j := range c.jobs.Values() {
		if j.durable != nil && !j.ended {
			c.StopLost(c.now, j.name)
			c.out.OwnershipExpired = append(c.out.OwnershipExpired, j.name)
		}
	}
}

// RunDurable starts to run a durable job. If the job was disowned and still has runs, it starts once they
// are over.
func (c *Core) RunDurable(now time.Time, d *DurableJob) {
	c.Advance(now)
	if old := c.jobs.Get(d.Job); old != nil {
		if old.durable != nil && old.durable.disowned {
			old.durable.reacquired = d
		}
		return
	}
	j := c.newJob(&Request{Job: d.Job, Queue: d.Queue, Version: d.Version, Spec: d.Spec, Steps: d.Steps})
	j.requests = nil
	j.durable = &durable{epoch: d.Epoch, startedEpoch: d.StartedEpoch, safeAt: d.SafeAt, onHold: d.OnHold}
	if now.Before(d.SafeAt) {
		// The previous owner has been lost for about as long as remains until SafeAt.
		j.arrived = now.Add(now.Sub(d.SafeAt))
	}
	for i := range d.Progress {
		c.restoreTask(j, &d.Progress[i])
	}
	c.jobs.Put(j.name, j)
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			c.byTask[t.name] = t
		}
	}
	c.countUnowned(j)
	c.applySuspects(j)
	c.logDecision(Decision{Event: "own", Job: j.name, Queue: j.queue.Name, Version: j.version, Wait: max(d.SafeAt.Sub(now), 0)})
	if j.openTasks == 0 {
		c.finishDurable(j, JobDone)
		return
	}
	if j.hasExhaustedTask() {
		c.giveUp(j, errkind.TaskFailed, "task failed")
		return
	}
	if !c.hasBacklog {
		c.placeJob(j)
	}
}

// hasExhaustedTask reports whether an open task has failed as often as its queue allows. Its ends may have been stored
// while the job was on hold, or under another configuration.
func (j *job) hasExhaustedTask() bool {
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			if t.state != taskDone && t.failures > 0 && t.failures >= j.queue.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// StopLost stops a job that this entry must no longer run. The ends of its runs are left to the next
// owner.
func (c *Core) StopLost(now time.Time, name string) {
	c.Advance(now)
	j := c.jobs.Get(name)
	if j == nil || j.durable == nil {
		return
	}
	j.durable.reacquired = nil
	if j.durable.disowned {
		return
	}
	c.logDecision(Decision{Event: "disown", Job: j.name, Queue: j.queue.Name, Version: j.version})
	j.durable.disowned = true
	j.durable.pendingAcks = nil
	j.durable.forgetAt = now
	c.stopJob(j)
}

// CancelDurable stops a job that is cancelled in the store.
func (c *Core) CancelDurable(now time.Time, name string) {
	c.Advance(now)
	j := c.jobs.Get(name)
	if j == nil || j.durable == nil {
		return
	}
	j.durable.reacquired = nil
	if j.durable.disowned || j.durable.state.Ended() {
		return
	}
	c.logDecision(Decision{Event: "cancelled", Job: j.name, Queue: j.queue.Name, Version: j.version})
	j.durable.state = JobCancelled
	j.durable.storedSeq = j.durable.seq
	j.durable.forgetAt = now.Add(endedRetention)
	c.ackStoredEnds(j)
	c.stopJob(j)
}

// DurableState returns the state of a durable job. It reports false if the job is not owned here.
func (c *Core) DurableState(name string) (JobState, bool) {
	j := c.jobs.Get(name)
	if j == nil || j.durable == nil || j.durable.disowned {
		return JobQueued, false
	}
	d := j.durable
	if d.state.Ended() && d.storedSeq < d.seq {
		return JobRunning, true // shown as ended only once the end is stored
	}
	return d.state, true
}

// finishDurable sets the final state of a durable job and schedules its record.
func (c *Core) finishDurable(j *job, state JobState) {
	j.ended = true
	j.durable.state = state
	c.scheduleRecord(j, 0)
}

// forgetEnded forgets durable jobs whose retention has passed, and disowned ones without runs.
func (c *Core) forgetEnded() {
	for j := range c.jobs.Values() {
		if j.durable != nil && j.ended {
			c.forgetIfOver(j)
		}
	}
}

// mustRetain reports whether an ended durable job must still be remembered.
func (c *Core) mustRetain(j *job) bool {
	d := j.durable
	return d != nil && (d.forgetAt.IsZero() || c.now.Before(d.forgetAt))
}

// failDurable sets a durable job to failed if its task failed.
func (c *Core) failDurable(j *job, kind errkind.Kind) {
	if j.durable != nil && kind == errkind.TaskFailed {
		c.finishDurable(j, JobFailed)
	}
}
