package dispatch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/rank"
)

// Stats are the counters of an entry since it started.
type Stats struct {
	// Submissions admitted, and requests refused, attached and answered.
	Admitted, Refused, Attached, Completed, Failed uint64
	// Starts counts attempts sent; Ran those that ended after running.
	Starts, Ran uint64
	// MessagesSent counts messages to agents.
	MessagesSent uint64
	// Wasted messages by cause; each refused or extra attempt counts its send
	// and its answer.
	WastedRefused, WastedRetry, WastedHedge, WastedCancel uint64
	WastedFence, WastedUnmatched, WastedAck               uint64
	// Takeovers, fences sent, agents ejected.
	Takeovers, Fences, Ejected uint64
	// Corrupt counts results whose checksum did not match.
	Corrupt uint64
}

// Wasted returns the sum of wasted messages.
func (s Stats) Wasted() uint64 {
	return s.WastedRefused + s.WastedRetry + s.WastedHedge + s.WastedCancel +
		s.WastedFence + s.WastedUnmatched + s.WastedAck
}

// DecisionKind names a routing or placement decision.
type DecisionKind string

// Kinds of decisions.
const (
	Placed   DecisionKind = "placed"
	Hedged   DecisionKind = "hedged"
	Retried  DecisionKind = "retried"
	Refused  DecisionKind = "refused"
	Ejection DecisionKind = "ejected"
	TookOver DecisionKind = "took over"
	Widened  DecisionKind = "widened"
)

// Decision is one routing or placement decision, for the log.
type Decision struct {
	Kind       DecisionKind
	Submission string
	Task       uint32
	Attempt    uint32
	Agent      rank.ID
	RunnerUp   rank.ID
	// Expected finish of the choice and of the runner-up; zero if not ranked.
	Finish, RunnerUpFinish time.Duration
	Reason                 errkind.Kind
}

func (c *Core) decide(d Decision) { c.out.Decisions = append(c.out.Decisions, d) }
