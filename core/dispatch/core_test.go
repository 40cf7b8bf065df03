package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/label"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

var start = time.Unix(1000, 0)

// bench is one core with agents that the test plays.
type bench struct {
	t    *testing.T
	is   *is.I
	core *Core
	now  time.Time
	out  Output
}

func newBench(t *testing.T, agents int) *bench {
	self := wire.EntryInfo{ID: "entry-1", Incarnation: 1}
	b := &bench{t: t, is: is.New(t), core: New(DefaultSettings(), self, rand.New(rand.NewPCG(1, 1))), now: start}
	b.core.SetLease(start.Add(time.Hour))
	for i := range agents {
		b.link(uint64(i+1), 1)
	}
	return b
}

// link links agent number n in an incarnation; its link has the number n*100+incarnation.
func (b *bench) link(n, incarnation uint64) {
	b.core.LinkUp(b.now, LinkID(n*100+incarnation), &wire.AgentInfo{
		ID: agentName(n), Incarnation: incarnation, Service: "tally", Slots: 2, Labels: map[string]string{"rack": "1"},
	})
}

func agentName(n uint64) string { return string(rune('a' + n - 1)) }

func agentID(n uint64) rank.ID { return rank.ID{Agent: agentName(n), Incarnation: 1} }

func (b *bench) flush() Output {
	b.out = b.core.Flush(b.now)
	return b.out
}

func (b *bench) submit(id uint64, claimed, repeatable bool, tasks int) {
	r := &Request{ID: id, Submission: "c/team/key", Claimed: claimed, Team: "team", Weight: 1, Digest: 7, Deadline: 10 * time.Second}
	for range tasks {
		r.Tasks = append(r.Tasks, TaskSpec{Service: "tally", Kind: "scan", Repeatable: repeatable, Class: 1, MaxRun: time.Second})
	}
	b.core.Submit(b.now, r)
}

// applied reports the last write as applied.
func (b *bench) applied(version uint64) {
	w := b.out.Writes[0]
	b.core.ClaimWritten(b.now, claim.Result{Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.Applied, Version: version})
}

// conflict reports the last write as met by another row.
func (b *bench) conflict(row *claim.Row, version uint64) {
	w := b.out.Writes[0]
	b.core.ClaimWritten(b.now, claim.Result{Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.Mismatch, Current: row, Version: version})
}

// ok answers all starts of the last output.
func (b *bench) ok() {
	for _, send := range b.out.Sends {
		for _, batch := range send.Msg.Starts {
			msg := &wire.ToEntry{}
			for _, t := range batch.Tasks {
				msg.Results = append(msg.Results, &wire.Result{
					Submission: batch.Submission, Index: t.Index, Attempt: t.Attempt, Epoch: batch.Epoch,
					Payload: []byte("done"), Sum: wire.Sum([]byte("done")), RunTime: 100 * time.Millisecond,
				})
			}
			b.core.Receive(b.now, send.Link, msg)
		}
	}
}

func (b *bench) starts() int {
	n := 0
	for _, send := range b.out.Sends {
		for _, batch := range send.Msg.Starts {
			n += len(batch.Tasks)
		}
	}
	return n
}

// lostOwner is the row of an owner that is gone, with the given candidates.
func lostOwner(tasks uint32, agents ...uint64) *claim.Row {
	row := &claim.Row{Submission: "c/team/key", Digest: 7, Owner: wire.EntryInfo{ID: "entry-2", Incarnation: 9}, Epoch: 1, Tasks: tasks}
	for _, n := range agents {
		row.Candidates = append(row.Candidates, claim.Candidate{ID: agentID(n)})
	}
	return row
}

// takeOver brings the core into phase fencing for a claim of a lost owner.
func (b *bench) takeOver(repeatable bool, tasks int, agents ...uint64) {
	b.submit(1, true, repeatable, tasks)
	b.flush()
	b.conflict(lostOwner(uint32(tasks), agents...), 5)
	b.flush()
	b.core.PeerReplied(b.now, "c/team/key", 9, PeerRefused, nil)
	b.flush()
	b.is.Equal(b.out.Writes[0].Row.Epoch, uint64(2))
	b.applied(6)
	b.flush()
}

