package runner

import (
	"strconv"
	"strings"

	"peridotpick.example/wire/runs"
)

// answerClaims hands claimed jobs over once it is known what the worker runs.
func (c *Core) answerClaims() {
	if !c.knowsRuns() {
		return
	}
	for id, claims := range c.pendingClaims.All() {
		c.pendingClaims.Delete(id)
		for i := range claims {
			c.handOver(c.links.Get(id), &claims[i])
		}
	}
}

// knowsRuns reports whether what runs at the worker is known.
func (c *Core) knowsRuns() bool {
	if c.worker.known {
		return c.worker.synced
	}
	// A new process that has not heard of its worker cannot know.
	return len(c.worker.former) > 0
}

// handOver gives all that is here of a job to the entry that claims it. Runs that
// wait were never sent to the worker; they end here.
func (c *Core) handOver(l *link, claim *runs.Claim) {
	answer := runs.Claimed{Job: claim.Job}
	for r := range c.runs.Values() {
		if r.key.Job() != claim.Job {
			continue
		}
		if r.phase == phaseWaiting {
			c.end(r, runs.NoLease)
			continue
		}
		c.adopt(l, r, claim)
		answer.Runs = append(answer.Runs, r.key)
	}
	for h := range c.held.Values() {
		if h.end.Key.Job() == claim.Job {
			h.owner = l.entry.Incarnation
			answer.Ends = append(answer.Ends, h.end)
		}
	}
	l.out.Claimed = append(l.out.Claimed, answer)
	l.dirty = true
}

// adopt makes a run the claiming entry's.
func (c *Core) adopt(l *link, r *run, claim *runs.Claim) {
	if r.orphan {
		r.orphan = false
		if step := stepOf(r.key.Task); step < len(claim.Steps) {
			r.need = claim.Steps[step].Need
			r.start.Estimate = claim.Steps[step].Estimate
		}
	}
	r.owner = l.entry
	r.durable = true
	c.loadChanged = true
	c.note("claimed", r, runs.NoReason)
}

// stepOf returns the step's number in a task's name, its part before the last.
func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) < 2 {
		return 0
	}
	step, err := strconv.Atoi(parts[len(parts)-2])
	if err != nil || step < 0 {
		return 0
	}
	return step
}
