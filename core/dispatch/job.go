package dispatch

import (
	"slices"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// phase is the state of a submission at this entry.
type phase uint8

const (
	// phaseClaiming: the claim row is being written; nothing may start.
	phaseClaiming phase = iota
	// phaseAttached: another entry owns the submission.
	phaseAttached
	// phaseTaking: the claim of a lost owner is being replaced.
	phaseTaking
	// phaseFencing: candidates are asked what has started.
	phaseFencing
	// phaseRunning: tasks are placed and gathered.
	phaseRunning
	// phaseClosing: the outcome is being written.
	phaseClosing
)

// job is one submission at this entry.
type job struct {
	submission string
	claimed    bool
	team       string
	weight     float64
	digest     uint64
	specs      []TaskSpec
	stored     []byte
	deadline   time.Time
	phase      phase
	ended      bool
	waiters    []waiter

	tasks []*task
	// open is the number of tasks that have not completed.
	open int
	// touched lists agents that were sent a start or a fence.
	touched []rank.ID

	// Claim state, for claimed submissions.
	epoch   uint64
	version uint64
	// candidates are those in the row in force.
	candidates []claim.Candidate
	// among are the candidate agents that are linked.
	among []*rank.Agent
	// writing is the write that has no definite fate, or nil.
	writing *claim.Write
	// owner is the other entry, in phase attached.
	owner       wire.EntryInfo
	peerFails   int
	cancelAsked bool
	// gaveUp is set when the callers were answered before the claim's fate was known.
	gaveUp bool
	// outcome is what phase closing writes.
	outcome *wire.Outcome
	// unfenced are candidates that have not answered a fence.
	unfenced []rank.ID
	// gone are candidates that can no longer say what they started.
	gone     []rank.ID
	widening bool
	// history is true if the submission may have run before this entry's claim.
	history bool
	// orphan is true if the request is not known: nothing can be started.
	orphan    bool
	deadTimer *timer
}

// taskState is the state of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskInFlight
	// taskInDoubt: an attempt may have started and cannot be asked about.
	taskInDoubt
	taskDone
)

// task is one task of a job.
type task struct {
	job     *job
	index   uint32
	spec    *TaskSpec
	state   taskState
	queued  bool
	attempt uint32
	// failures counts attempts that ran and failed; refused ones do not count.
	failures int
	flights  []flight
	// checksum of the payload, valid if summed.
	checksum uint64
	summed   bool
	laneName string
	// since is when the task began to wait.
	since time.Time
	// avoid are agents that failed the task.
	avoid  []rank.ID
	result *wire.Result
	// mayHaveRun is set when the fate of an attempt could not be learned.
	mayHaveRun bool
	// kind is that of the last attempt that ran and failed.
	kind errkind.Kind
}

// flight is an attempt that was sent and has not been answered.
type flight struct {
	agent   rank.ID
	attempt uint32
	// lost is set when the link went down after the send.
	lost bool
	// overdue is set when the attempt runs far longer than its kind does.
	overdue bool
}

// waiter is a caller's request that waits for an answer.
type waiter struct {
	id uint64
	// async callers want to know that the submission is claimed, no more.
	async bool
}

func (c *Core) newJob(now time.Time, r *Request) *job {
	j := &job{
		submission: r.Submission, claimed: r.Claimed, team: r.Team, weight: r.Weight,
		digest: r.Digest, specs: r.Tasks, stored: r.Stored, deadline: now.Add(r.Deadline),
	}
	c.jobs[j.submission] = j
	j.deadTimer = c.after(j.deadline, timer{kind: timerDeadline, job: j})
	team := c.team(j.team)
	team.open += len(r.Tasks)
	team.weight, team.seen = r.Weight, now
	c.openTasks += len(r.Tasks)
	return j
}

func (c *Core) team(name string) *teamState {
	t := c.teams[name]
	if t == nil {
		t = new(teamState)
		c.teams[name] = t
	}
	return t
}

