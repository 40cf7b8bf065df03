package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

var (
	start = time.Unix(1000, 0)
	self  = runs.Entry{Address: "a:1", Incarnation: 1}
	other = runs.Entry{Address: "b:1", Incarnation: 2}
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newCore() *Core { return newCoreOf(self) }

// newCoreOf returns the core of an entry.
func newCoreOf(entry runs.Entry) *Core {
	return New(Settings{
		Self: entry, OwnershipTTL: 5 * time.Second, RunExpiry: time.Second, SilenceTimeout: 2 * time.Second, EndedRetention: time.Minute, MaxOpenJobs: 2,
	}, start)
}

// config is a configuration with the given queues.
func config(version uint64, queues ...string) *catalog.Catalog {
	var list []catalog.Queue
	for _, name := range queues {
		list = append(list, catalog.Queue{Name: name, Host: "h", Prefix: "/" + name})
	}
	return catalog.New(version, catalog.Limits{}, list)
}

// newLoadedCore returns a core that has a configuration, has read the given rows and whose ownership
// is confirmed at start.
func newLoadedCore(rows ...StoredRow) *Core { return newLoadedCoreOf(self, rows...) }

func newLoadedCoreOf(entry runs.Entry, rows ...StoredRow) *Core {
	c := newCoreOf(entry)
	c.SetCatalog(start, config(1, "q"))
	c.LoadRows(start, rows, start, 0)
	c.Flush()
	return c
}

func rowOfPeer(job string, version uint64) StoredRow {
	return StoredRow{Job: job, Version: version, Row: &Row{Queue: "q", Owner: other, Epoch: 1, Steps: []batch.Step{{Count: 1}}}}
}

// acceptJob accepts a new job and returns the write of its row.
func acceptJob(c *Core, now time.Time, id RequestID, job string) Write {
	c.Accept(now, id, job, &Row{Queue: "q", Steps: []batch.Step{{Count: 1}}}, now)
	return c.Flush().Writes[0]
}

// newCoreOwning returns a core that owns and runs one job.
func newCoreOwning(job string) *Core {
	c := newLoadedCore()
	w := acceptJob(c, start, 1, job)
	c.HandleWriteResult(start, w, WriteResult{Status: Applied, Version: 7})
	c.Flush()
	return c
}

func TestJobIsAcceptedOnceItIsStored(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	w := acceptJob(c, start, 1, "j")
	is.Equal(w.ExpectVersion, uint64(0)) // the row must not exist
	_, known := c.State("j")
	is.True(!known)
	c.HandleWriteResult(after(5), w, WriteResult{Status: Applied, Version: 7})
	out := c.Flush()
	is.Equal(out.Answers, []Answer{{Request: 1, Kind: errkind.OK}})
	is.Equal(out.Acquired[0].Job, "j")
	is.True(out.Acquired[0].SafeAt.IsZero())
	c.Accept(after(10), 2, "j", &Row{Queue: "q"}, after(10)) // a repeated request
	out = c.Flush()
	is.Equal(out.Answers, []Answer{{Request: 2, Kind: errkind.OK}})
	is.Equal(len(out.Writes), 0)
}

func TestRejectedInsertRefusesTheJob(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	w := acceptJob(c, start, 1, "j")
	c.HandleWriteResult(after(5), w, WriteResult{Status: Rejected})
	is.Equal(c.Flush().Answers, []Answer{{Request: 1, Kind: errkind.StoreUnavailable}})
	_, known := c.State("j")
	is.True(!known)
}

func TestJobAcceptedByAnotherEntryIsNotRunTwice(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	w := acceptJob(c, start, 1, "j")
	c.HandleWriteResult(after(5), w, WriteResult{Status: Conflict, Current: rowOfPeer("j", 4)})
	out := c.Flush()
	is.Equal(out.Answers, []Answer{{Request: 1, Kind: errkind.OK}})
	is.Equal(len(out.Acquired), 0)
}

func TestOwnWriteIsRecognisedAfterALostAnswer(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	w := acceptJob(c, start, 1, "j")
	c.HandleWriteResult(after(5), w, WriteResult{Status: Conflict, Current: StoredRow{Job: "j", Row: w.Row, Version: 9}})
	out := c.Flush()
	is.Equal(out.Answers, []Answer{{Request: 1, Kind: errkind.OK}})
	is.Equal(len(out.Acquired), 1)
}

func TestAcceptRefusesBeforeLoadAndAboveMaxOpenJobs(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Accept(start, 1, "j", &Row{Queue: "q"}, start) // the rows are not read yet
	is.Equal(c.Flush().Answers[0].Kind, errkind.StoreUnavailable)
	c = newLoadedCore()
	acceptJob(c, start, 1, "j1")
	acceptJob(c, start, 2, "j2")
	c.Accept(start, 3, "j3", &Row{Queue: "q"}, start)
	is.Equal(c.Flush().Answers, []Answer{{Request: 3, Kind: errkind.Overloaded}})
}

func TestOneRecordIsWrittenAtATime(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("j")
	c.SaveRecord(after(10), batch.Record{Job: "j", Seq: 1, State: batch.JobRunning})
	first := c.Flush().Writes[0]
	is.Equal(first.ExpectVersion, uint64(7))
	c.SaveRecord(after(11), batch.Record{Job: "j", Seq: 2, State: batch.JobRunning})
	c.SaveRecord(after(12), batch.Record{Job: "j", Seq: 3, State: batch.JobDone})
	is.Equal(len(c.Flush().Writes), 0)
	c.HandleWriteResult(after(15), first, WriteResult{Status: Applied, Version: 8})
	out := c.Flush()
	is.Equal(out.StoredRecords, []StoredRecord{{Job: "j", Seq: 1}})
	is.Equal(out.Writes[0].Row.State, batch.JobDone) // the newest record includes the earlier ones
	is.Equal(out.Writes[0].ExpectVersion, uint64(8))
	state, _ := c.State("j")
	is.Equal(state, batch.JobRunning) // shown as done only once that is stored
	c.HandleWriteResult(after(20), out.Writes[0], WriteResult{Status: Applied, Version: 9})
	state, _ = c.State("j")
	is.Equal(state, batch.JobDone)
}

func TestEntryThatLostAJobStopsIt(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("j")
	taken := rowOfPeer("j", 9)
	taken.Row.Epoch = 2
	c.ApplyChanges(after(100), []StoredRow{taken}, after(90))
	is.Equal(c.Flush().Lost, []string{"j"})
	c.SaveRecord(after(110), batch.Record{Job: "j", Seq: 1, State: batch.JobDone})
	is.Equal(len(c.Flush().Writes), 0)
}

func TestCancelIsStoredAndStopsTheJob(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("j")
	c.Cancel(after(10), 5, "j", after(10))
	w := c.Flush().Writes[0]
	is.Equal(w.Row.State, batch.JobCancelled)
	c.HandleWriteResult(after(15), w, WriteResult{Status: Applied, Version: 8})
	out := c.Flush()
	is.Equal(out.Answers, []Answer{{Request: 5, Kind: errkind.OK}})
	is.Equal(out.Cancelled, []string{"j"})
	c.Cancel(after(20), 6, "j", after(20))
	is.Equal(c.Flush().Answers, []Answer{{Request: 6, Kind: errkind.OK}})
	c.Cancel(after(20), 7, "unknown", start)
	is.Equal(storeUnstored(t, c, after(25), "unknown", 9).Answers, []Answer{{Request: 7, Kind: errkind.NotFound}})
}

// TestUnknownJobIsNotCancelledBeforeItsRowCanBeRead guards against an early cancel that is answered
// as if the job did not exist, while it was accepted by another entry a moment before.
func TestUnknownJobIsNotCancelledBeforeItsRowCanBeRead(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	c.Cancel(after(40), 1, "j", after(40)) // the newest poll was sent 40 ms before
	is.Equal(c.Flush().Answers, []Answer{{Request: 1, Kind: errkind.StoreUnavailable}})
	c.ApplyChanges(after(60), nil, after(50))
	c.Cancel(after(60), 2, "j", after(40))
	is.Equal(storeUnstored(t, c, after(70), "j", 9).Answers, []Answer{{Request: 2, Kind: errkind.NotFound}})
}

func TestTakeoverFromSilentEntryWaitsForItsOwnershipToExpire(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore(rowOfPeer("j", 4))
	c.RecordAlive(start, []runs.Entry{other})
	c.Tick(after(1000))
	is.Equal(len(c.Flush().Writes), 0) // heard within SilenceTimeout
	c.Tick(after(3000))
	w := c.Flush().Writes[0]
	is.Equal(w.Row.Owner, self)
	is.Equal(w.Row.Epoch, uint64(2))
	c.HandleWriteResult(after(3005), w, WriteResult{Status: Applied, Version: 8})
	out := c.Flush()
	is.Equal(out.Acquired[0].SafeAt, after(3005).Add(6*time.Second)) // OwnershipTTL and RunExpiry
}

func TestTakeoverFromReplacedProcessWaitsForItsRunsOnly(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore(rowOfPeer("j", 4))
	c.RecordAlive(start, []runs.Entry{{Address: other.Address, Incarnation: 3}})
	var w Write
	for ms := 200; w.Row == nil && ms < 4000; ms += 200 { // the delay depends on the takeover rank
		c.RecordAlive(after(ms), []runs.Entry{{Address: other.Address, Incarnation: 3}})
		c.ApplyChanges(after(ms), nil, after(ms))
		c.Tick(after(ms))
		if out := c.Flush(); len(out.Writes) > 0 {
			w = out.Writes[0]
		}
	}
	c.HandleWriteResult(after(4000), w, WriteResult{Status: Applied, Version: 8})
	is.Equal(c.Flush().Acquired[0].SafeAt, after(4000).Add(time.Second)) // RunExpiry alone
}

func TestNoTakeoverWithoutConfirmedOwnership(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore(rowOfPeer("j", 4))
	c.Tick(after(6000)) // the last poll was sent 6 s ago, which is beyond OwnershipTTL
	is.Equal(len(c.Flush().Writes), 0)
}

func TestStoppedJobRestartsOnceOwnershipIsConfirmed(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("j")
	c.HandleOwnershipExpired(after(5000), "j")
	c.Tick(after(5200))
	is.Equal(len(c.Flush().Acquired), 0)
	c.ApplyChanges(after(6000), nil, after(5990))
	out := c.Flush()
	is.Equal(len(out.Acquired), 0)
	is.Equal(out.Writes[0].Row.Epoch, uint64(2))
	c.HandleWriteResult(after(6010), out.Writes[0], WriteResult{Status: Applied, Version: 8})
	out = c.Flush()
	is.Equal(out.Acquired[0].Row.Epoch, uint64(2))
	is.Equal(out.Acquired[0].SafeAt, after(6010).Add(time.Second))
}

// TestRecordOfAnInterruptedJobIsNotCountedLater guards against the answer to a record of a job from
// before it was interrupted that counts for a record, with the same number, from after it.
func TestRecordOfAnInterruptedJobIsNotCountedLater(t *testing.T) {
	results := map[string]WriteResult{
		"applied":  {Status: Applied, Version: 8},
		"rejected": {Status: Rejected},
	}
	for name, result := range results {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCoreOwning("j")
			c.SaveRecord(after(10), batch.Record{Job: "j", Seq: 1, State: batch.JobRunning})
			w := c.Flush().Writes[0]
			c.HandleOwnershipExpired(after(5000), "j")
			c.ApplyChanges(after(6000), nil, after(5990))
			out := c.Flush()
			is.Equal(len(out.Acquired)+len(out.Writes), 0) // the record is still being written
			c.HandleWriteResult(after(6010), w, result)
			w = nextWrite(t, c, after(6300))
			is.Equal(w.Row.Epoch, uint64(2))
			c.HandleWriteResult(after(6310), w, WriteResult{Status: Applied, Version: 9})
			out = c.Flush()
			is.Equal(len(out.Acquired), 1)
			is.Equal(len(out.StoredRecords)+len(out.Writes), 0)
		})
	}
}

