package ledger

import (
	"strconv"
	"strings"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// IsFresh reports whether every job that was accepted at least the given time ago is known here.
func (c *Core) IsFresh(now time.Time, within time.Duration) bool {
	return c.loaded && now.Sub(c.confirmedAt) < within
}

// IsCurrent reports whether every job that was accepted before the given time is known here.
func (c *Core) IsCurrent(since time.Time) bool { return c.loaded && !c.confirmedAt.Before(since) }

// IsTracked reports whether a job is known or its row is being stored here.
func (c *Core) IsTracked(name string) bool { return c.jobs[name] != nil }

// IsUnreadable reports whether a job exists whose row cannot be decoded here.
func (c *Core) IsUnreadable(name string) bool { return c.unreadable[name] > 0 }

// IsAbsent reports whether a job was certainly not accepted before the given time, and its row is not
// being stored here.
func (c *Core) IsAbsent(name string, since time.Time) bool {
	if c.IsUnreadable(name) {
		return false
	}
	j := c.jobs[name]
	return (j == nil || j.version > 0 && j.row.Unstored) && c.IsCurrent(since)
}

// Accept stores a new job. The request, which arrived at requestedAt, is answered once the job is stored or
// refused.
func (c *Core) Accept(now time.Time, id RequestID, name string, row *Row, requestedAt time.Time) {
	c.now = now
	j := c.jobs[name]
	switch {
	case j != nil && j.version > 0 && j.row.Unstored:
		c.refuse(id, name, row.Queue, errkind.CanceledUnstored, "it was cancelled before")
	case j != nil && j.version > 0:
		c.answer(id, errkind.OK)
	case j != nil:
		j.insertRequests = append(j.insertRequests, id)
	case !c.loaded:
		c.refuse(id, name, row.Queue, errkind.StoreUnavailable, "the stored jobs are not read yet")
	case c.OpenJobs() >= c.settings.MaxOpenJobs:
		c.refuse(id, name, row.Queue, errkind.Overloaded, "too many open jobs")
	default:
		row.Owner = c.settings.Self
		row.Epoch = 1
		j = &job{name: name, row: row, insertRequests: []RequestID{id}}
		c.addJob(j)
		c.sendInsert(j, *row, requestedAt)
	}
}

// Cancel cancels a job. The request is answered once the cancellation is stored or has failed. A job
// that is unknown here may have been accepted by another entry until requestedAt, when the request
// arrived.
func (c *Core) Cancel(now time.Time, id RequestID, name string, requestedAt time.Time) {
	c.now = now
	j := c.jobs[name]
	switch {
	case j == nil && !c.IsAbsent(name, requestedAt):
		c.answer(id, errkind.StoreUnavailable)
	case j == nil:
		c.cancelUnstored(id, name, requestedAt)
	case j.version == 0:
		j.cancelRequests = append(j.cancelRequests, id)
	case j.row.Unstored:
		c.answer(id, errkind.NotFound)
	case j.row.State == batch.JobCancelled:
		c.answer(id, errkind.OK)
	case j.row.State.Ended():
		c.answer(id, errkind.NotFound)
	default:
		j.cancelRequests = append(j.cancelRequests, id)
		c.sendNextWrite(j)
	}
}

// Limits of the rows of cancelled jobs that had none. Such a row is kept as long as that of an ended job.
const (
	unstoredPerSecond = 20
	unstoredBurst     = 400
)

// cancelUnstored stores that a job without a row is cancelled: another entry may be storing it. The
// request is answered once that is stored.
func (c *Core) cancelUnstored(id RequestID, name string, requestedAt time.Time) {
	c.unstoredAllowed = min(c.unstoredAllowed+unstoredPerSecond*c.now.Sub(c.unstoredAt).Seconds(), unstoredBurst)
	c.unstoredAt = c.now
	if c.unstoredAllowed < 1 {
		c.refuse(id, name, "", errkind.Overloaded, "too many cancels of unknown jobs")
		return
	}
	c.unstoredAllowed--
	row := &Row{Owner: c.settings.Self, Epoch: 1, State: batch.JobCancelled, Unstored: true}
	j := &job{name: name, row: row, cancelRequests: []RequestID{id}}
	c.jobs[name] = j
	c.sendInsert(j, *row, requestedAt)
}

// State returns the stored state of a job, and whether the job is known.
func (c *Core) State(name string) (batch.JobState, bool) {
	j := c.jobs[name]
	if j == nil || j.version == 0 || j.row.Unstored {
		return batch.JobQueued, false
	}
	return j.row.State, true
}

// QueuedJobs returns the number of jobs in a queue none of whose tasks is known to have begun.
func (c *Core) QueuedJobs(queue string) int {
	n := 0
	for _, j := range c.active {
		if j.version > 0 && j.row.Queue == queue && j.row.State == batch.JobQueued {
			n++
		}
	}
	return n
}

// ResolveEnd decides on the end of a run whose job this entry's core does not run. The end is acknowledged
// if no entry needs it, so the agent may forget it. It is void if the job may have ended by another
// run of the same task. If neither is set, the agent keeps the end and asks again:
//
//   - The job is unknown here. Another entry may just have accepted it; its row was stored before the run
//     began. It is certain once all rows are known that were stored before the first question.
//   - The row of the job cannot be decoded here. Entries that can decode it decide.
//   - The job is open. Its owner's core takes the end, also while the job is on hold, once the ownership is
//     confirmed and a configuration is in force. If the owner is gone, another entry takes the job over.
func (c *Core) ResolveEnd(now time.Time, end runs.End) (acked, void bool) {
	c.now = now
	j := c.jobs[end.Key.Job()]
	switch {
	case j == nil && c.isConfirmedAbsent(end.Key.Job()):
		c.logDenial(end.Key.Job(), "a run of it has ended")
		return true, false
	case j == nil:
		return false, false
	case !j.row.State.Ended():
		return j.version > 0 && !j.row.hasTask(end.Key), false
	case j.row.State == batch.JobCancelled, end.Outcome != runs.OutcomeDone && end.Outcome != runs.OutcomeFailed, j.row.isCompletingRun(end.Key):
		return true, false
	}
	return false, true
}

// hasTask reports whether the task of a run is one of the job, whose row has its steps.
func (r *Row) hasTask(key runs.Key) bool {
	parts := strings.Split(key.Task, ".")
	if len(parts) < 2 {
		return false
	}
	step, stepErr := strconv.Atoi(parts[len(parts)-2])
	index, indexErr := strconv.Atoi(parts[len(parts)-1])
	if stepErr != nil || indexErr != nil || step < 0 || step >= len(r.Steps) || index < 0 || index >= r.Steps[step].Count {
		return false
	}
	return key.Task == batch.TaskName(key.Job(), step, index)
}

// isCompletingRun reports whether a run is the one that completed its task.
func (r *Row) isCompletingRun(key runs.Key) bool {
	for _, p := range r.Progress {
		if key.Task == batch.TaskName(key.Job(), p.Step, p.Index) {
			return key.Run == p.Run
		}
	}
	return false
}

// isConfirmedAbsent reports whether a job that is unknown here certainly has no row.
func (c *Core) isConfirmedAbsent(name string) bool {
	if c.IsUnreadable(name) {
		return false
	}
	asked, before := c.unknownSince[name]
	if !before {
		c.unknownSince[name] = c.now
		return false
	}
	return c.loaded && c.confirmedAt.After(asked)
}

// logDenial logs that a job is said not to exist, and what was asked for.
func (c *Core) logDenial(name, question string) {
	c.out.Decisions = append(c.out.Decisions, Decision{
		Event: "deny", Job: name, Version: c.newestVersion, Reason: question, ConfirmationAge: c.now.Sub(c.confirmedAt),
	})
}

func (c *Core) answer(id RequestID, kind errkind.Kind) {
	c.out.Answers = append(c.out.Answers, Answer{Request: id, Kind: kind})
}

func (c *Core) refuse(id RequestID, name, queue string, kind errkind.Kind, reason string) {
	c.answer(id, kind)
	c.out.Decisions = append(c.out.Decisions, Decision{Event: "refuse", Job: name, Queue: queue, Reason: reason, ConfirmationAge: c.now.Sub(c.confirmedAt)})
}
