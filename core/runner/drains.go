package runner

import (
	"time"

	"peridotpick.example/wire/runs"
)

// The agent keeps new work away from the worker of a drained data centre. It alone sends orders
// to its worker, so no run starts even if an entry has an outdated view. Its entries send it
// their views of the drained data centres. If none of them has confirmed the view lately, all may
// be cut off from the store, and the agent asks the store itself.

// UpdateDrains updates the view of drained data centres. If the worker's data centre becomes
// drained, waiting runs are refused at once, so that their entries can place them elsewhere in
// time; runs at the worker go on.
func (c *Core) UpdateDrains(now time.Time, v runs.DrainView) {
	c.now = now
	wasDrained := c.isDrained()
	if !c.drains.Update(now, v) || c.isDrained() == wasDrained {
		return
	}
	c.emptyReported = false
	c.loadChanged = true
	event := "data centre in use again"
	if c.isDrained() {
		event = "data centre drained"
		c.refuseWaiting(runs.ReasonDataCentreDrained)
	}
	c.out.Decisions = append(c.out.Decisions, Decision{Event: event, Version: v.Version, Age: v.Age})
}

// receiveDrains updates the view from a message that carries the given reading of this agent's
// clock, in Unix ns. The time since that reading is added to the age of the view, since the
// message may have been delayed.
func (c *Core) receiveDrains(v runs.DrainView, reading int64) {
	if reading > 0 {
		v.Age += max(c.now.Sub(time.Unix(0, reading)), 0)
	}
	c.UpdateDrains(c.now, v)
}

// isDrained reports whether the worker's data centre is drained, so that nothing new starts.
func (c *Core) isDrained() bool { return c.drains.IsDrained(c.worker.info.DataCentre) }

// logEmptied records, once a drain, that the worker of a drained data centre has no runs left.
func (c *Core) logEmptied() {
	if c.emptyReported || !c.isDrained() || c.runs.Len() > 0 {
		return
	}
	c.emptyReported = true
	c.out.Decisions = append(c.out.Decisions, Decision{Event: "worker empty in drained data centre", Version: c.drains.View(c.now).Version})
}

// DrainedDataCentres returns the drained data centres of the present view.
func (c *Core) DrainedDataCentres() []string { return c.drains.DataCentres() }

// IsDrainViewStale reports whether the view of drained data centres was not confirmed within
// DrainViewMaxAge. A new agent gets that time to receive a view from its first entry.
func (c *Core) IsDrainViewStale(now time.Time) bool {
	c.now = now
	maxAge := c.settings.DrainViewMaxAge
	return c.drains.Age(now) > maxAge && now.Sub(c.startedAt) > maxAge
}
