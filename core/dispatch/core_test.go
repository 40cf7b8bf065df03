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

// harness holds a core and its last output. The test acts as the agents, the table service, the
// callers and the other entries.
type harness struct {
	t    *testing.T
	is   *is.I
	core *Core
	now  time.Time
	out  Output
}

// newHarness returns a core that is linked to the given number of agents, named a, b and so on, each
// with two slots.
func newHarness(t *testing.T, agents int) *harness {
	self := wire.EntryInfo{ID: "entry-1", Incarnation: 1}
	h := &harness{t: t, is: is.New(t), core: New(DefaultSettings(), self, rand.New(rand.NewPCG(1, 1))), now: start}
	h.core.SetLease(start.Add(time.Hour))
	for i := range agents {
		h.link(uint64(i+1), 1)
	}
	return h
}

// link opens a link to an incarnation of agent number n. The link has the ID n*100+incarnation.
func (h *harness) link(n, incarnation uint64) {
	h.core.LinkUp(h.now, LinkID(n*100+incarnation), &wire.AgentInfo{
		ID: agentName(n), Incarnation: incarnation, Service: "tally", Slots: 2, Labels: map[string]string{"rack": "1"},
	})
}

func agentName(n uint64) string { return string(rune('a' + n - 1)) }

func agentID(n uint64) rank.ID { return rank.ID{Agent: agentName(n), Incarnation: 1} }

func (h *harness) flush() Output {
	h.out = h.core.Flush(h.now)
	return h.out
}

// submit submits a request with equal tasks. All requests have the same key and content, and a
// deadline of 10 s.
func (h *harness) submit(id uint64, claimed, repeatable bool, tasks int) {
	r := &Request{ID: id, Submission: "c/team/key", Claimed: claimed, Team: "team", Weight: 1, Digest: 7, Deadline: 10 * time.Second}
	for range tasks {
		r.Tasks = append(r.Tasks, TaskSpec{Service: "tally", Kind: "scan", Repeatable: repeatable, Class: 1, MaxRun: time.Second})
	}
	h.core.Submit(h.now, r)
}

// applyWrite reports the first write of the last output as applied.
func (h *harness) applyWrite(version uint64) {
	w := h.out.Writes[0]
	h.core.ClaimWritten(h.now, claim.Result{Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.Applied, Version: version})
}

// rejectWrite reports the first write of the last output as a mismatch with the given row.
func (h *harness) rejectWrite(row *claim.Row, version uint64) {
	w := h.out.Writes[0]
	h.core.ClaimWritten(h.now, claim.Result{Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.Mismatch, Current: row, Version: version})
}

// completeStarts reports success for all starts of the last output.
func (h *harness) completeStarts() {
	for _, send := range h.out.Sends {
		for _, batch := range send.Msg.Starts {
			msg := &wire.ToEntry{}
			for _, t := range batch.Tasks {
				msg.Results = append(msg.Results, &wire.Result{
					Submission: batch.Submission, Index: t.Index, Attempt: t.Attempt, Epoch: batch.Epoch,
					Payload: []byte("done"), Checksum: wire.Checksum([]byte("done")), RunTime: 100 * time.Millisecond,
				})
			}
			h.core.Receive(h.now, send.Link, msg)
		}
	}
}

// starts returns the number of attempts started by the last output.
func (h *harness) starts() int {
	n := 0
	for _, send := range h.out.Sends {
		for _, batch := range send.Msg.Starts {
			n += len(batch.Tasks)
		}
	}
	return n
}

// lostOwner returns the row of an owner that has ended, with the given agents as candidates.
func lostOwner(tasks uint32, agents ...uint64) *claim.Row {
	row := &claim.Row{Submission: "c/team/key", Digest: 7, Owner: wire.EntryInfo{ID: "entry-2", Incarnation: 9}, Epoch: 1, Tasks: tasks}
	for _, n := range agents {
		row.Candidates = append(row.Candidates, claim.Candidate{ID: agentID(n)})
	}
	return row
}

// takeOver brings the core into phase fencing by a takeover from a lost owner.
func (h *harness) takeOver(repeatable bool, tasks int, agents ...uint64) {
	h.submit(1, true, repeatable, tasks)
	h.flush()
	h.rejectWrite(lostOwner(uint32(tasks), agents...), 5)
	h.flush()
	h.core.PeerReplied(h.now, "c/team/key", 9, PeerRefused, nil)
	h.flush()
	h.is.Equal(h.out.Writes[0].Row.Epoch, uint64(2))
	h.applyWrite(6)
	h.flush()
}

