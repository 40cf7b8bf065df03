package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/wire/runs"
)

// firstStart returns the first start of the only task of a job that an owner gets with the given
// epoch and stored progress.
func firstStart(t *testing.T, epoch uint64, progress ...TaskProgress) runs.Start {
	h := newHarness(t, 1)
	starts := startsByLink(h.own(begin, 1, 1, func(d *DurableJob) { d.Epoch, d.Progress = epoch, progress }))[0]
	if len(starts) == 0 {
		starts, _ = h.storeRecords(after(10))
	}
	return starts[0]
}

// storeRecords stores the next records as soon as they are emitted, until the first starts. It
// returns these and the records.
func (h *harness) storeRecords(now time.Time) ([]runs.Start, []Record) {
	var records []Record
	for ms := 0; ms <= 250; ms += 10 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		h.Tick(at)
		out := h.flush(at)
		for _, r := range out.Records {
			h.RecordStored(at, r.Job, r.Seq)
		}
		records = append(records, out.Records...)
		for _, starts := range startsByLink(out) {
			if len(starts) > 0 {
				return starts, records
			}
		}
	}
	return nil, records
}

// TestOwnersNumberRunsApart guards against two owners in a row that give runs of a task the same
// number, as neither knows what the other has started.
func TestOwnersNumberRunsApart(t *testing.T) {
	is := is.New(t)
	stored := [][]TaskProgress{nil, {{Run: 3}}, {{Run: maxRunsInEpoch}}, {{Abandoned: 2}}}
	for _, progress := range stored {
		newest := uint32(0)
		for _, epoch := range []uint64{1, 2, 3, 4, 900, MaxEpoch} {
			run := firstStart(t, epoch, progress...).Key.Run
			is.True(run > newest)
			newest = run
			if len(progress) > 0 {
				is.True(run > progress[0].Run)
			}
		}
	}
	is.Equal(firstStart(t, 1).Key.Run, uint32(1))
}

// TestNumbersOfAnEpochStayBelowTheNext guards against an owner that starts a task so often that its
// run numbers reach those of the next owner.
func TestNumbersOfAnEpochStayBelowTheNext(t *testing.T) {
	h := newHarness(t, 1)
	last := runsBefore(3)
	h.own(begin, 1, 1, func(d *DurableJob) {
		d.Epoch, d.Progress = 2, []TaskProgress{{Run: last - 2}}
	})
	starts, _ := h.storeRecords(after(10))
	h.is.Equal(starts[0].Key.Run, last-1)
	out := h.reportHeldEnd(after(50), 0, 1, 0, last-1, runs.OutcomeFailed)
	h.is.Equal(out.OutOfNumbers, []string{jobName(1)})
	h.is.Equal(len(startsByLink(out)), 0)
	_, owned := h.DurableState(jobName(1))
	h.is.Equal(owned, false)
}

// TestEndOfAnotherWorkersRunIsNotTheCurrentRuns guards against a task that is started again beside
// its current run, because the end of a previous owner's run was taken for that of the current one.
func TestEndOfAnotherWorkersRunIsNotTheCurrentRuns(t *testing.T) {
	previous := firstStart(t, 2)
	h := newHarness(t, 2)
	h.own(begin, 1, 1, func(d *DurableJob) { d.Epoch = 3 })
	h.storeRecords(after(10))
	task := h.byTask[previous.Key.Task]
	h.is.Equal(task.state, taskPlaced)
	h.Receive(after(500), LinkID(1-int(task.link)), &runs.ToEntry{
		Clock: after(500).UnixNano(), Ends: []runs.End{{Key: previous.Key, Outcome: runs.OutcomeStopped, NeedsAck: true}},
	})
	acked, _ := ackedAndVoidKeys(h.flush(after(500)))
	h.is.Equal(acked, []runs.Key{previous.Key})
	h.is.Equal(task.state, taskPlaced)
	h.is.Equal(len(startsByLink(h.flush(after(550)))), 0)
}

// TestInterruptedJobNumbersItsRunsAnew guards against an entry that gives runs of a job the numbers
// that it gave before its ownership expired.
func TestInterruptedJobNumbersItsRunsAnew(t *testing.T) {
	h := newHarness(t, 1)
	first := startsByLink(h.own(begin, 1, 1, func(d *DurableJob) { d.Epoch = 1 }))[0][0]
	h.settings.SuspensionThreshold = time.Hour
	h.Tick(after(5100))
	h.is.Equal(h.flush(after(5100)).OwnershipExpired, []string{jobName(1)})
	h.own(after(5200), 1, 1, func(d *DurableJob) { d.Epoch = 2 })
	h.reportHeldEnd(after(5300), 0, 1, 0, first.Key.Run, runs.OutcomeStopped)
	second, _ := h.storeRecords(after(5310))
	h.is.Equal(len(second), 1)
	h.is.True(second[0].Key.Run > maxRunsInEpoch)
}
