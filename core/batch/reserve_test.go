package batch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// reservations returns the reservations in an output, and the IDs of the released ones, by link.
func reservations(out Output) (reserved map[LinkID][]runs.Reservation, released map[LinkID][]uint64) {
	reserved, released = make(map[LinkID][]runs.Reservation), make(map[LinkID][]uint64)
	for _, s := range out.Sends {
		reserved[s.Link] = append(reserved[s.Link], s.Msg.Reserve...)
		released[s.Link] = append(released[s.Link], s.Msg.Released...)
	}
	return reserved, released
}

// newBusyHarness returns a harness with agents that take reservations and whose workers have no free
// CPU until the given time in ms.
func newBusyHarness(t *testing.T, agents, busyUntil int) *harness {
	h := newHarness(t, agents)
	for i := range agents {
		h.receiveReport(begin, i, func(m *runs.ToEntry) {
			m.Worker.TakesReservations = true
			m.Load.Free = room.Resources{Memory: 1000}
			m.Load.ExpectedEnds = []runs.ExpectedEnd{{After: busyUntil, CPU: 4000}}
		})
	}
	h.flush(begin)
	return h
}

// offer delivers an offer and returns the output.
func (h *harness) offer(now time.Time, agent int, id uint64) Output {
	h.Receive(now, LinkID(agent), &runs.ToEntry{Clock: now.UnixNano(), Offers: []uint64{id}})
	return h.flush(now)
}

func TestWaitingTaskIsReservedAtSeveralAgentsAndStartsAtOne(t *testing.T) {
	h := newBusyHarness(t, 3, 30)
	out := h.submit(begin, 1, 1, 100*time.Millisecond)
	reserved, _ := reservations(out)
	total := 0
	for link, list := range reserved {
		h.is.Equal(len(startsByLink(out)[link]), 0)
		h.is.True(len(list) <= 1)
		total += len(list)
	}
	h.is.Equal(total, reservationCopies)
	first := LinkID(0)
	for len(reserved[first]) == 0 {
		first++
	}
	out = h.offer(after(10), int(first), reserved[first][0].ID)
	h.is.Equal(len(startsByLink(out)[first]), 1)
	h.is.Equal(startsByLink(out)[first][0].Reservation, reserved[first][0].ID)
	_, released := reservations(out)
	for link, list := range reserved {
		if link != first {
			h.is.Equal(len(released[link]), len(list))
		}
	}
	h.is.Equal(h.Core.reservations.Len(), 0)
}

func TestOfferThatIsNotNeededIsReleased(t *testing.T) {
	h := newBusyHarness(t, 2, 30)
	reserved, _ := reservations(h.submit(begin, 1, 1, 100*time.Millisecond))
	h.CancelRequest(after(5), 1)
	_, released := reservations(h.flush(after(5)))
	h.is.Equal(len(released[0])+len(released[1]), reservationCopies)
	out := h.offer(after(6), 0, reserved[0][0].ID) // crossed the release
	h.is.Equal(len(startsByLink(out)[0]), 0)
	_, released = reservations(out)
	h.is.Equal(released[0], []uint64{reserved[0][0].ID})
}

func TestDroppedReservationsAreReplaced(t *testing.T) {
	h := newBusyHarness(t, 2, 30)
	reserved, _ := reservations(h.submit(begin, 1, 2, 100*time.Millisecond))
	for link, list := range reserved {
		msg := &runs.ToEntry{Clock: after(5).UnixNano()}
		for _, r := range list {
			msg.Dropped = append(msg.Dropped, r.ID)
		}
		h.Receive(after(5), link, msg)
	}
	h.Tick(after(10))
	reserved, _ = reservations(h.flush(after(10)))
	h.is.Equal(len(reserved[0])+len(reserved[1]), 2*reservationCopies)
}

func TestReservationsAreForgottenWithTheirAgent(t *testing.T) {
	for _, end := range []func(h *harness){
		func(h *harness) { h.LinkDown(after(5), 0) },
		func(h *harness) { h.receiveReport(after(5), 0, func(m *runs.ToEntry) { m.Worker.Draining = true }) },
		func(h *harness) { h.receiveReport(after(5), 0, func(m *runs.ToEntry) { m.Worker.ID = "" }) },
	} {
		h := newBusyHarness(t, 2, 30)
		h.submit(begin, 1, 1, 100*time.Millisecond)
		end(h)
		for r := range h.Core.reservations.Values() {
			h.is.Equal(r.link, LinkID(1))
		}
	}
}

