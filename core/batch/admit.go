package batch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/admission"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/policy"
)

// refusal is why a job is not admitted. Nothing of the job has run.
type refusal struct {
	kind       errkind.Kind
	reason     string
	retryAfter time.Duration
	// deferrable is set if the job may still run, though too late for its objective.
	deferrable bool
}

// retryDelay is the delay after which a caller may submit a job again that was refused for a
// temporary reason other than the load.
const retryDelay = time.Second

// loadRetryDelay returns the delay after which a job that was refused for the load may be submitted
// again.
func (c *Core) loadRetryDelay(q *catalog.Queue) time.Duration {
	return c.gate.RetryDelay(c.now, gateQueue(q), c.rand.Float64())
}

// admit decides whether a job is admitted. A job that cannot meet its objective is refused before
// any of its tasks starts: it would use resources that others need to meet theirs.
func (c *Core) admit(j *job) (plan, *refusal) {
	p := c.planJob(j)
	if r := c.checkReach(j); r != nil {
		return p, r
	}
	return p, c.checkAdmission(j, &p)
}

// checkAdmission returns why a job cannot be admitted with the given plan, or nil.
func (c *Core) checkAdmission(j *job, p *plan) *refusal {
	if len(p.placements) == 0 && p.missing > 0 {
		return &refusal{errkind.Overloaded, c.noWorkerReason(j.queue.Service), retryDelay, c.isStartingUp(j.queue.Service)}
	}
	f := c.forecast(j, p)
	p.forecast = f
	switch c.gate.Decide(c.now, j.gateJob(), f) {
	case admission.NoTime:
		return &refusal{errkind.Overloaded, "no room in time", c.loadRetryDelay(j.queue), true}
	case admission.OverShare:
		if c.settings.Policy.Enabled(policy.Shares) {
			return &refusal{errkind.Overloaded, "over its share", c.loadRetryDelay(j.queue), false}
		}
	case admission.GiveWay:
		if c.settings.Policy.Enabled(policy.Yield) {
			return &refusal{errkind.Overloaded, "gives way", c.loadRetryDelay(j.queue), true}
		}
	}
	return nil
}

// gateQueue returns what the admission gate needs to know of a queue.
func gateQueue(q *catalog.Queue) admission.Queue {
	return admission.Queue{Name: q.Name, Service: q.Service, Priority: q.Priority}
}

// gateJob returns what the admission gate needs to know of a job.
func (j *job) gateJob() admission.Job {
	return admission.Job{Queue: gateQueue(j.queue), Caller: j.caller, Work: j.openWork()}
}

// refuse answers the request of a job that is not admitted.
func (c *Core) refuse(id RequestID, r refusal) {
	c.out.Answers = append(c.out.Answers, Answer{Request: id, Kind: r.kind, RetryAfter: r.retryAfter})
}
