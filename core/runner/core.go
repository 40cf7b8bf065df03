// Package runner is the decision core of an agent that has tasks run on a leased
// worker: it admits runs into the worker's room, orders starts and stops, keeps
// the worker's lease, and tells entries how their runs ended.
//
// The core is deterministic: events and time go in, an Output with messages and
// orders comes out. It has no clock, socket, goroutine or log.
//
// What keeps a task from running twice at a time:
//   - A run occupies the worker from the moment its start is ordered until the
//     worker lists its end, or until it certainly will not run: its stop was
//     answered and a later listing does not show it, or the order's own deadline
//     has passed on the worker's clock.
//   - An entry hears of an end only then, and starts the task elsewhere only then.
//   - Runs of an entry whose lease is over are stopped. When the agent itself
//     cannot do so, the worker's lease ends them.
//   - A new agent process takes a higher fencing token before it looks at what
//     runs, so that no order of the former process has an effect afterwards.
package runner

import (
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/common/room"
	"peridotpick.example/core/drains"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// Settings of a core.
type Settings struct {
	// Agent names the agent's instance.
	Agent string
	// OwnerLease is how long an entry's runs go on without a message of it.
	OwnerLease time.Duration
	// WorkerLease is the lease that each order and each look renews.
	WorkerLease time.Duration
	// LongestLease is what the worker shortens a longer lease to.
	LongestLease time.Duration
	// LookWait is how long a look waits for an end.
	LookWait time.Duration
	// AdoptWithin is how long runs of a former agent process wait for their entry.
	AdoptWithin time.Duration
	// QueueLimit bounds the runs that wait for room.
	QueueLimit int
	// Beat is the longest silence on a link with runs, IdleBeat on others.
	Beat, IdleBeat time.Duration
	// LateFactor is how many times its estimate a run may take before its entry is
	// told of its progress.
	LateFactor float64
	// DrainsWithin is the age of what is known of drained data centres from which the
	// store is asked itself.
	DrainsWithin time.Duration
	// Policy says which mechanisms are in force; production runs with all.
	Policy policy.Policy
}

// LinkID names one link to an entry.
type LinkID uint64

// Send is a message to an entry.
type Send struct {
	Link LinkID
	Msg  *runs.ToEntry
}

// Output is what the core wants done.
type Output struct {
	Sends  []Send
	Orders []Order
	// Closes are released links that nothing needs any more.
	Closes []LinkID
	// Notes are the decisions for the log.
	Notes []Note
}

// Note is one decision about a run.
type Note struct {
	Event  string
	Key    runs.Key
	Entry  string
	Reason runs.Reason
	// Age is the age of the input that decided: the time since the run was
	// ordered or since its owner was heard.
	Age time.Duration
	// Version is that of the view of drained data centres, where the note is about that.
	Version uint64
	// Worker and Former are its present and its former incarnation, where the note is
	// about the worker.
	Worker, Former runs.Life
}

// link is one entry's link.
type link struct {
	id    LinkID
	entry runs.Entry
	// seen counts the starts received.
	seen uint64
	// out collects the next message.
	out   runs.ToEntry
	dirty bool
	// outdated is set while the load told last is not the present one.
	outdated bool
	lastSent time.Time
	// releasedAt is when the link was given up; zero while it is in use.
	releasedAt time.Time
	// onDemand links are kept only since their entry is short of agents.
	onDemand bool
}

// Core is the state of one agent.
type Core struct {
	settings Settings
	worker   workerState
	// former are incarnations of the worker that are over.
	former lives
	links  ordered.Map[LinkID, *link]
	// leases are the ends of owners' leases, by incarnation.
	leases map[uint64]time.Time
	runs   ordered.Map[runs.Key, *run]
	queue  waiting
	// pendingOwned are lists of owned runs that wait until the worker was looked at.
	pendingOwned ordered.Map[LinkID, []runs.Owned]
	// held are ends that the worker must go on listing, by their number.
	held ordered.Map[int64, *heldEnd]
	// lookedAt is when the last look was made.
	lookedAt time.Time
	recent   recentEnds
	// lapsedEnds are ends of which it is not known yet whether the worker had crashed.
	lapsedEnds []lapsedEnd
	pace       pace
	draining   bool
	drains     drains.State
	// emptied is true once nothing runs here any more since the data centre was drained.
	emptied bool
	// startedAt is the time of the first event.
	startedAt   time.Time
	loadChanged bool
	// told is the load of the present flush; nil until a link needs it.
	told *runs.Load
	now  time.Time
	out  Output
}

// New returns a core without a worker.
func New(s Settings) *Core {
	return &Core{
		settings: s, worker: workerState{info: runs.Worker{Agent: s.Agent}}, leases: make(map[uint64]time.Time),
		recent: newRecentEnds(),
	}
}

// Flush returns what the events since the last call ask for.
func (c *Core) Flush(now time.Time) Output {
	c.now = now
	c.startWaiting()
	c.told = nil
	for l := range c.links.Values() {
		c.flushLink(l)
	}
	c.loadChanged = false
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) flushLink(l *link) {
	l.outdated = l.outdated || c.loadChanged
	if !c.mustTell(l) {
		return
	}
	msg := l.out
	msg.Clock = c.now.UnixNano()
	msg.Load = c.load(l)
	msg.Progress = c.progress(l.entry.Incarnation)
	c.out.Sends = append(c.out.Sends, Send{Link: l.id, Msg: &msg})
	l.out = runs.ToEntry{}
	l.dirty = false
	l.outdated = false
	l.lastSent = c.now
}

// mustTell reports whether a message to a link is due.
func (c *Core) mustTell(l *link) bool {
	quiet := c.now.Sub(l.lastSent)
	switch {
	case l.dirty:
		return true
	case l.outdated && quiet >= c.newsPause():
		return true
	case quiet < c.settings.Beat:
		return false
	}
	return quiet >= c.settings.IdleBeat || c.owns(l.entry.Incarnation)
}

// newsPerSecond bounds the messages a second that tell nothing but a new load, to all
// entries together. Each start and end changes the load: told at once on each link it
// is a message for each task and entry, which saturated the processors of 55 entries
// with 240 agents on a calm day. Ends, progress and beats carry the load anyway.
// With the six links of a subset 480 are one each 12 ms and link; with 160 a burst was
// worth 0.842 instead of 0.866 (emulator, large, burst, two seeds).
const newsPerSecond = 480

// newsPause is the shortest silence on a link before news of the load alone. It grows
// with the number of links, up to a beat.
func (c *Core) newsPause() time.Duration {
	return min(time.Duration(c.links.Len())*time.Second/newsPerSecond, c.settings.Beat)
}

// HasNews reports whether an entry has not been told the present load.
func (c *Core) HasNews() bool {
	for l := range c.links.Values() {
		if l.outdated {
			return true
		}
	}
	return false
}

// LinkUp opens a link after the entry's hello.
func (c *Core) LinkUp(now time.Time, id LinkID, entry runs.Entry) {
	c.now = now
	c.dropFormer(entry)
	l := &link{id: id, entry: entry}
	c.links.Put(id, l)
	c.tellWorker(l)
	c.tellHeld(l)
}

// dropFormer stops the runs of a former incarnation of an entry.
func (c *Core) dropFormer(entry runs.Entry) {
	for r := range c.runs.Values() {
		if r.owner.Address == entry.Address && r.owner.Incarnation != entry.Incarnation {
			c.leases[r.owner.Incarnation] = time.Time{}
		}
	}
	c.expireOwners()
}

// LinkDown closes a link. Its entry's runs go on until the lease is over.
func (c *Core) LinkDown(now time.Time, id LinkID) {
	c.now = now
	c.links.Delete(id)
	c.pendingOwned.Delete(id)
}

// Receive handles a message of an entry.
func (c *Core) Receive(now time.Time, id LinkID, msg *runs.ToAgent) {
	c.now = now
	l := c.links.Get(id)
	if l == nil {
		return
	}
	c.renew(l, msg.Clock)
	if msg.Drains != nil {
		c.takeDrains(*msg.Drains, msg.Clock) // before the starts of the same message
	}
	if msg.Owned != nil {
		c.pendingOwned.Put(id, msg.Owned)
		c.reconcile()
	}
	c.noted(msg.Noted)
	c.void(msg.Void)
	for i := range msg.Starts {
		l.seen++
		c.admit(l, &msg.Starts[i], msg.Clock)
	}
	for _, key := range msg.Withdraws {
		if r := c.runs.Get(key); r != nil && r.phase == phaseWaiting && r.owner.Incarnation == l.entry.Incarnation {
			c.end(r, runs.Asked)
		}
	}
	for _, key := range msg.Stops {
		c.stopAsked(l, key, false)
	}
	for _, key := range msg.Moves {
		c.stopAsked(l, key, true)
	}
}

// renew lets the lease of a link's entry last from a reading of this agent's clock.
func (c *Core) renew(l *link, reading int64) {
	if reading == 0 {
		return
	}
	until := time.Unix(0, reading).Add(c.settings.OwnerLease)
	if until.After(c.leases[l.entry.Incarnation]) {
		c.leases[l.entry.Incarnation] = until
	}
}

func (c *Core) leased(entry runs.Entry) bool { return c.now.Before(c.leases[entry.Incarnation]) }

// Tick handles the passing of time.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.expireOwners()
	c.expireLeft()
	c.expireWorker()
	c.expireStranded()
	c.expireWaiting()
	c.stopOrphans()
	c.retryStops()
	c.boundHeld()
	c.forgetVoid()
	c.askAboutHeld()
	c.forgetLeases()
	c.closeReleased()
	c.noteEmptied()
}

