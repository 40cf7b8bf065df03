package runner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	core "peridotpick.example/core/runner"
	"peridotpick.example/service/telemetry"
)

// Intervals at which the agent reads the drained data centres from the store while no entry
// confirms its view of them.
const (
	// confirmCheckInterval is the interval of the checks whether an entry confirms the view.
	confirmCheckInterval = 250 * time.Millisecond
	// confirmQueryInterval is the pause between two reads of the store. With it the agent learns
	// of a drain within a second, and reads cost at most one call per second and agent.
	confirmQueryInterval = time.Second
)

// sharedDrains is the part of the core's drain view that other goroutines read.
type sharedDrains struct {
	// unconfirmed is true while no entry confirms the view.
	unconfirmed atomic.Bool
	// drained are the drained data centres; only the event loop writes them.
	drained atomic.Pointer[[]string]
}

// dataCentres returns the drained data centres; nil if none are known.
func (d *sharedDrains) dataCentres() []string {
	if drained := d.drained.Load(); drained != nil {
		return *drained
	}
	return nil
}

// publishDrains copies the core's drain view to where other goroutines can read it.
func (a *Agent) publishDrains(now time.Time) {
	a.sharedDrains.unconfirmed.Store(a.core.IsDrainViewStale(now))
	drained := a.core.DrainedDataCentres()
	if slices.Equal(drained, a.sharedDrains.dataCentres()) {
		return
	}
	a.sharedDrains.drained.Store(&drained)
	telemetry.SetGauge("drained_data_centres", a.deps.Metrics, int64(len(drained)))
	a.directory.wakeChooser()
}

// confirmDrains reads the drained data centres from the store while no entry confirms the view.
func (a *Agent) confirmDrains(ctx context.Context) error {
	pause := confirmCheckInterval
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = confirmCheckInterval
		if !a.sharedDrains.unconfirmed.Load() {
			continue
		}
		pause = confirmQueryInterval
		queryCtx, cancel := context.WithTimeout(ctx, registryTimeout)
		view, err := a.deps.Registry.Drains(queryCtx)
		cancel()
		if err != nil {
			if !failing {
				a.log.Warn().Err(err).Msg("agent: nobody confirms which data centres are drained, the last view holds")
			}
			failing = true
			continue
		}
		failing = false
		a.log.Info().Strs("drained", view.DataCentres).Uint64("version", view.Version).Msg("agent: the store tells the drained data centres")
		a.post(func(c *core.Core, now time.Time) { c.UpdateDrains(now, view) })
	}
}
