package dispatch

import (
	"cmp"
	"slices"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// result handles the end of one attempt.
func (c *Core) result(now time.Time, a *rank.Agent, r *wire.Result) {
	j := c.jobs[r.Submission]
	if j == nil || int(r.Index) >= len(j.tasks) {
		c.stats.WastedUnmatched++
		return
	}
	t := j.tasks[r.Index]
	f := t.flightAt(a.ID, r.Attempt)
	if f == nil {
		c.stats.WastedUnmatched++
		return
	}
	if wire.Sum(r.Payload) != r.Sum && len(r.Payload) > 0 {
		c.stats.Corrupt++
		if f.lost {
			c.flightGone(now, t, *f)
			return
		}
		f.lost = true
		c.fence(j, a.ID) // ask once more: the agent still holds the result
		return
	}
	sent := *f
	c.removeFlight(t, sent)
	switch {
	case r.NotRun:
		c.notRun(now, a, t, r)
	case r.Kind == errkind.OK:
		c.completed(now, a, t, r)
	default:
		c.ranAndFailed(now, a, t, r)
	}
}

// notRun handles a refusal by the agent.
func (c *Core) notRun(now time.Time, a *rank.Agent, t *task, r *wire.Result) {
	switch r.Kind {
	case errkind.Fenced:
		if t.job.claimed {
			c.lostOwnership(now, t.job)
			return
		}
	case errkind.Draining:
		a.Leaving = true
	}
	t.avoid = []rank.ID{a.ID}
	c.requeue(now, t)
}

// requeue makes t wait again unless another attempt is out.
func (c *Core) requeue(now time.Time, t *task) {
	if len(t.flights) == 0 && t.state == taskInFlight && t.job.phase == phaseRunning {
		c.enqueue(now, t)
		return
	}
	if len(t.flights) == 0 && t.job.phase == phaseFencing {
		t.state = taskWaiting
	}
}

func (c *Core) completed(now time.Time, a *rank.Agent, t *task, r *wire.Result) {
	c.stats.Ran++
	c.pool.Succeeded(now, a, t.spec.kind(), r.RunTime)
	c.retry.earn(c.settings.RetryShare)
	if t.state == taskDone {
		return
	}
	for _, f := range t.flights {
		c.cancelFlight(t.job, t, f)
	}
	c.dropFlights(t)
	t.state = taskDone
	t.result = r
	t.job.open--
	c.checkEnd(now, t.job)
}

// ranAndFailed handles an attempt that ran to a failure, or whose fate the
// agent could not learn from its backend server.
func (c *Core) ranAndFailed(now time.Time, a *rank.Agent, t *task, r *wire.Result) {
	c.stats.Ran++
	j := t.job
	if c.pool.Failed(now, a, t.spec.kind()) {
		c.stats.Ejected++
		c.decide(Decision{Kind: Ejection, Agent: a.ID, Reason: r.Kind})
	}
	t.kind = r.Kind
	t.failures++
	if len(t.flights) > 0 {
		return // the other attempt may still complete
	}
	if t.spec.Repeatable && t.failures < c.settings.MaxFailures && c.retry.spend() {
		c.stats.WastedRetry += 2
		t.avoid = append(t.avoid, a.ID)
		t.state = taskInFlight
		c.decide(Decision{Kind: Retried, Submission: j.submission, Task: t.index, Attempt: t.attempt, Agent: a.ID, Reason: r.Kind})
		c.requeue(now, t)
		return
	}
	c.fail(now, j, r.Kind, string(r.Payload))
}

func (t *task) flightAt(agent rank.ID, attempt uint32) *flight {
	for i := range t.flights {
		if t.flights[i].agent == agent && t.flights[i].attempt == attempt {
			return &t.flights[i]
		}
	}
	return nil
}

func (c *Core) removeFlight(t *task, f flight) {
	c.answered(t, f)
	t.flights = slices.DeleteFunc(t.flights, func(have flight) bool {
		return have.agent == f.agent && have.attempt == f.attempt
	})
}

// answered stops counting an attempt as ours at its agent.
func (c *Core) answered(t *task, f flight) {
	if team := c.teams[t.job.team]; team != nil && team.inFlight > 0 {
		team.inFlight--
	}
	a := c.pool.Get(f.agent)
	if a == nil {
		return
	}
	a.Answered()
	if f.overdue {
		a.Overdue(-1)
	}
}

func sortJobs(list []*job) {
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.submission, b.submission) })
}

func containsID(list []rank.ID, id rank.ID) bool { return slices.Contains(list, id) }

// removeID removes id from list and reports whether it was there.
func removeID(list *[]rank.ID, id rank.ID) bool {
	at := slices.Index(*list, id)
	if at < 0 {
		return false
	}
	*list = slices.Delete(*list, at, at+1)
	return true
}
