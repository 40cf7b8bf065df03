package batch

import (
	"time"

	"peridotpick.example/wire/runs"
)

// What other entries lack is passed on to the linked agents that have it, as asks to link to those
// entries.

// told is the newest ask of an entry that an agent was sent.
type told struct {
	incarnation, serial, limit uint64
}

// SetLacks takes the newest record of another entry with what that one lacks, and asks the linked
// agents whose workers have it.
func (c *Core) SetLacks(now time.Time, m runs.Member) {
	c.Advance(now)
	c.reach.board.Set(m)
	for a := range c.agents.Values() {
		c.passOnAsk(a, m.Entry.Address)
	}
}

// passOnAsks tells an agent which entries lack what its worker has.
func (c *Core) passOnAsks(a *agent) {
	for _, address := range c.reach.board.Addresses() {
		c.passOnAsk(a, address)
	}
}

// passOnAsk tells an agent what an entry asks of it, if that has changed.
func (c *Core) passOnAsk(a *agent, address string) {
	if !a.registered {
		return
	}
	ask := c.reach.board.AskOf(address, &a.worker)
	if c.drains.IsDrained(a.worker.DataCentre) || c.isUnhealthy(a) {
		ask.Limit = 0
	}
	current := told{ask.Entry.Incarnation, ask.Serial, ask.Limit}
	last, known := a.told[address]
	if last == current || !known && ask.Limit == 0 {
		return
	}
	if ask.Limit == 0 {
		delete(a.told, address)
	} else {
		if a.told == nil {
			a.told = make(map[string]told)
		}
		a.told[address] = current
	}
	a.out.Asks = append(a.out.Asks, ask)
	c.markDirty(a)
}
