package batch

import (
	"slices"
	"sort"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// plan says where tasks of a job go.
type plan struct {
	places []place
	// delay is the longest expected time to a start, finish to an end.
	delay, finish time.Duration
	// age is that of the oldest load that decided.
	age time.Duration
	// slack is what the job's tasks may wait and still end in time.
	slack time.Duration
	// missing counts tasks for which there is no worker.
	missing int
	// held is set if tasks were left out, since they would wait too long for room.
	held bool
}

type place struct {
	task  *task
	agent *agent
	// wait is the expected time to the start, run that of the run.
	wait, run time.Duration
}

// trial is what a plan has put on an agent so far.
type trial struct {
	used room.Room
	// count is by step; it is kept for steps with a bound on one worker only.
	count map[*step]int
}

func (tr *trial) add(s *step) {
	tr.used = tr.used.Plus(s.Need)
	if s.AntiAffinity == 0 {
		return
	}
	if tr.count == nil {
		tr.count = make(map[*step]int)
	}
	tr.count[s]++
}

// planJob finds places for the tasks of a job that may start now.
func (c *Core) planJob(j *job) plan { return c.planWithin(j, 0) }

// planWithin leaves tasks out that would wait for room longer than a limit; 0 sets
// none. Tasks of a step are alike: after the first one the others are not tried.
func (c *Core) planWithin(j *job, limit time.Duration) plan {
	var p plan
	c.usable = c.appendCandidates(c.usable[:0], j.queue.Service)
	c.plans++
	p.slack = j.slackLeft(c.now)
	for i := range j.steps {
		s := &j.steps[i]
		if s.left == 0 || !j.ready(s) {
			continue
		}
		for _, t := range s.tasks {
			if t.state != taskWaiting || t.blocked() {
				continue
			}
			c.planTask(&p, t)
			if limit > 0 && p.cut(limit) {
				break
			}
		}
	}
	return p
}

// cut leaves the last place out if its wait is over the limit.
func (p *plan) cut(limit time.Duration) bool {
	last := len(p.places) - 1
	if last < 0 || p.places[last].wait <= limit {
		return false
	}
	p.places = p.places[:last]
	p.held = true
	return true
}

// candidates returns the usable agents of a service in data centres that are not drained.
func (c *Core) candidates(service string) []*agent { return c.appendCandidates(nil, service) }

func (c *Core) appendCandidates(list []*agent, service string) []*agent {
	for a := range c.agents.Values() {
		if a.worker.Service == service && a.usable(c.now, c.settings.SilentAfter) && !c.drains.Has(a.worker.DataCentre) {
			list = append(list, a)
		}
	}
	return list
}

// trialOf returns what the present plan has put on an agent.
func (c *Core) trialOf(a *agent) *trial {
	if a.plan != c.plans {
		a.plan = c.plans
		a.trial = trial{}
	}
	return &a.trial
}

func (c *Core) planTask(p *plan, t *task) {
	if c.lastRoom(t) || c.awaitsWord(t) {
		p.missing++
		return
	}
	var best *agent
	var bestWait, bestRun, bestCost time.Duration
	var bestFree int
	for _, a := range c.usable {
		tr := c.trialOf(a)
		if !c.allowed(t, a, tr) {
			continue
		}
		free := c.free(a, p.slack).Minus(tr.used)
		wait := c.waitFor(a, free, t.step.Need)
		run := c.runTime(a, t)
		cost := c.cost(a, t, wait, run)
		room := c.spread(free.CPU)
		if best == nil || cost < bestCost || cost == bestCost && room > bestFree {
			best, bestWait, bestRun, bestCost, bestFree = a, wait, run, cost, room
		}
	}
	if best == nil {
		p.missing++
		return
	}
	c.trialOf(best).add(t.step)
	p.places = append(p.places, place{task: t, agent: best, wait: bestWait, run: bestRun})
	p.delay = max(p.delay, bestWait)
	p.finish = max(p.finish, bestWait+bestRun)
	p.age = max(p.age, c.now.Sub(best.loadAt))
}

// spread varies the free room by which equal workers are told apart, by up to a
// half. Otherwise all entries would choose the same worker until they hear of
// each other's choice.
func (c *Core) spread(cpu int) int {
	if !c.settings.Policy.Has(policy.Spread) {
		return cpu
	}
	return cpu * (spreadParts + c.rand.IntN(spreadParts)) / spreadParts
}

const spreadParts = 100

// allowed reports whether a task may run on an agent's worker at all.
func (c *Core) allowed(t *task, a *agent, tr *trial) bool {
	s := t.step
	if !a.worker.Capacity.Fits(s.Need) {
		return false
	}
	if s.Requires != "" && !slices.Contains(a.worker.Labels, s.Requires) {
		return false
	}
	if s.AntiAffinity > 0 && tr.count[s]+c.placedOn(s, a.link) >= s.AntiAffinity {
		return false
	}
	return !c.shunned(a, tr)
}

func (c *Core) placedOn(s *step, id LinkID) int {
	n := 0
	for _, t := range s.tasks {
		if t.state == taskPlaced && t.on == id {
			n++
		}
	}
	return n
}

// waitFor returns the expected time until an agent has room for a task.
func (c *Core) waitFor(a *agent, free room.Room, need room.Room) time.Duration {
	if free.Fits(need) {
		return 0
	}
	age := c.now.Sub(a.loadAt)
	cpu := free.CPU
	last := time.Duration(0)
	for _, f := range a.load.Freeings {
		last = max(time.Duration(f.After)*time.Millisecond-age, minWait)
		cpu += f.CPU
		if cpu >= need.CPU {
			return last
		}
	}
	// Beyond the reported ends: room frees at the rate at which those freed it.
	freed := max(cpu-free.CPU, need.CPU)
	missing := need.CPU - cpu
	return max(last, minWait) + time.Duration(float64(max(last, unknownWait))*float64(missing)/float64(freed))
}

const (
	// minWait is the shortest wait for room that is not free by the newest load.
	minWait = 2 * time.Millisecond
	// unknownWait stands for the time to free room where no end is reported.
	unknownWait = 100 * time.Millisecond
)

// runTime returns the expected run time of a task at an agent's worker.
func (c *Core) runTime(a *agent, t *task) time.Duration {
	run := time.Duration(float64(t.step.estimate) * c.relativeSlowness(a))
	if t.step.DataRack != "" && !slices.Contains(a.worker.Labels, t.step.DataRack) {
		run = time.Duration(float64(run) * c.settings.RemoteFactor)
	}
	return run
}

// cost is what the choice of a worker is judged by: the expected time to the
// end. Workers on which the task has failed before come last.
func (c *Core) cost(a *agent, t *task, wait, run time.Duration) time.Duration {
	cost := c.likelyWait(wait) + run + c.beside(a, t)
	if a.worker.DataCentre != c.settings.DataCentre {
		cost += c.settings.CrossCost
	}
	if t.failedOn[a.worker.ID] > 0 {
		cost += failedBeforeCost
	}
	if c.settings.Policy.Has(policy.RefusedBefore) {
		cost += time.Duration(t.refusedBy[a.worker.ID]) * refusedBeforeCost
	}
	return cost
}

// failedBeforeCost keeps a task away from a worker on which it failed, unless
// there is no other.
const failedBeforeCost = 10 * time.Second

// refusedBeforeCost makes a task try other workers after a refusal, which the
// newest load may not explain.
const refusedBeforeCost = 50 * time.Millisecond

// carryOut sends the starts of a plan.
func (c *Core) carryOut(p plan) {
	for _, pl := range p.places {
		c.start(pl)
	}
}

func (c *Core) start(pl place) {
	t, a, j := pl.task, pl.agent, pl.task.job
	t.run++
	if t.taken {
		t.run += oldRunStep
		t.taken = false
	}
	t.state = taskPlaced
	t.on = a.link
	t.agent = a.worker.Agent
	t.worker = a.worker.ID
	t.sentAt = c.now
	t.expected = pl.wait + pl.run
	t.expectedWait = pl.wait
	a.sent++
	a.runs++
	a.inFlight = append(a.inFlight, start{seq: a.sent, need: t.step.Need})
	if c.unsound(a) {
		a.probedAt = c.now
	}
	a.out.Starts = append(a.out.Starts, runs.Start{
		Key: t.key(), Spec: j.spec, Need: t.step.Need, Estimate: t.step.estimate,
		Slack: j.slackLeft(c.now), Patience: c.patience(j), Checkpoint: t.checkpoint, Durable: j.durable != nil,
		Suspicion: t.suspicion(),
	})
	c.mark(a)
	c.note(Note{
		Event: "start", Job: j.name, Queue: j.queue.Name, Version: j.version, Key: t.key(), Worker: a.worker.ID,
		Age: c.now.Sub(a.loadAt), Expected: t.expected, Wait: pl.wait, Slack: j.slackLeft(c.now),
	})
}

// slackLeft is how long the tasks of a job may still wait so that it ends within
// its objective.
func (j *job) slackLeft(now time.Time) time.Duration {
	if j.late {
		return deferredSlack + j.slackTo(lateFactor*j.objective, now)
	}
	return j.slackTo(j.objective, now)
}

// slackTo is how long the tasks of a job may wait so that it ends within a time.
func (j *job) slackTo(objective time.Duration, now time.Time) time.Duration {
	return objective - j.chain() - now.Sub(j.arrived)
}

// patience is how long a run of a job may wait for its start.
func (c *Core) patience(j *job) time.Duration {
	if j.durable != nil {
		return durablePatience
	}
	return min(j.deadline.Sub(c.now), lateFactor*j.objective-c.now.Sub(j.arrived))
}

// lateFactor times its objective is when a job's answer has lost its use.
const lateFactor = 3

// placeJob places the tasks of a job that wait, or gives the job up.
func (c *Core) placeJob(j *job) {
	if j.ended || j.deferred {
		return
	}
	if !j.hasWaiting() {
		return
	}
	if j.durable != nil {
		c.placeDurable(j)
		return
	}
	if c.patience(j) <= 0 {
		c.giveUp(j, outOfTime, "no time left")
		return
	}
	c.carryOut(c.planJob(j))
}

// placeWaiting places waiting tasks of all jobs, the most urgent jobs first.
func (c *Core) placeWaiting() {
	var waiting []*job
	for j := range c.jobs.Values() {
		if !j.ended && !j.deferred && j.durable == nil && j.hasWaiting() {
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

func (j *job) hasWaiting() bool {
	for i := range j.steps {
		s := &j.steps[i]
		if s.left == 0 || !j.ready(s) {
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
