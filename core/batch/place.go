package batch

import (
	"slices"
	"sort"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/admission"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// plan assigns tasks of a job to workers.
type plan struct {
	placements []placement
	// delay is the longest expected wait for a start, finish the longest expected time to an end.
	delay, finish time.Duration
	// age is the age of the oldest load report that the plan is based on.
	age time.Duration
	// forecast is when the job is expected to start; set on admission.
	forecast admission.Forecast
	// slack is how long the job's tasks may wait and still meet its objective.
	slack time.Duration
	// missing is the number of tasks for which no worker was found.
	missing int
	// truncated is set if tasks were left out because they would wait too long for resources.
	truncated bool
}

// placement assigns a task to an agent's worker.
type placement struct {
	task  *task
	agent *agent
	// wait is the expected time to the start, run the expected run time.
	wait, run time.Duration
	// reservation is the reservation whose resources the agent holds for the task; 0 if there is
	// none.
	reservation uint64
}

// plannedLoad is what the current plan has assigned to an agent so far.
type plannedLoad struct {
	resources room.Resources
	// tasksByStep counts the assigned tasks of steps with an AntiAffinity limit.
	tasksByStep map[*step]int
}

// add adds a task of a step.
func (l *plannedLoad) add(s *step) {
	l.resources = l.resources.Add(s.Need)
	if s.AntiAffinity == 0 {
		return
	}
	if l.tasksByStep == nil {
		l.tasksByStep = make(map[*step]int)
	}
	l.tasksByStep[s]++
}

// planJob finds placements for the tasks of a job that may start now.
func (c *Core) planJob(j *job) plan { return c.planWithin(j, 0) }

// planWithin plans like planJob but leaves out tasks that would wait longer than limit for
// resources; 0 means no limit. As the tasks of a step are identical, the rest of a step is skipped
// after the first task over the limit.
func (c *Core) planWithin(j *job, limit time.Duration) plan {
	var p plan
	c.planCandidates = c.appendCandidates(c.planCandidates[:0], j.queue.Service)
	c.planCount++
	p.slack = j.slackLeft(c.now)
	for i := range j.steps {
		s := &j.steps[i]
		if s.openTasks == 0 || s.outOfReach || !j.isReady(s) {
			continue
		}
		for _, t := range s.tasks {
			if t.state != taskWaiting || t.isBlocked() {
				continue
			}
			c.planTask(&p, t)
			if s.outOfReach || limit > 0 && p.dropLastOverLimit(limit) {
				break
			}
		}
	}
	return p
}

// dropLastOverLimit removes the last placement if its wait exceeds the limit. It reports whether it
// did.
func (p *plan) dropLastOverLimit(limit time.Duration) bool {
	last := len(p.placements) - 1
	if last < 0 || p.placements[last].wait <= limit {
		return false
	}
	p.placements = p.placements[:last]
	p.truncated = true
	return true
}

// candidates returns the usable agents of a service in data centres that are not drained.
func (c *Core) candidates(service string) []*agent { return c.appendCandidates(nil, service) }

func (c *Core) appendCandidates(list []*agent, service string) []*agent {
	for a := range c.agents.Values() {
		if a.worker.Service == service && a.isUsable(c.now, c.settings.SilenceTimeout) && !c.drains.IsDrained(a.worker.DataCentre) {
			list = append(list, a)
		}
	}
	return list
}

// plannedLoadOf returns what the current plan has assigned to an agent.
func (c *Core) plannedLoadOf(a *agent) *plannedLoad {
	if a.plannedIn != c.planCount {
		a.plannedIn = c.planCount
		a.planned = plannedLoad{}
	}
	return &a.planned
}

// planTask adds the placement of a task with the lowest cost to a plan. Equal costs are decided by
// the free CPU.
func (c *Core) planTask(p *plan, t *task) {
	if c.takesLastWorker(t) || c.awaitsCrashReport(t) {
		p.missing++
		return
	}
	var best *agent
	var bestWait, bestRun, bestCost time.Duration
	var bestFree int
	for _, a := range c.planCandidates {
		planned := c.plannedLoadOf(a)
		if !c.isAllowed(t, a, planned) {
			continue
		}
		free := c.freeResources(a, p.slack).Sub(planned.resources)
		wait := c.waitFor(a, free, t.step.Need)
		run := c.runTime(a, t)
		cost := c.cost(a, t, wait, run)
		jitteredFreeCPU := c.jitterCPU(free.CPU)
		if best == nil || cost < bestCost || cost == bestCost && jitteredFreeCPU > bestFree {
			best, bestWait, bestRun, bestCost, bestFree = a, wait, run, cost, jitteredFreeCPU
		}
	}
	if best == nil {
		p.missing++
		c.noteMissing(t.job, t.step)
		return
	}
	c.noteUse(best, t)
	c.plannedLoadOf(best).add(t.step)
	p.placements = append(p.placements, placement{task: t, agent: best, wait: bestWait, run: bestRun})
	p.delay = max(p.delay, bestWait)
	p.finish = max(p.finish, bestWait+bestRun)
	p.age = max(p.age, c.now.Sub(best.loadAt))
}

// jitterCPU randomly increases the free CPU by which equal workers are compared, by less than a
// factor of two. Otherwise all entries would choose the same worker until they see the effect of
// each other's choices.
func (c *Core) jitterCPU(cpu int) int {
	if !c.settings.Policy.Enabled(policy.Spread) {
		return cpu
	}
	return cpu * (jitterSteps + c.rand.IntN(jitterSteps)) / jitterSteps
}

// jitterSteps is the number of different random factors.
const jitterSteps = 100

// isAllowed reports whether a task may run on an agent's worker, whatever the wait.
func (c *Core) isAllowed(t *task, a *agent, planned *plannedLoad) bool {
	s := t.step
	if !a.worker.Meets(t.job.requirement(s)) {
		return false
	}
	if s.AntiAffinity > 0 && planned.tasksByStep[s]+c.countPlacedOn(s, a.link) >= s.AntiAffinity {
		return false
	}
	return !c.isEjected(a, planned)
}

// countPlacedOn returns the number of tasks of a step with a run at an agent.
func (c *Core) countPlacedOn(s *step, id LinkID) int {
	n := 0
	for _, t := range s.tasks {
		if t.state == taskPlaced && t.link == id {
			n++
		}
	}
	return n
}

// waitFor returns the expected time until an agent's worker has free resources for a task.
func (c *Core) waitFor(a *agent, free room.Resources, need room.Resources) time.Duration {
	if free.Fits(need) {
		return 0
	}
	age := c.now.Sub(a.loadAt)
	cpu := free.CPU
	last := time.Duration(0)
	for _, f := range a.load.ExpectedEnds {
		last = max(time.Duration(f.After)*time.Millisecond-age, minResourceWait)
		cpu += f.CPU
		if cpu >= need.CPU {
			return last
		}
	}
	// Beyond the reported completions, CPU is assumed to become free at the rate at which they
	// freed it.
	freed := max(cpu-free.CPU, need.CPU)
	missing := need.CPU - cpu
	return max(last, minResourceWait) + time.Duration(float64(max(last, defaultResourceWait))*float64(missing)/float64(freed))
}

const (
	// minResourceWait is the shortest expected wait for resources that the newest load report does
	// not show as free.
	minResourceWait = 2 * time.Millisecond
	// defaultResourceWait is the assumed time to free resources if no completion is reported.
	defaultResourceWait = 100 * time.Millisecond
)

// runTime returns the expected run time of a task on an agent's worker.
func (c *Core) runTime(a *agent, t *task) time.Duration {
	run := time.Duration(float64(t.step.estimate) * c.relativeSlowness(a))
	if t.step.DataRack != "" && !slices.Contains(a.worker.Labels, t.step.DataRack) {
		run = time.Duration(float64(run) * c.settings.RemoteFactor)
	}
	return run
}

// cost returns the value by which workers are compared for a task, lower being better: the expected
// time to the end plus penalties. Workers on which the task has failed come last.
func (c *Core) cost(a *agent, t *task, wait, run time.Duration) time.Duration {
	cost := wait + run + c.colocationCost(a, t)
	if a.worker.DataCentre != c.settings.DataCentre {
		cost += c.settings.CrossDataCentreCost
	}
	if t.failedOn[a.worker.ID] > 0 {
		cost += earlierFailureCost
	}
	if c.settings.Policy.Enabled(policy.RefusedBefore) {
		cost += time.Duration(t.refusedBy[a.worker.ID]) * earlierRefusalCost
	}
	return cost
}

// earlierFailureCost keeps a task away from a worker on which it failed, unless there is no other.
const earlierFailureCost = 10 * time.Second

// earlierRefusalCost makes a task try other workers after a refusal, the reason of which may not
// show in the newest load report.
const earlierRefusalCost = 50 * time.Millisecond

// startPlan sends the starts of a plan, and reservations for the tasks that have to wait.
func (c *Core) startPlan(p plan) {
	reserved := 0
	for _, pl := range p.placements {
		if c.canReserve(pl) {
			reserved += c.reserve(pl)
			continue
		}
		c.startTask(pl)
		c.releaseSurplus(pl.task.step)
	}
	if reserved > 0 {
		j := p.placements[0].task.job
		c.logDecision(Decision{Event: "reserve", Job: j.name, Queue: j.queue.Name, Version: j.version, Reservations: reserved, Wait: p.delay, Slack: p.slack, Age: p.age})
	}
}

// startTask sends the start of a task to its agent.
func (c *Core) startTask(pl placement) {
	t, a, j := pl.task, pl.agent, pl.task.job
	t.run = t.nextRun()
	if t.usesLastNumber() {
		j.durable.outOfNumbers = true
	}
	t.state = taskPlaced
	t.link = a.link
	t.agent = a.worker.Agent
	t.worker = a.worker.ID
	t.sentAt = c.now
	t.expected = pl.wait + pl.run
	a.startsSent++
	a.runCount++
	if pl.reservation == 0 {
		a.inFlight = append(a.inFlight, inFlightStart{seq: a.startsSent, need: t.step.Need})
	}
	if c.isUnhealthy(a) {
		a.probedAt = c.now
	}
	a.out.Starts = append(a.out.Starts, runs.Start{
		Key: t.key(), Spec: j.spec, Need: t.step.Need, Estimate: t.step.estimate,
		Slack: j.slackLeft(c.now), StartTimeout: c.startTimeout(j), Checkpoint: t.checkpoint, Durable: j.durable != nil,
		Isolation: t.isolation(), Reservation: pl.reservation,
	})
	c.markDirty(a)
	c.logDecision(Decision{
		Event: "start", Job: j.name, Queue: j.queue.Name, Version: j.version, Key: t.key(), Worker: a.worker.ID,
		Age: c.now.Sub(a.loadAt), Expected: t.expected, Wait: pl.wait, Slack: j.slackLeft(c.now), Reservation: pl.reservation,
	})
}

// slackLeft returns how long the tasks of a job may still wait so that it meets its objective, or
// ends while its answer is useful if it was started past its objective.
func (j *job) slackLeft(now time.Time) time.Duration {
	if j.pastObjective {
		return deferredSlack + j.slackWithin(usefulFactor*j.objective, now)
	}
	return j.slackWithin(j.objective, now)
}

// slackWithin returns how long the tasks of a job may still wait so that it ends within the given
// time from its arrival.
func (j *job) slackWithin(objective time.Duration, now time.Time) time.Duration {
	return objective - j.criticalPath() - now.Sub(j.arrived)
}

// startTimeout returns how long a run of a job may wait for its start.
func (c *Core) startTimeout(j *job) time.Duration {
	if j.durable != nil {
		return durableStartTimeout
	}
	return min(j.deadline.Sub(c.now), usefulFactor*j.objective-c.now.Sub(j.arrived))
}

// usefulFactor times the objective is the time from arrival after which the answer of a job is no
// longer useful.
const usefulFactor = 3

// placeJob places the waiting tasks of a job, or gives up an awaited job that is no longer useful.
func (c *Core) placeJob(j *job) {
	if j.ended || j.deferred {
		return
	}
	if !j.hasWaitingTask() {
		return
	}
	if j.durable != nil {
		c.placeDurable(j)
		return
	}
	if c.startTimeout(j) <= 0 {
		c.giveUp(j, outOfTime, "no time left")
		return
	}
	c.startPlan(c.planJob(j))
}

// placeWaiting places the waiting tasks of all jobs: awaited jobs in order of arrival, then
// deferred and durable ones.
func (c *Core) placeWaiting() {
	var waiting []*job
	for j := range c.jobs.Values() {
		if !j.ended && !j.deferred && j.durable == nil && j.hasWaitingTask() && !j.hasReservations() {
			waiting = append(waiting, j)
		}
	}
	sort.Slice(waiting, func(i, k int) bool { return waiting[i].arrived.Before(waiting[k].arrived) })
	for _, j := range waiting {
		c.placeJob(j)
	}
	c.placeDeferred()
	c.placeBacklog()
}

// hasWaitingTask reports whether a task that may start, and is not out of reach, has no run.
func (j *job) hasWaitingTask() bool {
	for i := range j.steps {
		s := &j.steps[i]
		if s.openTasks == 0 || s.outOfReach || !j.isReady(s) {
			continue
		}
		for _, t := range s.tasks {
			if t.state == taskWaiting {
				return true
			}
		}
	}
	return false
}
