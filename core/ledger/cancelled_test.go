package ledger

import (
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// TestOwnerIsToldThatItsJobIsCancelled guards against an owner that goes on with a cancelled job while it is cut off
// from the store.
func TestOwnerIsToldThatItsJobIsCancelled(t *testing.T) {
	is := is.New(t)
	owner := newCoreOwning("j") // version 7
	row := StoredRow{Job: "j", Version: 7, Row: owner.jobs["j"].row}
	canceller, between := newLoadedCoreOf(other, row), newLoadedCoreOf(silent, row)

	canceller.Cancel(after(10), 1, "j", after(10))
	w := canceller.Flush().Writes[0]
	is.Equal(len(canceller.Flush().CancelNotices), 0) // not before it is stored
	canceller.HandleWriteResult(after(20), w, WriteResult{Status: Applied, Version: 9})
	notices := canceller.Flush().CancelNotices
	is.Equal(notices, []runs.CancelledJob{{Job: "j", Version: 9}})

	between.HandleCancelNotices(after(30), notices)
	is.Equal(between.Flush().CancelNotices, notices) // passed on, once
	between.HandleCancelNotices(after(31), notices)
	is.Equal(len(between.Flush().CancelNotices), 0)

	owner.HandleCancelNotices(after(40), []runs.CancelledJob{{Job: "j", Version: 6}, {Job: "unknown", Version: 9}})
	is.Equal(len(owner.Flush().Cancelled), 0) // an earlier row than that of the owner
	owner.SaveRecord(after(45), batch.Record{Job: "j", Seq: 1, State: batch.JobRunning})
	owner.HandleCancelNotices(after(50), notices)
	out := owner.Flush()
	is.Equal(out.Cancelled, []string{"j"})
	is.Equal(len(out.CancelNotices), 0)
	state, _ := owner.State("j")
	is.Equal(state, batch.JobCancelled)
	owner.ApplyChanges(after(6000), []StoredRow{{Job: "j", Version: 9, Row: w.Row}}, after(5990))
	is.Equal(len(owner.Flush().Cancelled), 0)
}
