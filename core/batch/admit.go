package batch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/policy"
)

// refusal is a truthful "not run", unless the job is deferred.
type refusal struct {
	kind       errkind.Kind
	reason     string
	retryAfter time.Duration
	// late is set if the job could run, but not end in time.
	late bool
}

// retrySoon is when a caller may come back after a passing refusal.
const retrySoon = time.Second

// admit decides whether a job is taken. What cannot end in time is refused
// before anything of it starts: it would use room that others need to end in time.
func (c *Core) admit(j *job) (plan, *refusal) {
	p := c.planJob(j)
	return p, c.judge(j, p)
}

// judge returns why a job cannot be taken, or nil.
func (c *Core) judge(j *job, p plan) *refusal {
	slack := p.slack - c.settings.Overhead
	likely := c.likelyWait(p.delay)
	switch {
	case len(p.places) == 0 && p.missing > 0:
		return &refusal{errkind.Overloaded, c.noWorkerReason(j.queue.Service), retrySoon, c.newborn(j.queue.Service)}
	case likely > slack:
		return &refusal{errkind.Overloaded, "no room in time", retrySoon, true}
	case c.settings.Policy.Has(policy.Yield) && c.yields.givesWay(c.now, j.queue):
		return &refusal{errkind.Overloaded, "gives way", retrySoon, true}
	}
	return nil
}

// likelyWait returns the real wait to expect of a predicted one.
func (c *Core) likelyWait(predicted time.Duration) time.Duration {
	if !c.settings.Policy.Has(policy.LearnedWaits) {
		return predicted
	}
	return c.waits.likely(predicted)
}

func (c *Core) refuse(id RequestID, r refusal) {
	c.out.Answers = append(c.out.Answers, Answer{Request: id, Kind: r.kind, RetryAfter: r.retryAfter})
}
