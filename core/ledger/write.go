package ledger

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
)

// write sends a new content of a job's row.
func (c *Core) write(j *job, row Row, seq uint64, urgent bool) {
	c.lastWrite++
	row.Writer = c.settings.Self.Incarnation
	row.Write = c.lastWrite
	if row.State.Ended() {
		row.Spec, row.Steps = "", nil
	}
	w := Write{Job: j.name, Expect: j.version, Row: &row, Urgent: urgent, id: c.lastWrite, seq: seq}
	j.writing = &w
	c.out.Writes = append(c.out.Writes, w)
}

// next sends the most important change that a job waits for. One write of a job is
// under way at a time, since the next one depends on its version.
func (c *Core) next(j *job) {
	if j.writing != nil || j.version == 0 {
		return
	}
	row := *j.row
	switch {
	case row.State.Ended():
		c.answerCancels(j)
	case len(j.cancelling) > 0:
		row.State = batch.JobCancelled
		c.write(j, row, 0, true)
	case j.record != nil && c.mine(j):
		row.State = j.record.State
		row.Progress = j.record.Progress
		c.write(j, row, j.record.Seq, false)
		j.record = nil
	}
}

// answerCancels answers those who wait for the end of a job that has ended.
func (c *Core) answerCancels(j *job) {
	kind := errkind.NotFound
	if j.row.State == batch.JobCancelled {
		kind = errkind.OK
	}
	for _, id := range j.cancelling {
		c.answer(id, kind)
	}
	j.cancelling = nil
}

// Written handles what became of a write.
func (c *Core) Written(now time.Time, w Write, o Outcome) {
	c.now = now
	j := c.jobs[w.Job]
	if j == nil || j.writing == nil || j.writing.id != w.id {
		return // the changes have shown it already
	}
	if o.Fate == Conflict && o.Current.Row != nil && c.made(w, o.Current.Row) {
		o = Outcome{Fate: Applied, Version: o.Current.Version}
	}
	switch o.Fate {
	case Applied:
		c.applied(j, w, o.Version)
	case Conflict:
		j.writing = nil
		c.conflicted(j, w, o.Current)
	case NotDone:
		j.writing = nil
		c.notDone(j, w)
	}
}

// made reports whether a row is that of a write.
func (c *Core) made(w Write, row *Row) bool {
	return w.Row != nil && row.Writer == w.Row.Writer && row.Write == w.Row.Write
}

// applied handles that a write is in the store.
func (c *Core) applied(j *job, w Write, version uint64) {
	j.writing = nil
	if w.Row == nil {
		c.drop(j)
		return
	}
	before := j.row
	inserted := j.version == 0
	j.row = w.Row
	j.version = version
	if w.seq > 0 {
		c.out.Stored = append(c.out.Stored, Stores{Job: j.name, Seq: w.seq})
	}
	switch {
	case inserted:
		c.inserted(j)
	case before.Epoch != w.Row.Epoch:
		c.note(j, "taken over", "")
		j.wanted = true
		c.handOver(j)
	}
	c.follow(j)
}

// inserted answers those who handed a job in, and has it run.
func (c *Core) inserted(j *job) {
	for _, id := range j.inserting {
		c.answer(id, errkind.OK)
	}
	j.inserting = nil
	c.note(j, "accept", "")
	j.wanted = true
	c.handOver(j)
}

// handOver has the entry run a job as soon as its ownership is confirmed.
func (c *Core) handOver(j *job) {
	if !j.wanted || !c.confirmed() || !c.mine(j) || j.row.State.Ended() {
		return
	}
	own := Own{Job: j.name, Row: j.row}
	if j.safeIn > 0 {
		own.SafeAt = c.now.Add(j.safeIn)
	}
	j.wanted = false
	j.safeIn = 0
	j.running = true
	c.out.Owns = append(c.out.Owns, own)
}

// follow acts on the present content of a job's row.
func (c *Core) follow(j *job) {
	c.sort(j)
	switch {
	case j.running && !c.mine(j):
		j.running = false
		j.record = nil
		c.note(j, "taken by another entry", j.row.Owner.Address)
		c.out.Disowns = append(c.out.Disowns, j.name)
	case j.running && j.row.State == batch.JobCancelled:
		j.running = false
		j.record = nil
		c.out.Cancelled = append(c.out.Cancelled, j.name)
	case j.row.State.Ended():
		j.running = false
	}
	if j.row.State.Ended() {
		j.wanted = false
		c.answerCancels(j)
	}
	c.next(j)
}

// conflicted handles that a write met a row it did not expect.
func (c *Core) conflicted(j *job, w Write, current Stored) {
	if current.Row == nil {
		// Removed, after its state was kept for long enough.
		c.answerCancels(j)
		c.drop(j)
		return
	}
	for _, id := range j.inserting {
		c.answer(id, errkind.OK) // another entry has accepted it
	}
	j.inserting = nil
	if !c.mine(j) {
		j.safeIn = 0 // it was meant for a takeover that another change forestalled
	}
	if w.seq > 0 && j.record == nil && w.Row.Owner == current.Row.Owner && !current.Row.State.Ended() {
		j.record = &batch.Record{Job: j.name, Seq: w.seq, State: w.Row.State, Progress: w.Row.Progress}
	}
	if current.Version > j.version {
		j.row = current.Row
		j.version = current.Version
	}
	c.follow(j)
}

// notDone handles that the store has refused a write.
func (c *Core) notDone(j *job, w Write) {
	for _, id := range j.inserting {
		c.refuse(id, j.name, w.Row.Queue, errkind.StoreUnavailable, "the store refuses writes")
	}
	for _, id := range j.cancelling {
		c.answer(id, errkind.StoreUnavailable)
	}
	j.inserting, j.cancelling = nil, nil
	if j.version == 0 {
		c.drop(j)
		return
	}
	if w.seq > 0 && j.record == nil {
		j.record = &batch.Record{Job: j.name, Seq: w.seq, State: w.Row.State, Progress: w.Row.Progress}
	}
}
