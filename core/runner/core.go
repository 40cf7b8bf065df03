// Package runner is the decision core of an agent that runs the tasks of entries on the worker
// beside it. It admits runs while the worker has free capacity, orders starts and stops, keeps
// the worker's lease, and reports to entries how their runs ended.
//
// The core is deterministic: events and times go in, an Output with messages and orders comes
// out. It has no clock, socket, goroutine or log.
//
// Terms:
//   - A run is one execution of a task. Its owner is the entry that ordered it.
//   - A poll is a call to the worker that renews its lease and lists its running and ended
//     runs. The worker ends all its runs when the lease expires.
//   - An incarnation is one start of a process: of an entry, or of the backend server that is
//     the worker. A retired incarnation is one that is known to be over.
//   - An orphan is a run that the worker lists but that no entry has ordered from this agent
//     process or claimed, usually one of a previous process.
//
// A task never runs twice at a time, because:
//   - A run occupies the worker from the moment its start is ordered until the worker lists
//     its end, or until it certainly does not run and will not start: its stop was answered
//     and a later listing does not show it, or the deadline of its start order has passed on
//     the worker's clock.
//   - Only then does the entry receive the end, and only then does it start the task
//     elsewhere.
//   - Runs of an entry whose lease has expired are stopped. If the agent cannot stop them,
//     the worker's lease ends them.
//   - A new agent process takes a higher fencing token before it asks what runs, so that no
//     order of a previous process takes effect afterwards.
package runner

import (
	"time"

	"peridotpick.example/common/ordered"
	"peridotpick.example/common/room"
	"peridotpick.example/core/drains"
	"peridotpick.example/core/policy"
	"peridotpick.example/core/reserve"
	"peridotpick.example/wire/runs"
)

// Settings configure a core.
type Settings struct {
	// Agent is the name of the agent's instance.
	Agent string
	// OwnerLease is how long the runs of an entry go on without a message from it.
	OwnerLease time.Duration
	// WorkerLease is the lease that each start order and each poll requests from the worker.
	WorkerLease time.Duration
	// MaxWorkerLease is the longest lease that the worker grants; it shortens longer ones. 0 means
	// that it sets no limit.
	MaxWorkerLease time.Duration
	// PollWait is how long the worker may hold a poll open while it waits for an end.
	PollWait time.Duration
	// AdoptTimeout is how long orphans wait to be claimed by an entry before they are stopped.
	AdoptTimeout time.Duration
	// QueueLimit is the greatest number of runs that wait for free capacity.
	QueueLimit int
	// HeartbeatInterval is the heartbeat interval on links whose entry has runs here,
	// IdleHeartbeatInterval that on others.
	HeartbeatInterval, IdleHeartbeatInterval time.Duration
	// ProgressReportFactor is the multiple of its estimated run time after which the owner of a run
	// receives progress reports.
	ProgressReportFactor float64
	// DrainViewMaxAge is the age of the view of drained data centres above which the agent asks the
	// store itself.
	DrainViewMaxAge time.Duration
	// Policy selects the mechanisms in force; production uses all of them.
	Policy policy.Policy
}

// LinkID identifies one link to an entry.
type LinkID uint64

// Send is a message to an entry.
type Send struct {
	Link LinkID
	Msg  *runs.ToEntry
}

// Output lists the actions that the core asks its owner to perform.
type Output struct {
	Sends  []Send
	Orders []Order
	// CloseLinks are released links whose entries have no runs here.
	CloseLinks []LinkID
	// Decisions are the decisions for the log.
	Decisions []Decision
	// Announced is a description of the worker that has come into use; nil if there is none.
	Announced *runs.Worker
}

