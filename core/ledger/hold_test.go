package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// TestJobWaitsForItsQueue guards against an accepted job that its owner never runs, since it got the
// job before the configuration, or while one left the job's queue out.
// TestJobWaitsForItsQueue guards against a job that its owner never starts, or starts without its queue.
func TestJobWaitsForItsQueue(t *testing.T) {
	for _, missing := range []*catalog.Catalog{nil, config(1), config(1, "other")} {
		is := is.New(t)
		c := newCore()
		row := rowOfPeer("j", 4)
		row.Row.Owner = runs.Entry{Address: self.Address, Incarnation: 9} // this entry's previous process
		c.LoadRows(start, []StoredRow{row}, start, 0)
		if missing != nil {
			c.SetCatalog(start, missing)
		}
		c.Tick(after(1000))
		is.Equal(len(c.Flush().Writes), 0) // left to entries that have the queue
		c.SetCatalog(after(1500), config(2, "q"))
		c.Tick(after(2000))
		w := c.Flush().Writes[0]
		c.SetCatalog(after(2010), config(3)) // the queue is gone before the takeover is stored
		c.HandleWriteResult(after(2020), w, WriteResult{Status: Applied, Version: 8})
		out := c.Flush()
		is.Equal(len(out.Acquired), 1)
		is.True(out.Acquired[0].OnHold) // nothing is started
		is.Equal(out.Acquired[0].Queue.Service, "")
		is.Equal(out.Decisions[len(out.Decisions)-1].Event, "wait")
		is.Equal(c.WaitingJobs(), 1)
		c.ApplyChanges(after(2100), nil, after(2090))
		c.SetCatalog(after(2200), config(4, "other"))
		out = c.Flush()
		is.Equal(len(out.Decisions)+len(out.Acquired)+len(out.Lost), 0) // logged and handed over once
		c.SetCatalog(after(3000), config(5, "q"))
		out = c.Flush()
		is.Equal(out.Lost, []string{"j"})
		is.Equal(len(out.Acquired), 0)
		is.Equal(out.Writes[0].Row.Epoch, w.Row.Epoch+1)
		c.HandleWriteResult(after(3010), out.Writes[0], WriteResult{Status: Applied, Version: 9})
		out = c.Flush()
		is.Equal(len(out.Acquired), 1)
		is.True(!out.Acquired[0].OnHold)
		is.Equal(out.Acquired[0].Version, uint64(5))
		is.Equal(out.Acquired[0].SafeAt, after(3010).Add(time.Second))
		is.Equal(c.WaitingJobs(), 0)
	}
}

// TestJobWithoutItsQueueIsTakenOverOnHold guards against ends that no entry answers for: the queue was removed, the
// row is of a version that does not store its terms, and the owner is gone.
func TestJobWithoutItsQueueIsTakenOverOnHold(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore(rowOfPeer("j", 4))
	c.SetCatalog(start, config(2, "other"))
	var writes []Write
	at := 0
	for ; at < 30_000 && len(writes) == 0; at += 200 {
		c.ApplyChanges(after(at), nil, after(at))
		c.Tick(after(at))
		writes = c.Flush().Writes
	}
	is.Equal(len(writes), 1)
	is.True(after(at).Sub(after(2000)) >= holdTakeoverDelay) // entries that have the queue come first
	c.HandleWriteResult(after(at), writes[0], WriteResult{Status: Applied, Version: 5})
	is.True(c.Flush().Acquired[0].OnHold)
}

// TestEndOfATaskThatTheJobDoesNotHaveIsAcknowledged guards against ends that the owner's core does not know.
func TestEndOfATaskThatTheJobDoesNotHaveIsAcknowledged(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("j")
	for task, needed := range map[string]bool{"j.0.0.0": true, "j.0.0.1": false, "j.0.1.0": false, "j.1.0.0": false, "j.0.00.0": false, "j.0.0.-1": false, "j": false, "j.x": false} {
		acked, void := c.ResolveEnd(after(10), runs.End{Key: runs.Key{Task: task, Run: 1}, Outcome: runs.OutcomeDone})
		is.Equal(acked, !needed)
		is.True(!void)
	}
}
