// Package leases derives the leases of a run from the time of a resend.
//
// A caller whose connection broke sends its job again after a while; by then nothing of
// it may run. An entry's lease at an agent lasts Owner, and should the agent be lost in
// that very moment, the worker ends the runs a Worker lease later. Together with what
// stopping takes this stays below the time of the resend.
package leases

import "time"

const (
	// ownerShare is the owner lease's part of the time of a resend: several beats of an
	// entry may be lost, and most of the time is left to a lost agent's successor.
	ownerShare = 0.30
	// clockDrift is how much slower than real time the worker's clock may run.
	clockDrift = 1.02
	// overSlack covers the rounding of the worker's clock and its timers.
	overSlack = 50 * time.Millisecond
)

// Times are the leases of a deployment.
type Times struct {
	// Owner is how long an entry's runs go on without a message of it.
	Owner time.Duration
	// Worker is the lease that agents ask of their worker.
	Worker time.Duration
	// RunsOver is the time after which a worker without its agent has certainly ended
	// all runs.
	RunsOver time.Duration
}

// For returns the leases that end in time for a resend, where stopping a run takes the
// worker up to stop, and it grants the longest lease at most; 0 if it sets no limit.
func For(resend, stop, longest time.Duration) Times {
	owner := time.Duration(ownerShare * float64(resend))
	ending := stop + overSlack
	worker := time.Duration(float64(resend-owner-ending) / clockDrift)
	if longest > 0 {
		worker = min(worker, longest)
	}
	return Times{Owner: owner, Worker: worker, RunsOver: time.Duration(float64(worker)*clockDrift) + ending}
}