// fenceReply answers the fence of epoch 2 at agent number n, which knows the given attempts.
func (h *harness) fenceReply(n uint64, states ...wire.TaskState) {
	h.core.Receive(h.now, LinkID(n*100+1), &wire.ToEntry{Fences: []wire.FenceReply{
		{Submission: "c/team/key", Epoch: 2, HighestEpoch: 2, Tasks: states},
	}})
}

func TestNothingStartsBeforeTheClaimIsApplied(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(1, true, false, 3)
	h.flush()
	h.is.Equal(h.starts(), 0)
	h.applyWrite(1)
	h.flush()
	h.is.Equal(h.starts(), 3)
	h.completeStarts()
	h.flush()
	h.is.Equal(len(h.out.Answers), 0) // the outcome is recorded first
	h.is.Equal(h.out.Writes[0].Row.Phase, claim.Closed)
	h.applyWrite(2)
	h.flush()
	h.is.Equal(h.out.Answers[0].Outcome.Kind, errkind.OK)
	h.is.Equal(len(h.out.Answers[0].Outcome.Tasks), 3)
}

func TestLostWriteAnswerIsRecognizedByItsNonce(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(1, true, false, 1)
	h.flush()
	h.rejectWrite(h.out.Writes[0].Row, 3)
	h.flush()
	h.is.Equal(h.starts(), 1)
}

func TestRefusalOfAKeyReadsTheClaimFirst(t *testing.T) {
	h := newHarness(t, 1)
	h.core.Drain()
	h.submit(1, true, false, 1)
	h.flush()
	h.is.Equal(len(h.out.Answers), 0)
	h.is.Equal(h.out.Reads, []string{"c/team/key"})
	h.core.ClaimRead(h.now, "c/team/key", false, nil, 0)
	h.flush()
	h.is.Equal(h.out.Answers[0].Outcome.Ran(), errkind.MaybeRan) // an earlier submission may have run
	h.submit(2, true, false, 1)
	h.flush()
	h.core.ClaimRead(h.now, "c/team/key", true, nil, 0)
	h.flush()
	h.is.Equal(h.out.Answers[0].Outcome.Ran(), errkind.NotRun)
}

// TestFailureDuringFencingDoesNotReportNotRun: a submission fails while one candidate has not
// answered its fence. That candidate may have started the other task, which therefore must not be
// reported as not run.
func TestFailureDuringFencingDoesNotReportNotRun(t *testing.T) {
	h := newHarness(t, 2)
	h.takeOver(false, 2, 1, 2)
	h.fenceReply(1, wire.TaskState{Index: 0, Attempt: 1, Phase: wire.PhaseDone, Result: &wire.Result{
		Submission: "c/team/key", Index: 0, Attempt: 1, Kind: errkind.TaskFailed,
	}})
	h.flush()
	outcome := h.out.Writes[0].Row.Outcome
	h.is.Equal(outcome.Tasks[0].Ran, errkind.DidRun)
	h.is.Equal(outcome.Tasks[1].Ran, errkind.MaybeRan)
}

// TestGivenUpTakeoverFencesBeforeVoiding: the deadline passes during the write of a takeover. The
// previous owner may have started tasks, so the claim must not be voided before the candidates are
// fenced.
func TestGivenUpTakeoverFencesBeforeVoiding(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(1, true, true, 1)
	h.flush()
	h.rejectWrite(lostOwner(1, 1, 2), 5)
	h.flush()
	h.core.PeerReplied(h.now, "c/team/key", 9, PeerRefused, nil)
	h.flush()
	takeover := h.out
	h.now = h.now.Add(11 * time.Second)
	h.flush()
	h.is.Equal(h.out.Answers[0].Outcome.Kind, errkind.FateUnknown)
	h.out = takeover
	h.applyWrite(6)
	h.flush()
	h.is.Equal(len(h.out.Writes), 0)
	h.is.Equal(len(h.out.Sends), 2) // a fence for each candidate
}

