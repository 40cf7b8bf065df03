// Package ledger decides, for one entry, which durable jobs there are, what the
// store shall keep of them, and which of them this entry runs.
//
// Each durable job is one row of the store, changed only under the condition that
// it still has the version last seen. The row names the entry that owns the job.
// All entries follow the changes of all rows, so that each can tell a job's state
// and take it over.
//
// Ownership. An entry runs a job it owns only as long as it has confirmed that: a
// look at the changes that was sent at a time and has been answered shows that
// nobody had taken the job before that time. The confirmation lasts OwnFor. An entry
// that takes a job over from one that may still be alive waits that long, and for
// the runs to end by their leases, before it starts anything.
//
// Edge cases:
//   - The answer to a write may be lost: the write is repeated under the same
//     condition, and a row that it made itself is known by its writer and number.
//   - A job is accepted only when its row is stored. If the store refuses the write
//     it is refused, truthfully; with an unknown fate it is neither.
//   - While the changes cannot be followed a job that is not known here may exist.
//
// The package is deterministic: events and time go in, an Output comes out.
package ledger

import (
	"sort"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// Settings of a ledger.
type Settings struct {
	Self runs.Entry
	// OwnFor is how long a confirmation of ownership lasts.
	OwnFor time.Duration
	// RunsOver is the time after which all runs of an entry that is gone are over.
	RunsOver time.Duration
	// SilentAfter is the silence after which another entry is taken to be gone.
	SilentAfter time.Duration
	// KeepEnded is how long the state of an ended job can be asked for.
	KeepEnded time.Duration
	// MaxOpen bounds the jobs of this entry that have not ended.
	MaxOpen int
}

// RequestID names one awaited answer.
type RequestID uint64

// Answer ends a request.
type Answer struct {
	Request RequestID
	Kind    errkind.Kind
}

// Own has the entry run a job.
type Own struct {
	Job    string
	Row    *Row
	SafeAt time.Time
}

// Stores tells that a record is in the store.
type Stores struct {
	Job string
	Seq uint64
}

// Output is what the ledger wants done.
type Output struct {
	Writes    []Write
	Answers   []Answer
	Owns      []Own
	Disowns   []string
	Cancelled []string
	Stored    []Stores
	// Ended are jobs that the store has as ended since the last call.
	Ended []string
	Notes []Note
}

// Note is one decision for the log.
type Note struct {
	Event string
	Job   string
	Queue string
	// Version is that of the row, Epoch that of its owner.
	Version, Epoch uint64
	Reason         string
	// Age is that of the newest confirmation.
	Age time.Duration
}

// job is what is known of one durable job.
type job struct {
	name    string
	row     *Row
	version uint64
	// inserting holds the requests that wait for the first write.
	inserting []RequestID
	// cancelling holds the requests that wait for a cancel.
	cancelling []RequestID
	// writing is the write under way; record the newest record that it does not have.
	writing *Write
	record  *batch.Record
	// wanted jobs are this entry's and are not run yet; former is set if runs of
	// another owner, or of an earlier time, may still be there, safeIn how long they may.
	wanted bool
	safeIn time.Duration
	// running jobs were handed to the entry.
	running bool
	// endedAt is when the job was first seen as ended.
	endedAt time.Time
}

// peer is another entry as it was last heard.
type peer struct {
	incarnation uint64
	heardAt     time.Time
}

// Core is the state of one entry's ledger.
type Core struct {
	settings Settings
	jobs     map[string]*job
	// active are the jobs that have not ended.
	active map[string]*job
	peers  map[string]peer
	// doubts are jobs that are not known here, with the time they were first asked for.
	doubts map[string]time.Time
	// loaded is set once all rows were read; confirmedAt is when the newest answered
	// look at the changes was sent.
	loaded      bool
	confirmedAt time.Time
	startedAt   time.Time
	walkedAt    time.Time
	sweptAt     time.Time
	lastWrite   uint64
	now         time.Time
	out         Output
}

// New returns an empty ledger.
func New(s Settings, now time.Time) *Core {
	return &Core{
		settings: s, jobs: make(map[string]*job), active: make(map[string]*job), peers: make(map[string]peer), doubts: make(map[string]time.Time),
		startedAt: now, now: now,
	}
}

// Flush returns what the events since the last call ask for.
func (c *Core) Flush() Output {
	out := c.out
	c.out = Output{}
	return out
}

// Open returns the number of jobs of this entry that have not ended.
func (c *Core) Open() int {
	n := 0
	for _, j := range c.active {
		if c.mine(j) {
			n++
		}
	}
	return n
}

// Empty reports whether no durable job is known, as far as the rows were read.
func (c *Core) Empty() bool { return c.loaded && len(c.jobs) == 0 }

// Unconfirmed reports whether jobs wait for a confirmation of ownership.
func (c *Core) Unconfirmed() bool {
	if c.confirmed() {
		return false
	}
	for _, j := range c.active {
		if c.mine(j) && j.version > 0 {
			return true
		}
	}
	return false
}

func (c *Core) mine(j *job) bool {
	return j.row != nil && j.row.Owner.Incarnation == c.settings.Self.Incarnation
}

// OwnedUntil is until when this entry may run what it owns.
func (c *Core) OwnedUntil() time.Time {
	if c.confirmedAt.IsZero() {
		return time.Time{}
	}
	return c.confirmedAt.Add(c.settings.OwnFor)
}

func (c *Core) confirmed() bool { return c.now.Before(c.OwnedUntil()) }

// Fresh reports whether every job that was accepted more than a time ago is known.
func (c *Core) Fresh(now time.Time, within time.Duration) bool {
	return c.loaded && now.Sub(c.confirmedAt) < within
}

// Accept takes a job in. It is answered when the job is stored, or cannot be.
func (c *Core) Accept(now time.Time, id RequestID, name string, row *Row) {
	c.now = now
	j := c.jobs[name]
	switch {
	case j != nil && j.version > 0:
		c.answer(id, errkind.OK)
	case j != nil:
		j.inserting = append(j.inserting, id)
	case !c.loaded:
		c.refuse(id, name, row.Queue, errkind.StoreUnavailable, "the stored jobs are not read yet")
	case c.Open() >= c.settings.MaxOpen:
		c.refuse(id, name, row.Queue, errkind.Overloaded, "too many open jobs")
	default:
		row.Owner = c.settings.Self
		row.Epoch = 1
		j = &job{name: name, row: row, inserting: []RequestID{id}}
		c.put(j)
		c.write(j, *row, 0, true)
	}
}

// Cancel ends a job. It is answered when that is stored.
func (c *Core) Cancel(now time.Time, id RequestID, name string) {
	c.now = now
	j := c.jobs[name]
	switch {
	case j == nil && !c.Fresh(now, c.settings.SilentAfter):
		c.answer(id, errkind.StoreUnavailable)
	case j == nil:
		c.answer(id, errkind.NotFound)
	case j.row.State == batch.JobCancelled:
		c.answer(id, errkind.OK)
	case j.row.State.Ended():
		c.answer(id, errkind.NotFound)
	default:
		j.cancelling = append(j.cancelling, id)
		c.next(j)
	}
}

// Record has the store keep what the entry knows of a job it runs.
func (c *Core) Record(now time.Time, r batch.Record) {
	c.now = now
	j := c.jobs[r.Job]
	if j == nil || !c.mine(j) {
		return
	}
	j.record = &r
	c.next(j)
}

// GaveUp handles that the entry has stopped a job, since its ownership was not
// confirmed in time.
func (c *Core) GaveUp(now time.Time, name string) {
	c.now = now
	j := c.jobs[name]
	if j == nil || !j.running {
		return
	}
	j.running = false
	j.record = nil
	j.wanted = true
	j.safeIn = c.settings.RunsOver
	c.note(j, "ownership not confirmed", "")
}

// State tells the state of a job.
func (c *Core) State(name string) (batch.JobState, bool) {
	j := c.jobs[name]
	if j == nil || j.version == 0 {
		return batch.JobQueued, false
	}
	return j.row.State, true
}

// Waiting counts the jobs of a queue of which no task is known to have begun.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.active {
		if j.version > 0 && j.row.Queue == queue && j.row.State == batch.JobQueued {
			n++
		}
	}
	return n
}

