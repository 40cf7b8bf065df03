package dispatch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/claim"
	"peridotpick.example/wire"
)

// Resume takes up a submission whose owner is lost. request is nil if its
// content is not known; then only its end is recorded.
func (c *Core) Resume(now time.Time, row *claim.Row, version uint64, request *Request) {
	if c.jobs[row.Submission] != nil {
		return
	}
	orphan := request == nil
	if orphan {
		request = &Request{
			Submission: row.Submission, Claimed: true, Digest: row.Digest, Weight: 1,
			Tasks: make([]TaskSpec, row.Tasks), Deadline: orphanDeadline,
		}
	}
	j := c.newJob(now, request)
	j.orphan = orphan
	c.takeOver(now, j, row, version)
}

// orphanDeadline bounds the time to gather what agents know of an orphan.
const orphanDeadline = 10 * time.Second

// adopt acts on the row that is in force for j's key.
func (c *Core) adopt(now time.Time, j *job, row *claim.Row, version uint64) {
	if row.Phase != claim.Void && row.Digest != j.digest {
		c.answer(j, &wire.Outcome{Kind: errkind.KeyConflict, Detail: "the key belongs to a request with other content"})
		c.end(now, j)
		return
	}
	switch row.Phase {
	case claim.Closed:
		c.stats.Attached++
		c.answer(j, row.Outcome)
		c.end(now, j)
	case claim.Void:
		j.phase = phaseClaiming
		c.write(j, &claim.Row{Epoch: row.Epoch + 1, Candidates: c.plan(j)}, version, j.deadline.Add(-claimMargin))
	default:
		j.history = true
		if row.Owner.ID == c.self.ID {
			// This incarnation has forgotten it, or an earlier one held it.
			c.takeOver(now, j, row, version)
			return
		}
		j.phase = phaseAttached
		j.owner = row.Owner
		j.epoch = row.Epoch
		j.version = version
		j.candidates = row.Candidates
		j.stored = row.Request
		c.accept(j)
		if len(j.waiters) == 0 {
			c.end(now, j)
			return
		}
		c.askOwner(j)
	}
}

func (c *Core) askOwner(j *job) {
	if j.phase != phaseAttached {
		return
	}
	c.out.Awaits = append(c.out.Awaits, PeerAwait{Submission: j.submission, Owner: j.owner, Cancel: j.cancelAsked})
}

// PeerFate is what came of asking another entry.
type PeerFate uint8

// Fates of a question to the owner of a submission.
const (
	// PeerAnswered: the reply is valid.
	PeerAnswered PeerFate = iota
	// PeerRefused: nothing listens at the owner's address, or another incarnation does.
	PeerRefused
	// PeerSilent: no answer in time.
	PeerSilent
)

// maxPeerSilence is the number of silent tries after which a submission is
// taken over. Fencing makes a hasty takeover safe, only wasteful.
const maxPeerSilence = 2

// PeerReplied handles the result of a PeerAwait.
func (c *Core) PeerReplied(now time.Time, submission string, owner uint64, fate PeerFate, reply *wire.AwaitReply) {
	j := c.jobs[submission]
	if j == nil || j.phase != phaseAttached || j.owner.Incarnation != owner {
		return
	}
	switch {
	case fate == PeerAnswered && reply.Outcome != nil:
		c.answer(j, reply.Outcome)
		c.end(now, j)
	case fate == PeerAnswered && reply.Known:
		j.peerFails = 0
		c.askOwner(j)
	case fate == PeerAnswered:
		c.later(now, j) // learn what is in force now
	case fate == PeerRefused || j.peerFails+1 >= maxPeerSilence:
		row := &claim.Row{Epoch: j.epoch, Candidates: j.candidates}
		c.takeOver(now, j, row, j.version)
	default:
		j.peerFails++
		c.after(now.Add(c.settings.PeerRetry), timer{kind: timerPeer, job: j})
	}
}

// takeOver replaces the claim of another owner with the next epoch.
func (c *Core) takeOver(now time.Time, j *job, row *claim.Row, version uint64) {
	j.phase = phaseTaking
	j.history = true
	c.stats.Takeovers++
	c.decide(Decision{Kind: TookOver, Submission: j.submission})
	if len(row.Request) > 0 {
		j.stored = row.Request
	}
	c.write(j, &claim.Row{Epoch: row.Epoch + 1, Candidates: row.Candidates}, version, time.Time{})
}

// onlyGather makes j gather what a lost owner started and start nothing more:
// its callers were answered, but what ran must be known before it is closed.
func (c *Core) onlyGather(now time.Time, j *job) {
	j.orphan = true
	j.deadline = now.Add(orphanDeadline)
	j.deadTimer = c.after(j.deadline, timer{kind: timerDeadline, job: j})
}

// abandon forgets what this entry did for a submission that another one owns
// now. Agents are not told: the new owner needs what they keep.
func (c *Core) abandon(j *job) {
	for _, t := range j.tasks {
		c.dropFlights(t)
		t.state = taskDone
	}
	j.tasks = nil
	j.touched = nil
	j.unfenced = nil
	j.gone = nil
	j.outcome = nil
	j.widening = false
	j.history = true
}

// lostOwnership reacts to proof that another entry owns j.
func (c *Core) lostOwnership(now time.Time, j *job) {
	if j.phase != phaseRunning && j.phase != phaseFencing {
		return // a write under way will tell
	}
	if j.writing != nil {
		return
	}
	c.abandon(j)
	if len(j.waiters) == 0 {
		c.end(now, j)
		return
	}
	j.phase = phaseAttached
	c.writeFreshClaim(now, j)
}
