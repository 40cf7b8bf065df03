package ledger

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// largestRow returns a row with the greatest values that its fields take, of a job with the given
// tasks, all with the given checkpoint.
func largestRow(steps, tasks int, checkpoint string) *Row {
	r := &Row{
		Queue: strings.Repeat("q", 60), Owner: runs.Entry{Address: "255.255.255.255:65535", Incarnation: math.MaxUint64, DataCentre: strings.Repeat("d", 60), ShortOfAgents: true},
		Epoch: batch.MaxEpoch, State: batch.JobRunning, Writer: math.MaxUint64, Write: math.MaxUint64, Spec: strings.Repeat("x", 4000), StartedEpoch: batch.MaxEpoch,
		LastStarter: &runs.Entry{Address: "255.255.255.255:65535", Incarnation: math.MaxUint64},
		Terms:       &Terms{Service: strings.Repeat("s", runs.MaxNameBytes), Priority: maxPriority, MaxAttempts: maxAttempts, Stretch: 1.7, Target: maxTarget},
	}
	for s := range steps {
		step := batch.Step{
			Count: tasks, Need: room.Resources{CPU: math.MaxInt32, Memory: math.MaxInt32, GPU: math.MaxInt32}, Estimate: 24 * time.Hour,
			Requires: "label", DataRack: "rack", AntiAffinity: math.MaxInt32,
		}
		for before := range s {
			step.After = append(step.After, before)
		}
		r.Steps = append(r.Steps, step)
		for n := range tasks {
			r.Progress = append(r.Progress, batch.TaskProgress{
				Step: s, Index: n, Done: true, Failures: math.MaxInt32, Run: math.MaxUint32, Abandoned: math.MaxUint32, Checkpoint: checkpoint,
				LostWorkers: math.MaxInt32, BlamedCrashes: math.MaxInt32, UnreachableWorkers: math.MaxInt32,
				CrashedRuns: []uint32{math.MaxUint32, math.MaxUint32, math.MaxUint32, math.MaxUint32},
			})
		}
	}
	return r
}

// TestRowNeverExceedsItsMaxSize guards against an accepted job whose progress the store does not take.
func TestRowNeverExceedsItsMaxSize(t *testing.T) {
	is := is.New(t)
	for _, size := range [][2]int{{1, 1}, {1, 140}, {64, 1}, {5, 200}, {64, 20}, {1, 5000}} {
		r := largestRow(size[0], size[1], "")
		raw, err := r.Encode()
		is.NoErr(err)
		is.True(len(raw) <= r.maxSize())
		is.NoErr(r.CheckSize(r.maxSize()))
		is.True(r.CheckSize(r.maxSize()-1) != nil)
	}
}

// TestRowFitsWithoutItsCheckpoints guards against progress that cannot be stored because of long
// checkpoints.
func TestRowFitsWithoutItsCheckpoints(t *testing.T) {
	is := is.New(t)
	r := largestRow(1, 140, strings.Repeat("c", 1000))
	r.fit(1 << 20)
	is.Equal(len(r.Progress[0].Checkpoint), 1000)
	before := r.Progress
	r.fit(1 << 16)
	raw, err := r.Encode()
	is.NoErr(err)
	is.True(len(raw) <= 1<<16)
	is.Equal(len(before[0].Checkpoint), 1000) // the record of the core is not changed
}

// TestInvalidWriteIsNotRepeated guards against a row that the store never takes and that is written
// again for good.
func TestInvalidWriteIsNotRepeated(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	w := acceptJob(c, start, 1, "j")
	c.HandleWriteResult(after(5), w, WriteResult{Status: Invalid})
	is.Equal(len(c.Flush().Answers), 1)
	_, known := c.State("j")
	is.True(!known)

	c = newCoreOwning("j")
	c.SaveRecord(after(10), batch.Record{Job: "j", Seq: 1, State: batch.JobRunning})
	c.HandleWriteResult(after(15), c.Flush().Writes[0], WriteResult{Status: Invalid})
	c.Tick(after(1000))
	is.Equal(len(c.Flush().Writes), 0)
	c.SaveRecord(after(1100), batch.Record{Job: "j", Seq: 2, State: batch.JobDone})
	is.Equal(len(c.Flush().Writes), 1) // later ones are tried
}

