package batch

import (
	"time"

	"peridotpick.example/common/errkind"
)

// refusal is a truthful "not run".
type refusal struct {
	kind       errkind.Kind
	reason     string
	retryAfter time.Duration
}

// retrySoon is when a caller may come back after a passing refusal.
const retrySoon = time.Second

// admit decides whether a job is taken. What cannot end in time is refused
// before anything of it starts.
func (c *Core) admit(j *job) (plan, *refusal) {
	p := c.planJob(j)
	switch {
	case len(p.places) == 0 && p.missing > 0:
		return p, &refusal{errkind.Overloaded, "no worker", retrySoon}
	case p.delay > c.slack(j):
		return p, &refusal{errkind.Overloaded, "no room in time", retrySoon}
	}
	return p, nil
}

// slack is how long a job's tasks may wait and still end within the objective.
func (c *Core) slack(j *job) time.Duration {
	return j.objective - j.chain() - c.settings.Overhead
}

func (c *Core) refuse(id RequestID, r refusal) {
	c.out.Answers = append(c.out.Answers, Answer{Request: id, Kind: r.kind, RetryAfter: r.retryAfter})
}

// moveSlow stops runs that would end sooner elsewhere, on a worker of ordinary
// speed, with their work begun anew.
func (c *Core) moveSlow() {
	for _, t := range c.byTask {
		if t.state != taskPlaced || !t.slow || t.stopping || t.job.ended {
			continue
		}
		a := c.agents[t.on]
		if a == nil || c.relativeSlowness(a) < moveFrom {
			continue
		}
		if t.remaining > moveGain*t.step.estimate && c.roomElsewhere(t, a) {
			c.note(Note{Event: "move", Job: t.job.name, Queue: t.job.queue.Name, Version: t.job.version, Key: t.key(), Worker: t.worker, Expected: t.remaining})
			c.stop(t)
		}
	}
}

const (
	// moveFrom is the slowness of a worker, against the typical one, from which
	// its runs are moved: below it a long run is long by its own work.
	moveFrom = 1.8
	// moveGain is how many times its estimate a run must still need to be moved.
	moveGain = 2
)

func (c *Core) roomElsewhere(t *task, from *agent) bool {
	for _, a := range c.candidates(t.job.queue.Service) {
		if a != from && a.free().Fits(t.step.Need) && c.relativeSlowness(a) < moveFrom && a.load.FailStreak < failStreakLimit {
			return true
		}
	}
	return false
}
