package batch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/catalog"
)

// Durable hands over a job that the store keeps and that this entry owns there.
type Durable struct {
	Job   string
	Queue *catalog.Queue
	// Version is that of the configuration in force.
	Version uint64
	Spec    string
	Steps   []Step
	// Progress is what the store has of its tasks.
	Progress []TaskProgress
	// SafeAt is when all runs that a former owner may have started are over, and it
	// starts no more. Ends are believed before: a former owner that takes a run for
	// lost must have the store say so before it starts the task again, and it no longer
	// can. Zero for a new job.
	SafeAt time.Time
}

// JobState is the state of a durable job.
type JobState uint8

// States of a durable job.
const (
	// JobQueued jobs have no task that began.
	JobQueued JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobCancelled
)

// Ended reports whether nothing of the job runs any more.
func (s JobState) Ended() bool { return s >= JobDone }

// durable is the part of a job that only durable jobs have.
type durable struct {
	state  JobState
	safeAt time.Time
	// seq is the number of the newest record, stored that of the newest in the store.
	seq, stored uint64
	// changed is set while there is something that no record has.
	changed  bool
	recordAt time.Time
	// due are ends that may be forgotten once their record is stored.
	due []dueNote
	// disowned jobs belong to another entry, or to none that may start them.
	disowned bool
	// again is the job to begin with once all of a disowned one is over.
	again *Durable
	// forgetAt is when an ended job is forgotten.
	forgetAt time.Time
}

// retainEnded is how long an ended job is remembered here: agents whose link
// broke may still repeat its last ends.
const retainEnded = 30 * time.Second

// Confirm tells until when the entry is sure to own its durable jobs.
func (c *Core) Confirm(until time.Time) {
	if until.After(c.ownedUntil) {
		c.ownedUntil = until
	}
}

// checkOwnership gives all durable jobs up once another entry may have taken them.
func (c *Core) checkOwnership() {
	if c.ownedUntil.IsZero() || c.now.Before(c.ownedUntil) {
		return
	}
	c.ownedUntil = time.Time{}
	for j := range c.jobs.Values() {
		if j.durable != nil && !j.ended {
			c.Disown(c.now, j.name)
			c.out.Disowned = append(c.out.Disowned, j.name)
		}
	}
}

// Own begins with a durable job.
func (c *Core) Own(now time.Time, d *Durable) {
	c.Now(now)
	if old := c.jobs.Get(d.Job); old != nil {
		if old.durable != nil && old.durable.disowned {
			old.durable.again = d
		}
		return
	}
	j := c.newJob(&Request{Job: d.Job, Queue: d.Queue, Version: d.Version, Spec: d.Spec, Steps: d.Steps})
	j.requests = nil
	j.durable = &durable{safeAt: d.SafeAt}
	if now.Before(d.SafeAt) {
		// Its former owner has been gone about as long as is waited for now.
		j.arrived = now.Add(now.Sub(d.SafeAt))
	}
	for i := range d.Progress {
		j.restore(now, &d.Progress[i])
	}
	c.jobs.Put(j.name, j)
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			c.byTask[t.name] = t
			t.taken = !d.SafeAt.IsZero()
		}
	}
	c.note(Note{Event: "own", Job: j.name, Queue: j.queue.Name, Version: j.version, Wait: max(d.SafeAt.Sub(now), 0)})
	if j.left == 0 {
		c.ended(j, JobDone)
		return
	}
	if !c.backlogged {
		c.placeJob(j)
	}
}

// Disown stops a job that this entry must not run any more. Its ends are left to
// the entry that takes it over.
func (c *Core) Disown(now time.Time, name string) {
	c.Now(now)
	j := c.jobs.Get(name)
	if j == nil || j.durable == nil || j.durable.disowned {
		return
	}
	c.note(Note{Event: "disown", Job: j.name, Queue: j.queue.Name, Version: j.version})
	j.durable.disowned = true
	j.durable.due = nil
	j.durable.forgetAt = now
	c.endJob(j)
}

// Cancelled ends a job that the store has as cancelled.
func (c *Core) Cancelled(now time.Time, name string) {
	c.Now(now)
	j := c.jobs.Get(name)
	if j == nil || j.durable == nil || j.durable.disowned || j.durable.state.Ended() {
		return
	}
	c.note(Note{Event: "cancelled", Job: j.name, Queue: j.queue.Name, Version: j.version})
	j.durable.state = JobCancelled
	j.durable.stored = j.durable.seq
	j.durable.forgetAt = now.Add(retainEnded)
	c.noteDue(j)
	c.endJob(j)
}

// State tells the state of a durable job that is owned here.
func (c *Core) State(name string) (JobState, bool) {
	j := c.jobs.Get(name)
	if j == nil || j.durable == nil || j.durable.disowned {
		return JobQueued, false
	}
	d := j.durable
	if d.state.Ended() && d.stored < d.seq {
		return JobRunning, true // shown as ended only once that is stored
	}
	return d.state, true
}

// ended notes the end of a durable job.
func (c *Core) ended(j *job, state JobState) {
	j.ended = true
	j.durable.state = state
	c.changed(j, 0)
}

// forgetEnded forgets durable jobs that ended long ago, and disowned ones once
// nothing of them runs.
func (c *Core) forgetEnded() {
	for j := range c.jobs.Values() {
		if j.durable != nil && j.ended {
			c.forgetIfOver(j)
		}
	}
}

// keepsDurable reports whether an ended job must still be remembered.
func (c *Core) keepsDurable(j *job) bool {
	d := j.durable
	return d != nil && (d.forgetAt.IsZero() || c.now.Before(d.forgetAt))
}

// failDurable ends a durable job as failed.
func (c *Core) failDurable(j *job, kind errkind.Kind) {
	if j.durable != nil && kind == errkind.TaskFailed {
		c.ended(j, JobFailed)
	}
}
