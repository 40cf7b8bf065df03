// Package batch is the decision core of an entry that serves jobs whose answer
// is awaited on the open connection: it admits or refuses a job, places its tasks
// on leased workers, replaces runs that did not end well, and answers once.
//
// The core is deterministic: events and time go in, an Output with messages and
// answers comes out. It has no clock, socket, goroutine or log.
//
// Nothing about awaited jobs is stored. If the entry is lost, so is the job: its
// runs end with the entry's lease, before the caller sends the job again.
//
// Edge cases:
//   - A run is replaced only after its agent has said that it is over, or after
//     both the entry's lease at the agent and the worker's lease have passed.
//   - A refusal as "not run" is given only if every start of the job was proved
//     not to have begun.
//   - An entry that was suspended for longer than its leases ends all its jobs:
//     their runs are over and their callers may have come back elsewhere.
//
// Durable jobs are run by the same core for the entry that owns them in the store.
// Their ends are recorded before agents may forget them, and they are given up as
// soon as the entry is not sure any more to own them.
package batch

import (
	"math/rand/v2"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/ordered"
	"peridotpick.example/common/room"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/drains"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// Settings of a core.
type Settings struct {
	// Seed makes entries choose differently among equal workers.
	Seed uint64
	// DataCentre is the entry's own.
	DataCentre string
	// OwnerLease is the lease that each message grants at an agent.
	OwnerLease time.Duration
	// WorkerLease bounds how long a worker runs on without its agent, all included.
	WorkerLease time.Duration
	// Beat is the longest silence towards an agent with runs, IdleBeat towards others.
	Beat, IdleBeat time.Duration
	// SilentAfter is the silence of an agent after which it gets no new runs.
	SilentAfter time.Duration
	// StallLimit is the gap between two events after which the entry must have
	// been suspended.
	StallLimit time.Duration
	// Settling is how long new jobs are refused after a suspension, since what is
	// read then may have been sent long before.
	Settling time.Duration
	// RemoteFactor is how many times longer a task takes away from its data.
	RemoteFactor float64
	// CrossCost is the time that a data centre's border adds to a start and its end.
	CrossCost time.Duration
	// Overhead is the part of the objective that messages and the worker's start take.
	Overhead time.Duration
	// Policy says which mechanisms are in force; production runs with all.
	Policy policy.Policy
}

// RequestID names one awaited answer.
type RequestID uint64

// LinkID names one link to an agent.
type LinkID uint64

// Step is a number of like tasks of a job.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Need  room.Room `cbor:"2,keyasint"`
	// Estimate is the declared run time of one task.
	Estimate time.Duration `cbor:"3,keyasint"`
	// After are the steps that must be done before.
	After []int `cbor:"4,keyasint,omitempty"`
	// Requires is a label that the worker must have; empty if any will do.
	Requires string `cbor:"5,keyasint,omitempty"`
	// DataRack is the rack of the step's data; empty if there is none.
	DataRack string `cbor:"6,keyasint,omitempty"`
	// AntiAffinity bounds the step's tasks on one worker; 0 if unbounded.
	AntiAffinity int `cbor:"7,keyasint,omitempty"`
}

