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

// startKey groups the starts of one flush into batches.
type startKey struct {
	link       LinkID
	submission string
	class      uint8
	noWait     bool
}

// enqueue makes t wait for an agent.
func (c *Core) enqueue(now time.Time, t *task) {
	if t.state != taskWaiting || t.since.IsZero() {
		t.since = now
	}
	t.state = taskWaiting
	if t.queued {
		return
	}
	j := t.job
	item := fair.Item[*task]{
		Class: t.spec.Class, Team: j.team, Weight: j.weight, Lane: c.lane(t), Value: t,
	}
	if !c.queue.Push(item) {
		c.fail(now, j, errkind.Overloaded, "too many tasks wait")
		return
	}
	t.queued = true
}

// lane names what t waits for, so that tasks that wait for the same agents are
// offered only once while none of these is free.
func (c *Core) lane(t *task) string {
	j := t.job
	if j.claimed && len(j.among) < len(c.pool.Feasible(t.spec.requirement())) {
		return "j/" + j.submission
	}
	if t.index > 0 && sameRequirement(t.spec, j.tasks[t.index-1].spec) {
		if l := j.tasks[t.index-1].laneName; l != "" {
			t.laneName = l
			return l
		}
	}
	t.laneName = t.spec.Service + "|" + t.spec.Selector.String()
	if j.claimed {
		t.laneName += "#" + strconv.FormatUint(c.pool.Generation(), 10)
	}
	return t.laneName
}

// place offers waiting tasks to agents.
func (c *Core) place(now time.Time) {
	if c.queue.Len() == 0 {
		return
	}
	c.queue.Scan(func(t *task) fair.Verdict { return c.offer(now, t) })
}

func (c *Core) offer(now time.Time, t *task) fair.Verdict {
	j := t.job
	if j.ended || j.phase != phaseRunning || t.state != taskWaiting || !now.Before(j.deadline) {
		t.queued = false
		return fair.Taken
	}
	if j.claimed && now.After(c.leaseUntil) {
		return fair.Blocked
	}
	ask := c.ask(now, t)
	choice := c.pick(now, j, ask)
	if choice.Agent == nil && len(t.avoid) > 0 && !c.hasAlternative(t) {
		ask.Avoid = nil
		choice = c.pick(now, j, ask)
	}
	if choice.Agent == nil {
		c.watchCandidates(now, j)
		return fair.Blocked
	}
	t.queued = false
	c.send(now, t, choice, Placed)
	return fair.Taken
}

// hasAlternative reports whether an agent that t need not avoid is up, busy or
// not: then t rather waits for it than go back to one that failed it.
func (c *Core) hasAlternative(t *task) bool {
	r := t.spec.requirement()
	list := t.job.among
	if !t.job.claimed {
		list = c.pool.Feasible(r)
	}
	for _, a := range list {
		if !a.Down && !a.Leaving && a.Service == r.Service && r.Selector.Matches(a.Labels) && !containsID(t.avoid, a.ID) {
			return true
		}
	}
	return false
}

func (c *Core) pick(now time.Time, j *job, ask *rank.Ask) rank.Choice {
	if j.claimed {
		return c.pool.PickAmong(now, j.among, ask)
	}
	return c.pool.Pick(now, ask)
}

// ask returns what t asks of the pool. It is valid until the next call.
func (c *Core) ask(now time.Time, t *task) *rank.Ask {
	c.asked = rank.Ask{
		Requirement: t.spec.requirement(), Kind: t.spec.kind(), Waited: now.Sub(t.since),
		Spare: c.spare(now, t.job), Avoid: t.avoid,
	}
	return &c.asked
}

// spare returns the slots that work of j's team must leave free at each agent.
func (c *Core) spare(now time.Time, j *job) float64 {
	team := c.teams[j.team]
	if team == nil || len(c.teams) < 2 {
		return 0
	}
	weights, others := 0.0, false
	for _, t := range c.teams {
		if now.Sub(t.seen) > teamActive {
			continue
		}
		weights += t.weight
		others = others || t != team
	}
	share := j.weight / max(j.weight, weights) * float64(c.slots()) / float64(c.shares)
	if !others || float64(team.inFlight) < share {
		return 0
	}
	return c.settings.SpareSlots
}

// teamActive is how long after its last submission a team counts as active.
const teamActive = 10 * time.Second

// send adds an attempt of t to the batch for the chosen agent.
func (c *Core) send(now time.Time, t *task, choice rank.Choice, why DecisionKind) {
	j := t.job
	a := choice.Agent
	id := c.linked[a.ID]
	t.attempt++
	t.state = taskInFlight
	t.flights = append(t.flights, flight{agent: a.ID, attempt: t.attempt})
	a.Sent()
	c.team(j.team).inFlight++
	a.Probing()
	j.touch(a.ID)
	c.stats.Starts++
	key := startKey{id, j.submission, t.spec.Class, choice.NoWait}
	batch := c.starts[key]
	if batch == nil {
		batch = &wire.StartBatch{Submission: j.submission, Epoch: j.epoch, Remaining: j.deadline.Sub(now), Class: t.spec.Class, NoWait: choice.NoWait, Spare: choice.Spare}
		c.starts[key] = batch
		msg := c.message(id)
		msg.Starts = append(msg.Starts, batch)
	}
	batch.Tasks = append(batch.Tasks, wire.TaskStart{
		Index: t.index, Attempt: t.attempt, Kind: t.spec.Kind, Payload: t.spec.Payload, Sum: t.sum(), MaxRun: t.spec.MaxRun,
	})
	c.decidePlaced(t, choice, why)
	c.watchFlight(now, t, a.ID)
}

