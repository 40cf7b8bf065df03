package ledger

import (
	"time"

	"peridotpick.example/common/errkind"
)

// An insert is the write of a row that must not exist. The store may carry it out at any later time: its
// connection was cut, or its answer was lost and it was repeated. By then another entry may have stored
// a row of the same job, as the job or as one that was cancelled, and that row may have been removed after its
// retention. The guard of the partition keeps such an insert out. It is a row of its own, written by each
// transaction that removes a job's row. An insert is conditional on the version of the guard.
//
// If the guard has moved, the insert is sent again under its new version, but only until insertLifetime has
// passed since the request arrived. Any row for that request is kept for longer. So it was not removed before
// the new version was read, and if it is removed later, the guard keeps the insert out.

// insertLifetime returns how long after the arrival of its request an insert may be sent. The other half of
// the retention is for requests that arrive here after the job has ended at another entry.
func (s *Settings) insertLifetime() time.Duration { return s.EndedRetention / 2 }

// partition returns the partition of a job's row.
func (c *Core) partition(job string) int {
	if c.settings.Partition == nil {
		return 0
	}
	return c.settings.Partition(job)
}

// TakeGuard takes the version of the guard of a partition, as read from the store. Earlier versions are ignored.
func (c *Core) TakeGuard(partition int, version uint64) {
	c.guards[partition] = max(c.guards[partition], version)
}

// sendInsert sends the first write of a job's row, for a request that arrived at requestedAt.
func (c *Core) sendInsert(j *job, row Row, requestedAt time.Time) {
	w := c.newWrite(j, row, 0, true)
	w.RepeatUntil = requestedAt.Add(c.settings.insertLifetime())
	c.sendGuarded(j, w)
}

// sendGuarded sends an insert under the newest known version of the guard, unless its time is over.
func (c *Core) sendGuarded(j *job, w Write) {
	if !c.now.Before(w.RepeatUntil) {
		c.giveUpInsert(j, w, "its request arrived too long ago")
		return
	}
	w.ExpectGuard = c.guards[c.partition(j.name)]
	c.send(j, w)
}

// handleGuardMoved handles an insert that has met another version of the guard. It keeps its number: an earlier
// attempt may have stored the row, which is recognised by it.
func (c *Core) handleGuardMoved(j *job, w Write, version uint64) {
	c.guards[c.partition(j.name)] = version
	if j.version > 0 {
		c.sendNextWrite(j) // the changes have shown a row of another entry
		return
	}
	c.sendGuarded(j, w)
}

// giveUpInsert gives an insert up. An attempt whose result is not known may still be carried out, as long as the
// guard has not moved; the changes show its row then.
func (c *Core) giveUpInsert(j *job, w Write, reason string) {
	if j.version > 0 {
		c.sendNextWrite(j)
		return
	}
	for _, ids := range [][]RequestID{j.insertRequests, j.cancelRequests} {
		for _, id := range ids {
			c.refuse(id, j.name, w.Row.Queue, errkind.FateUnknown, "the insert is given up: "+reason)
		}
	}
	c.logDecision(j, "insert given up", reason)
	c.removeJob(j)
}
