package batch

import (
	"peridotpick.example/common/errkind"
	"peridotpick.example/core/admission"
	"peridotpick.example/wire/runs"
)

// handleEnd handles the end of a run on a worker.
func (c *Core) handleEnd(worker string, end runs.End) {
	t := c.byTask[end.Key.Task]
	if end.Reason == runs.ReasonWorkerCrashed {
		switch {
		case t == nil:
			c.rememberUnowned(worker, end)
			return
		case t.takeLateCrash(end.Key.Run):
			c.handleWorkerCrash(t, worker, end)
			return
		}
	}
	if t == nil || t.state != taskPlaced || t.run != end.Key.Run {
		return // of an earlier run, or of a job that is forgotten
	}
	j := t.job
	if a := c.agents.Get(t.link); a != nil {
		a.runCount--
	}
	c.logDecision(Decision{
		Event: "end", Job: j.name, Queue: j.queue.Name, Version: j.version, Key: end.Key, Worker: worker,
		Outcome: end.Outcome, Reason: end.Reason.String(), Age: c.now.Sub(t.sentAt), Expected: t.expected,
	})
	if end.Outcome != runs.OutcomeRefused {
		j.begun = true
	}
	t.stopping, t.moving = false, false
	t.slow = false
	if end.Outcome == runs.OutcomeDone {
		c.completeTask(t, end)
	} else {
		t.state = taskWaiting
		if j.durable != nil && !end.NeedsAck && end.Outcome != runs.OutcomeRefused && !j.ended {
			c.abandonRun(t, end.Key.Run)
		}
		c.handleUnsuccessfulRun(t, worker, end)
	}
	if j.ended {
		c.answerIfProven(j)
		c.forgetIfOver(j)
		return
	}
	c.placeJob(j)
}

// completeTask handles that a run has completed its task, and the job if it was the last one.
func (c *Core) completeTask(t *task, end runs.End) {
	t.state = taskDone
	t.step.openTasks--
	t.job.openTasks--
	if end.Ran > 0 {
		c.runTimes.observe(t.job.queue.Name, t.step.Estimate, end.Ran)
	}
	if t.job.openTasks == 0 && !t.job.ended {
		c.resolvePromise(t.job, admission.Kept)
		c.logDecision(Decision{Event: "done", Job: t.job.name, Queue: t.job.queue.Name, Version: t.job.version, Age: c.now.Sub(t.job.arrived), Expected: t.job.objective, Deferred: t.job.wasDeferred})
		c.answerRequests(t.job, errkind.OK)
		t.job.ended = true
		if t.job.durable != nil {
			c.finishDurable(t.job, JobDone)
		}
	}
}

// handleUnsuccessfulRun handles a run that did not complete its task.
func (c *Core) handleUnsuccessfulRun(t *task, worker string, end runs.End) {
	switch end.Reason {
	case runs.ReasonWorkerCrashed:
		c.handleWorkerCrash(t, worker, end)
	case runs.ReasonLeaseExpired:
		c.handleUnreachableWorker(t, worker, end)
	}
	switch end.Outcome {
	case runs.OutcomeFailed:
		c.countFailure(t, worker)
	case runs.OutcomeRefused:
		if t.refusedBy == nil {
			t.refusedBy = make(map[string]int)
		}
		t.refusedBy[worker]++
		if end.Reason == runs.ReasonStaleRun && t.job.durable == nil {
			t.run += runNumberGap
		}
	}
}

// countFailure counts a failed run of a task. Failures of an awaited job on a failing worker do not
// count, as they say nothing about the task.
func (c *Core) countFailure(t *task, worker string) {
	if t.failedOn == nil {
		t.failedOn = make(map[string]int)
	}
	t.failedOn[worker]++
	if t.job.durable == nil && c.isFailing(worker) {
		return
	}
	t.failures++
	if t.failures >= t.job.queue.MaxAttempts {
		c.giveUp(t.job, errkind.TaskFailed, "task failed")
	}
}
