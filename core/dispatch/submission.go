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
	// phaseClaiming: the claim is being inserted; nothing may start.
	phaseClaiming phase = iota
	// phaseAwaitingOwner: another entry owns the submission and is asked for the outcome.
	phaseAwaitingOwner
	// phaseTakingOver: the claim of a lost owner is being replaced.
	phaseTakingOver
	// phaseFencing: the candidates are asked which tasks they have started.
	phaseFencing
	// phaseRunning: tasks are placed and results collected.
	phaseRunning
	// phaseClosing: the outcome is being written to the claim.
	phaseClosing
)

// submission is the state of one submission at this entry.
type submission struct {
	// name is Request.Submission.
	name           string
	claimed        bool
	team           string
	weight         float64
	digest         uint64
	specs          []TaskSpec
	encodedRequest []byte
	deadline       time.Time
	phase          phase
	ended          bool
	waiters        []waiter

	// tasks is nil until tasks may start or be adopted.
	tasks []*task
	// openTasks is the number of tasks that have not completed.
	openTasks int
	// contacted lists the agents that were sent a start or a fence. They keep state of the
	// submission until it is acknowledged.
	contacted []rank.ID

	// The fields from here to pendingWrite describe the claim of a claimed submission.
	epoch uint64
	// version is that of the row in the table.
	version uint64
	// candidates are those of the row in the table.
	candidates []claim.Candidate
	// knownCandidates are the candidates that are in the pool.
	knownCandidates []*rank.Agent
	// pendingWrite is the write without a definite result, or nil.
	pendingWrite *claim.Write
	// owner is the entry that owns the submission in phase awaiting owner.
	owner wire.EntryInfo
	// ownerTimeouts counts the requests to the owner in a row that were not answered.
	ownerTimeouts   int
	cancelRequested bool
	// claimGivenUp is set when the callers were answered before the result of the claim's write was
	// known.
	claimGivenUp bool
	// outcome is what phase closing writes.
	outcome *wire.Outcome
	// unfenced are candidates that have not answered a fence.
	unfenced []rank.ID
	// lostCandidates are candidates that can no longer report which tasks they started.
	lostCandidates []rank.ID
	// widening is set while a timer or write to add candidates is pending.
	widening bool
	// mayHaveRunBefore is set if the submission may have run before this entry's claim.
	mayHaveRunBefore bool
	// gatherOnly is set if no task may be started, because the request is not known or its callers
	// were answered. The results of started tasks are collected and recorded.
	gatherOnly    bool
	deadlineTimer *timer
}

// taskState is the state of a task.
type taskState uint8

const (
	// taskWaiting: the task waits for an agent, or for the end of fencing.
	taskWaiting taskState = iota
	// taskInFlight: an attempt was sent and not answered.
	taskInFlight
	// taskInDoubt: an attempt may have started, and its agent cannot be asked.
	taskInDoubt
	// taskDone: the task has completed, or its submission has ended.
	taskDone
)

// task is one task of a submission.
type task struct {
	sub *submission
	// index is the position in submission.tasks.
	index uint32
	spec  *TaskSpec
	state taskState
	// queued is set while the task is in Core.queue.
	queued bool
	// lastAttempt is the number of the newest attempt; the first is 1.
	lastAttempt uint32
	// failures counts attempts that ran and failed. Attempts refused by agents do not count.
	failures int
	// attempts are those in flight.
	attempts []attempt
	// checksum is that of the payload, valid if hasChecksum is set.
	checksum    uint64
	hasChecksum bool
	// laneName caches the result of laneOf for the tasks that follow in the submission.
	laneName string
	// waitingSince is when the task began to wait for an agent.
	waitingSince time.Time
	// avoid are agents that failed or refused the task.
	avoid  []rank.ID
	result *wire.Result
	// mayHaveRun is set when it can no longer be learned whether an attempt ran.
	mayHaveRun bool
	// lastFailure is the kind of the last attempt that ran and failed, OK if there is none.
	lastFailure errkind.Kind
}

// attempt is an attempt in flight: sent and not answered.
type attempt struct {
	agent  rank.ID
	number uint32
	// unconfirmed is set when the link went down after the attempt was sent, or its result arrived
	// corrupt. The agent is then asked for the attempt with a fence.
	unconfirmed bool
	// overdue is set when the attempt runs far longer than tasks of its kind usually do.
	overdue bool
}

// waiter is a caller's request that waits for an answer.
type waiter struct {
	// id is Request.ID, or the ID passed to AddWaiter.
	id uint64
	// async is set for callers that are answered once the submission is claimed.
	async bool
}

