package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
)

// laggingStore answers a poll that waits only once its wait is over, also if there are changes, and
// each other poll after a delay.
type laggingStore struct {
	fakeStore
	delay    time.Duration
	answered atomic.Int64
	mu       sync.Mutex
	rows     []ledger.StoredRow
}

func newLaggingStore(delay time.Duration) *laggingStore {
	return &laggingStore{fakeStore: fakeStore{docs: make(chan *Document)}, delay: delay}
}

func (s *laggingStore) ReadJobs(context.Context) (Changes, error) {
	all := s.changes(0)
	all.UpToDate = true
	return all, nil
}

func (s *laggingStore) JobVersion(context.Context) (uint64, error) { return s.changes(0).Next, nil }

func (s *laggingStore) JobChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	select {
	case <-ctx.Done():
		return Changes{}, ctx.Err()
	case <-time.After(wait + s.delay):
		s.answered.Add(1)
		return s.changes(after), nil
	}
}

func (s *laggingStore) changes(after uint64) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := Changes{Next: uint64(len(s.rows)) + 1}
	for _, r := range s.rows {
		if r.Version > after {
			list.Rows = append(list.Rows, r)
		}
	}
	list.UpToDate = len(list.Rows) == 0
	return list
}

// accept stores a job as another entry does.
func (s *laggingStore) accept(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = append(s.rows, ledger.StoredRow{Job: job, Version: uint64(len(s.rows)) + 2, Row: &ledger.Row{Queue: "q", Epoch: 1}})
}

// TestRequestForAJobThatWasJustAcceptedElsewhere guards against an answer that a job does not exist
// although another entry accepted it before the request.
func TestRequestForAJobThatWasJustAcceptedElsewhere(t *testing.T) {
	is := is.New(t)
	store := newLaggingStore(time.Millisecond)
	e := startEntryOn(t, store)
	waitFor(t, "the store is not polled", func() bool { return e.durable.empty.Load() })
	is.Equal(e.JobState(t.Context(), "j"), JobStatus{Certain: true})
	for _, job := range []string{"j", "k", "l"} {
		store.accept(job)
		status := e.JobState(t.Context(), job)
		is.True(status.Known)
		is.Equal(status.State, core.JobQueued)
	}
}

// TestRequestsForUnknownJobsShareAnsweredPolls guards against requests that cancel each other's
// polls while the store is slow, so that none is answered, and against a poll for each request.
func TestRequestsForUnknownJobsShareAnsweredPolls(t *testing.T) {
	is := is.New(t)
	store := newLaggingStore(150 * time.Millisecond)
	e := startEntryOn(t, store)
	waitFor(t, "the store is not polled", func() bool { return e.durable.empty.Load() })
	before := store.answered.Load()
	var group sync.WaitGroup
	var uncertain atomic.Int64
	for n := range 60 {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if !e.JobState(ctx, "unknown").Certain {
				uncertain.Add(1)
			}
		})
	}
	group.Wait()
	is.Equal(uncertain.Load(), int64(0))
	is.True(store.answered.Load()-before <= 12) // 1.2 s of requests, at most one poll each 100 ms
}

// TestQuestionsForAJobWhoseRowCannotBeDecodedAreAnsweredAtOnce guards against callers that wait for an answer that
// this entry cannot give.
func TestQuestionsForAJobWhoseRowCannotBeDecodedAreAnsweredAtOnce(t *testing.T) {
	store := &emptyStore{fakeStore: fakeStore{docs: make(chan *Document)}}
	e := startEntryOn(t, store)
	waitFor(t, "the store is not polled", func() bool { return e.durable.empty.Load() })
	e.post(func(_ *core.Core, now time.Time) {
		e.durable.ledger.ApplyChanges(now, []ledger.StoredRow{{Job: "j", Version: 9, Unreadable: true}}, now)
	})
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if s := e.JobState(ctx, "j"); s.Known || s.Certain {
		t.Errorf("the state is %+v, want neither known nor certain", s)
	}
	if kind := e.CancelDurable(ctx, "j"); kind != errkind.StoreUnavailable {
		t.Errorf("a cancel is answered %v, want %v", kind, errkind.StoreUnavailable)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the answers took %v", took)
	}
}
