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

// jobSpec is a job as its caller and the workers know it.
type jobSpec struct {
	name  string
	queue *catalog.Queue
	steps []batch.Step
	// run returns how long a worker takes for a start, and whether it fails.
	run func(key runs.Key) (time.Duration, bool)
	// crashes tells whether a run crashes its worker, and after which time; nil if none does.
	crashes func(key runs.Key) (time.Duration, bool)
	// patience is how long the caller waits for an answer.
	patience time.Duration
	durable  bool
	// attempts is how often the caller hands the job in at most.
	attempts int
	// returns is how often it comes back after a refusal.
	returns int
	// leavesAfter is when the caller gives up early; 0 if it does not.
	leavesAfter time.Duration
	// choose returns the entry for the next attempt, or nil if none is in reach.
	choose func() *entryProcess
	// record is what became of it; nil if nobody asks.
	record *record
}

// needOf returns the room that a task needs.
func (j *jobSpec) needOf(task string) room.Room {
	step, _ := position(task)
	if step >= len(j.steps) {
		return room.Room{}
	}
	return j.steps[step].Need
}

// position returns the step and the index that a task's name holds.
func position(task string) (step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != taskNameParts {
		return 0, 0
	}
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return step, index
}

// taskNameParts are job, occurrence, step and index.
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

// submit hands a job in; without an answer it is sent again after the resend time.
func (w *world) submit(j *jobSpec) {
	w.jobs[j.name] = j
	if j.durable {
		w.accept(j)
		return
	}
	j.attempts--
	e := j.choose()
	if e == nil || e.dead {
		w.resubmit(j)
		return
	}
	w.checks.attempts[j.name]++
	w.checks.open[j.name]++
	w.tell("caller sends %s to %s", j.name, e.address)
	e.nextID++
	r := &request{id: batch.RequestID(e.nextID), job: j}
	e.open.Put(r.id, r)
	deadline := w.now.Add(j.patience)
	e.deliver(w.layout.caller, func() {
		e.core.Submit(w.now, &batch.Request{
			ID: r.id, Job: j.name, Queue: j.queue, Spec: "x", Deadline: deadline, Steps: j.steps,
		})
		e.perform()
	})
	w.watch(e, r)
}

// resubmit sends a job again later, if its caller does so at all.
func (w *world) resubmit(j *jobSpec) {
	if j.attempts <= 0 {
		w.ended(j, fateUnanswered)
		return
	}
	w.after(w.layout.resend, func() { w.submit(j) })
}

// watch is the caller's side of an attempt: it ends with the answer, with the
// connection, or with the caller's patience.
func (w *world) watch(e *entryProcess, r *request) {
	r.lost = func() {
		w.close(e, r)
		w.resubmit(r.job)
	}
	leave := func(again bool) {
		if r.done {
			return
		}
		w.close(e, r)
		w.tell("caller gives %s up at %s", r.job.name, e.address)
		e.deliver(w.layout.caller, func() {
			e.core.Cancel(w.now, r.id)
			e.perform()
		})
		if again {
			w.resubmit(r.job)
			return
		}
		w.ended(r.job, fateLeft)
	}
	if r.job.leavesAfter > 0 {
		w.after(r.job.leavesAfter, func() { leave(false) })
	}
	w.after(r.job.patience, func() { leave(true) })
}

// close ends an attempt at the caller's side.
func (w *world) close(e *entryProcess, r *request) {
	r.done = true
	w.checks.open[r.job.name]--
	e.open.Delete(r.id)
}

// answered hands an entry's answer to the caller.
func (w *world) answered(e *entryProcess, r *request, a batch.Answer) {
	w.close(e, r)
	w.checks.took(r.job.name, a)
	switch {
	case a.Kind == errkind.OK:
		w.ended(r.job, fateServed)
	case a.Kind == errkind.TaskFailed:
		w.ended(r.job, fateFailed)
	case refusedNotRun(a) && r.job.returns > 0:
		r.job.returns--
		r.job.attempts++
		w.after(a.RetryAfter, func() { w.submit(r.job) })
	case refusedNotRun(a):
		w.ended(r.job, fateRefused)
	default:
		w.resubmit(r.job)
	}
}

// accept hands a durable job in; without an answer it is sent again elsewhere.
func (w *world) accept(j *jobSpec) {
	j.attempts--
	again := func() {
		if j.attempts <= 0 {
			w.ended(j, fateUnanswered)
			return
		}
		w.after(w.layout.resend, func() { w.accept(j) })
	}
	e := j.choose()
	if e == nil || e.dead {
		again()
		return
	}
	e.nextID++
	id := ledger.RequestID(e.nextID)
	over := false
	w.tell("caller hands %s in at %s", j.name, e.address)
	e.asks[id] = func(kind errkind.Kind) {
		if over {
			return
		}
		over = true
		if kind == errkind.OK {
			w.checks.accepted[j.name] = true
			return
		}
		if errkind.Of(kind).Ran == errkind.NotRun {
			w.ended(j, fateRefused)
		}
	}
	e.deliver(w.layout.caller, func() {
		e.ledger.Accept(w.now, id, j.name, &ledger.Row{Queue: j.queue.Name, Steps: j.steps})
		e.perform()
	})
	w.after(j.patience, func() {
		if !over {
			over = true
			again()
		}
	})
}

// ended notes what became of a job.
func (w *world) ended(j *jobSpec, f fate) {
	if j.record != nil {
		j.record.end(f, w.since())
	}
}

// needOf returns the room that a run takes at its worker.
func (w *world) needOf(key runs.Key) room.Room {
	if j := w.jobs[key.Job()]; j != nil {
		return j.needOf(key.Task)
	}
	return room.Room{}
}
