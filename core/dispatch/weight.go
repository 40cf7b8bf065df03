package dispatch

// Ranges of the settings that depend on the response weight. The measurements behind them are in
// docs/MEASUREMENTS.md.
const (
	maxHedgeShare  = 0.05
	minHedgeFactor = 1.5
	maxHedgeFactor = 4.0
	minAwayMargin  = 1.5
	maxAwayMargin  = 3.0
	// awayNoWaitWeight is the weight from which away agents (see package rank) refuse a task that
	// would have to wait: the shorter wait is then worth the two messages of a refusal.
	awayNoWaitWeight = 0.5
)

// SetResponseWeight derives the settings that trade response time against wasted messages from a
// weight between 0 (fewest messages) and 1 (shortest response times).
func (s *Settings) SetResponseWeight(weight float64) {
	s.HedgeShare = maxHedgeShare * weight
	s.Rank.AwayMargin = maxAwayMargin - (maxAwayMargin-minAwayMargin)*weight
	s.Rank.AwayNoWait = weight >= awayNoWaitWeight
	s.HedgeFactor = maxHedgeFactor - (maxHedgeFactor-minHedgeFactor)*weight
}
