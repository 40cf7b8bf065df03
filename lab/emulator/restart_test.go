package emulator

import (
	"fmt"
	"testing"
	"time"
)

// restartFaults restart workers under the same ID.
var restartFaults = map[string]func(sim *simulation){
	"worker restarts": func(sim *simulation) {
		w := sim.workers[sim.rand.IntN(len(sim.workers))]
		if w.down {
			return
		}
		w.crash()
		sim.schedule(time.Duration(sim.rand.IntN(1500))*time.Millisecond, w.restart)
	},
	"worker restarts behind a cut": func(sim *simulation) {
		w := sim.workers[sim.rand.IntN(len(sim.workers))]
		if w.down || w.partitioned {
			return
		}
		w.partitioned = true
		sim.schedule(time.Duration(sim.rand.IntN(1000))*time.Millisecond, func() {
			w.restart()
		})
		sim.schedule(time.Duration(1000+sim.rand.IntN(2000))*time.Millisecond, func() { w.partitioned = false })
	},
	"worker restarts unseen": func(sim *simulation) {
		w := sim.workers[sim.rand.IntN(len(sim.workers))]
		if w.down {
			return
		}
		w.restart() // between two requests of its agent
	},
}

var restartFaultNames = []string{"worker restarts", "worker restarts behind a cut", "worker restarts unseen"}

// simulateRestarts runs one schedule in which workers restart under the same ID while orders to
// them are carried out late, links break and agents are replaced.
func simulateRestarts(seed uint64) *simulation {
	sim := newSimulation(seed, testConfig())
	sim.logsEvents = *oneSeed != 0
	for n := range 150 {
		at := time.Duration(sim.rand.Int64N(int64(8 * time.Second)))
		tasks := 1 + sim.rand.IntN(4)
		sim.schedule(at, func() { sim.submit(testJob(sim, fmt.Sprintf("%016x", n), tasks, 3)) })
		if n%3 == 0 {
			sim.schedule(at, func() { sim.submit(testDurableJob(sim, fmt.Sprintf("d%015x", n), tasks)) })
		}
	}
	sim.orderLossShare = 0.1 * float64(sim.rand.IntN(4))
	sim.schedule(8*time.Second, func() { sim.orderLossShare = 0 })
	for range 4 + sim.rand.IntN(8) {
		names, byName := restartFaultNames, restartFaults
		if sim.rand.IntN(3) == 0 {
			names, byName = scheduleFaultNames, scheduleFaults
		}
		name := names[sim.rand.IntN(len(names))]
		sim.schedule(time.Duration(sim.rand.Int64N(int64(8*time.Second))), func() { sim.logEvent("fault: %s", name); byName[name](sim) })
	}
	sim.run(40 * time.Second)
	return sim
}

// TestRestartSchedules checks that no task runs twice at a time and no end is lost when a worker
// restarts under the same ID and still receives orders meant for its previous incarnation.
func TestRestartSchedules(t *testing.T) {
	done, ended := 0, 0
	simulateSeeds(t, *seeds/3, simulateRestarts, func(sim *simulation) {
		done += sim.checker.jobsDone
		ended += checkJobsEnded(sim)
	})
	t.Logf("%d awaited jobs done, %d durable ones ended", done, ended)
}

// simulateKillOfAll runs one schedule in which all entries and agents are killed at once, twice, while tasks of durable
// jobs run; the workers go on.
func simulateKillOfAll(seed uint64) *simulation {
	sim := newSimulation(seed, testConfig())
	sim.logsEvents = *oneSeed != 0
	submitLongJobs(sim, 8, 3*time.Second, 200*time.Millisecond, 1500*time.Millisecond)
	for n := range 2 {
		sim.schedule(time.Duration(n+1)*time.Second+time.Duration(sim.rand.Int64N(int64(time.Second))), func() {
			for _, e := range sim.entries {
				e.kill(time.Duration(100+sim.rand.IntN(500)) * time.Millisecond)
			}
			for _, a := range sim.agents {
				a.kill(time.Duration(100+sim.rand.IntN(500)) * time.Millisecond)
			}
		})
	}
	sim.run(60 * time.Second)
	return sim
}

// TestKillOfAllSchedules guards against tasks that are started again although they are done: a run ends after its agent
// was restarted and before an entry claims it.
func TestKillOfAllSchedules(t *testing.T) {
	checkThatJobsEnd(t, simulateKillOfAll)
}
