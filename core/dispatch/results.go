package dispatch

import (
	"cmp"
	"slices"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// handleResult handles the end of one attempt. Results of attempts that are not in flight are
// ignored.
func (c *Core) handleResult(now time.Time, a *rank.Agent, r *wire.Result) {
	sub := c.submissions[r.Submission]
	if sub == nil || int(r.Index) >= len(sub.tasks) {
		c.stats.WastedUnmatched++
		return
	}
	t := sub.tasks[r.Index]
	att := t.findAttempt(a.ID, r.Attempt)
	if att == nil {
		c.stats.WastedUnmatched++
		return
	}
	if wire.Checksum(r.Payload) != r.Checksum && len(r.Payload) > 0 {
		c.stats.Corrupt++
		if att.unconfirmed {
			c.loseAttempt(now, t, *att)
			return
		}
		att.unconfirmed = true
		c.sendFence(sub, a.ID) // the agent still holds the result and sends it again in its reply
		return
	}
	sent := *att
	c.removeAttempt(t, sent)
	switch {
	case r.NotRun:
		c.handleNotRun(now, a, t, r)
	case r.Kind == errkind.OK:
		c.handleCompleted(now, a, t, r)
	default:
		c.handleFailed(now, a, t, r)
	}
}

// handleNotRun handles an attempt that the agent refused.
func (c *Core) handleNotRun(now time.Time, a *rank.Agent, t *task, r *wire.Result) {
	switch r.Kind {
	case errkind.Fenced:
		if t.sub.claimed {
			c.handleOwnershipLoss(now, t.sub)
			return
		}
	case errkind.Draining:
		a.NotAccepting = true
	}
	t.avoid = []rank.ID{a.ID}
	c.requeue(now, t)
}

// requeue makes t wait for an agent again unless another attempt is in flight.
func (c *Core) requeue(now time.Time, t *task) {
	if len(t.attempts) == 0 && t.state == taskInFlight && t.sub.phase == phaseRunning {
		c.enqueue(now, t)
		return
	}
	if len(t.attempts) == 0 && t.sub.phase == phaseFencing {
		t.state = taskWaiting
	}
}

// handleCompleted handles an attempt that succeeded. The first one completes the task; other
// attempts in flight are canceled.
func (c *Core) handleCompleted(now time.Time, a *rank.Agent, t *task, r *wire.Result) {
	c.stats.Ran++
	c.pool.RecordSuccess(now, a, t.spec.kind(), r.RunTime)
	c.retryBudget.add(c.settings.RetryShare)
	if t.state == taskDone {
		return
	}
	for _, att := range t.attempts {
		c.cancelAttempt(t.sub, t, att)
	}
	c.dropAttempts(t)
	t.state = taskDone
	t.result = r
	t.sub.openTasks--
	c.closeIfDone(now, t.sub)
}

// handleFailed handles an attempt that failed, or of which the agent could not learn from its
// backend server how it ended. The task is retried if it is repeatable and the limits allow it.
func (c *Core) handleFailed(now time.Time, a *rank.Agent, t *task, r *wire.Result) {
	c.stats.Ran++
	sub := t.sub
	if c.pool.RecordFailure(now, a, t.spec.kind()) {
		c.stats.Ejected++
		c.recordDecision(Decision{Kind: Ejection, Agent: a.ID, Reason: r.Kind})
	}
	t.lastFailure = r.Kind
	t.failures++
	if len(t.attempts) > 0 {
		return // the other attempt may still complete
	}
	if t.spec.Repeatable && t.failures < c.settings.MaxFailures && c.retryBudget.take() {
		c.stats.WastedRetry += 2
		t.avoid = append(t.avoid, a.ID)
		t.state = taskInFlight
		c.recordDecision(Decision{Kind: Retried, Submission: sub.name, Task: t.index, Attempt: t.lastAttempt, Agent: a.ID, Reason: r.Kind})
		c.requeue(now, t)
		return
	}
	c.fail(now, sub, r.Kind, string(r.Payload))
}

// findAttempt returns the attempt in flight with this agent and number, or nil.
func (t *task) findAttempt(agent rank.ID, number uint32) *attempt {
	for i := range t.attempts {
		if t.attempts[i].agent == agent && t.attempts[i].number == number {
			return &t.attempts[i]
		}
	}
	return nil
}

// removeAttempt removes an attempt of t from those in flight.
func (c *Core) removeAttempt(t *task, att attempt) {
	c.releaseAttempt(t, att)
	t.attempts = slices.DeleteFunc(t.attempts, func(other attempt) bool {
		return other.agent == att.agent && other.number == att.number
	})
}

// releaseAttempt stops counting an attempt as in flight for its team and at its agent.
func (c *Core) releaseAttempt(t *task, att attempt) {
	if team := c.teams[t.sub.team]; team != nil && team.inFlight > 0 {
		team.inFlight--
	}
	a := c.pool.Get(att.agent)
	if a == nil {
		return
	}
	a.RecordAnswered()
	if att.overdue {
		a.AddOverdue(-1)
	}
}

// sortSubmissions sorts subs by name.
func sortSubmissions(subs []*submission) {
	slices.SortFunc(subs, func(a, b *submission) int { return cmp.Compare(a.name, b.name) })
}

func containsID(list []rank.ID, id rank.ID) bool { return slices.Contains(list, id) }

// removeID removes id from list and reports whether it was there.
func removeID(list *[]rank.ID, id rank.ID) bool {
	i := slices.Index(*list, id)
	if i < 0 {
		return false
	}
	*list = slices.Delete(*list, i, i+1)
	return true
}
