// Package agentcore is the decision logic of an agent: admission into the
// slots of its backend server, fencing, and the retention of results.
//
// The core is a deterministic state machine. Its methods are the events; each
// takes the time and returns the Output to carry out. It has no clock, socket,
// goroutine or log. It is not safe for concurrent use: one goroutine owns it.
//
// # Protocol
//
// Every StartBatch carries the epoch of the sender's ownership. The core
// remembers the highest epoch of each submission and refuses lower ones; that
// refusal proves "not run" by this incarnation. A Fence raises the epoch,
// withdraws queued attempts of lower epochs and reports what has started.
// Results are kept until the owner acknowledges that the outcome is recorded;
// after that a tombstone keeps the epoch for Settings.FenceMemory.
//
// # Edge cases
//
//   - A second link from the same entry incarnation replaces the first:
//     messages still buffered on the older link are ignored, so a query sent on
//     the new link is answered with a state that no older message can change.
//   - A duplicate of an attempt is ignored. A higher attempt is accepted only
//     when the previous one has ended, so that a task never runs twice at once.
//   - An unacknowledged submission dropped by age sets a flag that makes later
//     answers to a Fence partial: absence is then no proof.
package agentcore

import (
	"slices"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire"
)

// LinkID numbers links in the order in which they were opened; never 0.
type LinkID uint64

// Settings are the limits of an agent.
type Settings struct {
	// Info is announced to entries.
	Info wire.AgentInfo
	// FenceMemory is how long the epoch of an ended submission is kept. It
	// must exceed the longest silence after which links are closed.
	FenceMemory time.Duration
	// ResultRetention is how long an unacknowledged result is kept.
	ResultRetention time.Duration
	// ResultBytes bounds the payloads of results kept; new work is refused beyond it.
	ResultBytes int
}

// ExecID names one execution in the backend server.
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
	// MaxRun is the time after which the attempt is given up.
	MaxRun time.Duration
}

// Completion is the end of an execution.
type Completion struct {
	Kind    errkind.Kind
	Payload []byte
	// NotRun is a proof that the backend server did not receive the request.
	NotRun  bool
	RunTime time.Duration
}

// Send is a message for one link.
type Send struct {
	Link LinkID
	Msg  *wire.ToEntry
}

// Output is what one event asks the caller to carry out, in order.
type Output struct {
	Sends    []Send
	Executes []Execution
	// Stops are executions whose result is no longer wanted.
	Stops []ExecID
}

type linkState struct {
	entry wire.EntryInfo
}

type entryKey struct {
	id          string
	incarnation uint64
}

// Core is the state of one agent incarnation.
type Core struct {
	settings Settings
	links    map[LinkID]linkState
	// current is the newest link of each entry incarnation.
	current map[entryKey]LinkID
	held    map[string]*submission
	queue   runQueue
	running int
	// active counts queued and running attempts by the entry that owns them.
	active map[entryKey]int
	seq    uint64
	// keptBytes is the sum of payloads of results in held.
	keptBytes int
	draining  bool
	// restUntil is the end of a rest that an entry asked for; zero if none.
	restUntil time.Time
	// forgot is true once an unacknowledged submission was dropped.
	forgot bool
	// configVersion is the highest version heard of from any entry.
	configVersion uint64
	out           Output
}

// New returns the core of a fresh incarnation.
func New(settings Settings) *Core {
	return &Core{
		settings: settings,
		links:    make(map[LinkID]linkState),
		current:  make(map[entryKey]LinkID),
		held:     make(map[string]*submission),
		active:   make(map[entryKey]int),
	}
}

// LinkUp registers a link from entry.
func (c *Core) LinkUp(_ time.Time, link LinkID, entry wire.EntryInfo) Output {
	c.links[link] = linkState{entry: entry}
	key := entryKey{entry.ID, entry.Incarnation}
	if link > c.current[key] {
		c.current[key] = link
	}
	info := c.settings.Info
	c.message(link).Info = &info
	return c.flush()
}

// LinkDown forgets a link. Work that arrived on it goes on.
func (c *Core) LinkDown(_ time.Time, link LinkID) Output {
	state, ok := c.links[link]
	if !ok {
		return c.flush()
	}
	delete(c.links, link)
	key := entryKey{state.entry.ID, state.entry.Incarnation}
	if c.current[key] == link {
		delete(c.current, key)
	}
	return c.flush()
}

