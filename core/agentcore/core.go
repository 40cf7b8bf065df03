// Package agentcore is the decision core of an agent whose backend server has slots. It admits
// tasks into a queue and the slots, refuses the messages of previous owners of a submission by its
// epoch, and retains results until their owner acknowledges them.
//
// The core is a deterministic state machine. Its methods are the events; each takes the time and
// returns the Output that the caller has to carry out. The core has no clock, socket, goroutine or
// log. It is not safe for concurrent use: one goroutine owns it.
//
// # Protocol
//
// Every StartBatch carries the epoch of the sender's ownership of the submission. The core keeps
// the highest epoch of each submission and refuses batches with a lower one; the refusal proves
// that the task did not run at this incarnation of the agent. A Fence raises the epoch, withdraws
// queued attempts of lower epochs and reports the attempts that have started. A result is retained
// until the owner acknowledges that the outcome of the submission is recorded. From then on a
// tombstone keeps the epoch for Settings.TombstoneRetention.
//
// # Edge cases
//
//   - A second link from the same entry incarnation replaces the first. Messages still buffered on
//     the older link are ignored, so that no older message can change the state with which a
//     query on the new link is answered.
//   - A duplicate of an attempt is ignored. A higher attempt is accepted only when the previous one
//     has ended, so that a task never runs twice at once.
//   - After a submission with unacknowledged results is dropped by age, replies to a Fence of an
//     unknown submission are marked as partial: the absence of an attempt is then no proof that it
//     did not run.
package agentcore

import (
	"slices"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire"
)

// LinkID identifies a link from an entry. A link that is opened later has a higher ID; 0 is not
// used.
type LinkID uint64

// Settings are the limits of an agent.
type Settings struct {
	// Info is announced to entries.
	Info wire.AgentInfo
	// TombstoneRetention is how long the epoch of an ended submission is kept. It must exceed the
	// longest silence timeout of a link.
	TombstoneRetention time.Duration
	// ResultRetention is how long an unacknowledged result is retained after the last event of its
	// submission.
	ResultRetention time.Duration
	// MaxResultBytes limits the payloads of retained results, in bytes. New tasks are refused while
	// the limit is exceeded.
	MaxResultBytes int
}

// ExecID identifies one execution in the backend server: an attempt of a task.
type ExecID struct {
	Submission string
	Index      uint32
	Attempt    uint32
}

// Execution is a request to run an attempt in the backend server.
type Execution struct {
	ID      ExecID
	Kind    string
	Payload []byte
	// MaxRun is the run time after which the attempt is stopped.
	MaxRun time.Duration
}

// Completion is the end of an execution.
type Completion struct {
	Kind    errkind.Kind
	Payload []byte
	// NotRun is set if the backend server provably did not receive the request.
	NotRun  bool
	RunTime time.Duration
}

// Send is a message for one link.
type Send struct {
	Link LinkID
	Msg  *wire.ToEntry
}

// Output is what the caller has to carry out after an event, each list in order.
type Output struct {
	Sends      []Send
	Executions []Execution
	// StopExecutions are the executions to stop, since their results are no longer needed.
	StopExecutions []ExecID
}

type linkState struct {
	entry wire.EntryInfo
}

// entryKey identifies an entry incarnation.
type entryKey struct {
	id          string
	incarnation uint64
}

// Core is the state of one agent incarnation.
type Core struct {
	settings Settings
	links    map[LinkID]linkState
	// newestLink has the link with the highest ID of each linked entry incarnation. Messages on its
	// older links are ignored.
	newestLink map[entryKey]LinkID
	// submissions has every submission that is remembered, by name, including tombstones.
	submissions map[string]*submission
	queue       attemptQueue
	// running is the number of executions in the backend server.
	running int
	// activeByOwner counts the queued and running attempts of each owner.
	activeByOwner map[entryKey]int
	// lastSeq is the sequence number of the last attempt admitted.
	lastSeq uint64
	// resultBytes is the sum of the payloads of retained results.
	resultBytes int
	draining    bool
	// restUntil is the end of a rest, a time in which new work is refused because an entry is about
	// to put the worker to sleep. It is zero if there is none.
	restUntil time.Time
	// droppedUnacked is set once a submission with unacknowledged results is dropped.
	droppedUnacked bool
	// configVersion is the highest configuration version received from any entry.
	configVersion uint64
	out           Output
}

// New returns the core of a new incarnation.
func New(settings Settings) *Core {
	return &Core{
		settings:      settings,
		links:         make(map[LinkID]linkState),
		newestLink:    make(map[entryKey]LinkID),
		submissions:   make(map[string]*submission),
		activeByOwner: make(map[entryKey]int),
	}
}

// LinkUp registers a link from entry and announces the agent on it.
func (c *Core) LinkUp(_ time.Time, link LinkID, entry wire.EntryInfo) Output {
	c.links[link] = linkState{entry: entry}
	key := entryKey{entry.ID, entry.Incarnation}
	if link > c.newestLink[key] {
		c.newestLink[key] = link
	}
	info := c.settings.Info
	c.messageFor(link).Info = &info
	return c.flush()
}

// LinkDown removes a link. Tasks that arrived on it continue.
func (c *Core) LinkDown(_ time.Time, link LinkID) Output {
	state, ok := c.links[link]
	if !ok {
		return c.flush()
	}
	delete(c.links, link)
	key := entryKey{state.entry.ID, state.entry.Incarnation}
	if c.newestLink[key] == link {
		delete(c.newestLink, key)
	}
	return c.flush()
}