// Decision is one decision, to be logged and counted.
type Decision struct {
	Event  string
	Key    runs.Key
	Entry  string
	Reason runs.Reason
	// Age is the time since the run was ordered, since the end was first listed, or since the
	// view of drained data centres was confirmed, depending on the event.
	Age time.Duration
	// Version is the version of the view of drained data centres, in decisions about drains.
	Version uint64
	// Worker and Previous are the worker's present and its previous incarnation, in decisions about
	// the worker.
	Worker, Previous runs.Incarnation
	// Clock is the worker's clock in ms as announced, WorkerClock the newest reading from its answers, in
	// decisions about announcements.
	Clock, WorkerClock int64
}

// link is a connection to one entry.
type link struct {
	id    LinkID
	entry runs.Entry
	// startsReceived is the number of starts received on the link.
	startsReceived uint64
	// out collects the content of the next message.
	out runs.ToEntry
	// dirty is set if that message must be sent without delay.
	dirty bool
	// loadOutdated is set while the last load sent on the link differs from the present one.
	loadOutdated bool
	lastSent     time.Time
	// described is the description of the worker that was sent last.
	described described
	// releasedAt is when the link was released; zero while it is in use. See Release.
	releasedAt time.Time
	// onDemand is set if the link exists only because its entry is short of agents.
	onDemand bool
}

// Core is the state of one agent.
type Core struct {
	settings Settings
	worker   workerState
	// description describes the worker to entries, without what differs between links. Its ID is
	// empty while the worker may be given nothing. descriptionVersion rises with each change of it.
	description        runs.Worker
	descriptionVersion uint64
	// retired are the worker's incarnations that are known to be over.
	retired retiredIncarnations
	links   ordered.Map[LinkID, *link]
	// ownerLeases are the ends of the leases of entries, by incarnation of the entry.
	ownerLeases map[uint64]time.Time
	runs        ordered.Map[runs.Key, *run]
	queue       runQueue
	// reservations are the requests of entries for resources that are occupied at present.
	reservations reserve.Book
	// pendingOwned are the lists of owned runs that entries sent before the worker's runs were
	// known.
	pendingOwned ordered.Map[LinkID, []runs.OwnedRun]
	// held are the ends that the worker must go on listing, by their number. See heldEnd.
	held ordered.Map[int64, *heldEnd]
	// polledAt is when the last poll was sent.
	polledAt time.Time
	recent   recentEnds
	// expiredEnds are ends by expiry of the worker's lease for which it is not known yet whether
	// the worker had crashed.
	expiredEnds []expiredEnd
	speed       speedStats
	draining    bool
	drains      drains.State
	// emptyReported is set once the drained worker has been reported as empty.
	emptyReported bool
	// startedAt is the time of the first tick, tickedAt that of the last one.
	startedAt, tickedAt time.Time
	loadChanged         bool
	// sharedLoad is the part of the load that is equal for all links, computed once a flush; nil
	// until a link needs it.
	sharedLoad *runs.Load
	now        time.Time
	out        Output
}

// New returns a core that does not know its worker yet.
func New(s Settings) *Core {
	return &Core{
		settings: s, worker: workerState{info: runs.Worker{Agent: s.Agent}}, ownerLeases: make(map[uint64]time.Time),
		recent: newRecentEnds(),
	}
}

// Flush starts waiting runs that fit and returns the messages and orders that are due.
func (c *Core) Flush(now time.Time) Output {
	c.now = now
	c.startWaiting()
	c.sharedLoad = nil
	c.updateDescription()
	for l := range c.links.Values() {
		c.flushLink(l)
	}
	c.loadChanged = false
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) flushLink(l *link) {
	l.loadOutdated = l.loadOutdated || c.loadChanged
	c.describeWorker(l)
	if !c.messageDue(l) {
		return
	}
	msg := l.out
	msg.Clock = c.now.UnixNano()
	msg.Load = c.load(l)
	msg.Progress = c.progress(l.entry.Incarnation)
	c.out.Sends = append(c.out.Sends, Send{Link: l.id, Msg: &msg})
	l.out = runs.ToEntry{}
	l.dirty = false
	l.loadOutdated = false
	l.lastSent = c.now
}

