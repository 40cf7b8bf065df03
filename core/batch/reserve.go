package batch

import (
	"sort"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/room"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// Tasks of awaited jobs for which no worker is known to be free wait here, with reservations at
// several agents. The first agent that has the resources offers them, and only then a task is bound
// to it. See package reserve for the agent's part.

// reservationCopies is the number of agents with which resources are reserved for each waiting task.
// With two the task starts at the sooner one of them. Each further copy gains less and costs as many
// messages.
const reservationCopies = 2

// reservation is a reservation at an agent for one waiting task of a step.
type reservation struct {
	id   uint64
	step *step
	link LinkID
	// sentAt is when it was sent.
	sentAt time.Time
}

const (
	// bindingDelayFactor is the number of times that this entry handles a message for a reservation
	// until the task starts.
	bindingDelayFactor = 2
	// ownDelayDecay is the factor on the mean delay at each request, so that about the last ten count.
	ownDelayDecay = 0.9
)

// observeOwnDelay takes the time that a request has waited in this process. An entry that is short of
// processor time handles all messages late.
func (c *Core) observeOwnDelay(r *Request) {
	delay := c.now.Sub(c.arrivalTime(r))
	c.ownDelay = time.Duration(ownDelayDecay*float64(c.ownDelay) + (1-ownDelayDecay)*float64(delay))
}

// canReserve reports whether a placement has to wait longer than the messages of a reservation wait in
// this process, and its agent takes reservations for it.
func (c *Core) canReserve(pl placement) bool {
	return pl.wait > bindingDelayFactor*c.ownDelay && pl.task.job.durable == nil && pl.task.isolation() == runs.IsolationNone &&
		pl.agent.worker.TakesReservations && c.settings.Policy.Enabled(policy.Reserving)
}

// reserve reserves resources for a waiting task at the planned agent and at others, as far as its
// step has too few reservations. It returns the number of new reservations.
func (c *Core) reserve(pl placement) int {
	t := pl.task
	s := t.step
	wanted := reservationCopies * s.waitingTasks()
	n := 0
	for ; n < reservationCopies && len(s.reservations) < wanted; n++ {
		a := pl.agent
		if n > 0 {
			a = c.nextChoice(t, pl.agent)
		}
		if a == nil {
			break
		}
		c.reserveAt(a, t)
	}
	return n
}

// nextChoice returns the agent with the lowest cost for a task except one, or nil.
func (c *Core) nextChoice(t *task, except *agent) *agent {
	slack := t.job.slackLeft(c.now)
	var best *agent
	var bestCost time.Duration
	for _, a := range c.planCandidates {
		planned := c.plannedLoadOf(a)
		if a == except || !a.worker.TakesReservations || !c.isAllowed(t, a, planned) {
			continue
		}
		wait := c.waitFor(a, c.freeResources(a, slack).Sub(planned.resources), t.step.Need)
		if cost := c.cost(a, t, wait, c.runTime(a, t)); best == nil || cost < bestCost {
			best, bestCost = a, cost
		}
	}
	if best != nil {
		c.plannedLoadOf(best).add(t.step)
	}
	return best
}

// reserveAt sends a reservation for a task to an agent.
func (c *Core) reserveAt(a *agent, t *task) {
	c.newestReservation++
	r := &reservation{id: c.newestReservation, step: t.step, link: a.link, sentAt: c.now}
	c.reservations.Put(r.id, r)
	t.step.reservations = append(t.step.reservations, r)
	a.out.Reserve = append(a.out.Reserve, runs.Reservation{
		ID: r.id, Need: t.step.Need, Slack: t.job.slackLeft(c.now), StartTimeout: c.startTimeout(t.job), Copies: reservationCopies,
	})
	c.markDirty(a)
}

// receiveOffer handles that an agent holds resources for a reservation: a waiting task takes them,
// or they are released.
func (c *Core) receiveOffer(a *agent, id uint64) {
	r := c.reservations.Get(id)
	if r == nil || r.link != a.link {
		c.releaseAt(a, id)
		return
	}
	c.forgetReservation(r)
	t := c.taskToBind(r.step, a)
	if t == nil || !a.isUsable(c.now, c.settings.SilenceTimeout) {
		c.releaseAt(a, id)
		return
	}
	c.startTask(placement{task: t, agent: a, run: c.runTime(a, t), reservation: id})
	c.releaseSurplus(r.step)
}

// taskToBind returns a waiting task of a step that may run on an agent's worker, or nil.
func (c *Core) taskToBind(s *step, a *agent) *task {
	nothingPlanned := &plannedLoad{}
	for _, t := range s.tasks {
		if t.state == taskWaiting && !t.job.ended && !t.isBlocked() && c.isAllowed(t, a, nothingPlanned) {
			return t
		}
	}
	return nil
}

// releaseAt tells an agent that a reservation is no longer needed.
func (c *Core) releaseAt(a *agent, id uint64) {
	a.out.Released = append(a.out.Released, id)
	c.markDirty(a)
}

// releaseSurplus releases the reservations of a step that exceed those for its waiting tasks.
func (c *Core) releaseSurplus(s *step) {
	for needed := reservationCopies * s.waitingTasks(); len(s.reservations) > needed; {
		r := s.reservations[len(s.reservations)-1]
		c.forgetReservation(r)
		if a := c.agents.Get(r.link); a != nil {
			c.releaseAt(a, r.id)
		}
	}
}

// releaseReservations releases all reservations of a job.
func (c *Core) releaseReservations(j *job) {
	for i := range j.steps {
		s := &j.steps[i]
		for len(s.reservations) > 0 {
			r := s.reservations[0]
			c.forgetReservation(r)
			if a := c.agents.Get(r.link); a != nil {
				c.releaseAt(a, r.id)
			}
		}
	}
}

// forgetReservation removes a reservation that its agent does not have any more or is told to remove.
func (c *Core) forgetReservation(r *reservation) {
	c.reservations.Delete(r.id)
	for i, other := range r.step.reservations {
		if other == r {
			r.step.reservations = append(r.step.reservations[:i], r.step.reservations[i+1:]...)
			return
		}
	}
}

// receiveDropped handles that an agent has dropped reservations.
func (c *Core) receiveDropped(ids []uint64) {
	for _, id := range ids {
		if r := c.reservations.Get(id); r != nil {
			c.forgetReservation(r)
		}
	}
}

// forgetReservationsAt forgets the reservations at an agent that is lost or gets no new runs.
func (c *Core) forgetReservationsAt(link LinkID) {
	for _, r := range c.reservations.All() {
		if r.link == link {
			c.forgetReservation(r)
		}
	}
}

// waitingTasks returns the number of tasks of a step without a run.
func (s *step) waitingTasks() int {
	n := 0
	for _, t := range s.tasks {
		if t.state == taskWaiting {
			n++
		}
	}
	return n
}

// hasReservations reports whether all waiting tasks of a job that may start have a reservation.
func (j *job) hasReservations() bool {
	for i := range j.steps {
		s := &j.steps[i]
		if s.openTasks > 0 && j.isReady(s) && len(s.reservations) < s.waitingTasks() {
			return false
		}
	}
	return true
}

// placeReserved starts tasks that have reservations on workers that have become free elsewhere, in
// the order of their slack. The jobs that can no longer meet their objective are deferred or refused.
func (c *Core) placeReserved() {
	var list []*job
	for j := range c.jobs.Values() {
		if !j.ended && !j.deferred && j.durable == nil && j.hasWaitingTask() {
			list = append(list, j)
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].slackLeft(c.now) < list[k].slackLeft(c.now) })
	free := make(map[string]room.Resources)
	for _, j := range list {
		if c.giveUpIfLate(j) {
			continue
		}
		largest, known := free[j.queue.Service]
		if !known {
			largest = c.largestFree(j.queue.Service)
			free[j.queue.Service] = largest
		}
		if j.fitsWaitingTask(largest) {
			c.placeJob(j)
			free[j.queue.Service] = c.largestFree(j.queue.Service)
		}
	}
}

