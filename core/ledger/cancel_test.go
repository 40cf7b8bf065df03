package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// storeUnstored has the write of a cancel of an unknown job carried out, and returns what the ledger does then.
func storeUnstored(t *testing.T, c *Core, now time.Time, name string, version uint64) Output {
	t.Helper()
	is := is.New(t)
	out := c.Flush()
	is.Equal(len(out.Writes), 1)
	is.Equal(len(out.Answers), 0) // not before it is stored
	w := out.Writes[0]
	is.Equal(w.Job, name)
	is.Equal(w.ExpectVersion, uint64(0))
	c.HandleWriteResult(now, w, WriteResult{Status: Applied, Version: version})
	return c.Flush()
}

// TestJobThatWasCancelledBeforeItIsStoredNeverRuns guards against a job that runs after its cancelling was
// answered: an entry that was cut off from the store stores it later.
func TestJobThatWasCancelledBeforeItIsStoredNeverRuns(t *testing.T) {
	is := is.New(t)
	c, cut := newLoadedCore(), newLoadedCoreOf(other)
	insert := acceptJob(cut, after(5), 1, "j")
	c.Cancel(after(10), 2, "j", start)
	w := c.Flush().Writes[0]
	c.HandleWriteResult(after(20), w, WriteResult{Status: Applied, Version: 9})
	is.Equal(c.Flush().Answers, []Answer{{Request: 2, Kind: errkind.NotFound}})
	stored := StoredRow{Job: "j", Version: 9, Row: w.Row}

	cut.HandleWriteResult(after(6000), insert, WriteResult{Status: Conflict, Current: stored})
	out := cut.Flush()
	is.Equal(out.Answers, []Answer{{Request: 1, Kind: errkind.CanceledUnstored}})
	is.Equal(len(out.Acquired), 0)
	for _, e := range []*Core{c, cut} {
		e.ApplyChanges(after(6100), nil, after(6090))
		_, known := e.State("j")
		is.True(!known) // nobody has accepted it
		is.True(e.IsAbsent("j", after(6000)))
		is.True(e.IsEmpty())
		e.Accept(after(6200), 3, "j", &Row{Queue: "q", Steps: []batch.Step{{Count: 1}}}, after(6200)) // a repeated request
		e.Cancel(after(6200), 4, "j", after(6200))
		out := e.Flush()
		is.Equal(out.Answers, []Answer{{Request: 3, Kind: errkind.CanceledUnstored}, {Request: 4, Kind: errkind.NotFound}})
		is.Equal(len(out.Writes), 0)
	}
}

// TestCancelThatMeetsTheRowOfTheJobCancelsIt has the insert of another entry come first.
func TestCancelThatMeetsTheRowOfTheJobCancelsIt(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	c.Cancel(after(10), 1, "j", start)
	c.HandleWriteResult(after(20), c.Flush().Writes[0], WriteResult{Status: Conflict, Current: rowOfPeer("j", 4)})
	w := c.Flush().Writes[0]
	is.Equal(w.ExpectVersion, uint64(4))
	is.Equal(w.Row.State, batch.JobCancelled)
	is.True(!w.Row.Unstored)
	c.HandleWriteResult(after(30), w, WriteResult{Status: Applied, Version: 5})
	is.Equal(c.Flush().Answers, []Answer{{Request: 1, Kind: errkind.OK}})
}

// TestCancelsOfUnknownJobsAreLimited guards against rows without end in the store.
func TestCancelsOfUnknownJobsAreLimited(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	written := 0
	for n := range 10_000 {
		c.Cancel(after(n), RequestID(n), fmt.Sprint("unknown", n), start)
		written += len(c.Flush().Writes)
	}
	is.True(written >= unstoredBurst)
	is.True(written <= unstoredBurst+10*unstoredPerSecond)
}

// attempt is a write that is under way to the store, once or again.
type attempt struct {
	entry int
	write Write
}

// cancelWorld is a store with entries, some of which are cut off from it. An attempt to write may be lost,
// carried out, or carried out late, and its answer may be lost; it is repeated until there is one.
type cancelWorld struct {
	rand     *rand.Rand
	now      time.Time
	entries  []*Core
	cut      []bool
	rows     map[string]StoredRow
	version  uint64
	attempts []attempt
	// late are attempts without an answer that the store may still carry out.
	late []attempt
	// denied has when a cancel of a job was first answered 410, asked which job a request cancels.
	denied map[string]time.Time
	asked  map[RequestID]string
	// deniesWithoutRow is set to answer a cancel of a job that is certainly unknown without a write.
	deniesWithoutRow bool
	violations       int
}

func newCancelWorld(seed uint64) *cancelWorld {
	w := &cancelWorld{rand: rand.New(rand.NewPCG(seed, 7)), now: start, rows: make(map[string]StoredRow), denied: make(map[string]time.Time), asked: make(map[RequestID]string)}
	for n := range 3 {
		w.entries = append(w.entries, newLoadedCoreOf(runs.Entry{Address: fmt.Sprintf("e%d:1", n), Incarnation: uint64(n + 1)}))
		w.cut = append(w.cut, false)
	}
	return w
}

