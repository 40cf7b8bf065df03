package dispatch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// claimMargin is how long before the deadline an unsent claim is withdrawn, so
// that the refusal still reaches the caller in time.
const claimMargin = 20 * time.Millisecond

// lookup is a refusal that waits for a look at the claim: an earlier
// submission with the key may have run, or run now, elsewhere.
type lookup struct {
	request *Request
	refusal *wire.Outcome
}

func (c *Core) lookUp(r *Request, refusal *wire.Outcome) {
	waiting := c.lookups[r.Submission]
	if len(waiting) == 0 {
		c.out.Reads = append(c.out.Reads, r.Submission)
	}
	c.lookups[r.Submission] = append(waiting, lookup{r, refusal})
}

// ClaimRead ends the lookups of a submission. known is false if the table
// service did not answer; row is nil if there is no claim.
func (c *Core) ClaimRead(now time.Time, submission string, known bool, row *claim.Row, version uint64) {
	waiting := c.lookups[submission]
	delete(c.lookups, submission)
	for _, l := range waiting {
		r := l.request
		switch {
		case known && (row == nil || row.Phase == claim.Void):
			c.stats.Refused++
			c.out.Answers = append(c.out.Answers, Answer{Request: r.ID, Outcome: l.refusal})
		case known:
			c.attachClaim(now, r, row, version)
		default:
			c.stats.Refused++
			l.refusal.Unchecked = true
			c.out.Answers = append(c.out.Answers, Answer{Request: r.ID, Outcome: l.refusal})
		}
	}
}

func (c *Core) attachClaim(now time.Time, r *Request, row *claim.Row, version uint64) {
	j := c.jobs[r.Submission]
	if j != nil {
		c.attach(now, j, r)
		return
	}
	j = c.newJob(now, r)
	j.waiters = []waiter{{r.ID, r.Async}}
	c.adopt(now, j, row, version)
}

// write sends a conditional write of j's row.
func (c *Core) write(j *job, row *claim.Row, ifVersion uint64, expires time.Time) {
	row.Submission = j.submission
	row.Digest = j.digest
	row.Owner = c.self
	row.Nonce = c.rng.Uint64()
	row.Tasks = uint32(len(j.specs))
	row.Deadline = j.deadline
	row.Request = j.stored
	w := claim.Write{Row: row, IfVersion: ifVersion, Expires: expires}
	j.writing = &w
	c.out.Writes = append(c.out.Writes, w)
}

// writeFreshClaim inserts the claim, or learns by a mismatch who holds it.
func (c *Core) writeFreshClaim(now time.Time, j *job) {
	if j.writing != nil {
		return
	}
	switch j.phase {
	case phaseClosing:
		c.writeOutcome(j)
		return
	case phaseRunning:
		c.widen(now, j)
		return
	}
	j.phase = phaseClaiming
	expires := now.Add(c.settings.ClaimWait)
	if latest := j.deadline.Add(-claimMargin); latest.Before(expires) && !j.history {
		expires = latest // with a history the write is to learn what is in force, also late
	}
	c.write(j, &claim.Row{Epoch: 1, Candidates: c.plan(j)}, 0, expires)
}

// plan chooses candidate agents for the tasks of j: all feasible ones if they
// are few, or enough for the tasks with some to spare.
func (c *Core) plan(j *job) []claim.Candidate {
	var picked []claim.Candidate
	seen := make(map[rank.ID]bool)
	for i := range j.specs {
		if i > 0 && sameRequirement(&j.specs[i], &j.specs[i-1]) {
			continue
		}
		for _, a := range c.pool.Best(j.specs[i].requirement(), len(j.specs), c.settings.Spares) {
			if !seen[a.ID] {
				seen[a.ID] = true
				picked = append(picked, claim.Candidate{ID: a.ID, Address: c.address(a.ID)})
			}
		}
	}
	return picked
}

func sameRequirement(a, b *TaskSpec) bool {
	return a.Service == b.Service && a.Selector.String() == b.Selector.String()
}

func (c *Core) address(id rank.ID) string {
	if l := c.links[c.linked[id]]; l != nil {
		return l.addr
	}
	return ""
}

// ClaimWritten handles the fate of a write.
func (c *Core) ClaimWritten(now time.Time, r claim.Result) {
	j := c.jobs[r.Submission]
	if j == nil || j.writing == nil || j.writing.Row.Nonce != r.Nonce {
		return
	}
	if r.Status == claim.Unknown {
		// A definite fate follows, perhaps much later.
		c.after(now.Add(c.settings.ClaimWait), timer{kind: timerUnknown, job: j, request: r.Nonce})
		return
	}
	w := j.writing
	j.writing = nil
	if r.Status == claim.Mismatch && r.Current != nil && r.Current.Nonce == w.Row.Nonce {
		r.Status = claim.Applied // an answer was lost, the write was not
	}
	switch r.Status {
	case claim.Applied:
		j.version = r.Version
		c.applied(now, j, w.Row)
	case claim.Mismatch:
		c.mismatch(now, j, r)
	case claim.NotSent:
		c.notSent(now, j, r.Outage)
	}
}

