package entry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
)

// publishStats copies the core's state into the metrics registry. The event loop calls it every
// statsInterval.
func (e *Entry) publishStats() {
	stats := e.core.Stats()
	e.stats.Store(&stats)
	e.setGauge("core.open", int64(e.core.OpenSubmissions()))
	e.setGauge("core.waiting", int64(e.core.WaitingTasks()))
	e.setGauge("core.links", int64(e.links.openLinks()))
	e.setGauge("core.events", int64(e.events.Len()))
	e.setGauge("config.version", int64(e.configVersion()))
	counters := []struct {
		name  string
		value uint64
	}{
		{"core.admitted", stats.Admitted}, {"core.refused", stats.Refused}, {"core.attached", stats.Attached},
		{"core.completed", stats.Completed}, {"core.failed", stats.Failed}, {"core.starts", stats.Starts},
		{"core.messages", stats.MessagesSent}, {"core.takeovers", stats.Takeovers}, {"core.ejected", stats.Ejected},
		{"core.corrupt", stats.Corrupt},
		{"wasted.refused", stats.WastedRefused}, {"wasted.retry", stats.WastedRetry}, {"wasted.hedge", stats.WastedHedge},
		{"wasted.cancel", stats.WastedCancel}, {"wasted.fence", stats.WastedFence},
		{"wasted.unmatched", stats.WastedUnmatched}, {"wasted.ack", stats.WastedAck},
	}
	for _, c := range counters {
		e.setGauge(c.name, int64(c.value))
	}
	e.setGauge("logs.dropped", e.deps.Logs.Dropped())
}

func (e *Entry) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, e.deps.Metrics).Update(value)
}

// publishClaimStats copies the state of the claim store into the metrics registry.
func (e *Entry) publishClaimStats() {
	ctx, cancel := context.WithTimeout(e.work, time.Second)
	defer cancel()
	s := e.claims.Snapshot(ctx)
	e.setGauge("claims.transactions", int64(s.Transactions))
	e.setGauge("claims.writes", int64(s.Writes))
	e.setGauge("claims.lost", int64(s.Lost))
	e.setGauge("claims.expired", int64(s.Expired))
	e.setGauge("claims.waiting", int64(s.Waiting))
	metrics.GetOrRegisterGaugeFloat64("claims.share", e.deps.Metrics).Update(s.Rate)
}
