package runner

import "time"

// Entries and callers rely on the end of a run that may no longer be wanted: an entry whose link
// broke starts the task elsewhere once its own lease and the worker's have expired, and a caller
// whose connection broke sends its job again after the same time. Stops may stay unanswered for
// longer than that. The worker must therefore not be granted a lease beyond the end deadline of
// such a run, even if its expiry ends other runs too.

// minStartLease is the shortest lease under which a run is started. Under a shorter one the new
// run would end with the lease before the stop of the run that limits the lease can arrive.
const minStartLease = 100 * time.Millisecond

// leaseToRequest returns the lease to request from the worker now; 0 if none may be requested.
// While there are orphans none is requested: their owners rely on the end of the lease that the
// previous agent process requested.
func (c *Core) leaseToRequest() time.Duration {
	if !c.worker.synced || c.isUnavailable() {
		return 0
	}
	lease := c.settings.WorkerLease
	for r := range c.runs.Values() {
		if r.orphan {
			return 0
		}
		if !r.endDeadline.IsZero() {
			lease = min(lease, r.endDeadline.Sub(c.now))
		}
	}
	return max(lease, 0)
}

// setEndDeadline limits the worker's lease for a run that must not go on: it ends at the latest
// one worker lease after the given time, also if its stops stay unanswered.
func (c *Core) setEndDeadline(r *run, since time.Time) {
	if r.endDeadline.IsZero() {
		r.endDeadline = since.Add(c.settings.WorkerLease)
	}
}

// ownerLeaseEnd returns when the lease of a run's owner expired; now if that is not known.
func (c *Core) ownerLeaseEnd(r *run) time.Time {
	until, known := c.ownerLeases[r.owner.Incarnation]
	if !known || until.IsZero() || until.After(c.now) {
		return c.now
	}
	return until
}