// messageDue reports whether a message must be sent on a link now.
func (c *Core) messageDue(l *link) bool {
	sinceSent := c.now.Sub(l.lastSent)
	switch {
	case l.dirty:
		return true
	case l.loadOutdated && sinceSent >= c.loadUpdateInterval():
		return true
	case sinceSent < c.settings.HeartbeatInterval:
		return false
	}
	return sinceSent >= c.settings.IdleHeartbeatInterval || c.hasRuns(l.entry.Incarnation)
}

// loadUpdatesPerSecond limits the messages a second, to all entries together, that carry nothing
// but a changed load. Each start and end changes the load: sending each change at once on each
// link costs a message for each task and entry, which saturates the processors of 55 entries with
// 240 agents even under low load. Ends, progress reports and heartbeats carry the load anyway.
// With the six links of a subset, 480 a second are one every 12 ms on each link: less than a short
// task takes.
const loadUpdatesPerSecond = 480

// loadUpdateInterval returns the shortest interval between load updates on one link. It grows
// with the number of links, up to the heartbeat interval.
func (c *Core) loadUpdateInterval() time.Duration {
	return min(time.Duration(c.links.Len())*time.Second/loadUpdatesPerSecond, c.settings.HeartbeatInterval)
}

// HasUnsentLoad reports whether the present load has still to be sent to an entry.
func (c *Core) HasUnsentLoad() bool {
	for l := range c.links.Values() {
		if l.loadOutdated {
			return true
		}
	}
	return false
}

// LinkUp adds a link after the hello of its entry.
func (c *Core) LinkUp(now time.Time, id LinkID, entry runs.Entry) {
	c.now = now
	c.endPreviousIncarnation(entry)
	l := &link{id: id, entry: entry}
	c.links.Put(id, l)
	c.resendHeldEnds(l)
}

// endPreviousIncarnation expires the leases of previous incarnations of an entry, and so ends
// their runs.
func (c *Core) endPreviousIncarnation(entry runs.Entry) {
	for r := range c.runs.Values() {
		if r.owner.Address == entry.Address && r.owner.Incarnation != entry.Incarnation {
			c.ownerLeases[r.owner.Incarnation] = time.Time{}
		}
	}
	c.expireOwners()
}

// LinkDown removes a link. The runs of its entry go on until its lease expires.
func (c *Core) LinkDown(now time.Time, id LinkID) {
	c.now = now
	c.links.Delete(id)
	c.pendingOwned.Delete(id)
	c.reservations.DropLink(uint64(id))
}

// Receive handles a message from an entry.
func (c *Core) Receive(now time.Time, id LinkID, msg *runs.ToAgent) {
	c.now = now
	l := c.links.Get(id)
	if l == nil {
		return
	}
	c.renewLease(l, msg.Clock)
	if msg.Drains != nil {
		c.receiveDrains(*msg.Drains, msg.Clock) // before the starts of the same message
	}
	if msg.Owned != nil {
		c.pendingOwned.Put(id, msg.Owned)
		c.reconcile()
	}
	c.releaseEnds(msg.AckedEnds)
	c.voidEnds(msg.VoidEnds)
	for i := range msg.Starts {
		l.startsReceived++
		c.admit(l, &msg.Starts[i], msg.Clock)
	}
	c.releaseReservations(l, msg.Released)
	for i := range msg.Reserve {
		c.reserve(l, &msg.Reserve[i], msg.Clock)
	}
	for _, key := range msg.Stops {
		c.handleStopRequest(l, key, false)
	}
	for _, key := range msg.Moves {
		c.handleStopRequest(l, key, true)
	}
}

