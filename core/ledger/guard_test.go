package ledger

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

const (
	// worldRetention is short, so that many rows are removed while inserts are under way.
	worldRetention = 4 * time.Second
	// repeatWindow is for how long the request for a job, or its cancel, comes again.
	repeatWindow = 1500 * time.Millisecond
)

// worldEntry is an entry. While it is frozen, what it receives waits in its inbox. While it is cut off from the
// store, its calls get no answer.
type worldEntry struct {
	core        *Core
	cut, frozen bool
	inbox       []func()
	// attempts are writes without a result.
	attempts []Write
	running  []string
}

// insertWorld is a store with entries that are cut off from it and freeze. An attempt to write may be lost, carried
// out, or carried out at any later time, and its answer may be lost; it is repeated until there is one. Callers
// send each request several times, to any entry, and cancel jobs.
type insertWorld struct {
	rand    *rand.Rand
	now     time.Time
	entries []*worldEntry
	rows    map[string]StoredRow
	guard   uint64
	version uint64
	late    []Write
	// recent has when a job was first handed in, over which jobs have had a row that ended.
	recent map[string]time.Time
	over   map[string]bool
	// ignoresGuard has the store carry out inserts whatever the guard is.
	ignoresGuard                              bool
	submitted, removed, moved, givenUp, broke int
}

func newInsertWorld(seed uint64) *insertWorld {
	w := &insertWorld{rand: rand.New(rand.NewPCG(seed, 11)), now: start, rows: make(map[string]StoredRow), recent: make(map[string]time.Time), over: make(map[string]bool)}
	for n := range 3 {
		c := New(Settings{
			Self: runs.Entry{Address: fmt.Sprintf("e%d:1", n), Incarnation: uint64(n + 1)}, OwnershipTTL: 2 * time.Second, RunExpiry: time.Second,
			SilenceTimeout: 2 * time.Second, EndedRetention: worldRetention, MaxOpenJobs: 1000,
		}, start)
		c.SetCatalog(start, config(1, "q"))
		c.LoadRows(start, nil, start, 0)
		w.entries = append(w.entries, &worldEntry{core: c})
	}
	return w
}

// carryOut applies a write if its conditions hold.
func (w *insertWorld) carryOut(write Write) WriteResult {
	stored := w.rows[write.Job]
	if stored.Row == nil {
		stored.Version = 0
	}
	if stored.Version != write.ExpectVersion {
		return WriteResult{Status: Conflict, Current: StoredRow{Job: write.Job, Row: stored.Row, Version: stored.Version}}
	}
	if write.ExpectVersion == 0 && write.ExpectGuard != w.guard && !w.ignoresGuard {
		w.moved++
		return WriteResult{Status: GuardMoved, Guard: w.guard}
	}
	w.version++
	w.rows[write.Job] = StoredRow{Job: write.Job, Row: write.Row, Version: w.version}
	switch {
	case write.Row == nil:
		w.removed++
		w.guard = w.version
	case write.Row.State.Ended():
		w.over[write.Job] = true
	case write.ExpectVersion == 0 && w.over[write.Job]:
		w.broke++
	}
	return WriteResult{Status: Applied, Version: w.version}
}

// deliver has an entry receive something, once it is not frozen, and takes its output.
func (w *insertWorld) deliver(e *worldEntry, receive func()) {
	e.inbox = append(e.inbox, receive)
	w.handleInbox(e)
}

func (w *insertWorld) handleInbox(e *worldEntry) {
	for !e.frozen && len(e.inbox) > 0 {
		receive := e.inbox[0]
		e.inbox = e.inbox[1:]
		receive()
		out := e.core.Flush()
		e.attempts = append(e.attempts, out.Writes...)
		for _, a := range out.Acquired {
			e.running = append(e.running, a.Job)
		}
		for _, d := range out.Decisions {
			if d.Event == "insert given up" {
				w.givenUp++
			}
		}
	}
}

// try makes one attempt of a write.
func (w *insertWorld) try(e *worldEntry, write Write) {
	if !write.RepeatUntil.IsZero() && !w.now.Before(write.RepeatUntil) {
		w.deliver(e, func() { e.core.HandleWriteResult(w.now, write, WriteResult{Status: Abandoned}) })
		return
	}
	switch fate := w.rand.IntN(10); {
	case e.cut && fate < 4, fate == 0:
		w.late = append(w.late, write)
		e.attempts = append(e.attempts, write)
	case e.cut, fate == 1:
		e.attempts = append(e.attempts, write)
	case fate == 2:
		w.carryOut(write)
		e.attempts = append(e.attempts, write)
	default:
		result := w.carryOut(write)
		w.deliver(e, func() { e.core.HandleWriteResult(w.now, write, result) })
	}
}