// TestGatherOnlySubmissionStartsNothing: a submission is resumed without its request, and a
// candidate ends without an answer to its fence. The task in doubt must not be started, since
// nothing but its number is known.
func TestGatherOnlySubmissionStartsNothing(t *testing.T) {
	h := newHarness(t, 2)
	row := lostOwner(1, 1, 3) // agent 3 is not known here
	h.core.Resume(h.now, row, 5, nil)
	h.flush()
	h.applyWrite(6)
	h.flush()
	h.core.AgentEnded(h.now, agentID(3))
	h.fenceReply(1)
	h.flush()
	h.is.Equal(h.starts(), 0)
	h.is.Equal(h.out.Writes[0].Row.Outcome.Kind, errkind.FateUnknown)
}

// TestTaskWithAttemptInFlightIsUnknown: a submission is canceled while the retry of a failed
// attempt is in flight. The task may still run, so that it must not be reported as ended.
func TestTaskWithAttemptInFlightIsUnknown(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(1, true, true, 1)
	h.flush()
	h.applyWrite(1)
	h.flush()
	send := h.out.Sends[0]
	h.core.Receive(h.now, send.Link, &wire.ToEntry{Results: []*wire.Result{{Submission: "c/team/key", Attempt: 1, Kind: errkind.TaskFailed}}})
	h.flush()
	h.is.Equal(h.starts(), 1) // the retry
	h.core.Cancel(h.now, "c/team/key")
	h.flush()
	h.is.Equal(h.out.Writes[0].Row.Outcome.Tasks[0].Ran, errkind.MaybeRan)
}

// TestLateCallerIsAnswered: a caller attaches to a submission whose deadline has passed and whose
// claim has no definite result. It must be answered at its own deadline.
func TestLateCallerIsAnswered(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(1, true, false, 1)
	h.flush() // the result of the claim's write never arrives
	h.now = h.now.Add(11 * time.Second)
	h.flush()
	h.submit(2, true, false, 1)
	h.now = h.now.Add(11 * time.Second)
	h.flush()
	h.is.Equal(len(h.out.Answers), 1)
	h.is.Equal(h.out.Answers[0].Request, uint64(2))
}

func TestEndedCandidateMayHaveStarted(t *testing.T) {
	h := newHarness(t, 2)
	h.link(2, 2) // agent 2 has restarted, so incarnation 1 has ended
	h.takeOver(false, 1, 1, 2)
	h.fenceReply(1)
	h.flush()
	h.is.Equal(h.starts(), 0)
	h.is.Equal(h.out.Writes[0].Row.Outcome.Kind, errkind.FateUnknown)
}

func TestRepeatableTaskInDoubtWaitsForItsMaxRun(t *testing.T) {
	h := newHarness(t, 2)
	h.link(2, 2)
	h.takeOver(true, 1, 1, 2)
	h.fenceReply(1)
	h.flush()
	h.is.Equal(h.starts(), 0)
	h.now = h.now.Add(time.Second)
	h.flush()
	h.is.Equal(h.starts(), 1)
}

func TestNonRepeatableCallIsNeverSentTwice(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(1, false, false, 1)
	h.flush()
	link := h.out.Sends[0].Link
	h.core.LinkDown(h.now, link)
	h.flush()
	h.is.Equal(h.starts(), 0)
	h.core.AgentEnded(h.now, h.core.incarnations[agentName(uint64(link)/100)])
	h.flush()
	h.is.Equal(h.starts(), 0)
	h.is.Equal(h.out.Answers[0].Outcome.Kind, errkind.FateUnknown)
}

func TestNotRunRefusalAllowsAnotherAgent(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(1, false, false, 1)
	h.flush()
	first := h.out.Sends[0].Link
	h.core.Receive(h.now, first, &wire.ToEntry{NotAccepting: true, Results: []*wire.Result{
		{Submission: "c/team/key", Attempt: 1, Kind: errkind.Draining, NotRun: true},
	}})
	h.flush()
	h.is.Equal(h.starts(), 1)
	h.is.True(h.out.Sends[0].Link != first)
}

func TestCorruptResultIsRequestedAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(1, false, false, 1)
	h.flush()
	h.core.Receive(h.now, h.out.Sends[0].Link, &wire.ToEntry{Results: []*wire.Result{
		{Submission: "c/team/key", Attempt: 1, Payload: []byte("x"), Checksum: 1},
	}})
	h.flush()
	h.is.Equal(len(h.out.Answers), 0)
	h.is.Equal(len(h.out.Sends[0].Msg.Fences), 1)
}

