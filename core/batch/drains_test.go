package batch

import (
	"testing"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire/runs"
)

// setDataCentres places the agents in data centres, in order.
func (h *harness) setDataCentres(dataCentres ...string) {
	for i, dc := range dataCentres {
		h.receiveReport(begin, i, func(msg *runs.ToEntry) { msg.Worker.DataCentre = dc })
	}
	h.flush(begin)
}

// drainView returns a view of the given drained data centres.
func drainView(version uint64, dataCentres ...string) runs.DrainView {
	return runs.DrainView{Version: version, DataCentres: dataCentres}
}

func TestDrainedDataCentreGetsNoTask(t *testing.T) {
	h := newHarness(t, 3)
	h.setDataCentres("d", "d", "e")
	h.UpdateDrains(begin, drainView(5, "d"))
	got := startsByLink(h.submit(begin, 1, 4, 100*time.Millisecond))
	h.is.Equal(len(got[2]), 4)
	h.UpdateDrains(after(10), drainView(6))
	got = startsByLink(h.submit(after(10), 2, 4, 100*time.Millisecond))
	h.is.Equal(len(got[2]), 0)
}

// TestDrainedCapacityDoesNotCount verifies that jobs which only drained workers could end in time
// are not admitted.
func TestDrainedCapacityDoesNotCount(t *testing.T) {
	h := newHarness(t, 2)
	h.setDataCentres("d", "e")
	h.UpdateDrains(begin, drainView(5, "d"))
	h.submit(begin, 1, 4, 400*time.Millisecond)
	h.is.Equal(len(h.answers), 0)
	h.is.Equal(int(h.cpuShare("s")), 4000)
	h.submit(begin, 2, 8, 400*time.Millisecond) // needs twice the capacity that is left
	h.submit(begin, 3, 8, 400*time.Millisecond)
	h.is.True(len(startsByLink(h.flush(begin))[0]) == 0)
}

// TestJobIsRefusedAtOnceIfAllDataCentresAreDrained verifies that callers learn at once that nothing
// ran and when to retry.
func TestJobIsRefusedAtOnceIfAllDataCentresAreDrained(t *testing.T) {
	h := newHarness(t, 2)
	h.setDataCentres("d", "e")
	h.UpdateDrains(begin, drainView(5, "d", "e"))
	out := h.submit(begin, 1, 1, 100*time.Millisecond)
	h.is.Equal(len(h.answers), 1)
	h.is.Equal(h.answers[0].Kind, errkind.Overloaded)
	h.is.True(h.answers[0].RetryAfter > 0)
	h.is.Equal(out.Decisions[len(out.Decisions)-1].Reason, "data centres drained")
	h.is.Equal(h.UsableWorkers(), 2) // the entry keeps accepting connections
}

// TestRunRefusedByADrainIsPlacedElsewhereAtOnce also verifies that the refused run, which did not
// begin, does not count as a failed attempt.
func TestRunRefusedByADrainIsPlacedElsewhereAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.setDataCentres("d", "e")
	got := startsByLink(h.submit(begin, 1, 1, 100*time.Millisecond))
	from := LinkID(0)
	if len(got[0]) == 0 {
		from = 1
	}
	h.UpdateDrains(after(5), drainView(5, []string{"d", "e"}[from]))
	out := h.reportEndWithReason(after(10), int(from), 0, 1, runs.OutcomeRefused, runs.ReasonDataCentreDrained)
	h.is.Equal(len(startsByLink(out)[1-from]), 1)
	h.is.Equal(h.byTask[startsByLink(out)[1-from][0].Key.Task].failures, 0)
}

// TestDrainIsSentToAgentsAtOnceAndConfirmedPeriodically guards the recent view that agents need to
// refuse starts.
func TestDrainIsSentToAgentsAtOnceAndConfirmedPeriodically(t *testing.T) {
	h := newHarness(t, 1)
	h.UpdateDrains(after(20), drainView(5, "x"))
	out := h.flush(after(20))
	h.is.Equal(out.Sends[0].Msg.Drains.DataCentres, []string{"x"})
	sent := 0
	for ms := 40; ms <= 2020; ms += 20 {
		h.Tick(after(ms))
		for _, s := range h.flush(after(ms)).Sends {
			if s.Msg.Drains != nil {
				sent++
				h.is.Equal(s.Msg.Drains.Age, time.Duration(ms-20)*time.Millisecond)
			}
		}
	}
	h.is.True(sent >= 3)
}
