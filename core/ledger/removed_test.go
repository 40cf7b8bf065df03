package ledger

import (
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
)

// TestRemovedJobsAreForgottenWhenAllRowsAreReadAgain guards against an entry that runs or shows a job for good although it
// has ended elsewhere and its row was removed: the store no longer has the changes that would tell.
func TestRemovedJobsAreForgottenWhenAllRowsAreReadAgain(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("own")
	c.ApplyChanges(after(10), []StoredRow{rowOfPeer("peer", 8)}, after(5))
	c.Cancel(after(20), 2, "peer", after(20)) // its write is under way
	c.Flush()
	is.Equal(c.QueuedJobs("q"), 2)

	c.LoadRows(after(150_000), nil, after(150_000), 30)
	out := c.Flush()
	is.Equal(out.Lost, []string{"own"})
	is.Equal(out.Ended, []string{"own", "peer"}) // who waits for the end is told
	is.Equal(out.Answers, []Answer{{Request: 2, Kind: errkind.NotFound}})
	is.Equal(len(out.Acquired), 0)
	is.Equal(c.QueuedJobs("q"), 0)
	is.True(c.IsEmpty())
	for _, name := range []string{"own", "peer"} {
		_, known := c.State(name)
		is.True(!known)
	}
}

// TestRowsStoredWhileAllRowsAreReadAreKept has rows that the read may have missed.
func TestRowsStoredWhileAllRowsAreReadAreKept(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("own") // version 7
	insert := acceptJob(c, after(10), 2, "inserted")
	c.LoadRows(after(150_000), nil, after(150_000), 6)
	out := c.Flush()
	is.Equal(len(out.Lost)+len(out.Ended)+len(out.Answers), 0)
	is.True(c.IsTracked("own"))
	is.Equal(c.jobs["inserted"].pendingWrite.id, insert.id)
}

// TestRemovedRowIsNoticedWhileAWriteIsUnderWay guards against a job that stays known for good: the write meets no row, and
// another one was shown before.
func TestRemovedRowIsNoticedWhileAWriteIsUnderWay(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	w := acceptJob(c, after(10), 1, "j")
	ended := rowOfPeer("j", 5)
	ended.Row.State = batch.JobDone
	c.ApplyChanges(after(20), []StoredRow{ended}, after(15))
	c.ApplyChanges(after(70_000), []StoredRow{{Job: "j", Version: 9}}, after(70_000))
	is.True(!c.IsTracked("j"))
	c.HandleWriteResult(after(70_010), w, WriteResult{Status: GuardMoved, Guard: 9})
	is.Equal(len(c.Flush().Writes), 0)
}
