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
