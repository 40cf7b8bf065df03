package batch

import (
	"time"

	"peridotpick.example/core/policy"
)

// moveRuns moves runs that would end sooner on another worker: runs that wait while another worker
// has free resources, and runs on a slow worker, whose work is repeated.
func (c *Core) moveRuns() {
	for j := range c.jobs.Values() {
		if j.ended {
			continue
		}
		for i := range j.steps {
			for _, t := range j.steps[i].tasks {
				c.moveRunIfFaster(t)
			}
		}
	}
}

// moveRunIfFaster requests the withdrawal or the stop of a task's run if it would end sooner on
// another worker. The task is placed again after the end of the run.
func (c *Core) moveRunIfFaster(t *task) {
	from := c.agents.Get(t.link)
	if t.state != taskPlaced || t.stopping || from == nil {
		return
	}
	isWaiting := t.waitingReport == from.messages
	if !c.isMoveEnabled(isWaiting) {
		return
	}
	if !isWaiting && !t.slow || c.now.Sub(t.withdrawnAt) < withdrawRetryInterval {
		return
	}
	remainingHere, slack := t.remaining, t.job.slackLeft(c.now)
	if isWaiting {
		remainingHere = c.waitFor(from, c.freeResources(from, slack), t.step.Need) + c.runTime(from, t)
	} else if c.relativeSlowness(from) < moveSlowness {
		return // the run is long by its own work
	}
	remainingElsewhere, found := c.bestElsewhere(t, from, isWaiting && !c.isUnhealthy(from))
	if !found || remainingElsewhere+moveOverhead+t.step.estimate/moveGainDivisor > remainingHere {
		return
	}
	c.logDecision(Decision{
		Event: "move", Job: t.job.name, Queue: t.job.queue.Name, Version: t.job.version, Key: t.key(), Worker: t.worker,
		Expected: remainingHere, Age: c.now.Sub(from.loadAt),
	})
	if !isWaiting {
		t.stopping, t.moving = true, true
		from.out.Moves = append(from.out.Moves, t.key())
		c.markDirty(from)
		return
	}
	t.withdrawnAt = c.now
	from.out.WithdrawWaiting = append(from.out.WithdrawWaiting, t.key())
	c.markDirty(from)
}

// isMoveEnabled reports whether the policy allows moving waiting runs or slow ones, respectively.
func (c *Core) isMoveEnabled(isWaiting bool) bool {
	if isWaiting {
		return c.settings.Policy.Enabled(policy.Withdrawing)
	}
	return c.settings.Policy.Enabled(policy.Restarting)
}

const (
	// moveSlowness is the slowness of a worker relative to the median from which its runs are
	// moved. Below it a long run is long by its own work.
	moveSlowness = 1.8
	// moveOverhead is the time that a move takes. A move must also gain at least the estimate
	// divided by moveGainDivisor.
	moveOverhead    = 10 * time.Millisecond
	moveGainDivisor = 4
	// withdrawRetryInterval is the time after which a withdrawal may be repeated, in case it was
	// lost or the run had begun.
	withdrawRetryInterval = 100 * time.Millisecond
)

// bestElsewhere returns the shortest expected time to the end of a task on another worker. With
// atOnce only workers with free resources count. Under overload all queues are of similar length,
// and runs would move back and forth between them.
func (c *Core) bestElsewhere(t *task, from *agent, atOnce bool) (time.Duration, bool) {
	var best time.Duration
	found := false
	nothingPlanned := &plannedLoad{}
	for _, a := range c.candidates(t.job.queue.Service) {
		if a == from || !c.isAllowed(t, a, nothingPlanned) {
			continue
		}
		wait := c.waitFor(a, c.freeResources(a, t.job.slackLeft(c.now)), t.step.Need)
		if atOnce && wait > 0 {
			continue
		}
		end := wait + c.runTime(a, t)
		if !found || end < best {
			best, found = end, true
		}
	}
	return best, found
}
