package batch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// emptyStore has no durable jobs. It answers each poll once its wait is over, and counts the
// answers.
type emptyStore struct {
	fakeStore
	answered atomic.Int64
}

func (s *emptyStore) ReadJobs(context.Context) (Changes, error) {
	return Changes{Next: 1, UpToDate: true}, nil
}

func (s *emptyStore) JobChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	select {
	case <-ctx.Done():
		return Changes{}, ctx.Err()
	case <-time.After(wait + time.Millisecond):
		s.answered.Add(1)
		return Changes{Next: after, UpToDate: true}, nil
	}
}

func (s *emptyStore) JobVersion(context.Context) (uint64, error) { return 1, nil }

// TestEndsOfUnknownJobsAreResolvedHoweverOftenAgentsAsk guards against questions that cancel the
// poll in flight each time: a question is answered by a poll that was sent after it, so none would
// ever be answered.
func TestEndsOfUnknownJobsAreResolvedHoweverOftenAgentsAsk(t *testing.T) {
	store := &emptyStore{fakeStore: fakeStore{docs: make(chan *Document)}}
	e := startEntryOn(t, store)
	waitFor(t, "the store is not polled", func() bool { return e.durable.empty.Load() })
	end := runs.End{Key: runs.Key{Task: "00000000000000aa.0.0.0", Run: 1}, Outcome: runs.OutcomeDone, NeedsAck: true}
	resolved := make(chan bool, 1)
	waitFor(t, "the end is not resolved", func() bool {
		e.post(func(_ *core.Core, now time.Time) {
			for range 50 {
				e.durable.resolveUnowned(now, core.UnownedEnd{End: end})
			}
			acked, _ := e.durable.ledger.ResolveEnd(now, end)
			resolved <- acked
		})
		return <-resolved
	})
	before := store.answered.Load()
	for range 40 {
		e.post(func(_ *core.Core, now time.Time) { e.durable.requestPoll(now) })
		time.Sleep(10 * time.Millisecond)
	}
	if n := store.answered.Load() - before; n > 8 {
		t.Errorf("%d polls answered in 0.4 s, want at most 8", n)
	}
}

// slowFirstReadStore is a store whose rows take long to read.
type slowFirstReadStore struct {
	emptyStore
	reads atomic.Int64
}

func (s *slowFirstReadStore) ReadJobs(ctx context.Context) (Changes, error) {
	s.reads.Add(1)
	select {
	case <-ctx.Done():
		return Changes{}, ctx.Err()
	case <-time.After(400 * time.Millisecond):
		return Changes{Next: 1, UpToDate: true}, nil
	}
}

// TestQuestionsDoNotCancelTheFirstRead guards against entries that restart and never read the durable jobs
// while callers ask for states: each question cancelled the read, which began with the first page again.
func TestQuestionsDoNotCancelTheFirstRead(t *testing.T) {
	store := &slowFirstReadStore{emptyStore: emptyStore{fakeStore: fakeStore{docs: make(chan *Document)}}}
	e := startEntryOn(t, store)
	for end := time.Now().Add(3 * time.Second); !e.durable.empty.Load(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the jobs were not read in %d attempts", store.reads.Load())
		}
		e.post(func(_ *core.Core, now time.Time) { e.durable.requestPoll(now) })
	}
}
