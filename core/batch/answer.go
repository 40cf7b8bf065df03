package batch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/admission"
)

// giveUp ends a job without success and answers its requests. The answer to a job that is out of
// time may be delayed by up to proofTimeout.
func (c *Core) giveUp(j *job, kind errkind.Kind, reason string) {
	if j.ended {
		return
	}
	c.resolvePromise(j, admission.Broken)
	if kind == errkind.Overloaded || kind == outOfTime {
		c.gate.Lost(c.now, j.gateJob())
	}
	c.failDurable(j, kind)
	c.logDecision(Decision{Event: "give up", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: reason, Age: c.now.Sub(j.arrived), Deferred: j.wasDeferred})
	if kind != outOfTime || j.begun || !j.hasPlacedRun() {
		c.answerRequests(j, c.reportedKind(j, kind))
		c.stopJob(j)
		return
	}
	j.proofDeadline = c.now.Add(proofTimeout)
	c.stopJob(j)
}

// proofTimeout is how long the answer of a job that is out of time waits for the proof that nothing
// of it began: a few round trips. With the proof the caller may submit the job again. Without it a
// job that must not run twice is lost to the caller.
const proofTimeout = 40 * time.Millisecond

// reportedKind returns the error kind to report for a job that ended with the given one. For a job
// out of time it depends on whether anything of the job may have begun.
func (c *Core) reportedKind(j *job, kind errkind.Kind) errkind.Kind {
	switch {
	case kind != outOfTime:
		return kind
	case j.begun || j.hasPlacedRun():
		return errkind.DeadlineExceeded
	}
	return errkind.Overloaded
}

// answerIfProven answers a job that was given up, once all its runs are over, one is known to have
// begun, or proofTimeout has passed.
func (c *Core) answerIfProven(j *job) {
	if j.proofDeadline.IsZero() || j.hasPlacedRun() && !j.begun && c.now.Before(j.proofDeadline) {
		return
	}
	j.proofDeadline = time.Time{}
	c.answerRequests(j, c.reportedKind(j, outOfTime))
}

// answerRequests answers all open requests of a job.
func (c *Core) answerRequests(j *job, kind errkind.Kind) {
	retryAfter := time.Duration(0)
	if errkind.Of(kind).Retry {
		retryAfter = c.loadRetryDelay(j.queue)
	}
	for _, id := range j.requests {
		delete(c.byRequest, id)
		c.out.Answers = append(c.out.Answers, Answer{Request: id, Kind: kind, RetryAfter: retryAfter})
	}
	j.requests = nil
}

// outOfTime is the kind with which giveUp is called for lack of time. reportedKind translates it.
const outOfTime = errkind.DeadlineTooShort
