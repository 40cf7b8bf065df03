package runner

import "time"

// An agent works with a bounded number of entries, and turns to others as entries come
// and go. A link that it gives up is released first: its entry is told to send nothing
// more, starts that were on their way are refused, and runs that are here go on until
// they have ended. Only then is the link closed: a closed link puts the runs of its
// entry in doubt until their leases have passed.

// releaseNotice is how long a released link stays open at least: an entry has heard of
// the release by then, and what it had sent before has come.
const releaseNotice = time.Second

func (l *link) released() bool { return !l.releasedAt.IsZero() }

// Release gives a link up.
func (c *Core) Release(now time.Time, id LinkID) {
	c.now = now
	l := c.links.Get(id)
	if l == nil || l.released() {
		return
	}
	l.releasedAt = now
	c.loadChanged = true // others share the worker with fewer
	c.tellWorker(l)
}

// Retain takes a released link into use again.
func (c *Core) Retain(now time.Time, id LinkID) {
	c.now = now
	l := c.links.Get(id)
	if l == nil || !l.released() {
		return
	}
	l.releasedAt = time.Time{}
	c.loadChanged = true
	c.tellWorker(l)
}

// OnDemand notes whether a link is kept only since its entry is short of agents.
func (c *Core) OnDemand(now time.Time, id LinkID, onDemand bool) {
	c.now = now
	l := c.links.Get(id)
	if l == nil || l.onDemand == onDemand {
		return
	}
	l.onDemand = onDemand
	c.tellWorker(l)
}

// closeReleased closes released links whose entries have no runs here.
func (c *Core) closeReleased() {
	for id, l := range c.links.All() {
		if l.released() && c.now.Sub(l.releasedAt) >= releaseNotice && !c.owns(l.entry.Incarnation) {
			c.out.Closes = append(c.out.Closes, id)
		}
	}
}

// sharers is the number of entries that this agent works with.
func (c *Core) sharers() int {
	n := 0
	for l := range c.links.Values() {
		if !l.released() {
			n++
		}
	}
	return n
}

// Unsettled reports whether ends are kept that no entry has answered for in time. The
// entry that has taken their job over may be one that this agent does not work with.
func (c *Core) Unsettled() bool {
	for h := range c.held.Values() {
		if c.now.Sub(h.listedAt) > askAgain {
			return true
		}
	}
	return false
}
