package dispatch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/label"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// LinkUp registers an open link to an agent incarnation. An earlier incarnation of the agent has
// ended.
func (c *Core) LinkUp(now time.Time, id LinkID, info *wire.AgentInfo) {
	agent := rank.ID{Agent: info.ID, Incarnation: info.Incarnation}
	if old, ok := c.incarnations[info.ID]; ok && old != agent {
		c.AgentEnded(now, old)
	}
	c.incarnations[info.ID] = agent
	c.links[id] = &link{id: id, agent: agent, address: info.Address}
	c.linkByAgent[agent] = id
	known := c.pool.Get(agent)
	if known == nil {
		known = newAgent(agent, info)
		c.pool.Add(known)
		c.pool.SetHomes(c.self.ID, c.entryNames)
		for _, sub := range c.sortedSubmissions() {
			c.resolveCandidates(sub)
		}
	}
	known.IsDown = false
	for _, sub := range c.sortedSubmissions() {
		c.fenceIfUncertain(sub, agent)
	}
}

func newAgent(id rank.ID, info *wire.AgentInfo) *rank.Agent {
	return &rank.Agent{
		ID: id, Service: info.Service, Worker: info.Worker, DataCentre: info.DataCentre,
		Rack: info.Rack, Labels: label.Set(info.Labels), Slots: info.Slots,
	}
}

// LinkDown registers the loss of a link. The agent may still run its attempts.
func (c *Core) LinkDown(now time.Time, id LinkID) {
	l := c.links[id]
	if l == nil {
		return
	}
	delete(c.links, id)
	if c.linkByAgent[l.agent] != id {
		return // replaced by a newer link
	}
	delete(c.linkByAgent, l.agent)
	if a := c.pool.Get(l.agent); a != nil {
		a.IsDown = true
	}
	for _, sub := range c.sortedSubmissions() {
		c.markAttemptsUnconfirmed(now, sub, l.agent)
	}
}

// AgentEnded registers that an agent incarnation has certainly ended: its address refuses
// connections, or another incarnation of the agent has replaced it.
func (c *Core) AgentEnded(now time.Time, agent rank.ID) {
	if id, ok := c.linkByAgent[agent]; ok {
		c.LinkDown(now, id)
	}
	if c.incarnations[agent.Agent] == agent {
		delete(c.incarnations, agent.Agent)
	}
	c.pool.Remove(agent)
	c.pool.SetHomes(c.self.ID, c.entryNames)
	for _, sub := range c.sortedSubmissions() {
		if removeID(&sub.unfenced, agent) {
			sub.lostCandidates = append(sub.lostCandidates, agent)
			c.tryFinishFencing(now, sub, false)
		}
		c.loseAttempts(now, sub, agent)
		c.resolveCandidates(sub)
	}
}

// Receive handles a message from an agent. Messages on a link that was replaced are ignored.
func (c *Core) Receive(now time.Time, id LinkID, msg *wire.ToEntry) {
	l := c.links[id]
	if l == nil || c.linkByAgent[l.agent] != id {
		return
	}
	a := c.pool.Get(l.agent)
	if a == nil {
		return
	}
	c.pool.RecordLoad(now, a, msg.Load.Running+msg.Load.Queued, msg.Load.OwnedByReceiver)
	a.NotAccepting = msg.NotAccepting
	lastRefused := ""
	for _, r := range msg.Results {
		if r.NotRun && r.Submission != lastRefused {
			lastRefused = r.Submission
			c.stats.WastedRefused += 2 // the batch and its refusal
		}
		c.handleResult(now, a, r)
	}
	for i := range msg.Fences {
		c.handleFenceReply(now, a, &msg.Fences[i])
	}
}

// fenceIfUncertain fences an agent whose link has come up if the core does not know yet what the
// agent has started: it is unfenced, or attempts at it are in flight.
func (c *Core) fenceIfUncertain(sub *submission, agent rank.ID) {
	needsFence := containsID(sub.unfenced, agent)
	for _, t := range sub.tasks {
		for _, att := range t.attempts {
			needsFence = needsFence || att.agent == agent
		}
	}
	if needsFence {
		c.sendFence(sub, agent)
	}
}

// sendFence fences a linked agent: the agent refuses starts of lower epochs from then on and reports
// the attempts of sub that it knows.
func (c *Core) sendFence(sub *submission, agent rank.ID) {
	msg := c.messageFor(c.linkByAgent[agent])
	msg.Fences = append(msg.Fences, wire.Fence{Submission: sub.name, Epoch: max(1, sub.epoch)})
	sub.addContacted(agent)
	c.stats.Fences++
	c.stats.WastedFence += 2
}