// maxIdleTeams bounds the teams remembered without open tasks.
const maxIdleTeams = 256

// start makes the tasks of j wait for agents.
func (c *Core) start(now time.Time, j *job) {
	if j.epoch == 0 {
		j.epoch = 1
	}
	j.phase = phaseRunning
	c.makeTasks(j)
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			c.enqueue(now, t)
		}
	}
	c.checkEnd(now, j)
}

func (c *Core) makeTasks(j *job) {
	if j.tasks != nil {
		return
	}
	j.tasks = make([]*task, len(j.specs))
	backing := make([]task, len(j.specs))
	for i := range j.specs {
		t := &backing[i]
		*t = task{job: j, index: uint32(i), spec: &j.specs[i]}
		j.tasks[i] = t
	}
	j.open = len(j.tasks)
}

// end removes j. Agents are told to forget it.
func (c *Core) end(now time.Time, j *job) {
	if j.ended {
		return
	}
	j.ended = true
	// Nobody may be left without an answer, whatever path led here.
	c.answer(j, &wire.Outcome{Kind: errkind.FateUnknown, RetryAfter: time.Second,
		Detail: "this entry gave the submission up; ask again with the same key"})
	c.disarm(j.deadTimer)
	delete(c.jobs, j.submission)
	team := c.team(j.team)
	team.open -= len(j.specs)
	c.openTasks -= len(j.specs)
	if team.open <= 0 && len(c.teams) > maxIdleTeams {
		delete(c.teams, j.team)
	}
	for _, t := range j.tasks {
		c.dropFlights(t)
		t.state = taskDone
	}
	for _, agent := range j.touched {
		c.ack(now, agent, j)
	}
}

// dropFlights stops counting the attempts of t as ours.
func (c *Core) dropFlights(t *task) {
	for _, f := range t.flights {
		c.answered(t, f)
	}
	t.flights = nil
}

func (j *job) touch(agent rank.ID) {
	for _, have := range j.touched {
		if have == agent {
			return
		}
	}
	j.touched = append(j.touched, agent)
}

// checkEnd closes j when all tasks have completed.
func (c *Core) checkEnd(now time.Time, j *job) {
	if j.phase != phaseRunning || j.open > 0 {
		return
	}
	outcome := &wire.Outcome{Kind: errkind.OK, Tasks: make([]wire.TaskOutcome, len(j.tasks))}
	for i, t := range j.tasks {
		outcome.Tasks[i] = wire.TaskOutcome{Kind: errkind.OK, Ran: errkind.DidRun, Payload: t.result.Payload}
	}
	c.close(now, j, outcome)
}

// fail ends j with a cause. What is still queued or running is canceled.
func (c *Core) fail(now time.Time, j *job, kind errkind.Kind, detail string) {
	if j.phase == phaseClosing || j.ended {
		return
	}
	outcome := &wire.Outcome{Kind: kind, Detail: detail}
	if kind != errkind.Canceled && j.neverStarted() {
		c.withdraw(now, j, outcome)
		return
	}
	outcome.Kind = ranKind(kind)
	outcome.Tasks = make([]wire.TaskOutcome, len(j.tasks))
	for i, t := range j.tasks {
		outcome.Tasks[i] = t.outcome()
	}
	c.cancelFlights(j)
	c.close(now, j, outcome)
}

// ranKind maps a kind that promises "not run" to one that does not.
func ranKind(kind errkind.Kind) errkind.Kind {
	switch kind {
	case errkind.DeadlineTooShort:
		return errkind.DeadlineExceeded
	case errkind.TaskFailed, errkind.FateUnknown, errkind.DeadlineExceeded, errkind.Canceled:
		return kind
	}
	return errkind.FateUnknown
}

// neverStarted reports whether it is proved that no task of j was started.
func (j *job) neverStarted() bool {
	if j.unasked() {
		return false
	}
	for _, t := range j.tasks {
		if t.result != nil || len(t.flights) > 0 || t.mayHaveRun || t.kind != errkind.OK {
			return false
		}
	}
	return true
}

