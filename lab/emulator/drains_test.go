package emulator

import (
	"fmt"
	"testing"
	"time"
)

// drainConfig has entries and workers in three data centres.
func drainConfig() *simConfig {
	config := testConfig()
	config.dataCentres = []dataCentreConfig{{name: "a", entries: 2, workers: 2}, {name: "b", entries: 2, workers: 2}, {name: "c", entries: 1, workers: 2}}
	config.remoteLatency = 900 * time.Microsecond
	return config
}

// injectDrainFault injects a fault that delays, loses or invalidates information on drained data
// centres, or one of the faults of all schedules.
func injectDrainFault(sim *simulation) {
	downtime := time.Duration(500+sim.rand.IntN(3000)) * time.Millisecond
	switch sim.rand.IntN(5) {
	case 0: // entries are partitioned from the store and each other, agents are not
		for _, e := range sim.entries {
			e.partitioned = true
			sim.schedule(downtime*4, func() { e.partitioned = false })
		}
	case 1: // the store rejects the requests of some processes
		for _, e := range sim.entries {
			e.storeDenied = sim.rand.IntN(3) == 0
			sim.schedule(downtime, func() { e.storeDenied = false })
		}
		for _, a := range sim.agents {
			a.storeDenied = sim.rand.IntN(3) == 0
			sim.schedule(downtime, func() { a.storeDenied = false })
		}
	case 2:
		sim.store.down = true
		sim.schedule(downtime, func() { sim.store.down = false })
	case 3: // all entries restart
		for _, e := range sim.entries {
			if !e.dead {
				e.kill(downtime / 4)
			}
		}
	default:
		scheduleFaults[scheduleFaultNames[sim.rand.IntN(len(scheduleFaultNames))]](sim)
	}
}

// simulateDrains runs one schedule in which data centres are drained and taken back into use, one
// or two at a time, some of them twice between two reads of the store.
func simulateDrains(seed uint64) *simulation {
	sim := newSimulation(seed, drainConfig())
	sim.logsEvents = *oneSeed != 0
	for n := range 500 {
		at := time.Duration(sim.rand.Int64N(int64(19 * time.Second)))
		tasks := 1 + sim.rand.IntN(4)
		durable := sim.rand.IntN(5) == 0
		sim.schedule(at, func() {
			if durable {
				sim.submit(testDurableJob(sim, fmt.Sprintf("d%015x", n), tasks))
				return
			}
			sim.submit(testJob(sim, fmt.Sprintf("%016x", n), tasks, 2))
		})
	}
	for range 1 + sim.rand.IntN(3) {
		dc := []string{"a", "b", "c"}[sim.rand.IntN(3)]
		at := time.Duration(sim.rand.Int64N(int64(8 * time.Second)))
		sim.schedule(at, func() { sim.drain(dc) })
		if sim.rand.IntN(3) == 0 {
			sim.schedule(at+time.Millisecond, func() { sim.undrain(dc); sim.drain(dc) })
		}
		sim.schedule(at+time.Duration(4+sim.rand.IntN(10))*time.Second, func() { sim.undrain(dc) })
	}
	for range 1 + sim.rand.IntN(4) {
		sim.schedule(time.Duration(sim.rand.Int64N(int64(12*time.Second))), func() { injectDrainFault(sim) })
	}
	sim.run(24 * time.Second)
	return sim
}

// TestDrainSchedules checks that nothing starts in a drained data centre after maxDrainDelay, and
// that all other guarantees hold meanwhile.
func TestDrainSchedules(t *testing.T) {
	done, starts := 0, 0
	simulateSeeds(t, *seeds/3, simulateDrains, func(sim *simulation) {
		done += sim.checker.jobsDone
		starts += sim.checker.starts
	})
	t.Logf("%d jobs done, %d starts", done, starts)
}

// TestDrainTakesEffectPromptly checks that without faults starts end within a tenth of
// maxDrainDelay, and that tasks that already run end normally and no job is lost.
func TestDrainTakesEffectPromptly(t *testing.T) {
	sim := newSimulation(1, drainConfig())
	for n := range 200 {
		sim.schedule(time.Second+time.Duration(n)*40*time.Millisecond, func() { sim.submit(testJob(sim, fmt.Sprintf("%016x", n), 1, 1)) })
	}
	lastStart := time.Time{}
	sim.schedule(3*time.Second, func() { sim.drain("a") })
	sim.schedule(6*time.Second, func() { sim.undrain("a") })
	sim.repeat(2*time.Millisecond, simulationStart.Add(6*time.Second), func() {
		for _, w := range sim.workers {
			for r := range w.running.Values() {
				if w.dataCentre == "a" && r.startedAt.After(lastStart) {
					lastStart = r.startedAt
				}
			}
		}
	})
	sim.run(12 * time.Second)
	for _, v := range sim.checker.violations {
		t.Error(v)
	}
	if took := lastStart.Sub(simulationStart) - 3*time.Second; took > maxDrainDelay/10 {
		t.Errorf("runs were started until %v after the drain", took)
	}
	if sim.checker.jobsDone < 190 {
		t.Errorf("%d of 200 jobs done", sim.checker.jobsDone)
	}
}
