package agentcore

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire"
)

// submission is what the agent remembers of one submission: its attempts, or after their
// acknowledgement a tombstone, which only keeps the epoch.
type submission struct {
	// epoch is the highest epoch received for the submission; lower ones are refused.
	epoch uint64
	// owner is the entry incarnation that receives the results.
	owner entryKey
	// attempts is by task index.
	attempts map[uint32]*attempt
	// acked marks a tombstone: the owner has acknowledged that the outcome is recorded.
	acked bool
	// lastEvent is the time of the last event of the submission, from which it expires.
	lastEvent time.Time
}

// attempt is the newest attempt of one task.
type attempt struct {
	index  uint32
	number uint32
	phase  wire.Phase
	// result is retained until it is acknowledged or dropped; nil before the end.
	result         *wire.Result
	sub            *submission
	submissionName string
	// start holds the request until the attempt starts.
	start wire.TaskStart
	// class, deadline and seq order the queue; seq numbers the attempts by arrival.
	class     uint8
	deadline  time.Time
	queuedAt  time.Time
	startedAt time.Time
	seq       uint64
	// heapPos is the place in the queue, valid while the attempt is queued.
	heapPos int
	// prev is the ended attempt before this one. It is restored if this one is withdrawn.
	prev *attempt
}

// admitBatch queues the attempts of a batch, or refuses them with results that say "not run".
func (c *Core) admitBatch(now time.Time, link LinkID, owner entryKey, batch *wire.StartBatch) {
	sub := c.submissions[batch.Submission]
	if kind, refused := c.batchRefusal(sub, batch); refused {
		for i := range batch.Tasks {
			c.refuseTask(link, batch, &batch.Tasks[i], kind)
		}
		return
	}
	if sub == nil {
		sub = &submission{attempts: make(map[uint32]*attempt)}
		c.submissions[batch.Submission] = sub
	}
	if sub.acked {
		sub.acked = false
		sub.attempts = make(map[uint32]*attempt)
	}
	sub.epoch = batch.Epoch
	c.setOwner(sub, owner)
	sub.lastEvent = now
	for i := range batch.Tasks {
		c.admitTask(now, link, sub, batch, &batch.Tasks[i])
	}
}

// batchRefusal returns the reason to refuse a whole batch, and whether there is one.
func (c *Core) batchRefusal(sub *submission, batch *wire.StartBatch) (errkind.Kind, bool) {
	switch {
	case sub != nil && (batch.Epoch < sub.epoch || sub.acked && batch.Epoch == sub.epoch):
		return errkind.Fenced, true
	case c.isRefusing():
		return errkind.Draining, true
	case c.resultBytes > c.settings.MaxResultBytes:
		return errkind.Overloaded, true
	}
	return errkind.OK, false
}

// admitTask queues an attempt or refuses it. A corrupt payload is refused with errkind.Internal.
func (c *Core) admitTask(now time.Time, link LinkID, sub *submission, batch *wire.StartBatch, task *wire.TaskStart) {
	if prev := sub.attempts[task.Index]; prev != nil {
		if task.Attempt <= prev.number {
			return // duplicate delivery
		}
		if prev.phase != wire.PhaseDone {
			c.refuseTask(link, batch, task, errkind.Fenced)
			return
		}
	}
	if wire.Checksum(task.Payload) != task.Checksum {
		c.refuseTask(link, batch, task, errkind.Internal)
		return
	}
	if batch.NoWait && c.running+c.queue.Len() >= c.settings.Info.Slots-batch.Spare || !c.ensureQueueSpace(batch.Class) {
		c.refuseTask(link, batch, task, errkind.Overloaded)
		return
	}
	c.lastSeq++
	a := &attempt{
		index: task.Index, number: task.Attempt, phase: wire.PhaseQueued,
		sub: sub, submissionName: batch.Submission, start: *task, class: batch.Class,
		deadline: now.Add(batch.Remaining), queuedAt: now, seq: c.lastSeq, prev: sub.attempts[task.Index],
	}
	sub.attempts[task.Index] = a
	c.queue.push(a)
	c.addActive(sub.owner, 1)
}

