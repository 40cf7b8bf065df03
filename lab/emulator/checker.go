package emulator

import (
	"fmt"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/room"
	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// checker checks the guarantees of the system during a simulation and collects their violations.
type checker struct {
	sim        *simulation
	violations []string
	// runningOn holds the workers on which each task runs at present.
	runningOn map[string]map[*worker]bool
	// started holds the jobs of which a task has started.
	started map[string]bool
	// answered holds the answers received for each job, requests the number of requests.
	answered map[string][]batch.Answer
	requests map[string]int
	// openRequests counts the unanswered requests of each job.
	openRequests map[string]int
	// accepted holds the durable jobs whose callers received the answer that they are accepted.
	accepted map[string]bool
	// doneRuns holds the runs of each durable task that ended as done.
	doneRuns         map[string][]*doneRun
	jobsDone, starts int
	// crashCount counts the workers that each task has crashed, startsAfterLimit the starts of a
	// durable task since it has reached crashLimit.
	crashCount, startsAfterLimit map[string]int
	// crashesDuring counts the workers that crashed while a task ran there, failedRuns the runs of
	// each task that failed.
	crashesDuring, failedRuns map[string]int
}

func newChecker(sim *simulation) checker {
	return checker{
		sim: sim, runningOn: make(map[string]map[*worker]bool), started: make(map[string]bool),
		answered: make(map[string][]batch.Answer), requests: make(map[string]int), openRequests: make(map[string]int),
		accepted: make(map[string]bool), doneRuns: make(map[string][]*doneRun),
		crashCount: make(map[string]int), startsAfterLimit: make(map[string]int), crashesDuring: make(map[string]int), failedRuns: make(map[string]int),
	}
}

func (c *checker) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.sim.elapsed())+fmt.Sprintf(format, args...))
}

// capacityDelay is the time within which an agent learns of a changed capacity; some announcements
// are delayed.
const capacityDelay = 2 * time.Second

// runStarted checks the guarantees that apply when a worker starts a run.
func (c *checker) runStarted(key runs.Key, w *worker) {
	c.starts++
	c.checkRestart(key)
	c.checkStartAfterCrashes(key)
	c.checkDrained(key, w)
	job := key.Job()
	c.started[job] = true
	if j := c.sim.jobs[job]; j != nil && j.record != nil {
		j.record.started = true
	}
	for _, a := range c.answered[job] {
		if isRefusedNotRun(a) && c.openRequests[job] == 0 {
			c.reportViolation("task %s starts after its job was refused as not run", key.Task)
		}
	}
	for other := range c.runningOn[key.Task] {
		if other != w && !other.down {
			c.reportViolation("task %s runs on %s and %s", key.Task, other.id, w.id)
		}
	}
	if c.runningOn[key.Task] == nil {
		c.runningOn[key.Task] = make(map[*worker]bool)
	}
	c.runningOn[key.Task][w] = true
	used := room.Resources{}
	for r := range w.running.Values() {
		used = used.Add(r.need)
	}
	if !w.maxRecentCapacity(capacityDelay).Fits(used) {
		c.reportViolation("%s is over its room: %+v", w.id, used)
	}
}

// Once a durable task has crashed crashLimit workers, it may be started maxStartsAfterLimit times
// more.
const (
	crashLimit          = 3
	maxStartsAfterLimit = 2
)

// workerCrashed records that a run has crashed its worker.
func (c *checker) workerCrashed(key runs.Key, w *worker) {
	c.crashCount[key.Task]++
	c.sim.logEvent("%s crashes worker %s", key.Task, w.id)
}

// checkStartAfterCrashes checks that a durable task that has crashed crashLimit workers is started at
// most maxStartsAfterLimit times more.
func (c *checker) checkStartAfterCrashes(key runs.Key) {
	j := c.sim.jobs[key.Job()]
	if j == nil || !j.durable || c.crashCount[key.Task] < crashLimit {
		return
	}
	if c.startsAfterLimit[key.Task]++; c.startsAfterLimit[key.Task] > maxStartsAfterLimit {
		c.reportViolation("task %s was started %d times after it had crashed %d workers", key.Task, c.startsAfterLimit[key.Task], c.crashCount[key.Task])
	}
}

