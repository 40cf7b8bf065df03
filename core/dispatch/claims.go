package dispatch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// claimMargin is how long before the deadline an unsent claim expires, so that the refusal reaches
// the caller in time.
const claimMargin = 20 * time.Millisecond

// pendingRefusal is a refusal that waits for a read of the claim: another entry may have run, or may
// be running, an earlier submission with the key. The caller is then attached to that.
type pendingRefusal struct {
	request *Request
	refusal *wire.Outcome
}

// refuseAfterClaimRead answers r with a refusal unless a read of the claim shows that the submission
// exists.
func (c *Core) refuseAfterClaimRead(r *Request, refusal *wire.Outcome) {
	waiting := c.pendingRefusals[r.Submission]
	if len(waiting) == 0 {
		c.out.Reads = append(c.out.Reads, r.Submission)
	}
	c.pendingRefusals[r.Submission] = append(waiting, pendingRefusal{r, refusal})
}

// ClaimRead handles the result of a read of Output.Reads. known is false if the table service did
// not answer; row is nil if there is no claim.
func (c *Core) ClaimRead(now time.Time, name string, known bool, row *claim.Row, version uint64) {
	waiting := c.pendingRefusals[name]
	delete(c.pendingRefusals, name)
	for _, pending := range waiting {
		r := pending.request
		switch {
		case known && (row == nil || row.Phase == claim.Void):
			c.stats.Refused++
			c.out.Answers = append(c.out.Answers, Answer{Request: r.ID, Outcome: pending.refusal})
		case known:
			c.attachToRow(now, r, row, version)
		default:
			c.stats.Refused++
			pending.refusal.Unchecked = true
			c.out.Answers = append(c.out.Answers, Answer{Request: r.ID, Outcome: pending.refusal})
		}
	}
}

// attachToRow attaches r to the submission that the row describes.
func (c *Core) attachToRow(now time.Time, r *Request, row *claim.Row, version uint64) {
	sub := c.submissions[r.Submission]
	if sub != nil {
		c.attach(now, sub, r)
		return
	}
	sub = c.newSubmission(now, r)
	sub.waiters = []waiter{{r.ID, r.Async}}
	c.followRow(now, sub, row, version)
}

// writeRow requests a write of sub's claim on the condition that the table holds version ifVersion
// (0: no row). Only one write of a submission is pending at a time.
func (c *Core) writeRow(sub *submission, row *claim.Row, ifVersion uint64, expires time.Time) {
	row.Submission = sub.name
	row.Digest = sub.digest
	row.Owner = c.self
	row.Nonce = c.rng.Uint64()
	row.Tasks = uint32(len(sub.specs))
	row.Deadline = sub.deadline
	row.Request = sub.encodedRequest
	w := claim.Write{Row: row, IfVersion: ifVersion, Expires: expires}
	sub.pendingWrite = &w
	c.out.Writes = append(c.out.Writes, w)
}

// writeClaim requests the claim write that sub's phase needs, if none is pending: the outcome, more
// candidates, or the insertion of a new claim. The insertion also serves to learn from the mismatch
// which claim is in the table.
func (c *Core) writeClaim(now time.Time, sub *submission) {
	if sub.pendingWrite != nil {
		return
	}
	switch sub.phase {
	case phaseClosing:
		c.writeOutcome(sub)
		return
	case phaseRunning:
		c.widenClaim(now, sub)
		return
	}
	sub.phase = phaseClaiming
	expires := now.Add(c.settings.ClaimWait)
	if latest := sub.deadline.Add(-claimMargin); latest.Before(expires) && !sub.mayHaveRunBefore {
		expires = latest // if it may have run before, the claim is read by this write even after the deadline
	}
	c.writeRow(sub, &claim.Row{Epoch: 1, Candidates: c.planCandidates(sub)}, 0, expires)
}

