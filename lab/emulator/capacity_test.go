package emulator

import (
	"fmt"
	"testing"
	"time"
)

// simulateCapacityChanges runs one schedule in which the capacity of workers changes while they run
// tasks, along with other faults.
func simulateCapacityChanges(seed uint64) *simulation {
	sim := newSimulation(seed, testConfig())
	sim.logsEvents = *oneSeed != 0
	for n := range 300 {
		at := time.Duration(sim.rand.Int64N(int64(9 * time.Second)))
		tasks := 1 + sim.rand.IntN(5)
		sim.schedule(at, func() { sim.submit(testJob(sim, fmt.Sprintf("%016x", n), tasks, 3)) })
	}
	for range 12 {
		w := sim.workers[sim.rand.IntN(len(sim.workers))]
		share := 0.2 + 0.7*sim.rand.Float64()
		sim.schedule(time.Duration(sim.rand.Int64N(int64(8*time.Second))), func() {
			sim.logEvent("fault: %s has %.2f of its room", w.id, share)
			w.resize(share)
			sim.schedule(time.Duration(500+sim.rand.IntN(3000))*time.Millisecond, func() { w.resize(1) })
		})
	}
	for range sim.rand.IntN(5) {
		name := scheduleFaultNames[sim.rand.IntN(len(scheduleFaultNames))]
		sim.schedule(time.Duration(sim.rand.Int64N(int64(8*time.Second))), func() { sim.logEvent("fault: %s", name); scheduleFaults[name](sim) })
	}
	sim.run(scheduleDuration)
	return sim
}

// TestCapacitySchedules checks that no start exceeds the capacity that a worker has announced,
// counting runs that are being stopped and orders that may still be carried out.
func TestCapacitySchedules(t *testing.T) {
	done := 0
	simulateSeeds(t, *seeds/2, simulateCapacityChanges, func(sim *simulation) { done += sim.checker.jobsDone })
	t.Logf("%d jobs done", done)
}
