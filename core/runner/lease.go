package runner

import "time"

// Entries and callers count on the end of a run that nobody may want any more: an entry
// whose link broke starts the task elsewhere once its own lease and the worker's have
// passed, and a caller whose connection broke sends its job again after the same time. Stops may
// get no answer for longer than that. The worker's lease must therefore end with the one
// that was taken before such a run was to be stopped, even if other runs end with it.

// shortestLease is the shortest lease with which a run is started: one that ends before
// the stop of another run has had time to arrive would end this one too.
const shortestLease = 100 * time.Millisecond

// leaseToTake returns the lease that may be taken of the worker now; 0 if none may be.
// None is taken while there may be runs that no entry of this process's knowledge owns:
// their entries count on the end of the lease that the former process took.
func (c *Core) leaseToTake() time.Duration {
	if !c.worker.synced || c.outOfUse() {
		return 0
	}
	lease := c.settings.WorkerLease
	for r := range c.runs.Values() {
		if r.orphan {
			return 0
		}
		if !r.overBy.IsZero() {
			lease = min(lease, r.overBy.Sub(c.now))
		}
	}
	return max(lease, 0)
}

// mustEnd notes since when a run may not go on.
func (c *Core) mustEnd(r *run, since time.Time) {
	if r.overBy.IsZero() {
		r.overBy = since.Add(c.settings.WorkerLease)
	}
}

// lapsed returns when the lease of a run's owner ended, which is now if that is not
// known any more.
func (c *Core) lapsed(r *run) time.Time {
	until, known := c.leases[r.owner.Incarnation]
	if !known || until.IsZero() || until.After(c.now) {
		return c.now
	}
	return until
}