// planCandidates chooses candidates for the tasks of sub: all feasible agents if they are few,
// otherwise enough for the tasks and SpareCandidates more.
func (c *Core) planCandidates(sub *submission) []claim.Candidate {
	var picked []claim.Candidate
	seen := make(map[rank.ID]bool)
	for i := range sub.specs {
		if i > 0 && sameRequirement(&sub.specs[i], &sub.specs[i-1]) {
			continue
		}
		for _, a := range c.pool.ClaimCandidates(sub.specs[i].requirement(), len(sub.specs), c.settings.SpareCandidates) {
			if !seen[a.ID] {
				seen[a.ID] = true
				picked = append(picked, claim.Candidate{ID: a.ID, Address: c.agentAddress(a.ID)})
			}
		}
	}
	return picked
}

// sameRequirement reports whether a and b can run on the same agents.
func sameRequirement(a, b *TaskSpec) bool {
	return a.Service == b.Service && a.Selector.String() == b.Selector.String()
}

// agentAddress returns the address of a linked agent, or "".
func (c *Core) agentAddress(id rank.ID) string {
	if l := c.links[c.linkByAgent[id]]; l != nil {
		return l.address
	}
	return ""
}

// ClaimWritten handles the result of a write of Output.Writes.
func (c *Core) ClaimWritten(now time.Time, r claim.Result) {
	sub := c.submissions[r.Submission]
	if sub == nil || sub.pendingWrite == nil || sub.pendingWrite.Row.Nonce != r.Nonce {
		return
	}
	if r.Status == claim.Unknown {
		// A definite status follows, perhaps much later.
		c.addTimer(now.Add(c.settings.ClaimWait), timer{kind: timerClaimUnknown, sub: sub, request: r.Nonce})
		return
	}
	w := sub.pendingWrite
	sub.pendingWrite = nil
	if r.Status == claim.Mismatch && r.Current != nil && r.Current.Nonce == w.Row.Nonce {
		r.Status = claim.Applied // the answer to this write was lost
	}
	switch r.Status {
	case claim.Applied:
		sub.version = r.Version
		c.handleApplied(now, sub, w.Row)
	case claim.Mismatch:
		c.handleMismatch(now, sub, r)
	case claim.NotSent:
		c.handleNotSent(now, sub, r.Outage)
	}
}

// giveUpUnknownClaim answers the callers of a claim whose write has had an unknown status for too
// long, so that they need not wait until their deadline.
func (c *Core) giveUpUnknownClaim(sub *submission, nonce uint64) {
	if sub.phase == phaseClaiming && sub.pendingWrite != nil && sub.pendingWrite.Row.Nonce == nonce {
		c.giveUpClaim(sub)
	}
}

// giveUpClaim answers the callers although the status of the claim's write is unknown. The
// submission stays until the status is known; if it was applied the claim is voided, or, after a
// takeover, closed.
func (c *Core) giveUpClaim(sub *submission) {
	sub.claimGivenUp = true
	c.answerWaiters(sub, &wire.Outcome{Kind: errkind.FateUnknown, RetryAfter: time.Second,
		Detail: "the table service did not confirm the claim; ask again with the same key"})
}

// handleApplied handles a claim write that was applied.
func (c *Core) handleApplied(now time.Time, sub *submission, row *claim.Row) {
	sub.candidates = row.Candidates
	sub.epoch = row.Epoch
	switch sub.phase {
	case phaseClosing:
		c.handleClosingApplied(now, sub, row)
	case phaseTakingOver:
		if sub.claimGivenUp {
			c.switchToGatherOnly(now, sub)
		}
		c.beginFencing(now, sub)
	case phaseRunning:
		sub.widening = false
		c.resolveCandidates(sub)
	case phaseClaiming:
		c.handleClaimApplied(now, sub)
	}
}

// handleClosingApplied handles a write applied in phase closing. If it wrote the outcome, the callers
// are answered.
func (c *Core) handleClosingApplied(now time.Time, sub *submission, row *claim.Row) {
	if row.Phase == claim.Running {
		c.writeOutcome(sub) // the write added candidates and was requested before the outcome was known
		return
	}
	c.answerWaiters(sub, sub.outcome)
	c.countOutcome(sub.outcome)
	c.end(now, sub)
}

