package protocol

import (
	"time"

	"peridotpick.example/core/claim"
	"peridotpick.example/core/group"
)

// simTable is the table service with lost, late and refused requests.
type simTable struct {
	world   *world
	rows    map[string]stored
	version uint64
	down    bool
	// lossy is the chance in percent that a request or an answer is lost.
	lossy int
}

type stored struct {
	data    []byte
	version uint64
}

const tableTimeout = 400 * time.Millisecond

// commit applies a transaction after a delay, and answers after another.
func (t *simTable) commit(e *simEntry, g *group.Group) {
	w := t.world
	proc, grouper := e.proc, e.grouper
	finished := false
	done := func(fate group.Fate, version uint64, conflicts []group.Conflict) {
		proc.deliver(func() {
			if finished {
				return
			}
			finished = true
			grouper.Done(w.now, g.ID, fate, version, conflicts)
			e.flush()
		})
	}
	w.after(tableTimeout, func() { done(group.Lost, 0, nil) })
	if t.down {
		w.after(w.delay(), func() { done(group.Refused, 0, nil) })
		return
	}
	if w.rng.IntN(100) < t.lossy {
		return // the request is lost
	}
	lag := 5*time.Millisecond + w.delay()
	if w.rng.IntN(100) < t.lossy {
		lag += time.Duration(w.rng.IntN(1000)) * time.Millisecond // may take effect after the caller gave up
	}
	lost := w.rng.IntN(100) < t.lossy
	w.after(lag, func() {
		fate, version, conflicts := t.apply(g)
		if !lost {
			w.after(w.delay(), func() { done(fate, version, conflicts) })
		}
	})
}

func (t *simTable) apply(g *group.Group) (group.Fate, uint64, []group.Conflict) {
	var conflicts []group.Conflict
	for i, write := range g.Writes {
		s, ok := t.rows[write.Row.Submission]
		if ok && s.version != write.IfVersion || !ok && write.IfVersion != 0 {
			c := group.Conflict{Index: i, Version: s.version}
			if ok {
				c.Current, _ = claim.Decode(s.data)
			}
			conflicts = append(conflicts, c)
		}
	}
	if len(conflicts) > 0 {
		return group.Conflicted, 0, conflicts
	}
	t.version++
	for _, write := range g.Writes {
		data, _ := write.Row.Encode()
		t.rows[write.Row.Submission] = stored{data, t.version}
		t.world.check.written(write.Row)
	}
	return group.Applied, t.version, nil
}

// read looks a claim up for an entry.
func (t *simTable) read(e *simEntry, submission string) {
	w := t.world
	proc := e.proc
	known := !t.down && w.rng.IntN(100) >= t.lossy
	w.after(w.delay(), func() {
		s, ok := t.rows[submission]
		var row *claim.Row
		if ok {
			row, _ = claim.Decode(s.data)
		}
		w.after(w.delay(), func() {
			proc.deliver(func() { e.core.ClaimRead(w.now, submission, known, row, s.version); e.flush() })
		})
	})
}
