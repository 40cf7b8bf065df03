package batch

import (
	"time"

	"peridotpick.example/wire/runs"
)

// A drained data centre gives this entry no room: no task is placed there, and admission
// counts the room of the others alone from the first moment. The load it answers: a
// quarter of all workers is taken away at once and the rest runs near its limit, where
// jobs that count on the drained room would all be late. What runs there ends by itself;
// what waits there is refused by the agents and placed elsewhere.

// drainsToldEvery is the longest time between two confirmations of the view to an agent.
// It is far below the time from which an agent asks the store itself.
const drainsToldEvery = 500 * time.Millisecond

// LearnDrains takes a view of the drained data centres.
func (c *Core) LearnDrains(now time.Time, v runs.Drains) {
	c.Now(now)
	if !c.drains.Learn(now, v) {
		return
	}
	for a := range c.agents.Values() {
		a.drainsToldAt = time.Time{}
		c.mark(a)
	}
	c.placeWaiting()
}

// tellDrains adds the view to a message if the agent is due to hear it.
func (c *Core) tellDrains(a *agent, msg *runs.ToAgent) {
	if c.now.Sub(a.drainsToldAt) < drainsToldEvery {
		return
	}
	a.drainsToldAt = c.now
	if view := c.drains.View(c.now); view.Version > 0 {
		msg.Drains = &view
	}
}

// noWorkerReason tells why no worker of a service is a candidate.
func (c *Core) noWorkerReason(service string) string {
	if c.knowsWorker(service) {
		return "data centres drained"
	}
	return "no worker"
}

// knowsWorker reports whether some agent has a usable worker of a service, in whatever
// data centre.
func (c *Core) knowsWorker(service string) bool {
	for a := range c.agents.Values() {
		if a.worker.Service == service && a.usable(c.now, c.settings.SilentAfter) {
			return true
		}
	}
	return false
}
