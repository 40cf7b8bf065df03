package ledger

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// sendWrite sends a write of a job's row. seq is the number of the record that the row contains; 0
// if it contains no new one. Rows of ended jobs are stored without what it takes to run them.
func (c *Core) sendWrite(j *job, row Row, seq uint64, urgent bool) {
	c.send(j, c.newWrite(j, row, seq, urgent))
}

// newWrite returns a write of a job's row under the next number.
func (c *Core) newWrite(j *job, row Row, seq uint64, urgent bool) Write {
	c.lastWriteID++
	row.Writer = c.settings.Self.Incarnation
	row.Write = c.lastWriteID
	row.fit(c.settings.MaxRowBytes)
	if row.State.Ended() {
		row.Spec, row.Steps, row.Terms = "", nil, nil
	}
	return Write{Job: j.name, ExpectVersion: j.version, Row: &row, Urgent: urgent, id: c.lastWriteID, seq: seq}
}

// send makes a write the one in flight of its job.
func (c *Core) send(j *job, w Write) {
	j.pendingWrite = &w
	c.out.Writes = append(c.out.Writes, w)
}

// sendNextWrite sends the most urgent pending change of a job. There is at most one write of a job
// in flight, because each write depends on the version that the previous one has made.
func (c *Core) sendNextWrite(j *job) {
	if j.pendingWrite != nil || j.version == 0 {
		return
	}
	row := *j.row
	switch {
	case row.State.Ended():
		c.answerCancels(j)
	case len(j.cancelRequests) > 0:
		row.State = batch.JobCancelled
		c.sendWrite(j, row, 0, true)
	case j.needsEpoch && c.isOwned(j) && c.isConfirmed():
		c.acquire(j)
	case j.pendingRecord != nil && c.isOwned(j):
		row.State = j.pendingRecord.State
		row.StartedEpoch = j.pendingRecord.StartedEpoch
		row.Progress = j.pendingRecord.Progress
		c.sendWrite(j, row, j.pendingRecord.Seq, false)
		j.pendingRecord = nil
	}
}

// acquire makes this entry the owner of a job under the next epoch. A job without a further epoch
// fails.
func (c *Core) acquire(j *job) {
	row := *j.row
	if row.Epoch >= batch.MaxEpoch {
		c.logDecision(j, "fail", "its epochs are used up")
		row.State = batch.JobFailed
		c.sendWrite(j, row, 0, false)
		return
	}
	row.LastStarter = row.starter()
	row.Owner = c.settings.Self
	row.Epoch++
	j.startDelay = c.startDelay(row.LastStarter)
	c.sendWrite(j, row, 0, false)
}

// startDelay returns how long runs of an entry that no longer owns a job may still go on; the entry
// is nil if it is not known. An entry that may be alive runs the job until its confirmation of
// ownership expires.
func (c *Core) startDelay(starter *runs.Entry) time.Duration {
	if starter != nil {
		if _, certain := c.goneSince(*starter); certain {
			return c.settings.RunExpiry
		}
	}
	return c.settings.OwnershipTTL + c.settings.RunExpiry
}

// logStartDelay logs how long an owner waits before it starts a job, and for whose runs.
func (c *Core) logStartDelay(j *job) {
	d := c.newDecision(j, "taken over", "runs of an unknown owner may go on")
	if j.row.LastStarter != nil {
		d.Reason = "runs of " + j.row.LastStarter.Address + " may go on"
	}
	d.Wait = j.startDelay
	c.out.Decisions = append(c.out.Decisions, d)
}

// answerCancels answers the requests to cancel a job that has ended.
func (c *Core) answerCancels(j *job) {
	kind := errkind.NotFound
	switch {
	case len(j.cancelRequests) > 0 && j.row.Unstored:
		c.logDenial(j.name, "cancelled by its caller")
	case j.row.State == batch.JobCancelled:
		kind = errkind.OK
	}
	for _, id := range j.cancelRequests {
		c.answer(id, kind)
	}
	j.cancelRequests = nil
}

// HandleWriteResult handles the result of a write.
func (c *Core) HandleWriteResult(now time.Time, w Write, result WriteResult) {
	c.now = now
	j := c.jobs[w.Job]
	if j == nil || j.pendingWrite == nil || j.pendingWrite.id != w.id {
		return // the changes have already shown the result
	}
	if result.Status == Conflict && result.Current.Row != nil && c.isFromWrite(w, result.Current.Row) {
		result = WriteResult{Status: Applied, Version: result.Current.Version}
	}
	switch result.Status {
	case Applied:
		c.handleApplied(j, w, result.Version)
	case Conflict:
		j.pendingWrite = nil
		c.handleConflict(j, w, result.Current)
	case Rejected:
		j.pendingWrite = nil
		c.handleRejected(j, w)
	case Invalid:
		j.pendingWrite = nil
		c.logDecision(j, "write invalid", "the store does not take the row")
		w.seq = 0 // the record is not repeated
		c.handleRejected(j, w)
	case GuardMoved:
		j.pendingWrite = nil
		c.handleGuardMoved(j, w, result.Guard)
	case Abandoned:
		j.pendingWrite = nil
		c.giveUpInsert(j, w, "its result is not known")
	}
}

// isFromWrite reports whether a row was stored by a write.
func (c *Core) isFromWrite(w Write, row *Row) bool {
	return w.Row != nil && row.Writer == w.Row.Writer && row.Write == w.Row.Write
}

