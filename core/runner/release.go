package runner

import "time"

// An agent works with a bounded number of entries and replaces some of them as entries come and
// go. It gives a link up in two steps. First the link is released: the entry is told to send no
// more starts, starts that are already under way are refused, and runs that are here go on until
// they have ended. Then the link is closed. Closing it at once would leave the outcome of the
// entry's runs unknown until their leases have expired.

// minReleaseDuration is how long a released link stays open at least, so that the entry
// receives the release and what it sent before arrives.
const minReleaseDuration = time.Second

func (l *link) isReleased() bool { return !l.releasedAt.IsZero() }

// Release begins to give a link up: its entry may send no more starts.
func (c *Core) Release(now time.Time, id LinkID) {
	c.now = now
	l := c.links.Get(id)
	if l == nil || l.isReleased() {
		return
	}
	l.releasedAt = now
	c.reportDropped(c.reservations.DropLink(uint64(id)))
	c.loadChanged = true // fewer entries share the worker
}

// Retain takes a released link back into use.
func (c *Core) Retain(now time.Time, id LinkID) {
	c.now = now
	l := c.links.Get(id)
	if l == nil || !l.isReleased() {
		return
	}
	l.releasedAt = time.Time{}
	c.loadChanged = true
}

// SetOnDemand records whether a link exists only because its entry is short of agents.
func (c *Core) SetOnDemand(now time.Time, id LinkID, onDemand bool) {
	c.now = now
	l := c.links.Get(id)
	if l != nil {
		l.onDemand = onDemand
	}
}

// closeReleased closes released links whose entries have no runs here.
func (c *Core) closeReleased() {
	for id, l := range c.links.All() {
		if l.isReleased() && c.now.Sub(l.releasedAt) >= minReleaseDuration && !c.hasRuns(l.entry.Incarnation) {
			c.out.CloseLinks = append(c.out.CloseLinks, id)
		}
	}
}

// activeLinks returns the number of links that are not released.
func (c *Core) activeLinks() int {
	n := 0
	for l := range c.links.Values() {
		if !l.isReleased() {
			n++
		}
	}
	return n
}

// HasUndeliveredEnds reports whether an end was held for longer than askInterval. The entry that
// has taken its job over may be one that this agent has no link to.
func (c *Core) HasUndeliveredEnds() bool {
	for h := range c.held.Values() {
		if c.now.Sub(h.listedAt) > askInterval {
			return true
		}
	}
	return false
}