func (b *bench) fenceReply(n uint64, states ...wire.TaskState) {
	b.core.Receive(b.now, LinkID(n*100+1), &wire.ToEntry{Fences: []wire.FenceReply{
		{Submission: "c/team/key", Epoch: 2, Highest: 2, Tasks: states},
	}})
}

func TestNothingStartsBeforeTheClaimIsApplied(t *testing.T) {
	b := newBench(t, 2)
	b.submit(1, true, false, 3)
	b.flush()
	b.is.Equal(b.starts(), 0)
	b.applied(1)
	b.flush()
	b.is.Equal(b.starts(), 3)
	b.ok()
	b.flush()
	b.is.Equal(len(b.out.Answers), 0) // the outcome is recorded first
	b.is.Equal(b.out.Writes[0].Row.Phase, claim.Closed)
	b.applied(2)
	b.flush()
	b.is.Equal(b.out.Answers[0].Outcome.Kind, errkind.OK)
	b.is.Equal(len(b.out.Answers[0].Outcome.Tasks), 3)
}

func TestLostAnswerOfAWriteIsKnownByItsNonce(t *testing.T) {
	b := newBench(t, 1)
	b.submit(1, true, false, 1)
	b.flush()
	b.conflict(b.out.Writes[0].Row, 3)
	b.flush()
	b.is.Equal(b.starts(), 1)
}

func TestRefusalOfAKeyLooksAtTheClaimFirst(t *testing.T) {
	b := newBench(t, 1)
	b.core.Drain()
	b.submit(1, true, false, 1)
	b.flush()
	b.is.Equal(len(b.out.Answers), 0)
	b.is.Equal(b.out.Reads, []string{"c/team/key"})
	b.core.ClaimRead(b.now, "c/team/key", false, nil, 0)
	b.flush()
	b.is.Equal(b.out.Answers[0].Outcome.Ran(), errkind.Unknown) // an earlier submission may have run
	b.submit(2, true, false, 1)
	b.flush()
	b.core.ClaimRead(b.now, "c/team/key", true, nil, 0)
	b.flush()
	b.is.Equal(b.out.Answers[0].Outcome.Ran(), errkind.NotRun)
}

// TestFailureWhileUnfencedDoesNotClaimNotRun: found by seed 1303 of the
// schedules. A candidate that has not answered may have started the other task.
func TestFailureWhileUnfencedDoesNotClaimNotRun(t *testing.T) {
	b := newBench(t, 2)
	b.takeOver(false, 2, 1, 2)
	b.fenceReply(1, wire.TaskState{Index: 0, Attempt: 1, Phase: wire.Done, Result: &wire.Result{
		Submission: "c/team/key", Index: 0, Attempt: 1, Kind: errkind.TaskFailed,
	}})
	b.flush()
	outcome := b.out.Writes[0].Row.Outcome
	b.is.Equal(outcome.Tasks[0].Ran, errkind.DidRun)
	b.is.Equal(outcome.Tasks[1].Ran, errkind.Unknown)
}

// TestGivenUpTakeoverFencesBeforeItVoids: found by seed 1656.
func TestGivenUpTakeoverFencesBeforeItVoids(t *testing.T) {
	b := newBench(t, 2)
	b.submit(1, true, true, 1)
	b.flush()
	b.conflict(lostOwner(1, 1, 2), 5)
	b.flush()
	b.core.PeerReplied(b.now, "c/team/key", 9, PeerRefused, nil)
	b.flush()
	takeover := b.out
	b.now = b.now.Add(11 * time.Second)
	b.flush()
	b.is.Equal(b.out.Answers[0].Outcome.Kind, errkind.FateUnknown)
	b.out = takeover
	b.applied(6)
	b.flush()
	b.is.Equal(len(b.out.Writes), 0)
	b.is.Equal(len(b.out.Sends), 2) // both candidates are fenced
}

// TestGatheredOrphanStartsNothing: found by seed 682. A task in doubt of a
// submission whose callers were answered is not started again.
func TestGatheredOrphanStartsNothing(t *testing.T) {
	b := newBench(t, 2)
	row := lostOwner(1, 1, 3) // agent 3 is not known here
	b.core.Resume(b.now, row, 5, nil)
	b.flush()
	b.applied(6)
	b.flush()
	b.core.AgentGone(b.now, agentID(3))
	b.fenceReply(1)
	b.flush()
	b.is.Equal(b.starts(), 0)
	b.is.Equal(b.out.Writes[0].Row.Outcome.Kind, errkind.FateUnknown)
}

