package batch

import (
	"context"
	"time"

	"peridotpick.example/common/boottime"
	core "peridotpick.example/core/batch"
	"peridotpick.example/service/telemetry"
)

// pollPause is the pause after a poll that has returned changes. It bounds the rate of calls to the
// store, and how old the state of a job may be at other entries.
const pollPause = 80 * time.Millisecond

// minPollRequestInterval is the shortest time between two polls on request. Agents ask again for
// each end that they keep; if each question cancelled the poll in flight, no poll would ever be
// answered.
const minPollRequestInterval = 100 * time.Millisecond

// pollPlan is the next call that follows the changes.
type pollPlan struct {
	// readVersion is set if the newest version of the store is read, and no changes.
	readVersion bool
	// wait is how long the poll waits for changes.
	wait time.Duration
	// target is the newest version that the store is known to have; 0 if the changes are read up to it.
	target uint64
}

// followChanges reads all rows, then polls for their changes.
func (d *durableJobs) followChanges(ctx context.Context) error {
	var after uint64
	loaded := false
	for ctx.Err() == nil {
		call, done := d.polls.begin(ctx)
		plan := d.planCall(call, loaded)
		if plan.readVersion && d.readVersion(call) {
			done()
			continue
		}
		sentAt, changes, err := d.poll(call, loaded, after, plan.wait)
		ended := call.Err() != nil
		done()
		if ended {
			continue // a request needs fresher jobs
		}
		if err != nil {
			d.logFailing(err)
			sleep(ctx, storeRetryPause)
			continue
		}
		if d.failing.Swap(false) {
			d.entry.log.Info().Msg("entry: the store tells the durable jobs again")
		}
		if changes.Restart {
			loaded = false
			continue
		}
		d.postChanges(changes, !loaded, sentAt)
		after, loaded = changes.Next, true
		switch {
		case changes.UpToDate:
		case after < plan.target:
			d.logPart(changes, plan.target)
		default:
			sleep(ctx, pollPause)
		}
	}
	return nil
}

// planCall has the event loop decide on the next call. A poll waits for changes longer while there is
// no durable job, and not at all if a request needs fresher jobs, ownership is not confirmed, changes
// are known to be unread, or the last poll failed.
func (d *durableJobs) planCall(ctx context.Context, loaded bool) pollPlan {
	planned := make(chan pollPlan, 1)
	d.entry.post(func(_ *core.Core, now time.Time) {
		plan := pollPlan{target: d.horizon.Target(), wait: jobPollWait}
		plan.readVersion = loaded && d.horizon.NeedsVersion(now, d.pollRequestedAt)
		switch {
		case d.horizon.KnownAt().Before(d.pollRequestedAt), plan.target > 0, d.ledger.HasUnconfirmed(), d.failing.Load():
			plan.wait = 0
		case d.empty.Load():
			plan.wait = max(jobPollWait, d.entry.nextPollWait())
		}
		// Questions wait for the first read of all rows. If they cancelled it, it would begin with the
		// first page again, and never end while they come more often than it takes.
		d.prompt = !loaded || plan.readVersion || plan.wait == 0
		planned <- plan
	})
	select {
	case plan := <-planned:
		return plan
	case <-ctx.Done():
		return pollPlan{}
	}
}

// poll makes one call to the store. It returns when the call was sent, which is after all requests for
// which it is made.
func (d *durableJobs) poll(ctx context.Context, loaded bool, after uint64, wait time.Duration) (sentAt time.Time, changes Changes, err error) {
	sentAt = boottime.Now()
	if !loaded {
		changes, err = d.entry.deps.Store.ReadJobs(ctx)
		return sentAt, changes, err
	}
	changes, err = d.entry.deps.Store.JobChanges(ctx, after, wait)
	return sentAt, changes, err
}

// readVersion reads the newest version of the store. It reports whether the store has told it.
func (d *durableJobs) readVersion(ctx context.Context) bool {
	sentAt := boottime.Now()
	telemetry.IncCounter("durable.version_reads", d.entry.deps.Metrics)
	version, err := d.entry.deps.Store.JobVersion(ctx)
	if err != nil {
		if ok, leftOut := d.entry.logBudget.Allow("newest version", boottime.Now()); ok {
			d.entry.log.Warn().Err(err).Int("left_out", leftOut).Msg("entry: the store does not tell its newest version")
		}
		return false
	}
	d.entry.post(func(_ *core.Core, now time.Time) { d.takeVersion(now, version, sentAt) })
	return true
}

// takeVersion takes the newest version of the store, as told by a call that was sent at sentAt. It runs
// in the event loop.
func (d *durableJobs) takeVersion(now time.Time, version uint64, sentAt time.Time) {
	d.horizon.TakeVersion(version, sentAt)
	d.ledger.Confirm(now, d.horizon.KnownAt())
}

// postChanges hands the answer to a call that was sent at sentAt to the event loop. first is set if it has
// all rows.
func (d *durableJobs) postChanges(changes Changes, first bool, sentAt time.Time) {
	d.entry.post(func(_ *core.Core, now time.Time) {
		for partition, version := range changes.Guards {
			d.ledger.TakeGuard(partition, version)
		}
		switch {
		case first:
			d.horizon.Load(changes.Next, sentAt)
			d.ledger.LoadRows(now, changes.Rows, d.horizon.KnownAt(), changes.Next)
			return
		case changes.UpToDate:
			d.horizon.TakeNone(changes.Next, sentAt)
		default:
			d.horizon.TakeChanges(changes.Next)
		}
		d.ledger.ApplyChanges(now, changes.Rows, d.horizon.KnownAt())
	})
}

// logFailing logs the first of several calls that fail.
func (d *durableJobs) logFailing(err error) {
	if !d.failing.Swap(true) {
		d.entry.log.Warn().Err(err).Msg("entry: the store does not tell the durable jobs")
	}
}

// logPart logs that an answer has only a part of the changes up to target.
func (d *durableJobs) logPart(changes Changes, target uint64) {
	telemetry.IncCounter("durable.parts", d.entry.deps.Metrics)
	if ok, leftOut := d.entry.logBudget.Allow("part of the changes", boottime.Now()); ok {
		d.entry.log.Info().Int("rows", len(changes.Rows)).Uint64("row", changes.Next).Uint64("newest", target).Int("left_out", leftOut).
			Msg("entry: a part of the changes of durable jobs was read")
	}
}

// requestPoll has the next poll return at once. It cancels a poll that waits for changes, but not one
// that returns at once too: that would never be answered while the store is slow.
func (d *durableJobs) requestPoll(now time.Time) {
	if now.Sub(d.pollRequestedAt) < minPollRequestInterval {
		return
	}
	d.pollRequestedAt = now
	if !d.prompt {
		d.polls.cancelAll()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
