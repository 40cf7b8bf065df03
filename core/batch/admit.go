package batch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/policy"
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
// before anything of it starts: it would use room that others need to end in time.
func (c *Core) admit(j *job) (plan, *refusal) {
	p := c.planJob(j)
	refused := c.judge(j, p)
	c.yields.count(c.now, j.queue, refused != nil)
	return p, refused
}

// judge returns why a job cannot be taken, or nil.
func (c *Core) judge(j *job, p plan) *refusal {
	slack := p.slack - c.settings.Overhead
	likely := c.likelyWait(p.delay)
	switch {
	case len(p.places) == 0 && p.missing > 0:
		return &refusal{errkind.Overloaded, "no worker", retrySoon}
	case likely > slack:
		return &refusal{errkind.Overloaded, "no room in time", retrySoon}
	case p.delay > 0 && float64(likely) > c.yieldFactor(j.queue)*float64(slack):
		return &refusal{errkind.Overloaded, "yields to urgent jobs", retrySoon}
	}
	return nil
}

// likelyWait returns what a predicted wait will not exceed in most cases.
func (c *Core) likelyWait(predicted time.Duration) time.Duration {
	if !c.settings.Policy.Has(policy.LearnedWaits) {
		return predicted
	}
	return c.waits.likely(predicted)
}

// yieldFactor returns the part of its slack that a job of a queue may use.
func (c *Core) yieldFactor(q *catalog.Queue) float64 {
	if !c.settings.Policy.Has(policy.Yield) {
		return 1
	}
	return c.yields.factor(c.now, q)
}

func (c *Core) refuse(id RequestID, r refusal) {
	c.out.Answers = append(c.out.Answers, Answer{Request: id, Kind: r.kind, RetryAfter: r.retryAfter})
}
