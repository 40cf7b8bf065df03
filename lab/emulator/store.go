package emulator

import (
	"time"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// Time constants of the store and of its clients: one-way latency, timeout of a request, and interval
// of reads of the change feed.
const (
	storeOneWay        = 5 * time.Millisecond
	storeTimeout       = 300 * time.Millisecond
	changePollInterval = 80 * time.Millisecond
)

// store simulates the platform's store: linearizable writes, lost answers, writes that are carried
// out late, and outages for all or for single entries.
type store struct {
	sim     *simulation
	rows    map[string]ledger.StoredRow
	version uint64
	changes []ledger.StoredRow
	down    bool
	// answerLossShare is the share of writes whose answer is lost; half of these are carried out
	// late, the others not at all. The entry repeats them in any case.
	answerLossShare float64
	// drained holds the drained data centres with the time at which each was drained.
	drained map[string]time.Time
}

// write applies a write if the stored row has the expected version.
func (s *store) write(write ledger.Write) ledger.WriteResult {
	stored := s.rows[write.Job]
	if stored.Version != write.ExpectVersion {
		stored.Job = write.Job
		return ledger.WriteResult{Status: ledger.Conflict, Current: stored}
	}
	s.version++
	changed := ledger.StoredRow{Job: write.Job, Row: write.Row, Version: s.version}
	s.changes = append(s.changes, changed)
	if write.Row == nil {
		delete(s.rows, write.Job)
	} else {
		s.rows[write.Job] = changed
		s.sim.recordDurableEnd(changed)
	}
	return ledger.WriteResult{Status: ledger.Applied, Version: s.version}
}

func (s *store) changesAfter(version uint64) []ledger.StoredRow {
	var list []ledger.StoredRow
	for _, c := range s.changes {
		if c.Version > version {
			list = append(list, c)
		}
	}
	return list
}

// pollChanges reads the change feed of durable jobs at intervals and passes the changes to the
// ledger.
func (e *entryProcess) pollChanges(since uint64, first bool) {
	sim := e.sim
	sentAt := sim.now
	if sim.store.down || e.partitioned {
		e.deliver(storeTimeout, func() { e.pollChanges(since, first) })
		return
	}
	incarnation := e.incarnation
	sim.schedule(storeOneWay, func() {
		rows, version := sim.store.changesAfter(since), sim.store.version
		sim.schedule(storeOneWay, func() {
			e.handle(incarnation, func() {
				if first {
					e.ledger.LoadRows(sim.now, rows, sentAt)
				} else {
					e.ledger.ApplyChanges(sim.now, rows, sentAt)
				}
				e.perform()
				e.deliver(changePollInterval, func() { e.pollChanges(version, false) })
			})
		})
	})
}

// write sends a write to the store, and repeats it until an answer says whether it was applied.
func (e *entryProcess) write(write ledger.Write) {
	sim := e.sim
	retry := func() { e.deliver(storeTimeout, func() { e.write(write) }) }
	if sim.store.down || e.partitioned {
		retry()
		return
	}
	if sim.rand.Float64() < sim.store.answerLossShare {
		if sim.rand.IntN(2) == 0 {
			sim.schedule(time.Duration(sim.rand.IntN(4000))*time.Millisecond, func() { sim.store.write(write) })
		}
		retry()
		return
	}
	incarnation := e.incarnation
	sim.schedule(storeOneWay, func() {
		result := sim.store.write(write)
		sim.schedule(storeOneWay, func() {
			e.handle(incarnation, func() {
				e.ledger.HandleWriteResult(sim.now, write, result)
				e.perform()
			})
		})
	})
}

// applyToLedger passes the core's output to the ledger and applies the ledger's output. It reports
// whether the core received input, so that its output has to be read again.
func (e *entryProcess) applyToLedger(out *batch.Output) bool {
	now := e.sim.now
	for _, name := range out.OwnershipExpired {
		e.ledger.HandleOwnershipExpired(now, name)
	}
	for _, name := range out.OutOfNumbers {
		e.ledger.HandleOutOfNumbers(now, name)
	}
	for _, r := range out.Records {
		e.ledger.SaveRecord(now, r)
	}
	for _, u := range out.UnownedEnds {
		acknowledged, void := e.ledger.ResolveEnd(now, u.End)
		keys := []runs.Key{u.End.Key}
		if acknowledged {
			e.core.ResolveEnds(now, u.Link, keys, nil)
		}
		if void {
			e.core.ResolveEnds(now, u.Link, nil, keys)
		}
	}
	ledgerOut := e.ledger.Flush()
	e.core.ConfirmOwnership(e.ledger.ConfirmedAt(), e.ledger.OwnedUntil())
	for _, n := range ledgerOut.Decisions {
		e.sim.logEvent("%s ledger %s %s epoch %d %s", e.address, n.Event, n.Job, n.Epoch, n.Reason)
	}
	for _, write := range ledgerOut.Writes {
		e.write(write)
	}
	for _, a := range ledgerOut.Answers {
		e.answerDurable(a)
	}
	for _, name := range ledgerOut.Lost {
		e.core.StopLost(now, name)
	}
	for _, name := range ledgerOut.Cancelled {
		e.core.CancelDurable(now, name)
	}
	for _, s := range ledgerOut.StoredRecords {
		e.core.RecordStored(now, s.Job, s.Seq)
	}
	for _, o := range ledgerOut.Acquired {
		e.core.RunDurable(now, &batch.DurableJob{
			Job: o.Job, Queue: e.sim.jobs[o.Job].queue, Version: o.Version, Spec: o.Row.Spec, Steps: o.Row.Steps, Epoch: o.Row.Epoch, StartedEpoch: o.Row.StartedEpoch, Progress: o.Row.Progress, SafeAt: o.SafeAt,
		})
	}
	for _, name := range ledgerOut.Ended {
		e.sim.checker.checkReportedState(e, name)
	}
	return len(ledgerOut.Lost)+len(ledgerOut.Cancelled)+len(ledgerOut.StoredRecords)+len(ledgerOut.Acquired) > 0
}

// updatePeers tells the ledger which other entries are reachable.
func (e *entryProcess) updatePeers() {
	var list []runs.Entry
	for _, other := range e.sim.entries {
		if other != e && !other.dead && !e.sim.now.Before(other.suspendedUntil) && !other.partitioned && !e.partitioned {
			list = append(list, other.self)
		}
	}
	e.ledger.RecordAlive(e.sim.now, list)
	e.sendLevels(list)
	e.announceLacks(list)
	e.hearLacks(list)
	e.ledger.Tick(e.sim.now)
}

// answerDurable passes the answer about a durable job to its caller.
func (e *entryProcess) answerDurable(a ledger.Answer) {
	if answer := e.durableWaiters[a.Request]; answer != nil {
		delete(e.durableWaiters, a.Request)
		answer(a.Kind)
	}
}

// recordDurableEnd records the end of a durable job when it is stored.
func (sim *simulation) recordDurableEnd(s ledger.StoredRow) {
	j := sim.jobs[s.Job]
	if j == nil || !s.Row.State.Ended() {
		return
	}
	if s.Row.State == batch.JobDone {
		sim.recordEnd(j, outcomeServed)
		return
	}
	sim.recordEnd(j, outcomeFailed)
}
