package runner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	core "peridotpick.example/core/runner"
	"peridotpick.example/service/telemetry"
)

// Times of asking the store for the drained data centres.
const (
	// confirmPoll is how often it is looked at whether entries still vouch for the view.
	confirmPoll = 250 * time.Millisecond
	// confirmAgain is the pause between two questions: with them the view is found out
	// within a second, and an outage of the store costs one call a second and agent.
	confirmAgain = time.Second
)

// drainsWatch is what goroutines beside the loop know of drained data centres.
type drainsWatch struct {
	// unconfirmed is true while no entry vouches for the view.
	unconfirmed atomic.Bool
	// known are the drained data centres; the loop alone writes them.
	known atomic.Pointer[[]string]
}

// dataCentres returns the drained data centres.
func (d *drainsWatch) dataCentres() []string {
	if known := d.known.Load(); known != nil {
		return *known
	}
	return nil
}

// watchDrains has the other goroutines know what the core knows.
func (a *Agent) watchDrains(now time.Time) {
	a.drains.unconfirmed.Store(a.core.DrainsUnconfirmed(now))
	drained := a.core.DrainedDataCentres()
	if slices.Equal(drained, a.drains.dataCentres()) {
		return
	}
	a.drains.known.Store(&drained)
	telemetry.Gauge("drained_data_centres", a.deps.Metrics, int64(len(drained)))
	a.dir.notify()
}

// confirmDrains asks the store which data centres are drained while no entry can tell.
func (a *Agent) confirmDrains(ctx context.Context) error {
	pause := confirmPoll
	failing := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = confirmPoll
		if !a.drains.unconfirmed.Load() {
			continue
		}
		pause = confirmAgain
		asking, cancel := context.WithTimeout(ctx, registryTimeout)
		view, err := a.deps.Registry.Drains(asking)
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
		a.post(func(c *core.Core, now time.Time) { c.LearnDrains(now, view) })
	}
}