// Receive handles one message of an entry.
func (c *Core) Receive(now time.Time, link LinkID, msg *wire.ToAgent) Output {
	state, ok := c.links[link]
	if !ok {
		return c.flush()
	}
	owner := entryKey{state.entry.ID, state.entry.Incarnation}
	if c.current[owner] != link {
		return c.flush() // superseded by a newer link of the same incarnation
	}
	c.configVersion = max(c.configVersion, msg.ConfigVersion)
	if msg.RestFor > 0 {
		c.restUntil = now.Add(msg.RestFor)
		c.tellAll()
	}
	for i := range msg.Fences {
		c.fence(now, link, owner, &msg.Fences[i])
	}
	for i := range msg.Cancels {
		c.cancel(now, owner, &msg.Cancels[i])
	}
	for _, batch := range msg.Starts {
		c.admit(now, link, owner, batch)
	}
	for i := range msg.Acks {
		c.ack(now, &msg.Acks[i])
	}
	c.fillSlots(now)
	return c.flush()
}

// Finished records the end of an execution.
func (c *Core) Finished(now time.Time, id ExecID, done Completion) Output {
	c.running--
	if sub := c.held[id.Submission]; sub != nil {
		if a := sub.attempts[id.Index]; a != nil && a.attempt == id.Attempt && a.phase == wire.Running {
			c.count(sub.owner, -1)
			c.finish(now, sub, a, done)
		}
	}
	c.fillSlots(now)
	return c.flush()
}

// Drain refuses new work from now on and tells every entry.
func (c *Core) Drain(time.Time) Output {
	if !c.draining {
		c.draining = true
		c.tellAll()
	}
	return c.flush()
}

// tellAll gathers a message for every entry, which carries the load and
// whether new work is refused.
func (c *Core) tellAll() {
	for _, link := range c.sortedLinks() {
		c.message(link)
	}
}

func (c *Core) sortedLinks() []LinkID {
	list := make([]LinkID, 0, len(c.current))
	for _, link := range c.current {
		list = append(list, link)
	}
	slices.Sort(list)
	return list
}

// refusing reports whether new work is refused.
func (c *Core) refusing() bool { return c.draining || !c.restUntil.IsZero() }

// Idle reports whether no attempt is queued or running and no result waits to
// be acknowledged by an entry that is still linked.
func (c *Core) Idle() bool {
	if c.running > 0 || c.queue.Len() > 0 {
		return false
	}
	for _, sub := range c.held {
		if _, linked := c.current[sub.owner]; linked && !sub.acked && len(sub.attempts) > 0 {
			return false
		}
	}
	return true
}

// Heartbeat sends the load on a link that has been silent.
func (c *Core) Heartbeat(_ time.Time, link LinkID) Output {
	if _, ok := c.links[link]; ok {
		c.message(link)
	}
	return c.flush()
}

// Tick expires tombstones, unacknowledged results and rests.
func (c *Core) Tick(now time.Time) Output {
	for id, sub := range c.held {
		c.expire(now, id, sub)
	}
	if !c.restUntil.IsZero() && now.After(c.restUntil) {
		c.restUntil = time.Time{}
		c.tellAll()
	}
	c.fillSlots(now)
	return c.flush()
}

// Load returns the current load.
func (c *Core) Load() wire.Load {
	return wire.Load{Running: c.running, Queued: c.queue.Len()}
}

// Held returns the number of submissions remembered and the bytes of results kept.
func (c *Core) Held() (submissions, bytes int) { return len(c.held), c.keptBytes }

// ConfigVersion returns the newest configuration version heard of.
func (c *Core) ConfigVersion() uint64 { return c.configVersion }

// message returns the message being gathered for link in this step.
func (c *Core) message(link LinkID) *wire.ToEntry {
	for i := range c.out.Sends {
		if c.out.Sends[i].Link == link {
			return c.out.Sends[i].Msg
		}
	}
	msg := new(wire.ToEntry)
	c.out.Sends = append(c.out.Sends, Send{Link: link, Msg: msg})
	return msg
}

// flush stamps the load on every gathered message and hands the output over.
func (c *Core) flush() Output {
	out := c.out
	c.out = Output{}
	load := c.Load()
	for i := range out.Sends {
		msg := out.Sends[i].Msg
		msg.Load = load
		msg.Load.Mine = c.mine(out.Sends[i].Link)
		msg.ConfigVersion = c.configVersion
		msg.Leaving = c.refusing()
	}
	return out
}

// mine returns the part of the load that belongs to the entry behind link.
func (c *Core) mine(link LinkID) int {
	entry := c.links[link].entry
	return c.active[entryKey{entry.ID, entry.Incarnation}]
}

// count adjusts the active attempts of an owner.
func (c *Core) count(owner entryKey, delta int) {
	c.active[owner] += delta
	if c.active[owner] == 0 {
		delete(c.active, owner)
	}
}

// setOwner moves the active attempts of sub to a new owner.
func (c *Core) setOwner(sub *submission, owner entryKey) {
	if sub.owner == owner {
		return
	}
	n := 0
	for _, a := range sub.attempts {
		if a.phase == wire.Queued || a.phase == wire.Running {
			n++
		}
	}
	c.count(sub.owner, -n)
	c.count(owner, n)
	sub.owner = owner
}
