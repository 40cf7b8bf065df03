// Package ledger is the decision core for durable jobs in one entry: it tracks all durable jobs,
// decides what is written to the store about them, and which of them this entry runs.
//
// Each durable job is one row in the store. A row is only written on the condition that it still
// has the version that the writer last read. The row names the entry that owns the job. Every entry
// reads the changes of all rows, so each one knows the state of every job and can take it over.
//
// Ownership. An entry runs a job only while its ownership of that job is confirmed. Once all rows are
// known that were stored before a time, no other entry can have taken the job before it; Horizon
// decides when they are. A confirmation is valid for Settings.OwnershipTTL, counted from that time. An
// entry that takes a job over from an owner that may still be alive waits for that time, and for the
// leases of the owner's runs to expire, before it starts any task. Its row then tells that it may have
// started some. If it loses the job before that, the next owner waits for the runs of the one before it
// instead (Row.LastStarter).
//
// Edge cases:
//   - The answer to a write may be lost. The write is repeated under the same condition, and a row
//     that an earlier attempt has written is recognised by its writer and write number.
//   - A job is accepted only once its row is stored. If the store rejects the write, the job is
//     refused and certainly not stored. While the result of the write is unknown, the job is
//     neither accepted nor refused.
//   - While the changes cannot be read, a job that is unknown here may still exist. So does one whose row
//     cannot be decoded here, as later versions may write it.
//   - The first write of a row may be carried out late, after the row of that job was removed. The guard of
//     the partition keeps it out.
//   - A job runs to its end although its queue was removed: its row has what it needs of it. Rows of
//     earlier versions do not. Such a job is on hold until the queue is configured: its ends are stored,
//     and nothing is started. An entry without the queue leaves it to others for a while.
//
// The package is deterministic: events and the current time are its input, an Output is its result.
package ledger

