package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// leaseExpiry returns when a lease expires on a worker's clock that shows 5000 ms at the start
// and runs as slow as allowed.
func leaseExpiry(deadline int64) time.Time {
	return start.Add(time.Duration(float64(deadline-5000)/(1-maxClockDrift)) * time.Millisecond)
}

// mustEndBy returns when others rely on the end of a run that was started at the beginning and
// whose entry has sent nothing since.
func (h *harness) mustEndBy() time.Time {
	lease := time.Duration(float64(h.settings.WorkerLease) / (1 - maxClockDrift))
	return start.Add(h.settings.OwnerLease + lease)
}

// TestWorkersLeaseEndsWithARunWhoseStopsGetNoAnswer: the run's entry is lost, so that the task
// starts elsewhere once both leases have expired. Polls reach the worker, but the lease that they
// request must not extend the run.
func TestWorkersLeaseEndsWithARunWhoseStopsGetNoAnswer(t *testing.T) {
	h := newHarness(t)
	h.send(start, "t1")
	for ms := 20; ms <= 1180; ms += 20 {
		now := after(ms)
		h.Tick(now)
		h.Flush(now)
		poll, ok := h.NextPoll(now)
		h.is.True(ok)
		h.is.True(!leaseExpiry(poll.Deadline).After(h.mustEndBy()))
		slow := 5000 + int64(float64(ms)*(1-maxClockDrift))
		h.PollAnswered(now, poll, Answer{Status: Accepted, Clock: slow}, Listing{Running: []Running{{Key: key("t1")}}})
	}
}

// TestStartsDoNotExtendALimitedLease: while a run must end with the lease, another entry goes on
// sending starts.
func TestStartsDoNotExtendALimitedLease(t *testing.T) {
	h := newHarness(t)
	h.send(start, "t1")
	h.LinkUp(start, 2, runs.Entry{Address: "e:2", Incarnation: 8})
	started := 0
	for ms := 20; ms <= 1180; ms += 20 {
		now := after(ms)
		msg := &runs.ToAgent{Clock: now.UnixNano()}
		if ms%100 == 0 {
			msg.Starts = []runs.Start{{Key: key(now.String()), Need: small, StartTimeout: time.Second}}
		}
		h.Receive(now, 2, msg)
		h.Tick(now)
		for _, o := range h.Flush(now).Orders {
			if o.Kind != OrderStart {
				continue
			}
			started++
			h.is.True(!leaseExpiry(o.Deadline).After(h.mustEndBy()))
			h.finish(h.runs.Get(o.Key), runs.End{Key: o.Key, Outcome: runs.OutcomeDone}) // frees its capacity for the next one
		}
	}
	h.is.True(started > 5)
}

// TestStopOfAMovingRunDoesNotLimitTheLease: its entry waits for the end, however long that takes.
func TestStopOfAMovingRunDoesNotLimitTheLease(t *testing.T) {
	for _, moving := range []bool{true, false} {
		h := newHarness(t)
		h.send(start, "t1")
		h.pollAt(after(10), Listing{Running: []Running{{Key: key("t1")}}})
		msg := &runs.ToAgent{Clock: after(20).UnixNano(), Stops: []runs.Key{key("t1")}}
		if moving {
			msg.Stops, msg.Moves = nil, msg.Stops
		}
		h.Receive(after(20), 1, msg)
		h.heartbeat(after(500))
		h.is.Equal(h.leaseToRequest() == h.settings.WorkerLease, moving)
	}
}

// TestStartWithTheKeyOfAnotherEntrysRunIsRefused: each entry numbers the runs of a job from 1. If
// the start were taken for a repeated one, it would never be answered.
func TestStartWithTheKeyOfAnotherEntrysRunIsRefused(t *testing.T) {
	h := newHarness(t)
	h.send(start, "t1")
	h.LinkUp(start, 2, runs.Entry{Address: "e:2", Incarnation: 8})
	h.Flush(start)
	h.Receive(after(10), 2, &runs.ToAgent{Clock: after(10).UnixNano(), Starts: []runs.Start{{Key: key("t1"), Need: small, StartTimeout: time.Second}}})
	h.is.Equal(ends(h.Flush(after(10))), []runs.End{{Key: key("t1"), Outcome: runs.OutcomeRefused, Reason: runs.ReasonStaleRun}})
}
