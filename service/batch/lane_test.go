package batch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"peridotpick.example/core/ledger"
)

// scripted is a store of jobs that answers transactions by a script.
type scripted struct {
	*fakeStore
	mu     sync.Mutex
	groups [][]ledger.Write
	script []func(writes []ledger.Write) ([]ledger.Outcome, error)
}

func (s *scripted) WriteJobs(_ context.Context, writes []ledger.Write) ([]ledger.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = append(s.groups, writes)
	answer := s.script[min(len(s.groups), len(s.script))-1]
	return answer(writes)
}

func all(fate ledger.Fate) func([]ledger.Write) ([]ledger.Outcome, error) {
	return func(writes []ledger.Write) ([]ledger.Outcome, error) {
		outcomes := make([]ledger.Outcome, len(writes))
		for i := range outcomes {
			outcomes[i].Fate = fate
		}
		return outcomes, nil
	}
}

func lost([]ledger.Write) ([]ledger.Outcome, error) { return nil, errAway }

// carry has a lane carry a group out and returns the transactions that it made.
func carry(t *testing.T, group []ledger.Write, script ...func([]ledger.Write) ([]ledger.Outcome, error)) [][]ledger.Write {
	t.Helper()
	s := &scripted{fakeStore: &fakeStore{docs: make(chan *Document)}, script: script}
	e := startOn(t, s)
	newLane(e, rate.NewLimiter(rate.Inf, 1)).carryOut(context.Background(), group)
	return s.groups
}

func TestTransactionOfUnknownFateIsRepeatedUnchanged(t *testing.T) {
	is := is.New(t)
	group := []ledger.Write{{Job: "a", Urgent: true}, {Job: "b"}}
	made := carry(t, group, lost, lost, all(ledger.NotDone), all(ledger.NotDone), all(ledger.NotDone), all(ledger.Applied))
	// What may have been carried out is never given up, however often it is refused.
	is.Equal(len(made), 6)
	for _, m := range made {
		is.Equal(m, group)
	}
}

func TestRefusedUrgentWriteIsGivenUpOthersAreNot(t *testing.T) {
	is := is.New(t)
	refused := all(ledger.NotDone)
	made := carry(t, []ledger.Write{{Job: "a", Urgent: true}, {Job: "b"}}, refused, refused, refused, refused, all(ledger.Applied))
	is.Equal(len(made), 5)
	is.Equal(made[3], []ledger.Write{{Job: "b"}})
}

func TestOthersOfAGroupGoOnAfterAConflict(t *testing.T) {
	is := is.New(t)
	conflict := func([]ledger.Write) ([]ledger.Outcome, error) {
		return []ledger.Outcome{{Fate: ledger.Conflict}, {Fate: ledger.NotDone}}, nil
	}
	made := carry(t, []ledger.Write{{Job: "a"}, {Job: "b"}}, conflict, all(ledger.Applied))
	is.Equal(len(made), 2)
	is.Equal(made[1], []ledger.Write{{Job: "b"}})
}

func TestTimeoutFollowsTheStore(t *testing.T) {
	is := is.New(t)
	e, _ := startEntry(t)
	l := newLane(e, rate.NewLimiter(rate.Inf, 1))
	_, err := l.call(context.Background(), nil) // the store of the test is away
	is.True(err != nil)
	is.Equal(l.timeout, 2*laneTimeoutMin)
	for range 10 {
		_, _ = l.call(context.Background(), nil)
	}
	is.Equal(l.timeout, time.Duration(laneTimeoutMax))
}