// unasked reports whether a candidate of an earlier owner has not said what it
// started: then a task that no other candidate reported may have run there.
func (j *job) unasked() bool { return len(j.gone) > 0 || len(j.unfenced) > 0 }

// outcome returns what is known of a task of a failed job.
func (t *task) outcome() wire.TaskOutcome {
	switch {
	case t.result != nil:
		return wire.TaskOutcome{Kind: errkind.OK, Ran: errkind.DidRun}
	case t.kind == errkind.TaskFailed && len(t.flights) == 0 && !t.mayHaveRun:
		return wire.TaskOutcome{Kind: errkind.TaskFailed, Ran: errkind.DidRun}
	case len(t.flights) > 0 || t.mayHaveRun || t.kind != errkind.OK || t.job.unasked():
		return wire.TaskOutcome{Kind: errkind.FateUnknown, Ran: errkind.Unknown}
	}
	return wire.TaskOutcome{Kind: errkind.Canceled, Ran: errkind.NotRun}
}

// cancelFlights asks agents to withdraw or stop what is still out.
func (c *Core) cancelFlights(j *job) {
	for _, t := range j.tasks {
		for _, f := range t.flights {
			c.cancelFlight(j, t, f)
		}
	}
}

func (c *Core) cancelFlight(j *job, t *task, f flight) {
	id, ok := c.linked[f.agent]
	if !ok {
		return
	}
	msg := c.message(id)
	for i := range msg.Cancels {
		if msg.Cancels[i].Submission == j.submission {
			msg.Cancels[i].Tasks = append(msg.Cancels[i].Tasks, t.index)
			return
		}
	}
	c.stats.WastedCancel++
	msg.Cancels = append(msg.Cancels, wire.Cancel{Submission: j.submission, Epoch: j.epoch, Tasks: []uint32{t.index}})
}

// Cancel asks to cancel a submission. Its outcome may still be its completion.
func (c *Core) Cancel(now time.Time, submission string) {
	j := c.jobs[submission]
	if j == nil {
		return
	}
	switch j.phase {
	case phaseAttached:
		j.cancelAsked = true
		c.askOwner(j)
	case phaseClaiming, phaseTaking, phaseFencing:
		j.cancelAsked = true
	case phaseRunning:
		c.fail(now, j, errkind.Canceled, "canceled by the caller")
	}
}

// waitOver answers a caller whose deadline passed before that of the
// submission it attached to.
func (c *Core) waitOver(now time.Time, j *job, request uint64) {
	at := slices.IndexFunc(j.waiters, func(w waiter) bool { return w.id == request })
	if at < 0 {
		return
	}
	j.waiters = slices.Delete(j.waiters, at, at+1)
	c.out.Answers = append(c.out.Answers, Answer{Request: request, Outcome: &wire.Outcome{
		Kind: errkind.DeadlineExceeded, Detail: "the submission has not ended yet; ask again with the same key",
	}})
	if len(j.waiters) == 0 && j.phase == phaseAttached {
		c.end(now, j)
	}
}

// deadlinePassed gives j up.
func (c *Core) deadlinePassed(now time.Time, j *job) {
	switch j.phase {
	case phaseClaiming, phaseTaking:
		c.giveUpClaim(j)
		if j.writing == nil {
			c.end(now, j)
		}
	case phaseAttached:
		c.answer(j, &wire.Outcome{Kind: errkind.DeadlineExceeded, Detail: "another entry works on this submission; ask again with the same key"})
		c.end(now, j)
	case phaseClosing:
		c.answer(j, &wire.Outcome{Kind: errkind.FateUnknown,
			Detail: "the outcome is not recorded yet; ask again with the same key", RetryAfter: time.Second})
	case phaseFencing, phaseRunning:
		c.settleFences(now, j, true)
		c.fail(now, j, errkind.DeadlineTooShort, "the deadline passed")
	}
}
