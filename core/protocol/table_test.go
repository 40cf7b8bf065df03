package protocol

import (
	"time"

	"peridotpick.example/core/claim"
	"peridotpick.example/core/group"
)

// simTable simulates the table service, with requests and answers that are lost or late, and
// outages.
type simTable struct {
	sim     *simulation
	rows    map[string]storedRow
	version uint64
	down    bool
	// lossPercent is the probability in percent that a request or an answer is lost, and that a
	// request takes effect late.
	lossPercent int
}

// storedRow is an encoded claim with its version.
type storedRow struct {
	data    []byte
	version uint64
}

// tableTimeout is the time after which a transaction without an answer is reported as lost.
const tableTimeout = 400 * time.Millisecond

// commit applies a transaction after a delay and reports the result to e after another one.
func (t *simTable) commit(e *simEntry, g *group.Group) {
	sim := t.sim
	proc, grouper := e.proc, e.grouper
	finished := false
	done := func(status group.TxnStatus, version uint64, conflicts []group.Conflict) {
		proc.deliver(func() {
			if finished {
				return
			}
			finished = true
			grouper.Done(sim.now, g.ID, status, version, conflicts)
			e.flush()
		})
	}
	sim.schedule(tableTimeout, func() { done(group.Lost, 0, nil) })
	if t.down {
		sim.schedule(sim.networkDelay(), func() { done(group.NotApplied, 0, nil) })
		return
	}
	if sim.rng.IntN(100) < t.lossPercent {
		return // the request is lost
	}
	lag := 5*time.Millisecond + sim.networkDelay()
	if sim.rng.IntN(100) < t.lossPercent {
		lag += time.Duration(sim.rng.IntN(1000)) * time.Millisecond // may take effect after the timeout
	}
	lost := sim.rng.IntN(100) < t.lossPercent
	sim.schedule(lag, func() {
		status, version, conflicts := t.apply(g)
		if !lost {
			sim.schedule(sim.networkDelay(), func() { done(status, version, conflicts) })
		}
	})
}

// apply applies a transaction, or none of its writes if one conflicts.
func (t *simTable) apply(g *group.Group) (group.TxnStatus, uint64, []group.Conflict) {
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
		t.rows[write.Row.Submission] = storedRow{data, t.version}
		t.sim.check.checkClaimWrite(write.Row)
	}
	return group.Applied, t.version, nil
}

// read reads a claim for an entry. It fails in an outage or when the request is lost.
func (t *simTable) read(e *simEntry, submission string) {
	sim := t.sim
	proc := e.proc
	known := !t.down && sim.rng.IntN(100) >= t.lossPercent
	sim.schedule(sim.networkDelay(), func() {
		s, ok := t.rows[submission]
		var row *claim.Row
		if ok {
			row, _ = claim.Decode(s.data)
		}
		sim.schedule(sim.networkDelay(), func() {
			proc.deliver(func() { e.core.ClaimRead(sim.now, submission, known, row, s.version); e.flush() })
		})
	})
}