// oddRow returns the row of a job of one task, changed by edit.
func oddRow(edit func(r *Row)) *Row {
	r := &Row{Queue: "q", Owner: runs.Entry{Address: "e", Incarnation: 1}, Epoch: 1, Steps: []batch.Step{{Count: 1, Need: room.Resources{CPU: 1}, Estimate: time.Second}}}
	edit(r)
	return r
}

// oddRows are rows that another writer may leave among those of the jobs.
var oddRows = map[string]*Row{
	"after a later step": oddRow(func(r *Row) { r.Steps[0].After = []int{7} }),
	"after itself":       oddRow(func(r *Row) { r.Steps[0].After = []int{0} }),
	"after step -1":      oddRow(func(r *Row) { r.Steps[0].After = []int{-1} }),
	"no step":            oddRow(func(r *Row) { r.Steps = nil }),
	"too many steps":     oddRow(func(r *Row) { r.Steps = make([]batch.Step, 65) }),
	"too many tasks":     oddRow(func(r *Row) { r.Steps[0].Count = math.MaxInt64 }),
	"no task":            oddRow(func(r *Row) { r.Steps[0].Count = -1 }),
	"need":               oddRow(func(r *Row) { r.Steps[0].Need.CPU = math.MaxInt64 }),
	"negative need":      oddRow(func(r *Row) { r.Steps[0].Need.Memory = -1 }),
	"estimate":           oddRow(func(r *Row) { r.Steps[0].Estimate = math.MaxInt64 }),
	"negative estimate":  oddRow(func(r *Row) { r.Steps[0].Estimate = -1 }),
	"state":              oddRow(func(r *Row) { r.State = 200 }),
	"epoch":              oddRow(func(r *Row) { r.Epoch = math.MaxUint64 }),
	"started epoch":      oddRow(func(r *Row) { r.StartedEpoch = math.MaxUint64 }),
	"progress":           oddRow(func(r *Row) { r.Progress = []batch.TaskProgress{{Step: -1}} }),
	"progress of a task": oddRow(func(r *Row) { r.Progress = []batch.TaskProgress{{Index: -1}} }),
}

// runRow has an entry own and run the job of a row.
func runRow(r *Row) {
	now := time.Unix(1000, 0)
	c := batch.New(batch.DefaultSettings())
	c.ConfirmOwnership(now, now.Add(time.Hour))
	c.RunDurable(now, &batch.DurableJob{
		Job: "0000000000000001", Queue: &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2}, Spec: r.Spec, Steps: r.Steps,
		Epoch: r.Epoch, StartedEpoch: r.StartedEpoch, Progress: r.Progress,
	})
	for range 3 {
		now = now.Add(100 * time.Millisecond)
		c.Tick(now)
		c.Flush(now)
	}
}

// TestOddRowOfAJobIsAnError guards against entries that end by themselves, each one that takes the job
// over: another writer has left a row that no owner can run.
func TestOddRowOfAJobIsAnError(t *testing.T) {
	for name, r := range oddRows {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw, err := r.Encode()
			is.NoErr(err)
			decoded, err := Decode(raw)
			is.True(err != nil)
			is.Equal(decoded, nil)
		})
	}
}

// TestRowWithManyUnreachableWorkersIsBounded guards against an entry that runs out of memory over one row.
func TestRowWithManyUnreachableWorkersIsBounded(t *testing.T) {
	runRow(oddRow(func(r *Row) { r.Progress = []batch.TaskProgress{{LostWorkers: 1, UnreachableWorkers: math.MaxInt64}} }))
}

// FuzzDecode verifies that a row which is decoded can be run.
func FuzzDecode(f *testing.F) {
	for _, r := range oddRows {
		raw, err := r.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	raw, err := oddRow(func(*Row) {}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(strings.Repeat("\x81", 100_000))) // nested arrays
	f.Fuzz(func(t *testing.T, raw []byte) {
		if r, err := Decode(raw); err == nil && !r.State.Ended() {
			runRow(r)
		}
	})
}
