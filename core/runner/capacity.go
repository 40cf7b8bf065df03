package runner

import "peridotpick.example/wire/runs"

// The capacity of a worker may shrink and grow again while it runs. Its room is what it
// says now less all that is there, which may leave less than nothing: nothing starts then
// until enough has ended.

// handOn refuses waiting runs for which there is no room left once the worker has shrunk:
// their entry may have room elsewhere, the most urgent stay.
func (c *Core) handOn() {
	left := c.worker.info.Capacity
	for r := range c.runs.Values() {
		if r.phase != phaseWaiting {
			left = left.Minus(r.need)
		}
	}
	for _, r := range append(waiting(nil), c.queue...) {
		if left.Fits(r.need) {
			left = left.Minus(r.need)
			continue
		}
		c.end(r, runs.NoRoom)
	}
}
