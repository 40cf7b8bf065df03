package dispatch

import (
	"fmt"
	"slices"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/label"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// TaskSpec is one task of a request.
type TaskSpec struct {
	Service string
	// Kind is the operation of the service.
	Kind string
	// Selector chooses the agents that may run the task by their labels.
	Selector label.Selector
	Payload  []byte
	// Repeatable permits further attempts after one that failed or may have started.
	Repeatable bool
	// Class is the urgency class, from Urgent to Batch.
	Class uint8
	// MaxRun is the time after which a backend server stops an attempt.
	MaxRun time.Duration
}

// Request is a submission as one caller sent it.
type Request struct {
	// ID identifies the waiting caller in Answer.Request.
	ID uint64
	// Submission is the name of the submission, as returned by claim.KeyedName or claim.UnkeyedName.
	Submission string
	// Claimed is set for submissions with a caller's key, which have a claim.
	Claimed bool
	Team    string
	// Weight is the team's share relative to the other teams; greater than 0.
	Weight float64
	// Quota is the maximum number of open tasks of the team over all entries; 0 means no limit.
	Quota int
	// Digest identifies the content: a key may be used again only with the same content.
	Digest uint64
	Tasks  []TaskSpec
	// Deadline is the time from submission to the answer.
	Deadline time.Duration
	// Stored is the encoded request, which the claim holds so that another entry can resume the
	// submission. It is nil if the caller waits for the answer and would submit again.
	Stored []byte
	// Async is set for callers that are answered as soon as the submission is claimed.
	Async bool
}

// teamState is the state that an entry holds for a team.
type teamState struct {
	// openTasks counts the tasks of submissions that have not ended, inFlight the attempts that were
	// sent and not answered.
	openTasks, inFlight int
	weight              float64
	// lastSubmission is the time of the newest submission.
	lastSubmission time.Time
}

func (t *TaskSpec) requirement() rank.Requirement {
	return rank.Requirement{Service: t.Service, Selector: t.Selector}
}

func (t *TaskSpec) kind() rank.Kind { return rank.Kind{Service: t.Service, Name: t.Kind} }

// Submit handles a caller's request. A refusal of a request with a key is answered only after the
// claim was read, since an earlier submission with the key may have run.
func (c *Core) Submit(now time.Time, r *Request) {
	if sub := c.submissions[r.Submission]; sub != nil {
		c.attach(now, sub, r)
		return
	}
	if kind, detail, wait := c.checkAdmission(r); kind != errkind.OK {
		c.recordDecision(Decision{Kind: Refused, Submission: r.Submission, Reason: kind})
		if r.Claimed {
			c.refuseAfterClaimRead(r, &wire.Outcome{Kind: kind, Detail: detail, RetryAfter: wait})
			return
		}
		c.refuse(r.ID, kind, detail, wait)
		return
	}
	sub := c.newSubmission(now, r)
	sub.waiters = []waiter{{r.ID, r.Async}}
	c.stats.Admitted++
	if !r.Claimed {
		c.startTasks(now, sub)
		return
	}
	c.writeClaim(now, sub)
}

// attach adds a caller to an open submission of this entry. The caller waits for the outcome until
// its own deadline.
func (c *Core) attach(now time.Time, sub *submission, r *Request) {
	if sub.digest != r.Digest {
		c.refuse(r.ID, errkind.KeyConflict, "the key belongs to a request with other content", 0)
		return
	}
	c.stats.Attached++
	sub.waiters = append(sub.waiters, waiter{r.ID, r.Async})
	c.addTimer(now.Add(r.Deadline), timer{kind: timerWaiterDeadline, sub: sub, request: r.ID})
	if sub.phase != phaseClaiming {
		c.answerAsyncWaiters(sub)
	}
}

// AddWaiter adds a waiting request to a submission that this entry owns. It returns false if the
// entry does not own the submission or is not certain to.
func (c *Core) AddWaiter(name string, request uint64) bool {
	sub := c.submissions[name]
	if sub == nil || sub.phase == phaseAwaitingOwner || (sub.phase == phaseClaiming && sub.mayHaveRunBefore) {
		return false
	}
	sub.waiters = append(sub.waiters, waiter{id: request})
	return true
}

// RemoveWaiter removes a request that no longer waits.
func (c *Core) RemoveWaiter(name string, request uint64) {
	if sub := c.submissions[name]; sub != nil {
		sub.waiters = slices.DeleteFunc(sub.waiters, func(w waiter) bool { return w.id == request })
	}
}

// checkAdmission decides whether r may be admitted. If not, it returns the kind and detail of the
// refusal and the time after which the caller may try again.
func (c *Core) checkAdmission(r *Request) (errkind.Kind, string, time.Duration) {
	if c.draining {
		return errkind.Draining, "this entry is shutting down", time.Second
	}
	class := uint8(0)
	for i := range r.Tasks {
		class = max(class, r.Tasks[i].Class)
		if kind, detail := c.checkFeasibility(i, &r.Tasks[i]); kind != errkind.OK {
			return kind, detail, time.Second
		}
	}
	if r.Quota > 0 {
		share := max(1, (r.Quota+c.liveEntries-1)/c.liveEntries)
		if team := c.teams[r.Team]; team != nil && team.openTasks+len(r.Tasks) > share {
			return errkind.QuotaExceeded, fmt.Sprintf("team %s has %d tasks open of %d here; %d more asked",
				r.Team, team.openTasks, share, len(r.Tasks)), c.retryAfterHint(len(r.Tasks))
		}
	}
	limit := c.totalSlots() + int(float64(c.settings.MaxWaiting)*c.settings.ClassShare[min(class, Classes-1)])
	if c.openTasks+len(r.Tasks) > limit {
		return errkind.Overloaded, fmt.Sprintf("%d tasks are open, at most %d for this class", c.openTasks, limit), c.retryAfterHint(c.openTasks)
	}
	if wait := c.expectedWait(class); wait > r.Deadline {
		return errkind.DeadlineTooShort, fmt.Sprintf("expected wait %v exceeds the deadline of %v",
			wait.Round(time.Millisecond), r.Deadline), wait
	}
	return errkind.OK, "", 0
}

// checkFeasibility returns OK if some agent, or the backend server of a sleeping worker, matches
// the task, and otherwise the kind and detail of the refusal.
func (c *Core) checkFeasibility(index int, t *TaskSpec) (errkind.Kind, string) {
	if len(c.pool.Feasible(t.requirement())) > 0 {
		return errkind.OK, ""
	}
	var labelSets []label.Set
	for _, a := range c.pool.Agents() {
		if a.Service == t.Service {
			labelSets = append(labelSets, a.Labels)
		}
	}
	for _, w := range c.sleepingBackends {
		if w.Service != t.Service {
			continue
		}
		if t.Selector.Matches(w.Labels) {
			return errkind.OK, ""
		}
		labelSets = append(labelSets, w.Labels)
	}
	if len(labelSets) == 0 {
		return errkind.Overloaded, fmt.Sprintf("no backend server of service %q has announced itself", t.Service)
	}
	term, failed := t.Selector.UnmatchedTerm(labelSets)
	if !failed {
		term = t.Selector.String() + " (each term has a match, but no worker meets all)"
	}
	return errkind.Infeasible, fmt.Sprintf("tasks[%d].selector: no worker, awake or asleep, matches %s", index, term)
}

// totalSlots returns the number of slots of all agents.
func (c *Core) totalSlots() int {
	total := 0
	for _, a := range c.pool.Agents() {
		total += a.Slots
	}
	return total
}

// retryAfterHint estimates how long this entry's share of all slots takes to run n tasks.
func (c *Core) retryAfterHint(n int) time.Duration {
	slots := max(1, c.totalSlots()/c.liveEntries)
	wait := time.Duration(float64(n) / float64(slots) * float64(c.pool.MeanRunTime()))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Bounds of retryAfterHint.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// expectedWait estimates how long a new task of the class waits for a slot.
func (c *Core) expectedWait(class uint8) time.Duration {
	ahead := c.queue.CountUpTo(class)
	if ahead == 0 {
		return 0
	}
	slots := max(1, c.totalSlots()/c.liveEntries)
	return time.Duration(float64(ahead) / float64(slots) * float64(c.pool.MeanRunTime()))
}

// OpenByTeam returns the number of open tasks of each team.
func (c *Core) OpenByTeam() map[string]int {
	open := make(map[string]int, len(c.teams))
	for name, team := range c.teams {
		open[name] = team.openTasks
	}
	return open
}