// ensureQueueSpace reports whether an attempt of the class fits into the queue. It withdraws a
// queued attempt of a less urgent class if that is needed. Free slots extend the queue, since the
// attempts that fill them are queued first.
func (c *Core) ensureQueueSpace(class uint8) bool {
	limit := c.settings.Info.Queue + c.settings.Info.Slots - c.running
	if c.queue.Len() < limit {
		return true
	}
	last := c.queue.lastToRun()
	if last == nil || last.class <= class {
		return false
	}
	c.withdraw(last, errkind.Overloaded)
	return true
}

// withdraw removes a queued attempt and reports to its owner that it did not run.
func (c *Core) withdraw(a *attempt, kind errkind.Kind) {
	c.queue.remove(a)
	c.addActive(a.sub.owner, -1)
	delete(a.sub.attempts, a.index)
	if a.prev != nil {
		a.sub.attempts[a.index] = a.prev
	}
	if link, ok := c.newestLink[a.sub.owner]; ok {
		msg := c.messageFor(link)
		msg.Results = append(msg.Results, &wire.Result{
			Submission: a.submissionName, Index: a.index, Attempt: a.number,
			Epoch: a.sub.epoch, Kind: kind, NotRun: true,
		})
	}
}

// refuseTask reports on link that a task was refused and did not run.
func (c *Core) refuseTask(link LinkID, batch *wire.StartBatch, task *wire.TaskStart, kind errkind.Kind) {
	msg := c.messageFor(link)
	msg.Results = append(msg.Results, &wire.Result{
		Submission: batch.Submission, Index: task.Index, Attempt: task.Attempt,
		Epoch: batch.Epoch, Kind: kind, NotRun: true,
	})
}

// fillSlots starts queued attempts while slots are free, and withdraws those whose deadline has
// passed.
func (c *Core) fillSlots(now time.Time) {
	for c.running < c.settings.Info.Slots && c.queue.Len() > 0 {
		a := c.queue.pop()
		if !now.Before(a.deadline) {
			c.queue.push(a)
			c.withdraw(a, errkind.DeadlineTooShort)
			continue
		}
		a.phase = wire.PhaseRunning
		a.startedAt = now
		if a.prev != nil {
			c.dropResult(a.prev)
			a.prev = nil
		}
		c.running++
		c.out.Executions = append(c.out.Executions, Execution{
			ID:   ExecID{Submission: a.submissionName, Index: a.index, Attempt: a.number},
			Kind: a.start.Kind, Payload: a.start.Payload, MaxRun: a.start.MaxRun,
		})
		a.start = wire.TaskStart{}
	}
}

// recordResult retains the result and sends it to the owner if that is linked. An attempt that did
// not run is removed instead, so that the same attempt may be sent again.
func (c *Core) recordResult(now time.Time, sub *submission, a *attempt, done Completion) {
	sub.lastEvent = now
	a.phase = wire.PhaseDone
	a.result = &wire.Result{
		Submission: a.submissionName, Index: a.index, Attempt: a.number, Epoch: sub.epoch,
		Kind: done.Kind, NotRun: done.NotRun, Payload: done.Payload, Checksum: wire.Checksum(done.Payload),
		RunTime: done.RunTime, Waited: a.startedAt.Sub(a.queuedAt),
	}
	c.resultBytes += len(done.Payload)
	if link, ok := c.newestLink[sub.owner]; ok {
		msg := c.messageFor(link)
		msg.Results = append(msg.Results, a.result)
	}
	if done.NotRun {
		c.dropResult(a)
		delete(sub.attempts, a.index)
	}
}

// dropResult releases the retained result of an attempt, if any.
func (c *Core) dropResult(a *attempt) {
	if a.result != nil {
		c.resultBytes -= len(a.result.Payload)
		a.result = nil
	}
}

