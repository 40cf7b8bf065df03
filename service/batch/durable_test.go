package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// emptyStore has no durable jobs, and answers looks when they have waited.
type emptyStore struct {
	fakeStore
	answered atomic.Int64
}

func (s *emptyStore) Jobs(context.Context) (Changes, error) { return Changes{Next: 1}, nil }

func (s *emptyStore) JobChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	select {
	case <-ctx.Done():
		return Changes{}, ctx.Err()
	case <-time.After(wait + time.Millisecond):
		s.answered.Add(1)
		return Changes{Next: after}, nil
	}
}

// TestEndsOfUnknownJobsAreSettledHoweverOftenAgentsAsk: each question needs a look at the
// store that is sent after it, and must not put an end to the one that is under way.
func TestEndsOfUnknownJobsAreSettledHoweverOftenAgentsAsk(t *testing.T) {
	store := &emptyStore{fakeStore: fakeStore{docs: make(chan *Document)}}
	e := startOn(t, store)
	waitFor(t, "the store is followed", func() bool { return e.keeper.idle.Load() })
	end := runs.End{Key: runs.Key{Task: "00000000000000aa.0.0.0", Run: 1}, How: runs.Done, Held: true}
	settled := make(chan bool, 1)
	waitFor(t, "the end is settled", func() bool {
		e.post(func(_ *core.Core, now time.Time) {
			for range 50 {
				e.keeper.settle(now, core.Unowned{End: end})
			}
			noted, _ := e.keeper.ledger.Settle(now, end)
			settled <- noted
		})
		return <-settled
	})
	before := store.answered.Load()
	for range 40 {
		e.post(func(_ *core.Core, now time.Time) { e.keeper.hurry(now) })
		time.Sleep(10 * time.Millisecond)
	}
	if n := store.answered.Load() - before; n > 8 {
		t.Errorf("%d looks in 0.4 s", n)
	}
}
