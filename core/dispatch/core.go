// Package dispatch is the decision logic of an entry: it admits submissions,
// claims them, places their tasks on agents, retries, hedges, gathers results,
// takes submissions of lost entries over, and answers.
//
// The Core is a deterministic state machine. Its methods are the events; they
// change state only. Flush then lets the core act on all events received so
// far and returns what to carry out. Time and randomness come in as arguments.
// The core has no clock, socket, goroutine or log, and one goroutine owns it.
//
// # Life of a submission
//
// A submission without a key goes straight to phase running. One with a key is
// claimed first: the core writes a claim row that lists the candidate agents
// and starts nothing before the row is known to be applied. When all tasks have
// completed, or one has failed for good, the outcome is written to the row
// (phase closing), and only then callers are answered and agents told to forget
// the results. Hence no crash lets two callers read two outcomes.
//
// A submission whose key is already claimed attaches: the core asks the owner
// for the outcome. If the owner is gone, it replaces the claim with the next
// epoch and fences every candidate (phase fencing). Tasks that a candidate
// reports as started are adopted. Tasks that no candidate reports may run anew,
// unless a candidate is gone: then each unreported task may have started there.
//
// # May have started
//
// A task in doubt is started again only if it is declared repeatable, and, for
// a claimed submission, only after its maximum run time has passed. Otherwise
// its submission fails with FateUnknown. "Not run" is answered only if nothing
// was ever sent, or all that was sent was refused by the agent that got it; for
// a claimed submission the row is voided first.
package dispatch

