package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

var (
	silent   = runs.Entry{Address: "c:1", Incarnation: 3}
	replaced = runs.Entry{Address: other.Address, Incarnation: 4} // the process after other
)

// takeOverOnce has an entry take a job over; the given entries are alive at first. It returns the entry's
// core, the row that it has written and how long it waits before it starts the job.
func takeOverOnce(t *testing.T, entry runs.Entry, row StoredRow, alive ...runs.Entry) (*Core, StoredRow, time.Duration) {
	t.Helper()
	c := newLoadedCoreOf(entry, row)
	c.RecordAlive(start, alive)
	for ms := 0; ms < 8000; ms += 200 {
		c.ApplyChanges(after(ms), nil, after(ms))
		c.Tick(after(ms))
		for _, w := range c.Flush().Writes {
			c.HandleWriteResult(after(ms), w, WriteResult{Status: Applied, Version: row.Version + 1})
			out := c.Flush()
			return c, StoredRow{Job: w.Job, Version: row.Version + 1, Row: out.Acquired[0].Row}, out.Acquired[0].SafeAt.Sub(after(ms))
		}
	}
	t.Fatal("the job was not taken over")
	return nil, StoredRow{}, 0
}

// rowOfSilent returns the row of a job that was accepted by the entry that is silent.
func rowOfSilent() StoredRow {
	row := rowOfPeer("j", 4)
	row.Row.Owner = silent
	return row
}

// TestSecondTakeoverWaitsForTheFirstOwner guards against two runs of a task: an entry that takes a job
// over from a new owner that is gone starts it while the first owner, which is only silent, runs it.
func TestSecondTakeoverWaitsForTheFirstOwner(t *testing.T) {
	is := is.New(t)
	_, row, wait := takeOverOnce(t, other, rowOfSilent())
	is.Equal(wait, 6*time.Second) // OwnershipTTL and RunExpiry
	for range 3 {
		_, row, wait = takeOverOnce(t, self, row, replaced)
		is.Equal(wait, 6*time.Second)
		row.Row.Owner = other // any number of owners may be lost in their wait
	}
}

// TestSecondTakeoverOfGoneOwnersWaitsForRunsOnly guards against jobs that wait for entries that are
// certainly gone, after all entries were restarted more than once.
func TestSecondTakeoverOfGoneOwnersWaitsForRunsOnly(t *testing.T) {
	is := is.New(t)
	silentReplaced := runs.Entry{Address: silent.Address, Incarnation: 5}
	_, row, wait := takeOverOnce(t, other, rowOfSilent(), silentReplaced)
	is.Equal(wait, time.Second) // RunExpiry alone
	_, _, wait = takeOverOnce(t, self, row, replaced, silentReplaced)
	is.Equal(wait, time.Second)
}

// TestTakeoverFromStartedOwnerWaitsForItOnly guards against a wait for an owner whose runs were over
// before its successor started the job.
func TestTakeoverFromStartedOwnerWaitsForItOnly(t *testing.T) {
	is := is.New(t)
	c, _, _ := takeOverOnce(t, other, rowOfSilent())
	c.SaveRecord(after(12000), batch.Record{Job: "j", Seq: 1, State: batch.JobRunning, StartedEpoch: 2})
	row := StoredRow{Job: "j", Version: 6, Row: c.Flush().Writes[0].Row}
	_, _, wait := takeOverOnce(t, self, row, replaced)
	is.Equal(wait, time.Second)
}

// TestInterruptedTakeoverWaitsForThePreviousOwner guards against two runs of a task: an owner whose
// ownership was not confirmed while it waited starts the job before the previous owner has stopped.
func TestInterruptedTakeoverWaitsForThePreviousOwner(t *testing.T) {
	is := is.New(t)
	c, _, _ := takeOverOnce(t, self, rowOfSilent())
	c.HandleOwnershipExpired(after(9000), "j")
	c.ApplyChanges(after(9000), nil, after(8990))
	w := nextWrite(t, c, after(9200))
	c.HandleWriteResult(after(9200), w, WriteResult{Status: Applied, Version: 9})
	is.Equal(c.Flush().Acquired[0].SafeAt, after(9200).Add(6*time.Second))
}
