package batch

import (
	"time"

	"peridotpick.example/common/errkind"
)

// giveUp answers all requests of a job and ends it.
func (c *Core) giveUp(j *job, kind errkind.Kind, reason string) {
	if j.ended {
		return
	}
	c.failDurable(j, kind)
	c.note(Note{Event: "give up", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: reason, Age: c.now.Sub(j.arrived), Deferred: j.wasDeferred})
	if kind != outOfTime || j.begun || !j.placed() {
		c.answer(j, c.truthful(j, kind))
		c.endJob(j)
		return
	}
	j.answerBy = c.now.Add(proofWait)
	c.endJob(j)
}

// proofWait is how long the answer of a job that is given up waits for the proof
// that nothing of it began: a few round trips. With the proof the caller may come
// back; without it a job that must not run twice is lost to the caller.
const proofWait = 40 * time.Millisecond

// truthful turns a job's end for lack of time into what can be said of it.
func (c *Core) truthful(j *job, kind errkind.Kind) errkind.Kind {
	switch {
	case kind != outOfTime:
		return kind
	case j.begun || j.placed():
		return errkind.DeadlineExceeded
	}
	return errkind.Overloaded
}

// answerProved answers a job that was given up once all its runs are over, or
// when the answer may wait no longer.
func (c *Core) answerProved(j *job) {
	if j.answerBy.IsZero() || j.placed() && !j.begun && c.now.Before(j.answerBy) {
		return
	}
	j.answerBy = time.Time{}
	c.answer(j, c.truthful(j, outOfTime))
}

func (c *Core) answer(j *job, kind errkind.Kind) {
	retryAfter := time.Duration(0)
	if errkind.Of(kind).Retry {
		retryAfter = retrySoon
	}
	for _, id := range j.requests {
		delete(c.byRequest, id)
		c.out.Answers = append(c.out.Answers, Answer{Request: id, Kind: kind, RetryAfter: retryAfter})
	}
	j.requests = nil
}

// outOfTime gives a job up for lack of time. What the caller is told depends on
// whether anything of it began.
const outOfTime = errkind.DeadlineTooShort