// Receive handles one message of an entry. A message of an unknown or superseded link is ignored.
func (c *Core) Receive(now time.Time, link LinkID, msg *wire.ToAgent) Output {
	state, ok := c.links[link]
	if !ok {
		return c.flush()
	}
	owner := entryKey{state.entry.ID, state.entry.Incarnation}
	if c.newestLink[owner] != link {
		return c.flush() // superseded by a newer link of the same incarnation
	}
	c.configVersion = max(c.configVersion, msg.ConfigVersion)
	if msg.RestFor > 0 {
		c.restUntil = now.Add(msg.RestFor)
		c.notifyEntries()
	}
	for i := range msg.Fences {
		c.handleFence(now, link, owner, &msg.Fences[i])
	}
	for i := range msg.Cancels {
		c.handleCancel(now, owner, &msg.Cancels[i])
	}
	for _, batch := range msg.Starts {
		c.admitBatch(now, link, owner, batch)
	}
	for i := range msg.Acks {
		c.handleAck(now, &msg.Acks[i])
	}
	c.fillSlots(now)
	return c.flush()
}

// ExecutionFinished handles the end of an execution and starts queued attempts in the slot.
func (c *Core) ExecutionFinished(now time.Time, id ExecID, done Completion) Output {
	c.running--
	if sub := c.submissions[id.Submission]; sub != nil {
		if a := sub.attempts[id.Index]; a != nil && a.number == id.Attempt && a.phase == wire.PhaseRunning {
			c.addActive(sub.owner, -1)
			c.recordResult(now, sub, a, done)
		}
	}
	c.fillSlots(now)
	return c.flush()
}

// Drain refuses new work from now on and notifies every entry.
func (c *Core) Drain(time.Time) Output {
	if !c.draining {
		c.draining = true
		c.notifyEntries()
	}
	return c.flush()
}

// notifyEntries prepares a message for every linked entry. Every message carries the load and
// whether new work is refused, which flush fills in.
func (c *Core) notifyEntries() {
	for _, link := range c.sortedLinks() {
		c.messageFor(link)
	}
}

// sortedLinks returns the newest link of each entry incarnation in a fixed order.
func (c *Core) sortedLinks() []LinkID {
	list := make([]LinkID, 0, len(c.newestLink))
	for _, link := range c.newestLink {
		list = append(list, link)
	}
	slices.Sort(list)
	return list
}

// isRefusing reports whether new work is refused: the agent drains or rests.
func (c *Core) isRefusing() bool { return c.draining || !c.restUntil.IsZero() }

// IsIdle reports whether no attempt is queued or running and no linked entry still has to acknowledge
// a result.
func (c *Core) IsIdle() bool {
	if c.running > 0 || c.queue.Len() > 0 {
		return false
	}
	for _, sub := range c.submissions {
		if _, linked := c.newestLink[sub.owner]; linked && !sub.acked && len(sub.attempts) > 0 {
			return false
		}
	}
	return true
}

// Heartbeat sends the load on an idle link.
func (c *Core) Heartbeat(_ time.Time, link LinkID) Output {
	if _, ok := c.links[link]; ok {
		c.messageFor(link)
	}
	return c.flush()
}

// Tick expires tombstones, unacknowledged results and a rest. It is to be called periodically.
func (c *Core) Tick(now time.Time) Output {
	for id, sub := range c.submissions {
		c.expire(now, id, sub)
	}
	if !c.restUntil.IsZero() && now.After(c.restUntil) {
		c.restUntil = time.Time{}
		c.notifyEntries()
	}
	c.fillSlots(now)
	return c.flush()
}

// Load returns the numbers of running and queued attempts.
func (c *Core) Load() wire.Load {
	return wire.Load{Running: c.running, Queued: c.queue.Len()}
}

// Retained returns the number of submissions that are remembered, tombstones included, and the
// payload bytes of retained results.
func (c *Core) Retained() (submissions, bytes int) { return len(c.submissions), c.resultBytes }

// ConfigVersion returns the highest configuration version received from any entry.
func (c *Core) ConfigVersion() uint64 { return c.configVersion }

// messageFor returns the pending message of this event for link, and creates it if there is none.
func (c *Core) messageFor(link LinkID) *wire.ToEntry {
	for i := range c.out.Sends {
		if c.out.Sends[i].Link == link {
			return c.out.Sends[i].Msg
		}
	}
	msg := new(wire.ToEntry)
	c.out.Sends = append(c.out.Sends, Send{Link: link, Msg: msg})
	return msg
}

// flush sets the load, the configuration version and NotAccepting in every pending message, and returns
// the output of the event.
func (c *Core) flush() Output {
	out := c.out
	c.out = Output{}
	load := c.Load()
	for i := range out.Sends {
		msg := out.Sends[i].Msg
		msg.Load = load
		msg.Load.OwnedByReceiver = c.activeFor(out.Sends[i].Link)
		msg.ConfigVersion = c.configVersion
		msg.NotAccepting = c.isRefusing()
	}
	return out
}

// activeFor returns the number of queued and running attempts that the entry at the other end of
// link owns.
func (c *Core) activeFor(link LinkID) int {
	entry := c.links[link].entry
	return c.activeByOwner[entryKey{entry.ID, entry.Incarnation}]
}

// addActive adds delta to the number of queued and running attempts of an owner.
func (c *Core) addActive(owner entryKey, delta int) {
	c.activeByOwner[owner] += delta
	if c.activeByOwner[owner] == 0 {
		delete(c.activeByOwner, owner)
	}
}

// setOwner makes owner the owner of sub and moves the count of its queued and running attempts.
func (c *Core) setOwner(sub *submission, owner entryKey) {
	if sub.owner == owner {
		return
	}
	n := 0
	for _, a := range sub.attempts {
		if a.phase == wire.PhaseQueued || a.phase == wire.PhaseRunning {
			n++
		}
	}
	c.addActive(sub.owner, -n)
	c.addActive(owner, n)
	sub.owner = owner
}