// TestAttemptOutIsUnknown: found by seed 6171. After a failed attempt a second
// one is out: the task has not surely ended.
func TestAttemptOutIsUnknown(t *testing.T) {
	b := newBench(t, 2)
	b.submit(1, true, true, 1)
	b.flush()
	b.applied(1)
	b.flush()
	send := b.out.Sends[0]
	b.core.Receive(b.now, send.Link, &wire.ToEntry{Results: []*wire.Result{{Submission: "c/team/key", Attempt: 1, Kind: errkind.TaskFailed}}})
	b.flush()
	b.is.Equal(b.starts(), 1) // the retry
	b.core.Cancel(b.now, "c/team/key")
	b.flush()
	b.is.Equal(b.out.Writes[0].Row.Outcome.Tasks[0].Ran, errkind.Unknown)
}

// TestLateCallerIsAnswered: found by seeds 14936 and 176632. A caller that
// attaches after the submission's deadline has a deadline of its own.
func TestLateCallerIsAnswered(t *testing.T) {
	b := newBench(t, 1)
	b.submit(1, true, false, 1)
	b.flush() // the fate of the claim is never learned
	b.now = b.now.Add(11 * time.Second)
	b.flush()
	b.submit(2, true, false, 1)
	b.now = b.now.Add(11 * time.Second)
	b.flush()
	b.is.Equal(len(b.out.Answers), 1)
	b.is.Equal(b.out.Answers[0].Request, uint64(2))
}

func TestGoneCandidateMayHaveStarted(t *testing.T) {
	b := newBench(t, 2)
	b.link(2, 2) // agent 2 has restarted: incarnation 1 is gone
	b.takeOver(false, 1, 1, 2)
	b.fenceReply(1)
	b.flush()
	b.is.Equal(b.starts(), 0)
	b.is.Equal(b.out.Writes[0].Row.Outcome.Kind, errkind.FateUnknown)
}

func TestRepeatableTaskInDoubtWaitsForItsMaxRun(t *testing.T) {
	b := newBench(t, 2)
	b.link(2, 2)
	b.takeOver(true, 1, 1, 2)
	b.fenceReply(1)
	b.flush()
	b.is.Equal(b.starts(), 0)
	b.now = b.now.Add(time.Second)
	b.flush()
	b.is.Equal(b.starts(), 1)
}

func TestNonRepeatableCallIsNeverSentTwice(t *testing.T) {
	b := newBench(t, 2)
	b.submit(1, false, false, 1)
	b.flush()
	link := b.out.Sends[0].Link
	b.core.LinkDown(b.now, link)
	b.flush()
	b.is.Equal(b.starts(), 0)
	b.core.AgentGone(b.now, b.core.byAgent[agentName(uint64(link)/100)])
	b.flush()
	b.is.Equal(b.starts(), 0)
	b.is.Equal(b.out.Answers[0].Outcome.Kind, errkind.FateUnknown)
}

func TestRefusalNotRunPermitsAnotherAgent(t *testing.T) {
	b := newBench(t, 2)
	b.submit(1, false, false, 1)
	b.flush()
	first := b.out.Sends[0].Link
	b.core.Receive(b.now, first, &wire.ToEntry{Leaving: true, Results: []*wire.Result{
		{Submission: "c/team/key", Attempt: 1, Kind: errkind.Draining, NotRun: true},
	}})
	b.flush()
	b.is.Equal(b.starts(), 1)
	b.is.True(b.out.Sends[0].Link != first)
}

func TestCorruptResultIsAskedForAgain(t *testing.T) {
	b := newBench(t, 1)
	b.submit(1, false, false, 1)
	b.flush()
	b.core.Receive(b.now, b.out.Sends[0].Link, &wire.ToEntry{Results: []*wire.Result{
		{Submission: "c/team/key", Attempt: 1, Payload: []byte("x"), Sum: 1},
	}})
	b.flush()
	b.is.Equal(len(b.out.Answers), 0)
	b.is.Equal(len(b.out.Sends[0].Msg.Fences), 1)
}

