package emulator

import (
	"testing"
	"time"
)

// simulateMachinesWithoutPower runs one schedule in which two of four machines with workers lose power for
// good while they run durable jobs: their links stay open, and nothing comes on them.
func simulateMachinesWithoutPower(seed uint64) *simulation {
	sim := newSimulation(seed, testConfig())
	sim.logsEvents = *oneSeed != 0
	submitLongJobs(sim, 8, 4*time.Second, time.Second, 2*time.Second)
	for _, i := range sim.rand.Perm(len(sim.agents))[:2] {
		sim.schedule(time.Second+time.Duration(sim.rand.Int64N(int64(5*time.Second))), func() {
			sim.agents[i].suspend(time.Hour)
			sim.workers[i].crash()
		})
	}
	sim.run(60 * time.Second)
	return sim
}

// TestMachinesWithoutPowerSchedules guards against durable jobs that are never run again after the machine
// of their run was removed without a word.
func TestMachinesWithoutPowerSchedules(t *testing.T) {
	checkThatJobsEnd(t, simulateMachinesWithoutPower)
}
