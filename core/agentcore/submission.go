package agentcore

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire"
)

// submission is what the agent remembers of one submission.
type submission struct {
	// epoch is the highest seen; lower ones are refused.
	epoch uint64
	// owner receives the results.
	owner    entryKey
	attempts map[uint32]*attempt
	acked    bool
	// touched is the time of the last event, for expiry.
	touched time.Time
}

// attempt is the newest attempt of one task.
type attempt struct {
	index   uint32
	attempt uint32
	phase   wire.Phase
	result  *wire.Result
	// queue fields, valid while phase is Queued
	sub      *submission
	id       string
	start    wire.TaskStart
	class    uint8
	deadline time.Time
	arrived  time.Time
	began    time.Time
	seq      uint64
	heapPos  int
	// prev is the ended attempt before this one; it counts again if this one is
	// withdrawn.
	prev *attempt
}

// admit queues the attempts of a batch or refuses them as not run.
func (c *Core) admit(now time.Time, link LinkID, owner entryKey, batch *wire.StartBatch) {
	sub := c.held[batch.Submission]
	if kind, refused := c.refusal(sub, batch); refused {
		for i := range batch.Tasks {
			c.refuse(link, batch, &batch.Tasks[i], kind)
		}
		return
	}
	if sub == nil {
		sub = &submission{attempts: make(map[uint32]*attempt)}
		c.held[batch.Submission] = sub
	}
	if sub.acked {
		sub.acked = false
		sub.attempts = make(map[uint32]*attempt)
	}
	sub.epoch = batch.Epoch
	c.setOwner(sub, owner)
	sub.touched = now
	for i := range batch.Tasks {
		c.admitTask(now, link, sub, batch, &batch.Tasks[i])
	}
}

// refusal returns the reason to refuse a whole batch.
func (c *Core) refusal(sub *submission, batch *wire.StartBatch) (errkind.Kind, bool) {
	switch {
	case sub != nil && (batch.Epoch < sub.epoch || sub.acked && batch.Epoch == sub.epoch):
		return errkind.Fenced, true
	case c.refusing():
		return errkind.Draining, true
	case c.keptBytes > c.settings.ResultBytes:
		return errkind.Overloaded, true
	}
	return errkind.OK, false
}

func (c *Core) admitTask(now time.Time, link LinkID, sub *submission, batch *wire.StartBatch, task *wire.TaskStart) {
	if prev := sub.attempts[task.Index]; prev != nil {
		if task.Attempt <= prev.attempt {
			return // duplicate delivery
		}
		if prev.phase != wire.Done {
			c.refuse(link, batch, task, errkind.Fenced)
			return
		}
	}
	if wire.Sum(task.Payload) != task.Sum {
		c.refuse(link, batch, task, errkind.Internal)
		return
	}
	if batch.NoWait && c.running+c.queue.Len() >= c.settings.Info.Slots-batch.Spare || !c.makeRoom(batch.Class) {
		c.refuse(link, batch, task, errkind.Overloaded)
		return
	}
	c.seq++
	a := &attempt{
		index: task.Index, attempt: task.Attempt, phase: wire.Queued,
		sub: sub, id: batch.Submission, start: *task, class: batch.Class,
		deadline: now.Add(batch.Remaining), arrived: now, seq: c.seq, prev: sub.attempts[task.Index],
	}
	sub.attempts[task.Index] = a
	c.queue.push(a)
	c.count(sub.owner, 1)
}

// makeRoom reports whether a task of the class fits into the queue, evicting a
// queued task of a less urgent class if it must.
func (c *Core) makeRoom(class uint8) bool {
	limit := c.settings.Info.Queue + c.settings.Info.Slots - c.running
	if c.queue.Len() < limit {
		return true
	}
	worst := c.queue.worst()
	if worst == nil || worst.class <= class {
		return false
	}
	c.withdraw(worst, errkind.Overloaded)
	return true
}

// withdraw removes a queued attempt and tells its owner that it did not run.
func (c *Core) withdraw(a *attempt, kind errkind.Kind) {
	c.queue.remove(a)
	c.count(a.sub.owner, -1)
	delete(a.sub.attempts, a.index)
	if a.prev != nil {
		a.sub.attempts[a.index] = a.prev
	}
	if link, ok := c.current[a.sub.owner]; ok {
		msg := c.message(link)
		msg.Results = append(msg.Results, &wire.Result{
			Submission: a.id, Index: a.index, Attempt: a.attempt,
			Epoch: a.sub.epoch, Kind: kind, NotRun: true,
		})
	}
}

func (c *Core) refuse(link LinkID, batch *wire.StartBatch, task *wire.TaskStart, kind errkind.Kind) {
	msg := c.message(link)
	msg.Results = append(msg.Results, &wire.Result{
		Submission: batch.Submission, Index: task.Index, Attempt: task.Attempt,
		Epoch: batch.Epoch, Kind: kind, NotRun: true,
	})
}