// handleFence raises the epoch, withdraws queued attempts of lower epochs, and replies with the
// attempts that remain. The sender becomes the owner, unless its epoch is too low.
func (c *Core) handleFence(now time.Time, link LinkID, owner entryKey, f *wire.Fence) {
	sub := c.submissions[f.Submission]
	known := sub != nil
	if !known {
		sub = &submission{attempts: make(map[uint32]*attempt)}
		c.submissions[f.Submission] = sub
	}
	reply := wire.FenceReply{Submission: f.Submission, Epoch: f.Epoch, Partial: c.droppedUnacked && !known}
	if f.Epoch >= sub.epoch {
		if f.Epoch > sub.epoch {
			c.withdrawQueued(sub, nil, errkind.Fenced)
			sub.epoch = f.Epoch
		}
		c.setOwner(sub, owner)
		sub.lastEvent = now
		for _, a := range sub.attempts {
			reply.Tasks = append(reply.Tasks, wire.TaskState{Index: a.index, Attempt: a.number, Phase: a.phase, Result: a.result})
		}
		sortTaskStates(reply.Tasks)
	}
	reply.HighestEpoch = sub.epoch
	msg := c.messageFor(link)
	msg.Fences = append(msg.Fences, reply)
}

// withdrawQueued withdraws the queued attempts of the given tasks, or of all if tasks is empty.
func (c *Core) withdrawQueued(sub *submission, tasks []uint32, kind errkind.Kind) {
	for _, a := range c.selectAttempts(sub, tasks) {
		if a.phase == wire.PhaseQueued {
			c.withdraw(a, kind)
		}
	}
}

// handleCancel withdraws the queued attempts and stops the running ones of the requested tasks. It
// ignores requests of entries that do not own the submission.
func (c *Core) handleCancel(now time.Time, owner entryKey, req *wire.Cancel) {
	sub := c.submissions[req.Submission]
	if sub == nil || req.Epoch < sub.epoch || sub.owner != owner {
		return
	}
	sub.lastEvent = now
	c.withdrawQueued(sub, req.Tasks, errkind.Canceled)
	for _, a := range c.selectAttempts(sub, req.Tasks) {
		if a.phase == wire.PhaseRunning {
			c.out.StopExecutions = append(c.out.StopExecutions, ExecID{Submission: a.submissionName, Index: a.index, Attempt: a.number})
		}
	}
}

// selectAttempts returns the attempts of the given tasks, in the given order. If tasks is empty, it
// returns all attempts in the order of their index.
func (c *Core) selectAttempts(sub *submission, tasks []uint32) []*attempt {
	var picked []*attempt
	if len(tasks) == 0 {
		for _, a := range sub.attempts {
			picked = append(picked, a)
		}
		sortAttempts(picked)
		return picked
	}
	for _, index := range tasks {
		if a := sub.attempts[index]; a != nil {
			picked = append(picked, a)
		}
	}
	return picked
}

// handleAck drops the results of a submission whose outcome is recorded and leaves a tombstone. It
// stops what still runs, and ignores epochs that are too low.
func (c *Core) handleAck(now time.Time, req *wire.Ack) {
	sub := c.submissions[req.Submission]
	if sub == nil || req.Epoch < sub.epoch {
		return
	}
	c.withdrawQueued(sub, nil, errkind.Canceled)
	for _, a := range c.selectAttempts(sub, nil) {
		c.dropResult(a)
		if a.phase == wire.PhaseRunning {
			c.addActive(sub.owner, -1)
			c.out.StopExecutions = append(c.out.StopExecutions, ExecID{Submission: a.submissionName, Index: a.index, Attempt: a.number})
		}
	}
	sub.attempts = nil
	sub.acked = true
	sub.epoch = req.Epoch
	sub.lastEvent = now
}

// expire removes a tombstone after TombstoneRetention, and unacknowledged results after ResultRetention
// unless an attempt of the submission is queued or running.
func (c *Core) expire(now time.Time, id string, sub *submission) {
	age := now.Sub(sub.lastEvent)
	if sub.acked || len(sub.attempts) == 0 {
		if age > c.settings.TombstoneRetention {
			delete(c.submissions, id)
		}
		return
	}
	if age <= c.settings.ResultRetention {
		return
	}
	for _, a := range sub.attempts {
		if a.phase == wire.PhaseQueued || a.phase == wire.PhaseRunning {
			return
		}
	}
	for _, a := range sub.attempts {
		c.dropResult(a)
	}
	delete(c.submissions, id)
	c.droppedUnacked = true
}
