package batch

import (
	"strconv"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// job is a submission whose answer is awaited.
type job struct {
	name     string
	queue    *catalog.Queue
	version  uint64
	spec     string
	steps    []step
	requests []RequestID
	arrived  time.Time
	deadline time.Time
	// objective is the time from arrival within which it should end.
	objective time.Duration
	// begun is true once a run is known to have begun.
	begun bool
	// ended jobs get no more starts; they wait for their runs to be over.
	ended bool
	// answerBy is set while the answer of an ended job waits for its agents to say
	// whether anything began.
	answerBy time.Time
	left     int
	// deferred jobs wait for room that stays free, late ones were started in it.
	deferred, late bool
	// wasDeferred is set once it was deferred, whatever became of it.
	wasDeferred bool
	// durable is nil for an awaited job.
	durable *durable
}

// step is a Step with its tasks.
type step struct {
	Step
	// estimate is the run time expected of one task.
	estimate time.Duration
	tasks    []*task
	left     int
}

// task is one task of a job.
type task struct {
	job   *job
	step  *step
	name  string
	state taskState
	// run numbers the task's starts.
	run uint32
	// on is where the present run was sent to.
	on       LinkID
	agent    string
	worker   string
	sentAt   time.Time
	expected time.Duration
	// expectedWait is the part of it before the start.
	expectedWait time.Duration
	// slow is set if its agent last reported that it takes too long.
	slow      bool
	remaining time.Duration
	// waitsAt is the agent's message that reported it as waiting.
	waitsAt uint64
	// withdrawnAt is when it was last withdrawn from a queue.
	withdrawnAt time.Time
	// stopping is set while its run shall end, moving if only to start again elsewhere.
	stopping, moving bool
	// failedOn are the workers on which it failed.
	failedOn map[string]int
	failures int
	// lost counts the workers that were lost under it, blamed the crashes that are put
	// down to it.
	lost, blamed int
	// lapsed are the runs that were lost with a worker which went silent, with the time of
	// it, as long as it is not known whether the worker had crashed.
	lapsed map[uint32]time.Time
	// crashed are the runs that were counted as lost with a worker that crashed.
	crashed map[uint32]bool
	// refusedBy are the workers that refused it, with their number of refusals.
	refusedBy map[string]int
	// checkpoint resumes the task; empty if there is none.
	checkpoint string
	// taken tasks had another owner, whose newest run's number is not known.
	taken bool
	// handled are the runs whose kept ends were taken, counted the newest of them.
	handled map[uint32]bool
	counted uint32
	// abandoned is the newest run that was lost from sight, blockedBy the record that
	// must be stored before the task starts again.
	abandoned uint32
	blockedBy uint64
}

type taskState uint8

const (
	taskWaiting taskState = iota
	taskPlaced
	taskDone
)

func (t *task) key() runs.Key { return runs.Key{Task: t.name, Run: t.run} }

// oldRunStep is how far the number of a run is raised when the worker has seen
// a higher one, of the same job sent to another entry before.
const oldRunStep = 16

// Submit handles a new job, or one that was sent again.
func (c *Core) Submit(now time.Time, r *Request) {
	c.Now(now)
	if now.Before(c.settledAt) {
		// What is read right after a suspension may have been sent long before, by
		// a caller that has gone elsewhere since.
		c.refuse(r.ID, refusal{errkind.Draining, "settling", retrySoon, false})
		c.note(Note{Event: "refuse", Job: r.Job, Queue: r.Queue.Name, Version: r.Version, Reason: "settling"})
		return
	}
	if old := c.jobs.Get(r.Job); old != nil && old.durable == nil {
		c.attach(old, r)
		return
	}
	j := c.newJob(r)
	if c.recallSuspects(j) {
		c.out.Answers = append(c.out.Answers, Answer{Request: r.ID, Kind: errkind.TaskFailed})
		c.note(Note{Event: "give up", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: "its task crashes workers"})
		return
	}
	plan, refused := c.admit(j)
	deferred := refused != nil && refused.late && c.mayDefer(j)
	c.yields.of(c.now, j.queue).offered++
	if refused != nil && !deferred {
		c.yields.of(c.now, j.queue).lost++
		c.refuse(r.ID, *refused)
		c.note(Note{Event: "refuse", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: refused.reason, Wait: plan.delay, Slack: plan.slack, Expected: plan.finish, Age: plan.age})
		return
	}
	c.jobs.Put(j.name, j)
	c.byRequest[r.ID] = j
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			c.byTask[t.name] = t
		}
	}
	if deferred {
		c.defers(j, plan, refused.reason)
		return
	}
	c.note(Note{Event: "admit", Job: j.name, Queue: j.queue.Name, Version: j.version, Wait: plan.delay, Slack: plan.slack, Expected: plan.finish, Age: plan.age})
	c.workOf(j.queue.Service).urgent.took(c.now, j.work())
	c.carryOut(plan)
}

