package entry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
)

// publish copies the core's state into the metrics registry; called from the
// loop once a second.
func (e *Entry) publish() {
	stats := e.core.Stats()
	e.stats.Store(&stats)
	e.gauge("core.open", int64(e.core.Open()))
	e.gauge("core.waiting", int64(e.core.Waiting()))
	e.gauge("core.links", int64(e.links.count()))
	e.gauge("core.events", int64(e.events.Len()))
	e.gauge("config.version", int64(e.configVersion()))
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
		e.gauge(c.name, int64(c.value))
	}
	e.gauge("logs.dropped", e.deps.Logs.Dropped())
}

func (e *Entry) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, e.deps.Metrics).Update(value)
}

// publishClaims copies the state of the claim store into the registry.
func (e *Entry) publishClaims() {
	ctx, cancel := context.WithTimeout(e.work, time.Second)
	defer cancel()
	s := e.claims.Snapshot(ctx)
	e.gauge("claims.transactions", int64(s.Transactions))
	e.gauge("claims.writes", int64(s.Writes))
	e.gauge("claims.lost", int64(s.Lost))
	e.gauge("claims.expired", int64(s.Expired))
	e.gauge("claims.waiting", int64(s.Waiting))
	metrics.GetOrRegisterGaugeFloat64("claims.share", e.deps.Metrics).Update(s.Rate)
}