func TestInfeasibleNamesTheFailedTerm(t *testing.T) {
	h := newHarness(t, 1)
	selector, err := label.Parse("selector", "rack=1,gpu")
	h.is.NoErr(err)
	h.core.Submit(h.now, &Request{ID: 1, Submission: "u/1", Team: "team", Weight: 1, Deadline: time.Second,
		Tasks: []TaskSpec{{Service: "tally", Kind: "scan", Selector: selector}}})
	h.flush()
	outcome := h.out.Answers[0].Outcome
	h.is.Equal(outcome.Kind, errkind.Infeasible)
	h.is.Equal(outcome.Detail, "tasks[0].selector: no worker, awake or asleep, matches gpu")
}

func TestQuotaRefusesFurtherTasks(t *testing.T) {
	h := newHarness(t, 1)
	r := &Request{ID: 9, Submission: "q", Team: "team", Weight: 1, Quota: 1, Deadline: time.Second}
	r.Tasks = []TaskSpec{{Service: "tally", Kind: "scan"}}
	h.core.Submit(h.now, r)
	again := *r
	again.ID, again.Submission = 10, "q2"
	h.core.Submit(h.now, &again)
	h.flush()
	last := h.out.Answers[len(h.out.Answers)-1]
	h.is.Equal(last.Request, uint64(10))
	h.is.Equal(last.Outcome.Kind, errkind.QuotaExceeded)
}

func TestNothingStartsAfterTheEntryLeaseExpires(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(1, true, false, 1)
	h.flush()
	h.core.SetLease(h.now.Add(-time.Second))
	h.applyWrite(1)
	h.flush()
	h.is.Equal(h.starts(), 0)
}

// TestRetryAvoidsTheFailedAgentWhileOthersAreBusy: a worker that fails every task at once has free
// slots while the others are busy. A retry must not return to it while another agent is up.
func TestRetryAvoidsTheFailedAgentWhileOthersAreBusy(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(1, false, true, 4) // both slots of both agents
	h.flush()
	failed := h.out.Sends[0]
	h.core.Receive(h.now, failed.Link, &wire.ToEntry{Results: []*wire.Result{
		{Submission: "c/team/key", Index: failed.Msg.Starts[0].Tasks[0].Index, Attempt: 1, Kind: errkind.TaskFailed},
	}})
	h.flush()
	h.is.Equal(h.starts(), 0) // the retry waits for the other agent
}

// TestRefusalsDoNotCountAsFailures: attempts that agents refuse must not count towards
// MaxFailures: otherwise a task that was refused several times fails with its first failure.
func TestRefusalsDoNotCountAsFailures(t *testing.T) {
	h := newHarness(t, 3)
	h.submit(1, false, true, 1)
	h.flush()
	for number := uint32(1); number <= 6; number++ {
		h.core.Receive(h.now, h.out.Sends[0].Link, &wire.ToEntry{Results: []*wire.Result{
			{Submission: "c/team/key", Attempt: number, Kind: errkind.Overloaded, NotRun: true},
		}})
		h.flush()
	}
	h.core.Receive(h.now, h.out.Sends[0].Link, &wire.ToEntry{Results: []*wire.Result{
		{Submission: "c/team/key", Attempt: 7, Kind: errkind.TaskFailed},
	}})
	h.flush()
	h.is.Equal(h.starts(), 1) // the first failure is retried
}

// TestClaimWriteAfterTheDeadlineIsSentAndEnds: another entry takes a submission over after its
// deadline. The write that reads the claim must not expire at the deadline: it would never be
// sent, and be repeated without end.
func TestClaimWriteAfterTheDeadlineIsSentAndEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(1, true, false, 1)
	h.flush()
	h.applyWrite(1)
	h.flush()
	h.now = h.now.Add(11 * time.Second)
	h.flush() // the deadline: the outcome is written
	row := lostOwner(1, 1)
	row.Epoch = 2
	h.rejectWrite(row, 5)
	h.flush()
	h.core.PeerReplied(h.now, "c/team/key", 9, PeerAnswered, &wire.AwaitReply{})
	h.now = h.now.Add(time.Second)
	h.flush()
	w := h.out.Writes[0]
	h.is.True(w.Expires.After(h.now))
	h.core.ClaimWritten(h.now, claim.Result{Submission: w.Row.Submission, Nonce: w.Row.Nonce, Status: claim.NotSent})
	h.flush()
	h.is.Equal(h.out.Answers[0].Outcome.Kind, errkind.FateUnknown)
	h.is.Equal(h.core.OpenSubmissions(), 0)
}