// Settle decides about the end of a run of a job that the entry does not run. It
// may be forgotten if nobody needs it, and is void if the job may have ended by
// another run. Otherwise its owner will ask for it.
//
// A job that is not known here may have been accepted elsewhere a moment ago. Its row
// was in the store before the run began, so that a look at the changes sent after the
// question shows it; until then there is no answer.
func (c *Core) Settle(now time.Time, end runs.End) (noted, void bool) {
	c.now = now
	j := c.jobs[end.Key.Job()]
	switch {
	case j == nil:
		return c.certainlyUnknown(end.Key.Job()), false
	case !j.row.State.Ended():
		return false, false
	case j.row.State == batch.JobCancelled, end.How != runs.Done && end.How != runs.Failed, j.row.counts(end.Key):
		return true, false
	}
	return false, true
}

// counts reports whether a run is the one by which its task ended.
func (r *Row) counts(key runs.Key) bool {
	for _, p := range r.Progress {
		if key.Task == batch.TaskName(key.Job(), p.Step, p.Index) {
			return key.Run == p.Run
		}
	}
	return false
}

// certainlyUnknown reports whether a job that is not known here is in no row.
func (c *Core) certainlyUnknown(name string) bool {
	asked, before := c.doubts[name]
	if !before {
		c.doubts[name] = c.now
		return false
	}
	return c.loaded && c.confirmedAt.After(asked)
}

func (c *Core) answer(id RequestID, kind errkind.Kind) {
	c.out.Answers = append(c.out.Answers, Answer{Request: id, Kind: kind})
}

func (c *Core) refuse(id RequestID, name, queue string, kind errkind.Kind, reason string) {
	c.answer(id, kind)
	c.out.Notes = append(c.out.Notes, Note{Event: "refuse", Job: name, Queue: queue, Reason: reason, Age: c.now.Sub(c.confirmedAt)})
}

func (c *Core) note(j *job, event, reason string) {
	c.out.Notes = append(c.out.Notes, Note{
		Event: event, Job: j.name, Queue: j.row.Queue, Version: j.version, Epoch: j.row.Epoch, Reason: reason,
		Age: c.now.Sub(c.confirmedAt),
	})
}

func (c *Core) put(j *job) {
	c.jobs[j.name] = j
	c.sort(j)
}

// sort keeps a job among the active ones until it has ended.
func (c *Core) sort(j *job) {
	if !j.row.State.Ended() {
		c.active[j.name] = j
		return
	}
	delete(c.active, j.name)
	if j.endedAt.IsZero() {
		j.endedAt = c.now
		c.out.Ended = append(c.out.Ended, j.name)
	}
}

func (c *Core) drop(j *job) {
	delete(c.jobs, j.name)
	delete(c.active, j.name)
}

// names returns the names of jobs in a fixed order.
func names(jobs map[string]*job) []string {
	list := make([]string, 0, len(jobs))
	for name := range jobs {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