import (
	"sort"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// Settings configures a Core.
type Settings struct {
	Self runs.Entry
	// OwnershipTTL is how long a confirmation of ownership is valid, counted from the time before
	// which all rows are known.
	OwnershipTTL time.Duration
	// RunExpiry is the time after which all runs of an entry that is gone have ended.
	RunExpiry time.Duration
	// SilenceTimeout is how long another entry may be silent before it counts as gone.
	SilenceTimeout time.Duration
	// EndedRetention is how long the row of an ended job is kept, so that callers can ask for its
	// state.
	EndedRetention time.Duration
	// MaxRowBytes is the greatest size of a row that the store takes; 0 if there is no limit.
	MaxRowBytes int
	// MaxOpenJobs limits the number of jobs of this entry that have not ended.
	MaxOpenJobs int
	// Partition returns the partition of a job's row; nil if there is only one.
	Partition func(job string) int
}

// RequestID identifies a request that waits for an Answer.
type RequestID uint64

// Answer is the result of a request.
type Answer struct {
	Request RequestID
	Kind    errkind.Kind
}

// Acquisition tells the entry to run a job that it owns.
type Acquisition struct {
	Job string
	Row *Row
	// Queue is the configuration of the job's queue, Version that of the configuration in force.
	Queue   *catalog.Queue
	Version uint64
	// OnHold is set if the queue is not known, so that nothing of the job may be started. Ends of runs that previous
	// owners have started are taken all the same.
	OnHold bool
	// SafeAt is when all runs that previous owners, or this entry before it lost its confirmation,
	// may have started have certainly ended; zero if there are none.
	SafeAt time.Time
}

// StoredRecord reports that the record with number Seq of a job is stored.
type StoredRecord struct {
	Job string
	Seq uint64
}

// Output is what the caller has to carry out after an event.
type Output struct {
	Writes  []Write
	Answers []Answer
	// Acquired lists the jobs that the entry's core has to run.
	Acquired []Acquisition
	// Lost lists the jobs that it has to stop because another entry has taken them over.
	Lost []string
	// Cancelled lists the jobs that it has to stop because they are cancelled.
	Cancelled []string
	// StoredRecords lists the records that are stored since the last call.
	StoredRecords []StoredRecord
	// Ended lists the jobs that have ended in the store since the last call.
	Ended []string
	// CancelNotices lists cancelled jobs of other entries, which these are told.
	CancelNotices []runs.CancelledJob
	Decisions     []Decision
}

// Decision is a decision to be logged and counted.
type Decision struct {
	Event string
	Job   string
	Queue string
	// Version is the version of the row, or of the newest row that was read if the job is unknown. Epoch
	// is the epoch of its owner.
	Version, Epoch uint64
	Reason         string
	// ConfirmationAge is the time since the newest confirmation of ownership.
	ConfirmationAge time.Duration
	// Wait is how long a new owner waits before it starts the job.
	Wait time.Duration
}

// job is what this entry knows of one durable job.
type job struct {
	name    string
	row     *Row
	version uint64
	// insertRequests are the requests that wait for the first write of the row.
	insertRequests []RequestID
	// cancelRequests are the requests that wait until the job is cancelled.
	cancelRequests []RequestID
	// pendingWrite is the write in flight; nil if there is none. pendingRecord is the newest record
	// that is not part of a write yet.
	pendingWrite  *Write
	pendingRecord *batch.Record
	// needsStart is set while this entry owns the job and has not handed it to its core yet.
	// startDelay is how long runs of previous owners, or runs of this one from before the job was
	// interrupted, may still go on.
	needsStart bool
	startDelay time.Duration
	// waitReason is why nothing of it may be started although ownership is confirmed; empty if it may, or if
	// that was not tried. onHold is set if it was handed over all the same.
	waitReason string
	onHold     bool
	// needsEpoch is set while this entry owns the job but has run it under the present epoch before.
	needsEpoch bool
	// running is set while the entry's core runs the job.
	running bool
	// cancelTold is set once other entries were told that the job is cancelled.
	cancelTold bool
	// endedAt is when the job was first seen as ended; zero if it has not ended.
	endedAt time.Time
}

// peer is another entry, as of the last time it was seen alive.
type peer struct {
	incarnation uint64
	heardAt     time.Time
}

// Core is the ledger of one entry.
type Core struct {
	settings Settings
	jobs     map[string]*job
	// active holds the jobs that have not ended.
	active map[string]*job
	// unstored holds the jobs that were cancelled without a row.
	unstored map[string]bool
	// unreadable holds the versions of the rows that cannot be decoded here. Their jobs are not known here,
	// but they exist.
	unreadable map[string]uint64
	// catalog is the configuration in force; nil if there is none yet.
	catalog *catalog.Catalog
	peers   map[string]peer
	// unknownSince has, for each job that was asked for and is not known here, the time of the
	// first question.
	unknownSince map[string]time.Time
	// loaded is set once all rows were read. All rows that were stored before confirmedAt are known.
	loaded      bool
	confirmedAt time.Time
	// newestVersion is the newest version of a row that was read.
	newestVersion uint64
	startedAt     time.Time
	scannedAt     time.Time
	sweptAt       time.Time
	// unstoredAllowed is the number of jobs without a row that may be cancelled at unstoredAt.
	unstoredAllowed float64
	unstoredAt      time.Time
	// guards has the newest known version of the guard of each partition.
	guards      map[int]uint64
	lastWriteID uint64
	now         time.Time
	out         Output
}

// New returns a ledger without jobs.
func New(s Settings, now time.Time) *Core {
	return &Core{
		settings: s, jobs: make(map[string]*job), active: make(map[string]*job), unstored: make(map[string]bool), unreadable: make(map[string]uint64), peers: make(map[string]peer), unknownSince: make(map[string]time.Time),
		startedAt: now, now: now, unstoredAllowed: unstoredBurst, unstoredAt: now, guards: make(map[int]uint64),
	}
}

// Flush returns what has to be carried out for the events since the last call.
func (c *Core) Flush() Output {
	out := c.out
	c.out = Output{}
	return out
}

// OpenJobs returns the number of jobs owned by this entry that have not ended.
func (c *Core) OpenJobs() int {
	n := 0
	for _, j := range c.active {
		if c.isOwned(j) {
			n++
		}
	}
	return n
}

// WaitingJobs returns the number of jobs owned by this entry that wait for their queue to be configured.
func (c *Core) WaitingJobs() int {
	n := 0
	for _, j := range c.active {
		if c.isOwned(j) && j.waitReason != "" {
			n++
		}
	}
	return n
}

// SetCatalog puts a configuration in force. It starts the jobs that have waited for their queue.
func (c *Core) SetCatalog(now time.Time, config *catalog.Catalog) {
	c.now = now
	c.catalog = config
	for _, name := range sortedNames(c.active) {
		c.endHold(c.active[name])
		c.startIfConfirmed(c.active[name])
	}
}

// endHold has a job that is on hold start again under the next epoch if its queue is configured now.
func (c *Core) endHold(j *job) {
	if !j.running || !j.onHold {
		return
	}
	if _, reason := c.queueOf(j); reason == "" {
		c.out.Lost = append(c.out.Lost, j.name)
		c.interrupt(j.name, "queue configured")
	}
}

// queueOf returns the configuration of a job's queue, or the reason why nothing of the job may be started. If the
// configuration in force does not have the queue, it is the one under which the job was submitted.
func (c *Core) queueOf(j *job) (*catalog.Queue, string) {
	if c.catalog == nil {
		return nil, "no configuration"
	}
	if q := c.catalog.QueueByName(j.row.Queue); q != nil {
		return q, ""
	}
	if j.row.Terms != nil {
		return j.row.Terms.queue(j.row.Queue), ""
	}
	return &catalog.Queue{Name: j.row.Queue, MaxAttempts: maxAttempts, Stretch: 1}, "its queue is not configured"
}

// IsEmpty reports whether all rows were read and there is no durable job, but for those that were
// cancelled without a row.
func (c *Core) IsEmpty() bool { return c.loaded && len(c.jobs) == len(c.unstored) }

// HasUnconfirmed reports whether this entry owns jobs but cannot run them because its ownership is
// not confirmed.
func (c *Core) HasUnconfirmed() bool {
	if c.isConfirmed() {
		return false
	}
	for _, j := range c.active {
		if c.isOwned(j) && j.version > 0 {
			return true
		}
	}
	return false
}

func (c *Core) isOwned(j *job) bool {
	return j.row != nil && j.row.Owner.Incarnation == c.settings.Self.Incarnation
}

// OwnedUntil returns the end of the newest confirmation of ownership; zero if there was none.
func (c *Core) OwnedUntil() time.Time {
	if c.confirmedAt.IsZero() {
		return time.Time{}
	}
	return c.confirmedAt.Add(c.settings.OwnershipTTL)
}

// ConfirmedAt returns a time of which all rows stored before it are known; zero if there is none.
func (c *Core) ConfirmedAt() time.Time { return c.confirmedAt }

func (c *Core) isConfirmed() bool { return c.now.Before(c.OwnedUntil()) }

// SaveRecord stores the progress of a job that the entry runs.
func (c *Core) SaveRecord(now time.Time, r batch.Record) {
	c.now = now
	j := c.jobs[r.Job]
	if j == nil || !c.isOwned(j) {
		return
	}
	j.pendingRecord = &r
	c.sendNextWrite(j)
}

// HandleOwnershipExpired handles that the entry's core has stopped a job because its ownership was
// not confirmed in time. The job starts again once it is.
func (c *Core) HandleOwnershipExpired(now time.Time, name string) {
	c.now = now
	c.interrupt(name, "ownership not confirmed")
}

// HandleOutOfNumbers handles that the entry's core has stopped a job because the run numbers of its
// epoch are used up.
func (c *Core) HandleOutOfNumbers(now time.Time, name string) {
	c.now = now
	c.interrupt(name, "run numbers used up")
}

// interrupt has a job that the entry's core has stopped start again under the next epoch.
func (c *Core) interrupt(name, event string) {
	j := c.jobs[name]
	if j == nil || !j.running {
		return
	}
	j.running = false
	j.pendingRecord = nil
	j.needsEpoch = true
	c.logDecision(j, event, "")
	c.sendNextWrite(j)
}

func (c *Core) logDecision(j *job, event, reason string) {
	c.out.Decisions = append(c.out.Decisions, c.newDecision(j, event, reason))
}

func (c *Core) newDecision(j *job, event, reason string) Decision {
	return Decision{
		Event: event, Job: j.name, Queue: j.row.Queue, Version: j.version, Epoch: j.row.Epoch, Reason: reason,
		ConfirmationAge: c.now.Sub(c.confirmedAt),
	}
}

func (c *Core) addJob(j *job) {
	c.jobs[j.name] = j
	c.updateActive(j)
}

// updateActive adds a job to the active ones, or removes it if it has ended.
func (c *Core) updateActive(j *job) {
	if !j.row.State.Ended() {
		c.active[j.name] = j
		return
	}
	delete(c.active, j.name)
	if j.row.Unstored {
		c.unstored[j.name] = true
	}
	if j.endedAt.IsZero() {
		j.endedAt = c.now
		c.out.Ended = append(c.out.Ended, j.name)
	}
}

func (c *Core) removeJob(j *job) {
	delete(c.jobs, j.name)
	delete(c.active, j.name)
	delete(c.unstored, j.name)
}

// sortedNames returns the names of jobs in alphabetical order, so that decisions are deterministic.
func sortedNames(jobs map[string]*job) []string {
	list := make([]string, 0, len(jobs))
	for name := range jobs {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