// beginFencing fences every candidate to learn which tasks were started.
func (c *Core) beginFencing(now time.Time, sub *submission) {
	sub.phase = phaseFencing
	c.makeTasks(sub)
	c.resolveCandidates(sub)
	sub.unfenced = nil
	sub.lostCandidates = nil
	for _, candidate := range sub.candidates {
		c.fenceCandidate(sub, candidate)
	}
	c.tryFinishFencing(now, sub, false)
}

// fenceCandidate fences a candidate if it is linked, and otherwise requests a link first. A
// candidate that was replaced by another incarnation is lost.
func (c *Core) fenceCandidate(sub *submission, candidate claim.Candidate) {
	newest, known := c.incarnations[candidate.ID.Agent]
	if known && newest != candidate.ID {
		sub.lostCandidates = append(sub.lostCandidates, candidate.ID)
		return
	}
	sub.unfenced = append(sub.unfenced, candidate.ID)
	if _, ok := c.linkByAgent[candidate.ID]; ok {
		c.sendFence(sub, candidate.ID)
		return
	}
	c.out.Dials = append(c.out.Dials, Dial{ID: candidate.ID, Address: candidate.Address})
}

// handleFenceReply adopts the attempts that an agent reports.
func (c *Core) handleFenceReply(now time.Time, a *rank.Agent, reply *wire.FenceReply) {
	sub := c.submissions[reply.Submission]
	if sub == nil || (sub.phase != phaseFencing && sub.phase != phaseRunning) {
		return
	}
	if reply.HighestEpoch > sub.epoch {
		c.handleOwnershipLoss(now, sub)
		return
	}
	if reply.Epoch != max(1, sub.epoch) {
		return
	}
	for i := range reply.Tasks {
		c.adoptTaskState(now, sub, a, &reply.Tasks[i])
		if sub.ended || sub.phase == phaseClosing {
			return
		}
	}
	c.dropUnreceivedAttempts(now, sub, a.ID, reply)
	if removeID(&sub.unfenced, a.ID) && reply.Partial {
		sub.lostCandidates = append(sub.lostCandidates, a.ID)
	}
	c.tryFinishFencing(now, sub, false)
}

// adoptTaskState handles an attempt that an agent reports: it counts as in flight if it was not
// known, and its result is handled if it has ended.
func (c *Core) adoptTaskState(now time.Time, sub *submission, a *rank.Agent, s *wire.TaskState) {
	if int(s.Index) >= len(sub.tasks) {
		return
	}
	t := sub.tasks[s.Index]
	t.lastAttempt = max(t.lastAttempt, s.Attempt)
	if t.state == taskDone {
		return
	}
	att := t.findAttempt(a.ID, s.Attempt)
	if att == nil {
		if s.Phase == wire.PhaseDone && t.lastFailure != errkind.OK {
			return // this failure has been handled before
		}
		t.attempts = append(t.attempts, attempt{agent: a.ID, number: s.Attempt})
		t.state = taskInFlight
		a.RecordSent()
		c.team(sub.team).inFlight++
		att = &t.attempts[len(t.attempts)-1]
	}
	att.unconfirmed = false
	switch {
	case s.Phase == wire.PhaseDone && s.Result != nil:
		c.handleResult(now, a, s.Result)
	case s.Phase == wire.PhaseDone, s.Phase == wire.PhaseResultDropped:
		c.loseAttempt(now, t, *att)
	}
}

// dropUnreceivedAttempts handles unconfirmed attempts that the agent has not reported. The agent
// never received them, unless its reply is partial.
func (c *Core) dropUnreceivedAttempts(now time.Time, sub *submission, agent rank.ID, reply *wire.FenceReply) {
	for _, t := range sub.tasks {
		for _, att := range append([]attempt(nil), t.attempts...) {
			if att.agent != agent || !att.unconfirmed || sub.ended {
				continue
			}
			if reply.Partial {
				c.loseAttempt(now, t, att)
				continue
			}
			c.removeAttempt(t, att)
			c.requeue(now, t)
		}
	}
}

