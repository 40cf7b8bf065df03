package protocol

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/agentcore"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/wire"
)

// request is a request to an entry that is not answered yet: of a caller, or of another entry.
type request struct {
	submission string
	sentAt     time.Time
	tasks      int
	// answerPeer delivers the answer if another entry asked; nil for a request of a caller.
	answerPeer func(*wire.Outcome)
	// failPeer reports to the other entry that the connection broke.
	failPeer func()
}

// runRecord is one execution in a backend server.
type runRecord struct {
	submission string
	index      uint32
	at         time.Time
	running    bool
}

// submissionRecord is the history of one submission.
type submissionRecord struct {
	repeatable bool
	claimed    bool
	// starts are the executions of each task, by index.
	starts map[uint32][]*runRecord
	// openRequests is the number of unanswered requests of callers.
	openRequests int
	answers      []*wire.Outcome
	// recordedOutcome is the outcome that a caller of a keyed submission read last.
	recordedOutcome *wire.Outcome
	// allAnsweredNotRun is set while all requests are answered, each with "not run".
	allAnsweredNotRun bool
	// closedRow is the claim if it is closed or void.
	closedRow *claim.Row
	history   []porcupine.Operation
}

// checker records the history of a simulation and checks the guarantees to callers.
type checker struct {
	sim        *simulation
	subs       map[string]*submissionRecord
	violations []string
	// unansweredRequests, completed, refused and unknown count the requests of callers by their
	// end.
	unansweredRequests int
	completed          int
	refused            int
	unknown            int
}

func newChecker(sim *simulation) *checker {
	return &checker{sim: sim, subs: make(map[string]*submissionRecord)}
}

// violationf records a violation and writes it to the trace.
func (c *checker) violationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
	c.sim.tracef("VIOLATION "+format, args...)
}

// record returns the history of a submission and creates it if there is none.
func (c *checker) record(name string) *submissionRecord {
	s := c.subs[name]
	if s == nil {
		s = &submissionRecord{starts: make(map[uint32][]*runRecord)}
		c.subs[name] = s
	}
	return s
}

// recordSubmit records a request of a caller.
func (c *checker) recordSubmit(r *request, spec *dispatch.Request) {
	s := c.record(r.submission)
	s.repeatable = spec.Tasks[0].Repeatable
	s.claimed = spec.Claimed
	s.openRequests++
	s.allAnsweredNotRun = false
}

// recordUnanswered records that the entry of a request crashed before the answer.
func (c *checker) recordUnanswered(r *request) {
	if r.answerPeer != nil {
		r.failPeer()
		return
	}
	c.unansweredRequests++
}

// checkStart records the start of an execution. It checks that a task which must not be repeated
// starts once, that a task of a keyed submission never runs twice at once, and that nothing starts
// after callers were told that it did not run.
func (c *checker) checkStart(e agentcore.Execution, agent string) *runRecord {
	s := c.record(e.ID.Submission)
	c.sim.tracef("start %v on %s", e.ID, agent)
	for _, before := range s.starts[e.ID.Index] {
		switch {
		case !s.repeatable:
			c.violationf("%v started twice, but must not be repeated", e.ID)
		case s.claimed && before.running:
			c.violationf("%v started while an earlier execution of the task is running", e.ID)
		}
	}
	if s.allAnsweredNotRun {
		c.violationf("%v started after every caller got the answer that it did not run", e.ID)
	}
	c.checkStartAfterOutcome(e, s)
	run := &runRecord{submission: e.ID.Submission, index: e.ID.Index, at: c.sim.now, running: true}
	s.starts[e.ID.Index] = append(s.starts[e.ID.Index], run)
	return run
}

// checkStartAfterOutcome checks a start against the recorded outcome. A task whose state in the
// outcome is unknown may still start, since its start message may have been in transit.
func (c *checker) checkStartAfterOutcome(e agentcore.Execution, s *submissionRecord) {
	if s.closedRow == nil || s.closedRow.Phase != claim.Closed {
		return
	}
	if o := s.closedRow.Outcome; o.Tasks[e.ID.Index].Ran != errkind.MaybeRan {
		c.violationf("%v started after the outcome recorded it as %s", e.ID, o.Tasks[e.ID.Index].Ran)
	}
}

func (c *checker) recordEnd(run *runRecord) { run.running = false }