// renewLease extends the lease of a link's entry to OwnerLease after the given reading of this
// agent's clock, in Unix ns. 0 means no reading.
func (c *Core) renewLease(l *link, reading int64) {
	if reading == 0 {
		return
	}
	until := time.Unix(0, reading).Add(c.settings.OwnerLease)
	if until.After(c.ownerLeases[l.entry.Incarnation]) {
		c.ownerLeases[l.entry.Incarnation] = until
	}
}

// hasLease reports whether an entry's lease is valid.
func (c *Core) hasLease(entry runs.Entry) bool { return c.now.Before(c.ownerLeases[entry.Incarnation]) }

// Tick handles what is due by time alone. It must be called before each event and at regular
// intervals.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.checkSuspension()
	c.expireOwners()
	c.expireLeaving()
	c.expireWorkerLease()
	c.expireInFlight()
	c.expireWaiting()
	c.expireReservations()
	c.stopOrphans()
	c.retryStops()
	c.limitListedEnds()
	c.deleteVoidEnds()
	c.askAboutHeldEnds()
	c.deleteExpiredLeases()
	c.closeReleased()
	c.logEmptied()
}

// expireOwners ends the runs of entries whose lease has expired.
func (c *Core) expireOwners() {
	for r := range c.runs.Values() {
		if r.orphan || c.hasLease(r.owner) {
			continue
		}
		c.setEndDeadline(r, c.ownerLeaseEnd(r))
		c.terminate(r, runs.ReasonNoLease)
	}
}

// deleteExpiredLeases deletes expired leases of entries that have no runs here.
func (c *Core) deleteExpiredLeases() {
	for incarnation, until := range c.ownerLeases {
		if c.now.After(until) && !c.hasRuns(incarnation) {
			delete(c.ownerLeases, incarnation)
		}
	}
}

// hasRuns reports whether an incarnation of an entry has runs here.
func (c *Core) hasRuns(incarnation uint64) bool {
	for r := range c.runs.Values() {
		if r.owner.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// Drain refuses all waiting runs and all further starts.
func (c *Core) Drain(now time.Time) {
	c.now = now
	c.draining = true
	c.refuseWaiting(runs.ReasonDraining)
}

// RunCount returns the number of runs, including waiting ones.
func (c *Core) RunCount() int { return c.runs.Len() }

// IsIdle reports whether the core has no runs, including waiting ones.
func (c *Core) IsIdle() bool { return c.runs.Len() == 0 }

// NeedsPoll reports whether the worker has to be polled.
func (c *Core) NeedsPoll() bool {
	w := &c.worker
	if !w.known || !w.leavingSince.IsZero() {
		return false
	}
	return !w.synced || c.awaitsClock() || c.awaitsLeaseExpiry() || w.candidate != nil || w.pending != nil || w.restartSuspected || c.runsAtWorker() > 0 || w.acknowledged < c.ackUpTo()
}

// awaitsClock reports whether runs wait until the worker has told its clock again, which it has not
// while it had nothing to do.
func (c *Core) awaitsClock() bool {
	return len(c.queue) > 0 && !c.worker.hasFreshClock(c.now)
}

// runsAtWorker returns the number of runs that may be at the worker.
func (c *Core) runsAtWorker() int {
	n := 0
	for r := range c.runs.Values() {
		if r.phase != phaseWaiting {
			n++
		}
	}
	return n
}

// freeCapacity returns the capacity that the runs at the worker and the offered reservations leave.
// It is zero while there are orphans.
func (c *Core) freeCapacity() room.Resources {
	left := c.worker.info.Capacity.Sub(c.reservations.Held())
	for r := range c.runs.Values() {
		switch {
		case r.orphan:
			return room.Resources{} // its size is not known
		case r.phase != phaseWaiting:
			left = left.Sub(r.need)
		}
	}
	return c.isolatedCapacity(left)
}

// EntryHasRuns reports whether the entry of a link has runs here.
func (c *Core) EntryHasRuns(id LinkID) bool {
	l := c.links.Get(id)
	return l != nil && c.hasRuns(l.entry.Incarnation)
}
