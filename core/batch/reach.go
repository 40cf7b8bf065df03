package batch

import "peridotpick.example/wire/runs"

// requirement returns what the tasks of a step require of a worker of a service.
func (s *step) requirement(service string) runs.Requirement {
	return runs.Requirement{Service: service, Label: s.Requires, Need: s.Need}
}

// isInReach reports whether some candidate could run a task with the given requirement, whatever its
// load.
func isInReach(candidates []*agent, r runs.Requirement) bool {
	for _, a := range candidates {
		if a.worker.Meets(r) {
			return true
		}
	}
	return false
}

// noteReach logs that a step of a durable job waits because no candidate of the current plan meets
// its requirement, or that one does again.
func (c *Core) noteReach(j *job, s *step) {
	if j.durable == nil {
		return
	}
	r := s.requirement(j.queue.Service)
	outOfReach := !isInReach(c.planCandidates, r)
	if outOfReach == s.outOfReach {
		return
	}
	s.outOfReach = outOfReach
	d := Decision{Event: "wait", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: "no linked worker meets the requirement", Requires: r.String()}
	if !outOfReach {
		d.Event, d.Reason = "wait over", "a linked worker meets the requirement"
	}
	c.logDecision(d)
}
