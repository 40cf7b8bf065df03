package ledger

import (
	"hash/fnv"
	"sort"
	"time"

	"peridotpick.example/wire/runs"
)

// LoadRows takes all rows that the store had at some version from position on. With them all rows are known that
// were stored before knownAt. A job that is known here without a row among them was removed.
func (c *Core) LoadRows(now time.Time, rows []StoredRow, knownAt time.Time, position uint64) {
	c.now = now
	clear(c.unreadable)
	stored := make(map[string]bool, len(rows))
	for i := range rows {
		stored[rows[i].Job] = true
	}
	for _, name := range sortedNames(c.jobs) {
		if j := c.jobs[name]; !stored[name] && j.version > 0 && j.version <= position {
			c.handleRemoved(j)
		}
	}
	c.loaded = true
	c.ApplyChanges(now, rows, knownAt)
}

// ApplyChanges takes rows that have changed. With them all rows are known that were stored before
// knownAt, as a Horizon tells. That confirms the ownership of all jobs that no row shows as taken by
// another entry.
func (c *Core) ApplyChanges(now time.Time, rows []StoredRow, knownAt time.Time) {
	c.now = now
	for i := range rows {
		c.newestVersion = max(c.newestVersion, rows[i].Version)
		c.applyRow(&rows[i])
	}
	c.confirmedAt = later(c.confirmedAt, knownAt)
	c.startConfirmed()
}

// Confirm takes a later time before which all known rows were stored, without new rows.
func (c *Core) Confirm(now, knownAt time.Time) {
	c.now = now
	before := c.isConfirmed()
	c.confirmedAt = later(c.confirmedAt, knownAt)
	if !before && c.isConfirmed() {
		c.startConfirmed()
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// startConfirmed starts the jobs that have waited for the confirmation of ownership.
func (c *Core) startConfirmed() {
	for _, name := range sortedNames(c.active) {
		c.startIfConfirmed(c.active[name])
		if c.active[name].needsEpoch {
			c.sendNextWrite(c.active[name])
		}
	}
}

func (c *Core) applyRow(s *StoredRow) {
	j := c.jobs[s.Job]
	if s.Unreadable {
		c.applyUnreadable(j, s)
		return
	}
	if s.Version > c.unreadable[s.Job] {
		delete(c.unreadable, s.Job)
	}
	if s.Row == nil {
		if j != nil && j.version > 0 && s.Version > j.version {
			c.handleRemoved(j)
		}
		return
	}
	if j == nil {
		delete(c.unknownSince, s.Job)
		j = &job{name: s.Job, row: s.Row, version: s.Version}
		c.addJob(j)
		// This entry has written the row, but the request for that write no longer waits, so that
		// nothing else starts the job.
		j.needsStart = c.isOwned(j)
		return
	}
	if s.Version <= j.version {
		return
	}
	if j.pendingWrite != nil && c.isFromWrite(*j.pendingWrite, s.Row) {
		c.handleApplied(j, *j.pendingWrite, s.Version)
		return
	}
	if j.version == 0 {
		c.handleForestalled(j, s)
		return
	}
	j.row = s.Row
	j.version = s.Version
	c.handleRowChange(j)
}

// applyUnreadable handles a row that cannot be decoded. Whoever has written it owns the job.
func (c *Core) applyUnreadable(j *job, s *StoredRow) {
	if s.Version <= c.unreadable[s.Job] || j != nil && s.Version <= j.version {
		return
	}
	c.unreadable[s.Job] = s.Version
	c.out.Decisions = append(c.out.Decisions, Decision{Event: "unreadable", Job: s.Job, Version: s.Version, Reason: "its row cannot be decoded here", ConfirmationAge: c.now.Sub(c.confirmedAt)})
	if j != nil && j.version > 0 {
		c.handleRemoved(j)
	}
}

// RecordAlive records that other entries are alive.
func (c *Core) RecordAlive(now time.Time, alive []runs.Entry) {
	c.now = now
	for _, e := range alive {
		if e.Address != c.settings.Self.Address {
			c.peers[e.Address] = peer{incarnation: e.Incarnation, heardAt: now}
		}
	}
}

const (
	// scanInterval is the time between two scans of the active jobs.
	scanInterval = 200 * time.Millisecond
	// takeoverDelayPerRank is how long an entry waits for each entry that comes before it in the
	// order in which entries take a job over.
	takeoverDelayPerRank = 1500 * time.Millisecond
	// holdTakeoverDelay is how much longer an entry waits that can only keep the job on hold. An entry that has
	// the queue comes first, and a new configuration is in force at most entries by then.
	holdTakeoverDelay = 3 * time.Second
	// sweepInterval is the time between two searches for rows to remove, maxRemovalsPerSweep the
	// number of rows that one search removes at most.
	sweepInterval = 5 * time.Second
	// unknownRetention is how long a question about an unknown job is remembered after it was first
	// asked. Agents repeat a question after a far shorter time.
	unknownRetention    = 30 * time.Second
	maxRemovalsPerSweep = 200
)

// Tick handles the passing of time: it takes over jobs of entries that are gone, sends writes that
// are due again, and removes old rows.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if !c.loaded || now.Sub(c.scannedAt) < scanInterval {
		return
	}
	c.scannedAt = now
	if c.isConfirmed() {
		for _, name := range sortedNames(c.active) {
			c.takeOver(c.active[name])
			c.sendNextWrite(c.active[name])
		}
	}
	if now.Sub(c.sweptAt) >= sweepInterval {
		c.sweptAt = now
		c.removeEndedRows()
		c.forgetUnknown()
	}
}

