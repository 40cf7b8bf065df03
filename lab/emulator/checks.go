package emulator

import (
	"fmt"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/room"
	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// checks watches what must always hold.
type checks struct {
	w      *world
	broken []string
	// runningOn are the workers on which a task runs now.
	runningOn map[string]map[*worker]bool
	// began are the jobs of which something started.
	began    map[string]bool
	answered map[string][]batch.Answer
	attempts map[string]int
	// open counts the attempts of a job that are not answered.
	open map[string]int
	// accepted are durable jobs whose callers heard so.
	accepted map[string]bool
	// doneRuns are the runs of durable tasks that ended done.
	doneRuns     map[string][]*doneRun
	done, starts int
	// crashed counts the workers that a task has crashed, startedAfter its starts after
	// that reached the bound.
	crashed, startedAfter map[string]int
	// lostUnder counts the workers that crashed while a task ran there, failedRuns the
	// runs of a task that failed.
	lostUnder, failedRuns map[string]int
}

func newChecks(w *world) checks {
	return checks{
		w: w, runningOn: make(map[string]map[*worker]bool), began: make(map[string]bool),
		answered: make(map[string][]batch.Answer), attempts: make(map[string]int), open: make(map[string]int),
		accepted: make(map[string]bool), doneRuns: make(map[string][]*doneRun),
		crashed: make(map[string]int), startedAfter: make(map[string]int), lostUnder: make(map[string]int), failedRuns: make(map[string]int),
	}
}

func (c *checks) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%v: ", c.w.since())+fmt.Sprintf(format, args...))
}

// capacityHeard is the time in which an agent has heard of another capacity, some
// announcements being late.
const capacityHeard = 2 * time.Second

// startedOn checks what must hold when a worker starts a run.
func (c *checks) startedOn(key runs.Key, k *worker) {
	c.starts++
	c.restarts(key)
	c.startsAfterCrashes(key)
	c.startedWhileDrained(key, k)
	job := key.Job()
	c.began[job] = true
	if j := c.w.jobs[job]; j != nil && j.record != nil {
		j.record.began = true
	}
	for _, a := range c.answered[job] {
		if refusedNotRun(a) && c.open[job] == 0 {
			c.breaks("task %s starts after its job was refused as not run", key.Task)
		}
	}
	for other := range c.runningOn[key.Task] {
		if other != k && !other.down {
			c.breaks("task %s runs on %s and %s", key.Task, other.id, k.id)
		}
	}
	if c.runningOn[key.Task] == nil {
		c.runningOn[key.Task] = make(map[*worker]bool)
	}
	c.runningOn[key.Task][k] = true
	used := room.Room{}
	for r := range k.running.Values() {
		used = used.Plus(r.need)
	}
	if !k.mayUse(capacityHeard).Fits(used) {
		c.breaks("%s is over its room: %+v", k.id, used)
	}
}

// Bounds of a durable task that crashes workers: so many starts more once so many have
// crashed.
const (
	crashesAllowed = 3
	startsAllowed  = 2
)

// crashedBy notes that a run has crashed its worker.
func (c *checks) crashedBy(key runs.Key, k *worker) {
	c.crashed[key.Task]++
	c.w.tell("%s crashes worker %s", key.Task, k.id)
}

func (c *checks) startsAfterCrashes(key runs.Key) {
	j := c.w.jobs[key.Job()]
	if j == nil || !j.durable || c.crashed[key.Task] < crashesAllowed {
		return
	}
	if c.startedAfter[key.Task]++; c.startedAfter[key.Task] > startsAllowed {
		c.breaks("task %s was started %d times after it had crashed %d workers", key.Task, c.startedAfter[key.Task], c.crashed[key.Task])
	}
}

func (c *checks) ranUntil(task string, k *worker) { delete(c.runningOn[task], k) }

// took is an answer that a caller got.
func (c *checks) took(job string, a batch.Answer) {
	c.answered[job] = append(c.answered[job], a)
	if a.Kind == errkind.OK {
		c.done++
	}
	if a.Kind == errkind.TaskFailed {
		c.failedFor(job)
	}
	if !refusedNotRun(a) || !c.began[job] {
		return
	}
	// An earlier attempt that got no answer may have begun: only if all attempts
	// were refused is the refusal untrue.
	for _, other := range c.answered[job] {
		if !refusedNotRun(other) {
			return
		}
	}
	if len(c.answered[job]) == c.attempts[job] {
		c.breaks("job %s was refused as not run and had begun", job)
	}
}

// lossesToFail is the number of workers that must have crashed under a task for its job to
// fail for it.
const lossesToFail = 2

// failedFor checks that a job which is told as failed has a task that failed as often as is
// allowed, or under which workers crashed.
func (c *checks) failedFor(job string) {
	j := c.w.jobs[job]
	for _, task := range j.taskNames() {
		if c.failedRuns[task] >= j.queue.MaxAttempts || c.lostUnder[task] >= lossesToFail {
			return
		}
	}
	c.breaks("job %s failed without a cause", job)
}

func refusedNotRun(a batch.Answer) bool {
	return a.Kind != errkind.OK && errkind.Of(a.Kind).Ran == errkind.NotRun
}

// doneRun is a run that ended done, as its worker lists it.
type doneRun struct {
	worker *worker
	life   int
	number int64
	at     time.Time
	// lapsed is true once the worker's lease ended before the end was taken note of.
	lapsed bool
	noted  bool
	// restarted is true once a later run of the task began.
	restarted bool
}

// endedDone notes the end of a durable job's task.
func (c *checks) endedDone(k *worker, key runs.Key, number int64) {
	if j := c.w.jobs[key.Job()]; j == nil || !j.durable {
		return
	}
	c.doneRuns[key.Task] = append(c.doneRuns[key.Task], &doneRun{worker: k, life: k.life, number: number, at: c.w.now})
}

// restarts checks a start against the ends of the task so far.
func (c *checks) restarts(key runs.Key) {
	for _, d := range c.doneRuns[key.Task] {
		d.restarted = true
		c.checkDone(key.Task, d)
	}
}

// noteEnds handles that a worker may forget its ends up to a number.
func (c *checks) noteEnds(k *worker, upTo int64) {
	for task, list := range c.doneRuns {
		for _, d := range list {
			if d.worker == k && d.life == k.life && d.number <= upTo && !d.noted {
				d.noted = true
				c.checkDone(task, d)
			}
		}
	}
}

// lapse handles that a worker's lease has ended.
func (c *checks) lapse(k *worker) {
	for _, list := range c.doneRuns {
		for _, d := range list {
			if d.worker == k && !d.noted {
				d.lapsed = true
			}
		}
	}
}

func (c *checks) checkDone(task string, d *doneRun) {
	if d.restarted && d.noted && !d.lapsed {
		c.breaks("task %s was started again after its end on %s was taken note of", task, d.worker.id)
	}
}

// shown checks that a job which is shown as done is done.
func (c *checks) shown(e *entryProcess, job string) {
	state, _ := e.ledger.State(job)
	if state == batch.JobFailed {
		c.failedFor(job)
	}
	if state != batch.JobDone {
		return
	}
	for _, task := range c.w.jobs[job].taskNames() {
		if len(c.doneRuns[task]) == 0 {
			c.breaks("job %s is shown as done by %s without task %s", job, e.address, task)
		}
	}
}
