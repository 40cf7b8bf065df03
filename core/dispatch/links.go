package dispatch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/label"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// LinkUp registers an open link to an agent incarnation.
func (c *Core) LinkUp(now time.Time, id LinkID, info *wire.AgentInfo) {
	agent := rank.ID{Agent: info.ID, Incarnation: info.Incarnation}
	if old, ok := c.byAgent[info.ID]; ok && old != agent {
		c.AgentGone(now, old)
	}
	c.byAgent[info.ID] = agent
	c.links[id] = &link{id: id, agent: agent, addr: info.Address}
	c.linked[agent] = id
	known := c.pool.Get(agent)
	if known == nil {
		known = newAgent(agent, info)
		c.pool.Add(known)
		c.pool.SetHomes(c.self.ID, c.entries)
		for _, j := range c.sortedJobs() {
			c.resolveAmong(j)
		}
	}
	known.Down = false
	for _, j := range c.sortedJobs() {
		c.askAgain(j, agent)
	}
}

func newAgent(id rank.ID, info *wire.AgentInfo) *rank.Agent {
	return &rank.Agent{
		ID: id, Service: info.Service, Worker: info.Worker, DataCentre: info.DataCentre,
		Rack: info.Rack, Labels: label.Set(info.Labels), Slots: info.Slots,
	}
}

// LinkDown registers the loss of a link. The agent may still work.
func (c *Core) LinkDown(now time.Time, id LinkID) {
	l := c.links[id]
	if l == nil {
		return
	}
	delete(c.links, id)
	if c.linked[l.agent] != id {
		return // replaced by a newer link
	}
	delete(c.linked, l.agent)
	if a := c.pool.Get(l.agent); a != nil {
		a.Down = true
	}
	for _, j := range c.sortedJobs() {
		c.flightsLost(now, j, l.agent)
	}
}

// AgentGone registers that an agent incarnation has certainly ended: its
// address refuses connections, or another incarnation has taken its place.
func (c *Core) AgentGone(now time.Time, agent rank.ID) {
	if id, ok := c.linked[agent]; ok {
		c.LinkDown(now, id)
	}
	if c.byAgent[agent.Agent] == agent {
		delete(c.byAgent, agent.Agent)
	}
	c.pool.Remove(agent)
	c.pool.SetHomes(c.self.ID, c.entries)
	for _, j := range c.sortedJobs() {
		if removeID(&j.unfenced, agent) {
			j.gone = append(j.gone, agent)
			c.settleFences(now, j, false)
		}
		c.flightsGone(now, j, agent)
		c.resolveAmong(j)
	}
}

// Receive handles a message of an agent.
func (c *Core) Receive(now time.Time, id LinkID, msg *wire.ToEntry) {
	l := c.links[id]
	if l == nil || c.linked[l.agent] != id {
		return
	}
	a := c.pool.Get(l.agent)
	if a == nil {
		return
	}
	c.pool.Report(now, a, msg.Load.Running+msg.Load.Queued, msg.Load.Mine)
	a.Leaving = msg.Leaving
	refusedOf := ""
	for _, r := range msg.Results {
		if r.NotRun && r.Submission != refusedOf {
			refusedOf = r.Submission
			c.stats.WastedRefused += 2 // the batch and its refusal
		}
		c.result(now, a, r)
	}
	for i := range msg.Fences {
		c.fenceReply(now, a, &msg.Fences[i])
	}
}

// askAgain queries an agent after its link came back, or fences it late.
func (c *Core) askAgain(j *job, agent rank.ID) {
	ask := containsID(j.unfenced, agent)
	for _, t := range j.tasks {
		for _, f := range t.flights {
			ask = ask || f.agent == agent
		}
	}
	if ask {
		c.fence(j, agent)
	}
}

func (c *Core) fence(j *job, agent rank.ID) {
	msg := c.message(c.linked[agent])
	msg.Fences = append(msg.Fences, wire.Fence{Submission: j.submission, Epoch: max(1, j.epoch)})
	j.touch(agent)
	c.stats.Fences++
	c.stats.WastedFence += 2
}

// beginFencing asks every candidate what it has started.
func (c *Core) beginFencing(now time.Time, j *job) {
	j.phase = phaseFencing
	c.makeTasks(j)
	c.resolveAmong(j)
	j.unfenced = nil
	j.gone = nil
	for _, candidate := range j.candidates {
		c.fenceCandidate(j, candidate)
	}
	c.settleFences(now, j, false)
}

func (c *Core) fenceCandidate(j *job, candidate claim.Candidate) {
	newest, known := c.byAgent[candidate.ID.Agent]
	if known && newest != candidate.ID {
		j.gone = append(j.gone, candidate.ID)
		return
	}
	j.unfenced = append(j.unfenced, candidate.ID)
	if _, ok := c.linked[candidate.ID]; ok {
		c.fence(j, candidate.ID)
		return
	}
	c.out.Dials = append(c.out.Dials, Dial{ID: candidate.ID, Address: candidate.Address})
}

func (c *Core) fenceReply(now time.Time, a *rank.Agent, reply *wire.FenceReply) {
	j := c.jobs[reply.Submission]
	if j == nil || (j.phase != phaseFencing && j.phase != phaseRunning) {
		return
	}
	if reply.Highest > j.epoch {
		c.lostOwnership(now, j)
		return
	}
	if reply.Epoch != max(1, j.epoch) {
		return
	}
	for i := range reply.Tasks {
		c.adoptState(now, j, a, &reply.Tasks[i])
		if j.ended || j.phase == phaseClosing {
			return
		}
	}
	c.flightsNotSeen(now, j, a.ID, reply)
	if removeID(&j.unfenced, a.ID) && reply.Partial {
		j.gone = append(j.gone, a.ID)
	}
	c.settleFences(now, j, false)
}

