package batch

import (
	"sort"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
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

// TaskProgress is what is known of one task. Tasks without one have not begun.
type TaskProgress struct {
	Step  int  `cbor:"1,keyasint"`
	Index int  `cbor:"2,keyasint"`
	Done  bool `cbor:"3,keyasint,omitempty"`
	// Failures is the number of runs that failed.
	Failures int `cbor:"4,keyasint,omitempty"`
	// Run is the number of the newest run whose end counted.
	Run uint32 `cbor:"5,keyasint,omitempty"`
	// Abandoned is the newest run that was lost from sight: it does not count, however
	// it may have ended.
	Abandoned uint32 `cbor:"7,keyasint,omitempty"`
	// Checkpoint resumes the task.
	Checkpoint string `cbor:"6,keyasint,omitempty"`
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

// Record is what the store shall keep of a job from now on.
type Record struct {
	Job string
	// Seq numbers the job's records.
	Seq      uint64
	State    JobState
	Progress []TaskProgress
}

// Unowned is an end of a job that is not here. The owner of the list of durable
// jobs decides whether its agent may forget it.
type Unowned struct {
	Link LinkID
	End  runs.End
}

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

// dueNote is an end that an agent keeps.
type dueNote struct {
	seq   uint64
	agent string
	key   runs.Key
}

const (
	// recordEvery is the shortest time between two records of a job that goes on, so
	// that the ends of a job's like tasks share one write to the store.
	recordEvery = 150 * time.Millisecond
	// recordBegin is the time after which the begin of a job is recorded, if nothing
	// else of it was: most jobs are over by then and need one write less.
	recordBegin = time.Second
	// retainEnded is how long an ended job is remembered here: agents whose link
	// broke may still repeat its last ends.
	retainEnded = 30 * time.Second
	// durableAhead is the longest expected wait for room with which a durable task
	// is sent to an agent. What waits longer stays here, where order can change.
	durableAhead = 30 * time.Millisecond
	// durablePatience is how long such a run may wait at its agent.
	durablePatience = 2 * time.Second
	// backlogEvery is the shortest time between two walks of the backlog, and
	// backlogMisses the number of jobs without room after which a walk ends: under
	// overload each walk would otherwise cost a comparison of all jobs and workers.
	backlogEvery  = 10 * time.Millisecond
	backlogMisses = 6
	// priorityStep is the waiting time that makes up for one step of priority, so
	// that less urgent queues get on, too.
	priorityStep = 2 * time.Second
)

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
		j.restore(&d.Progress[i])
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

// restore takes what the store has of a task.
func (j *job) restore(p *TaskProgress) {
	if p.Step >= len(j.steps) || p.Index >= len(j.steps[p.Step].tasks) {
		return
	}
	s := &j.steps[p.Step]
	t := s.tasks[p.Index]
	t.failures, t.run, t.counted, t.checkpoint = p.Failures, p.Run, p.Run, p.Checkpoint
	t.abandoned = p.Abandoned
	if p.Run > 0 {
		t.handled = map[uint32]bool{p.Run: true}
	}
	j.durable.state = JobRunning
	if p.Done && t.state != taskDone {
		t.state = taskDone
		s.left--
		j.left--
	}
}

// progress returns what is known of a job's tasks.
func (j *job) progress() []TaskProgress {
	var list []TaskProgress
	for i := range j.steps {
		for n, t := range j.steps[i].tasks {
			if t.counted == 0 && t.abandoned == 0 {
				continue
			}
			p := TaskProgress{
				Step: i, Index: n, Done: t.state == taskDone, Failures: t.failures, Run: t.counted, Abandoned: t.abandoned,
			}
			if !p.Done {
				p.Checkpoint = t.checkpoint
			}
			list = append(list, p)
		}
	}
	return list
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

// changed has a record of the job stored within a time.
func (c *Core) changed(j *job, within time.Duration) {
	d := j.durable
	at := c.now.Add(within)
	if !d.changed || at.Before(d.recordAt) {
		d.recordAt = at
	}
	d.changed = true
	c.unrecorded.Put(j.name, j)
}

// record emits the records that are due.
func (c *Core) record() {
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
		d.changed = false
		for i := range d.due {
			if d.due[i].seq == 0 {
				d.due[i].seq = d.seq
			}
		}
		c.out.Records = append(c.out.Records, Record{Job: name, Seq: d.seq, State: d.state, Progress: j.progress()})
	}
}

// Recorded handles that the store has a record.
func (c *Core) Recorded(now time.Time, name string, seq uint64) {
	c.Now(now)
	j := c.jobs.Get(name)
	if j == nil || j.durable == nil || j.durable.disowned {
		return
	}
	j.durable.stored = max(j.durable.stored, seq)
	if !j.ended {
		c.placeJob(j) // tasks may have waited for it
	}
	if j.durable.state.Ended() && j.durable.stored == j.durable.seq {
		j.durable.forgetAt = now.Add(retainEnded)
	}
	c.noteDue(j)
}

// noteDue tells agents of the ends that are stored. An agent without a link tells
// them again when it is back.
func (c *Core) noteDue(j *job) {
	d := j.durable
	var still []dueNote
	for _, n := range d.due {
		if d.state != JobCancelled && (n.seq == 0 || n.seq > d.stored) {
			still = append(still, n)
			continue
		}
		for a := range c.agents.Values() {
			if a.worker.Agent == n.agent {
				a.note(n.key)
			}
		}
	}
	d.due = still
}

func (a *agent) note(keys ...runs.Key) {
	a.out.Noted = append(a.out.Noted, keys...)
	a.dirty = true
}

// Settle answers an agent about ends of jobs that are not here.
func (c *Core) Settle(now time.Time, id LinkID, noted, void []runs.Key) {
	c.Now(now)
	a := c.agents.Get(id)
	if a == nil {
		return
	}
	a.note(noted...)
	a.out.Void = append(a.out.Void, void...)
}

// endTold handles an end as an agent tells it.
func (c *Core) endTold(a *agent, end runs.End) {
	t := c.byTask[end.Key.Task]
	switch {
	case !end.Held:
		c.endOf(a.worker.ID, end)
	case t == nil:
		c.out.Unowned = append(c.out.Unowned, Unowned{Link: a.link, End: end})
	case t.job.durable == nil:
		c.endOf(a.worker.ID, end)
		a.note(end.Key)
	default:
		c.durableEnd(a, t, end)
	}
}

// durableEnd handles an end that its agent keeps until it is stored.
func (c *Core) durableEnd(a *agent, t *task, end runs.End) {
	d := t.job.durable
	current := t.state == taskPlaced && t.run == end.Key.Run
	// unstarted tasks have no later run: the end is news of a run that was lost
	// from sight, or that a former owner started.
	unstarted := t.state == taskWaiting && end.Key.Run >= t.run && end.Key.Run > t.abandoned
	switch {
	case t.handled[end.Key.Run]:
		if !d.isDue(end.Key) && !d.disowned {
			a.note(end.Key)
		}
		return
	case current:
	case d.disowned:
		return
	case unstarted:
		c.place(t, a, end.Key.Run)
	case end.How == runs.Done || end.How == runs.Failed:
		a.out.Void = append(a.out.Void, end.Key)
		a.dirty = true
		return
	default:
		a.note(end.Key)
		return
	}
	if !d.disowned {
		t.handle(end)
		d.due = append(d.due, dueNote{agent: a.worker.Agent, key: end.Key})
	}
	c.endOf(a.worker.ID, end)
	if d.disowned {
		return
	}
	if d.state == JobCancelled {
		c.noteDue(t.job)
		return
	}
	c.changed(t.job, recordEvery)
}

// abandon has the store say that a run which was lost from sight does not count.
// The task waits for that: should this entry lose the job now, the next one would
// otherwise believe the run's end beside the start that follows here.
func (c *Core) abandon(t *task, run uint32) {
	t.abandoned = max(t.abandoned, run)
	t.blockedBy = t.job.durable.seq + 1 // the next record
	c.changed(t.job, 0)
}

// blocked reports whether a task waits for a record to be stored.
func (t *task) blocked() bool { return t.job.durable != nil && t.blockedBy > t.job.durable.stored }

// handle remembers that the end of a run was taken.
func (t *task) handle(end runs.End) {
	if t.handled == nil {
		t.handled = make(map[uint32]bool)
	}
	t.handled[end.Key.Run] = true
	t.counted = max(t.counted, end.Key.Run)
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
}

func (d *durable) isDue(key runs.Key) bool {
	for _, n := range d.due {
		if n.key == key {
			return true
		}
	}
	return false
}

// place takes a run that is at an agent as the task's present one.
func (c *Core) place(t *task, a *agent, run uint32) {
	t.state, t.run, t.taken = taskPlaced, run, false
	t.on, t.agent, t.worker = a.link, a.worker.Agent, a.worker.ID
	t.sentAt, t.expected, t.expectedWait = c.now, t.step.estimate, 0
	t.stopping = false
	a.runs++
}

// mayStart reports whether tasks of a job may be started now.
func (c *Core) mayStart(j *job) bool {
	d := j.durable
	return d == nil || c.now.Before(c.ownedUntil) && !c.now.Before(d.safeAt)
}

// placeDurable sends those tasks of a job out that will soon have room. It reports
// whether none is left.
func (c *Core) placeDurable(j *job) bool {
	if !c.mayStart(j) {
		return false
	}
	p := c.planWithin(j, durableAhead)
	if len(p.places) > 0 && j.durable.state == JobQueued {
		j.durable.state = JobRunning
		c.changed(j, recordBegin)
	}
	c.carryOut(p)
	return p.missing == 0 && !p.held
}

// placeBacklog places tasks of durable jobs, the most urgent first.
func (c *Core) placeBacklog() {
	if c.now.Sub(c.backlogAt) < backlogEvery {
		return
	}
	c.backlogAt = c.now
	c.walks++
	var waiting []backlogged
	for j := range c.jobs.Values() {
		if j.durable != nil && !j.ended && c.mayStart(j) && j.hasWaiting() {
			waiting = append(waiting, backlogged{job: j, use: c.useOf(j), turn: j.turn()})
		}
	}
	sort.SliceStable(waiting, func(i, k int) bool { return waiting[i].goesBefore(waiting[k]) })
	misses := 0
	for _, w := range waiting {
		if !c.placeDurable(w.job) {
			misses++
		}
		if misses >= backlogMisses {
			break
		}
	}
	c.backlogged = misses > 0
}

// use tells what a job's end is still good for.
type use uint8

const (
	// inAim jobs can still end within their objective, usable ones soon after.
	inAim use = iota
	usable
	// outlived jobs end too late for their callers' purpose. They were accepted, so
	// they are run, but not before others that would become late as well.
	outlived
)

// outlivedTurn is the number of walks of which one begins with the jobs that have
// outlived their use, so that they get on under lasting overload, too.
const outlivedTurn = 8

func (c *Core) useOf(j *job) use {
	switch slack := j.slackLeft(c.now); {
	case slack >= 0:
		return inAim
	case slack >= -(lateFactor-1)*j.objective:
		return usable
	}
	if c.walks%outlivedTurn == 0 {
		return inAim
	}
	return outlived
}

// backlogged is a durable job with tasks that wait for room.
type backlogged struct {
	job  *job
	use  use
	turn time.Time
}

// goesBefore orders the backlog. The load it answers: after an outage of the store or
// the loss of an entry seconds of work wait; first come, first served would then make
// all later jobs late as well, for as long as the load is near the room there is.
func (b backlogged) goesBefore(other backlogged) bool {
	if b.use != other.use {
		return b.use < other.use
	}
	return b.turn.Before(other.turn)
}

// turn orders jobs of the same use.
func (j *job) turn() time.Time {
	return j.arrived.Add(j.objective + time.Duration(j.queue.Priority)*priorityStep)
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
