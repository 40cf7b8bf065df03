package batch

import (
	"strconv"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/admission"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// job is an awaited or durable job.
type job struct {
	name     string
	queue    *catalog.Queue
	caller   string
	version  uint64
	spec     string
	steps    []step
	requests []RequestID
	arrived  time.Time
	deadline time.Time
	// objective is the time from arrival within which the job should end.
	objective time.Duration
	// begun is set once a run of the job is known to have begun.
	begun bool
	// ended is set once the job gets no more starts. It is kept until all its runs are over.
	ended bool
	// proofDeadline is set while the answer of an ended job waits for its agents to report whether
	// anything began.
	proofDeadline time.Time
	// openTasks is the number of tasks that are not done.
	openTasks int
	// deferred is set while the job waits for spare capacity. pastObjective is set if it was
	// started there too late for its objective.
	deferred, pastObjective bool
	// wasDeferred is set once the job was deferred and stays set. promised is set while its outcome
	// is not known.
	wasDeferred, promised bool
	// durable is nil for an awaited job.
	durable *durable
}

// step is a Step with its tasks.
type step struct {
	Step
	// estimate is the expected run time of one task.
	estimate  time.Duration
	tasks     []*task
	openTasks int
	// outOfReach is set while the tasks, which are those of a durable job, are not placed because no
	// linked worker meets their requirement.
	outOfReach bool
	// reservations are those for the waiting tasks.
	reservations []*reservation
}

// task is one task of a job.
type task struct {
	job   *job
	step  *step
	name  string
	state taskState
	// run is the number of the task's newest start. See nextRun.
	run uint32
	// link is the link on which the current run was started.
	link LinkID
	// agent and worker are where the current run was started, at sentAt.
	agent  string
	worker string
	sentAt time.Time
	// expected is the expected time from the start message to the end of the run.
	expected time.Duration
	// slow is set if the agent reported that the run takes longer than estimated.
	slow bool
	// remaining is the last reported time to the end of a slow run.
	remaining time.Duration
	// stopping is set while a stop of the run is pending; moving is set in addition if the task is
	// to be started elsewhere after it.
	stopping, moving bool
	// failedOn counts the failures of the task by worker.
	failedOn map[string]int
	failures int
	// lostWorkers is the number of workers that were lost while they ran the task, blamedCrashes
	// the number of crashes attributed to it.
	lostWorkers, blamedCrashes int
	// unreachableRuns are the runs whose worker became unreachable, until it is known whether the worker
	// crashed.
	unreachableRuns map[uint32]unreachableRun
	// crashedRuns are the runs whose worker is known to have crashed and was counted.
	crashedRuns map[uint32]bool
	// refusedBy counts the refusals of the task by worker.
	refusedBy map[string]int
	// checkpoint is where the next run resumes; empty if there is none.
	checkpoint string
	// handledRuns are the runs whose held ends were handled, newestHandledRun the newest of them.
	handledRuns      map[uint32]bool
	newestHandledRun uint32
	// abandonedRun is the newest run whose outcome is unknown and no longer counts. blockingRecord
	// is the number of the record that must be stored before the task starts again.
	abandonedRun   uint32
	blockingRecord uint64
}

// taskState is whether a task has a run.
type taskState uint8

const (
	// taskWaiting tasks have no run.
	taskWaiting taskState = iota
	// taskPlaced tasks have a run that was sent to an agent and has not ended.
	taskPlaced
	taskDone
)

func (t *task) key() runs.Key { return runs.Key{Task: t.name, Run: t.run} }

// runNumberGap is added to the run number of a task of an awaited job when its worker has seen a
// higher one, from another entry that had the same job.
const runNumberGap = 16

// Submit handles a new or repeated submission of a job.
func (c *Core) Submit(now time.Time, r *Request) {
	c.Advance(now)
	c.observeOwnDelay(r)
	if now.Before(c.settledAt) {
		// Requests read right after a suspension may have been sent long before, by callers that
		// have gone to another entry since.
		c.refuse(r.ID, refusal{errkind.Draining, "settling", retryDelay, false})
		c.logDecision(Decision{Event: "refuse", Job: r.Job, Queue: r.Queue.Name, Version: r.Version, Reason: "settling"})
		return
	}
	if old := c.jobs.Get(r.Job); old != nil && old.durable == nil {
		c.attach(old, r)
		return
	}
	j := c.newJob(r)
	if c.applySuspects(j) {
		c.out.Answers = append(c.out.Answers, Answer{Request: r.ID, Kind: errkind.TaskFailed})
		c.logDecision(Decision{Event: "give up", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: "its task crashes workers"})
		return
	}
	plan, refused := c.admit(j)
	deferred := refused != nil && refused.deferrable && c.canDefer(j)
	c.gate.Offered(c.now, j.gateJob(), plan.slack)
	if refused != nil && !deferred {
		c.gate.Lost(c.now, j.gateJob())
		c.refuse(r.ID, *refused)
		c.logDecision(Decision{Event: "refuse", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: refused.reason, Wait: plan.forecast.Wait, WaitBehindAll: plan.forecast.WaitBehindAll, Slack: plan.slack, Expected: plan.finish, Age: plan.age})
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
		c.deferJob(j, plan, refused.reason)
		return
	}
	c.logDecision(Decision{Event: "admit", Job: j.name, Queue: j.queue.Name, Version: j.version, Wait: plan.forecast.Wait, WaitBehindAll: plan.forecast.WaitBehindAll, Slack: plan.slack, Expected: plan.finish, Age: plan.age})
	c.startedWorkOf(j.queue.Service).immediate.add(c.now, j.openWork())
	c.startPlan(plan)
}

// attach adds a repeated submission to the existing job. If the job had ended it is resumed: tasks
// whose runs are being stopped start again once these are over.
func (c *Core) attach(j *job, r *Request) {
	j.requests = append(j.requests, r.ID)
	c.byRequest[r.ID] = j
	j.deadline = r.Deadline
	if j.ended {
		j.ended = false
		j.proofDeadline = time.Time{}
		j.arrived = c.now
		j.pastObjective = false
	}
	c.logDecision(Decision{Event: "attach", Job: j.name, Queue: j.queue.Name, Version: j.version})
	c.placeJob(j)
}

// newJob returns a job with waiting tasks. It is not added to the core's jobs.
func (c *Core) newJob(r *Request) *job {
	j := &job{
		name: r.Job, queue: r.Queue, caller: r.Caller, version: r.Version, spec: r.Spec, requests: []RequestID{r.ID},
		arrived: c.arrivalTime(r), deadline: r.Deadline, steps: make([]step, len(r.Steps)),
	}
	for i := range r.Steps {
		s := &j.steps[i]
		s.Step = r.Steps[i]
		s.estimate = s.Estimate
		if c.settings.Policy.Enabled(policy.LearnedRunTimes) {
			s.estimate = c.runTimes.expect(j.queue.Name, s.Estimate)
		}
		s.openTasks = s.Count
		j.openTasks += s.Count
		for n := range s.Count {
			s.tasks = append(s.tasks, &task{job: j, step: s, name: TaskName(r.Job, i, n)})
		}
	}
	j.objective = j.queue.Objective(j.criticalPath())
	return j
}

// arrivalTime returns when a request arrived. The time it has waited in this process counts against
// the objective: otherwise an entry whose processor is the bottleneck would admit every job as one
// that is in time, and serve all of them late.
func (c *Core) arrivalTime(r *Request) time.Time {
	if r.Arrived.IsZero() || r.Arrived.After(c.now) {
		return c.now
	}
	return r.Arrived
}

// TaskName returns the name of a task: the job, 0 for its only repetition, the step and the task's
// index in the step.
func TaskName(job string, step, index int) string {
	return job + ".0." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// criticalPath returns the longest chain of dependent estimated work.
func (j *job) criticalPath() time.Duration {
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

// isReady reports whether the tasks of a step may start, as all steps before it are complete.
func (j *job) isReady(s *step) bool {
	for _, before := range s.After {
		if j.steps[before].openTasks > 0 {
			return false
		}
	}
	return true
}

// CancelRequest handles that the caller of a request has disconnected.
func (c *Core) CancelRequest(now time.Time, id RequestID) {
	c.Advance(now)
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
		c.logDecision(Decision{Event: "caller gone", Job: j.name, Queue: j.queue.Name, Version: j.version})
		c.stopJob(j)
	}
}

// CancelJob cancels the awaited job of the given name. It reports whether the job was here and had
// not ended.
func (c *Core) CancelJob(now time.Time, name string) bool {
	c.Advance(now)
	j := c.jobs.Get(name)
	if j == nil || j.ended || j.durable != nil {
		return false
	}
	c.giveUp(j, errkind.Canceled, "cancelled")
	return true
}

// stopJob marks a job as ended and stops its runs. The job is forgotten once all of them are over.
func (c *Core) stopJob(j *job) {
	j.ended = true
	c.stopDeferring(j)
	c.resolvePromise(j, admission.Withdrawn)
	c.releaseReservations(j)
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			if t.state == taskPlaced {
				c.stopRun(t)
			}
		}
	}
	c.forgetIfOver(j)
}

// forgetIfOver removes an ended job without runs, unless it must be retained. A job that this entry
// has acquired again meanwhile starts.
func (c *Core) forgetIfOver(j *job) {
	if j.hasPlacedRun() || c.mustRetain(j) {
		return
	}
	c.jobs.Delete(j.name)
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			delete(c.byTask, t.name)
		}
	}
	if j.durable != nil && j.durable.reacquired != nil {
		c.RunDurable(c.now, j.durable.reacquired)
	}
}

// checkDeadline gives up an awaited job whose deadline has passed.
func (c *Core) checkDeadline(j *job) {
	if j.durable != nil {
		return
	}
	if !j.ended && !c.now.Before(j.deadline) {
		c.giveUp(j, outOfTime, "deadline")
	}
	c.answerIfProven(j)
}

// hasPlacedRun reports whether some run was sent to an agent and has not ended; it may have begun.
func (j *job) hasPlacedRun() bool {
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			if t.state == taskPlaced {
				return true
			}
		}
	}
	return false
}
