package runner

import (
	"time"

	"peridotpick.example/wire/runs"
)

// The agent is the one that keeps work away from the workers of a drained data centre:
// it alone gives its worker orders, so no start gets through whatever an entry believes.
// It hears of drains from its entries, and asks the store itself once none of them can
// vouch for what it knows: all of them may be cut off from the store.

// LearnDrains takes a view of the drained data centres. What waits here is refused at
// once, so that its entry places it elsewhere while it may still be in time; what runs
// ends by itself.
func (c *Core) LearnDrains(now time.Time, v runs.Drains) {
	c.now = now
	was := c.drained()
	if !c.drains.Learn(now, v) || c.drained() == was {
		return
	}
	c.emptied = false
	c.loadChanged = true
	event := "data centre in use again"
	if c.drained() {
		event = "data centre drained"
		c.refuseWaiting(runs.Drained)
	}
	c.out.Notes = append(c.out.Notes, Note{Event: event, Version: v.Version, Age: v.Age})
}

// takeDrains takes a view from a message. The message's reading of this agent's clock
// bounds how long it was held up on the way, in which the view has grown older.
func (c *Core) takeDrains(v runs.Drains, reading int64) {
	if reading > 0 {
		v.Age += max(c.now.Sub(time.Unix(0, reading)), 0)
	}
	c.LearnDrains(c.now, v)
}

// drained reports whether the worker's data centre gets no new work.
func (c *Core) drained() bool { return c.drains.Has(c.worker.info.DataCentre) }

// noteEmptied tells the operator that nothing runs here any more.
func (c *Core) noteEmptied() {
	if c.emptied || !c.drained() || c.runs.Len() > 0 {
		return
	}
	c.emptied = true
	c.out.Notes = append(c.out.Notes, Note{Event: "worker empty in drained data centre", Version: c.drains.View(c.now).Version})
}

// DrainedDataCentres returns the data centres that are drained as far as is known.
func (c *Core) DrainedDataCentres() []string { return c.drains.DataCentres() }

// DrainsUnconfirmed reports whether nobody has vouched lately for what is known of
// drained data centres. A new agent hears it with the first word of its first entry.
func (c *Core) DrainsUnconfirmed(now time.Time) bool {
	c.now = now
	within := c.settings.DrainsWithin
	return c.drains.Age(now) > within && now.Sub(c.startedAt) > within
}
