package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// stopsOf returns the runs that are ordered to stop, startsOf those to start.
func stopsOf(out Output) []runs.Key  { return ordersOf(out, OrderStop) }
func startsOf(out Output) []runs.Key { return ordersOf(out, OrderStart) }

func ordersOf(out Output, kind OrderKind) []runs.Key {
	var list []runs.Key
	for _, o := range out.Orders {
		if o.Kind == kind {
			list = append(list, o.Key)
		}
	}
	return list
}

// TestTaskStartedLateAfterItsJobWasCancelledIsStopped: a start got no answer, the
// job is cancelled, and the worker carries the start out seconds later all the same.
func TestTaskStartedLateAfterItsJobWasCancelledIsStopped(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1")
	r.Ordered(after(100), out.Orders[0], Answer{Verdict: NoAnswer})
	r.Receive(after(110), 1, &runs.ToAgent{Clock: after(110).UnixNano(), Stops: []runs.Key{key("t1")}})
	first := r.Flush(after(110))
	r.is.Equal(stopsOf(first), []runs.Key{key("t1")}) // the stop gets no answer either
	for _, o := range first.Orders {
		r.Ordered(after(210), o, Answer{Verdict: NoAnswer})
	}
	r.Flush(after(210))
	r.lookAt(after(400), Listing{Running: []Running{{Key: key("t1")}}}) // there it is
	stopped := 0
	for ms := 420; ms <= 1000; ms += 20 {
		r.beat(after(ms))
		r.Tick(after(ms))
		stopped += len(stopsOf(r.Flush(after(ms))))
	}
	r.is.True(stopped >= 3) // each 150 ms until its end is listed
	r.lookAt(after(1010), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), How: runs.Stopped}}})
	r.is.Equal(r.Runs(), 0)
}

// TestTaskThatNobodyAskedForIsStopped: the worker lists a run that this agent has no
// word of, such as one of a cancelled job whose late start outlived its record.
func TestTaskThatNobodyAskedForIsStopped(t *testing.T) {
	r := newRig(t)
	r.send(start, "t1")
	r.lookAt(after(20), Listing{Running: []Running{{Key: key("stray")}}})
	r.Flush(after(20))
	var stopped []runs.Key
	for ms := 40; ms <= 400 && len(stopped) == 0; ms += 20 {
		r.beat(after(ms))
		r.Tick(after(ms))
		stopped = stopsOf(r.Flush(after(ms)))
	}
	r.is.Equal(stopped, []runs.Key{key("stray")})
}

// TestTaskWhoseStarterIsRemovedIsStopped: the entry goes for good right after its
// start went out; its lease ends and so do the task and the order in doubt.
func TestTaskWhoseStarterIsRemovedIsStopped(t *testing.T) {
	r := newRig(t)
	out := r.send(start, "t1", "t2")
	r.Ordered(after(1), out.Orders[0], Answer{Verdict: Accepted, Clock: 5001})
	r.Ordered(after(100), out.Orders[1], Answer{Verdict: NoAnswer})
	r.LinkDown(after(110), 1)
	stopped := make(map[runs.Key]time.Duration)
	for ms := 120; ms <= 600; ms += 20 {
		r.Tick(after(ms))
		for _, k := range stopsOf(r.Flush(after(ms))) {
			if stopped[k] == 0 {
				stopped[k] = after(ms).Sub(start)
			}
		}
	}
	r.is.Equal(len(stopped), 2)
	for _, at := range stopped {
		r.is.True(at <= 440*time.Millisecond) // the lease of 400 ms and a tick
	}
}
