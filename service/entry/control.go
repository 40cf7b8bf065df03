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

// Times of control work.
const (
	// leaseAfterRenewal is how long claimed work may be started after the own
	// row was confirmed. It is shorter than agents remember fences, so that an
	// entry that was paused or cut off cannot start what was taken over.
	leaseAfterRenewal = 45 * time.Second
	controlTimeout    = 2 * time.Second
	controlTick       = 250 * time.Millisecond
	// sweepEvery is the pause between sweeps, sweepBatch the claims of one.
	sweepEvery = time.Second
	sweepBatch = 64
	// orphanMargin is how long after its deadline an orphan without its request
	// is closed.
	orphanMargin = 5 * time.Second
	// expireEvery is the pause between deletions of expired claims.
	expireEvery = 2 * time.Second
)

// control is the goroutine that owns the registry: it renews the own row,
// looks at the others, and takes up what lost entries left.
type control struct {
	entry *Entry
	log   zerolog.Logger
	// former are earlier incarnations of this entry whose claims are to be swept.
	former []wire.EntryInfo
	// next are the times at which the duties are due.
	renewAt, lookAt, sweepAt, expireAt time.Time
}

// membership runs the control duties until ctx ends.
func (e *Entry) membership(ctx context.Context) error {
	c := &control{entry: e, log: e.deps.Logs.For(logs.Members)}
	for ctx.Err() == nil {
		c.duty(ctx, &c.renewAt, members.RenewEvery, c.renew, "members: own row not renewed")
		c.duty(ctx, &c.lookAt, members.LookEvery, c.look, "members: rows not read")
		c.duty(ctx, &c.sweepAt, sweepEvery, c.sweep, "members: sweep failed")
		c.duty(ctx, &c.expireAt, expireEvery, c.expire, "members: expired claims not deleted")
		wait(ctx, controlTick)
	}
	return nil
}

// duty runs do if it is due.
func (c *control) duty(ctx context.Context, at *time.Time, every time.Duration, do func(context.Context) error, failure string) {
	now := time.Now()
	if now.Before(*at) {
		return
	}
	*at = now.Add(every)
	limited, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := do(limited); err != nil {
		c.log.Warn().Err(err).Msg(failure)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *control) renew(ctx context.Context) error {
	e := c.entry
	renewal, err := e.registry.Renew(ctx, time.Now(), e.configVersion())
	if err != nil {
		return err
	}
	until := renewal.Sent.Add(leaseAfterRenewal)
	e.post(func(core *dispatch.Core, _ time.Time) { core.SetLease(until) })
	if renewal.Previous != nil {
		c.former = append(c.former, *renewal.Previous)
	}
	return nil
}

// look reads the rows of the other entries and tells agents of changes.
func (c *control) look(ctx context.Context) error {
	e := c.entry
	if err := e.registry.Look(ctx, time.Now()); err != nil {
		return err
	}
	now := time.Now()
	live := e.registry.Live(now)
	versions := e.registry.Versions(now)
	e.versions.Store(&versions)
	before := *e.live.Load()
	e.live.Store(&live)
	if !sameEntries(before, live) {
		e.links.broadcast(&wire.ToAgent{Entries: live})
		e.claims.SetShares(len(live))
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

// chosen reports whether this entry is the one to do a duty of that name. Two
// entries that see different live entries may both be: all duties bear that.
func (c *control) chosen(duty string) bool {
	live := *c.entry.live.Load()
	names := make([]string, len(live))
	for i := range live {
		names[i] = live[i].ID
	}
	return rendezvous.New(names, xxh3.HashString).Lookup(duty) == c.entry.self.ID
}

// sweep takes up the submissions of lost entries and of former incarnations.
func (c *control) sweep(ctx context.Context) error {
	for _, owner := range c.entry.registry.Lost(time.Now()) {
		if !c.chosen(owner.ID) {
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
	return c.sweepFormer(ctx)
}

func (c *control) sweepFormer(ctx context.Context) error {
	var left []wire.EntryInfo
	var failed error
	for _, owner := range c.former {
		n, err := c.sweepOwner(ctx, owner)
		if err != nil {
			failed = err
		}
		if n > 0 || err != nil {
			left = append(left, owner)
		}
	}
	c.former = left
	return failed
}

// sweepOwner resumes what an entry incarnation left. It returns how many of
// its claims are still to be dealt with.
func (c *control) sweepOwner(ctx context.Context, owner wire.EntryInfo) (int, error) {
	e := c.entry
	submissions, err := e.claims.Owned(ctx, owner, sweepBatch)
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
		if err := e.claims.Forget(ctx, owner, stale); err != nil {
			return len(submissions), err
		}
	}
	return len(submissions) - len(stale), nil
}

// resume takes a submission up if its request is known, or if its caller can
// no longer wait for it; until then a resubmission brings the request.
func (c *control) resume(row *claim.Row, version uint64) {
	e := c.entry
	request := e.storedRequest(row)
	if request == nil && time.Now().Before(row.Deadline.Add(orphanMargin)) {
		return
	}
	c.log.Info().Str("submission", row.Submission).Str("lost", row.Owner.ID).Msg("members: submission of a lost entry resumed")
	e.post(func(core *dispatch.Core, now time.Time) { core.Resume(now, row, version, request) })
}

// expire deletes claims that nobody may ask for any more.
func (c *control) expire(ctx context.Context) error {
	e := c.entry
	conf := e.watcher.Current()
	if conf == nil || !c.chosen("retention") {
		return nil
	}
	n, err := e.claims.Expire(ctx, time.Now().Add(-conf.Retention()), sweepBatch)
	if n == sweepBatch {
		c.expireAt = time.Now() // more are due
	}
	return err
}