func (c *checker) runEnded(task string, w *worker) { delete(c.runningOn[task], w) }

// answerReceived checks an answer that a caller has received.
func (c *checker) answerReceived(job string, a batch.Answer) {
	c.answered[job] = append(c.answered[job], a)
	if a.Kind == errkind.OK {
		c.jobsDone++
	}
	if a.Kind == errkind.TaskFailed {
		c.checkJobFailure(job)
	}
	if !isRefusedNotRun(a) || !c.started[job] {
		return
	}
	// A task may have started for an earlier request that got no answer. The refusal is wrong only
	// if all requests were refused.
	for _, other := range c.answered[job] {
		if !isRefusedNotRun(other) {
			return
		}
	}
	if len(c.answered[job]) == c.requests[job] {
		c.reportViolation("job %s was refused as not run and had begun", job)
	}
}

// crashesToFail is the number of workers that must have crashed while they ran a task for its job
// to fail because of that.
const crashesToFail = 2

// checkJobFailure checks that a job reported as failed has a task that failed MaxAttempts times, or
// during which crashesToFail workers crashed.
func (c *checker) checkJobFailure(job string) {
	j := c.sim.jobs[job]
	for _, task := range j.taskNames() {
		if c.failedRuns[task] >= j.queue.MaxAttempts || c.crashesDuring[task] >= crashesToFail {
			return
		}
	}
	c.reportViolation("job %s failed without a cause", job)
}

// isRefusedNotRun reports whether an answer is a refusal which says that nothing has run.
func isRefusedNotRun(a batch.Answer) bool {
	return a.Kind != errkind.OK && errkind.Of(a.Kind).Ran == errkind.NotRun
}

// doneRun is a run that ended as done, as its worker lists it.
type doneRun struct {
	worker      *worker
	incarnation int
	number      int64
	at          time.Time
	// leaseExpired is true if the worker's lease expired before the end was acknowledged.
	leaseExpired bool
	acknowledged bool
	// restarted is true once a later run of the task has started.
	restarted bool
}

// taskDone records that a run of a durable job's task ended as done.
func (c *checker) taskDone(w *worker, key runs.Key, number int64) {
	if j := c.sim.jobs[key.Job()]; j == nil || !j.durable {
		return
	}
	c.doneRuns[key.Task] = append(c.doneRuns[key.Task], &doneRun{worker: w, incarnation: w.incarnation, number: number, at: c.sim.now})
}

// checkRestart checks a start against the earlier ends of its task.
func (c *checker) checkRestart(key runs.Key) {
	for _, d := range c.doneRuns[key.Task] {
		d.restarted = true
		c.checkDoneRun(key.Task, d)
	}
}

// acknowledgeEnds handles that a worker may drop its held ends up to a number.
func (c *checker) acknowledgeEnds(w *worker, upTo int64) {
	for task, list := range c.doneRuns {
		for _, d := range list {
			if d.worker == w && d.incarnation == w.incarnation && d.number <= upTo && !d.acknowledged {
				d.acknowledged = true
				c.checkDoneRun(task, d)
			}
		}
	}
}

// leaseExpired handles that a worker's lease has expired.
func (c *checker) leaseExpired(w *worker) {
	for _, list := range c.doneRuns {
		for _, d := range list {
			if d.worker == w && !d.acknowledged {
				d.leaseExpired = true
			}
		}
	}
}

// checkDoneRun checks that a task is not started again after its end was acknowledged, unless the
// worker's lease had expired before.
func (c *checker) checkDoneRun(task string, d *doneRun) {
	if d.restarted && d.acknowledged && !d.leaseExpired {
		c.reportViolation("task %s was started again after its end on %s was taken note of", task, d.worker.id)
	}
}

// checkReportedState checks that each task of a job that an entry reports as done has ended as done,
// and that a job reported as failed has a reason to fail.
func (c *checker) checkReportedState(e *entryProcess, job string) {
	state, _ := e.ledger.State(job)
	if state == batch.JobFailed {
		c.checkJobFailure(job)
	}
	if state != batch.JobDone {
		return
	}
	for _, task := range c.sim.jobs[job].taskNames() {
		if len(c.doneRuns[task]) == 0 {
			c.reportViolation("job %s is shown as done by %s without task %s", job, e.address, task)
		}
	}
}
