// Package runs defines the messages between entries and the agents that run their tasks on
// leased workers, the gossip messages between entries, and the drpc service that carries both.
//
// An entry serves jobs of callers. A job consists of tasks, and each start of a task is a run.
// An agent runs beside one backend server, the worker, and has it execute runs.
//
// An agent opens a link to each of several entries. Both ends first identify themselves. Then
// the entry sends starts and stops; the agent sends the ends of runs and the load of its worker.
//
// Leases. An agent runs an entry's tasks only while it holds a lease of that entry. Each message
// of the agent carries a reading of the agent's clock. Each message of the entry returns the
// newest reading plus the time that has passed at the entry since that reading arrived, which is
// never later than the agent's clock at the time of sending. The lease counts from the returned
// reading. A message that is delayed on the way therefore extends the lease by little or not at
// all, and the agent recognises an old order by its own clock.
//
// Reconnecting. After each hello the entry lists the runs that it believes the agent to have
// (ToAgent.Owned). The agent adopts those that run and answers the others with an end. A broken
// link therefore stops no run before the lease has expired.
//
// Reservations. A task for which no worker is known to be free waits in its entry. The entry reserves
// resources for it with several agents; the first agent that has them holds them for a moment and
// offers them, and the entry binds one waiting task to the offer by an ordinary start. A reservation
// starts nothing by itself, and it ends with its link, the entry's lease or its timeout.
//
// Durable jobs. The worker keeps the end of a run of a durable job until its agent acknowledges
// the end. The agent does so only once the entry has stored the end (ToAgent.AckedEnds). If an end
// is not stored for a while, the agent asks all linked entries about it (ToEntry.UnownedEnds), so
// that an entry that has taken the job over learns of the end.
package runs

import (
	"slices"
	"strings"
	"time"

	"peridotpick.example/common/room"
)

// Key identifies one run of a task.
type Key struct {
	// Task is the task's name, unique among all jobs: the job's name, a dot and the task's
	// position in the job.
	Task string `cbor:"1,keyasint"`
	// Run is the number of the start; it rises with each start of the task by one entry. Runs of a
	// durable job have different numbers at all its owners, rising from each one to the next.
	Run uint32 `cbor:"2,keyasint"`
}

