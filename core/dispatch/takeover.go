package dispatch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/claim"
	"peridotpick.example/wire"
)

// Resume takes over a submission whose owner is lost. request is nil if its content is not known;
// then no task is started, and only the results of started tasks are collected and recorded.
func (c *Core) Resume(now time.Time, row *claim.Row, version uint64, request *Request) {
	if c.submissions[row.Submission] != nil {
		return
	}
	gatherOnly := request == nil
	if gatherOnly {
		request = &Request{
			Submission: row.Submission, Claimed: true, Digest: row.Digest, Weight: 1,
			Tasks: make([]TaskSpec, row.Tasks), Deadline: gatherTimeout,
		}
	}
	sub := c.newSubmission(now, request)
	sub.gatherOnly = gatherOnly
	c.takeOver(now, sub, row, version)
}

// gatherTimeout is the time to collect results for a submission that starts nothing more.
const gatherTimeout = 10 * time.Second

// followRow continues sub according to the row that the table holds for its key.
func (c *Core) followRow(now time.Time, sub *submission, row *claim.Row, version uint64) {
	if row.Phase != claim.Void && row.Digest != sub.digest {
		c.answerWaiters(sub, &wire.Outcome{Kind: errkind.KeyConflict, Detail: "the key belongs to a request with other content"})
		c.end(now, sub)
		return
	}
	switch row.Phase {
	case claim.Closed:
		c.stats.Attached++
		c.answerWaiters(sub, row.Outcome)
		c.end(now, sub)
	case claim.Void:
		sub.phase = phaseClaiming
		c.writeRow(sub, &claim.Row{Epoch: row.Epoch + 1, Candidates: c.planCandidates(sub)}, version, sub.deadline.Add(-claimMargin))
	default:
		sub.mayHaveRunBefore = true
		if row.Owner.ID == c.self.ID {
			// An earlier incarnation of this entry owned the submission, or this one has dropped it.
			c.takeOver(now, sub, row, version)
			return
		}
		sub.phase = phaseAwaitingOwner
		sub.owner = row.Owner
		sub.epoch = row.Epoch
		sub.version = version
		sub.candidates = row.Candidates
		sub.encodedRequest = row.Request
		c.answerAsyncWaiters(sub)
		if len(sub.waiters) == 0 {
			c.end(now, sub)
			return
		}
		c.askOwner(sub)
	}
}

// askOwner requests the outcome from the owner, in phase awaiting owner.
func (c *Core) askOwner(sub *submission) {
	if sub.phase != phaseAwaitingOwner {
		return
	}
	c.out.OwnerQueries = append(c.out.OwnerQueries, OwnerQuery{Submission: sub.name, Owner: sub.owner, Cancel: sub.cancelRequested})
}

// PeerStatus is the result of a request to another entry.
type PeerStatus uint8

// Results of a request to the owner of a submission.
const (
	// PeerAnswered: the owner replied.
	PeerAnswered PeerStatus = iota
	// PeerRefused: nothing listens at the owner's address, or another incarnation does. The owner
	// has ended.
	PeerRefused
	// PeerTimedOut: the request timed out.
	PeerTimedOut
)

// maxOwnerTimeouts is the number of requests to the owner in a row that may time out before the
// submission is taken over. A takeover from a live owner is safe because of fencing, but wastes
// messages.
const maxOwnerTimeouts = 2

// PeerReplied handles the result of an OwnerQuery. owner is the incarnation that was asked; reply is
// valid with PeerAnswered only.
func (c *Core) PeerReplied(now time.Time, name string, owner uint64, status PeerStatus, reply *wire.AwaitReply) {
	sub := c.submissions[name]
	if sub == nil || sub.phase != phaseAwaitingOwner || sub.owner.Incarnation != owner {
		return
	}
	switch {
	case status == PeerAnswered && reply.Outcome != nil:
		c.answerWaiters(sub, reply.Outcome)
		c.end(now, sub)
	case status == PeerAnswered && reply.Known:
		sub.ownerTimeouts = 0
		c.askOwner(sub)
	case status == PeerAnswered:
		c.scheduleClaimWrite(now, sub) // the mismatch shows the row now in the table
	case status == PeerRefused || sub.ownerTimeouts+1 >= maxOwnerTimeouts:
		row := &claim.Row{Epoch: sub.epoch, Candidates: sub.candidates}
		c.takeOver(now, sub, row, sub.version)
	default:
		sub.ownerTimeouts++
		c.addTimer(now.Add(c.settings.PeerRetryPause), timer{kind: timerAskOwner, sub: sub})
	}
}

// takeOver replaces the claim of another owner with the next epoch.
func (c *Core) takeOver(now time.Time, sub *submission, row *claim.Row, version uint64) {
	sub.phase = phaseTakingOver
	sub.mayHaveRunBefore = true
	c.stats.Takeovers++
	c.recordDecision(Decision{Kind: TookOver, Submission: sub.name})
	if len(row.Request) > 0 {
		sub.encodedRequest = row.Request
	}
	c.writeRow(sub, &claim.Row{Epoch: row.Epoch + 1, Candidates: row.Candidates}, version, time.Time{})
}

// switchToGatherOnly makes sub collect the results of the tasks that a lost owner started, and start
// no others: its callers were answered, but it must be known what ran before the claim is closed.
func (c *Core) switchToGatherOnly(now time.Time, sub *submission) {
	sub.gatherOnly = true
	sub.deadline = now.Add(gatherTimeout)
	sub.deadlineTimer = c.addTimer(sub.deadline, timer{kind: timerDeadline, sub: sub})
}

// dropLocalState forgets the tasks and attempts of a submission that another entry owns now. Agents
// are not told, since the new owner needs the results that they hold.
func (c *Core) dropLocalState(sub *submission) {
	for _, t := range sub.tasks {
		c.dropAttempts(t)
		t.state = taskDone
	}
	sub.tasks = nil
	sub.contacted = nil
	sub.unfenced = nil
	sub.lostCandidates = nil
	sub.outcome = nil
	sub.widening = false
	sub.mayHaveRunBefore = true
}

// handleOwnershipLoss handles proof from an agent that another entry owns sub. It reads the claim by
// a write that is expected to mismatch.
func (c *Core) handleOwnershipLoss(now time.Time, sub *submission) {
	if sub.phase != phaseRunning && sub.phase != phaseFencing {
		return // the claim write of the other phases shows the new owner
	}
	if sub.pendingWrite != nil {
		return
	}
	c.dropLocalState(sub)
	if len(sub.waiters) == 0 {
		c.end(now, sub)
		return
	}
	sub.phase = phaseAwaitingOwner
	c.writeClaim(now, sub)
}
