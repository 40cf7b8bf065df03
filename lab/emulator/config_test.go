package emulator

import (
	"fmt"
	"testing"
	"time"
)

// simulateLateConfigurations runs one schedule in which entries are killed, get their configuration
// only some time after they start, and queues are left out of it for a time.
func simulateLateConfigurations(seed uint64) *simulation {
	sim := newSimulation(seed, testConfig())
	sim.logsEvents = *oneSeed != 0
	sim.configDelay = func() time.Duration { return time.Duration(sim.rand.Int64N(int64(5 * time.Second))) }
	for n := range 30 {
		tasks := 1 + sim.rand.IntN(5)
		sim.schedule(time.Duration(sim.rand.Int64N(int64(6*time.Second))), func() { sim.submit(testDurableJob(sim, fmt.Sprintf("d%015x", n), tasks)) })
	}
	for range 1 + sim.rand.IntN(3) {
		at := time.Duration(sim.rand.Int64N(int64(8 * time.Second)))
		sim.schedule(at, func() { sim.configure(nil) })
		sim.schedule(at+time.Duration(sim.rand.Int64N(int64(3*time.Second))), func() { sim.configure(sim.queues) })
	}
	for range 2 + sim.rand.IntN(4) {
		sim.schedule(time.Duration(sim.rand.Int64N(int64(8*time.Second))), func() { changeOwners(sim) })
	}
	sim.schedule(15*time.Second, func() { sim.configure(sim.queues) })
	sim.run(40 * time.Second)
	return sim
}

// TestLateConfigurationSchedules guards against an accepted job that its owner never runs, as it got
// the job before it had a configuration with its queue.
func TestLateConfigurationSchedules(t *testing.T) {
	checkThatJobsEnd(t, simulateLateConfigurations)
}
