package runner

import (
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// stopsOf returns the runs that are ordered to stop, startsOf those that are ordered to start.
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

// TestRunStartedLateAfterItsJobWasCancelledIsStopped: a start gets no answer, the job is
// cancelled, and the worker carries the start out later all the same.
func TestRunStartedLateAfterItsJobWasCancelledIsStopped(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1")
	h.OrderAnswered(after(100), out.Orders[0], Answer{Status: NoAnswer})
	h.Receive(after(110), 1, &runs.ToAgent{Clock: after(110).UnixNano(), Stops: []runs.Key{key("t1")}})
	first := h.Flush(after(110))
	h.is.Equal(stopsOf(first), []runs.Key{key("t1")}) // the stop gets no answer either
	for _, o := range first.Orders {
		h.OrderAnswered(after(210), o, Answer{Status: NoAnswer})
	}
	h.Flush(after(210))
	h.pollAt(after(400), Listing{Running: []Running{{Key: key("t1")}}}) // the start was carried out
	stopped := 0
	for ms := 420; ms <= 1000; ms += 20 {
		h.heartbeat(after(ms))
		h.Tick(after(ms))
		stopped += len(stopsOf(h.Flush(after(ms))))
	}
	h.is.True(stopped >= 3) // every 150 ms until its end is listed
	h.pollAt(after(1010), Listing{Ended: []Ended{{Number: 1, Key: key("t1"), Outcome: runs.OutcomeStopped}}})
	h.is.Equal(h.RunCount(), 0)
}

// TestUnknownRunIsStopped: the worker lists a run that this agent does not know, for example one
// of a cancelled job that started after its record was deleted.
func TestUnknownRunIsStopped(t *testing.T) {
	h := newHarness(t)
	h.send(start, "t1")
	h.pollAt(after(20), Listing{Running: []Running{{Key: key("stray")}}})
	h.Flush(after(20))
	var stopped []runs.Key
	for ms := 40; ms <= 400 && len(stopped) == 0; ms += 20 {
		h.heartbeat(after(ms))
		h.Tick(after(ms))
		stopped = stopsOf(h.Flush(after(ms)))
	}
	h.is.Equal(stopped, []runs.Key{key("stray")})
}

// TestRunsOfALostEntryAreStopped: an entry is lost right after its starts were ordered. Once its
// lease expires, the running run and the unconfirmed one are stopped.
func TestRunsOfALostEntryAreStopped(t *testing.T) {
	h := newHarness(t)
	out := h.send(start, "t1", "t2")
	h.OrderAnswered(after(1), out.Orders[0], Answer{Status: Accepted, Clock: 5001})
	h.OrderAnswered(after(100), out.Orders[1], Answer{Status: NoAnswer})
	h.LinkDown(after(110), 1)
	stopped := make(map[runs.Key]time.Duration)
	for ms := 120; ms <= 600; ms += 20 {
		h.Tick(after(ms))
		for _, k := range stopsOf(h.Flush(after(ms))) {
			if stopped[k] == 0 {
				stopped[k] = after(ms).Sub(start)
			}
		}
	}
	h.is.Equal(len(stopped), 2)
	for _, at := range stopped {
		h.is.True(at <= 440*time.Millisecond) // the lease of 400 ms and some ticks
	}
}