// checkClaimWrite records a write of a claim. It checks that a recorded outcome is not replaced and
// that no submission is voided that has started.
func (c *checker) checkClaimWrite(row *claim.Row) {
	s := c.record(row.Submission)
	c.sim.tracef("claim %s epoch %d phase %d owner %s/%d", row.Submission, row.Epoch, row.Phase, row.Owner.ID, row.Owner.Incarnation)
	if s.closedRow != nil && s.closedRow.Phase == claim.Closed {
		c.violationf("%s: recorded outcome was replaced", row.Submission)
	}
	s.closedRow = nil
	if row.Phase != claim.Running {
		s.closedRow = row
	}
	if row.Phase == claim.Void {
		for index, runs := range s.starts {
			if len(runs) > 0 {
				c.violationf("%s/%d: submission was voided after the task had started", row.Submission, index)
			}
		}
	}
}

// claimReadWindow is the longest time between the read of a claim and the answer that follows from
// it. A start within it does not contradict the answer.
const claimReadWindow = 20 * time.Millisecond

// checkAnswer checks the answer to a request of a caller, and passes on the answer to another
// entry.
func (c *checker) checkAnswer(r *request, o *wire.Outcome) {
	if r.answerPeer != nil {
		r.answerPeer(o)
		return
	}
	s := c.record(r.submission)
	s.openRequests--
	c.sim.tracef("answer %s %s ran=%s tasks=%d %s", r.submission, o.Kind, o.Ran(), len(o.Tasks), o.Detail)
	s.answers = append(s.answers, o)
	c.addOperation(r, s, o)
	switch {
	case o.Kind == errkind.OK:
		c.completed++
		c.checkComplete(r, o)
		c.checkSingleOutcome(r.submission, s, o)
	case o.Kind == errkind.KeyConflict:
		c.violationf("%s: key conflict although the request is the same", r.submission)
	case o.Ran() == errkind.NotRun:
		c.refused++
		c.checkNotRun(r, s)
		s.allAnsweredNotRun = s.openRequests == 0 && allNotRun(s.answers)
	default:
		c.unknown++
		if len(o.Tasks) > 0 {
			c.checkSingleOutcome(r.submission, s, o)
			c.checkTaskStates(r.submission, s, o)
		}
	}
}

// allNotRun reports whether every answer says "not run".
func allNotRun(answers []*wire.Outcome) bool {
	for _, o := range answers {
		if o.Ran() != errkind.NotRun {
			return false
		}
	}
	return true
}

// checkComplete checks that the answer has the result of every task of the request.
func (c *checker) checkComplete(r *request, o *wire.Outcome) {
	if len(o.Tasks) != r.tasks {
		c.violationf("%s: answer has results of %d of %d tasks", r.submission, len(o.Tasks), r.tasks)
		return
	}
	for i, t := range o.Tasks {
		if string(t.Payload) != payloadOf(r.submission, uint32(i)) {
			c.violationf("%s/%d: result of another task: %q", r.submission, i, t.Payload)
		}
	}
}

// checkSingleOutcome checks that no two callers read different outcomes of a keyed submission.
func (c *checker) checkSingleOutcome(name string, s *submissionRecord, o *wire.Outcome) {
	if !s.claimed {
		return
	}
	if s.recordedOutcome != nil && s.recordedOutcome.Kind != o.Kind {
		c.violationf("%s: callers read two outcomes: %s and %s", name, s.recordedOutcome.Kind, o.Kind)
	}
	s.recordedOutcome = o
}

// checkNotRun checks that no task of a submission had started when the caller was told that it did
// not run, except within claimReadWindow.
func (c *checker) checkNotRun(r *request, s *submissionRecord) {
	for index, runs := range s.starts {
		for _, run := range runs {
			if run.at.Before(c.sim.now.Add(-claimReadWindow)) {
				c.violationf("%s/%d: answered as not run, but started at %v", r.submission, index, run.at.Sub(epochStart))
			}
		}
	}
}

// checkTaskStates checks that a failed answer says "not run" only of tasks that did not start.
func (c *checker) checkTaskStates(name string, s *submissionRecord, o *wire.Outcome) {
	for i, t := range o.Tasks {
		if t.Ran == errkind.NotRun && len(s.starts[uint32(i)]) > 0 {
			c.violationf("%s/%d: failed answer says not run, but the task started", name, i)
		}
	}
}

// checkProgress checks that no request, submission or claim is open at the end of a simulation, and
// that the histories are linearizable.
func (c *checker) checkProgress() {
	c.checkLinearizable()
	for _, e := range c.sim.entries {
		for _, r := range e.openRequests {
			if r.answerPeer == nil {
				c.violationf("%s: request was never answered", r.submission)
			}
		}
		if n := e.core.OpenSubmissions(); n > 0 {
			c.violationf("%s: %d submissions never ended", e.id, n)
		}
	}
	for name, s := range c.sim.table.rows {
		if row, _ := claim.Decode(s.data); row.Phase == claim.Running {
			c.violationf("%s: claim is still open", name)
		}
	}
}