// takeOver takes a job over if its owner is gone.
func (c *Core) takeOver(j *job) {
	if c.isOwned(j) || j.pendingWrite != nil || j.version == 0 {
		return
	}
	queue, holdReason := c.queueOf(j)
	if queue == nil {
		return
	}
	delay := time.Duration(c.takeoverRank(j.name)) * takeoverDelayPerRank
	if holdReason != "" {
		delay += holdTakeoverDelay
	}
	goneSince, certain := c.goneSince(j.row.Owner)
	if goneSince.IsZero() || c.now.Sub(goneSince) < delay {
		return
	}
	reason := "its process is gone"
	if !certain {
		reason = "its entry is silent"
	}
	c.logDecision(j, "take over", reason)
	c.acquire(j)
}

// goneSince returns since when an owner is gone; zero if it is not. That is certain if another
// process answers at the owner's address. Otherwise the owner has only been silent for longer than
// SilenceTimeout and may still be alive.
func (c *Core) goneSince(owner runs.Entry) (since time.Time, certain bool) {
	if owner.Address == c.settings.Self.Address {
		return c.startedAt, true
	}
	p, known := c.peers[owner.Address]
	if known && p.incarnation != owner.Incarnation {
		return p.heardAt, true
	}
	last := c.startedAt
	if known {
		last = p.heardAt
	}
	if c.now.Sub(last) < c.settings.SilenceTimeout {
		return time.Time{}, false
	}
	return last.Add(c.settings.SilenceTimeout), false
}

// takeoverRank returns this entry's position in the order in which the live entries take a job
// over; 0 is the first.
func (c *Core) takeoverRank(name string) int {
	alive := []string{c.settings.Self.Address}
	for address, p := range c.peers {
		if c.now.Sub(p.heardAt) < c.settings.SilenceTimeout {
			alive = append(alive, address)
		}
	}
	sort.Slice(alive, func(i, k int) bool { return rendezvousScore(name, alive[i]) < rendezvousScore(name, alive[k]) })
	for i, address := range alive {
		if address == c.settings.Self.Address {
			return i
		}
	}
	return 0
}

// rendezvousScore returns the score of an entry for a job. Each job has an order of entries of its
// own.
func rendezvousScore(name, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + address)) // never fails
	return h.Sum64()
}

// forgetUnknown removes the questions about unknown jobs that are older than unknownRetention.
func (c *Core) forgetUnknown() {
	for name, asked := range c.unknownSince {
		if c.now.Sub(asked) > unknownRetention {
			delete(c.unknownSince, name)
		}
	}
}

// removeEndedRows removes the rows of jobs whose retention has passed. Only the entry that is first
// in the takeover order of a job removes its row.
func (c *Core) removeEndedRows() {
	removed := 0
	for _, name := range sortedNames(c.jobs) {
		j := c.jobs[name]
		if j.endedAt.IsZero() || c.now.Sub(j.endedAt) < c.settings.EndedRetention || j.pendingWrite != nil {
			continue
		}
		if removed == maxRemovalsPerSweep || c.takeoverRank(name) != 0 {
			continue
		}
		removed++
		c.lastWriteID++
		c.send(j, Write{Job: name, ExpectVersion: j.version, id: c.lastWriteID})
	}
}
