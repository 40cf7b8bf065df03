package wake

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func newWorkers(awake, asleep int) []Worker {
	var list []Worker
	for i := range awake + asleep {
		w := Worker{ID: strconv.Itoa(i), Slots: 8, Power: Awake, IsLinked: true}
		if i >= awake {
			w.Power, w.IsLinked = Asleep, false
		}
		list = append(list, w)
	}
	return list
}

func TestWakesAheadOfDemand(t *testing.T) {
	is := is.New(t)
	d := New(Params{Headroom: 0.25})
	is.Equal(len(d.Decide(start, 4, newWorkers(1, 3), true).Wake), 0)
	// The demand rises: more than 8 slots will be needed when a worker woken now is ready.
	plan := d.Decide(start.Add(2*time.Second), 8, newWorkers(1, 3), true)
	is.True(len(plan.Wake) >= 1)
}

func TestSleepsOnlyAfterIdleTimeAndRest(t *testing.T) {
	is := is.New(t)
	d := New(Params{IdleBeforeSleep: 10 * time.Second, MinAwake: 1})
	workers := newWorkers(2, 0)
	is.Equal(len(d.Decide(start, 1, workers, true).Rest), 0)
	is.Equal(len(d.Decide(start.Add(5*time.Second), 1, workers, true).Rest), 0)
	plan := d.Decide(start.Add(11*time.Second), 1, workers, true)
	is.Equal(len(plan.Rest), 1)
	is.Equal(len(plan.Sleep), 0) // it must rest first
	workers[0].IsResting, workers[0].Load = true, 1
	is.Equal(len(d.Decide(start.Add(12*time.Second), 1, workers, true).Sleep), 0) // a task is still running
	workers[0].Load = 0
	is.Equal(d.Decide(start.Add(13*time.Second), 1, workers, true).Sleep, []string{"0"})
}

func TestOutdatedListPutsNothingToSleep(t *testing.T) {
	is := is.New(t)
	d := New(Params{})
	workers := newWorkers(3, 0)
	workers[0].IsResting = true
	plan := d.Decide(start.Add(time.Hour), 0, workers, false)
	is.Equal(len(plan.Sleep)+len(plan.Rest), 0)
}

func TestMinAwakeWorkersStayAwake(t *testing.T) {
	is := is.New(t)
	d := New(Params{MinAwake: 2})
	is.Equal(len(d.Decide(start, 0, newWorkers(2, 0), true).Rest), 0)
}

func TestWakeTimeFollowsMeasurements(t *testing.T) {
	is := is.New(t)
	d := New(Params{})
	is.Equal(len(d.Decide(start, 20, newWorkers(1, 2), true).Wake), 2)
	for i := range 30 {
		began := start.Add(time.Duration(i) * time.Minute)
		d.wakeStarted["1"] = began
		d.Decide(began.Add(2*time.Second), 0, newWorkers(3, 0), true)
	}
	is.True(d.WakeTime() > 1900*time.Millisecond && d.WakeTime() < 2200*time.Millisecond)
}
