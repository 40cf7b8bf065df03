// Package batch is the decision core of an entry for awaited and durable jobs. It admits or refuses
// jobs, places their tasks on leased workers, replaces runs that did not complete their task, and
// reports each result once.
//
// The core is deterministic: it takes events with the current time and returns an Output with
// messages, answers, records and decisions. It has no clock, sockets, goroutines or log.
//
// An awaited job is one whose caller waits for the answer on an open connection. Nothing about it
// is stored. If the entry is lost, the job is lost too: its runs end with the entry's lease, before
// the caller submits the job again.
//
// A durable job is kept in the store. The core runs it for the entry that owns it there. The ends
// of its runs are recorded before agents may forget them, and the job is given up as soon as the
// entry can no longer be sure of its ownership.
//
// Each job has an objective, the time from arrival within which it should end. Its slack is the
// time that its tasks may still wait without missing the objective. The answer of a job that misses
// its objective stays useful until usefulFactor times the objective has passed.
//
// Edge cases:
//   - A run is replaced only after its agent has reported its end, or after both the entry's lease
//     at the agent and the worker's lease have expired.
//   - A job is refused as "not run" only if every start of the job is proven not to have begun.
//   - An entry that was suspended for longer than its leases ends all its awaited jobs: their runs
//     are over and their callers may have resubmitted them to another entry.
package batch