// nextWrite returns the next write, which is due at the given time at the latest.
func nextWrite(t *testing.T, c *Core, until time.Time) Write {
	t.Helper()
	if writes := c.Flush().Writes; len(writes) > 0 {
		return writes[0]
	}
	c.Tick(until)
	writes := c.Flush().Writes
	if len(writes) == 0 {
		t.Fatal("no write is due")
	}
	return writes[0]
}

// TestInterruptedJobIsLeftToItsNextOwner guards against an entry that starts an interrupted job again
// although another entry has taken it over.
func TestInterruptedJobIsLeftToItsNextOwner(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("j")
	c.HandleOwnershipExpired(after(5000), "j")
	c.ApplyChanges(after(6000), nil, after(5990))
	w := c.Flush().Writes[0]
	taken := rowOfPeer("j", 9)
	taken.Row.Epoch = 2
	c.HandleWriteResult(after(6010), w, WriteResult{Status: Conflict, Current: taken})
	c.RecordAlive(after(6010), []runs.Entry{other})
	c.ApplyChanges(after(6100), nil, after(6090))
	c.Tick(after(6300))
	out := c.Flush()
	is.Equal(len(out.Acquired), 0)
	is.Equal(len(out.Writes), 0)
}

// TestJobOutOfNumbersGetsTheNextEpoch guards against run numbers that reach into those of the next
// owner.
func TestJobOutOfNumbersGetsTheNextEpoch(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("j")
	c.HandleOutOfNumbers(after(10), "j")
	w := c.Flush().Writes[0]
	is.Equal(w.Row.Epoch, uint64(2))
	is.Equal(w.Row.Owner, self)
	c.HandleWriteResult(after(20), w, WriteResult{Status: Applied, Version: 8})
	is.Equal(c.Flush().Acquired[0].SafeAt, after(20).Add(time.Second))
}

