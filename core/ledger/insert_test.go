package ledger

import (
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
)

// TestJobThatAnotherEntryHasAcceptedIsKnownWhileItsInsertWaits guards against an accepted job that an entry
// says does not exist, as its own insert of the job still waits for an answer.
func TestJobThatAnotherEntryHasAcceptedIsKnownWhileItsInsertWaits(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	w := acceptJob(c, after(10), 1, "j")
	c.ApplyChanges(after(100), []StoredRow{rowOfPeer("j", 5)}, after(90))
	_, known := c.State("j")
	is.True(known)
	is.Equal(c.Flush().Answers, []Answer{{Request: 1, Kind: errkind.OK}}) // it is stored
	c.HandleWriteResult(after(200), w, WriteResult{Status: Conflict, Current: rowOfPeer("j", 5)})
	is.Equal(c.jobs["j"].row.Owner, other)
	out := c.Flush()
	is.Equal(len(out.Answers)+len(out.Acquired)+len(out.Writes), 0)
	c.Cancel(after(300), 2, "j", after(300))
	is.Equal(len(c.Flush().Writes), 1) // nothing keeps it from being written
}

// TestJobIsNotDeniedWhileItsInsertWaits guards against a job that is said not to exist and is stored after.
func TestJobIsNotDeniedWhileItsInsertWaits(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	w := acceptJob(c, after(10), 1, "j")
	c.ApplyChanges(after(100), nil, after(90))
	is.True(c.IsCurrent(after(50)))
	is.True(!c.IsAbsent("j", after(50)))
	is.True(c.IsAbsent("other", after(50)))
	is.True(!c.IsAbsent("other", after(95)))
	c.HandleWriteResult(after(200), w, WriteResult{Status: Rejected})
	is.True(c.IsAbsent("j", after(50)))
}