// read has an entry read all rows as they are now. If the store has lost its history, nothing tells which rows were
// removed.
func (w *insertWorld) read(e *worldEntry) {
	lostHistory := w.rand.IntN(4) == 0
	var rows []StoredRow
	for _, name := range slices.Sorted(maps.Keys(w.rows)) {
		if r := w.rows[name]; r.Row != nil || !lostHistory {
			rows = append(rows, r)
		}
	}
	guard, at, version := w.guard, w.now, w.version
	w.deliver(e, func() {
		e.core.TakeGuard(0, guard)
		if lostHistory {
			e.core.LoadRows(w.now, rows, at, version)
		} else {
			e.core.ApplyChanges(w.now, rows, at)
		}
	})
}

// settle ends all disruptions, and returns the number of jobs that entries know without a row.
func (w *insertWorld) settle() (stale int) {
	for _, e := range w.entries {
		e.cut, e.frozen = false, false
		w.handleInbox(e)
		w.read(e)
		for name := range w.over {
			if _, known := e.core.State(name); known && w.rows[name].Row == nil {
				stale++
			}
		}
	}
	return stale
}

// submit hands a job in at an entry that has received the request by now.
func (w *insertWorld) submit(e *worldEntry, name string) {
	arrived := w.now
	w.submitted++
	w.deliver(e, func() {
		e.core.Accept(w.now, RequestID(w.rand.Uint64()), name, NewRow(removedQueue, "x", []batch.Step{{Count: 1}}), arrived)
	})
}

// repeat hands a recent job in once more, or cancels it.
func (w *insertWorld) repeat(e *worldEntry) {
	names := slices.Sorted(maps.Keys(w.recent))
	if len(names) == 0 {
		return
	}
	name := names[w.rand.IntN(len(names))]
	if w.now.Sub(w.recent[name]) > repeatWindow {
		delete(w.recent, name)
		return
	}
	if w.rand.IntN(3) > 0 {
		w.submit(e, name)
		return
	}
	arrived := w.now
	w.deliver(e, func() { e.core.Cancel(w.now, RequestID(w.rand.Uint64()), name, arrived) })
}

// tick has all entries that are not frozen handle the passing of time.
func (w *insertWorld) tick() {
	var alive []runs.Entry
	for _, e := range w.entries {
		if !e.frozen {
			alive = append(alive, e.core.settings.Self)
		}
	}
	for _, e := range w.entries {
		if !e.frozen {
			w.deliver(e, func() { e.core.RecordAlive(w.now, alive); e.core.Tick(w.now) })
		}
	}
}

func (w *insertWorld) step(n int) {
	w.now = w.now.Add(time.Duration(w.rand.IntN(100)) * time.Millisecond)
	w.tick()
	for _, e := range w.entries {
		w.tryAny(e)
	}
	e := w.entries[w.rand.IntN(len(w.entries))]
	switch w.rand.IntN(12) {
	case 0:
		e.cut = w.rand.IntN(3) == 0
	case 1:
		e.frozen = w.rand.IntN(4) == 0
		w.handleInbox(e)
	case 2:
		name := fmt.Sprint("j", n)
		w.recent[name] = w.now
		w.submit(e, name)
	case 3, 4:
		w.repeat(e)
	case 5, 6, 7:
		if !e.cut && !e.frozen {
			w.read(e)
		}
	case 8:
		if len(w.late) > 0 && w.rand.IntN(4) == 0 {
			i := w.rand.IntN(len(w.late))
			w.carryOut(w.late[i])
			w.late = slices.Delete(w.late, i, i+1)
		}
	case 9, 10:
		if len(e.running) > 0 {
			name := e.running[0]
			e.running = e.running[1:]
			w.deliver(e, func() { e.core.SaveRecord(w.now, batch.Record{Job: name, Seq: 1, State: batch.JobDone}) })
		}
	}
}

// tryAny makes an attempt of one of the writes of an entry.
func (w *insertWorld) tryAny(e *worldEntry) {
	if len(e.attempts) == 0 || e.frozen {
		return
	}
	i := w.rand.IntN(len(e.attempts))
	write := e.attempts[i]
	e.attempts = slices.Delete(e.attempts, i, i+1)
	w.try(e, write)
}

func playInserts(seed uint64, ignoresGuard bool) *insertWorld {
	w := newInsertWorld(seed)
	w.ignoresGuard = ignoresGuard
	for n := range 6000 {
		w.step(n)
	}
	return w
}