// expireOwners ends the runs of entries whose lease is over.
func (c *Core) expireOwners() {
	for r := range c.runs.Values() {
		if r.orphan || c.leased(r.owner) {
			continue
		}
		c.mustEnd(r, c.lapsed(r))
		c.end(r, runs.NoLease)
	}
}

// forgetLeases drops leases that are over and have no runs.
func (c *Core) forgetLeases() {
	for incarnation, until := range c.leases {
		if c.now.After(until) && !c.owns(incarnation) {
			delete(c.leases, incarnation)
		}
	}
}

func (c *Core) owns(incarnation uint64) bool {
	for r := range c.runs.Values() {
		if r.owner.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// Drain refuses all work that has not begun and all new work.
func (c *Core) Drain(now time.Time) {
	c.now = now
	c.draining = true
	c.refuseWaiting(runs.Draining)
	c.workerChanged()
}

// Runs returns the number of runs, those that wait included.
func (c *Core) Runs() int { return c.runs.Len() }

// Idle reports whether nothing runs.
func (c *Core) Idle() bool { return c.runs.Len() == 0 }

// Busy reports whether the worker has to be looked at.
func (c *Core) Busy() bool {
	w := &c.worker
	if !w.known || !w.leftAt.IsZero() {
		return false
	}
	return !w.synced || c.lapsing() || w.candidate.ID != "" || w.doubted || c.occupied() > 0 || w.acknowledged < c.notedUpTo()
}

// occupied returns the number of runs that may be at the worker.
func (c *Core) occupied() int {
	n := 0
	for r := range c.runs.Values() {
		if r.phase != phaseWaiting {
			n++
		}
	}
	return n
}

// roomLeft returns the room that the runs at the worker leave.
func (c *Core) roomLeft() room.Room {
	left := c.worker.info.Capacity
	for r := range c.runs.Values() {
		switch {
		case r.orphan:
			return room.Room{} // its size is not known
		case r.phase != phaseWaiting:
			left = left.Minus(r.need)
		}
	}
	return c.roomBeside(left)
}

// Owes reports whether runs of a link's entry are here.
func (c *Core) Owes(id LinkID) bool {
	l := c.links.Get(id)
	return l != nil && c.owns(l.entry.Incarnation)
}