// newSubmission adds a submission for r, in phase claiming.
func (c *Core) newSubmission(now time.Time, r *Request) *submission {
	sub := &submission{
		name: r.Submission, claimed: r.Claimed, team: r.Team, weight: r.Weight,
		digest: r.Digest, specs: r.Tasks, encodedRequest: r.Stored, deadline: now.Add(r.Deadline),
	}
	c.submissions[sub.name] = sub
	sub.deadlineTimer = c.addTimer(sub.deadline, timer{kind: timerDeadline, sub: sub})
	team := c.team(sub.team)
	team.openTasks += len(r.Tasks)
	team.weight, team.lastSubmission = r.Weight, now
	c.openTasks += len(r.Tasks)
	return sub
}

// team returns the state of a team, which it creates if needed.
func (c *Core) team(name string) *teamState {
	t := c.teams[name]
	if t == nil {
		t = new(teamState)
		c.teams[name] = t
	}
	return t
}

// maxIdleTeams is the number of teams above which a team is forgotten when its last open task ends.
const maxIdleTeams = 256

// startTasks makes the tasks of sub wait for agents.
func (c *Core) startTasks(now time.Time, sub *submission) {
	if sub.epoch == 0 {
		sub.epoch = 1
	}
	sub.phase = phaseRunning
	c.makeTasks(sub)
	for _, t := range sub.tasks {
		if t.state == taskWaiting {
			c.enqueue(now, t)
		}
	}
	c.closeIfDone(now, sub)
}

// makeTasks creates the tasks of sub if it has none.
func (c *Core) makeTasks(sub *submission) {
	if sub.tasks != nil {
		return
	}
	sub.tasks = make([]*task, len(sub.specs))
	backing := make([]task, len(sub.specs))
	for i := range sub.specs {
		t := &backing[i]
		*t = task{sub: sub, index: uint32(i), spec: &sub.specs[i]}
		sub.tasks[i] = t
	}
	sub.openTasks = len(sub.tasks)
}

// end removes sub and tells agents to forget it.
func (c *Core) end(now time.Time, sub *submission) {
	if sub.ended {
		return
	}
	sub.ended = true
	// This answers waiters that no caller of end has answered.
	c.answerWaiters(sub, &wire.Outcome{Kind: errkind.FateUnknown, RetryAfter: time.Second,
		Detail: "this entry gave the submission up; ask again with the same key"})
	c.removeTimer(sub.deadlineTimer)
	delete(c.submissions, sub.name)
	team := c.team(sub.team)
	team.openTasks -= len(sub.specs)
	c.openTasks -= len(sub.specs)
	if team.openTasks <= 0 && len(c.teams) > maxIdleTeams {
		delete(c.teams, sub.team)
	}
	for _, t := range sub.tasks {
		c.dropAttempts(t)
		t.state = taskDone
	}
	for _, agent := range sub.contacted {
		c.queueAck(now, agent, sub)
	}
}

// dropAttempts removes all attempts of t from those in flight.
func (c *Core) dropAttempts(t *task) {
	for _, att := range t.attempts {
		c.releaseAttempt(t, att)
	}
	t.attempts = nil
}

// addContacted adds an agent to sub.contacted unless it is in there.
func (sub *submission) addContacted(agent rank.ID) {
	for _, known := range sub.contacted {
		if known == agent {
			return
		}
	}
	sub.contacted = append(sub.contacted, agent)
}

// closeIfDone closes sub if all its tasks have completed.
func (c *Core) closeIfDone(now time.Time, sub *submission) {
	if sub.phase != phaseRunning || sub.openTasks > 0 {
		return
	}
	outcome := &wire.Outcome{Kind: errkind.OK, Tasks: make([]wire.TaskOutcome, len(sub.tasks))}
	for i, t := range sub.tasks {
		outcome.Tasks[i] = wire.TaskOutcome{Kind: errkind.OK, Ran: errkind.DidRun, Payload: t.result.Payload}
	}
	c.close(now, sub, outcome)
}

// fail closes sub with a failure and cancels its attempts in flight. If no task was started, the
// outcome is a refusal.
func (c *Core) fail(now time.Time, sub *submission, kind errkind.Kind, detail string) {
	if sub.phase == phaseClosing || sub.ended {
		return
	}
	outcome := &wire.Outcome{Kind: kind, Detail: detail}
	if kind != errkind.Canceled && sub.provablyNeverStarted() {
		c.closeNotRun(now, sub, outcome)
		return
	}
	outcome.Kind = kindIfStarted(kind)
	outcome.Tasks = make([]wire.TaskOutcome, len(sub.tasks))
	for i, t := range sub.tasks {
		outcome.Tasks[i] = t.outcome()
	}
	c.cancelAttempts(sub)
	c.close(now, sub, outcome)
}

// kindIfStarted returns the kind to use in place of kind for a submission that may have started:
// one that does not state that nothing ran.
func kindIfStarted(kind errkind.Kind) errkind.Kind {
	switch kind {
	case errkind.DeadlineTooShort:
		return errkind.DeadlineExceeded
	case errkind.TaskFailed, errkind.FateUnknown, errkind.DeadlineExceeded, errkind.Canceled:
		return kind
	}
	return errkind.FateUnknown
}