import (
	"math/rand/v2"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/ordered"
	"peridotpick.example/common/room"
	"peridotpick.example/core/admission"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/drains"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// Settings configures a core.
type Settings struct {
	// Seed seeds the random choice among equal workers, so that entries choose differently.
	Seed uint64
	// DataCentre is the data centre of the entry.
	DataCentre string
	// OwnerLease is the duration of the lease that each message to an agent grants for the entry's
	// runs.
	OwnerLease time.Duration
	// WorkerLease is the longest time for which a worker continues its runs without contact to its
	// agent, including all delays.
	WorkerLease time.Duration
	// HeartbeatInterval is the heartbeat interval on links to agents with runs,
	// IdleHeartbeatInterval that on other links.
	HeartbeatInterval, IdleHeartbeatInterval time.Duration
	// SilenceTimeout is the time without a message from an agent after which it gets no new runs and
	// its link is closed.
	SilenceTimeout time.Duration
	// SuspensionThreshold is the gap between two events above which the entry is taken to have been
	// suspended.
	SuspensionThreshold time.Duration
	// SettleTime is how long new jobs are refused after a suspension. Requests that are read in this
	// time may have been sent long before.
	SettleTime time.Duration
	// RemoteFactor is the factor on the run time of a task whose data is not in the worker's rack.
	RemoteFactor float64
	// CrossDataCentreCost is the additional time that starting a task in another data centre and
	// reporting its end takes.
	CrossDataCentreCost time.Duration
	// Overhead is the part of the objective that messages and the worker's start-up of a run take.
	Overhead time.Duration
	// PriorityFloor is the share of the served work of more urgent queues that a less urgent queue
	// keeps while there are too few resources, from 0 to 1.
	PriorityFloor float64
	// Policy selects the mechanisms in force. Production uses all of them.
	Policy policy.Policy
}

// RequestID identifies one awaited answer.
type RequestID uint64

// LinkID identifies one link to an agent.
type LinkID uint64

// Step is a group of identical tasks of a job.
type Step struct {
	Count int            `cbor:"1,keyasint"`
	Need  room.Resources `cbor:"2,keyasint"`
	// Estimate is the declared run time of one task.
	Estimate time.Duration `cbor:"3,keyasint"`
	// After lists the indexes of the steps that must complete first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Requires is a label that the worker must have; empty if any worker will do.
	Requires string `cbor:"5,keyasint,omitempty"`
	// DataRack is the label of the rack that holds the step's data; empty if there is none.
	DataRack string `cbor:"6,keyasint,omitempty"`
	// AntiAffinity is the maximum number of the step's tasks on one worker; 0 means no limit.
	AntiAffinity int `cbor:"7,keyasint,omitempty"`
}

// Request submits an awaited job.
type Request struct {
	ID RequestID
	// Job is the caller's name for the job.
	Job   string
	Queue *catalog.Queue
	// Caller identifies who submits the job among all callers; empty if that is not known.
	Caller string
	// Version is the version of the configuration in force.
	Version uint64
	Spec    string
	Steps   []Step
	// Arrived is when the request was read. It is earlier than the submission if the request waited
	// in the process; zero means that it did not wait.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Answer completes a request.
type Answer struct {
	Request RequestID
	Kind    errkind.Kind
	// RetryAfter is when a caller whose job was refused may submit it again.
	RetryAfter time.Duration
}

// Send is a message to an agent.
type Send struct {
	Link LinkID
	Msg  *runs.ToAgent
}

// Output lists the actions that the core asks its owner to perform.
type Output struct {
	Sends   []Send
	Answers []Answer
	// CloseLinks lists links to close because the agent has opened another one or is silent.
	CloseLinks []LinkID
	// Decisions lists the decisions in order.
	Decisions []Decision
	// Records are to be stored in this order.
	Records []Record
	// OwnershipExpired lists durable jobs that were given up because the entry's ownership of them is no
	// longer confirmed.
	OwnershipExpired []string
	// OutOfNumbers lists durable jobs that were stopped because a task has used up the run numbers of
	// the epoch.
	OutOfNumbers []string
	// UnownedEnds lists held ends of jobs that are not here.
	UnownedEnds []UnownedEnd
	// Suspects lists tasks suspected of crashing workers, to be sent to the other entries.
	Suspects []runs.Suspect
}

// Decision is one decision for the log and the metrics.
type Decision struct {
	Event   string
	Job     string
	Queue   string
	Version uint64
	Key     runs.Key
	// Agent is set where the decision is about a worker rather than a job.
	Agent   string
	Worker  string
	Outcome runs.Outcome
	Reason  string
	// Requires is what a waiting task requires of a worker.
	Requires string
	// Age is the age of the load report or the time that a run or job has taken. Expected is the
	// expected time to the end and Wait the part of it before the start. Slack is how long the job
	// could wait.
	Age, Expected, Wait, Slack time.Duration
	// WaitBehindAll is the expected wait behind all waiting work, by which a queue gives way.
	WaitBehindAll time.Duration
	// Reservations is the number of reservations that a job has, Reservation the one whose offered
	// resources a start takes.
	Reservations int
	Reservation  uint64
	// LostWorkers is the number of workers lost while they ran the task, BlamedCrashes the number
	// of crashes attributed to it.
	LostWorkers, BlamedCrashes int
	// Deferred is set at the end of a job that was deferred.
	Deferred bool
}

// Core is the decision state of one entry.
type Core struct {
	settings Settings
	agents   ordered.Map[LinkID, *agent]
	// lostAgents are agents, by name, whose link broke and whose runs may still go on.
	lostAgents ordered.Map[string, *lostAgent]
	jobs       ordered.Map[string, *job]
	// byRequest maps each unanswered request to its job.
	byRequest map[RequestID]*job
	// byTask maps the names of tasks to the tasks of all jobs here.
	byTask   map[string]*task
	runTimes runTimeEstimator
	gate     *admission.Gate
	crashes  crashHistory
	// deferred are jobs that wait for spare capacity; deferredScannedAt is the time of their last
	// scan.
	deferred          ordered.Map[string, *job]
	deferredScannedAt time.Time
	// reservations are those that agents are expected to have, by ID; newestReservation is the ID
	// given last.
	reservations      ordered.Map[uint64, *reservation]
	newestReservation uint64
	// ownDelay is the mean time that requests have waited in this process lately.
	ownDelay time.Duration
	// startedWork is the work started for each service.
	startedWork map[string]*startedWork
	rand        *rand.Rand
	// medianSlowness is the median slowness of the workers of each service, in hundredths.
	medianSlowness map[string]float64
	// dirtyAgents are agents with pending messages; heartbeatsCheckedAt is when all agents were
	// last checked for due heartbeats.
	dirtyAgents         []*agent
	heartbeatsCheckedAt time.Time
	// planCount is the number of plans made so far; planCandidates are the candidates of the
	// current plan.
	planCount      uint64
	planCandidates []*agent
	// resumedAt is the end of the last suspension.
	resumedAt time.Time
	// settledAt is the time until which new jobs are refused after a suspension.
	settledAt time.Time
	// startedAt is the time of the first event.
	startedAt time.Time
	// enoughAgentsAt is when at least minAgents agents last worked with the entry.
	enoughAgentsAt time.Time
	// ownershipUntil is the time until which the entry's ownership of its durable jobs is
	// confirmed.
	ownershipUntil time.Time
	// storeReadAt is when the newest answered read of the changes of durable jobs was sent.
	storeReadAt time.Time
	// drains is the view of the drained data centres, whose workers get no new runs.
	drains drains.State
	// unrecorded are durable jobs with changes that are not recorded yet.
	unrecorded ordered.Map[string, *job]
	// hasBacklog is set while tasks of durable jobs wait for capacity; backlogScannedAt is the time
	// of the last scan of the backlog.
	hasBacklog       bool
	backlogScannedAt time.Time
	// backlogScans is the number of scans of the backlog.
	backlogScans int
	reach        reachState
	now          time.Time
	out          Output
}

// New returns a core without agents.
func New(s Settings) *Core {
	return &Core{
		settings:  s,
		byRequest: make(map[RequestID]*job), byTask: make(map[string]*task), runTimes: newRunTimeEstimator(), gate: admission.NewGate(s.PriorityFloor), rand: rand.New(rand.NewPCG(s.Seed, 0)), medianSlowness: make(map[string]float64),
		startedWork: make(map[string]*startedWork),
	}
}

// Advance sets the current time before an event is handled. A gap above
// Settings.SuspensionThreshold is handled as a suspension.
func (c *Core) Advance(now time.Time) {
	gap := now.Sub(c.now)
	suspended := !c.now.IsZero() && gap > c.settings.SuspensionThreshold
	c.now = now
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	if suspended {
		c.resume(gap)
	}
	c.checkOwnership()
}

// resume handles a suspension of the given length.
func (c *Core) resume(gap time.Duration) {
	c.resumedAt = c.now
	c.settledAt = c.now.Add(c.settings.SettleTime)
	c.enoughAgentsAt = c.now // agents have closed their links meanwhile and need time to reconnect
	c.logDecision(Decision{Event: "suspended", Age: gap})
	if gap < c.settings.OwnerLease {
		return
	}
	for j := range c.jobs.Values() {
		if j.durable == nil {
			c.giveUp(j, errkind.FateUnknown, "suspended")
		}
	}
}

// Flush returns the output of the events since the last call.
func (c *Core) Flush(now time.Time) Output {
	c.Advance(now)
	c.emitRecords()
	c.flushAgents()
	out := c.out
	c.out = Output{}
	return out
}

// Tick handles deadlines, expired leases and everything else that depends on time alone.
func (c *Core) Tick(now time.Time) {
	c.Advance(now)
	c.closeSilentLinks()
	c.expireLost()
	c.expireUnreachable()
	c.updateMedianSlowness()
	if c.now.Sub(c.reach.checkedAt) >= reachInterval {
		c.updateOutOfReach()
	}
	for j := range c.jobs.Values() {
		c.checkDeadline(j)
	}
	c.forgetEnded()
	c.placeWaiting()
	c.placeReserved()
	c.moveRuns()
}

// OpenRequests returns the number of requests that are not answered yet.
func (c *Core) OpenRequests() int { return len(c.byRequest) }

// UsableWorkers returns the number of workers that can be given runs.
func (c *Core) UsableWorkers() int {
	n := 0
	for a := range c.agents.Values() {
		if a.isUsable(c.now, c.settings.SilenceTimeout) {
			n++
		}
	}
	return n
}

// logDecision adds a decision to the output.
func (c *Core) logDecision(d Decision) { c.out.Decisions = append(c.out.Decisions, d) }
