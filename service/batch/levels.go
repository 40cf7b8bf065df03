package batch

import (
	"math"
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/service/telemetry"
	"peridotpick.example/wire/runs"
)

// setLevels sets the levels of work that the next messages to other entries contain.
func (p *peers) setLevels(levels []runs.Level) {
	p.mu.Lock()
	p.levels = levels
	p.mu.Unlock()
}

// receiveLevels hands the levels of another entry to the core.
func (p *peers) receiveLevels(entry string, levels []runs.Level) {
	if len(levels) == 0 {
		return
	}
	p.entry.post(func(c *core.Core, now time.Time) { c.MergeLevels(now, entry, levels) })
}

// shareGaugesInterval is the interval at which the metrics of shares are updated.
const shareGaugesInterval = time.Second

// updateShareGauges updates the metrics of who is served.
func (e *Entry) updateShareGauges() {
	if e.tickedAt.Sub(e.shareGaugesAt) < shareGaugesInterval {
		return
	}
	e.shareGaugesAt = e.tickedAt
	for queue, share := range e.core.ServedShares(e.tickedAt) {
		telemetry.SetGauge("served_percent."+queue, e.deps.Metrics, int64(math.Round(100*share)))
	}
}
