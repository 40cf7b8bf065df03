package emulator

import (
	"strconv"
	"strings"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/room"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// jobSpec is a job as its caller submits it and as workers run it.
type jobSpec struct {
	name  string
	queue *catalog.Queue
	// caller identifies the caller; empty if callers are not told apart.
	caller string
	steps  []batch.Step
	// taskWork returns the work of a run, as its duration at full speed, and whether it fails.
	taskWork func(key runs.Key) (time.Duration, bool)
	// crashDelay returns the time after its start at which a run crashes its worker, and whether it
	// does. It is nil if no run crashes its worker.
	crashDelay func(key runs.Key) (time.Duration, bool)
	// timeout is how long the caller waits for an answer.
	timeout time.Duration
	durable bool
	// submissionsLeft is the number of submissions that the caller has left.
	submissionsLeft int
	// retriesAfterRefusal is how often the caller submits the job again after a refusal.
	retriesAfterRefusal int
	// cancelAfter is the time after which the caller cancels the job, 0 for never.
	cancelAfter time.Duration
	// nextEntry returns the entry for the next submission, or nil if there is none.
	nextEntry func() *entryProcess
	// record receives the outcome of the job; nil if it is not recorded.
	record *jobRecord
}

// needOf returns the resources that a task needs.
func (j *jobSpec) needOf(task string) room.Resources {
	step, _ := stepAndIndex(task)
	if step >= len(j.steps) {
		return room.Resources{}
	}
	return j.steps[step].Need
}

// stepAndIndex returns the step and the index within the step that the name of a task contains.
func stepAndIndex(task string) (step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != taskNameParts {
		return 0, 0
	}
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return step, index
}

// taskNameParts is the number of parts of a task's name: job, occurrence, step and index.
const taskNameParts = 4

func (j *jobSpec) taskNames() []string {
	var list []string
	for i := range j.steps {
		for n := range j.steps[i].Count {
			list = append(list, batch.TaskName(j.name, i, n))
		}
	}
	return list
}

// submit sends a job to an entry. Without an answer it is submitted again after the resend time.
func (sim *simulation) submit(j *jobSpec) {
	sim.jobs[j.name] = j
	if j.durable {
		sim.submitDurable(j)
		return
	}
	j.submissionsLeft--
	e := j.nextEntry()
	if e == nil || e.dead {
		sim.resubmit(j)
		return
	}
	sim.checker.requests[j.name]++
	sim.checker.openRequests[j.name]++
	sim.logEvent("caller sends %s to %s", j.name, e.address)
	e.nextID++
	r := &request{id: batch.RequestID(e.nextID), job: j}
	e.openRequests.Put(r.id, r)
	deadline := sim.now.Add(j.timeout)
	e.deliver(sim.config.callerLatency, func() {
		e.core.Submit(sim.now, &batch.Request{
			ID: r.id, Job: j.name, Queue: j.queue, Caller: j.caller, Spec: "x", Deadline: deadline, Steps: j.steps,
		})
		e.perform()
	})
	sim.watchRequest(e, r)
}

// resubmit submits a job again after the resend time, unless the caller has no submissions left.
func (sim *simulation) resubmit(j *jobSpec) {
	if j.submissionsLeft <= 0 {
		sim.recordEnd(j, outcomeUnanswered)
		return
	}
	sim.schedule(sim.config.resend, func() { sim.submit(j) })
}

// watchRequest simulates the caller while it waits for an answer. The request ends with the answer,
// the loss of the connection, the caller's timeout or its cancellation.
func (sim *simulation) watchRequest(e *entryProcess, r *request) {
	r.onConnectionLost = func() {
		sim.closeRequest(e, r)
		sim.resubmit(r.job)
	}
	cancel := func(retry bool) {
		if r.done {
			return
		}
		sim.closeRequest(e, r)
		sim.logEvent("caller gives %s up at %s", r.job.name, e.address)
		e.deliver(sim.config.callerLatency, func() {
			e.core.CancelRequest(sim.now, r.id)
			e.perform()
		})
		if retry {
			sim.resubmit(r.job)
			return
		}
		sim.recordEnd(r.job, outcomeCancelled)
	}
	if r.job.cancelAfter > 0 {
		sim.schedule(r.job.cancelAfter, func() { cancel(false) })
	}
	sim.schedule(r.job.timeout, func() { cancel(true) })
}

// closeRequest ends a request on the caller's side.
func (sim *simulation) closeRequest(e *entryProcess, r *request) {
	r.done = true
	sim.checker.openRequests[r.job.name]--
	e.openRequests.Delete(r.id)
}

// receiveAnswer handles an entry's answer on the caller's side.
func (sim *simulation) receiveAnswer(e *entryProcess, r *request, a batch.Answer) {
	sim.closeRequest(e, r)
	sim.checker.answerReceived(r.job.name, a)
	switch {
	case a.Kind == errkind.OK:
		sim.recordEnd(r.job, outcomeServed)
	case a.Kind == errkind.TaskFailed:
		sim.recordEnd(r.job, outcomeFailed)
	case isRefusedNotRun(a) && r.job.retriesAfterRefusal > 0:
		r.job.retriesAfterRefusal--
		r.job.submissionsLeft++
		sim.schedule(a.RetryAfter, func() { sim.submit(r.job) })
	case isRefusedNotRun(a):
		sim.recordEnd(r.job, outcomeRefused)
	default:
		sim.resubmit(r.job)
	}
}

// submitDurable submits a durable job. Without an answer it is submitted again, to the entry that
// nextEntry returns then.
func (sim *simulation) submitDurable(j *jobSpec) {
	sim.addQueue(j.queue)
	j.submissionsLeft--
	retry := func() {
		if j.submissionsLeft <= 0 {
			sim.recordEnd(j, outcomeUnanswered)
			return
		}
		sim.schedule(sim.config.resend, func() { sim.submitDurable(j) })
	}
	e := j.nextEntry()
	if e == nil || e.dead {
		retry()
		return
	}
	e.nextID++
	id := ledger.RequestID(e.nextID)
	closed := false
	sim.logEvent("caller hands %s in at %s", j.name, e.address)
	e.durableWaiters[id] = func(kind errkind.Kind) {
		if closed {
			return
		}
		closed = true
		if kind == errkind.OK {
			sim.checker.accepted[j.name] = true
			return
		}
		if errkind.Of(kind).Ran == errkind.NotRun {
			sim.recordEnd(j, outcomeRefused)
		}
	}
	e.deliver(sim.config.callerLatency, func() {
		row := ledger.NewRow(j.queue, "", j.steps)
		if sim.config.forgetsTerms {
			row.Terms = nil
		}
		e.ledger.Accept(sim.now, id, j.name, row, sim.now)
		e.perform()
	})
	sim.schedule(j.timeout, func() {
		if !closed {
			closed = true
			retry()
		}
	})
}

// recordEnd records the outcome of a job.
func (sim *simulation) recordEnd(j *jobSpec, outcome jobOutcome) {
	if j.record != nil {
		j.record.end(outcome, sim.elapsed())
	}
}

// needOf returns the resources that a run takes at its worker.
func (sim *simulation) needOf(key runs.Key) room.Resources {
	if j := sim.jobs[key.Job()]; j != nil {
		return j.needOf(key.Task)
	}
	return room.Resources{}
}
