package dispatch

import (
	"strconv"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/fair"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// batchKey identifies a batch: the attempts of one flush that have all these in common are sent
// together.
type batchKey struct {
	link       LinkID
	submission string
	class      uint8
	noWait     bool
}

// enqueue makes t wait for an agent. If the queue is full its submission fails.
func (c *Core) enqueue(now time.Time, t *task) {
	if t.state != taskWaiting || t.waitingSince.IsZero() {
		t.waitingSince = now
	}
	t.state = taskWaiting
	if t.queued {
		return
	}
	sub := t.sub
	item := fair.Item[*task]{
		Class: t.spec.Class, Team: sub.team, Weight: sub.weight, Lane: c.laneOf(t), Value: t,
	}
	if !c.queue.Push(item) {
		c.fail(now, sub, errkind.Overloaded, "too many tasks wait")
		return
	}
	t.queued = true
}

// laneOf names the set of agents that t waits for. Tasks that wait for the same agents share a lane,
// so that only one of them is offered while none of these agents is free. A claimed submission has a
// lane of its own while its candidates are not all feasible agents. Otherwise its lane depends on
// the pool's generation, since agents that join later are not among its candidates.
func (c *Core) laneOf(t *task) string {
	sub := t.sub
	if sub.claimed && len(sub.knownCandidates) < len(c.pool.Feasible(t.spec.requirement())) {
		return "j/" + sub.name
	}
	if t.index > 0 && sameRequirement(t.spec, sub.tasks[t.index-1].spec) {
		if l := sub.tasks[t.index-1].laneName; l != "" {
			t.laneName = l
			return l
		}
	}
	t.laneName = t.spec.Service + "|" + t.spec.Selector.String()
	if sub.claimed {
		t.laneName += "#" + strconv.FormatUint(c.pool.Generation(), 10)
	}
	return t.laneName
}

// placeWaiting sends the waiting tasks for which an agent has a free slot.
func (c *Core) placeWaiting(now time.Time) {
	if c.queue.Len() == 0 {
		return
	}
	c.queue.Scan(func(t *task) fair.ScanResult { return c.tryPlace(now, t) })
}

// tryPlace sends t to an agent if one has a free slot.
func (c *Core) tryPlace(now time.Time, t *task) fair.ScanResult {
	sub := t.sub
	if sub.ended || sub.phase != phaseRunning || t.state != taskWaiting || !now.Before(sub.deadline) {
		t.queued = false
		return fair.Taken
	}
	if sub.claimed && now.After(c.leaseUntil) {
		return fair.Blocked
	}
	req := c.pickRequestFor(now, t)
	choice := c.pickAgent(now, sub, req)
	if choice.Agent == nil && len(t.avoid) > 0 && !c.hasAlternative(t) {
		req.AvoidAgents = nil
		choice = c.pickAgent(now, sub, req)
	}
	if choice.Agent == nil {
		c.scheduleWidening(now, sub)
		return fair.Blocked
	}
	t.queued = false
	c.sendAttempt(now, t, choice, Placed)
	return fair.Taken
}

// hasAlternative reports whether an agent that t need not avoid is up, busy or not. The task then
// waits for that agent instead of returning to one that failed or refused it.
func (c *Core) hasAlternative(t *task) bool {
	r := t.spec.requirement()
	list := t.sub.knownCandidates
	if !t.sub.claimed {
		list = c.pool.Feasible(r)
	}
	for _, a := range list {
		if !a.IsDown && !a.NotAccepting && a.Service == r.Service && r.Selector.Matches(a.Labels) && !containsID(t.avoid, a.ID) {
			return true
		}
	}
	return false
}

// pickAgent chooses an agent from the candidates of a claimed submission, else from the pool.
func (c *Core) pickAgent(now time.Time, sub *submission, req *rank.PickRequest) rank.Choice {
	if sub.claimed {
		return c.pool.PickAmong(now, sub.knownCandidates, req)
	}
	return c.pool.Pick(now, req)
}

// pickRequestFor returns the requirements of t for a pick from the pool. The result is valid until
// the next call.
func (c *Core) pickRequestFor(now time.Time, t *task) *rank.PickRequest {
	c.pickScratch = rank.PickRequest{
		Requirement: t.spec.requirement(), Kind: t.spec.kind(), Waited: now.Sub(t.waitingSince),
		Spare: c.spareSlotsFor(now, t.sub), AvoidAgents: t.avoid,
	}
	return &c.pickScratch
}

// spareSlotsFor returns the number of slots that tasks of sub must leave free at each agent:
// SpareSlots if its team uses its whole share of the slots and another team is active, else 0.
func (c *Core) spareSlotsFor(now time.Time, sub *submission) float64 {
	team := c.teams[sub.team]
	if team == nil || len(c.teams) < 2 {
		return 0
	}
	totalWeight, othersActive := 0.0, false
	for _, t := range c.teams {
		if now.Sub(t.lastSubmission) > teamActiveWindow {
			continue
		}
		totalWeight += t.weight
		othersActive = othersActive || t != team
	}
	share := sub.weight / max(sub.weight, totalWeight) * float64(c.totalSlots()) / float64(c.liveEntries)
	if !othersActive || float64(team.inFlight) < share {
		return 0
	}
	return c.settings.SpareSlots
}

// teamActiveWindow is how long after its last submission a team counts as active.
const teamActiveWindow = 10 * time.Second

// sendAttempt adds an attempt of t to the batch for the chosen agent and records why it was sent.
func (c *Core) sendAttempt(now time.Time, t *task, choice rank.Choice, why DecisionKind) {
	sub := t.sub
	a := choice.Agent
	id := c.linkByAgent[a.ID]
	t.lastAttempt++
	t.state = taskInFlight
	t.attempts = append(t.attempts, attempt{agent: a.ID, number: t.lastAttempt})
	a.RecordSent()
	c.team(sub.team).inFlight++
	a.RecordProbe()
	sub.addContacted(a.ID)
	c.stats.Starts++
	key := batchKey{id, sub.name, t.spec.Class, choice.NoWait}
	batch := c.batches[key]
	if batch == nil {
		batch = &wire.StartBatch{Submission: sub.name, Epoch: sub.epoch, Remaining: sub.deadline.Sub(now), Class: t.spec.Class, NoWait: choice.NoWait, Spare: choice.Spare}
		c.batches[key] = batch
		msg := c.messageFor(id)
		msg.Starts = append(msg.Starts, batch)
	}
	batch.Tasks = append(batch.Tasks, wire.TaskStart{
		Index: t.index, Attempt: t.lastAttempt, Kind: t.spec.Kind, Payload: t.spec.Payload, Checksum: t.payloadChecksum(), MaxRun: t.spec.MaxRun,
	})
	c.recordPlacement(t, choice, why)
	c.armAttemptTimers(now, t, a.ID)
}

// recordPlacement records the choice of an agent for t.
func (c *Core) recordPlacement(t *task, choice rank.Choice, why DecisionKind) {
	d := Decision{
		Kind: why, Submission: t.sub.name, Task: t.index, Attempt: t.lastAttempt,
		Agent: choice.Agent.ID, ExpectedTime: choice.ExpectedTime, RunnerUpExpectedTime: choice.RunnerUpExpectedTime,
	}
	if choice.RunnerUp != nil {
		d.RunnerUp = choice.RunnerUp.ID
	}
	c.recordDecision(d)
}

// payloadChecksum returns the checksum of the payload, which it computes on the first call.
func (t *task) payloadChecksum() uint64 {
	if !t.hasChecksum {
		t.checksum = wire.Checksum(t.spec.Payload)
		t.hasChecksum = true
	}
	return t.checksum
}

// armAttemptTimers sets the timers that act if the newest attempt of t takes unusually long. There
// are none while too little is known about the run times of its kind.
func (c *Core) armAttemptTimers(now time.Time, t *task, agent rank.ID) {
	stragglerThreshold := float64(c.pool.StragglerThreshold(t.spec.kind()))
	if c.mayHedge(t) {
		c.hedgeBudget.add(c.settings.HedgeShare)
	}
	if stragglerThreshold == 0 {
		return
	}
	tm := timer{kind: timerOverdue, sub: t.sub, task: t, agent: agent, attempt: t.lastAttempt}
	c.addTimer(now.Add(time.Duration(overdueFactor*stragglerThreshold)), tm)
	if c.mayHedge(t) {
		tm.kind = timerHedge
		c.addTimer(now.Add(time.Duration(c.settings.HedgeFactor*stragglerThreshold)), tm)
	}
}

// overdueFactor times the measured upper quantile of run times is the time after which an attempt is
// overdue and counts against its agent.
const overdueFactor = 2

// mayHedge reports whether a second attempt of t may be sent while the first one runs.
func (c *Core) mayHedge(t *task) bool {
	return c.settings.HedgeShare > 0 && !t.sub.claimed && t.spec.Repeatable && len(t.attempts) == 1
}

// markOverdue counts an attempt as overdue at its agent if it is still in flight.
func (c *Core) markOverdue(t *task, agent rank.ID, number uint32) {
	att := t.findAttempt(agent, number)
	a := c.pool.Get(agent)
	if att == nil || a == nil || att.overdue {
		return
	}
	att.overdue = true
	a.AddOverdue(1)
}

// hedgeStraggler sends a second attempt of a task to another agent if the given attempt is still the
// only one in flight, an agent has a free slot and the hedge budget allows it.
func (c *Core) hedgeStraggler(now time.Time, t *task, agent rank.ID, number uint32) {
	if t.state != taskInFlight || len(t.attempts) != 1 || t.attempts[0].number != number {
		return
	}
	req := c.pickRequestFor(now, t)
	req.Waited, req.AvoidAgents = 0, []rank.ID{agent}
	choice := c.pool.Pick(now, req)
	if choice.Agent == nil || !c.hedgeBudget.take() {
		return
	}
	c.stats.WastedHedge++
	c.sendAttempt(now, t, choice, Hedged)
}

// scheduleWidening sets the timer after which more candidates are added to the claim.
func (c *Core) scheduleWidening(now time.Time, sub *submission) {
	if sub.claimed && !sub.widening {
		sub.widening = true
		c.addTimer(now.Add(c.settings.CandidateWait), timer{kind: timerWidenClaim, sub: sub})
	}
}

// widenClaim adds candidates to the claim of a submission whose candidates are all busy or lost.
func (c *Core) widenClaim(now time.Time, sub *submission) {
	if sub.phase != phaseRunning || sub.pendingWrite != nil {
		sub.widening = false
		return
	}
	known := make(map[rank.ID]bool, len(sub.candidates))
	for _, candidate := range sub.candidates {
		known[candidate.ID] = true
	}
	candidates := append([]claim.Candidate(nil), sub.candidates...)
	for _, candidate := range c.planCandidates(sub) {
		if !known[candidate.ID] {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == len(sub.candidates) || !sub.hasWaitingTask() {
		sub.widening = false
		return
	}
	c.recordDecision(Decision{Kind: Widened, Submission: sub.name})
	c.writeRow(sub, &claim.Row{Epoch: sub.epoch, Candidates: candidates}, sub.version, time.Time{})
}

// hasWaitingTask reports whether a task of sub waits for an agent.
func (sub *submission) hasWaitingTask() bool {
	for _, t := range sub.tasks {
		if t.state == taskWaiting {
			return true
		}
	}
	return false
}

// resolveCandidates updates sub.knownCandidates from the pool.
func (c *Core) resolveCandidates(sub *submission) {
	sub.knownCandidates = sub.knownCandidates[:0]
	for _, candidate := range sub.candidates {
		if a := c.pool.Get(candidate.ID); a != nil {
			sub.knownCandidates = append(sub.knownCandidates, a)
		}
	}
}

// ackBuffer holds acknowledgements, which tell agents to forget a submission, until they can be
// piggybacked on another message.
type ackBuffer struct {
	byAgent map[rank.ID]*pendingAcks
	// due is a lower bound of the time at which the next must be sent on their own; zero if there
	// are none.
	due time.Time
}

// pendingAcks are the acknowledgements for one agent.
type pendingAcks struct {
	list []wire.Ack
	// due is when they are sent on their own.
	due time.Time
}

// queueAck buffers the acknowledgement of sub for an agent, if the agent is linked.
func (c *Core) queueAck(now time.Time, agent rank.ID, sub *submission) {
	if _, ok := c.linkByAgent[agent]; !ok {
		return
	}
	pending := c.acks.byAgent[agent]
	if pending == nil {
		pending = &pendingAcks{due: now.Add(c.settings.AckDelay)}
		c.acks.byAgent[agent] = pending
	}
	pending.list = append(pending.list, wire.Ack{Submission: sub.name, Epoch: max(1, sub.epoch)})
	if c.acks.due.IsZero() || pending.due.Before(c.acks.due) {
		c.acks.due = pending.due
	}
}

// flushAcks adds acknowledgements to the messages of this flush and sends the others on their own
// if they are due.
func (c *Core) flushAcks(now time.Time) {
	for i := range c.out.Sends {
		l := c.links[c.out.Sends[i].Link]
		if l == nil || c.acks.byAgent[l.agent] == nil {
			continue
		}
		msg := c.out.Sends[i].Msg
		msg.Acks = append(msg.Acks, c.acks.byAgent[l.agent].list...)
		delete(c.acks.byAgent, l.agent)
	}
	if c.acks.due.IsZero() || now.Before(c.acks.due) {
		return
	}
	c.acks.due = time.Time{}
	for _, a := range c.pool.Agents() {
		c.sendDueAcks(now, a.ID)
	}
	for agent := range c.acks.byAgent {
		if _, ok := c.linkByAgent[agent]; !ok {
			delete(c.acks.byAgent, agent) // the agent drops the results by their age
		}
	}
}

// sendDueAcks sends the acknowledgements for an agent on their own if they are due, and otherwise
// takes their time into account in ackBuffer.due.
func (c *Core) sendDueAcks(now time.Time, agent rank.ID) {
	pending := c.acks.byAgent[agent]
	id, ok := c.linkByAgent[agent]
	if pending == nil || !ok {
		return
	}
	if now.Before(pending.due) {
		if c.acks.due.IsZero() || pending.due.Before(c.acks.due) {
			c.acks.due = pending.due
		}
		return
	}
	delete(c.acks.byAgent, agent)
	c.messageFor(id).Acks = pending.list
	c.stats.WastedAck++
}
