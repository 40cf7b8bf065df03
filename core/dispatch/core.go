// Package dispatch is the decision logic of an entry. It admits submissions, claims them, places
// their tasks on agents, retries and hedges attempts, collects results, takes over the submissions
// of lost entries, and answers callers.
//
// The Core is a deterministic state machine. Its event methods only change its state. Flush then
// acts on all events received since the last call and returns what the caller has to carry out.
// Time and randomness are arguments. The core has no clock, socket, goroutine or log, and is owned
// by one goroutine.
//
// # Terms
//
// A submission is one call or job as the entry handles it; it consists of tasks. An attempt is one
// start of a task at an agent. A claimed submission has a caller's key and a claim, a row in the
// table service that names the entry which may start its tasks (its owner) and the candidates, the
// agents at which the owner may start them. The owner's epoch is the fencing token: a fence is a
// message that makes an agent refuse starts of lower epochs and report the attempts that it knows.
//
// # Lifecycle of a submission
//
// A submission without a key goes straight to phase running. One with a key is claimed first: the
// core writes a claim that lists the candidates, and starts nothing before the write is known to
// be applied. When all tasks have completed, or one has failed permanently, the outcome is written
// to the claim (phase closing). Only then are callers answered and agents told to forget the
// results. Therefore two callers never get two different outcomes, whichever process crashes.
//
// If another entry has claimed the key, the core asks that owner for the outcome (phase awaiting
// owner). If the owner is lost, the core replaces the claim with the next epoch (phase taking over)
// and fences every candidate (phase fencing). Tasks that a candidate reports as started are
// adopted: the attempt counts as the core's own. Tasks that no candidate reports may be started,
// unless a candidate is lost: each unreported task may have started there.
//
// # Tasks that may have started
//
// A task is in doubt if an attempt of it may have started and its agent can no longer be asked. It
// is started again only if it is declared repeatable and, for a claimed submission, only after its
// maximum run time has passed. Otherwise its submission fails with FateUnknown. "Not run" is
// answered only if no attempt was sent or every attempt was refused by the agent that received it;
// for a claimed submission the claim is voided first.
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

// LinkID identifies a link of an entry to an agent; never 0.
type LinkID uint64

// Send is a message to send on a link.
type Send struct {
	Link LinkID
	Msg  *wire.ToAgent
}

// Answer is the answer to one caller's request.
type Answer struct {
	// Request is the Request.ID, or the ID passed to AddWaiter.
	Request uint64
	// Outcome is nil for an asynchronous request, which is answered once its submission is claimed.
	Outcome *wire.Outcome
}

// OwnerQuery asks another entry for the outcome of a submission it owns.
type OwnerQuery struct {
	Submission string
	Owner      wire.EntryInfo
	// Cancel asks the owner to cancel the submission before it waits for the outcome.
	Cancel bool
}

// Dial asks for a link to an agent that the entry is not linked to.
type Dial struct {
	ID      rank.ID
	Address string
}

// Output is what Flush asks the caller to carry out. The results come back as events: ClaimWritten
// for Writes, ClaimRead for Reads, PeerReplied for OwnerQueries, and LinkUp or AgentEnded for Dials.
type Output struct {
	Sends  []Send
	Writes []claim.Write
	// Reads are the submissions whose claim is to be read.
	Reads        []string
	OwnerQueries []OwnerQuery
	Dials        []Dial
	Answers      []Answer
	// Decisions are for the log.
	Decisions []Decision
}

// Core is the state of one entry incarnation. It is not safe for concurrent use.
type Core struct {
	settings Settings
	self     wire.EntryInfo
	rng      *rand.Rand
	pool     *rank.Pool
	links    map[LinkID]*link
	// linkByAgent maps a linked agent to its newest link.
	linkByAgent map[rank.ID]LinkID
	// incarnations maps an agent's name to its newest known incarnation.
	incarnations map[string]rank.ID
	// submissions are those that have not ended, by name.
	submissions map[string]*submission
	// queue holds the tasks that wait for an agent. It may also hold tasks that no longer wait; they
	// are removed when they are offered.
	queue  *fair.Queue[*task]
	timers timerHeap
	// timerSeq orders timers that are due at the same time.
	timerSeq    uint64
	teams       map[string]*teamState
	retryBudget tokenBucket
	hedgeBudget tokenBucket
	// leaseUntil is the time up to which tasks of claimed submissions may be started.
	leaseUntil time.Time
	draining   bool
	// liveEntries is the number of live entries among which quotas are divided; at least 1.
	liveEntries int
	// pickScratch holds the result of pickRequestFor.
	pickScratch rank.PickRequest
	// entryNames are the names of the live entries.
	entryNames []string
	// openTasks counts the tasks of submissions that have not ended.
	openTasks int
	stats     Stats
	// out is the output of the next Flush.
	out Output
	// batches collects the starts of the current flush.
	batches map[batchKey]*wire.StartBatch
	acks    ackBuffer
	// pendingRefusals are refusals that wait for a read of the claim, by submission name.
	pendingRefusals map[string][]pendingRefusal
	// configVersion is set in all messages to agents.
	configVersion    uint64
	sleepingBackends []SleepingBackend
}

// queueLimitFactor times MaxWaiting is the capacity of the queue. It is larger than what admission
// allows, to leave room for retries.
const queueLimitFactor = 4

// link is an open link to an agent.
type link struct {
	id      LinkID
	agent   rank.ID
	address string
}

// SleepingBackend describes the backend server of a sleeping worker, as the platform lists it.
type SleepingBackend struct {
	Service string
	Labels  map[string]string
}