// TestJobWithoutAFurtherEpochFails guards against a run number that two owners give once the epochs
// are used up.
func TestJobWithoutAFurtherEpochFails(t *testing.T) {
	is := is.New(t)
	row := rowOfPeer("j", 4)
	row.Row.Epoch = batch.MaxEpoch
	c := newLoadedCore(row)
	c.ApplyChanges(after(3000), nil, after(2990))
	c.Tick(after(3000))
	w := c.Flush().Writes[0]
	is.Equal(w.Row.Epoch, uint64(batch.MaxEpoch))
	is.Equal(w.Row.State, batch.JobFailed)
	c.HandleWriteResult(after(3010), w, WriteResult{Status: Applied, Version: 8})
	is.Equal(len(c.Flush().Acquired), 0)
}

func TestUnknownJobIsResolvedByAPollSentAfterTheQuestion(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	end := runs.End{Key: runs.Key{Task: "j.0.0.0", Run: 1}, Outcome: runs.OutcomeDone}
	acked, void := c.ResolveEnd(after(100), end)
	is.True(!acked && !void) // another entry may have accepted the job meanwhile
	c.ApplyChanges(after(200), nil, after(90))
	acked, _ = c.ResolveEnd(after(210), end)
	is.True(!acked) // that poll was sent before the question
	c.ApplyChanges(after(300), nil, after(250))
	acked, _ = c.ResolveEnd(after(310), end)
	is.True(acked)
	end.Key.Task = "j.0.0.1" // the finding holds for all tasks of the job
	acked, _ = c.ResolveEnd(after(320), end)
	is.True(acked)
}

