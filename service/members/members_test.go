package members

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/table"
	"peridotpick.example/lab/platformstandin"
	"peridotpick.example/wire"
)

var start = time.Unix(1000, 0)

func entry(id string, incarnation uint64) wire.EntryInfo {
	return wire.EntryInfo{ID: id, Incarnation: incarnation, Address: "192.0.2.1:7101"}
}

// lossyTable loses the answer to the next commit, which takes effect.
type lossyTable struct {
	table.Table
	loseNextAnswer bool
}

func (t *lossyTable) Commit(ctx context.Context, ops []table.Op) (table.CommitResult, error) {
	result, err := t.Table.Commit(ctx, ops)
	if t.loseNextAnswer {
		t.loseNextAnswer = false
		return table.CommitResult{}, errors.New("answer lost")
	}
	return result, err
}

func TestRenewalAfterALostAnswerMeetsItsOwnRow(t *testing.T) {
	is := is.New(t)
	lossy := &lossyTable{Table: platformstandin.NewTable(1, 0, 0), loseNextAnswer: true}
	r := New(lossy, "region", entry("a", 1))
	ctx := context.Background()
	_, err := r.Renew(ctx, start, 1)
	is.True(err != nil)
	renewal, err := r.Renew(ctx, start, 1)
	is.NoErr(err)
	is.True(renewal.Previous == nil) // the conflicting row is its own
}

func TestPreviousIncarnationIsReported(t *testing.T) {
	is := is.New(t)
	shared := platformstandin.NewTable(1, 0, 0)
	ctx := context.Background()
	_, err := New(shared, "region", entry("a", 1)).Renew(ctx, start, 1)
	is.NoErr(err)
	renewal, err := New(shared, "region", entry("a", 2)).Renew(ctx, start, 1)
	is.NoErr(err)
	is.Equal(renewal.Previous.Incarnation, uint64(1))
}

func TestOnlyAnUnchangedRowIsMarkedDead(t *testing.T) {
	is := is.New(t)
	shared := platformstandin.NewTable(1, 0, 0)
	ctx := context.Background()
	a, b := New(shared, "region", entry("a", 1)), New(shared, "region", entry("b", 1))
	_, err := a.Renew(ctx, start, 1)
	is.NoErr(err)
	is.NoErr(b.ReadRows(ctx, start))
	is.Equal(len(b.LiveEntries(start)), 2)
	later := start.Add(deadTimeout + time.Second)
	is.Equal(b.LostEntries(later), []wire.EntryInfo{entry("a", 1)})
	_, err = a.Renew(ctx, later, 1) // the entry is alive but slow
	is.NoErr(err)
	dead, err := b.MarkDead(ctx, "a")
	is.NoErr(err)
	is.True(!dead)
	is.NoErr(b.ReadRows(ctx, later))
	is.Equal(len(b.LostEntries(later)), 0)
	dead, err = b.MarkDead(ctx, "a")
	is.NoErr(err)
	is.True(dead)
	_, err = a.Renew(ctx, later, 1) // an entry that was marked dead while alive renews
	is.NoErr(err)
	is.NoErr(b.Remove(ctx, "a")) // no effect, since the row has changed
	is.NoErr(b.ReadRows(ctx, later))
	is.Equal(len(b.LiveEntries(later)), 2)
}