// largestFree returns the free resources of the worker of a service with the most free CPU.
func (c *Core) largestFree(service string) room.Resources {
	var largest room.Resources
	for a := range c.agents.Values() {
		if a.worker.Service != service || !a.isUsable(c.now, c.settings.SilenceTimeout) {
			continue
		}
		if free := c.freeResources(a, deferredSlack); free.CPU > largest.CPU {
			largest = free
		}
	}
	return largest
}

// fitsWaitingTask reports whether a waiting task of a job that may start fits into the resources.
func (j *job) fitsWaitingTask(free room.Resources) bool {
	for i := range j.steps {
		s := &j.steps[i]
		if s.openTasks > 0 && j.isReady(s) && s.waitingTasks() > 0 && free.Fits(s.Need) {
			return true
		}
	}
	return false
}

// giveUpIfLate defers or refuses a job that can no longer meet its objective while nothing of it was
// started. It reports whether it did.
func (c *Core) giveUpIfLate(j *job) bool {
	if j.pastObjective || j.begun || j.hasPlacedRun() || !j.hasAnyReservation() || j.slackLeft(c.now) >= c.settings.Overhead {
		return false
	}
	c.releaseReservations(j)
	if c.canDefer(j) {
		c.deferJob(j, plan{slack: j.slackLeft(c.now)}, "no room in time")
		return true
	}
	c.giveUp(j, errkind.Overloaded, "no room in time")
	return true
}

func (j *job) hasAnyReservation() bool {
	for i := range j.steps {
		if len(j.steps[i].reservations) > 0 {
			return true
		}
	}
	return false
}

// Reservations returns the number of reservations that agents are expected to have.
func (c *Core) Reservations() int { return c.reservations.Len() }

// ServedShares returns, for each queue, the share of the work offered lately that was not refused or
// given up.
func (c *Core) ServedShares(now time.Time) map[string]float64 { return c.gate.Shares(now) }

// Levels returns the levels of work of the services whose resources are short, to be sent to other
// entries.
func (c *Core) Levels(now time.Time) []runs.Level { return c.gate.Levels(now) }

// MergeLevels handles the levels of another entry.
func (c *Core) MergeLevels(now time.Time, entry string, levels []runs.Level) {
	c.Advance(now)
	c.gate.MergeLevels(now, entry, levels)
}

// KnownLevels returns the number of other entries whose level of a service is known.
func (c *Core) KnownLevels(service string) int { return c.gate.KnownLevels(service) }
