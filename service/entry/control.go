package entry

import (
	"context"
	"time"

	"github.com/dgryski/go-rendezvous"
	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"peridotpick.example/common/logs"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/service/members"
	"peridotpick.example/wire"
)

// Intervals and timeouts of the control loop.
const (
	// entryLease is the time after a confirmed renewal of the own row during which this entry may
	// start claimed work. It is shorter than the time for which agents keep epochs of submissions, so that an
	// entry that was suspended or partitioned cannot start work that another entry has taken over.
	entryLease = 45 * time.Second
	// controlTimeout bounds one task of the control loop or one request of power control.
	controlTimeout = 2 * time.Second
	// controlInterval is the pause between checks for due tasks.
	controlInterval = 250 * time.Millisecond
	// sweepInterval is the period of sweeps; sweepBatch is the number of claims that one sweep reads
	// for each lost entry.
	sweepInterval = time.Second
	sweepBatch    = 64
	// gatherDelay is the time after its deadline from which a submission of a lost entry is resumed
	// without its request: the results of its started tasks are collected, and it is closed.
	gatherDelay = 5 * time.Second
	// expireInterval is the period of deletions of expired claims.
	expireInterval = 2 * time.Second
)

// controlLoop owns the registry: it renews the own row, reads those of the other entries, resumes
// submissions of lost entries and deletes expired claims.
type controlLoop struct {
	entry *Entry
	log   zerolog.Logger
	// previousIncarnations are those of this entry whose claims have not all been swept yet.
	previousIncarnations []wire.EntryInfo
	// Times at which the tasks are due next.
	nextRenew, nextReadPeers, nextSweep, nextExpire time.Time
}

// runControl runs the control loop until ctx ends.
func (e *Entry) runControl(ctx context.Context) error {
	c := &controlLoop{entry: e, log: e.deps.Logs.For(logs.Members)}
	for ctx.Err() == nil {
		c.runIfDue(ctx, &c.nextRenew, members.RenewInterval, c.renew, "members: own row not renewed")
		c.runIfDue(ctx, &c.nextReadPeers, members.ReadInterval, c.readPeers, "members: rows of entries not read")
		c.runIfDue(ctx, &c.nextSweep, sweepInterval, c.sweep, "members: submissions of lost entries not resumed")
		c.runIfDue(ctx, &c.nextExpire, expireInterval, c.deleteExpired, "members: expired claims not deleted")
		sleep(ctx, controlInterval)
	}
	return nil
}