// TestNoJobIsStoredAgainAfterItsRowWasRemoved guards against jobs that run a second time, or after they were
// cancelled: an insert that was under way all the while is carried out once the row is removed. It plays
// orders of cuts, freezes, late writes, repeated requests, cancels and removals.
func TestNoJobIsStoredAgainAfterItsRowWasRemoved(t *testing.T) {
	removed, moved, givenUp := 0, 0, 0
	for seed := range uint64(40) {
		w := playInserts(seed, false)
		removed, moved, givenUp = removed+w.removed, moved+w.moved, givenUp+w.givenUp
		if w.broke > 0 {
			t.Errorf("seed %d: %d jobs were stored again", seed, w.broke)
		}
		if stale := w.settle(); stale > 0 {
			t.Errorf("seed %d: %d jobs without a row are known", seed, stale)
		}
		if w.removed < w.submitted/8 {
			t.Errorf("seed %d: %d rows were removed, %d requests", seed, w.removed, w.submitted)
		}
	}
	t.Logf("%d rows were removed, %d inserts met another guard, %d were given up", removed, moved, givenUp)
	is.New(t).True(moved > 1000)
	is.New(t).True(givenUp > 1000)
}

// TestInsertsWithoutAGuard verifies that the orders of TestNoJobIsStoredAgainAfterItsRowWasRemoved find inserts that
// the guard does not keep out.
func TestInsertsWithoutAGuard(t *testing.T) {
	is.New(t).True(countFailed(t, 20, func(seed uint64) bool { return playInserts(seed, true).broke > 0 }) >= 15)
}

// TestInsertIsSentAgainOnlyWhileItsRequestIsNew guards against an insert that is sent under a later guard although
// the row of its job may have been removed.
func TestInsertIsSentAgainOnlyWhileItsRequestIsNew(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	c.TakeGuard(0, 3)
	w := acceptJob(c, after(10), 1, "j")
	is.Equal(w.ExpectGuard, uint64(3))
	is.Equal(w.RepeatUntil, after(10).Add(c.settings.EndedRetention/2))
	c.HandleWriteResult(after(29_000), w, WriteResult{Status: GuardMoved, Guard: 8})
	out := c.Flush()
	is.Equal(len(out.Answers), 0)
	is.Equal(out.Writes[0].ExpectGuard, uint64(8))
	is.Equal(out.Writes[0].Row.Write, w.Row.Write) // an earlier attempt is recognised

	c.HandleWriteResult(after(30_010), out.Writes[0], WriteResult{Status: GuardMoved, Guard: 9})
	out = c.Flush()
	is.Equal(out.Answers, []Answer{{Request: 1, Kind: errkind.FateUnknown}})
	is.Equal(len(out.Writes), 0)
	is.True(!c.IsTracked("j"))
}

// TestInsertOfAnOldRequestIsNotSent guards against a process that was suspended between a request and its insert.
func TestInsertOfAnOldRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	c.Accept(after(30_000), 1, "j", &Row{Queue: "q", Steps: []batch.Step{{Count: 1}}}, start)
	out := c.Flush()
	is.Equal(len(out.Writes), 0)
	is.Equal(out.Answers, []Answer{{Request: 1, Kind: errkind.FateUnknown}})
}

// TestRowOfAnAbandonedInsertIsRun has the store carry out an insert after it was given up.
func TestRowOfAnAbandonedInsertIsRun(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore()
	w := acceptJob(c, after(10), 1, "j")
	c.Cancel(after(20), 2, "j", after(20))
	c.HandleWriteResult(after(31_000), w, WriteResult{Status: Abandoned})
	is.Equal(c.Flush().Answers, []Answer{{Request: 1, Kind: errkind.FateUnknown}, {Request: 2, Kind: errkind.FateUnknown}})
	c.ApplyChanges(after(31_100), []StoredRow{{Job: "j", Version: 4, Row: w.Row}}, after(31_090))
	is.Equal(c.Flush().Acquired[0].Job, "j")
}

// TestRemovalMovesTheGuard has an entry insert after it has removed a row itself.
func TestRemovalMovesTheGuard(t *testing.T) {
	is := is.New(t)
	row := rowOfPeer("old", 4)
	row.Row.State = batch.JobDone
	c := newLoadedCore(row)
	c.Tick(after(61_000))
	removal := c.Flush().Writes[0]
	is.True(removal.Row == nil)
	c.HandleWriteResult(after(61_010), removal, WriteResult{Status: Applied, Version: 12})
	is.Equal(acceptJob(c, after(61_020), 1, "j").ExpectGuard, uint64(12))
}
