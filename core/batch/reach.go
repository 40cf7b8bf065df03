package batch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/policy"
	"peridotpick.example/core/reach"
	"peridotpick.example/wire/runs"
)

const (
	// reachInterval is the time between two checks of what no linked worker meets.
	reachInterval = 250 * time.Millisecond
	// neededTime is how long an agent that has linked on demand is needed after a task last needed its
	// worker.
	neededTime = 10 * time.Second
	// maxNeededUnused is the number of agents that are kept for a lack before any of them was used.
	maxNeededUnused = 4
	// unreachableRetryDelay is the delay after which a caller may submit a job again that no worker of
	// the deployment can run.
	unreachableRetryDelay = 10 * time.Second
)

// reachState is what the core knows of requirements that linked workers do not meet.
type reachState struct {
	// lacks are those of this entry's tasks, board those of other entries.
	lacks reach.Lacks
	board reach.Board
	// checkedAt is when the steps out of reach were last checked; hasSteps is set if there were any.
	checkedAt time.Time
	hasSteps  bool
	// lacksUpdatedAt is when the announcement was last decided about.
	lacksUpdatedAt time.Time
}

// requirement returns what the tasks of a step require of a worker.
func (j *job) requirement(s *step) runs.Requirement {
	return runs.Requirement{Service: j.queue.Service, Label: s.Requires, Need: s.Need}
}

// isInReach reports whether the worker of some candidate meets a requirement, whatever its load.
func isInReach(candidates []*agent, r runs.Requirement) bool {
	for _, a := range candidates {
		if a.worker.Meets(r) {
			return true
		}
	}
	return false
}

// isMet reports whether a linked worker that is not ejected meets a requirement.
func (c *Core) isMet(r runs.Requirement) bool {
	for _, a := range c.candidates(r.Service) {
		if a.worker.Meets(r) && !c.isUnhealthy(a) {
			return true
		}
	}
	return false
}

// noteMissing handles that no candidate of the current plan may run a task. If none could whatever its
// load, agents of other entries are asked, and the step of a durable job waits until one is linked.
func (c *Core) noteMissing(j *job, s *step) {
	r := j.requirement(s)
	if !c.isMet(r) {
		c.noteLack(r)
	}
	if j.durable != nil && !isInReach(c.planCandidates, r) {
		s.outOfReach = true
		c.reach.hasSteps = true
		c.logDecision(Decision{Event: "wait", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: "no linked worker meets the requirement", Requires: r.String()})
	}
}

// noteLack records that a task needs a requirement that no linked worker meets. Right after the start
// and after a suspension most agents are not linked yet, so nothing is lacking then.
func (c *Core) noteLack(r runs.Requirement) {
	if c.now.Sub(c.startedAt) < discoveryTime || c.now.Sub(c.resumedAt) < discoveryTime || !c.settings.Policy.Enabled(policy.AskForWorkers) {
		return
	}
	if c.reach.lacks.Note(c.now, r) {
		c.logDecision(Decision{Event: "lack", Requires: r.String()})
	}
}

// checkReach returns why an awaited job is refused if no linked worker meets the requirement of one of
// its steps, or nil.
func (c *Core) checkReach(j *job) *refusal {
	var unmet *refusal
	for i := range j.steps {
		r := j.requirement(&j.steps[i])
		if isInReach(c.planCandidates, r) {
			continue
		}
		c.noteLack(r)
		if unmet == nil {
			unmet = &refusal{errkind.Overloaded, "no linked worker meets the requirement", retryDelay, false}
		}
		if c.reach.lacks.IsUnanswered(c.now, r) {
			unmet.reason, unmet.retryAfter = "no worker meets the requirement", unreachableRetryDelay
		}
	}
	if len(c.planCandidates) == 0 {
		return nil // checkAdmission tells the cause
	}
	return unmet
}

