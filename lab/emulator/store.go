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
	// guard is the version of the guard of the only partition.
	guard   uint64
	changes []ledger.StoredRow
	down    bool
	// partRows is the number of rows that an answer of the change feed has at most; 0 if it has all.
	// Nothing in an answer tells that it is a part.
	partRows int
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
	if write.ExpectVersion == 0 && write.ExpectGuard != s.guard {
		return ledger.WriteResult{Status: ledger.GuardMoved, Guard: s.guard}
	}
	s.version++
	changed := ledger.StoredRow{Job: write.Job, Row: write.Row, Version: s.version}
	s.changes = append(s.changes, changed)
	if write.Row == nil {
		s.guard = s.version
		delete(s.rows, write.Job)
	} else {
		s.rows[write.Job] = changed
		s.sim.recordDurableEnd(changed)
	}
	return ledger.WriteResult{Status: ledger.Applied, Version: s.version}
}

// changesAfter returns the changes after a position, at most partRows of them, and the version from which
// a reader continues. A reader that has none yet gets all.
func (s *store) changesAfter(from changesPosition) (list []ledger.StoredRow, position uint64) {
	for _, c := range s.changes {
		if c.Version <= from.version {
			continue
		}
		if from.loaded && s.partRows > 0 && len(list) == s.partRows {
			return list, list[len(list)-1].Version
		}
		list = append(list, c)
	}
	return list, s.version
}

// changesPosition is where an entry continues to read the changes of durable jobs.
type changesPosition struct {
	version uint64
	loaded  bool
}

// pollChanges reads the change feed of durable jobs at intervals and passes the changes to the
// ledger.
func (e *entryProcess) pollChanges(from changesPosition) {
	sim := e.sim
	sentAt := sim.now
	if sim.store.down || e.partitioned || e.storeDenied {
		e.deliver(storeTimeout, func() { e.pollChanges(from) })
		return
	}
	incarnation := e.incarnation
	if from.loaded && e.horizon.NeedsVersion(sim.now, time.Time{}) {
		sim.schedule(storeOneWay, func() {
			version := sim.store.version
			sim.schedule(storeOneWay, func() {
				e.handle(incarnation, func() {
					e.takeVersion(version, sentAt)
					e.pollChanges(from)
				})
			})
		})
		return
	}
	target := e.horizon.Target()
	sim.schedule(storeOneWay, func() {
		rows, next := sim.store.changesAfter(from)
		sim.schedule(storeOneWay, func() {
			e.handle(incarnation, func() {
				e.takeChanges(from, rows, next, sentAt)
				if len(rows) > 0 && next < target {
					e.pollChanges(changesPosition{version: next, loaded: true})
					return
				}
				e.deliver(changePollInterval, func() { e.pollChanges(changesPosition{version: next, loaded: true}) })
			})
		})
	})
}

// takeChanges passes the answer to a poll that was sent at sentAt to the ledger. The first poll takes all
// rows, of whatever number.
func (e *entryProcess) takeChanges(from changesPosition, rows []ledger.StoredRow, next uint64, sentAt time.Time) {
	now := e.sim.now
	switch {
	case e.sim.config.trustsParts, !from.loaded:
		e.horizon.Load(next, sentAt)
	case len(rows) == 0:
		e.horizon.TakeNone(next, sentAt)
	default:
		e.horizon.TakeChanges(next)
	}
	if from.loaded {
		e.ledger.ApplyChanges(now, rows, e.horizon.KnownAt())
	} else {
		e.ledger.LoadRows(now, rows, e.horizon.KnownAt(), next)
	}
	e.perform()
}

// takeVersion takes the newest version of the store, as told by a call that was sent at sentAt.
func (e *entryProcess) takeVersion(version uint64, sentAt time.Time) {
	if e.sim.config.trustsParts {
		return
	}
	e.horizon.TakeVersion(version, sentAt)
	e.ledger.Confirm(e.sim.now, e.horizon.KnownAt())
	e.perform()
}

// write sends a write to the store, and repeats it until an answer says whether it was applied.
func (e *entryProcess) write(write ledger.Write) {
	sim := e.sim
	retry := func() { e.deliver(storeTimeout, func() { e.write(write) }) }
	if sim.store.down || e.partitioned || e.storeDenied {
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
	incarnation, sentAt := e.incarnation, sim.now
	sim.schedule(storeOneWay, func() {
		result := sim.store.write(write)
		sim.schedule(storeOneWay, func() {
			e.handle(incarnation, func() {
				e.ledger.HandleWriteResult(sim.now, write, result)
				e.perform()
				if result.Status == ledger.Applied {
					e.takeVersion(result.Version, sentAt)
				}
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
			Job: o.Job, Queue: o.Queue, Version: o.Version, Spec: o.Row.Spec, Steps: o.Row.Steps, Epoch: o.Row.Epoch, StartedEpoch: o.Row.StartedEpoch, Progress: o.Row.Progress, SafeAt: o.SafeAt, OnHold: o.OnHold,
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