// Entry identifies one incarnation of an entry.
type Entry struct {
	// Address is the IP:port at which agents and entries reach it.
	Address string `cbor:"1,keyasint"`
	// Incarnation identifies one run of the process: a random number, never 0.
	Incarnation uint64 `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
	// ShortOfAgents is true while the entry has links to too few agents; all agents then link to it.
	ShortOfAgents bool `cbor:"4,keyasint,omitempty"`
}

// Worker describes the worker beside an agent: one incarnation of a backend server. The registry
// stores it as JSON under the names of its fields.
type Worker struct {
	// ID is the backend server's name for itself. A restarted server may keep it; ID and Born
	// together identify the incarnation.
	ID string `cbor:"1,keyasint"`
	// Agent is the name of the agent's instance.
	Agent string `cbor:"2,keyasint"`
	// Service is the service that the worker offers.
	Service    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	// Labels are the labels that a task may require, including the rack.
	Labels []string `cbor:"5,keyasint"`
	// Capacity is the total of the worker's resources, used and free.
	Capacity room.Resources `cbor:"6,keyasint"`
	// Draining is true once the worker must get no new work.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// Released is true while the agent gives the link up, because it works with other entries.
	// The entry must send no new work then.
	Released bool `cbor:"8,keyasint,omitempty"`
	// OnDemand is true if the agent keeps the link only because the entry is short of agents.
	OnDemand bool `cbor:"9,keyasint,omitempty"`
	// Born is the time when the incarnation started, in Unix ms; 0 if the server does not
	// report it.
	Born int64 `cbor:"10,keyasint,omitempty"`
	// TakesReservations is true if the agent handles ToAgent.Reserve.
	TakesReservations bool `cbor:"11,keyasint,omitempty"`
}

// Incarnation identifies one incarnation of a backend server, by its ID and its start time. A
// restarted server may keep its ID, but it has lost its runs and its leases.
type Incarnation struct {
	ID   string
	Born int64
}

// Equal reports whether w and other are the same description.
func (w *Worker) Equal(other *Worker) bool {
	return w.Incarnation() == other.Incarnation() && w.Agent == other.Agent && w.Service == other.Service && w.DataCentre == other.DataCentre &&
		slices.Equal(w.Labels, other.Labels) && w.Capacity == other.Capacity && w.Draining == other.Draining && w.Released == other.Released &&
		w.OnDemand == other.OnDemand && w.TakesReservations == other.TakesReservations
}

// Incarnation returns the incarnation that w describes.
func (w Worker) Incarnation() Incarnation { return Incarnation{ID: w.ID, Born: w.Born} }

// DrainView is a view of the data centres that the operator has drained. Their workers get no new
// work.
type DrainView struct {
	// Version is the version of the store at which the view was read; a view with a higher
	// version is newer. 0 if nothing is known.
	Version uint64 `cbor:"1,keyasint"`
	// DataCentres are the names of the drained data centres, in alphabetical order.
	DataCentres []string `cbor:"2,keyasint,omitempty"`
	// Age is the time since the view was last known to be the newest.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Start requests one run of a task.
type Start struct {
	Key Key `cbor:"1,keyasint"`
	// Spec is the caller's description of the work, passed to the worker as it is.
	Spec string `cbor:"2,keyasint"`
	// Need is the resources that the run occupies.
	Need room.Resources `cbor:"3,keyasint"`
	// Estimate is the expected run time on a worker of ordinary speed.
	Estimate time.Duration `cbor:"4,keyasint"`
	// Slack is how long the run may wait for resources and still end in time. Waiting runs
	// start in the order of their slack, the least first.
	Slack time.Duration `cbor:"5,keyasint"`
	// StartTimeout is the time, counted from ToAgent.Clock, after which the run must not start.
	StartTimeout time.Duration `cbor:"6,keyasint"`
	// Checkpoint is the progress of an earlier run to resume from; empty if there is none.
	Checkpoint string `cbor:"7,keyasint,omitempty"`
	// Durable is true for runs of durable jobs, whose ends are kept until the entry has
	// stored them.
	Durable bool `cbor:"8,keyasint,omitempty"`
	// Isolation determines next to which other tasks the run may start.
	Isolation Isolation `cbor:"9,keyasint,omitempty"`
	// Reservation is the reservation whose offered resources the run takes; 0 if there is none.
	Reservation uint64 `cbor:"10,keyasint,omitempty"`
}

// Reservation requests resources for one run of an entry that has none yet.
type Reservation struct {
	// ID identifies the reservation on its link. It is never 0.
	ID   uint64         `cbor:"1,keyasint"`
	Need room.Resources `cbor:"2,keyasint"`
	// Slack and StartTimeout are those of the run; see Start.
	Slack        time.Duration `cbor:"3,keyasint"`
	StartTimeout time.Duration `cbor:"4,keyasint"`
	// Copies is the number of agents with which the entry reserves for each waiting run.
	Copies int `cbor:"5,keyasint"`
}

// Isolation is the level of isolation that a task gets on its worker because it may crash workers.
type Isolation uint8

// Isolation levels.
const (
	// IsolationNone: the task may run next to any other task.
	IsolationNone Isolation = iota
	// IsolationFromSuspects: the task may not run next to another suspect, so that the next crash
	// shows which of them is the cause.
	IsolationFromSuspects
	// IsolationExclusive: the task may not run next to any other task.
	IsolationExclusive
)

// Suspect is a task that may crash workers. Entries share suspects, since a caller that gets no
// answer may resend its job to any entry.
type Suspect struct {
	Task string `cbor:"1,keyasint"`
	// LostWorkers is the number of workers that were lost while they ran the task, BlamedCrashes
	// the number of those crashes that are attributed to it.
	LostWorkers   int `cbor:"2,keyasint"`
	BlamedCrashes int `cbor:"3,keyasint,omitempty"`
}

// OwnedRun is a run that the sending entry owns and believes the agent to have.
type OwnedRun struct {
	Key      Key            `cbor:"1,keyasint"`
	Need     room.Resources `cbor:"2,keyasint"`
	Estimate time.Duration  `cbor:"3,keyasint"`
	Durable  bool           `cbor:"4,keyasint,omitempty"`
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	// OutcomeDone means that the task completed.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed means that the run failed because of the task or its worker.
	OutcomeFailed
	// OutcomeStopped means that the run began and was stopped, or that its lease expired.
	OutcomeStopped
	// OutcomeRefused means that the run has not begun and never will.
	OutcomeRefused
	// OutcomeGone means that the run is over and that nothing else is known about it.
	OutcomeGone
)

// String returns the name of o that appears in logs.
func (o Outcome) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "refused", "gone"}
	if int(o) < len(names) {
		return names[o]
	}
	return names[0]
}

// Job returns the name of the task's job, which is the part of Task before the first dot.
func (k Key) Job() string {
	job, _, _ := strings.Cut(k.Task, ".")
	return job
}

// Reason is the cause of a refused, failed or stopped run.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoCapacity: the run exceeds the worker's capacity, or the agent's queue is full.
	ReasonNoCapacity
	// ReasonStartTimeout: the order arrived, or its turn in the queue came, after Start.StartTimeout.
	ReasonStartTimeout
	// ReasonNoLease: the agent holds no lease of the entry.
	ReasonNoLease
	// ReasonDraining: the worker or its agent is shutting down, or the link is being closed.
	ReasonDraining
	// ReasonNoWorker: the worker is not known yet, has ended, or is unreachable.
	ReasonNoWorker
	// ReasonUnhealthy: the worker refused the order.
	ReasonUnhealthy
	// ReasonStaleRun: the worker has seen this or a higher run of the task.
	ReasonStaleRun
	// ReasonStopRequested: the entry requested the stop.
	ReasonStopRequested
	// ReasonNoAnswer: the worker did not answer the order, which was then withdrawn.
	ReasonNoAnswer
	// ReasonDataCentreDrained: the operator has drained the worker's data centre.
	ReasonDataCentreDrained
	// ReasonWorkerCrashed: the worker ended without notice while it had the run.
	ReasonWorkerCrashed
	// ReasonLeaseExpired: the worker was unreachable until its lease had expired.
	ReasonLeaseExpired
)

// String returns the name of r that appears in logs.
func (r Reason) String() string {
	names := [...]string{"", "no-room", "late", "no-lease", "draining", "no-worker", "unhealthy", "old-run", "asked", "unanswered", "data-centre-drained", "worker-crashed", "lease-lapsed"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// End is the final report on one run. It guarantees that the run is not running and will not
// run later.
type End struct {
	Key     Key     `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Reason  Reason  `cbor:"3,keyasint,omitempty"`
	// Ran is the run time at the worker.
	Ran time.Duration `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the progress that a later run may resume from.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// NeedsAck is true if the agent keeps the end until the entry reports it as stored.
	NeedsAck bool `cbor:"6,keyasint,omitempty"`
	// Suspect is true if the worker crashed and this run was the last to begin on it.
	Suspect bool `cbor:"7,keyasint,omitempty"`
}

// ExpectedEnd is an expected end of a run, which frees CPU on the worker.
type ExpectedEnd struct {
	// After is the time from the sending of the load to the end, in ms.
	After int `cbor:"1,keyasint"`
	// CPU is what becomes free then, in thousandths of a core.
	CPU int `cbor:"2,keyasint"`
}

// slackBands are the upper bounds of the bands by which a load groups waiting runs; the last
// band has no upper bound.
var slackBands = [...]time.Duration{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
}

// SlackBands is the number of bands.
const SlackBands = len(slackBands) + 1

// SlackBand returns the index of the band that a slack falls into; 0 is the band with the least.
func SlackBand(slack time.Duration) int {
	for i, bound := range slackBands {
		if slack < bound {
			return i
		}
	}
	return len(slackBands)
}

// Load describes how busy a worker is at the time of sending.
type Load struct {
	// Free is the part of the capacity that no run occupies.
	Free room.Resources `cbor:"1,keyasint"`
	// Waiting is the CPU that waiting runs need, in thousandths of a core, indexed by
	// SlackBand; empty if no run waits.
	Waiting []int `cbor:"6,keyasint,omitempty"`
	// ExpectedEnds are the next expected ends of runs, soonest first.
	ExpectedEnds []ExpectedEnd `cbor:"2,keyasint,omitempty"`
	// Slowness is the measured ratio of run times to their estimates, in hundredths; 0 if
	// nothing has been measured.
	Slowness int `cbor:"3,keyasint,omitempty"`
	// FailStreak is the number of runs that have failed in a row.
	FailStreak int `cbor:"4,keyasint,omitempty"`
	// StartsSeen is the number of starts on this link that the load includes.
	StartsSeen uint64 `cbor:"5,keyasint"`
	// SharingEntries is the number of entries that the agent works with, the receiver included.
	SharingEntries int `cbor:"7,keyasint,omitempty"`
}

// Progress reports on a run that takes much longer than estimated, or has a new checkpoint.
type Progress struct {
	Key Key `cbor:"1,keyasint"`
	// Remaining is the expected time until the end of the run. It grows if the run makes no
	// progress.
	Remaining time.Duration `cbor:"2,keyasint"`
	// Checkpoint is the newest checkpoint of a durable run, if it has not been reported yet.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// ToEntry is one message from an agent to an entry.
type ToEntry struct {
	// Worker is set on the first message and after each change. Its ID is empty until the
	// backend server has announced itself.
	Worker *Worker `cbor:"1,keyasint,omitempty"`
	Ends   []End   `cbor:"2,keyasint,omitempty"`
	Load   *Load   `cbor:"3,keyasint,omitempty"`
	// Clock is the agent's clock at the time of sending, in nanoseconds.
	Clock    int64      `cbor:"4,keyasint"`
	Progress []Progress `cbor:"5,keyasint,omitempty"`
	// UnownedEnds are ends that the agent keeps because they have not been stored for a while. An
	// entry answers those of its own jobs, and of jobs that are not durable or have ended.
	UnownedEnds []End `cbor:"7,keyasint,omitempty"`
	// Offers are reservations whose resources the agent holds for a moment.
	Offers []uint64 `cbor:"8,keyasint,omitempty"`
	// Dropped are reservations that the agent no longer has, though the entry has not released them.
	Dropped []uint64 `cbor:"9,keyasint,omitempty"`
}

// ToAgent is one message from an entry to an agent.
type ToAgent struct {
	// Hello identifies the entry; it is set on the first message.
	Hello *Entry `cbor:"1,keyasint,omitempty"`
	// Owned lists the runs that the entry believes the agent to have; it follows the hello.
	Owned  []OwnedRun `cbor:"2,keyasint,omitempty"`
	Starts []Start    `cbor:"3,keyasint,omitempty"`
	// Stops are runs to end because their results are no longer needed.
	Stops []Key `cbor:"4,keyasint,omitempty"`
	// Moves are runs to end because the entry will start their tasks on another worker, once
	// the agent has reported the end.
	Moves []Key `cbor:"12,keyasint,omitempty"`
	// Clock is the newest ToEntry.Clock plus the time since its arrival, in nanoseconds; 0
	// before the first one has arrived. It renews the lease.
	Clock int64 `cbor:"5,keyasint,omitempty"`
	// Entries are all entries that are known to be alive.
	Entries []Entry `cbor:"6,keyasint,omitempty"`
	// AckedEnds are runs whose ends have been stored or need not be stored; the agent may drop
	// the ends.
	AckedEnds []Key `cbor:"9,keyasint,omitempty"`
	// VoidEnds are runs whose ends came too late. The entry assumed that the worker's lease had
	// expired and started their tasks again, so that lease must expire before the agent may
	// drop the ends.
	VoidEnds []Key `cbor:"10,keyasint,omitempty"`
	// Drains is set on the first message, after each change, and from time to time to confirm
	// that the view is still valid.
	Drains *DrainView `cbor:"11,keyasint,omitempty"`
	// Reserve are new reservations, Released reservations that are no longer needed.
	Reserve  []Reservation `cbor:"13,keyasint,omitempty"`
	Released []uint64      `cbor:"14,keyasint,omitempty"`
	// Asks are what other entries ask of the agent, passed on after each change.
	Asks []Ask `cbor:"15,keyasint,omitempty"`
	// Needed is true if the entry needs an agent that has linked to it on demand.
	Needed bool `cbor:"16,keyasint,omitempty"`
}

// Member is a record about one entry in the view of the entries' membership.
type Member struct {
	Entry Entry `cbor:"1,keyasint"`
	// Serial orders the records about an address; only the entry at that address raises it.
	Serial uint64 `cbor:"2,keyasint"`
	// Gone is true if an entry that had a gossip stream with this entry has lost it.
	Gone bool `cbor:"3,keyasint,omitempty"`
	// Lacks are what the entry's tasks require and no worker of its linked agents has; at most
	// MaxLacks.
	Lacks []Lack `cbor:"4,keyasint,omitempty"`
}

// Gossip is a message between two entries.
type Gossip struct {
	// Self is the sender's record of itself.
	Self Member `cbor:"1,keyasint"`
	// Members are the records that have changed, or all of them.
	Members []Member `cbor:"2,keyasint,omitempty"`
	// ConfigVersion is the configuration version in force at the sender; 0 if it has none.
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	// Config is a chunk of that configuration, if the receiver has asked for it: the bytes
	// from offset ConfigFrom, of ConfigSize bytes in total.
	Config     []byte `cbor:"4,keyasint,omitempty"`
	ConfigFrom int    `cbor:"8,keyasint,omitempty"`
	ConfigSize int    `cbor:"9,keyasint,omitempty"`
	// WantConfig asks for the chunk of the receiver's configuration that begins at byte
	// WantConfigFrom.
	WantConfig     bool `cbor:"5,keyasint,omitempty"`
	WantConfigFrom int  `cbor:"10,keyasint,omitempty"`
	// AliveDigest is a hash of the entries that the sender considers alive.
	AliveDigest uint64 `cbor:"6,keyasint"`
	// Closing is true if the sender closes the stream on purpose and stays alive.
	Closing bool `cbor:"7,keyasint,omitempty"`
	// Drains is the sender's view of the drained data centres.
	Drains DrainView `cbor:"11,keyasint"`
	// Suspects are tasks that may crash workers and that the receiver may not know as such.
	Suspects []Suspect `cbor:"12,keyasint,omitempty"`
	// Levels are the levels of work of the services whose resources are short at the sender.
	Levels []Level `cbor:"13,keyasint,omitempty"`
	// Cancelled are durable jobs that are cancelled in the store, which the receiver may not have read yet.
	Cancelled []CancelledJob `cbor:"14,keyasint,omitempty"`
}

// CancelledJob is a durable job that is cancelled in the store.
type CancelledJob struct {
	Job string `cbor:"1,keyasint"`
	// Version is the version of the row that says so.
	Version uint64 `cbor:"2,keyasint"`
}

// MaxLevels is the greatest number of levels in a message, which bounds them to about a kilobyte.
const MaxLevels = 32

// Level is the level of work a second up to which callers of a service are served at an entry.
type Level struct {
	Service string `cbor:"1,keyasint"`
	// Work is in thousandths of a core.
	Work float64 `cbor:"2,keyasint"`
}
