package runner

import "peridotpick.example/wire/runs"

// The capacity of a worker may shrink and grow while it runs. The free capacity is the capacity
// announced last less that of all runs at the worker; it may be negative, and nothing starts then
// until enough runs have ended.

// refuseUnfitting refuses waiting runs that no longer fit into the worker at all: their entry may
// find free capacity elsewhere. The most urgent runs stay.
func (c *Core) refuseUnfitting() {
	left := c.worker.info.Capacity
	for r := range c.runs.Values() {
		if r.phase != phaseWaiting {
			left = left.Sub(r.need)
		}
	}
	for _, r := range append(runQueue(nil), c.queue...) {
		if left.Fits(r.need) {
			left = left.Sub(r.need)
			continue
		}
		c.terminate(r, runs.ReasonNoCapacity)
	}
}

// checkSuspension handles that the process was suspended for longer than the worker's lease. Its
// worker may have announced another capacity meanwhile, so that nothing starts before it announces
// itself again. No run is lost by that: the leases of all have expired.
func (c *Core) checkSuspension() {
	gap := c.now.Sub(c.tickedAt)
	suspended := !c.tickedAt.IsZero() && gap > c.settings.WorkerLease
	c.tickedAt = c.now
	if !suspended || !c.worker.known || c.worker.unannounced {
		return
	}
	c.worker.unannounced = true
	c.refuseWaiting(runs.ReasonNoWorker)
	c.out.Decisions = append(c.out.Decisions, Decision{Event: "suspended", Age: gap, Worker: c.worker.info.Incarnation()})
}
