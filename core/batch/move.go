package batch

import (
	"time"

	"peridotpick.example/core/policy"
)

// moveRuns moves runs on slow workers that would end sooner on another one. Their work is repeated.
func (c *Core) moveRuns() {
	if !c.settings.Policy.Enabled(policy.Restarting) {
		return
	}
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

// moveRunIfFaster requests the stop of a task's run if it would end sooner on another worker. The
// task is placed again after the end of the run.
func (c *Core) moveRunIfFaster(t *task) {
	from := c.agents.Get(t.link)
	if t.state != taskPlaced || t.stopping || !t.slow || from == nil {
		return
	}
	if c.relativeSlowness(from) < moveSlowness {
		return // the run is long by its own work
	}
	remainingElsewhere, found := c.bestElsewhere(t, from)
	if !found || remainingElsewhere+moveOverhead+t.step.estimate/moveGainDivisor > t.remaining {
		return
	}
	c.logDecision(Decision{
		Event: "move", Job: t.job.name, Queue: t.job.queue.Name, Version: t.job.version, Key: t.key(), Worker: t.worker,
		Expected: t.remaining, Age: c.now.Sub(from.loadAt),
	})
	t.stopping, t.moving = true, true
	from.out.Moves = append(from.out.Moves, t.key())
	c.markDirty(from)
}

const (
	// moveSlowness is the slowness of a worker relative to the median from which its runs are
	// moved. Below it a long run is long by its own work.
	moveSlowness = 1.8
	// moveOverhead is the time that a move takes. A move must also gain at least the estimate
	// divided by moveGainDivisor.
	moveOverhead    = 10 * time.Millisecond
	moveGainDivisor = 4
)

// bestElsewhere returns the shortest expected time to the end of a task on another worker.
func (c *Core) bestElsewhere(t *task, from *agent) (time.Duration, bool) {
	var best time.Duration
	found := false
	nothingPlanned := &plannedLoad{}
	for _, a := range c.candidates(t.job.queue.Service) {
		if a == from || !c.isAllowed(t, a, nothingPlanned) {
			continue
		}
		end := c.waitFor(a, c.freeResources(a, t.job.slackLeft(c.now)), t.step.Need) + c.runTime(a, t)
		if !found || end < best {
			best, found = end, true
		}
	}
	return best, found
}
