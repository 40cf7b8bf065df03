package dispatch

import (
	"time"

	"peridotpick.example/core/rank"
)

// Settings are the limits and weights of an entry.
type Settings struct {
	Rank rank.Params
	// MaxWaiting bounds the tasks that wait for an agent.
	MaxWaiting int
	// MaxFailures is the number of failed attempts that end a repeatable task.
	MaxFailures int
	// RetryBurst and RetryShare bound retries: a burst, refilled by a share of
	// each completed task.
	RetryBurst float64
	RetryShare float64
	// HedgeBurst and HedgeShare bound hedges in the same way; a zero share
	// turns hedging off.
	HedgeBurst float64
	HedgeShare float64
	// HedgeFactor times the learned upper quantile of run times is when a
	// running task counts as a straggler.
	HedgeFactor float64
	// SpareSlots is the number of slots at each agent that a team with more than
	// its share leaves free while other teams are active, so that these need not
	// wait for one.
	SpareSlots float64
	// ClaimWait bounds the time a claim waits to be sent to the table service.
	ClaimWait time.Duration
	// PeerRetry is the pause before another entry is asked again.
	PeerRetry time.Duration
	// CandidateWait is how long a task may wait for its submission's candidate
	// agents before more are added to the claim.
	CandidateWait time.Duration
	// Spares is the number of candidate agents beyond those needed.
	Spares int
	// AckDelay is how long acknowledgements wait for a message to ride on.
	AckDelay time.Duration
	// ClassShare is the part of MaxWaiting that each class may fill.
	ClassShare [Classes]float64
}

// Classes is the number of urgency classes; 0 is the most urgent.
const Classes = 3

// Class names of the wire.
const (
	Urgent uint8 = iota
	Interactive
	Batch
)

// DefaultSettings returns the settings used unless configured otherwise.
func DefaultSettings() Settings {
	return Settings{
		Rank:          rank.DefaultParams(),
		MaxWaiting:    8192,
		MaxFailures:   4,
		RetryBurst:    64,
		RetryShare:    0.1,
		HedgeBurst:    16,
		HedgeShare:    0.02,
		HedgeFactor:   2,
		SpareSlots:    1,
		ClaimWait:     time.Second,
		PeerRetry:     200 * time.Millisecond,
		CandidateWait: 300 * time.Millisecond,
		Spares:        3,
		AckDelay:      5 * time.Second,
		ClassShare:    [Classes]float64{1, 0.8, 0.6},
	}
}

// bucket is a token bucket filled by events instead of time.
type bucket struct{ tokens, max float64 }

func (b *bucket) earn(share float64) { b.tokens = min(b.max, b.tokens+share) }

func (b *bucket) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