// New returns the core of a new entry incarnation, which draws random numbers from rng.
func New(settings Settings, self wire.EntryInfo, rng *rand.Rand) *Core {
	settings.Rank.LocalDataCentre = self.DataCentre
	return &Core{
		settings: settings, self: self, rng: rng,
		pool:            rank.NewPool(settings.Rank, rng),
		links:           make(map[LinkID]*link),
		linkByAgent:     make(map[rank.ID]LinkID),
		incarnations:    make(map[string]rank.ID),
		submissions:     make(map[string]*submission),
		queue:           fair.NewQueue[*task](queueLimitFactor * settings.MaxWaiting),
		teams:           make(map[string]*teamState),
		retryBudget:     tokenBucket{tokens: settings.RetryBurst, max: settings.RetryBurst},
		hedgeBudget:     tokenBucket{tokens: 0, max: settings.HedgeBurst},
		liveEntries:     1,
		entryNames:      []string{self.ID},
		batches:         make(map[batchKey]*wire.StartBatch),
		pendingRefusals: make(map[string][]pendingRefusal),
		acks:            ackBuffer{byAgent: make(map[rank.ID]*pendingAcks)},
	}
}

// Pool returns the agents known to the entry, for reports.
func (c *Core) Pool() *rank.Pool { return c.pool }

// Stats returns a copy of the counters.
func (c *Core) Stats() Stats { return c.stats }

// OpenSubmissions returns the number of submissions that have not ended.
func (c *Core) OpenSubmissions() int { return len(c.submissions) }

// WaitingTasks returns the number of tasks that wait for an agent.
func (c *Core) WaitingTasks() int { return c.queue.Len() }

// SetLease sets the time up to which tasks of claimed submissions may be started. The caller
// extends it each time the table service confirms the entry's own row. This keeps an entry that
// was suspended from starting tasks of submissions that others have taken over.
func (c *Core) SetLease(until time.Time) { c.leaseUntil = until }

// SetEntries sets the names of the live entries, this one included. Quotas are divided among them,
// and each agent has one of them as its home, the entry that mainly uses it.
func (c *Core) SetEntries(names []string) {
	c.entryNames = names
	c.liveEntries = max(1, len(names))
	c.pool.SetHomes(c.self.ID, names)
}

// SetConfigVersion sets the configuration version that is included in messages to agents.
func (c *Core) SetConfigVersion(v uint64) { c.configVersion = v }

// SlotDemand returns the number of slots that this entry needs: one for each attempt in flight and
// each waiting task.
func (c *Core) SlotDemand() float64 {
	inFlight := 0
	for _, a := range c.pool.Agents() {
		inFlight += a.TasksInFlight
	}
	return float64(inFlight + c.queue.Len())
}

// SetSleepingBackends replaces the list of sleeping backend servers. Tasks that only these can run
// are admitted, since their workers can be woken.
func (c *Core) SetSleepingBackends(list []SleepingBackend) { c.sleepingBackends = list }

// Configure replaces the settings. They apply to open submissions as well.
func (c *Core) Configure(settings Settings) {
	settings.Rank.LocalDataCentre = c.self.DataCentre
	c.settings = settings
	c.pool.Configure(settings.Rank)
}

// Settings returns the settings in force.
func (c *Core) Settings() Settings { return c.settings }

// Drain makes the core refuse new submissions. Those that have not ended continue.
func (c *Core) Drain() { c.draining = true }

// Flush acts on all events since the last call: it runs due timers, places waiting tasks and
// returns what the caller has to carry out.
func (c *Core) Flush(now time.Time) Output {
	c.runTimers(now)
	c.placeWaiting(now)
	clear(c.batches)
	c.flushAcks(now)
	out := c.out
	c.out = Output{}
	for i := range out.Sends {
		out.Sends[i].Msg.ConfigVersion = c.configVersion
		c.stats.MessagesSent++
	}
	return out
}

// NextTimer returns the time at which Flush must be called if no event comes before; zero if there
// is none.
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

// messageFor returns the message of the current flush for a link, which it creates if needed.
func (c *Core) messageFor(id LinkID) *wire.ToAgent {
	for i := range c.out.Sends {
		if c.out.Sends[i].Link == id {
			return c.out.Sends[i].Msg
		}
	}
	msg := new(wire.ToAgent)
	c.out.Sends = append(c.out.Sends, Send{Link: id, Msg: msg})
	return msg
}

// answerWaiters answers all requests that wait for sub.
func (c *Core) answerWaiters(sub *submission, outcome *wire.Outcome) {
	for _, w := range sub.waiters {
		c.out.Answers = append(c.out.Answers, Answer{Request: w.id, Outcome: outcome})
	}
	sub.waiters = nil
}

// answerAsyncWaiters tells the asynchronous callers of sub that it is claimed.
func (c *Core) answerAsyncWaiters(sub *submission) {
	kept := sub.waiters[:0]
	for _, w := range sub.waiters {
		if !w.async {
			kept = append(kept, w)
			continue
		}
		c.out.Answers = append(c.out.Answers, Answer{Request: w.id})
	}
	sub.waiters = kept
}

// refuse answers one request with a refusal, which states that nothing ran.
func (c *Core) refuse(request uint64, kind errkind.Kind, detail string, retryAfter time.Duration) {
	c.stats.Refused++
	c.out.Answers = append(c.out.Answers, Answer{Request: request, Outcome: &wire.Outcome{
		Kind: kind, Detail: detail, RetryAfter: retryAfter,
	}})
}