// fillSlots starts queued attempts while slots are free.
func (c *Core) fillSlots(now time.Time) {
	for c.running < c.settings.Info.Slots && c.queue.Len() > 0 {
		a := c.queue.pop()
		if !now.Before(a.deadline) {
			c.queue.push(a)
			c.withdraw(a, errkind.DeadlineTooShort)
			continue
		}
		a.phase = wire.Running
		a.began = now
		if a.prev != nil {
			c.dropResult(a.prev)
			a.prev = nil
		}
		c.running++
		c.out.Executes = append(c.out.Executes, Execution{
			ID:   ExecID{Submission: a.id, Index: a.index, Attempt: a.attempt},
			Kind: a.start.Kind, Payload: a.start.Payload, MaxRun: a.start.MaxRun,
		})
		a.start = wire.TaskStart{}
	}
}

// finish keeps the result and sends it to the owner if it is linked.
func (c *Core) finish(now time.Time, sub *submission, a *attempt, done Completion) {
	sub.touched = now
	a.phase = wire.Done
	a.result = &wire.Result{
		Submission: a.id, Index: a.index, Attempt: a.attempt, Epoch: sub.epoch,
		Kind: done.Kind, NotRun: done.NotRun, Payload: done.Payload, Sum: wire.Sum(done.Payload),
		RunTime: done.RunTime, Waited: a.began.Sub(a.arrived),
	}
	c.keptBytes += len(done.Payload)
	if link, ok := c.current[sub.owner]; ok {
		msg := c.message(link)
		msg.Results = append(msg.Results, a.result)
	}
	if done.NotRun {
		c.dropResult(a)
		delete(sub.attempts, a.index)
	}
}

func (c *Core) dropResult(a *attempt) {
	if a.result != nil {
		c.keptBytes -= len(a.result.Payload)
		a.result = nil
	}
}

// fence raises the epoch, withdraws queued attempts of lower epochs, and
// answers with what has started.
func (c *Core) fence(now time.Time, link LinkID, owner entryKey, f *wire.Fence) {
	sub := c.held[f.Submission]
	known := sub != nil
	if !known {
		sub = &submission{attempts: make(map[uint32]*attempt)}
		c.held[f.Submission] = sub
	}
	reply := wire.FenceReply{Submission: f.Submission, Epoch: f.Epoch, Partial: c.forgot && !known}
	if f.Epoch >= sub.epoch {
		if f.Epoch > sub.epoch {
			c.withdrawQueued(sub, nil, errkind.Fenced)
			sub.epoch = f.Epoch
		}
		c.setOwner(sub, owner)
		sub.touched = now
		for _, a := range sub.attempts {
			reply.Tasks = append(reply.Tasks, wire.TaskState{Index: a.index, Attempt: a.attempt, Phase: a.phase, Result: a.result})
		}
		sortStates(reply.Tasks)
	}
	reply.Highest = sub.epoch
	msg := c.message(link)
	msg.Fences = append(msg.Fences, reply)
}

// withdrawQueued withdraws the queued attempts among tasks, or all if tasks is nil.
func (c *Core) withdrawQueued(sub *submission, tasks []uint32, kind errkind.Kind) {
	for _, a := range c.selected(sub, tasks) {
		if a.phase == wire.Queued {
			c.withdraw(a, kind)
		}
	}
}

func (c *Core) cancel(now time.Time, owner entryKey, req *wire.Cancel) {
	sub := c.held[req.Submission]
	if sub == nil || req.Epoch < sub.epoch || sub.owner != owner {
		return
	}
	sub.touched = now
	c.withdrawQueued(sub, req.Tasks, errkind.Canceled)
	for _, a := range c.selected(sub, req.Tasks) {
		if a.phase == wire.Running {
			c.out.Stops = append(c.out.Stops, ExecID{Submission: a.id, Index: a.index, Attempt: a.attempt})
		}
	}
}

// selected returns the attempts of the named tasks in index order; all if tasks is empty.
func (c *Core) selected(sub *submission, tasks []uint32) []*attempt {
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

// ack drops results and leaves a tombstone.
func (c *Core) ack(now time.Time, req *wire.Ack) {
	sub := c.held[req.Submission]
	if sub == nil || req.Epoch < sub.epoch {
		return
	}
	c.withdrawQueued(sub, nil, errkind.Canceled)
	for _, a := range c.selected(sub, nil) {
		c.dropResult(a)
		if a.phase == wire.Running {
			c.count(sub.owner, -1)
			c.out.Stops = append(c.out.Stops, ExecID{Submission: a.id, Index: a.index, Attempt: a.attempt})
		}
	}
	sub.attempts = nil
	sub.acked = true
	sub.epoch = req.Epoch
	sub.touched = now
}

// expire removes old tombstones, and ages unacknowledged results out.
func (c *Core) expire(now time.Time, id string, sub *submission) {
	age := now.Sub(sub.touched)
	if sub.acked || len(sub.attempts) == 0 {
		if age > c.settings.FenceMemory {
			delete(c.held, id)
		}
		return
	}
	if age <= c.settings.ResultRetention {
		return
	}
	for _, a := range sub.attempts {
		if a.phase == wire.Queued || a.phase == wire.Running {
			return
		}
	}
	for _, a := range sub.attempts {
		c.dropResult(a)
	}
	delete(c.held, id)
	c.forgot = true
}