func TestInfeasibleNamesTheTerm(t *testing.T) {
	b := newBench(t, 1)
	selector, err := label.Parse("selector", "rack=1,gpu")
	b.is.NoErr(err)
	b.core.Submit(b.now, &Request{ID: 1, Submission: "u/1", Team: "team", Weight: 1, Deadline: time.Second,
		Tasks: []TaskSpec{{Service: "tally", Kind: "scan", Selector: selector}}})
	b.flush()
	outcome := b.out.Answers[0].Outcome
	b.is.Equal(outcome.Kind, errkind.Infeasible)
	b.is.Equal(outcome.Detail, "tasks[0].selector: no worker, awake or asleep, matches gpu")
}

func TestQuota(t *testing.T) {
	b := newBench(t, 1)
	r := &Request{ID: 9, Submission: "q", Team: "team", Weight: 1, Quota: 1, Deadline: time.Second}
	r.Tasks = []TaskSpec{{Service: "tally", Kind: "scan"}}
	b.core.Submit(b.now, r)
	again := *r
	again.ID, again.Submission = 10, "q2"
	b.core.Submit(b.now, &again)
	b.flush()
	last := b.out.Answers[len(b.out.Answers)-1]
	b.is.Equal(last.Request, uint64(10))
	b.is.Equal(last.Outcome.Kind, errkind.QuotaExceeded)
}

func TestPausedEntryStartsNothingPastItsLease(t *testing.T) {
	b := newBench(t, 1)
	b.submit(1, true, false, 1)
	b.flush()
	b.core.SetLease(b.now.Add(-time.Second))
	b.applied(1)
	b.flush()
	b.is.Equal(b.starts(), 0)
}

// TestRetryDoesNotGoBackWhileOthersAreBusy: found by a load run with a worker
// that fails everything. It looks idle while the others are full.
func TestRetryDoesNotGoBackWhileOthersAreBusy(t *testing.T) {
	b := newBench(t, 2)
	b.submit(1, false, true, 4) // both slots of both agents
	b.flush()
	bad := b.out.Sends[0]
	b.core.Receive(b.now, bad.Link, &wire.ToEntry{Results: []*wire.Result{
		{Submission: "c/team/key", Index: bad.Msg.Starts[0].Tasks[0].Index, Attempt: 1, Kind: errkind.TaskFailed},
	}})
	b.flush()
	b.is.Equal(b.starts(), 0) // it waits for the other agent
}

// TestRefusalsAreNoFailures: found by the same run. Attempts that agents refused
// must not use up those that a task may fail.
func TestRefusalsAreNoFailures(t *testing.T) {
	b := newBench(t, 3)
	b.submit(1, false, true, 1)
	b.flush()
	for attempt := uint32(1); attempt <= 6; attempt++ {
		b.core.Receive(b.now, b.out.Sends[0].Link, &wire.ToEntry{Results: []*wire.Result{
			{Submission: "c/team/key", Attempt: attempt, Kind: errkind.Overloaded, NotRun: true},
		}})
		b.flush()
	}
	b.core.Receive(b.now, b.out.Sends[0].Link, &wire.ToEntry{Results: []*wire.Result{
		{Submission: "c/team/key", Attempt: 7, Kind: errkind.TaskFailed},
	}})
	b.flush()
	b.is.Equal(b.starts(), 1) // the first failure is retried
}

// TestLateReclaimIsSentAndEnds: found by seed 716717. A submission that was lost
// after its deadline was looked up with writes that had expired already, for ever.
func TestLateReclaimIsSentAndEnds(t *testing.T) {
	b := newBench(t, 1)
	b.submit(1, true, false, 1)
	b.flush()
	b.applied(1)
	b.flush()
	b.now = b.now.Add(11 * time.Second)
	b.flush() // the deadline: the outcome is written
	row := lostOwner(1, 1)
	row.Epoch = 2
	b.conflict(row, 5)
	b.flush()
	b.core.PeerReplied(b.now, "c/team/key", 9, PeerAnswered, &wire.AwaitReply{})
	b.now = b.now.Add(time.Second)
	b.flush()
	w := b.out.Writes[0]
	b.is.True(w.Expires.After(b.now))
	b.core.ClaimWritten(b.now, claim.Result{Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.NotSent})
	b.flush()
	b.is.Equal(b.out.Answers[0].Outcome.Kind, errkind.FateUnknown)
	b.is.Equal(b.core.Open(), 0)
}
