package emulator

import (
	"time"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// Times of the simulated store.
const (
	storeDelay   = 5 * time.Millisecond
	storeTimeout = 300 * time.Millisecond
	followEvery  = 80 * time.Millisecond
)

// store simulates the platform's store: linearizable rows, lost answers, writes that
// are carried out late, outages for all or for single entries.
type store struct {
	w       *world
	rows    map[string]ledger.Stored
	version uint64
	changes []ledger.Stored
	down    bool
	// lost is the share of writes whose answer is lost; some are carried out late.
	lost float64
	// drained are the data centres that the operator has drained, with the time of it.
	drained map[string]time.Time
}

func (s *store) write(w ledger.Write) ledger.Outcome {
	current := s.rows[w.Job]
	if current.Version != w.Expect {
		current.Job = w.Job
		return ledger.Outcome{Fate: ledger.Conflict, Current: current}
	}
	s.version++
	changed := ledger.Stored{Job: w.Job, Row: w.Row, Version: s.version}
	s.changes = append(s.changes, changed)
	if w.Row == nil {
		delete(s.rows, w.Job)
	} else {
		s.rows[w.Job] = changed
		s.w.stored(changed)
	}
	return ledger.Outcome{Fate: ledger.Applied, Version: s.version}
}

func (s *store) after(version uint64) []ledger.Stored {
	var list []ledger.Stored
	for _, c := range s.changes {
		if c.Version > version {
			list = append(list, c)
		}
	}
	return list
}

// follow is the shell's loop over the changes.
func (e *entryProcess) follow(seen uint64, first bool) {
	w := e.w
	sentAt := w.now
	if w.store.down || e.cut {
		e.deliver(storeTimeout, func() { e.follow(seen, first) })
		return
	}
	life := e.life
	w.after(storeDelay, func() {
		rows, version := w.store.after(seen), w.store.version
		w.after(storeDelay, func() {
			e.handle(life, func() {
				if first {
					e.ledger.Load(w.now, rows, sentAt)
				} else {
					e.ledger.Learn(w.now, rows, sentAt)
				}
				e.perform()
				e.deliver(followEvery, func() { e.follow(version, false) })
			})
		})
	})
}

// write carries one write out, again and again until its fate is known.
func (e *entryProcess) write(write ledger.Write) {
	w := e.w
	again := func() { e.deliver(storeTimeout, func() { e.write(write) }) }
	if w.store.down || e.cut {
		again()
		return
	}
	if w.rand.Float64() < w.store.lost {
		if w.rand.IntN(2) == 0 {
			w.after(time.Duration(w.rand.IntN(4000))*time.Millisecond, func() { w.store.write(write) })
		}
		again()
		return
	}
	life := e.life
	w.after(storeDelay, func() {
		outcome := w.store.write(write)
		w.after(storeDelay, func() {
			e.handle(life, func() {
				e.ledger.Written(w.now, write, outcome)
				e.perform()
			})
		})
	})
}

// exchange is the shell between the ledger and the core. It reports whether the
// core was given something.
func (e *entryProcess) exchange(out *batch.Output) bool {
	now := e.w.now
	for _, name := range out.Disowned {
		e.ledger.GaveUp(now, name)
	}
	for _, r := range out.Records {
		e.ledger.Record(now, r)
	}
	for _, u := range out.Unowned {
		noted, void := e.ledger.Settle(now, u.End)
		keys := []runs.Key{u.End.Key}
		if noted {
			e.core.Settle(now, u.Link, keys, nil)
		}
		if void {
			e.core.Settle(now, u.Link, nil, keys)
		}
	}
	led := e.ledger.Flush()
	e.core.Confirm(e.ledger.OwnedUntil())
	for _, n := range led.Notes {
		e.w.tell("%s ledger %s %s epoch %d %s", e.address, n.Event, n.Job, n.Epoch, n.Reason)
	}
	for _, write := range led.Writes {
		e.write(write)
	}
	for _, a := range led.Answers {
		e.answered(a)
	}
	for _, name := range led.Disowns {
		e.core.Disown(now, name)
	}
	for _, name := range led.Cancelled {
		e.core.Cancelled(now, name)
	}
	for _, s := range led.Stored {
		e.core.Recorded(now, s.Job, s.Seq)
	}
	for _, o := range led.Owns {
		e.core.Own(now, &batch.Durable{
			Job: o.Job, Queue: e.w.jobs[o.Job].queue, Spec: o.Row.Spec, Steps: o.Row.Steps, Progress: o.Row.Progress, SafeAt: o.SafeAt,
		})
	}
	for _, name := range led.Ended {
		e.w.checks.shown(e, name)
	}
	return len(led.Disowns)+len(led.Cancelled)+len(led.Stored)+len(led.Owns) > 0
}

// hearPeers tells the ledger which other entries speak.
func (e *entryProcess) hearPeers() {
	var list []runs.Entry
	for _, other := range e.w.entries {
		if other != e && !other.dead && !e.w.now.Before(other.frozen) && !other.cut && !e.cut {
			list = append(list, other.self)
		}
	}
	e.ledger.Peers(e.w.now, list)
	e.ledger.Tick(e.w.now)
}

// answered hands the answer about a durable job to its caller.
func (e *entryProcess) answered(a ledger.Answer) {
	if take := e.asks[a.Request]; take != nil {
		delete(e.asks, a.Request)
		take(a.Kind)
	}
}

// stored notes that a durable job has ended.
func (w *world) stored(s ledger.Stored) {
	j := w.jobs[s.Job]
	if j == nil || !s.Row.State.Ended() {
		return
	}
	if s.Row.State == batch.JobDone {
		w.ended(j, fateServed)
		return
	}
	w.ended(j, fateFailed)
}