func TestEndOfAnEndedJobIsVoidUnlessItCompletedTheTask(t *testing.T) {
	is := is.New(t)
	done := rowOfPeer("j", 4)
	done.Row.State = batch.JobDone
	done.Row.Progress = []batch.TaskProgress{{Done: true, Run: 2}}
	c := newLoadedCore(done)
	acked, void := c.ResolveEnd(start, runs.End{Key: runs.Key{Task: "j.0.0.0", Run: 2}, Outcome: runs.OutcomeDone})
	is.True(acked && !void)
	acked, void = c.ResolveEnd(start, runs.End{Key: runs.Key{Task: "j.0.0.0", Run: 1}, Outcome: runs.OutcomeDone})
	is.True(!acked && void) // another run completed the task
	acked, void = c.ResolveEnd(start, runs.End{Key: runs.Key{Task: "j.0.0.0", Run: 1}, Outcome: runs.OutcomeStopped})
	is.True(acked && !void)
}

func TestRowsOfEndedJobsAreRemovedAfterRetention(t *testing.T) {
	is := is.New(t)
	done := rowOfPeer("j", 4)
	done.Row.State = batch.JobDone
	c := newLoadedCore(done)
	c.Tick(after(30_000))
	is.Equal(len(c.Flush().Writes), 0)
	c.Tick(after(70_000))
	w := c.Flush().Writes[0]
	is.True(w.Row == nil)
	c.HandleWriteResult(after(70_005), w, WriteResult{Status: Applied, Version: 9})
	_, known := c.State("j")
	is.True(!known)
}

// TestRowChangedBeforeItsRemovalStays guards against a removal that meets another version of the row.
func TestRowChangedBeforeItsRemovalStays(t *testing.T) {
	is := is.New(t)
	ended := rowOfPeer("j", 4)
	ended.Row.State = batch.JobDone
	c := newLoadedCore(ended)
	c.ApplyChanges(after(70_000), nil, after(69_990))
	c.Tick(after(70_000))
	w := c.Flush().Writes[0]
	is.Equal(w.Row, nil)
	changed := rowOfPeer("j", 9)
	c.HandleWriteResult(after(70_010), w, WriteResult{Status: Conflict, Current: changed})
	state, known := c.State("j")
	is.True(known)
	is.Equal(state, changed.Row.State)
}

func TestRowRoundTrip(t *testing.T) {
	is := is.New(t)
	row := &Row{
		Queue: "q", Owner: self, Epoch: 3, State: batch.JobRunning, Writer: 1, Write: 9, Spec: "x",
		Steps:    []batch.Step{{Count: 1}, {Count: 2, Estimate: time.Second, After: []int{0}, Requires: "a"}},
		Progress: []batch.TaskProgress{{Index: 1, Done: true, Run: 4}},
	}
	raw, err := row.Encode()
	is.NoErr(err)
	back, err := Decode(raw)
	is.NoErr(err)
	is.Equal(back, row)
}
