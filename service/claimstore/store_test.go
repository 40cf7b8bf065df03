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
	h := &harness{is: is.New(t), table: platformstandin.NewTable(1, 0, 0), objects: platformstandin.NewObjects(), results: make(chan claim.Result, 16)}
	h.store = New(DefaultSettings(), h.table, h.objects, func(results []claim.Result) {
		for _, r := range results {
			h.results <- r
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = h.store.Run(ctx) }()
	return h
}

func (h *harness) write(row *claim.Row, ifVersion uint64) claim.Result {
	h.nonce++
	row.Nonce, row.Owner = h.nonce, owner
	h.is.True(h.store.Enqueue([]claim.Write{{Row: row, IfVersion: ifVersion}}))
	return <-h.results
}

func TestSecondClaimConflictsAndClosingRemovesTheIndex(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	first := h.write(&claim.Row{Submission: "c/t/k", Digest: 1, Epoch: 1}, 0)
	h.is.Equal(first.Status, claim.Applied)
	second := h.write(&claim.Row{Submission: "c/t/k", Digest: 2, Epoch: 1}, 0)
	h.is.Equal(second.Status, claim.Mismatch)
	h.is.Equal(second.Current.Digest, uint64(1))
	owned, err := h.store.ListOwned(ctx, owner, 10)
	h.is.NoErr(err)
	h.is.Equal(owned, []string{"c/t/k"})
	closed := h.write(&claim.Row{Submission: "c/t/k", Digest: 1, Epoch: 1, Phase: claim.Closed, Outcome: &wire.Outcome{}}, first.Version)
	h.is.Equal(closed.Status, claim.Applied)
	owned, err = h.store.ListOwned(ctx, owner, 10)
	h.is.NoErr(err)
	h.is.Equal(len(owned), 0)
}

func TestLargeOutcomeGoesToTheObjectStore(t *testing.T) {
	h := newHarness(t)
	outcome := &wire.Outcome{Tasks: []wire.TaskOutcome{{Kind: errkind.OK, Payload: make([]byte, 100<<10)}}}
	h.write(&claim.Row{Submission: "c/t/big", Phase: claim.Closed, Outcome: outcome}, 0)
	row, _, err := h.store.Read(context.Background(), "c/t/big")
	h.is.NoErr(err)
	h.is.Equal(len(row.Outcome.Tasks[0].Payload), 100<<10)
	h.is.True(row.Blob != "")
	_, err = h.store.DeleteExpired(context.Background(), time.Now().Add(time.Hour), 10)
	h.is.NoErr(err)
	_, err = h.objects.Get(context.Background(), row.Blob)
	h.is.True(err != nil)
}

// TestDeleteExpiredKeepsClaimsThatWereClaimedAgain checks that a voided claim that was claimed again is not
// deleted together with the index row of its void.
func TestDeleteExpiredKeepsClaimsThatWereClaimedAgain(t *testing.T) {
	h := newHarness(t)
	ctx := context.Background()
	void := h.write(&claim.Row{Submission: "c/t/again", Phase: claim.Void}, 0)
	h.write(&claim.Row{Submission: "c/t/old", Phase: claim.Closed, Outcome: &wire.Outcome{}}, 0)
	h.write(&claim.Row{Submission: "c/t/again", Epoch: 2}, void.Version)
	n, err := h.store.DeleteExpired(ctx, time.Now().Add(-time.Hour), 10)
	h.is.NoErr(err)
	h.is.Equal(n, 0) // not old enough
	n, err = h.store.DeleteExpired(ctx, time.Now().Add(time.Hour), 10)
	h.is.NoErr(err)
	h.is.Equal(n, 2)
	again, _, err := h.store.Read(ctx, "c/t/again")
	h.is.NoErr(err)
	h.is.Equal(again.Epoch, uint64(2))
	old, _, err := h.store.Read(ctx, "c/t/old")
	h.is.NoErr(err)
	h.is.True(old == nil)
}
