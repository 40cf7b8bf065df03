package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// lapse returns when a lease ends by the worker's clock, which begins at 5000 ms and runs
// as slow as allowed.
func lapse(deadline int64) time.Time {
	return start.Add(time.Duration(float64(deadline-5000)/(1-clockDrift)) * time.Millisecond)
}

// mustEndBy is when others count on the end of a run that was started at the beginning
// and whose entry was not heard again.
func (r *rig) mustEndBy() time.Time {
	lease := time.Duration(float64(r.settings.WorkerLease) / (1 - clockDrift))
	return start.Add(r.settings.OwnerLease + lease)
}

// TestWorkersLeaseEndsWithARunWhoseStopsGetNoAnswer: the run's entry is lost, and starts
// the task elsewhere once both leases have passed. Looks at the worker get through.
func TestWorkersLeaseEndsWithARunWhoseStopsGetNoAnswer(t *testing.T) {
	r := newRig(t)
	r.send(start, "t1")
	for ms := 20; ms <= 1180; ms += 20 {
		now := after(ms)
		r.Tick(now)
		r.Flush(now)
		look, ok := r.NextLook(now)
		r.is.True(ok)
		r.is.True(!lapse(look.Deadline).After(r.mustEndBy()))
		slow := 5000 + int64(float64(ms)*(1-clockDrift))
		r.Looked(now, look, Answer{Verdict: Accepted, Clock: slow}, Listing{Running: []Running{{Key: key("t1")}}})
	}
}

// TestStartsUnderAnEndingLeaseDoNotExtendIt: another entry goes on sending starts.
func TestStartsUnderAnEndingLeaseDoNotExtendIt(t *testing.T) {
	r := newRig(t)
	r.send(start, "t1")
	r.LinkUp(start, 2, runs.Entry{Address: "e:2", Incarnation: 8})
	started := 0
	for ms := 20; ms <= 1180; ms += 20 {
		now := after(ms)
		msg := &runs.ToAgent{Clock: now.UnixNano()}
		if ms%100 == 0 {
			msg.Starts = []runs.Start{{Key: key(now.String()), Need: small, Patience: time.Second}}
		}
		r.Receive(now, 2, msg)
		r.Tick(now)
		for _, o := range r.Flush(now).Orders {
			if o.Kind != OrderStart {
				continue
			}
			started++
			r.is.True(!lapse(o.Deadline).After(r.mustEndBy()))
			r.finish(r.runs.Get(o.Key), runs.End{Key: o.Key, How: runs.Done}) // the room is free for the next one
		}
	}
	r.is.True(started > 5)
}

// TestStopOfAMovingRunDoesNotEndTheLease: its entry waits for its end, however long that takes.
func TestStopOfAMovingRunDoesNotEndTheLease(t *testing.T) {
	for _, moving := range []bool{true, false} {
		r := newRig(t)
		r.send(start, "t1")
		r.lookAt(after(10), Listing{Running: []Running{{Key: key("t1")}}})
		msg := &runs.ToAgent{Clock: after(20).UnixNano(), Stops: []runs.Key{key("t1")}}
		if moving {
			msg.Stops, msg.Moves = nil, msg.Stops
		}
		r.Receive(after(20), 1, msg)
		r.beat(after(500))
		r.is.Equal(r.leaseToTake() == r.settings.WorkerLease, moving)
	}
}

// TestStartOfAnotherEntrysRunIsRefused: entries number the runs of a job each from 1. A
// start that is taken for a repeated one would never be answered.
func TestStartOfAnotherEntrysRunIsRefused(t *testing.T) {
	r := newRig(t)
	r.send(start, "t1")
	r.LinkUp(start, 2, runs.Entry{Address: "e:2", Incarnation: 8})
	r.Flush(start)
	r.Receive(after(10), 2, &runs.ToAgent{Clock: after(10).UnixNano(), Starts: []runs.Start{{Key: key("t1"), Need: small, Patience: time.Second}}})
	r.is.Equal(ends(r.Flush(after(10))), []runs.End{{Key: key("t1"), How: runs.Refused, Reason: runs.OldRun}})
}