// attach makes a repeated submission wait for the job that is here. One that was
// ended goes on: tasks that are being stopped start anew once they are over.
func (c *Core) attach(j *job, r *Request) {
	j.requests = append(j.requests, r.ID)
	c.byRequest[r.ID] = j
	j.deadline = r.Deadline
	if j.ended {
		j.ended = false
		j.answerBy = time.Time{}
		j.arrived = c.now
		j.late = false
	}
	c.note(Note{Event: "attach", Job: j.name, Queue: j.queue.Name, Version: j.version})
	c.placeJob(j)
}

func (c *Core) newJob(r *Request) *job {
	j := &job{
		name: r.Job, queue: r.Queue, version: r.Version, spec: r.Spec, requests: []RequestID{r.ID},
		arrived: c.arrival(r), deadline: r.Deadline, steps: make([]step, len(r.Steps)),
	}
	for i := range r.Steps {
		s := &j.steps[i]
		s.Step = r.Steps[i]
		s.estimate = s.Estimate
		if c.settings.Policy.Has(policy.LearnedRunTimes) {
			s.estimate = c.learn.expect(j.queue.Name, s.Estimate)
		}
		s.left = s.Count
		j.left += s.Count
		for n := range s.Count {
			s.tasks = append(s.tasks, &task{job: j, step: s, name: TaskName(r.Job, i, n)})
		}
	}
	j.objective = j.queue.Objective(j.chain())
	return j
}

// arrival is when a request came. What it has waited in this process since counts
// against its objective: an entry whose processor is the bottleneck would otherwise take
// every job as one that is in time, and serve all of them late.
func (c *Core) arrival(r *Request) time.Time {
	if r.Arrived.IsZero() || r.Arrived.After(c.now) {
		return c.now
	}
	return r.Arrived
}

// TaskName returns the name of a task of a job that runs once.
func TaskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// chain returns the longest chain of estimated work.
func (j *job) chain() time.Duration {
	ends := make([]time.Duration, len(j.steps))
	var longest time.Duration
	for i := range j.steps {
		var start time.Duration
		for _, before := range j.steps[i].After {
			start = max(start, ends[before])
		}
		ends[i] = start + j.steps[i].estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// ready reports whether the tasks of a step may start.
func (j *job) ready(s *step) bool {
	for _, before := range s.After {
		if j.steps[before].left > 0 {
			return false
		}
	}
	return true
}

// Cancel handles that the caller of a request has gone.
func (c *Core) Cancel(now time.Time, id RequestID) {
	c.Now(now)
	j := c.byRequest[id]
	if j == nil {
		return
	}
	delete(c.byRequest, id)
	for i, other := range j.requests {
		if other == id {
			j.requests = append(j.requests[:i], j.requests[i+1:]...)
			break
		}
	}
	if len(j.requests) == 0 {
		c.note(Note{Event: "caller gone", Job: j.name, Queue: j.queue.Name, Version: j.version})
		c.endJob(j)
	}
}

// CancelJob ends a job by its name. It reports whether the job was here.
func (c *Core) CancelJob(now time.Time, name string) bool {
	c.Now(now)
	j := c.jobs.Get(name)
	if j == nil || j.ended || j.durable != nil {
		return false
	}
	c.giveUp(j, errkind.Canceled, "cancelled")
	return true
}

// endJob stops what runs of a job; the job is forgotten when all is over.
func (c *Core) endJob(j *job) {
	j.ended = true
	c.undefer(j)
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			if t.state == taskPlaced {
				c.stop(t)
			}
		}
	}
	c.forgetIfOver(j)
}

func (c *Core) forgetIfOver(j *job) {
	if j.placed() || c.keepsDurable(j) {
		return
	}
	c.jobs.Delete(j.name)
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			delete(c.byTask, t.name)
		}
	}
	if j.durable != nil && j.durable.again != nil {
		c.Own(c.now, j.durable.again)
	}
}

// checkDeadline gives a job up whose caller has stopped waiting.
func (c *Core) checkDeadline(j *job) {
	if j.durable != nil {
		return
	}
	if !j.ended && !c.now.Before(j.deadline) {
		c.giveUp(j, outOfTime, "deadline")
	}
	c.answerProved(j)
}

// placed reports whether a run was sent out that has not ended: it may have begun.
func (j *job) placed() bool {
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			if t.state == taskPlaced {
				return true
			}
		}
	}
	return false
}