// handleClaimApplied starts a submission whose claim was inserted, unless it is no longer wanted.
func (c *Core) handleClaimApplied(now time.Time, sub *submission) {
	switch {
	case sub.claimGivenUp, !now.Before(sub.deadline):
		c.closeNotRun(now, sub, &wire.Outcome{Kind: errkind.DeadlineTooShort})
	case sub.cancelRequested:
		c.makeTasks(sub)
		c.fail(now, sub, errkind.Canceled, "canceled before it started")
	default:
		c.answerAsyncWaiters(sub)
		c.resolveCandidates(sub)
		c.startTasks(now, sub)
	}
}

// handleMismatch handles a write whose condition was not met. It continues with the row in the table.
func (c *Core) handleMismatch(now time.Time, sub *submission, r claim.Result) {
	if sub.claimGivenUp || (len(sub.waiters) == 0 && sub.phase != phaseClaiming) {
		c.dropLocalState(sub)
		c.end(now, sub)
		return
	}
	if sub.phase == phaseRunning || sub.phase == phaseClosing {
		c.dropLocalState(sub)
	}
	if r.Current == nil {
		sub.phase = phaseClaiming
		c.scheduleClaimWrite(now, sub)
		return
	}
	c.followRow(now, sub, r.Current, r.Version)
}

// handleNotSent handles a write that was not sent. A first claim is refused; other writes are
// repeated while they are needed.
func (c *Core) handleNotSent(now time.Time, sub *submission, outage bool) {
	if sub.phase == phaseClaiming && !sub.mayHaveRunBefore {
		kind := errkind.Overloaded
		if outage {
			kind = errkind.StoreUnavailable
		}
		c.stats.Refused += uint64(len(sub.waiters))
		c.answerWaiters(sub, &wire.Outcome{Kind: kind, Unchecked: true, RetryAfter: time.Second,
			Detail: "the claim could not be recorded; this request started nothing"})
		c.end(now, sub)
		return
	}
	late := sub.phase == phaseClaiming && !now.Before(sub.deadline)
	if sub.claimGivenUp || late {
		c.end(now, sub)
		return
	}
	c.scheduleClaimWrite(now, sub)
}

// scheduleClaimWrite requests the claim write that sub's phase needs after a pause.
func (c *Core) scheduleClaimWrite(now time.Time, sub *submission) {
	c.addTimer(now.Add(c.settings.PeerRetryPause), timer{kind: timerClaimWrite, sub: sub})
}

// close records the outcome of a claimed submission in its claim and then answers the callers. The
// callers of an unclaimed submission are answered at once.
func (c *Core) close(now time.Time, sub *submission, outcome *wire.Outcome) {
	sub.outcome = outcome
	if !sub.claimed {
		c.answerWaiters(sub, outcome)
		c.countOutcome(outcome)
		c.end(now, sub)
		return
	}
	sub.phase = phaseClosing
	c.writeOutcome(sub)
}

// closeNotRun closes a submission of which nothing has run with a refusal. Its claim is voided
// first, so that no other entry can resume it after the refusal.
func (c *Core) closeNotRun(now time.Time, sub *submission, refusal *wire.Outcome) {
	refusal.Tasks = nil
	if refusal.RetryAfter == 0 && errkind.Of(refusal.Kind).Retry {
		refusal.RetryAfter = time.Second
	}
	c.close(now, sub, refusal)
}

// writeOutcome requests the write that closes the claim with the outcome, or voids the claim if the
// outcome states that nothing ran.
func (c *Core) writeOutcome(sub *submission) {
	if sub.pendingWrite != nil {
		return // repeated once the result of the earlier write is known
	}
	row := &claim.Row{Epoch: sub.epoch, Candidates: sub.candidates, Phase: claim.Closed, Outcome: sub.outcome}
	if errkind.Of(sub.outcome.Kind).Ran == errkind.NotRun {
		row.Phase = claim.Void
		row.Outcome = nil
	}
	c.writeRow(sub, row, sub.version, time.Time{})
}

// countOutcome counts an outcome in the stats.
func (c *Core) countOutcome(outcome *wire.Outcome) {
	if outcome.Kind == errkind.OK {
		c.stats.Completed++
		return
	}
	c.stats.Failed++
}