// TestReservedTaskStartsOnAWorkerThatIsFreeElsewhere: a wrong forecast does not keep a task waiting.
func TestReservedTaskStartsOnAWorkerThatIsFreeElsewhere(t *testing.T) {
	h := newBusyHarness(t, 3, 30)
	reserved, _ := reservations(h.submit(begin, 1, 1, 100*time.Millisecond))
	other := 0
	for len(reserved[LinkID(other)]) > 0 {
		other++
	}
	h.receiveReport(after(5), other, func(m *runs.ToEntry) { m.Worker.TakesReservations = true })
	h.Tick(after(10))
	out := h.flush(after(10))
	h.is.Equal(len(startsByLink(out)[LinkID(other)]), 1)
	_, released := reservations(out)
	h.is.Equal(len(released[0])+len(released[1])+len(released[2]), reservationCopies)
}

// TestWaitingJobIsRefusedOnceItCannotBeInTime: nothing of it was started, so that the answer is true
// and needs no proof.
func TestWaitingJobIsRefusedOnceItCannotBeInTime(t *testing.T) {
	h := newBusyHarness(t, 2, 30)
	h.settings.Policy = policyWithout(t, "deferring")
	h.submit(begin, 1, 2, 100*time.Millisecond) // its slack is 120 ms
	h.Tick(after(100))
	h.flush(after(100))
	h.is.Equal(len(h.answers), 0)
	h.Tick(after(115))
	_, released := reservations(h.flush(after(115)))
	h.isRefusedForLoad(1)
	h.is.Equal(len(released[0])+len(released[1]), 2*reservationCopies)
	h.is.Equal(h.jobs.Len(), 0)
}

func TestAgentWithoutReservationsQueuesTheRun(t *testing.T) {
	h := newHarness(t, 1)
	h.receiveReport(begin, 0, busyFor(30, 4000))
	h.is.Equal(len(startsByLink(h.submit(begin, 1, 1, 100*time.Millisecond))[0]), 1)
}

// TestTaskIsBoundToOneOfferAtMost replays offers, drops and lost links in any order, some of them
// late or repeated.
func TestTaskIsBoundToOneOfferAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const agents = 4
		h := newBusyHarness(t, agents, 30)
		tasks := rapid.IntRange(1, 6).Draw(rt, "tasks")
		var sent []*runs.Reservation
		links := map[uint64]LinkID{}
		started := map[string]int{}
		collect := func(out Output) {
			reserved, _ := reservations(out)
			for link, list := range reserved {
				for i := range list {
					sent = append(sent, &list[i])
					links[list[i].ID] = link
				}
			}
			for _, list := range startsByLink(out) {
				for _, s := range list {
					started[s.Key.Task]++
				}
			}
		}
		collect(h.submit(begin, 1, tasks, 100*time.Millisecond))
		for step := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now := after(1 + step)
			r := sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "reservation")]
			msg := &runs.ToEntry{Clock: now.UnixNano()}
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0, 1:
				msg.Offers = []uint64{r.ID}
			case 2:
				msg.Dropped = []uint64{r.ID}
			case 3:
				h.Tick(now)
			}
			h.Receive(now, links[r.ID], msg)
			collect(h.flush(now))
		}
		for task, n := range started {
			if n > 1 {
				rt.Fatalf("%s was started %d times", task, n)
			}
		}
		waiting := tasks - len(started)
		if h.Core.reservations.Len() > reservationCopies*waiting {
			rt.Fatalf("%d reservations for %d waiting tasks", h.Core.reservations.Len(), waiting)
		}
	})
}

// TestSlowEntryDoesNotReserveForShortWaits: each message of a reservation waits in the process of an
// entry that is short of processor time, so that a run in the agent's queue starts sooner.
func TestSlowEntryDoesNotReserveForShortWaits(t *testing.T) {
	for _, c := range []struct {
		delay, busyUntil int
		reserves         bool
	}{{0, 3, true}, {0, 20, true}, {30, 20, false}} {
		h := newBusyHarness(t, 2, c.busyUntil)
		for n := range 20 {
			now := after(0)
			h.Submit(now, &Request{
				ID: RequestID(100 + n), Job: jobName(100 + n), Queue: queue, Arrived: now.Add(-time.Duration(c.delay) * time.Millisecond),
				Deadline: now.Add(time.Second), Steps: []Step{{Count: 1, Need: room.Resources{CPU: 100000}, Estimate: time.Second}},
			})
		}
		out := h.submit(after(0), 1, 1, 100*time.Millisecond)
		starts := startsByLink(out)
		h.is.Equal(len(starts[0])+len(starts[1]) == 0, c.reserves)
	}
}