// handleApplied handles a write that the store has carried out.
func (c *Core) handleApplied(j *job, w Write, version uint64) {
	j.pendingWrite = nil
	if w.Row == nil {
		c.TakeGuard(c.partition(j.name), version)
		c.removeJob(j)
		return
	}
	before := j.row
	inserted := j.version == 0
	j.row = w.Row
	j.version = version
	if w.seq > 0 {
		c.out.StoredRecords = append(c.out.StoredRecords, StoredRecord{Job: j.name, Seq: w.seq})
	}
	switch {
	case inserted:
		c.handleInserted(j)
	case w.Row.State == batch.JobCancelled:
		c.tellCancelled(j)
	case before.Epoch != w.Row.Epoch:
		c.logStartDelay(j)
		j.needsStart, j.needsEpoch = true, false
		c.startIfConfirmed(j)
	}
	c.handleRowChange(j)
}

// handleInserted handles the first stored row of a job: the job is accepted and is to run.
func (c *Core) handleInserted(j *job) {
	c.answerInserts(j)
	if j.row.Unstored {
		return
	}
	c.logDecision(j, "accept", "")
	j.needsStart = true
	c.startIfConfirmed(j)
}

// handleForestalled handles a row that another entry has stored while the insert of the same job waits for
// its result. That insert will meet a conflict.
func (c *Core) handleForestalled(j *job, s *StoredRow) {
	j.row, j.version = s.Row, s.Version
	c.answerInserts(j)
	j.needsStart = c.isOwned(j)
	c.logDecision(j, "accepted by another entry", s.Row.Owner.Address)
	c.handleRowChange(j)
}

// answerInserts answers the requests that wait until the job is stored.
func (c *Core) answerInserts(j *job) {
	for _, id := range j.insertRequests {
		if j.row.Unstored {
			c.refuse(id, j.name, j.row.Queue, errkind.CanceledUnstored, "it was cancelled before")
		} else {
			c.answer(id, errkind.OK)
		}
	}
	j.insertRequests = nil
}

// startIfConfirmed hands a job to the entry's core if it still has to be started and its ownership is
// confirmed; on hold if its queue is not configured.
func (c *Core) startIfConfirmed(j *job) {
	if !j.needsStart || !c.isConfirmed() || !c.isOwned(j) || j.row.State.Ended() {
		return
	}
	queue, reason := c.queueOf(j)
	if reason != "" && j.waitReason != reason {
		c.logDecision(j, "wait", reason)
	}
	j.waitReason, j.onHold = reason, reason != ""
	if queue == nil {
		return
	}
	acquired := Acquisition{Job: j.name, Row: j.row, Queue: queue, Version: c.catalog.Version, OnHold: j.onHold}
	if j.startDelay > 0 {
		acquired.SafeAt = c.now.Add(j.startDelay)
	}
	j.needsStart = false
	j.startDelay = 0
	j.running = true
	c.out.Acquired = append(c.out.Acquired, acquired)
}

// handleRowChange acts on a new content of a job's row.
func (c *Core) handleRowChange(j *job) {
	c.updateActive(j)
	switch {
	case j.running && !c.isOwned(j):
		j.running = false
		j.pendingRecord = nil
		c.logDecision(j, "taken by another entry", j.row.Owner.Address)
		c.out.Lost = append(c.out.Lost, j.name)
	case j.running && j.row.State == batch.JobCancelled:
		j.running = false
		j.pendingRecord = nil
		c.out.Cancelled = append(c.out.Cancelled, j.name)
	case j.row.State.Ended():
		j.running = false
	}
	if j.row.State.Ended() {
		j.needsStart, j.needsEpoch = false, false
		c.answerCancels(j)
	}
	c.sendNextWrite(j)
}

// handleConflict handles a write that has met another version of the row than it expected.
func (c *Core) handleConflict(j *job, w Write, current StoredRow) {
	if current.Row == nil {
		c.handleRemoved(j)
		return
	}
	if !c.isOwned(j) {
		j.startDelay = 0 // the delay belongs to a takeover that another entry's write has forestalled
	}
	if w.Row != nil && w.Row.Owner == current.Row.Owner && !current.Row.State.Ended() {
		j.repeatRecord(w)
	}
	if current.Version > j.version {
		j.row = current.Row
		j.version = current.Version
	}
	c.answerInserts(j)
	c.handleRowChange(j)
}

// handleRemoved handles that the row of a job was removed, after its retention. A write in flight meets a conflict.
func (c *Core) handleRemoved(j *job) {
	c.answerCancels(j)
	if j.running {
		c.out.Lost = append(c.out.Lost, j.name)
	}
	if j.endedAt.IsZero() {
		c.logDecision(j, "removed", "it ended while its changes were not read")
		c.out.Ended = append(c.out.Ended, j.name)
	}
	c.removeJob(j)
}

// handleRejected handles a write that the store has rejected.
func (c *Core) handleRejected(j *job, w Write) {
	for _, id := range j.insertRequests {
		c.refuse(id, j.name, w.Row.Queue, errkind.StoreUnavailable, "the store refuses writes")
	}
	for _, id := range j.cancelRequests {
		c.answer(id, errkind.StoreUnavailable)
	}
	j.insertRequests, j.cancelRequests = nil, nil
	if j.version == 0 {
		c.removeJob(j)
		return
	}
	j.repeatRecord(w)
}

// repeatRecord has the record of a write that was not carried out written again, unless there is a
// newer one or the job was interrupted since: its records are numbered anew then.
func (j *job) repeatRecord(w Write) {
	if w.seq == 0 || j.pendingRecord != nil || !j.running {
		return
	}
	j.pendingRecord = &batch.Record{Job: j.name, Seq: w.seq, State: w.Row.State, StartedEpoch: w.Row.StartedEpoch, Progress: w.Row.Progress}
}
