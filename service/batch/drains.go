package batch

import (
	"sync"
	"time"

	"peridotpick.example/common/boottime"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/drains"
	"peridotpick.example/wire/runs"
)

// drainView is this entry's view of the drained data centres, shared by its goroutines.
type drainView struct {
	mu    sync.Mutex
	state drains.State
}

func (d *drainView) view(now time.Time) runs.DrainView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.View(now)
}

func (d *drainView) update(now time.Time, v runs.DrainView) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Update(now, v)
}

// updateDrains applies a view of the drained data centres from the store or another entry. If it
// changes which ones are drained, the core passes it on to agents and the exchanges to other
// entries.
func (e *Entry) updateDrains(v runs.DrainView, from string) {
	if !e.drains.update(boottime.Now(), v) {
		return
	}
	e.log.Info().Strs("drained", v.DataCentres).Uint64("version", v.Version).Dur("age", v.Age).Str("from", from).
		Msg("entry: drained data centres in force")
	e.post(func(c *core.Core, now time.Time) { c.UpdateDrains(now, e.drains.view(now)) })
	e.peers.wakeExchanges()
}