import (
	"math/rand/v2"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/fair"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// LinkID numbers the links of an entry; never 0.
type LinkID uint64

// Send is a message for one link.
type Send struct {
	Link LinkID
	Msg  *wire.ToAgent
}

// Answer ends one caller's request.
type Answer struct {
	Request uint64
	// Outcome is nil for an asynchronous request whose submission is claimed.
	Outcome *wire.Outcome
}

// PeerAwait asks another entry for the outcome of a submission it owns.
type PeerAwait struct {
	Submission string
	Owner      wire.EntryInfo
	// Cancel asks the owner to cancel the submission first.
	Cancel bool
}

// Dial asks for a link to an agent that the entry is not linked to.
type Dial struct {
	ID      rank.ID
	Address string
}

// Output is what Flush asks the caller to carry out.
type Output struct {
	Sends  []Send
	Writes []claim.Write
	// Reads are submissions whose claim is to be read.
	Reads     []string
	Awaits    []PeerAwait
	Dials     []Dial
	Answers   []Answer
	Decisions []Decision
}

// Core is the state of one entry incarnation.
type Core struct {
	settings Settings
	self     wire.EntryInfo
	rng      *rand.Rand
	pool     *rank.Pool
	links    map[LinkID]*link
	// linked maps an agent to its current link.
	linked map[rank.ID]LinkID
	// byAgent maps an agent's name to its newest known incarnation.
	byAgent map[string]rank.ID
	jobs    map[string]*job
	queue   *fair.Queue[*task]
	timers  timerHeap
	// timerSeq orders timers that are due at the same time.
	timerSeq uint64
	teams    map[string]*teamState
	retry    bucket
	hedge    bucket
	// leaseUntil is the time up to which claimed work may be started.
	leaseUntil time.Time
	draining   bool
	// shares is the number of live entries among which quotas are divided.
	shares int
	// asked is reused by ask.
	asked rank.Ask
	// entries are the names of the live entries.
	entries []string
	// openTasks counts the tasks of open submissions.
	openTasks int
	stats     Stats
	out       Output
	// starts gathers the batches of this flush, by link.
	starts map[startKey]*wire.StartBatch
	acks   ackBook
	// lookups are refusals that wait for a look at the claim, by submission.
	lookups map[string][]lookup
	// configVersion is stamped on messages to agents.
	configVersion uint64
	inventory     []Asleep
}

// queueSlack keeps room in the queue for retries beyond what is admitted.
const queueSlack = 4

// link is an open link to an agent.
type link struct {
	id    LinkID
	agent rank.ID
	addr  string
}

// Asleep describes a sleeping worker's backend server, as the platform lists it.
type Asleep struct {
	Service string
	Labels  map[string]string
}

// New returns the core of a fresh entry incarnation.
func New(settings Settings, self wire.EntryInfo, rng *rand.Rand) *Core {
	settings.Rank.LocalDataCentre = self.DataCentre
	return &Core{
		settings: settings, self: self, rng: rng,
		pool:    rank.NewPool(settings.Rank, rng),
		links:   make(map[LinkID]*link),
		linked:  make(map[rank.ID]LinkID),
		byAgent: make(map[string]rank.ID),
		jobs:    make(map[string]*job),
		queue:   fair.NewQueue[*task](queueSlack * settings.MaxWaiting),
		teams:   make(map[string]*teamState),
		retry:   bucket{tokens: settings.RetryBurst, max: settings.RetryBurst},
		hedge:   bucket{tokens: 0, max: settings.HedgeBurst},
		shares:  1,
		entries: []string{self.ID},
		starts:  make(map[startKey]*wire.StartBatch),
		lookups: make(map[string][]lookup),
		acks:    ackBook{byAgent: make(map[rank.ID]*pendingAcks)},
	}
}

// Pool returns the agents known, for reports.
func (c *Core) Pool() *rank.Pool { return c.pool }

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Open returns the number of submissions that have not ended.
func (c *Core) Open() int { return len(c.jobs) }

// Waiting returns the number of tasks that wait for an agent.
func (c *Core) Waiting() int { return c.queue.Len() }

// SetLease states until when claimed work may be started. The caller extends
// it each time the entry's own row is confirmed.
func (c *Core) SetLease(until time.Time) { c.leaseUntil = until }

// SetEntries names the live entries, this one included: quotas are divided
// among them, and each agent has one of them as its home.
func (c *Core) SetEntries(names []string) {
	c.entries = names
	c.shares = max(1, len(names))
	c.pool.SetHomes(c.self.ID, names)
}

// SetConfigVersion sets the version stamped on messages to agents.
func (c *Core) SetConfigVersion(v uint64) { c.configVersion = v }

// Demand returns the slots that the open tasks of this entry need: those in
// flight and those waiting.
func (c *Core) Demand() float64 {
	inFlight := 0
	for _, a := range c.pool.Agents() {
		inFlight += a.InFlight
	}
	return float64(inFlight + c.queue.Len())
}

// SetInventory replaces the list of sleeping backend servers.
func (c *Core) SetInventory(list []Asleep) { c.inventory = list }

// Configure replaces the settings. Open submissions go on under the new ones.
func (c *Core) Configure(settings Settings) {
	settings.Rank.LocalDataCentre = c.self.DataCentre
	c.settings = settings
	c.pool.Configure(settings.Rank)
}

// Settings returns the settings in force.
func (c *Core) Settings() Settings { return c.settings }

// Drain refuses new submissions from now on; open ones go on.
func (c *Core) Drain() { c.draining = true }

// Flush acts on all events since the last call.
func (c *Core) Flush(now time.Time) Output {
	c.runTimers(now)
	c.place(now)
	clear(c.starts)
	c.flushAcks(now)
	out := c.out
	c.out = Output{}
	for i := range out.Sends {
		out.Sends[i].Msg.ConfigVersion = c.configVersion
		c.stats.MessagesSent++
	}
	return out
}

// NextTimer returns when Flush must be called at the latest; zero if never.
func (c *Core) NextTimer() time.Time {
	if len(c.timers) == 0 {
		return c.acks.due
	}
	next := c.timers[0].at
	if !c.acks.due.IsZero() && c.acks.due.Before(next) {
		return c.acks.due
	}
	return next
}

// message returns the message being gathered for a link.
func (c *Core) message(id LinkID) *wire.ToAgent {
	for i := range c.out.Sends {
		if c.out.Sends[i].Link == id {
			return c.out.Sends[i].Msg
		}
	}
	msg := new(wire.ToAgent)
	c.out.Sends = append(c.out.Sends, Send{Link: id, Msg: msg})
	return msg
}

// answer ends the waiting requests of a job.
func (c *Core) answer(j *job, outcome *wire.Outcome) {
	for _, w := range j.waiters {
		c.out.Answers = append(c.out.Answers, Answer{Request: w.id, Outcome: outcome})
	}
	j.waiters = nil
}

// accept tells asynchronous callers that j is claimed.
func (c *Core) accept(j *job) {
	kept := j.waiters[:0]
	for _, w := range j.waiters {
		if !w.async {
			kept = append(kept, w)
			continue
		}
		c.out.Answers = append(c.out.Answers, Answer{Request: w.id})
	}
	j.waiters = kept
}

// refuse answers one request with a refusal: nothing ran.
func (c *Core) refuse(request uint64, kind errkind.Kind, detail string, retryAfter time.Duration) {
	c.stats.Refused++
	c.out.Answers = append(c.out.Answers, Answer{Request: request, Outcome: &wire.Outcome{
		Kind: kind, Detail: detail, RetryAfter: retryAfter,
	}})
}
