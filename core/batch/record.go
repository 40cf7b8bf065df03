package batch

import (
	"time"

	"peridotpick.example/wire/runs"
)

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
	// Lost counts the workers that were lost under the task, Blamed the crashes that are
	// put down to it.
	Lost   int `cbor:"8,keyasint,omitempty"`
	Blamed int `cbor:"9,keyasint,omitempty"`
	// Lapsed counts the workers that went silent under the task and may have crashed.
	Lapsed int `cbor:"10,keyasint,omitempty"`
}

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
)

// restore takes what the store has of a task.
func (j *job) restore(now time.Time, p *TaskProgress) {
	if p.Step >= len(j.steps) || p.Index >= len(j.steps[p.Step].tasks) {
		return
	}
	s := &j.steps[p.Step]
	t := s.tasks[p.Index]
	t.failures, t.run, t.counted, t.checkpoint = p.Failures, p.Run, p.Run, p.Checkpoint
	t.abandoned = p.Abandoned
	t.lost, t.blamed = p.Lost, p.Blamed
	t.restoreLapsed(now, p.Lapsed)
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
				Lost: t.lost, Blamed: t.blamed, Lapsed: len(t.lapsed),
			}
			if !p.Done {
				p.Checkpoint = t.checkpoint
			}
			list = append(list, p)
		}
	}
	return list
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
				c.noteEnds(a, n.key)
			}
		}
	}
	d.due = still
}

// noteEnds tells an agent that the ends of runs are stored.
func (c *Core) noteEnds(a *agent, keys ...runs.Key) {
	a.out.Noted = append(a.out.Noted, keys...)
	c.mark(a)
}

// Settle answers an agent about ends of jobs that are not here.
func (c *Core) Settle(now time.Time, id LinkID, noted, void []runs.Key) {
	c.Now(now)
	a := c.agents.Get(id)
	if a == nil {
		return
	}
	c.noteEnds(a, noted...)
	a.out.Void = append(a.out.Void, void...)
}

// endTold handles an end as an agent tells it.
func (c *Core) endTold(a *agent, end runs.End) {
	t := c.byTask[end.Key.Task]
	switch {
	case t != nil && t.job.durable == nil && t.agent != a.worker.Agent:
		// Of another entry, or a former process of this one, that had the same job:
		// runs are numbered from 1 by each. Taken for the present run's end it would
		// have the task start again beside it.
		if end.Held {
			c.noteEnds(a, end.Key)
		}
	case !end.Held:
		c.endOf(a.worker.ID, end)
	case t == nil:
		c.out.Unowned = append(c.out.Unowned, Unowned{Link: a.link, End: end})
	case t.job.durable == nil:
		c.endOf(a.worker.ID, end)
		c.noteEnds(a, end.Key)
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
			c.noteEnds(a, end.Key)
		}
		return
	case current:
	case d.disowned:
		return
	case unstarted:
		c.place(t, a, end.Key.Run)
	case end.How == runs.Done || end.How == runs.Failed:
		a.out.Void = append(a.out.Void, end.Key)
		c.mark(a)
		return
	default:
		c.noteEnds(a, end.Key)
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
	t.stopping, t.moving = false, false
	a.runs++
}
