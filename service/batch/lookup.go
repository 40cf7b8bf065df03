package batch

import (
	"context"
	"time"

	"peridotpick.example/common/boottime"
	"peridotpick.example/common/errkind"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
)

// Times of waiting for fresher jobs.
const (
	// freshTimeout is how long a request waits for the known jobs to be fresh enough while the store
	// does not answer, freshCheckInterval the time between two checks.
	freshTimeout       = 250 * time.Millisecond
	freshCheckInterval = 10 * time.Millisecond
	// maxStaleness is how old the newest answered poll may be for the number of queued jobs.
	maxStaleness = 2 * time.Second
)

// awaitAnswer waits until the ledger answers a question that was asked at the given time. Requests share
// the polls that this takes. It reports whether the ledger does, false early if the store does not answer.
func (d *durableJobs) awaitAnswer(ctx context.Context, since time.Time, isAnswered func() bool) bool {
	return d.await(ctx, func(now time.Time) bool {
		if isAnswered() {
			return true
		}
		if d.pollRequestedAt.Before(since) {
			d.requestPoll(now)
		}
		return false
	})
}

// ensureFresh waits until the known jobs are at most maxStaleness old. This is needed because polls
// wait long while there is no durable job.
func (d *durableJobs) ensureFresh(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, freshTimeout)
	defer stop()
	d.await(ctx, func(now time.Time) bool {
		if d.ledger.IsFresh(now, maxStaleness) {
			return true
		}
		d.requestPoll(now)
		return false
	})
}

// await waits until a condition, which the event loop checks, is met or ctx ends, and at most for
// freshTimeout if the store does not answer. It checks at least once, and reports the last result.
func (d *durableJobs) await(ctx context.Context, isMet func(now time.Time) bool) bool {
	for began := time.Now(); ; sleep(ctx, freshCheckInterval) {
		met := make(chan bool, 1)
		d.entry.post(func(_ *core.Core, now time.Time) { met <- isMet(now) })
		select {
		case done := <-met:
			if done || ctx.Err() != nil || d.failing.Load() && time.Since(began) >= freshTimeout {
				return done
			}
		case <-d.entry.work.Done():
			return false
		}
	}
}

// CancelDurable cancels a durable job.
func (e *Entry) CancelDurable(ctx context.Context, name string) errkind.Kind {
	requestedAt := boottime.Now()
	d := e.durable
	if !d.awaitAnswer(ctx, requestedAt, func() bool {
		return d.ledger.IsTracked(name) || d.ledger.IsUnreadable(name) || d.ledger.IsAbsent(name, requestedAt)
	}) {
		return errkind.StoreUnavailable // nothing was changed
	}
	return d.request(ctx, func(id ledger.RequestID, now time.Time) { d.ledger.Cancel(now, id, name, requestedAt) })
}

// JobStatus is the state of a durable job.
type JobStatus struct {
	State core.JobState
	// Known is set if the job exists. Certain is set if it does not, and is not being stored; if neither
	// is set, it is unknown whether the job exists.
	Known, Certain bool
}

// statusWait is how long a request for the state of a running job waits for its end. Callers often
// ask right after the last task has ended, some milliseconds before that is stored; if they were
// told that the job runs, they would ask again much later.
const statusWait = 80 * time.Millisecond

// JobState returns the state of a durable job. For a running job it waits up to statusWait for the
// end.
func (e *Entry) JobState(ctx context.Context, name string) JobStatus {
	requestedAt := boottime.Now()
	ended := make(chan struct{})
	status := e.currentState(name, requestedAt, ended)
	if !status.Known && !status.Certain {
		d := e.durable
		d.awaitAnswer(ctx, requestedAt, func() bool {
			_, known := d.ledger.State(name)
			return known || d.ledger.IsUnreadable(name) || d.ledger.IsAbsent(name, requestedAt)
		})
		status = e.currentState(name, requestedAt, ended)
	}
	if !status.Known || status.State != core.JobRunning {
		return status
	}
	select {
	case <-ended:
	case <-time.After(statusWait):
	case <-ctx.Done():
	}
	return e.currentState(name, requestedAt, nil)
}

// currentState returns the state of a job, asked for at requestedAt, without waiting for its end. If
// the job has not ended and ended is not nil, ended is closed when it does.
func (e *Entry) currentState(name string, requestedAt time.Time, ended chan<- struct{}) JobStatus {
	status := make(chan JobStatus, 1)
	e.post(func(c *core.Core, now time.Time) {
		s := JobStatus{Certain: e.durable.ledger.IsAbsent(name, requestedAt)}
		s.State, s.Known = e.durable.ledger.State(name)
		if local, running := c.DurableState(name); running && s.Known && !s.State.Ended() && !local.Ended() {
			s.State = local
		}
		if s.Known && !s.State.Ended() && ended != nil {
			e.durable.endWaiters[name] = append(e.durable.endWaiters[name], ended)
		}
		status <- s
	})
	select {
	case s := <-status:
		return s
	case <-e.work.Done():
		return JobStatus{}
	}
}

// QueuedDurable returns the number of durable jobs in a queue none of whose tasks has begun.
func (e *Entry) QueuedDurable(queue string) int {
	e.durable.ensureFresh(e.work)
	n := make(chan int, 1)
	e.post(func(*core.Core, time.Time) { n <- e.durable.ledger.QueuedJobs(queue) })
	select {
	case waiting := <-n:
		return waiting
	case <-e.work.Done():
		return 0
	}
}
