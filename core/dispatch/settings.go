package dispatch

import (
	"time"

	"peridotpick.example/core/rank"
)

// Settings are the limits and weights of an entry.
type Settings struct {
	Rank rank.Params
	// MaxWaiting is the number of tasks that may be open beyond the slots of all agents.
	MaxWaiting int
	// MaxFailures is the number of failed attempts after which a repeatable task has failed.
	MaxFailures int
	// RetryBurst is the capacity of the token bucket that limits retries, one token each. Each
	// successful attempt adds RetryShare tokens.
	RetryBurst float64
	RetryShare float64
	// HedgeBurst is the capacity of the token bucket that limits hedges, one token each. Each
	// attempt that may be hedged adds HedgeShare tokens; a zero share turns hedging off.
	HedgeBurst float64
	HedgeShare float64
	// HedgeFactor times the measured upper quantile of run times is the run time from which a task
	// is a straggler and may be hedged.
	HedgeFactor float64
	// SpareSlots is the number of slots at each agent that a team which uses its whole share leaves
	// free while other teams are active, so that these need not wait for a slot.
	SpareSlots float64
	// ClaimWait is how long the insertion of a claim may wait to be sent to the table service, and
	// how long callers wait for the status of a write that was sent and not answered.
	ClaimWait time.Duration
	// PeerRetryPause is the pause before another entry is asked again and before a claim write is
	// repeated.
	PeerRetryPause time.Duration
	// CandidateWait is how long tasks may wait for the candidates of their submission before more
	// candidates are added to the claim.
	CandidateWait time.Duration
	// SpareCandidates is the number of candidates beyond those that the tasks need.
	SpareCandidates int
	// AckDelay is how long an acknowledgement waits to be piggybacked on another message before it
	// is sent on its own.
	AckDelay time.Duration
	// ClassShare is the part of MaxWaiting that applies to submissions of each class.
	ClassShare [Classes]float64
}

// Classes is the number of urgency classes; 0 is the most urgent.
const Classes = 3

// Urgency classes, as numbered in messages.
const (
	Urgent uint8 = iota
	Interactive
	Batch
)

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Rank:            rank.DefaultParams(),
		MaxWaiting:      8192,
		MaxFailures:     4,
		RetryBurst:      64,
		RetryShare:      0.1,
		HedgeBurst:      16,
		HedgeShare:      0.02,
		HedgeFactor:     2,
		SpareSlots:      1,
		ClaimWait:       time.Second,
		PeerRetryPause:  200 * time.Millisecond,
		CandidateWait:   300 * time.Millisecond,
		SpareCandidates: 3,
		AckDelay:        5 * time.Second,
		ClassShare:      [Classes]float64{1, 0.8, 0.6},
	}
}

// tokenBucket is a token bucket that is refilled by events instead of time.
type tokenBucket struct{ tokens, max float64 }

// add adds share tokens, up to the capacity.
func (b *tokenBucket) add(share float64) { b.tokens = min(b.max, b.tokens+share) }

// take removes one token and reports whether there was one.
func (b *tokenBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
