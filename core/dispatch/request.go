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
	Kind     string
	Selector label.Selector
	Payload  []byte
	// Repeatable permits a second start after a first that failed or was lost.
	Repeatable bool
	Class      uint8
	// MaxRun is the time after which a backend server gives an attempt up.
	MaxRun time.Duration
}

// Request is a submission as one caller sent it.
type Request struct {
	// ID names the waiting caller in Answers.
	ID uint64
	// Submission is the team-qualified key, or a name unique to this entry.
	Submission string
	// Claimed submissions have a caller's key and a durable claim.
	Claimed bool
	Team    string
	// Weight is the team's share, greater than 0; Quota bounds its tasks in
	// flight over all entries, 0 meaning no bound.
	Weight float64
	Quota  int
	// Digest identifies the content.
	Digest uint64
	Tasks  []TaskSpec
	// Deadline is the time from submission to the answer.
	Deadline time.Duration
	// Stored is the encoded request, kept in the claim so that another entry
	// can resume it; nil if the caller waits and would resubmit.
	Stored []byte
	// Async callers are answered as soon as the submission is claimed.
	Async bool
}

// teamState is what an entry tracks of a team.
type teamState struct {
	// open counts tasks admitted and not ended, inFlight attempts sent and not answered.
	open, inFlight int
	weight         float64
	// seen is the time of the newest submission.
	seen time.Time
}

func (t *TaskSpec) requirement() rank.Requirement {
	return rank.Requirement{Service: t.Service, Selector: t.Selector}
}

func (t *TaskSpec) kind() rank.Kind { return rank.Kind{Service: t.Service, Name: t.Kind} }

// Submit handles a caller's request.
func (c *Core) Submit(now time.Time, r *Request) {
	if j := c.jobs[r.Submission]; j != nil {
		c.attach(now, j, r)
		return
	}
	if kind, detail, wait := c.inadmissible(r); kind != errkind.OK {
		c.decide(Decision{Kind: Refused, Submission: r.Submission, Reason: kind})
		if r.Claimed {
			c.lookUp(r, &wire.Outcome{Kind: kind, Detail: detail, RetryAfter: wait})
			return
		}
		c.refuse(r.ID, kind, detail, wait)
		return
	}
	j := c.newJob(now, r)
	j.waiters = []waiter{{r.ID, r.Async}}
	c.stats.Admitted++
	if !r.Claimed {
		c.start(now, j)
		return
	}
	c.writeFreshClaim(now, j)
}

// attach adds a caller to a submission that this entry works on already.
func (c *Core) attach(now time.Time, j *job, r *Request) {
	if j.digest != r.Digest {
		c.refuse(r.ID, errkind.KeyConflict, "the key belongs to a request with other content", 0)
		return
	}
	c.stats.Attached++
	j.waiters = append(j.waiters, waiter{r.ID, r.Async})
	c.after(now.Add(r.Deadline), timer{kind: timerWaiter, job: j, request: r.ID})
	if j.phase != phaseClaiming {
		c.accept(j)
	}
}

// Watch adds a caller to a submission that this entry owns. It reports false
// if the entry does not own it.
func (c *Core) Watch(submission string, request uint64) bool {
	j := c.jobs[submission]
	if j == nil || j.phase == phaseAttached || (j.phase == phaseClaiming && j.history) {
		return false
	}
	j.waiters = append(j.waiters, waiter{id: request})
	return true
}

// Unwatch removes a caller that no longer waits.
func (c *Core) Unwatch(submission string, request uint64) {
	if j := c.jobs[submission]; j != nil {
		j.waiters = slices.DeleteFunc(j.waiters, func(w waiter) bool { return w.id == request })
	}
}

// inadmissible returns why r must be refused before anything is claimed or sent.
func (c *Core) inadmissible(r *Request) (errkind.Kind, string, time.Duration) {
	if c.draining {
		return errkind.Draining, "this entry is shutting down", time.Second
	}
	class := uint8(0)
	for i := range r.Tasks {
		class = max(class, r.Tasks[i].Class)
		if kind, detail := c.infeasible(i, &r.Tasks[i]); kind != errkind.OK {
			return kind, detail, time.Second
		}
	}
	if r.Quota > 0 {
		share := max(1, (r.Quota+c.shares-1)/c.shares)
		if team := c.teams[r.Team]; team != nil && team.open+len(r.Tasks) > share {
			return errkind.QuotaExceeded, fmt.Sprintf("team %s has %d tasks open of %d here; %d more asked",
				r.Team, team.open, share, len(r.Tasks)), c.drainTime(len(r.Tasks))
		}
	}
	limit := c.slots() + int(float64(c.settings.MaxWaiting)*c.settings.ClassShare[min(class, Classes-1)])
	if c.openTasks+len(r.Tasks) > limit {
		return errkind.Overloaded, fmt.Sprintf("%d tasks are open, at most %d for this class", c.openTasks, limit), c.drainTime(c.openTasks)
	}
	if wait := c.expectedWait(class); wait > r.Deadline {
		return errkind.DeadlineTooShort, fmt.Sprintf("expected wait %v exceeds the deadline of %v",
			wait.Round(time.Millisecond), r.Deadline), wait
	}
	return errkind.OK, "", 0
}

// infeasible tells work that no agent can run, awake or asleep.
func (c *Core) infeasible(index int, t *TaskSpec) (errkind.Kind, string) {
	if len(c.pool.Feasible(t.requirement())) > 0 {
		return errkind.OK, ""
	}
	var sets []label.Set
	for _, a := range c.pool.Agents() {
		if a.Service == t.Service {
			sets = append(sets, a.Labels)
		}
	}
	for _, w := range c.inventory {
		if w.Service != t.Service {
			continue
		}
		if t.Selector.Matches(w.Labels) {
			return errkind.OK, ""
		}
		sets = append(sets, w.Labels)
	}
	if len(sets) == 0 {
		return errkind.Overloaded, fmt.Sprintf("no backend server of service %q has announced itself", t.Service)
	}
	term, failed := t.Selector.FailedTerm(sets)
	if !failed {
		term = t.Selector.String() + " (each term has a match, but no worker meets all)"
	}
	return errkind.Infeasible, fmt.Sprintf("tasks[%d].selector: no worker, awake or asleep, matches %s", index, term)
}

// slots returns the slots of all agents.
func (c *Core) slots() int {
	total := 0
	for _, a := range c.pool.Agents() {
		total += a.Slots
	}
	return total
}

// drainTime estimates how long n tasks take, as a hint when to come back.
func (c *Core) drainTime(n int) time.Duration {
	slots := max(1, c.slots()/c.shares)
	wait := time.Duration(float64(n) / float64(slots) * float64(c.pool.MeanRunTime()))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Bounds of the hint when to come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// expectedWait estimates the wait of a new task of the class.
func (c *Core) expectedWait(class uint8) time.Duration {
	ahead := c.queue.Ahead(class)
	if ahead == 0 {
		return 0
	}
	slots := max(1, c.slots()/c.shares)
	return time.Duration(float64(ahead) / float64(slots) * float64(c.pool.MeanRunTime()))
}

// OpenByTeam returns the open tasks of each team.
func (c *Core) OpenByTeam() map[string]int {
	open := make(map[string]int, len(c.teams))
	for name, team := range c.teams {
		open[name] = team.open
	}
	return open
}
