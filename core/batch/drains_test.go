package batch

import (
	"testing"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire/runs"
)

// inCentres puts the agents of a rig into data centres.
func (r *rig) inCentres(dataCentres ...string) {
	for i, dc := range dataCentres {
		r.hear(begin, i, func(msg *runs.ToEntry) { msg.Worker.DataCentre = dc })
	}
	r.flush(begin)
}

func drained(version uint64, dataCentres ...string) runs.Drains {
	return runs.Drains{Version: version, DataCentres: dataCentres}
}

func TestDrainedDataCentreGetsNoTask(t *testing.T) {
	r := newRig(t, 3)
	r.inCentres("d", "d", "e")
	r.LearnDrains(begin, drained(5, "d"))
	got := started(r.submit(begin, 1, 4, 100*time.Millisecond))
	r.is.Equal(len(got[2]), 4)
	r.LearnDrains(after(10), drained(6))
	got = started(r.submit(after(10), 2, 4, 100*time.Millisecond))
	r.is.Equal(len(got[2]), 0)
}

// TestDrainedRoomDoesNotCount: jobs that only the drained workers could end in time are
// refused at once.
func TestDrainedRoomDoesNotCount(t *testing.T) {
	r := newRig(t, 2)
	r.inCentres("d", "e")
	r.LearnDrains(begin, drained(5, "d"))
	r.submit(begin, 1, 4, 400*time.Millisecond)
	r.is.Equal(len(r.got), 0)
	r.is.Equal(int(r.shareOfRoom("s")), 4000)
	r.submit(begin, 2, 8, 400*time.Millisecond) // wants twice the room that is left
	r.submit(begin, 3, 8, 400*time.Millisecond)
	r.is.True(len(started(r.flush(begin))[0]) == 0)
}

// TestAllDrainedRefusesAtOnce: callers hear that nothing ran, and when to come back.
func TestAllDrainedRefusesAtOnce(t *testing.T) {
	r := newRig(t, 2)
	r.inCentres("d", "e")
	r.LearnDrains(begin, drained(5, "d", "e"))
	out := r.submit(begin, 1, 1, 100*time.Millisecond)
	r.is.Equal(len(r.got), 1)
	r.is.Equal(r.got[0].Kind, errkind.Overloaded)
	r.is.True(r.got[0].RetryAfter > 0)
	r.is.Equal(out.Notes[len(out.Notes)-1].Reason, "data centres drained")
	r.is.Equal(r.Workers(), 2) // it goes on taking connections
}

// TestRunRefusedByADrainIsPlacedElsewhereAtOnce: it did not begin, so it counts as no attempt.
func TestRunRefusedByADrainIsPlacedElsewhereAtOnce(t *testing.T) {
	r := newRig(t, 2)
	r.inCentres("d", "e")
	got := started(r.submit(begin, 1, 1, 100*time.Millisecond))
	from := LinkID(0)
	if len(got[0]) == 0 {
		from = 1
	}
	r.LearnDrains(after(5), drained(5, []string{"d", "e"}[from]))
	out := r.endFor(after(10), int(from), 0, 1, runs.Refused, runs.Drained)
	r.is.Equal(len(started(out)[1-from]), 1)
	r.is.Equal(r.byTask[started(out)[1-from][0].Key.Task].failures, 0)
}

// TestAgentsHearOfADrainAtOnceAndThenThatItHolds: they rely on it to refuse starts.
func TestAgentsHearOfADrainAtOnceAndThenThatItHolds(t *testing.T) {
	r := newRig(t, 1)
	r.LearnDrains(after(20), drained(5, "x"))
	out := r.flush(after(20))
	r.is.Equal(out.Sends[0].Msg.Drains.DataCentres, []string{"x"})
	told := 0
	for ms := 40; ms <= 2020; ms += 20 {
		r.Tick(after(ms))
		for _, s := range r.flush(after(ms)).Sends {
			if s.Msg.Drains != nil {
				told++
				r.is.Equal(s.Msg.Drains.Age, time.Duration(ms-20)*time.Millisecond)
			}
		}
	}
	r.is.True(told >= 3)
}
