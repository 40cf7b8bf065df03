package runner

import "time"

// descriptionInterval is the longest time for which the description of the worker is left out of the
// messages on a link. It bounds how long an entry may believe something else, for whatever reason.
const descriptionInterval = 10 * time.Second

// described is what an entry was told of the worker last.
type described struct {
	version            uint64
	released, onDemand bool
	at                 time.Time
}

// updateDescription derives the description of the worker from the state of the core, so that each
// change of the state reaches the entries whatever its cause is.
func (c *Core) updateDescription() {
	info := c.worker.info
	info.Draining = info.Draining || c.draining
	info.TakesReservations = true
	if !c.worker.synced || c.isUnavailable() {
		info.ID = "" // the worker may be given nothing
	}
	if c.descriptionVersion > 0 && info.Equal(&c.description) {
		return
	}
	c.description = info
	c.descriptionVersion++
	c.loadChanged = true
}

// describeWorker adds the description of the worker to a link's next message if the entry was told
// something else last. If a message is due anyway, the description is repeated from time to time.
func (c *Core) describeWorker(l *link) {
	current := described{version: c.descriptionVersion, released: l.isReleased(), onDemand: l.onDemand, at: l.described.at}
	isRepeatDue := c.now.Sub(l.described.at) >= descriptionInterval && c.messageDue(l)
	if current == l.described && !isRepeatDue {
		return
	}
	info := c.description
	info.Released, info.OnDemand = current.released, current.onDemand
	l.out.Worker = &info
	l.dirty = true
	current.at = c.now
	l.described = current
}