// carryOut applies a write if its condition holds.
func (w *cancelWorld) carryOut(write Write) WriteResult {
	stored := w.rows[write.Job]
	if stored.Version != write.ExpectVersion {
		stored.Job = write.Job
		return WriteResult{Status: Conflict, Current: stored}
	}
	w.version++
	w.rows[write.Job] = StoredRow{Job: write.Job, Row: write.Row, Version: w.version}
	return WriteResult{Status: Applied, Version: w.version}
}

// try makes one attempt of a write.
func (w *cancelWorld) try(a attempt) {
	e := w.entries[a.entry]
	switch fate := w.rand.IntN(10); {
	case w.cut[a.entry] && fate < 2, fate == 0:
		w.late = append(w.late, a)
		w.attempts = append(w.attempts, a)
	case w.cut[a.entry], fate == 1:
		w.attempts = append(w.attempts, a)
	case fate == 2:
		w.carryOut(a.write)
		w.attempts = append(w.attempts, a)
	default:
		e.HandleWriteResult(w.now, a.write, w.carryOut(a.write))
	}
	w.collect(a.entry)
}

// collect takes the output of an entry and checks it.
func (w *cancelWorld) collect(entry int) {
	out := w.entries[entry].Flush()
	for _, write := range out.Writes {
		w.attempts = append(w.attempts, attempt{entry, write})
	}
	for _, a := range out.Answers {
		if name, isCancel := w.asked[a.Request]; isCancel && a.Kind == errkind.NotFound {
			w.deny(name)
		}
	}
	for _, a := range out.Acquired {
		if _, denied := w.denied[a.Job]; denied {
			w.violations++
		}
	}
}

func (w *cancelWorld) deny(name string) {
	if _, before := w.denied[name]; !before {
		w.denied[name] = w.now
	}
}

func (w *cancelWorld) cancel(entry int, name string) {
	e := w.entries[entry]
	if _, known := e.State(name); !known && w.deniesWithoutRow && e.IsAbsent(name, w.now.Add(-time.Second)) {
		w.deny(name)
		return
	}
	id := RequestID(len(w.asked) + 1_000_000)
	w.asked[id] = name
	e.Cancel(w.now, id, name, w.now.Add(-time.Second))
	w.collect(entry)
}

// read has an entry read all rows.
func (w *cancelWorld) read(entry int) {
	var rows []StoredRow
	for n := range 20 {
		if r, ok := w.rows[fmt.Sprint("j", n)]; ok {
			rows = append(rows, r)
		}
	}
	w.entries[entry].ApplyChanges(w.now, rows, w.now)
	w.collect(entry)
}

func (w *cancelWorld) step(n int) {
	w.now = w.now.Add(time.Duration(w.rand.IntN(20)) * time.Millisecond)
	entry, name := w.rand.IntN(len(w.entries)), fmt.Sprint("j", w.rand.IntN(20))
	switch w.rand.IntN(12) {
	case 0:
		w.cut[entry] = !w.cut[entry]
	case 1, 2:
		w.entries[entry].Accept(w.now, RequestID(n), name, NewRow(removedQueue, "x", []batch.Step{{Count: 1}}), w.now)
		w.collect(entry)
	case 3:
		w.cancel(entry, name)
	case 4, 5:
		if !w.cut[entry] {
			w.read(entry)
		}
	case 6:
		if len(w.late) > 0 {
			w.carryOut(w.late[0].write)
			w.late = w.late[1:]
		}
	default:
		if len(w.attempts) > 0 {
			i := w.rand.IntN(len(w.attempts))
			a := w.attempts[i]
			w.attempts = append(w.attempts[:i], w.attempts[i+1:]...)
			w.try(a)
		}
	}
}

func playCancels(seed uint64, deniesWithoutRow bool) *cancelWorld {
	w := newCancelWorld(seed)
	w.deniesWithoutRow = deniesWithoutRow
	for n := range 1500 {
		w.step(n)
	}
	return w
}

// TestNothingStartsAfterACancelWasDenied guards against jobs that run after a cancel was answered 410, over
// orders of cuts, lost answers, late writes, repeats and cancels.
func TestNothingStartsAfterACancelWasDenied(t *testing.T) {
	denied := 0
	for seed := range uint64(400) {
		w := playCancels(seed, false)
		denied += len(w.denied)
		if w.violations > 0 {
			t.Errorf("seed %d: %d jobs were started after a cancel of them was answered 410", seed, w.violations)
		}
	}
	t.Logf("%d cancels were answered 410", denied)
	is.New(t).True(denied > 400)
}

// TestCancelsDeniedWithoutARow verifies that the orders of TestNothingStartsAfterACancelWasDenied find cancels
// that leave nothing in the store.
func TestCancelsDeniedWithoutARow(t *testing.T) {
	is.New(t).True(countFailed(t, 40, func(seed uint64) bool { return playCancels(seed, true).violations > 0 }) >= 20)
}

// countFailed returns how many of the seeds below a number fail.
func countFailed(t *testing.T, seeds uint64, fails func(seed uint64) bool) (failed int) {
	t.Helper()
	for seed := range seeds {
		if fails(seed) {
			failed++
		}
	}
	t.Logf("%d of %d seeds failed", failed, seeds)
	return failed
}
