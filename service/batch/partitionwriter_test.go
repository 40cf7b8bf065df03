package batch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"peridotpick.example/common/boottime"
	"peridotpick.example/core/ledger"
)

// scriptedStore is a store that answers its transactions with the functions of a script in turn;
// the last one answers all further transactions.
type scriptedStore struct {
	*fakeStore
	mu     sync.Mutex
	groups [][]ledger.Write
	script []func(writes []ledger.Write) ([]ledger.WriteResult, error)
}

func (s *scriptedStore) WriteJobs(_ context.Context, writes []ledger.Write) ([]ledger.WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = append(s.groups, writes)
	answer := s.script[min(len(s.groups), len(s.script))-1]
	return answer(writes)
}

func resultForAll(status ledger.WriteStatus) func([]ledger.Write) ([]ledger.WriteResult, error) {
	return func(writes []ledger.Write) ([]ledger.WriteResult, error) {
		results := make([]ledger.WriteResult, len(writes))
		for i := range results {
			results[i].Status = status
		}
		return results, nil
	}
}

func noAnswer([]ledger.Write) ([]ledger.WriteResult, error) { return nil, errUnavailable }

// commitGroup commits a group of writes against a scripted store and returns the transactions that
// were made.
func commitGroup(t *testing.T, group []ledger.Write, script ...func([]ledger.Write) ([]ledger.WriteResult, error)) [][]ledger.Write {
	t.Helper()
	s := &scriptedStore{fakeStore: &fakeStore{docs: make(chan *Document)}, script: script}
	e := startEntryOn(t, s)
	newPartitionWriter(e, rate.NewLimiter(rate.Inf, 1)).commit(context.Background(), group)
	return s.groups
}

func TestTransactionOfUnknownResultIsRepeatedUnchanged(t *testing.T) {
	is := is.New(t)
	group := []ledger.Write{{Job: "a", Urgent: true}, {Job: "b"}}
	made := commitGroup(t, group, noAnswer, noAnswer, resultForAll(ledger.Rejected), resultForAll(ledger.Rejected), resultForAll(ledger.Rejected), resultForAll(ledger.Applied))
	// A write that may have been carried out is never given up, however often it is rejected.
	is.Equal(len(made), 6)
	for _, m := range made {
		is.Equal(m, group)
	}
}

func TestOnlyUrgentWritesFailAfterRejections(t *testing.T) {
	is := is.New(t)
	rejected := resultForAll(ledger.Rejected)
	made := commitGroup(t, []ledger.Write{{Job: "a", Urgent: true}, {Job: "b"}}, rejected, rejected, rejected, rejected, resultForAll(ledger.Applied))
	is.Equal(len(made), 5)
	is.Equal(made[3], []ledger.Write{{Job: "b"}})
}

func TestOtherWritesOfAGroupAreRepeatedAfterAConflict(t *testing.T) {
	is := is.New(t)
	conflict := func([]ledger.Write) ([]ledger.WriteResult, error) {
		return []ledger.WriteResult{{Status: ledger.Conflict}, {Status: ledger.Rejected}}, nil
	}
	made := commitGroup(t, []ledger.Write{{Job: "a"}, {Job: "b"}}, conflict, resultForAll(ledger.Applied))
	is.Equal(len(made), 2)
	is.Equal(made[1], []ledger.Write{{Job: "b"}})
}

func TestTransactionTimeoutAdaptsToTheStore(t *testing.T) {
	is := is.New(t)
	e, _ := startEntry(t)
	p := newPartitionWriter(e, rate.NewLimiter(rate.Inf, 1))
	_, err := p.transact(context.Background(), nil) // the store of this test is unavailable
	is.True(err != nil)
	is.Equal(p.timeout, 2*minTransactionTimeout)
	for range 10 {
		_, _ = p.transact(context.Background(), nil)
	}
	is.Equal(p.timeout, time.Duration(maxTransactionTimeout))
}

// TestInsertIsNotRepeatedWithoutEnd guards against a job that is stored long after its caller has given it up.
func TestInsertIsNotRepeatedWithoutEnd(t *testing.T) {
	is := is.New(t)
	insert := ledger.Write{Job: "a", Urgent: true, RepeatUntil: boottime.Now().Add(200 * time.Millisecond)}
	made := commitGroup(t, []ledger.Write{insert, {Job: "b", ExpectVersion: 3}}, func(writes []ledger.Write) ([]ledger.WriteResult, error) {
		if len(writes) == 2 {
			return noAnswer(writes)
		}
		return resultForAll(ledger.Applied)(writes)
	})
	is.True(len(made) >= 2)
	is.Equal(made[len(made)-1], []ledger.Write{{Job: "b", ExpectVersion: 3}}) // the other write goes on
}
