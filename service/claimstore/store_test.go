package claimstore

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/claim"
	"peridotpick.example/lab/platformstandin"
	"peridotpick.example/wire"
)

var owner = wire.EntryInfo{ID: "entry-1", Incarnation: 7}

// harness is a running store over an in-memory table and object store.
type harness struct {
	is      *is.I
	store   *Store
	table   *platformstandin.Table
	objects *platformstandin.Objects
	results chan claim.Result
	nonce   uint64
}

func newHarness(t *testing.T) *harness {
	b := &harness{is: is.New(t), table: platformstandin.NewTable(1, 0, 0), objects: platformstandin.NewObjects(), results: make(chan claim.Result, 16)}
	b.store = New(DefaultSettings(), b.table, b.objects, func(results []claim.Result) {
		for _, r := range results {
			b.results <- r
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = b.store.Run(ctx) }()
	return b
}

func (b *harness) write(row *claim.Row, ifVersion uint64) claim.Result {
	b.nonce++
	row.Nonce, row.Owner = b.nonce, owner
	b.is.True(b.store.Write([]claim.Write{{Row: row, IfVersion: ifVersion}}))
	return <-b.results
}

func TestSecondClaimConflictsAndClosingRemovesTheIndex(t *testing.T) {
	b := newHarness(t)
	ctx := context.Background()
	first := b.write(&claim.Row{Submission: "c/t/k", Digest: 1, Epoch: 1}, 0)
	b.is.Equal(first.Status, claim.Applied)
	second := b.write(&claim.Row{Submission: "c/t/k", Digest: 2, Epoch: 1}, 0)
	b.is.Equal(second.Status, claim.Mismatch)
	b.is.Equal(second.Current.Digest, uint64(1))
	owned, err := b.store.Owned(ctx, owner, 10)
	b.is.NoErr(err)
	b.is.Equal(owned, []string{"c/t/k"})
	closed := b.write(&claim.Row{Submission: "c/t/k", Digest: 1, Epoch: 1, Phase: claim.Closed, Outcome: &wire.Outcome{}}, first.Version)
	b.is.Equal(closed.Status, claim.Applied)
	owned, err = b.store.Owned(ctx, owner, 10)
	b.is.NoErr(err)
	b.is.Equal(len(owned), 0)
}

func TestLargeOutcomeGoesToTheObjectStore(t *testing.T) {
	b := newHarness(t)
	outcome := &wire.Outcome{Tasks: []wire.TaskOutcome{{Kind: errkind.OK, Payload: make([]byte, 100<<10)}}}
	b.write(&claim.Row{Submission: "c/t/big", Phase: claim.Closed, Outcome: outcome}, 0)
	row, _, err := b.store.Read(context.Background(), "c/t/big")
	b.is.NoErr(err)
	b.is.Equal(len(row.Outcome.Tasks[0].Payload), 100<<10)
	b.is.True(row.Blob != "")
	_, err = b.store.Expire(context.Background(), time.Now().Add(time.Hour), 10)
	b.is.NoErr(err)
	_, err = b.objects.Get(context.Background(), row.Blob)
	b.is.True(err != nil)
}

// TestExpireKeepsClaimsThatWereClaimedAnew checks that a voided claim that was claimed again is not
// deleted together with the index row of its void.
func TestExpireKeepsClaimsThatWereClaimedAnew(t *testing.T) {
	b := newHarness(t)
	ctx := context.Background()
	void := b.write(&claim.Row{Submission: "c/t/again", Phase: claim.Void}, 0)
	b.write(&claim.Row{Submission: "c/t/old", Phase: claim.Closed, Outcome: &wire.Outcome{}}, 0)
	b.write(&claim.Row{Submission: "c/t/again", Epoch: 2}, void.Version)
	n, err := b.store.Expire(ctx, time.Now().Add(-time.Hour), 10)
	b.is.NoErr(err)
	b.is.Equal(n, 0) // not old enough
	n, err = b.store.Expire(ctx, time.Now().Add(time.Hour), 10)
	b.is.NoErr(err)
	b.is.Equal(n, 2)
	again, _, err := b.store.Read(ctx, "c/t/again")
	b.is.NoErr(err)
	b.is.Equal(again.Epoch, uint64(2))
	old, _, err := b.store.Read(ctx, "c/t/old")
	b.is.NoErr(err)
	b.is.True(old == nil)
}