func (c *Core) decidePlaced(t *task, choice rank.Choice, why DecisionKind) {
	d := Decision{
		Kind: why, Submission: t.job.submission, Task: t.index, Attempt: t.attempt,
		Agent: choice.Agent.ID, Finish: choice.Finish, RunnerUpFinish: choice.RunnerUpFinish,
	}
	if choice.RunnerUp != nil {
		d.RunnerUp = choice.RunnerUp.ID
	}
	c.decide(d)
}

// sum returns the payload's checksum, computed once.
func (t *task) sum() uint64 {
	if !t.summed {
		t.checksum = wire.Sum(t.spec.Payload)
		t.summed = true
	}
	return t.checksum
}

// watchFlight arms the timers that look at an attempt which takes unusually long.
func (c *Core) watchFlight(now time.Time, t *task, agent rank.ID) {
	slow := float64(c.pool.SlowAfter(t.spec.kind()))
	if c.mayHedge(t) {
		c.hedge.earn(c.settings.HedgeShare)
	}
	if slow == 0 {
		return
	}
	watch := timer{kind: timerOverdue, job: t.job, task: t, agent: agent, attempt: t.attempt}
	c.after(now.Add(time.Duration(overdueFactor*slow)), watch)
	if c.mayHedge(t) {
		watch.kind = timerHedge
		c.after(now.Add(time.Duration(c.settings.HedgeFactor*slow)), watch)
	}
}

// overdueFactor times the upper quantile of run times is when an attempt counts
// against its agent.
const overdueFactor = 2

// mayHedge reports whether a second attempt of t would be allowed.
func (c *Core) mayHedge(t *task) bool {
	return c.settings.HedgeShare > 0 && !t.job.claimed && t.spec.Repeatable && len(t.flights) == 1
}

// markOverdue counts an attempt that runs far too long against its agent.
func (c *Core) markOverdue(t *task, agent rank.ID, attempt uint32) {
	f := t.flightAt(agent, attempt)
	a := c.pool.Get(agent)
	if f == nil || a == nil || f.overdue {
		return
	}
	f.overdue = true
	a.Overdue(1)
}

// hedgeStraggler sends a second attempt of a task that runs unusually long.
func (c *Core) hedgeStraggler(now time.Time, t *task, agent rank.ID, attempt uint32) {
	if t.state != taskInFlight || len(t.flights) != 1 || t.flights[0].attempt != attempt {
		return
	}
	ask := c.ask(now, t)
	ask.Waited, ask.Avoid = 0, []rank.ID{agent}
	choice := c.pool.Pick(now, ask)
	if choice.Agent == nil || !c.hedge.spend() {
		return
	}
	c.stats.WastedHedge++
	c.send(now, t, choice, Hedged)
}

// watchCandidates arms the timer after which more candidates are added.
func (c *Core) watchCandidates(now time.Time, j *job) {
	if j.claimed && !j.widening {
		j.widening = true
		c.after(now.Add(c.settings.CandidateWait), timer{kind: timerCandidates, job: j})
	}
}

// widen adds candidate agents to the claim of a submission whose candidates
// are all busy or gone.
func (c *Core) widen(now time.Time, j *job) {
	if j.phase != phaseRunning || j.writing != nil {
		j.widening = false
		return
	}
	known := make(map[rank.ID]bool, len(j.candidates))
	for _, have := range j.candidates {
		known[have.ID] = true
	}
	more := append([]claim.Candidate(nil), j.candidates...)
	for _, extra := range c.plan(j) {
		if !known[extra.ID] {
			more = append(more, extra)
		}
	}
	if len(more) == len(j.candidates) || !j.hasWaiting() {
		j.widening = false
		return
	}
	c.decide(Decision{Kind: Widened, Submission: j.submission})
	c.write(j, &claim.Row{Epoch: j.epoch, Candidates: more}, j.version, time.Time{})
}

func (j *job) hasWaiting() bool {
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			return true
		}
	}
	return false
}

// resolveAmong recomputes which candidate agents are known here.
func (c *Core) resolveAmong(j *job) {
	j.among = j.among[:0]
	for _, candidate := range j.candidates {
		if a := c.pool.Get(candidate.ID); a != nil {
			j.among = append(j.among, a)
		}
	}
}

// ackBook holds acknowledgements that wait for a message to ride on.
type ackBook struct {
	byAgent map[rank.ID]*pendingAcks
	// due is when some may have to be sent on their own; zero if there are none.
	due time.Time
}

// pendingAcks are those for one agent.
type pendingAcks struct {
	list []wire.Ack
	due  time.Time
}

func (c *Core) ack(now time.Time, agent rank.ID, j *job) {
	if _, ok := c.linked[agent]; !ok {
		return
	}
	pending := c.acks.byAgent[agent]
	if pending == nil {
		pending = &pendingAcks{due: now.Add(c.settings.AckDelay)}
		c.acks.byAgent[agent] = pending
	}
	pending.list = append(pending.list, wire.Ack{Submission: j.submission, Epoch: max(1, j.epoch)})
	if c.acks.due.IsZero() || pending.due.Before(c.acks.due) {
		c.acks.due = pending.due
	}
}

// flushAcks lets acknowledgements ride on messages of this flush, and sends
// the rest on their own when they are due.
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
		c.sendAcks(now, a.ID)
	}
	for agent := range c.acks.byAgent {
		if _, ok := c.linked[agent]; !ok {
			delete(c.acks.byAgent, agent) // it ages the results out by itself
		}
	}
}

// sendAcks sends the acknowledgements for an agent on their own if they are due.
func (c *Core) sendAcks(now time.Time, agent rank.ID) {
	pending := c.acks.byAgent[agent]
	id, ok := c.linked[agent]
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
	c.message(id).Acks = pending.list
	c.stats.WastedAck++
}
