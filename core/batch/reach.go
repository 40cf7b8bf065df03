package batch

import (
	"time"

	"peridotpick.example/wire/runs"
)

// reachInterval is the time between two checks of what no linked worker meets.
const reachInterval = 250 * time.Millisecond

// reachState is what the core knows of requirements that linked workers do not meet.
type reachState struct {
	// checkedAt is when the steps out of reach were last checked; hasSteps is set if there were any.
	checkedAt time.Time
	hasSteps  bool
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

// noteMissing handles that no candidate of the current plan may run a task. If none could whatever its
// load, the step of a durable job waits until one is linked.
func (c *Core) noteMissing(j *job, s *step) {
	r := j.requirement(s)
	if j.durable != nil && !isInReach(c.planCandidates, r) {
		s.outOfReach = true
		c.reach.hasSteps = true
		c.logDecision(Decision{Event: "wait", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: "no linked worker meets the requirement", Requires: r.String()})
	}
}

// updateOutOfReach checks which steps of durable jobs are still out of reach.
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
}
