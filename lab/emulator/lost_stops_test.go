package emulator

import (
	"fmt"
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// simulateLostStops runs one schedule in which most orders to workers get no answer while links
// break. Runs whose entry is lost must end although stops do not arrive.
func simulateLostStops(seed uint64) *simulation {
	sim := newSimulation(seed, testConfig())
	sim.logsEvents = *oneSeed != 0
	sim.pollsReliable = seed%2 == 0
	for n := range 80 {
		at := time.Duration(sim.rand.Int64N(int64(9 * time.Second)))
		sim.schedule(at, func() { sim.submit(longJob(sim, fmt.Sprintf("%016x", n))) })
	}
	for range 4 {
		sim.schedule(time.Duration(sim.rand.Int64N(int64(8*time.Second))), func() {
			sim.orderLossShare = 0.7
			sim.schedule(2500*time.Millisecond, func() { sim.orderLossShare = 0 })
		})
	}
	for range 10 {
		name := []string{"links silent", "entry killed", "entry frozen", "links reset"}[sim.rand.IntN(4)]
		sim.schedule(time.Duration(sim.rand.Int64N(int64(9*time.Second))), func() { sim.logEvent("fault: %s", name); scheduleFaults[name](sim) })
	}
	sim.run(scheduleDuration)
	return sim
}

// longJob returns a job whose tasks outlast all leases.
func longJob(sim *simulation, name string) *jobSpec {
	j := testJob(sim, name, 1+sim.rand.IntN(3), 3)
	j.timeout = 6 * time.Second
	j.steps[0].Estimate = 1500 * time.Millisecond
	j.taskWork = func(runs.Key) (time.Duration, bool) {
		return time.Duration(1000+sim.rand.IntN(2000)) * time.Millisecond, false
	}
	return j
}

// TestLostStopSchedules checks that a run whose owner is lost is over before its task starts again,
// even if the worker receives none of the stops.
func TestLostStopSchedules(t *testing.T) {
	simulateSeeds(t, *seeds, simulateLostStops, func(*simulation) {})
}

// TestLostStopRegressions runs seeds that violate a guarantee in these cases: the first six if an
// end counts from any agent or the lease of a worker outlasts a run whose stops get no answer, the
// next four if the lease of such a run is renewed, and the last three if an end of a run of the
// previous agent process is taken for one of the present process.
func TestLostStopRegressions(t *testing.T) {
	for _, seed := range []uint64{23, 73, 101, 668, 751, 906, 212, 805, 1036, 1288, 201, 291, 1417} {
		for _, v := range simulateLostStops(seed).checker.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}