// provablyNeverStarted reports whether it is certain that no task of sub was started.
func (sub *submission) provablyNeverStarted() bool {
	if sub.hasUnreportedCandidates() {
		return false
	}
	for _, t := range sub.tasks {
		if t.result != nil || len(t.attempts) > 0 || t.mayHaveRun || t.lastFailure != errkind.OK {
			return false
		}
	}
	return true
}

// hasUnreportedCandidates reports whether a candidate of an earlier owner has not reported which
// tasks it started. A task that no other candidate reported may then have run there.
func (sub *submission) hasUnreportedCandidates() bool {
	return len(sub.lostCandidates) > 0 || len(sub.unfenced) > 0
}

// outcome returns what is known about a task of a failed submission.
func (t *task) outcome() wire.TaskOutcome {
	switch {
	case t.result != nil:
		return wire.TaskOutcome{Kind: errkind.OK, Ran: errkind.DidRun}
	case t.lastFailure == errkind.TaskFailed && len(t.attempts) == 0 && !t.mayHaveRun:
		return wire.TaskOutcome{Kind: errkind.TaskFailed, Ran: errkind.DidRun}
	case len(t.attempts) > 0 || t.mayHaveRun || t.lastFailure != errkind.OK || t.sub.hasUnreportedCandidates():
		return wire.TaskOutcome{Kind: errkind.FateUnknown, Ran: errkind.MaybeRan}
	}
	return wire.TaskOutcome{Kind: errkind.Canceled, Ran: errkind.NotRun}
}

// cancelAttempts asks agents to dequeue or stop the attempts of sub that are in flight.
func (c *Core) cancelAttempts(sub *submission) {
	for _, t := range sub.tasks {
		for _, att := range t.attempts {
			c.cancelAttempt(sub, t, att)
		}
	}
}

// cancelAttempt asks the agent of one attempt to dequeue or stop it, if the agent is linked.
func (c *Core) cancelAttempt(sub *submission, t *task, att attempt) {
	id, ok := c.linkByAgent[att.agent]
	if !ok {
		return
	}
	msg := c.messageFor(id)
	for i := range msg.Cancels {
		if msg.Cancels[i].Submission == sub.name {
			msg.Cancels[i].Tasks = append(msg.Cancels[i].Tasks, t.index)
			return
		}
	}
	c.stats.WastedCancel++
	msg.Cancels = append(msg.Cancels, wire.Cancel{Submission: sub.name, Epoch: sub.epoch, Tasks: []uint32{t.index}})
}

// Cancel requests the cancellation of a submission. The submission may complete nevertheless.
func (c *Core) Cancel(now time.Time, name string) {
	sub := c.submissions[name]
	if sub == nil {
		return
	}
	switch sub.phase {
	case phaseAwaitingOwner:
		sub.cancelRequested = true
		c.askOwner(sub)
	case phaseClaiming, phaseTakingOver, phaseFencing:
		sub.cancelRequested = true
	case phaseRunning:
		c.fail(now, sub, errkind.Canceled, "canceled by the caller")
	}
}

// expireWaiter answers a caller whose own deadline has passed while the submission that it is
// attached to continues.
func (c *Core) expireWaiter(now time.Time, sub *submission, request uint64) {
	i := slices.IndexFunc(sub.waiters, func(w waiter) bool { return w.id == request })
	if i < 0 {
		return
	}
	sub.waiters = slices.Delete(sub.waiters, i, i+1)
	c.out.Answers = append(c.out.Answers, Answer{Request: request, Outcome: &wire.Outcome{
		Kind: errkind.DeadlineExceeded, Detail: "the submission has not ended yet; ask again with the same key",
	}})
	if len(sub.waiters) == 0 && sub.phase == phaseAwaitingOwner {
		c.end(now, sub)
	}
}

// handleDeadline acts on the passing of sub's deadline: it answers the callers, and fails sub or,
// if a claim write has no definite result yet, keeps it until the result is known.
func (c *Core) handleDeadline(now time.Time, sub *submission) {
	switch sub.phase {
	case phaseClaiming, phaseTakingOver:
		c.giveUpClaim(sub)
		if sub.pendingWrite == nil {
			c.end(now, sub)
		}
	case phaseAwaitingOwner:
		c.answerWaiters(sub, &wire.Outcome{Kind: errkind.DeadlineExceeded, Detail: "another entry works on this submission; ask again with the same key"})
		c.end(now, sub)
	case phaseClosing:
		c.answerWaiters(sub, &wire.Outcome{Kind: errkind.FateUnknown,
			Detail: "the outcome is not recorded yet; ask again with the same key", RetryAfter: time.Second})
	case phaseFencing, phaseRunning:
		c.tryFinishFencing(now, sub, true)
		c.fail(now, sub, errkind.DeadlineTooShort, "the deadline passed")
	}
}
