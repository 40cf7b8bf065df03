package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// partsStore gives its changes in parts, as the platform's store does: nothing in an answer tells that
// there are more. Other entries write its rows.
type partsStore struct {
	fakeStore
	mu   sync.Mutex
	rows []ledger.StoredRow
	// away is set while it turns this entry away, partRows is the number of rows in a part.
	away     bool
	partRows int
	// polls and versionReads count calls.
	polls, versionReads int
}

func newPartsStore() *partsStore {
	return &partsStore{fakeStore: fakeStore{docs: make(chan *Document)}, partRows: 20}
}

// accept stores a job as another entry does.
func (s *partsStore) accept(job string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = append(s.rows, ledger.StoredRow{Job: job, Version: s.version() + 1, Row: &ledger.Row{Queue: "q", Epoch: 1, Steps: []core.Step{{Count: 1}}}})
}

func (s *partsStore) version() uint64 { return uint64(len(s.rows)) + 1 }

func (s *partsStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *partsStore) ReadJobs(context.Context) (Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Changes{Rows: s.rows, Next: s.version(), UpToDate: true}, nil
}

func (s *partsStore) JobChanges(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	for end := time.Now().Add(wait); ; sleep(ctx, 5*time.Millisecond) {
		if ctx.Err() != nil {
			return Changes{}, ctx.Err()
		}
		if changes, err := s.part(after); err != nil || !changes.UpToDate || !time.Now().Before(end) {
			return changes, err
		}
	}
}

func (s *partsStore) part(after uint64) (Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return Changes{}, errUnavailable
	}
	rows := s.rows[after-1:]
	rows = rows[:min(len(rows), s.partRows)]
	if len(rows) == 0 {
		return Changes{Next: after, UpToDate: true}, nil
	}
	s.polls++
	return Changes{Rows: rows, Next: after + uint64(len(rows))}, nil
}

func (s *partsStore) JobVersion(context.Context) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, errUnavailable
	}
	s.versionReads++
	return s.version(), nil
}

// acceptConstantly stores a job each 10 ms until the test ends, so that no poll is without changes.
func (s *partsStore) acceptConstantly(t *testing.T) {
	go func() {
		for n := 0; t.Context().Err() == nil; n++ {
			s.accept(fmt.Sprintf("other-%d", n))
			sleep(t.Context(), 10*time.Millisecond)
		}
	}()
}

func (s *partsStore) counts() (polls, versionReads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls, s.versionReads
}

// ask returns what the entry answers about a job: to an agent that keeps an end of it, and to a caller.
func ask(e *Entry, job string) (acked bool, status JobStatus) {
	reply := make(chan bool, 1)
	e.post(func(_ *core.Core, now time.Time) {
		acked, _ := e.durable.ledger.ResolveEnd(now, runs.End{Key: runs.Key{Task: job + ".0.0.0", Run: 1}, Outcome: runs.OutcomeDone})
		reply <- acked
	})
	return <-reply, e.currentState(job, time.Now().Add(-time.Hour), nil)
}

// TestJobsBeyondAPartOfTheChangesAreNotDenied guards against an entry that takes a part of the changes that
// it has missed for all of them: it said that jobs did not exist which it had not read yet, so that
// executors forgot ends of their tasks, and the tasks that were done ran again.
func TestJobsBeyondAPartOfTheChangesAreNotDenied(t *testing.T) {
	is := is.New(t)
	store := newPartsStore()
	e := startEntryOn(t, store)
	waitFor(t, "the store is not polled", func() bool { return e.durable.empty.Load() })
	store.setAway(true)
	waitFor(t, "polls do not fail", e.durable.failing.Load)
	for n := range 999 {
		store.accept(fmt.Sprintf("other-%d", n))
	}
	store.accept("wanted")
	cancelled := make(chan errkind.Kind, 1)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	ask(e, "wanted")
	store.setAway(false)
	go func() { cancelled <- e.CancelDurable(ctx, "wanted") }()
	waitFor(t, "the job is not read", func() bool {
		acked, status := ask(e, "wanted")
		is.True(!acked)                          // the end of a stored job
		is.True(status.Known || !status.Certain) // a stored job
		return status.Known
	})
	leave()
	is.True(<-cancelled != errkind.NotFound)
}

// TestQuestionsAreAnsweredWhileEachPollHasChanges guards against questions for unknown jobs that wait for a
// poll without changes, and against a call to the store for each of them.
func TestQuestionsAreAnsweredWhileEachPollHasChanges(t *testing.T) {
	is := is.New(t)
	store := newPartsStore()
	e := startEntryOn(t, store)
	waitFor(t, "the store is not polled", func() bool { return e.durable.empty.Load() })
	store.acceptConstantly(t)
	waitFor(t, "no job is read", func() bool { return !e.durable.empty.Load() })
	_, before := store.counts()
	began := time.Now()
	var group sync.WaitGroup
	for n := range 60 {
		group.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			is.Equal(e.JobState(ctx, "unknown"), JobStatus{Certain: true})
		})
	}
	group.Wait()
	_, after := store.counts()
	is.True(after-before <= 1+int(time.Since(began)/minPollRequestInterval))
}

// TestOwnershipIsConfirmedWhileEachPollHasChanges guards against ownership that lapses although the store
// answers, and against a read of the version beside each poll.
func TestOwnershipIsConfirmedWhileEachPollHasChanges(t *testing.T) {
	is := is.New(t)
	store := newPartsStore()
	e := startEntryOn(t, store)
	waitFor(t, "the store is not polled", func() bool { return e.durable.empty.Load() })
	store.acceptConstantly(t)
	waitFor(t, "no job is read", func() bool { return !e.durable.empty.Load() })
	polls, versionReads := store.counts()
	fresh := make(chan bool, 1)
	for range 60 {
		time.Sleep(50 * time.Millisecond)
		e.post(func(_ *core.Core, now time.Time) { fresh <- e.durable.ledger.IsFresh(now, maxStaleness) })
		is.True(<-fresh)
	}
	morePolls, moreReads := store.counts()
	is.True(moreReads-versionReads <= 4) // 3 s, one read a second
	is.True(morePolls-polls <= 50)       // at most one poll each pollPause, and one after each read
	is.True(moreReads-versionReads >= 2) // each poll had changes
}
