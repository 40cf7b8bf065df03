package batch

import (
	"peridotpick.example/common/errkind"
	"peridotpick.example/wire/runs"
)

// endOf handles the end of a run.
func (c *Core) endOf(worker string, end runs.End) {
	t := c.byTask[end.Key.Task]
	if t != nil && end.Reason == runs.Crashed && t.lostBefore(end.Key.Run) {
		c.workerLost(t, worker, end)
		return
	}
	if t == nil || t.state != taskPlaced || t.run != end.Key.Run {
		return // of an earlier run or a job that is forgotten
	}
	j := t.job
	if a := c.agents.Get(t.on); a != nil {
		a.runs--
	}
	c.note(Note{
		Event: "end", Job: j.name, Queue: j.queue.Name, Version: j.version, Key: end.Key, Worker: worker,
		How: end.How, Reason: end.Reason.String(), Age: c.now.Sub(t.sentAt), Expected: t.expected,
	})
	if end.How != runs.Refused {
		j.begun = true
	}
	t.stopping, t.moving = false, false
	t.slow = false
	t.waitsAt = 0
	if end.How == runs.Done {
		c.taskDone(t, end)
	} else {
		t.state = taskWaiting
		if j.durable != nil && !end.Held && end.How != runs.Refused && !j.ended {
			c.abandon(t, end.Key.Run)
		}
		c.ranBadly(t, worker, end)
	}
	if j.ended {
		c.answerProved(j)
		c.forgetIfOver(j)
		return
	}
	c.placeJob(j)
}

func (c *Core) taskDone(t *task, end runs.End) {
	t.state = taskDone
	t.step.left--
	t.job.left--
	if end.Ran > 0 {
		c.waits.observe(t.expectedWait, max(c.now.Sub(t.sentAt)-end.Ran-c.settings.Overhead/2, 0))
		c.learn.observe(t.job.queue.Name, t.step.Estimate, end.Ran)
	}
	if t.job.left == 0 && !t.job.ended {
		c.note(Note{Event: "done", Job: t.job.name, Queue: t.job.queue.Name, Version: t.job.version, Age: c.now.Sub(t.job.arrived), Expected: t.job.objective, Deferred: t.job.wasDeferred})
		c.answer(t.job, errkind.OK)
		t.job.ended = true
		if t.job.durable != nil {
			c.ended(t.job, JobDone)
		}
	}
}

// ranBadly counts a run that did not complete its task.
func (c *Core) ranBadly(t *task, worker string, end runs.End) {
	switch end.Reason {
	case runs.Crashed:
		c.workerLost(t, worker, end)
	case runs.Lapsed:
		c.workerSilent(t, worker, end)
	}
	switch end.How {
	case runs.Failed:
		c.taskFailed(t, worker)
	case runs.Refused:
		if t.refusedBy == nil {
			t.refusedBy = make(map[string]int)
		}
		t.refusedBy[worker]++
		if end.Reason == runs.OldRun {
			t.run += oldRunStep
		}
	}
}

// taskFailed counts a failure of the task itself. Failures on a worker that
// fails most of what it runs say nothing of the task.
func (c *Core) taskFailed(t *task, worker string) {
	if t.failedOn == nil {
		t.failedOn = make(map[string]int)
	}
	t.failedOn[worker]++
	if t.job.durable == nil && c.failing(worker) {
		return
	}
	t.failures++
	if t.failures >= t.job.queue.MaxAttempts {
		c.giveUp(t.job, errkind.TaskFailed, "task failed")
	}
}
