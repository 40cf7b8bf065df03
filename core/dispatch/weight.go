package dispatch

// Bounds between which the response weight moves the settings. They come from
// the curve in docs/MEASUREMENTS.md.
const (
	maxHedgeShare  = 0.05
	minHedgeFactor = 1.5
	maxHedgeFactor = 4.0
	minAwayMargin  = 1.5
	maxAwayMargin  = 3.0
	// refuseWeight is the weight from which a shorter wait is worth a refusal.
	refuseWeight = 0.5
)

// Weigh sets what trades response time against wasted messages: weight 0 means
// the fewest messages, 1 the shortest response times.
func (s *Settings) Weigh(weight float64) {
	s.HedgeShare = maxHedgeShare * weight
	s.Rank.AwayMargin = maxAwayMargin - (maxAwayMargin-minAwayMargin)*weight
	s.Rank.AwayRefuse = weight >= refuseWeight
	s.HedgeFactor = maxHedgeFactor - (maxHedgeFactor-minHedgeFactor)*weight
}
