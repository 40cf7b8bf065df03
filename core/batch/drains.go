package batch

import (
	"time"

	"peridotpick.example/wire/runs"
)

// The workers of a drained data centre get no new tasks, and admission counts only the capacity of
// the others from the first moment. A drain may take a quarter of all workers away at once, so that
// the others run close to their limit. Jobs admitted for the drained capacity would all be late.
// Runs in a drained data centre are not stopped. Agents there refuse waiting runs, which are placed
// elsewhere then.

// drainsSendInterval is the longest time between two messages that confirm the view to an agent. It
// is far below the age of the view at which an agent asks the store itself.
const drainsSendInterval = 500 * time.Millisecond

// UpdateDrains handles a view of the drained data centres.
func (c *Core) UpdateDrains(now time.Time, v runs.DrainView) {
	c.Advance(now)
	if !c.drains.Update(now, v) {
		return
	}
	for a := range c.agents.Values() {
		a.drainsSentAt = time.Time{}
		c.passOnAsks(a)
		c.markDirty(a)
	}
	c.placeWaiting()
}

// addDrains adds the view to a message if the agent is due to receive it.
func (c *Core) addDrains(a *agent, msg *runs.ToAgent) {
	if c.now.Sub(a.drainsSentAt) < drainsSendInterval {
		return
	}
	a.drainsSentAt = c.now
	if view := c.drains.View(c.now); view.Version > 0 {
		msg.Drains = &view
	}
}

// noWorkerReason returns the reason why a service has no candidates.
func (c *Core) noWorkerReason(service string) string {
	if c.hasUsableWorker(service) {
		return "data centres drained"
	}
	return "no worker"
}

// hasUsableWorker reports whether some agent has a usable worker of a service, in any data centre.
func (c *Core) hasUsableWorker(service string) bool {
	for a := range c.agents.Values() {
		if a.worker.Service == service && a.isUsable(c.now, c.settings.SilenceTimeout) {
			return true
		}
	}
	return false
}
