package batch

import (
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// agent is the entry's view of an agent with an open link.
type agent struct {
	link   LinkID
	worker runs.Worker
	// registered is set once the agent has described its worker and was sent the runs that the
	// entry believes it to have.
	registered     bool
	load           runs.Load
	loadAt         time.Time
	lastReceivedAt time.Time
	// clock is the newest reading of the agent's clock in nanoseconds, received at clockAt.
	clock   int64
	clockAt time.Time
	// startsSent is the number of starts sent; inFlight are those that the newest load report does
	// not include.
	startsSent uint64
	inFlight   []inFlightStart
	// out is the pending message; dirty is set if it must be sent with the next flush.
	out        runs.ToAgent
	dirty      bool
	lastSentAt time.Time
	// runCount is the number of runs that the entry believes the agent to have.
	runCount int
	// probedAt is when a run was last sent there although the worker was unhealthy.
	probedAt time.Time
	// drainsSentAt is when the agent was last sent the view of the drained data centres.
	drainsSentAt time.Time
	// neededAt is when a task last needed the worker of an agent that has linked on demand.
	neededAt time.Time
	// told are the newest asks of other entries that the agent was sent, by their address.
	told map[string]told
	// planned is what the plan with the number plannedIn has assigned to the agent.
	planned   plannedLoad
	plannedIn uint64
}

// inFlightStart is a start that the newest load report does not include.
type inFlightStart struct {
	// seq is the value of agent.startsSent after the start.
	seq  uint64
	need room.Resources
}

// lostAgent is an agent whose link broke or was silent.
type lostAgent struct {
	// runsOverAt is when all runs of this entry at the agent are certainly over.
	runsOverAt time.Time
}

// isUsable reports whether an agent may be given runs: its worker accepts runs, and it has sent a
// message within silenceTimeout.
func (a *agent) isUsable(now time.Time, silenceTimeout time.Duration) bool {
	return a.registered && a.worker.ID != "" && !a.worker.Draining && !a.worker.Released && now.Sub(a.lastReceivedAt) < silenceTimeout
}

// sharingEntries returns the number of entries that an agent works with, this one included.
func (a *agent) sharingEntries() int { return max(a.load.SharingEntries, 1) }

// freeResources returns the resources that an agent's worker probably has for a run with the given
// slack: without the runs at the worker, starts in flight and waiting runs that go first.
func (c *Core) freeResources(a *agent, slack time.Duration) room.Resources {
	free := a.load.Free
	band := runs.SlackBands
	if c.settings.Policy.Enabled(policy.SlackBands) {
		band = runs.SlackBand(slack)
	}
	for i, cpu := range a.load.Waiting {
		if i <= band {
			free.CPU -= cpu
		}
	}
	for _, s := range a.inFlight {
		free = free.Sub(s.need)
	}
	return free
}

const (
	// minAgents is the number of agents below which the entry asks all agents to work with it. With
	// this many a choice is left if one agent is drained and another one fails.
	minAgents = 4
	// shortDelay is how long the entry must have had fewer agents. Agents connect within a second
	// of a start of the whole deployment. If all entries asked for all agents in that time, each
	// agent would open a link to each entry.
	shortDelay = 3 * time.Second
)

// IsShortOfAgents reports whether so few agents work with this entry of their own choice that it
// has to ask for all of them. In a deployment with many entries and few agents some entries would
// otherwise have none, and their jobs would never run. The argument tells whether any other entry
// is in contact with this one. An entry without such contact is cut off rather than short: its
// agents come back by themselves.
func (c *Core) IsShortOfAgents(inContact bool) bool {
	chosen := 0
	for a := range c.agents.Values() {
		if a.registered && !a.worker.OnDemand && !a.worker.Released {
			chosen++
		}
	}
	if chosen >= minAgents || c.enoughAgentsAt.IsZero() || !inContact {
		c.enoughAgentsAt = c.now
	}
	return c.now.Sub(c.enoughAgentsAt) > shortDelay
}

// LinkUp handles the opening of a link to an agent.
func (c *Core) LinkUp(now time.Time, id LinkID) {
	c.Advance(now)
	c.agents.Put(id, &agent{link: id, lastReceivedAt: now})
}

// LinkDown handles the loss of a link. The outcome of runs at the agent is unknown until it is back
// or their leases have expired.
func (c *Core) LinkDown(now time.Time, id LinkID) {
	c.Advance(now)
	a := c.agents.Get(id)
	if a == nil {
		return
	}
	reason := "link closed"
	if a.worker.Released {
		reason = "works with other entries"
	}
	c.loseAgent(a, reason)
}

// closeSilentLinks closes the links on which nothing has arrived for SilenceTimeout. A machine without
// power closes none, and TCP gives a connection up after a quarter of an hour only. The time in which
// this entry was suspended does not count.
func (c *Core) closeSilentLinks() {
	for id, a := range c.agents.All() {
		heardAt := a.lastReceivedAt
		if heardAt.Before(c.resumedAt) {
			heardAt = c.resumedAt
		}
		if c.now.Sub(heardAt) < c.settings.SilenceTimeout {
			continue
		}
		c.out.CloseLinks = append(c.out.CloseLinks, id)
		c.loseAgent(a, "silent")
	}
}

// loseAgent handles that a link is gone for the given reason.
func (c *Core) loseAgent(a *agent, reason string) {
	c.agents.Delete(a.link)
	c.forgetReservationsAt(a.link)
	if a.worker.Agent == "" {
		return
	}
	runsOverAt := a.lastSentAt.Add(c.settings.OwnerLease + c.settings.WorkerLease)
	if old := c.lostAgents.Get(a.worker.Agent); old == nil || old.runsOverAt.Before(runsOverAt) {
		c.lostAgents.Put(a.worker.Agent, &lostAgent{runsOverAt: runsOverAt})
	}
	c.logDecision(Decision{Event: "agent lost", Agent: a.worker.Agent, Worker: a.worker.ID, Reason: reason, Age: c.now.Sub(a.lastReceivedAt)})
}

// Receive handles a message of an agent.
func (c *Core) Receive(now time.Time, id LinkID, msg *runs.ToEntry) {
	c.Advance(now)
	a := c.agents.Get(id)
	if a == nil {
		return
	}
	a.lastReceivedAt = now
	if msg.Clock > a.clock {
		a.clock = msg.Clock
		a.clockAt = now
	}
	if msg.Worker != nil {
		c.updateWorker(a, msg.Worker)
		c.updateOutOfReach()
	}
	if msg.Load != nil {
		a.updateLoad(now, msg.Load)
	}
	for _, p := range msg.Progress {
		c.updateProgress(p)
	}
	for i := range msg.Ends {
		c.receiveEnd(a, msg.Ends[i])
	}
	for _, end := range msg.UnownedEnds {
		c.receiveEnd(a, end)
	}
	c.receiveDropped(msg.Dropped)
	for _, id := range msg.Offers {
		c.receiveOffer(a, id)
	}
	if msg.Load != nil || msg.Worker != nil {
		c.placeWaiting()
	}
}

// updateLoad handles a load report.
func (a *agent) updateLoad(now time.Time, load *runs.Load) {
	a.load = *load
	a.loadAt = now
	for len(a.inFlight) > 0 && a.inFlight[0].seq <= load.StartsSeen {
		a.inFlight = a.inFlight[1:]
	}
}

// updateWorker handles an agent's description of its worker. After the first one on a link the
// entry sends the runs that it believes the agent to have.
func (c *Core) updateWorker(a *agent, w *runs.Worker) {
	c.logWorkerChange(a, w)
	c.addVanishedWorker(&a.worker, w)
	a.worker = *w
	if w.ID != "" {
		c.clearReachable(w.ID)
	}
	if w.ID == "" || w.Draining || w.Released {
		c.forgetReservationsAt(a.link)
	}
	c.keepIfLacking(a)
	if a.registered {
		c.passOnAsks(a)
		return
	}
	a.registered = true
	c.passOnAsks(a)
	c.markDirty(a)
	c.closePreviousLinks(a)
	a.out.Owned = []runs.OwnedRun{}
	for _, t := range c.tasksPlacedAt(w.Agent) {
		a.out.Owned = append(a.out.Owned, runs.OwnedRun{Key: t.key(), Need: t.step.Need, Estimate: t.step.estimate, Durable: t.job.durable != nil})
		t.link = a.link
		a.runCount++
		t.stopping, t.moving = false, false
		if t.job.ended {
			c.stopRun(t)
		}
	}
	c.lostAgents.Delete(w.Agent)
}

// closePreviousLinks closes older links of the same agent.
func (c *Core) closePreviousLinks(a *agent) {
	for id, other := range c.agents.All() {
		if other != a && other.registered && other.worker.Agent == a.worker.Agent {
			c.agents.Delete(id)
			c.forgetReservationsAt(id)
			c.out.CloseLinks = append(c.out.CloseLinks, id)
		}
	}
}

// logWorkerChange logs a change of what is known of an agent's worker. A description without a
// worker ID means that the agent has no usable worker.
func (c *Core) logWorkerChange(a *agent, update *runs.Worker) {
	previous, current := &a.worker, update
	if previous.Agent != "" && previous.ID == current.ID && previous.Draining == current.Draining && previous.Released == current.Released {
		return
	}
	d := Decision{Event: "worker", Agent: current.Agent, Worker: current.ID, Reason: "usable"}
	switch {
	case current.ID == "" && previous.ID == "":
		d.Reason = "none yet"
	case current.ID == "":
		d.Worker, d.Reason = previous.ID, "gone, out of reach or not looked at"
	case current.Released:
		d.Reason = "works with other entries"
	case current.Draining:
		d.Reason = "draining"
	case previous.ID != "" && previous.ID != current.ID:
		d.Reason = "usable, after another incarnation"
	}
	c.logDecision(d)
}

// expireLost ends the runs at lost agents whose leases have expired.
func (c *Core) expireLost() {
	for name, l := range c.lostAgents.All() {
		if c.now.Before(l.runsOverAt) {
			continue
		}
		c.lostAgents.Delete(name)
		for _, t := range c.tasksPlacedAt(name) {
			c.handleEnd(t.worker, runs.End{Key: t.key(), Outcome: runs.OutcomeGone})
		}
	}
}

// tasksPlacedAt returns the tasks with a run at an agent.
func (c *Core) tasksPlacedAt(agentName string) []*task {
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

// markDirty makes the next flush send a message to an agent.
func (c *Core) markDirty(a *agent) {
	if !a.dirty {
		a.dirty = true
		c.dirtyAgents = append(c.dirtyAgents, a)
	}
}

// heartbeatCheckInterval is the shortest time between two scans of all agents for due heartbeats, a
// tenth of the shortest heartbeat interval. A scan after each event would take much of the processor
// time of an entry with hundreds of agents.
const heartbeatCheckInterval = 10 * time.Millisecond

// flushAgents sends pending messages and due heartbeats to agents.
func (c *Core) flushAgents() {
	dirty := c.dirtyAgents
	c.dirtyAgents = nil
	for _, a := range dirty {
		if c.agents.Get(a.link) == a {
			c.flushAgent(a)
		}
	}
	if c.now.Sub(c.heartbeatsCheckedAt) < heartbeatCheckInterval {
		return
	}
	c.heartbeatsCheckedAt = c.now
	for a := range c.agents.Values() {
		c.flushAgent(a)
	}
}

// flushAgent sends an agent its pending message, or a heartbeat if one is due.
func (c *Core) flushAgent(a *agent) {
	if a.clock == 0 {
		return // nothing may be sent before the agent's clock is known
	}
	interval := c.settings.IdleHeartbeatInterval
	if a.runCount > 0 {
		interval = c.settings.HeartbeatInterval
	}
	if !a.dirty && c.now.Sub(a.lastSentAt) < interval {
		return
	}
	msg := a.out
	msg.Clock = a.clock + int64(c.now.Sub(a.clockAt))
	msg.Needed = a.isNeeded(c.now)
	c.addDrains(a, &msg)
	a.out = runs.ToAgent{}
	a.dirty = false
	a.lastSentAt = c.now
	c.out.Sends = append(c.out.Sends, Send{Link: a.link, Msg: &msg})
}

// stopRun requests the stop of a task's run whose result is no longer needed.
func (c *Core) stopRun(t *task) {
	a := c.agents.Get(t.link)
	if t.stopping && !t.moving || a == nil {
		return
	}
	t.stopping, t.moving = true, false
	a.out.Stops = append(a.out.Stops, t.key())
	c.markDirty(a)
}

// updateProgress handles the progress of a run, as reported by its agent.
func (c *Core) updateProgress(p runs.Progress) {
	t := c.byTask[p.Key.Task]
	if t == nil || t.state != taskPlaced || t.run != p.Key.Run {
		return
	}
	if p.Checkpoint != "" {
		t.checkpoint = p.Checkpoint
		return
	}
	t.slow = true
	t.remaining = p.Remaining
}
