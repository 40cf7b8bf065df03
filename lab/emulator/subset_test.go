package emulator

import (
	"fmt"
	"testing"
	"time"
)

// changeSubset has one agent link to another subset of the entries, which may overlap the previous
// one.
func changeSubset(sim *simulation) {
	a := sim.agents[sim.rand.IntN(len(sim.agents))]
	chosen := make(map[string]bool)
	for len(chosen) < subsetSize {
		chosen[sim.entries[sim.rand.IntN(len(sim.entries))].address] = true
	}
	a.chosen = chosen
}

// Sizes of the schedules with subsets: small, so that most entries are linked to few agents.
const (
	subsetSize    = 2
	subsetEntries = 5
)

// simulateSubsets runs one schedule in which each agent links to two of five entries, and changes
// this subset while runs are under way. Half of the jobs are durable.
func simulateSubsets(seed uint64) *simulation {
	config := testConfig()
	config.dataCentres = []dataCentreConfig{{name: "d", entries: subsetEntries, workers: 4}}
	sim := newSimulation(seed, config)
	sim.logsEvents = *oneSeed != 0
	for range sim.agents {
		changeSubset(sim)
	}
	for n := range 80 {
		at := time.Duration(sim.rand.Int64N(int64(8 * time.Second)))
		tasks := 1 + sim.rand.IntN(5)
		sim.schedule(at, func() { sim.submit(testDurableJob(sim, fmt.Sprintf("d%015x", n), tasks)) })
		sim.schedule(at, func() { sim.submit(testJob(sim, fmt.Sprintf("%016x", n), 1+tasks/2, 2)) })
	}
	for range 20 {
		sim.schedule(time.Duration(sim.rand.Int64N(int64(9*time.Second))), func() { changeSubset(sim) })
	}
	scheduleRandomFaults(sim, 3)
	sim.run(30 * time.Second)
	return sim
}

// TestSubsetSchedules checks that all guarantees hold while entries are linked to a part of the
// agents and agents change their subsets, and that all accepted durable jobs end.
func TestSubsetSchedules(t *testing.T) {
	accepted, done := 0, 0
	simulateSeeds(t, *seeds/3, simulateSubsets, func(sim *simulation) {
		accepted += checkJobsEnded(sim)
		done += sim.checker.jobsDone
	})
	t.Logf("%d durable jobs ended, %d awaited jobs done", accepted, done)
}

// TestSubsetChangesLoseNoJob checks that without faults changes of subsets lose no job.
func TestSubsetChangesLoseNoJob(t *testing.T) {
	config := testConfig()
	config.dataCentres = []dataCentreConfig{{name: "d", entries: subsetEntries, workers: 8}}
	sim := newSimulation(3, config)
	for n := range 100 {
		sim.schedule(time.Second+time.Duration(n)*50*time.Millisecond, func() { sim.submit(testJob(sim, fmt.Sprintf("%016x", n), 1, 1)) })
	}
	for n := range 40 {
		sim.schedule(time.Second+time.Duration(n)*100*time.Millisecond, func() { changeSubset(sim) })
	}
	sim.run(10 * time.Second)
	for _, v := range sim.checker.violations {
		t.Error(v)
	}
	if sim.checker.jobsDone < 95 {
		t.Errorf("%d of 100 jobs done", sim.checker.jobsDone)
	}
}