// updateOutOfReach checks which steps of durable jobs are still out of reach, and notes what they lack.
func (c *Core) updateOutOfReach() {
	c.reach.checkedAt = c.now
	if !c.reach.hasSteps {
		return
	}
	c.reach.hasSteps = false
	candidates := make(map[string][]*agent)
	for j := range c.jobs.Values() {
		if j.durable == nil || j.ended {
			continue
		}
		service := j.queue.Service
		if _, known := candidates[service]; !known {
			candidates[service] = c.candidates(service)
		}
		for i := range j.steps {
			c.updateStep(j, &j.steps[i], candidates[service])
		}
	}
}

// updateStep checks whether a step is still out of reach.
func (c *Core) updateStep(j *job, s *step, candidates []*agent) {
	if !s.outOfReach {
		return
	}
	r := j.requirement(s)
	if isInReach(candidates, r) {
		s.outOfReach = false
		c.logDecision(Decision{Event: "wait over", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: "a linked worker meets the requirement", Requires: r.String()})
		return
	}
	c.reach.hasSteps = true
	c.noteLack(r)
}

// Lacks returns what this entry has to announce to the other ones. entries is the number of live
// entries; inContact tells whether any other one is in contact with this one.
func (c *Core) Lacks(now time.Time, entries int, inContact bool) (serial uint64, lacks []runs.Lack) {
	c.Advance(now)
	if c.now.Sub(c.reach.lacksUpdatedAt) >= reachInterval {
		c.reach.lacksUpdatedAt = c.now
		c.reach.lacks.Update(now, reach.Surroundings{IsMet: c.isMet, Agents: c.estimateAgents(entries), InContact: inContact})
	}
	return c.reach.lacks.Announcement()
}

// estimateAgents returns the estimated number of agents in the deployment: those linked here, as often
// as each of them is shared by a part of the entries only. An entry without agents takes the number of
// entries for it.
func (c *Core) estimateAgents(entries int) int {
	linked, sharing := 0, 0
	for a := range c.agents.Values() {
		if a.registered {
			linked++
			sharing += a.sharingEntries()
		}
	}
	if linked == 0 {
		return entries
	}
	return linked * linked * entries / sharing
}

// HandleNewEntry has the lacks announced again, for an entry that is new.
func (c *Core) HandleNewEntry(now time.Time) {
	c.Advance(now)
	c.reach.lacks.RepeatSoon(now)
}

// keepIfLacking keeps an agent that has linked on demand and whose worker meets a lack, unless enough
// others are kept for it.
func (c *Core) keepIfLacking(a *agent) {
	if !a.worker.OnDemand || a.isNeeded(c.now) {
		return
	}
	for r := range c.reach.lacks.All() {
		if a.worker.Meets(r) && c.countNeeded(r) < maxNeededUnused {
			a.neededAt = c.now
			return
		}
	}
}

// countNeeded returns the number of agents that are kept and meet a requirement.
func (c *Core) countNeeded(r runs.Requirement) int {
	n := 0
	for a := range c.agents.Values() {
		if a.isNeeded(c.now) && a.worker.Meets(r) {
			n++
		}
	}
	return n
}

// isNeeded reports whether the entry keeps an agent that has linked on demand.
func (a *agent) isNeeded(now time.Time) bool {
	return a.worker.OnDemand && !a.neededAt.IsZero() && now.Sub(a.neededAt) < neededTime
}

// noteUse records that a task is planned on the worker of an agent. One that has linked on demand is
// needed as long as no agent of its own choice has what the task requires.
func (c *Core) noteUse(a *agent, t *task) {
	if !a.worker.OnDemand || a.neededAt.Equal(c.now) {
		return
	}
	r := t.job.requirement(t.step)
	for _, other := range c.planCandidates {
		if !other.worker.OnDemand && other.worker.Meets(r) && !c.isUnhealthy(other) {
			return
		}
	}
	a.neededAt = c.now
}
