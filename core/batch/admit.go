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
// before anything of it starts: it would use room that others need to end in time.
func (c *Core) admit(j *job) (plan, *refusal) {
	p := c.planJob(j)
	switch {
	case len(p.places) == 0 && p.missing > 0:
		return p, &refusal{errkind.Overloaded, "no worker", retrySoon}
	case c.waits.likely(p.delay) > p.slack-c.settings.Overhead:
		return p, &refusal{errkind.Overloaded, "no room in time", retrySoon}
	}
	return p, nil
}

func (c *Core) refuse(id RequestID, r refusal) {
	c.out.Answers = append(c.out.Answers, Answer{Request: id, Kind: r.kind, RetryAfter: r.retryAfter})
}
