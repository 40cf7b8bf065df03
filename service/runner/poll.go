package runner

import (
	"context"
	"time"

	"peridotpick.example/common/boottime"
	core "peridotpick.example/core/runner"
)

// A poll is a long poll at the worker: the worker answers once a run has ended, or after the wait
// that the poll asks for. It renews the lease of the worker and lists its runs.
const (
	// pollRetryDelay is the pause after a poll without an answer.
	pollRetryDelay = 5 * time.Millisecond
	// pollOverlapDelay is the time beyond the requested wait after which the next poll begins,
	// even though the answer to the last one has not arrived.
	pollOverlapDelay = 40 * time.Millisecond
	// maxConcurrentPolls is the highest number of polls without an answer at a time.
	maxConcurrentPolls = 4
)

// requestPoll wakes pollWorker if a poll is due.
func (a *Agent) requestPoll() {
	if !a.core.IsPollDue(boottime.Now()) {
		return
	}
	select {
	case a.pollDue <- struct{}{}:
	default:
	}
}

// pollWorker polls the worker whenever requestPoll asks for it.
func (a *Agent) pollWorker(ctx context.Context) error {
	slots := make(chan struct{}, maxConcurrentPolls)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.pollDue:
		}
		poll, ok := a.nextPoll(ctx)
		if !ok {
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		done := make(chan struct{})
		go func() {
			a.pollOnce(poll)
			<-slots
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(poll.Wait + pollOverlapDelay):
			// The answer may be lost; runs that end in the meantime must not wait for it.
		}
	}
}

// pollOnce makes one poll and posts the answer to the event loop.
func (a *Agent) pollOnce(poll core.Poll) {
	answer, listing := a.deps.Worker.Poll(poll)
	a.post(func(c *core.Core, now time.Time) { c.PollAnswered(now, poll, answer, listing) })
	if answer.Status == core.NoAnswer {
		a.log.Warn().Str("worker", poll.Worker).Dur("wait", poll.Wait).Msg("agent: the worker does not answer")
		time.Sleep(pollRetryDelay)
	}
}

// nextPoll asks the core for the parameters of the next poll; ok is false if none is needed.
func (a *Agent) nextPoll(ctx context.Context) (core.Poll, bool) {
	type result struct {
		poll core.Poll
		ok   bool
	}
	answer := make(chan result, 1)
	a.post(func(c *core.Core, now time.Time) {
		poll, ok := c.NextPoll(now)
		answer <- result{poll, ok}
	})
	select {
	case r := <-answer:
		return r.poll, r.ok
	case <-ctx.Done():
		return core.Poll{}, false
	}
}