// claimStillUnknown answers the callers of a claim whose fate has been unknown
// for too long, instead of holding them until their deadline.
func (c *Core) claimStillUnknown(j *job, nonce uint64) {
	if j.phase == phaseClaiming && j.writing != nil && j.writing.Row.Nonce == nonce {
		c.giveUpClaim(j)
	}
}

// giveUpClaim answers the callers while the claim's fate is unknown. The job
// stays until that is known, and then voids the claim.
func (c *Core) giveUpClaim(j *job) {
	j.gaveUp = true
	c.answer(j, &wire.Outcome{Kind: errkind.FateUnknown, RetryAfter: time.Second,
		Detail: "the table service did not confirm the claim; ask again with the same key"})
}

func (c *Core) applied(now time.Time, j *job, row *claim.Row) {
	j.candidates = row.Candidates
	j.epoch = row.Epoch
	switch j.phase {
	case phaseClosing:
		c.closingApplied(now, j, row)
	case phaseTaking:
		if j.gaveUp {
			c.onlyGather(now, j)
		}
		c.beginFencing(now, j)
	case phaseRunning:
		j.widening = false
		c.resolveAmong(j)
	case phaseClaiming:
		c.claimApplied(now, j)
	}
}

func (c *Core) closingApplied(now time.Time, j *job, row *claim.Row) {
	if row.Phase == claim.Running {
		c.writeOutcome(j) // this was an earlier widening
		return
	}
	c.answer(j, j.outcome)
	c.count(j.outcome)
	c.end(now, j)
}

func (c *Core) claimApplied(now time.Time, j *job) {
	switch {
	case j.gaveUp, !now.Before(j.deadline):
		c.withdraw(now, j, &wire.Outcome{Kind: errkind.DeadlineTooShort})
	case j.cancelAsked:
		c.makeTasks(j)
		c.fail(now, j, errkind.Canceled, "canceled before it started")
	default:
		c.accept(j)
		c.resolveAmong(j)
		c.start(now, j)
	}
}

// mismatch handles a write that met another row.
func (c *Core) mismatch(now time.Time, j *job, r claim.Result) {
	if j.gaveUp || (len(j.waiters) == 0 && j.phase != phaseClaiming) {
		c.abandon(j)
		c.end(now, j)
		return
	}
	if j.phase == phaseRunning || j.phase == phaseClosing {
		c.abandon(j)
	}
	if r.Current == nil {
		j.phase = phaseClaiming
		c.later(now, j)
		return
	}
	c.adopt(now, j, r.Current, r.Version)
}

// notSent handles a write that never left this entry.
func (c *Core) notSent(now time.Time, j *job, outage bool) {
	if j.phase == phaseClaiming && !j.history {
		kind := errkind.Overloaded
		if outage {
			kind = errkind.StoreUnavailable
		}
		c.stats.Refused += uint64(len(j.waiters))
		c.answer(j, &wire.Outcome{Kind: kind, Unchecked: true, RetryAfter: time.Second,
			Detail: "the claim could not be recorded; this request started nothing"})
		c.end(now, j)
		return
	}
	late := j.phase == phaseClaiming && !now.Before(j.deadline)
	if j.gaveUp || late {
		c.end(now, j)
		return
	}
	c.later(now, j)
}

// later repeats the write that j's phase needs after a pause.
func (c *Core) later(now time.Time, j *job) {
	c.after(now.Add(c.settings.PeerRetry), timer{kind: timerReclaim, job: j})
}

// close records the outcome of a claimed submission and then answers; an
// unclaimed one is answered at once.
func (c *Core) close(now time.Time, j *job, outcome *wire.Outcome) {
	j.outcome = outcome
	if !j.claimed {
		c.answer(j, outcome)
		c.count(outcome)
		c.end(now, j)
		return
	}
	j.phase = phaseClosing
	c.writeOutcome(j)
}

// withdraw ends a submission of which nothing has run: its claim is voided
// first, so that no other entry can pick it up after the refusal.
func (c *Core) withdraw(now time.Time, j *job, refusal *wire.Outcome) {
	refusal.Tasks = nil
	if refusal.RetryAfter == 0 && errkind.Of(refusal.Kind).Retry {
		refusal.RetryAfter = time.Second
	}
	c.close(now, j, refusal)
}

func (c *Core) writeOutcome(j *job) {
	if j.writing != nil {
		return // the fate of an earlier write comes first
	}
	row := &claim.Row{Epoch: j.epoch, Candidates: j.candidates, Phase: claim.Closed, Outcome: j.outcome}
	if errkind.Of(j.outcome.Kind).Ran == errkind.NotRun {
		row.Phase = claim.Void
		row.Outcome = nil
	}
	c.write(j, row, j.version, time.Time{})
}

func (c *Core) count(outcome *wire.Outcome) {
	if outcome.Kind == errkind.OK {
		c.stats.Completed++
		return
	}
	c.stats.Failed++
}
