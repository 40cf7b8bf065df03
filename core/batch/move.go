package batch

import (
	"time"

	"peridotpick.example/core/policy"
)

// moveSlow stops runs that would end sooner elsewhere: those that wait while
// another worker has room, and those on a slow worker, whose work begins anew.
func (c *Core) moveSlow() {
	for j := range c.jobs.Values() {
		if j.ended {
			continue
		}
		for i := range j.steps {
			for _, t := range j.steps[i].tasks {
				c.moveTask(t)
			}
		}
	}
}

func (c *Core) moveTask(t *task) {
	from := c.agents.Get(t.on)
	if t.state != taskPlaced || t.stopping || from == nil {
		return
	}
	waits := t.waitsAt == from.heard
	if !c.mayMove(waits) {
		return
	}
	if !waits && !t.slow || c.now.Sub(t.withdrawnAt) < withdrawAgain {
		return
	}
	here, slack := t.remaining, t.job.slackLeft(c.now)
	if waits {
		here = c.waitFor(from, c.free(from, slack), t.step.Need) + c.runTime(from, t)
	} else if c.relativeSlowness(from) < moveFrom {
		return // the run is long by its own work
	}
	there, found := c.bestElsewhere(t, from, waits && !c.unsound(from))
	if !found || there+moveMargin+t.step.estimate/moveGainPart > here {
		return
	}
	c.note(Note{
		Event: "move", Job: t.job.name, Queue: t.job.queue.Name, Version: t.job.version, Key: t.key(), Worker: t.worker,
		Expected: here, Age: c.now.Sub(from.loadAt),
	})
	if !waits {
		t.stopping, t.moving = true, true
		from.out.Moves = append(from.out.Moves, t.key())
		c.mark(from)
		return
	}
	t.withdrawnAt = c.now
	from.out.Withdraws = append(from.out.Withdraws, t.key())
	c.mark(from)
}

// mayMove reports whether runs that wait, or that are slow, are moved at all.
func (c *Core) mayMove(waits bool) bool {
	if waits {
		return c.settings.Policy.Has(policy.Withdrawing)
	}
	return c.settings.Policy.Has(policy.Restarting)
}

const (
	// moveFrom is the slowness of a worker, against the typical one, from which
	// its runs are moved: below it a long run is long by its own work.
	moveFrom = 1.8
	// moveMargin is the time that a move itself takes, and moveGainPart the part of
	// the estimate that it must gain besides.
	moveMargin   = 10 * time.Millisecond
	moveGainPart = 4
	// withdrawAgain is the time after which a withdrawal that met a run already
	// begun, or was lost, may be repeated.
	withdrawAgain = 100 * time.Millisecond
)

// bestElsewhere returns the shortest expected time to the end of a task on
// another worker. With atOnce only workers count that have room now: in overload
// all queues look much the same, and runs would go round between them.
func (c *Core) bestElsewhere(t *task, from *agent, atOnce bool) (time.Duration, bool) {
	var best time.Duration
	found := false
	none := &trial{}
	for _, a := range c.candidates(t.job.queue.Service) {
		if a == from || !c.allowed(t, a, none) {
			continue
		}
		wait := c.waitFor(a, c.free(a, t.job.slackLeft(c.now)), t.step.Need)
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