// tryFinishFencing ends phase fencing when all candidates have answered or are lost, or every task
// was reported. With force, candidates that have not answered count as lost.
func (c *Core) tryFinishFencing(now time.Time, sub *submission, force bool) {
	if sub.phase != phaseFencing {
		return
	}
	if force {
		sub.lostCandidates = append(sub.lostCandidates, sub.unfenced...)
		sub.unfenced = nil
	}
	if len(sub.unfenced) > 0 && !sub.allTasksReported() {
		return
	}
	sub.phase = phaseRunning
	if sub.cancelRequested {
		c.fail(now, sub, errkind.Canceled, "canceled by the caller")
		return
	}
	for _, t := range sub.tasks {
		if t.state == taskWaiting {
			c.resolveUnreported(now, t)
		}
		if sub.ended || sub.phase == phaseClosing {
			return
		}
	}
	c.closeIfDone(now, sub)
}

// allTasksReported reports whether each task was reported by some candidate.
func (sub *submission) allTasksReported() bool {
	for _, t := range sub.tasks {
		if t.state == taskWaiting {
			return false
		}
	}
	return true
}

// resolveUnreported handles a task that no candidate has reported: it is in doubt if a candidate is
// lost, and otherwise provably not started.
func (c *Core) resolveUnreported(now time.Time, t *task) {
	sub := t.sub
	switch {
	case len(sub.lostCandidates) > 0:
		c.handleInDoubt(now, t, attempt{})
	case sub.gatherOnly:
		c.fail(now, sub, errkind.DeadlineExceeded, "the entry that owned the submission was lost before every task had started")
	default:
		c.enqueue(now, t)
	}
}

// markAttemptsUnconfirmed marks the attempts at an agent whose link went down. Repeatable tasks of an
// unclaimed submission are started at another agent at once if the retry budget allows it.
func (c *Core) markAttemptsUnconfirmed(now time.Time, sub *submission, agent rank.ID) {
	for _, t := range sub.tasks {
		for i := range t.attempts {
			att := &t.attempts[i]
			if att.agent != agent {
				continue
			}
			att.unconfirmed = true
			if !sub.claimed && t.spec.Repeatable && len(t.attempts) == 1 && c.retryBudget.take() {
				c.stats.WastedRetry++
				t.avoid = append(t.avoid, agent)
				c.enqueue(now, t)
			}
		}
	}
}

// loseAttempts handles the attempts at an agent that has certainly ended.
func (c *Core) loseAttempts(now time.Time, sub *submission, agent rank.ID) {
	for _, t := range sub.tasks {
		for _, att := range append([]attempt(nil), t.attempts...) {
			if att.agent == agent && !sub.ended && sub.phase != phaseClosing {
				c.loseAttempt(now, t, att)
			}
		}
	}
}

// loseAttempt handles an attempt of which it can never be learned whether it ran.
func (c *Core) loseAttempt(now time.Time, t *task, att attempt) {
	c.removeAttempt(t, att)
	t.mayHaveRun = true
	if len(t.attempts) > 0 || t.state == taskWaiting || t.state == taskDone {
		return // another attempt is in flight or waits, or the task is done
	}
	c.handleInDoubt(now, t, att)
}

// handleInDoubt handles a task that may have started at an agent that cannot be asked. It fails the
// submission or starts the task again, in a claimed submission only after the task's maximum run
// time.
func (c *Core) handleInDoubt(now time.Time, t *task, att attempt) {
	t.state = taskInDoubt
	t.mayHaveRun = true
	sub := t.sub
	if !t.spec.Repeatable || sub.gatherOnly {
		c.fail(now, sub, errkind.FateUnknown, "a task that may not be repeated may have started on a backend server that is gone")
		return
	}
	if !sub.claimed {
		c.retryInDoubt(now, t, att.agent)
		return
	}
	// An attempt that started there did so before now, so it has ended after its maximum run time.
	c.addTimer(now.Add(t.spec.MaxRun), timer{kind: timerRetryInDoubt, sub: sub, task: t, agent: att.agent})
}

// retryInDoubt starts a repeatable task in doubt again. The agent of the earlier attempt is avoided.
func (c *Core) retryInDoubt(now time.Time, t *task, agent rank.ID) {
	if t.state != taskInDoubt {
		return
	}
	c.stats.WastedRetry++
	t.avoid = append(t.avoid, agent)
	c.enqueue(now, t)
}

// sortedSubmissions returns the open submissions by name, so that events have a deterministic order.
func (c *Core) sortedSubmissions() []*submission {
	subs := make([]*submission, 0, len(c.submissions))
	for _, sub := range c.submissions {
		subs = append(subs, sub)
	}
	sortSubmissions(subs)
	return subs
}