// adoptState takes an attempt that an agent reports into account.
func (c *Core) adoptState(now time.Time, j *job, a *rank.Agent, s *wire.TaskState) {
	if int(s.Index) >= len(j.tasks) {
		return
	}
	t := j.tasks[s.Index]
	t.attempt = max(t.attempt, s.Attempt)
	if t.state == taskDone {
		return
	}
	f := t.flightAt(a.ID, s.Attempt)
	if f == nil {
		if s.Phase == wire.Done && t.kind != errkind.OK {
			return // a failure that was handled before
		}
		t.flights = append(t.flights, flight{agent: a.ID, attempt: s.Attempt})
		t.state = taskInFlight
		a.Sent()
		c.team(j.team).inFlight++
		f = &t.flights[len(t.flights)-1]
	}
	f.lost = false
	switch {
	case s.Phase == wire.Done && s.Result != nil:
		c.result(now, a, s.Result)
	case s.Phase == wire.Done, s.Phase == wire.Lost:
		c.flightGone(now, t, *f)
	}
}

// flightsNotSeen handles attempts that the agent provably never received.
func (c *Core) flightsNotSeen(now time.Time, j *job, agent rank.ID, reply *wire.FenceReply) {
	for _, t := range j.tasks {
		for _, f := range append([]flight(nil), t.flights...) {
			if f.agent != agent || !f.lost || j.ended {
				continue
			}
			if reply.Partial {
				c.flightGone(now, t, f)
				continue
			}
			c.removeFlight(t, f)
			c.requeue(now, t)
		}
	}
}

// settleFences goes on after fencing when nothing more can be learned. With
// force, candidates that have not answered count as gone.
func (c *Core) settleFences(now time.Time, j *job, force bool) {
	if j.phase != phaseFencing {
		return
	}
	if force {
		j.gone = append(j.gone, j.unfenced...)
		j.unfenced = nil
	}
	if len(j.unfenced) > 0 && !j.accounted() {
		return
	}
	j.phase = phaseRunning
	if j.cancelAsked {
		c.fail(now, j, errkind.Canceled, "canceled by the caller")
		return
	}
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			c.startUnreported(now, t)
		}
		if j.ended || j.phase == phaseClosing {
			return
		}
	}
	c.checkEnd(now, j)
}

// accounted reports whether each task was reported by some candidate.
func (j *job) accounted() bool {
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			return false
		}
	}
	return true
}

// startUnreported decides about a task that no candidate has reported.
func (c *Core) startUnreported(now time.Time, t *task) {
	j := t.job
	switch {
	case len(j.gone) > 0:
		c.doubt(now, t, flight{})
	case j.orphan:
		c.fail(now, j, errkind.DeadlineExceeded, "the entry that owned the submission was lost before every task had started")
	default:
		c.enqueue(now, t)
	}
}

// flightsLost marks attempts at an agent whose link went down. Repeatable
// tasks without a claim are started elsewhere at once.
func (c *Core) flightsLost(now time.Time, j *job, agent rank.ID) {
	for _, t := range j.tasks {
		for i := range t.flights {
			f := &t.flights[i]
			if f.agent != agent {
				continue
			}
			f.lost = true
			if !j.claimed && t.spec.Repeatable && len(t.flights) == 1 && c.retry.spend() {
				c.stats.WastedRetry++
				t.avoid = append(t.avoid, agent)
				c.enqueue(now, t)
			}
		}
	}
}

// flightsGone handles attempts at an agent that has certainly ended.
func (c *Core) flightsGone(now time.Time, j *job, agent rank.ID) {
	for _, t := range j.tasks {
		for _, f := range append([]flight(nil), t.flights...) {
			if f.agent == agent && !j.ended && j.phase != phaseClosing {
				c.flightGone(now, t, f)
			}
		}
	}
}

// flightGone handles an attempt whose fate can never be learned.
func (c *Core) flightGone(now time.Time, t *task, f flight) {
	c.removeFlight(t, f)
	t.mayHaveRun = true
	if len(t.flights) > 0 || t.state == taskWaiting || t.state == taskDone {
		return // another attempt is out, or waits already
	}
	c.doubt(now, t, f)
}

// doubt decides about a task that may have started and cannot be asked about.
func (c *Core) doubt(now time.Time, t *task, f flight) {
	t.state = taskInDoubt
	t.mayHaveRun = true
	j := t.job
	if !t.spec.Repeatable || j.orphan {
		c.fail(now, j, errkind.FateUnknown, "a task that may not be repeated may have started on a backend server that is gone")
		return
	}
	if !j.claimed {
		c.lapsed(now, t, f.agent)
		return
	}
	// Whatever started there did so before now.
	c.after(now.Add(t.spec.MaxRun), timer{kind: timerLapse, job: j, task: t, agent: f.agent})
}

// lapsed starts a repeatable task again whose earlier attempt has surely ended.
func (c *Core) lapsed(now time.Time, t *task, agent rank.ID) {
	if t.state != taskInDoubt {
		return
	}
	c.stats.WastedRetry++
	t.avoid = append(t.avoid, agent)
	c.enqueue(now, t)
}

// sortedJobs returns the open jobs in a fixed order.
func (c *Core) sortedJobs() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	sortJobs(list)
	return list
}
