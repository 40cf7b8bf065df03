// Package leases derives the leases of a run from the resend time: the time after which a caller
// whose connection broke sends its job again.
//
// By then nothing of the job may run. An entry's lease at an agent lasts Times.Owner. If the
// agent is lost just before it expires, the worker ends the runs when its own lease has expired,
// up to Times.RunExpiry later. Both together stay below the resend time.
package leases

import "time"

const (
	// ownerShare is the owner lease as a share of the resend time. Several heartbeats of an entry
	// may be lost, and most of the time is left to the successor of a lost agent.
	ownerShare = 0.30
	// clockDriftFactor is the greatest real time that passes per unit of the worker's clock,
	// which may run slow.
	clockDriftFactor = 1.02
	// expirySlack covers the rounding of the worker's clock and its timers.
	expirySlack = 50 * time.Millisecond
)

// Times are the leases of a deployment.
type Times struct {
	// Owner is how long the runs of an entry go on without a message from it.
	Owner time.Duration
	// Worker is the lease that agents request from their worker.
	Worker time.Duration
	// RunExpiry is the time after the last request of a lease by which a worker has certainly
	// ended all runs.
	RunExpiry time.Duration
}

// ForResend returns the leases for a resend time. stop is how long the worker may take to stop a
// run, longest the longest lease that it grants; 0 means no limit.
func ForResend(resend, stop, longest time.Duration) Times {
	owner := time.Duration(ownerShare * float64(resend))
	ending := stop + expirySlack
	worker := time.Duration(float64(resend-owner-ending) / clockDriftFactor)
	if longest > 0 {
		worker = min(worker, longest)
	}
	return Times{Owner: owner, Worker: worker, RunExpiry: time.Duration(float64(worker)*clockDriftFactor) + ending}
}