// Request hands a job in.
type Request struct {
	ID RequestID
	// Job is the caller's name for the job.
	Job   string
	Queue *catalog.Queue
	// Version is that of the configuration in force.
	Version uint64
	Spec    string
	Steps   []Step
	// Arrived is when the request was read, before it waited for the core; zero if it
	// did not wait.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Answer ends a request.
type Answer struct {
	Request RequestID
	Kind    errkind.Kind
	// RetryAfter tells the caller of a refusal when to come back.
	RetryAfter time.Duration
}

// Send is a message to an agent.
type Send struct {
	Link LinkID
	Msg  *runs.ToAgent
}

// Output is what the core wants done.
type Output struct {
	Sends   []Send
	Answers []Answer
	// Closes are links that another one has replaced.
	Closes []LinkID
	Notes  []Note
	// Records are to be stored, in this order.
	Records []Record
	// Disowned are durable jobs that were given up, since this entry is no longer
	// sure to own them.
	Disowned []string
	Unowned  []Unowned
	// Suspects are to be told to the other entries.
	Suspects []runs.Suspect
}

// Note is one decision for the log.
type Note struct {
	Event   string
	Job     string
	Queue   string
	Version uint64
	Key     runs.Key
	// Agent is the worker's agent, where the decision is about the worker itself.
	Agent  string
	Worker string
	How    runs.How
	Reason string
	// Age is the age of the load that decided, Expected the time that was expected,
	// Wait the part of it before the start, Slack what the job could wait.
	Age, Expected, Wait, Slack time.Duration
	// Lost counts the workers that were lost under the task, Blamed the crashes that are
	// put down to it.
	Lost, Blamed int
	// Deferred is set at the end of a job that had to wait for room that stays free.
	Deferred bool
}

// Core is the state of one entry.
type Core struct {
	settings Settings
	agents   ordered.Map[LinkID, *agent]
	// lost are agents whose link broke and whose runs may still go on.
	lost ordered.Map[string, *lostAgent]
	jobs ordered.Map[string, *job]
	// byRequest finds the job of an awaited answer.
	byRequest map[RequestID]*job
	// byTask finds the job of a task.
	byTask  map[string]*task
	learn   estimates
	waits   waits
	yields  yielding
	crashes crashes
	// deferred are jobs that wait for room that stays free; deferredAt is when they
	// were last looked at.
	deferred   ordered.Map[string, *job]
	deferredAt time.Time
	// started is the work that was started for each service.
	started map[string]*startedWork
	rand    *rand.Rand
	// typical is the median slowness of each service's workers.
	typical map[string]float64
	// marked are the agents to be sent something, beatAt is when all were looked at for
	// a beat.
	marked []*agent
	beatAt time.Time
	// plans counts the plans; usable is the list of candidates of the present one.
	plans     uint64
	usable    []*agent
	settledAt time.Time
	// startedAt is the time of the first event.
	startedAt time.Time
	// enoughAt is when enough agents were last seen to work with this entry.
	enoughAt time.Time
	// ownedUntil is until when the entry is sure to own its durable jobs.
	ownedUntil time.Time
	// drains are the data centres whose workers get nothing new.
	drains drains.State
	// unrecorded are durable jobs with something that is not stored.
	unrecorded ordered.Map[string, *job]
	// backlogged is set while durable tasks wait for room; backlogAt is when they
	// were last looked at.
	backlogged bool
	backlogAt  time.Time
	// walks counts the walks of the backlog.
	walks int
	now   time.Time
	out   Output
}

// New returns a core without agents.
func New(s Settings) *Core {
	return &Core{
		settings:  s,
		byRequest: make(map[RequestID]*job), byTask: make(map[string]*task), learn: newEstimates(), yields: newYielding(), rand: rand.New(rand.NewPCG(s.Seed, 0)), typical: make(map[string]float64),
		started: make(map[string]*startedWork),
	}
}

// Now tells the core the time before other events, so that it sees a suspension.
func (c *Core) Now(now time.Time) {
	gap := now.Sub(c.now)
	suspended := !c.now.IsZero() && gap > c.settings.StallLimit
	c.now = now
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	if suspended {
		c.resume(gap)
	}
	c.checkOwnership()
}

// resume handles that the entry was suspended.
func (c *Core) resume(gap time.Duration) {
	c.settledAt = c.now.Add(c.settings.Settling)
	c.enoughAt = c.now // its agents have closed their links and come back
	c.note(Note{Event: "suspended", Age: gap})
	if gap < c.settings.OwnerLease {
		return
	}
	for j := range c.jobs.Values() {
		if j.durable == nil {
			c.giveUp(j, errkind.FateUnknown, "suspended")
		}
	}
}

// Flush returns what the events since the last call ask for.
func (c *Core) Flush(now time.Time) Output {
	c.Now(now)
	c.record()
	c.flushAgents()
	out := c.out
	c.out = Output{}
	return out
}

// Tick handles the passing of time.
func (c *Core) Tick(now time.Time) {
	c.Now(now)
	c.expireLost()
	c.measureTypical()
	for j := range c.jobs.Values() {
		c.checkDeadline(j)
	}
	c.forgetEnded()
	c.placeWaiting()
	c.moveSlow()
}

// Jobs returns the number of jobs that are not answered yet.
func (c *Core) Jobs() int { return len(c.byRequest) }

// Workers returns the number of workers that can be given work.
func (c *Core) Workers() int {
	n := 0
	for a := range c.agents.Values() {
		if a.usable(c.now, c.settings.SilentAfter) {
			n++
		}
	}
	return n
}

func (c *Core) note(n Note) { c.out.Notes = append(c.out.Notes, n) }
