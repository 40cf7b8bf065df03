package batch

import (
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// agent is an agent with an open link, as this entry sees it.
type agent struct {
	link   LinkID
	worker runs.Worker
	// greeted is true once the runs that the entry believes to be there were sent.
	greeted bool
	load    runs.Load
	loadAt  time.Time
	heardAt time.Time
	// heard counts the messages.
	heard uint64
	// clock is the newest reading of the agent's clock, received at clockAt.
	clock   int64
	clockAt time.Time
	// sent counts the starts; inFlight are those the load does not include yet.
	sent     uint64
	inFlight []start
	out      runs.ToAgent
	dirty    bool
	lastSent time.Time
	runs     int
	probedAt time.Time
	// drainsToldAt is when it was last told which data centres are drained.
	drainsToldAt time.Time
	// trial is what the plan of number plan has put here so far.
	trial trial
	plan  uint64
}

// start is a start that the newest load does not include.
type start struct {
	seq  uint64
	need room.Room
}

// lostAgent is an agent whose link broke.
type lostAgent struct {
	// overAt is when all runs of this entry there are certainly over.
	overAt time.Time
}

// usable reports whether an agent may be given runs.
func (a *agent) usable(now time.Time, silentAfter time.Duration) bool {
	return a.greeted && a.worker.ID != "" && !a.worker.Draining && !a.worker.Released && now.Sub(a.heardAt) < silentAfter
}

// sharers is the number of entries that an agent works with, this one included.
func (a *agent) sharers() int { return max(a.load.Sharers, 1) }

// free returns the room that is probably left at an agent's worker for a run with
// some slack: without the runs at the worker, those on their way, and those that
// wait and go first.
func (c *Core) free(a *agent, slack time.Duration) room.Room {
	left := a.load.Free
	band := runs.SlackBands
	if c.settings.Policy.Has(policy.SlackBands) {
		band = runs.SlackBand(slack)
	}
	for i, cpu := range a.load.Waiting {
		if i <= band {
			left.CPU -= cpu
		}
	}
	for _, s := range a.inFlight {
		left = left.Minus(s.need)
	}
	return left
}

const (
	// fewAgents is the number of agents below which an entry asks for all: one that is
	// drained and one that fails leave a choice then.
	fewAgents = 4
	// shortAfter is how long it must have had fewer. When everything has just started
	// agents come within a second; if all entries asked for all agents then, each pair
	// of them would open a link.
	shortAfter = 3 * time.Second
)

// Short reports whether so few agents work with this entry of their own choice that it
// has to ask for all of them. In a fleet with many entries and few agents some entries
// would have none: what they own would never run. An entry that no other one hears is
// not short: it is cut off, and its agents come back by themselves.
func (c *Core) Short(heard bool) bool {
	own := 0
	for a := range c.agents.Values() {
		if a.greeted && !a.worker.OnDemand && !a.worker.Released {
			own++
		}
	}
	if own >= fewAgents || c.enoughAt.IsZero() || !heard {
		c.enoughAt = c.now
	}
	return c.now.Sub(c.enoughAt) > shortAfter
}

// LinkUp opens a link to an agent.
func (c *Core) LinkUp(now time.Time, id LinkID) {
	c.Now(now)
	c.agents.Put(id, &agent{link: id, heardAt: now})
}

// LinkDown closes a link. Runs there are in doubt until the agent is back or
// their leases have passed.
func (c *Core) LinkDown(now time.Time, id LinkID) {
	c.Now(now)
	a := c.agents.Get(id)
	if a == nil {
		return
	}
	c.agents.Delete(id)
	if a.worker.Agent == "" {
		return
	}
	over := a.lastSent.Add(c.settings.OwnerLease + c.settings.WorkerLease)
	if old := c.lost.Get(a.worker.Agent); old == nil || old.overAt.Before(over) {
		c.lost.Put(a.worker.Agent, &lostAgent{overAt: over})
	}
	reason := "link closed"
	if a.worker.Released {
		reason = "works with other entries"
	}
	c.note(Note{Event: "agent lost", Agent: a.worker.Agent, Worker: a.worker.ID, Reason: reason, Age: now.Sub(a.heardAt)})
}

// Receive handles a message of an agent.
func (c *Core) Receive(now time.Time, id LinkID, msg *runs.ToEntry) {
	c.Now(now)
	a := c.agents.Get(id)
	if a == nil {
		return
	}
	a.heardAt = now
	a.heard++
	if msg.Clock > a.clock {
		a.clock = msg.Clock
		a.clockAt = now
	}
	if msg.Worker != nil {
		c.workerTold(a, msg.Worker)
	}
	if msg.Load != nil {
		a.takeLoad(now, msg.Load)
	}
	for _, p := range msg.Progress {
		c.progressOf(a, p)
	}
	for i := range msg.Ends {
		c.endTold(a, msg.Ends[i])
	}
	for _, end := range msg.Unowned {
		c.endTold(a, end)
	}
	if msg.Load != nil || msg.Worker != nil {
		c.placeWaiting()
	}
}

func (a *agent) takeLoad(now time.Time, load *runs.Load) {
	a.load = *load
	a.loadAt = now
	for len(a.inFlight) > 0 && a.inFlight[0].seq <= load.Seen {
		a.inFlight = a.inFlight[1:]
	}
}

// workerTold takes what an agent says of its worker. The first time, the entry
// tells the agent which runs it believes to be there.
func (c *Core) workerTold(a *agent, w *runs.Worker) {
	c.noteWorker(a, w)
	c.noteVanished(&a.worker, w)
	a.worker = *w
	if a.greeted {
		return
	}
	a.greeted = true
	c.mark(a)
	c.closeFormer(a)
	a.out.Owned = []runs.Owned{}
	for _, t := range c.tasksAt(w.Agent) {
		a.out.Owned = append(a.out.Owned, runs.Owned{Key: t.key(), Need: t.step.Need, Estimate: t.step.estimate, Durable: t.job.durable != nil})
		t.on = a.link
		a.runs++
		t.stopping, t.moving = false, false
		if t.job.ended {
			c.stop(t)
		}
	}
	c.lost.Delete(w.Agent)
}

// closeFormer closes an older link of the same agent, which has gone silent.
func (c *Core) closeFormer(a *agent) {
	for id, other := range c.agents.All() {
		if other != a && other.greeted && other.worker.Agent == a.worker.Agent {
			c.agents.Delete(id)
			c.out.Closes = append(c.out.Closes, id)
		}
	}
}

// noteWorker logs what is believed of an agent's worker from now on, and why, if that
// is something new. An agent that has no usable worker names none.
func (c *Core) noteWorker(a *agent, told *runs.Worker) {
	was, is := &a.worker, told
	if was.Agent != "" && was.ID == is.ID && was.Draining == is.Draining && was.Released == is.Released {
		return
	}
	n := Note{Event: "worker", Agent: is.Agent, Worker: is.ID, Reason: "usable"}
	switch {
	case is.ID == "" && was.ID == "":
		n.Reason = "none yet"
	case is.ID == "":
		n.Worker, n.Reason = was.ID, "gone, out of reach or not looked at"
	case is.Released:
		n.Reason = "works with other entries"
	case is.Draining:
		n.Reason = "draining"
	case was.ID != "" && was.ID != is.ID:
		n.Reason = "usable, after another incarnation"
	}
	c.note(n)
}

// expireLost ends the runs at lost agents whose leases have passed.
func (c *Core) expireLost() {
	for name, l := range c.lost.All() {
		if c.now.Before(l.overAt) {
			continue
		}
		c.lost.Delete(name)
		for _, t := range c.tasksAt(name) {
			c.endOf(t.worker, runs.End{Key: t.key(), How: runs.Gone})
		}
	}
}

func (c *Core) tasksAt(agentName string) []*task {
	var list []*task
	for j := range c.jobs.Values() {
		for i := range j.steps {
			for _, t := range j.steps[i].tasks {
				if t.state == taskPlaced && t.agent == agentName {
					list = append(list, t)
				}
			}
		}
	}
	return list
}

// mark has an agent get a message with the next flush.
func (c *Core) mark(a *agent) {
	if !a.dirty {
		a.dirty = true
		c.marked = append(c.marked, a)
	}
}

// beatEvery is the shortest time between two walks over all agents for those that must
// hear a beat: a tenth of the shortest one. A walk for each event was 40% of the work of
// an entry with 240 agents (processor profile of the emulator).
const beatEvery = 10 * time.Millisecond

// flushAgents sends what is to be sent to agents.
func (c *Core) flushAgents() {
	marked := c.marked
	c.marked = nil
	for _, a := range marked {
		if c.agents.Get(a.link) == a {
			c.flushAgent(a)
		}
	}
	if c.now.Sub(c.beatAt) < beatEvery {
		return
	}
	c.beatAt = c.now
	for a := range c.agents.Values() {
		c.flushAgent(a)
	}
}

// flushAgent sends what has gathered for an agent, or a heartbeat.
func (c *Core) flushAgent(a *agent) {
	if a.clock == 0 {
		return // nothing may be sent before the agent's clock is known
	}
	beat := c.settings.IdleBeat
	if a.runs > 0 {
		beat = c.settings.Beat
	}
	if !a.dirty && c.now.Sub(a.lastSent) < beat {
		return
	}
	msg := a.out
	msg.Clock = a.clock + int64(c.now.Sub(a.clockAt))
	c.tellDrains(a, &msg)
	a.out = runs.ToAgent{}
	a.dirty = false
	a.lastSent = c.now
	c.out.Sends = append(c.out.Sends, Send{Link: a.link, Msg: &msg})
}

// stop has the run of a task end, which nobody wants any more.
func (c *Core) stop(t *task) {
	a := c.agents.Get(t.on)
	if t.stopping && !t.moving || a == nil {
		return
	}
	t.stopping, t.moving = true, false
	a.out.Stops = append(a.out.Stops, t.key())
	c.mark(a)
}

func (c *Core) progressOf(a *agent, p runs.Progress) {
	t := c.byTask[p.Key.Task]
	if t == nil || t.state != taskPlaced || t.run != p.Key.Run {
		return
	}
	if p.Checkpoint != "" {
		t.checkpoint = p.Checkpoint
		return
	}
	if p.Waiting {
		t.waitsAt = a.heard
		return
	}
	t.slow = true
	t.remaining = p.Remaining
}
