package emulator

import (
	"fmt"
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// playLostStops runs one schedule in which most orders to workers get no answer while
// links break: runs whose entry is lost must end though their stops do not arrive.
func playLostStops(seed uint64) *world {
	w := newWorld(seed, testLayout())
	w.story = *oneSeed != 0
	w.looksArrive = seed%2 == 0
	for n := range 80 {
		at := time.Duration(w.rand.Int64N(int64(9 * time.Second)))
		w.after(at, func() { w.submit(longJob(w, fmt.Sprintf("%016x", n))) })
	}
	for range 4 {
		w.after(time.Duration(w.rand.Int64N(int64(8*time.Second))), func() {
			w.lostOrders = 0.7
			w.after(2500*time.Millisecond, func() { w.lostOrders = 0 })
		})
	}
	for range 10 {
		name := []string{"links silent", "entry killed", "entry frozen", "links reset"}[w.rand.IntN(4)]
		w.after(time.Duration(w.rand.Int64N(int64(9*time.Second))), func() { w.tell("fault: %s", name); faults[name](w) })
	}
	w.run(duration)
	return w
}

// longJob returns a job whose tasks outlast all leases.
func longJob(w *world, name string) *jobSpec {
	j := testJob(w, name, 1+w.rand.IntN(3), 3)
	j.patience = 6 * time.Second
	j.steps[0].Estimate = 1500 * time.Millisecond
	j.run = func(runs.Key) (time.Duration, bool) {
		return time.Duration(1000+w.rand.IntN(2000)) * time.Millisecond, false
	}
	return j
}

// TestLostStopSchedules: a run whose owner is lost is over before its task starts again,
// also if the worker gets none of the stops.
func TestLostStopSchedules(t *testing.T) {
	playSeeds(t, *seeds, playLostStops, func(*world) {})
}

// TestLostStopRegressions plays seeds that broke a promise: the first six before it was
// mended, the next four if the lease of a run whose stops get no answer is renewed, the
// last three if an end of a former process's run is taken for that of the present one.
func TestLostStopRegressions(t *testing.T) {
	for _, seed := range []uint64{23, 73, 101, 668, 751, 906, 212, 805, 1036, 1288, 201, 291, 1417} {
		for _, b := range playLostStops(seed).checks.broken {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}
