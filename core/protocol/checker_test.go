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

// request is one caller's request in the history.
type request struct {
	submission string
	sentAt     time.Time
	tasks      int
	// peer is set for a question of another entry, which is no caller.
	peer func(*wire.Outcome)
	// gone tells that entry that the connection broke.
	gone func()
}

// runRecord is one start in a backend server.
type runRecord struct {
	submission string
	index      uint32
	at         time.Time
	running    bool
}

// subRecord is the history of one submission.
type subRecord struct {
	repeatable bool
	claimed    bool
	starts     map[uint32][]*runRecord
	open       int
	answers    []*wire.Outcome
	recorded   *wire.Outcome
	// notRunOnly is true while every answer so far proved "not run".
	notRunOnly bool
	closed     *claim.Row
	history    []porcupine.Operation
}

// checker keeps the history and the invariants.
type checker struct {
	world      *world
	subs       map[string]*subRecord
	violations []string
	lost       int
	completed  int
	refused    int
	unknown    int
}

func newChecker(w *world) *checker { return &checker{world: w, subs: make(map[string]*subRecord)} }

func (c *checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
	c.world.note("VIOLATION "+format, args...)
}

func (c *checker) sub(name string) *subRecord {
	s := c.subs[name]
	if s == nil {
		s = &subRecord{starts: make(map[uint32][]*runRecord)}
		c.subs[name] = s
	}
	return s
}

// submitted records a caller's request.
func (c *checker) submitted(r *request, spec *dispatch.Request) {
	s := c.sub(r.submission)
	s.repeatable = spec.Tasks[0].Repeatable
	s.claimed = spec.Claimed
	s.open++
	s.notRunOnly = false
}

// unanswered records that the entry of a request crashed.
func (c *checker) unanswered(r *request) {
	if r.peer != nil {
		r.gone()
		return
	}
	c.lost++
}

// started checks "no task of a submission starts twice".
func (c *checker) started(e agentcore.Execution, agent string) *runRecord {
	s := c.sub(e.ID.Submission)
	c.world.note("start %v on %s", e.ID, agent)
	for _, before := range s.starts[e.ID.Index] {
		switch {
		case !s.repeatable:
			c.violate("%v started twice", e.ID)
		case s.claimed && before.running:
			c.violate("%v started while an earlier start still runs", e.ID)
		}
	}
	if s.notRunOnly {
		c.violate("%v started after every caller was told that it did not run", e.ID)
	}
	c.afterOutcome(e, s)
	run := &runRecord{submission: e.ID.Submission, index: e.ID.Index, at: c.world.now, running: true}
	s.starts[e.ID.Index] = append(s.starts[e.ID.Index], run)
	return run
}

// afterOutcome checks a start against the recorded outcome. A task that the
// outcome calls unknown may still start: its message was under way.
func (c *checker) afterOutcome(e agentcore.Execution, s *subRecord) {
	if s.closed == nil || s.closed.Phase != claim.Closed {
		return
	}
	if o := s.closed.Outcome; o.Tasks[e.ID.Index].Ran != errkind.Unknown {
		c.violate("%v started after the outcome recorded it as %s", e.ID, o.Tasks[e.ID.Index].Ran)
	}
}

func (c *checker) ended(run *runRecord) { run.running = false }

// written follows the claim in the table.
func (c *checker) written(row *claim.Row) {
	s := c.sub(row.Submission)
	c.world.note("claim %s epoch %d phase %d owner %s/%d", row.Submission, row.Epoch, row.Phase, row.Owner.ID, row.Owner.Incarnation)
	if s.closed != nil && s.closed.Phase == claim.Closed {
		c.violate("%s: a recorded outcome was replaced", row.Submission)
	}
	s.closed = nil
	if row.Phase != claim.Running {
		s.closed = row
	}
	if row.Phase == claim.Void {
		for index, runs := range s.starts {
			if len(runs) > 0 {
				c.violate("%s/%d: voided although it started", row.Submission, index)
			}
		}
	}
}

// readWindow bounds the time between a look at the claim and the answer.
const readWindow = 20 * time.Millisecond

// answered checks an answer to a caller.
func (c *checker) answered(r *request, o *wire.Outcome) {
	if r.peer != nil {
		r.peer(o)
		return
	}
	s := c.sub(r.submission)
	s.open--
	c.world.note("answer %s %s ran=%s tasks=%d %s", r.submission, o.Kind, o.Ran(), len(o.Tasks), o.Detail)
	s.answers = append(s.answers, o)
	c.operation(r, s, o)
	switch {
	case o.Kind == errkind.OK:
		c.completed++
		c.whole(r, o)
		c.recordedOnce(r.submission, s, o)
	case o.Kind == errkind.KeyConflict:
		c.violate("%s: conflict of a request with itself", r.submission)
	case o.Ran() == errkind.NotRun:
		c.refused++
		c.notRun(r, s)
		s.notRunOnly = s.open == 0 && allNotRun(s.answers)
	default:
		c.unknown++
		if len(o.Tasks) > 0 {
			c.recordedOnce(r.submission, s, o)
			c.tasksTrue(r.submission, s, o)
		}
	}
}

func allNotRun(answers []*wire.Outcome) bool {
	for _, o := range answers {
		if o.Ran() != errkind.NotRun {
			return false
		}
	}
	return true
}

// whole checks that the answer is complete and belongs to the request.
func (c *checker) whole(r *request, o *wire.Outcome) {
	if len(o.Tasks) != r.tasks {
		c.violate("%s: partial answer: %d of %d", r.submission, len(o.Tasks), r.tasks)
		return
	}
	for i, t := range o.Tasks {
		if string(t.Payload) != result(r.submission, uint32(i)) {
			c.violate("%s/%d: answer of another request: %q", r.submission, i, t.Payload)
		}
	}
}

// recordedOnce checks that no two callers read two outcomes.
func (c *checker) recordedOnce(name string, s *subRecord, o *wire.Outcome) {
	if !s.claimed {
		return
	}
	if s.recorded != nil && s.recorded.Kind != o.Kind {
		c.violate("%s: two outcomes: %s and %s", name, s.recorded.Kind, o.Kind)
	}
	s.recorded = o
}

// notRun checks "a refusal that says not run is true".
func (c *checker) notRun(r *request, s *subRecord) {
	for index, runs := range s.starts {
		for _, run := range runs {
			if run.at.Before(c.world.now.Add(-readWindow)) {
				c.violate("%s/%d: told not run, but it started at %v", r.submission, index, run.at.Sub(epochStart))
			}
		}
	}
}

// tasksTrue checks what a failed answer says of each task.
func (c *checker) tasksTrue(name string, s *subRecord, o *wire.Outcome) {
	for i, t := range o.Tasks {
		if t.Ran == errkind.NotRun && len(s.starts[uint32(i)]) > 0 {
			c.violate("%s/%d: the failed answer says not run, but it started", name, i)
		}
	}
}

// finish checks progress: nothing is left open when faults have stopped.
func (c *checker) finish() {
	c.linearizable()
	for _, e := range c.world.entries {
		for _, r := range e.open {
			if r.peer == nil {
				c.violate("%s: a request was never answered", r.submission)
			}
		}
		if n := e.core.Open(); n > 0 {
			c.violate("%s: %d submissions never ended", e.id, n)
		}
	}
	for name, s := range c.world.table.rows {
		if row, _ := claim.Decode(s.data); row.Phase == claim.Running {
			c.violate("%s: its claim is still open", name)
		}
	}
}