// runIfDue runs a task if the time next has come and sets next to one interval later. A failure is
// logged with the message failure.
func (c *controlLoop) runIfDue(ctx context.Context, next *time.Time, interval time.Duration, task func(context.Context) error, failure string) {
	now := time.Now()
	if now.Before(*next) {
		return
	}
	*next = now.Add(interval)
	timeoutCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := task(timeoutCtx); err != nil {
		c.log.Warn().Err(err).Msg(failure)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// renew renews the own row and, with it, the lease under which the core starts claimed work.
func (c *controlLoop) renew(ctx context.Context) error {
	e := c.entry
	renewal, err := e.registry.Renew(ctx, time.Now(), e.configVersion())
	if err != nil {
		return err
	}
	until := renewal.Sent.Add(entryLease)
	e.post(func(core *dispatch.Core, _ time.Time) { core.SetLease(until) })
	if renewal.Previous != nil {
		c.previousIncarnations = append(c.previousIncarnations, *renewal.Previous)
	}
	return nil
}

// readPeers reads the rows of the other entries. If the list of live entries has changed, it notifies
// the agents, the claim store and the core.
func (c *controlLoop) readPeers(ctx context.Context) error {
	e := c.entry
	if err := e.registry.ReadRows(ctx, time.Now()); err != nil {
		return err
	}
	now := time.Now()
	live := e.registry.LiveEntries(now)
	versions := e.registry.ConfigVersions(now)
	e.configVersions.Store(&versions)
	before := *e.liveEntries.Load()
	e.liveEntries.Store(&live)
	if !sameEntries(before, live) {
		e.links.broadcast(&wire.ToAgent{Entries: live})
		e.claims.SetLiveEntries(len(live))
		names := make([]string, len(live))
		for i := range live {
			names[i] = live[i].ID
		}
		e.post(func(core *dispatch.Core, _ time.Time) { core.SetEntries(names) })
	}
	return nil
}

func sameEntries(a, b []wire.EntryInfo) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// isResponsible reports whether this entry is to do the task of that name, chosen among the live
// entries by rendezvous hashing. Two entries that see different live entries may both be
// responsible, so all such tasks must tolerate being done twice.
func (c *controlLoop) isResponsible(task string) bool {
	live := *c.entry.liveEntries.Load()
	names := make([]string, len(live))
	for i := range live {
		names[i] = live[i].ID
	}
	return rendezvous.New(names, xxh3.HashString).Lookup(task) == c.entry.self.ID
}

// sweep resumes the submissions of lost entries and of previous incarnations of this entry.
func (c *controlLoop) sweep(ctx context.Context) error {
	for _, owner := range c.entry.registry.LostEntries(time.Now()) {
		if !c.isResponsible(owner.ID) {
			continue
		}
		dead, err := c.entry.registry.MarkDead(ctx, owner.ID)
		if err != nil {
			return err
		}
		if !dead {
			continue
		}
		left, err := c.sweepOwner(ctx, owner)
		if err != nil {
			return err
		}
		if left == 0 {
			if err := c.entry.registry.Remove(ctx, owner.ID); err != nil {
				return err
			}
		}
	}
	return c.sweepPreviousIncarnations(ctx)
}

// sweepPreviousIncarnations sweeps the claims of previous incarnations of this entry and keeps those
// that still have claims or could not be read.
func (c *controlLoop) sweepPreviousIncarnations(ctx context.Context) error {
	var left []wire.EntryInfo
	var failed error
	for _, owner := range c.previousIncarnations {
		n, err := c.sweepOwner(ctx, owner)
		if err != nil {
			failed = err
		}
		if n > 0 || err != nil {
			left = append(left, owner)
		}
	}
	c.previousIncarnations = left
	return failed
}

// sweepOwner resumes up to sweepBatch open submissions of an entry incarnation and deletes stale
// index rows. It returns the number of claims read that the incarnation still owns.
func (c *controlLoop) sweepOwner(ctx context.Context, owner wire.EntryInfo) (int, error) {
	e := c.entry
	submissions, err := e.claims.ListOwned(ctx, owner, sweepBatch)
	if err != nil {
		return 0, err
	}
	var stale []string
	for _, submission := range submissions {
		row, version, err := e.claims.Read(ctx, submission)
		if err != nil {
			return len(submissions), err
		}
		if row == nil || row.Phase != claim.Running || row.Owner != owner {
			stale = append(stale, submission)
			continue
		}
		c.resume(row, version)
	}
	if len(stale) > 0 {
		if err := e.claims.DeleteIndexRows(ctx, owner, stale); err != nil {
			return len(submissions), err
		}
	}
	return len(submissions) - len(stale), nil
}

// resume hands a submission to the core if its request is stored, or if its deadline passed at least
// gatherDelay ago, so that its caller no longer waits for it. Before that the caller may resubmit the
// request, which resumes the submission too.
func (c *controlLoop) resume(row *claim.Row, version uint64) {
	e := c.entry
	request := e.decodeStoredRequest(row)
	if request == nil && time.Now().Before(row.Deadline.Add(gatherDelay)) {
		return
	}
	c.log.Info().Str("submission", row.Submission).Str("lost", row.Owner.ID).Msg("members: submission of a lost entry resumed")
	e.post(func(core *dispatch.Core, now time.Time) { core.Resume(now, row, version, request) })
}

// deleteExpired deletes one batch of claims that ended longer ago than the configured retention.
func (c *controlLoop) deleteExpired(ctx context.Context) error {
	e := c.entry
	conf := e.watcher.Current()
	if conf == nil || !c.isResponsible("retention") {
		return nil
	}
	n, err := e.claims.DeleteExpired(ctx, time.Now().Add(-conf.Retention()), sweepBatch)
	if n == sweepBatch {
		c.nextExpire = time.Now() // a full batch: more may be due
	}
	return err
}
