package dispatch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/rank"
)

// Stats are the counters of an entry since it started.
type Stats struct {
	// Admitted counts submissions, Refused and Attached requests, Completed and Failed submissions
	// by their outcome.
	Admitted, Refused, Attached, Completed, Failed uint64
	// Starts counts attempts sent; Ran those that succeeded or failed.
	Starts, Ran uint64
	// MessagesSent counts messages to agents.
	MessagesSent uint64
	// The Wasted counters count messages that did not bring a task closer to its completion, by
	// cause. A refused batch or a failed attempt counts as two, the start and its answer.
	WastedRefused, WastedRetry, WastedHedge, WastedCancel uint64
	WastedFence, WastedUnmatched, WastedAck               uint64
	// Takeovers counts claims taken over, Fences the fences sent, Ejected the agents ejected.
	Takeovers, Fences, Ejected uint64
	// Corrupt counts results whose checksum did not match.
	Corrupt uint64
}

// Wasted returns the sum of the Wasted counters.
func (s Stats) Wasted() uint64 {
	return s.WastedRefused + s.WastedRetry + s.WastedHedge + s.WastedCancel +
		s.WastedFence + s.WastedUnmatched + s.WastedAck
}

// DecisionKind is the kind of a decision. Its text appears in the log.
type DecisionKind string

// Kinds of decisions.
const (
	// Placed: the attempt was sent to an agent.
	Placed DecisionKind = "placed"
	// Hedged: a second attempt of a straggler was sent.
	Hedged DecisionKind = "hedged"
	// Retried: a failed task waits for another attempt.
	Retried DecisionKind = "retried"
	// Refused: the submission was not admitted.
	Refused DecisionKind = "refused"
	// Ejection: the agent receives no tasks but probes.
	Ejection DecisionKind = "ejected"
	// TookOver: the claim of another owner is being replaced.
	TookOver DecisionKind = "took over"
	// Widened: candidates are being added to the claim.
	Widened DecisionKind = "widened"
)

// Decision is one routing or placement decision, for the log.
type Decision struct {
	Kind       DecisionKind
	Submission string
	Task       uint32
	Attempt    uint32
	Agent      rank.ID
	// RunnerUp is the agent with the second best expected finish.
	RunnerUp rank.ID
	// ExpectedTime and RunnerUpExpectedTime are the expected times to completion at Agent and
	// RunnerUp; zero if the agents were not ranked.
	ExpectedTime, RunnerUpExpectedTime time.Duration
	// Reason is set for refusals, retries and ejections.
	Reason errkind.Kind
}

// recordDecision adds a decision to the output.
func (c *Core) recordDecision(d Decision) { c.out.Decisions = append(c.out.Decisions, d) }
