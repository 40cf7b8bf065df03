package emulator

import (
	"flag"
	"fmt"
	"iter"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// testConfig is a small deployment with much reordering and delay of messages.
func testConfig() *simConfig {
	return &simConfig{
		dataCentres: []dataCentreConfig{{name: "d", entries: 2, workers: 4}},
		capacity:    func(int) room.Resources { return room.Resources{CPU: 8000, Memory: 8000} }, rackSize: 4,
		resend: 1300 * time.Millisecond, ownerLease: 390 * time.Millisecond, workerLease: 780 * time.Millisecond,
		runEndTimeout: 900 * time.Millisecond, longestLease: 5 * time.Second, ownershipTTL: 2 * time.Second, entrySilenceTimeout: 800 * time.Millisecond,
		localLatency: 300 * time.Microsecond, jitter: 1200 * time.Microsecond, callerLatency: 3 * time.Millisecond,
		announceInterval: 300 * time.Millisecond, delayedShare: 0.1, pollWait: 100 * time.Millisecond,
		crossCost: time.Millisecond, remoteFactor: 1.5,
	}
}

// testTimeout is how long callers of the schedules wait for an answer.
const testTimeout = 1500 * time.Millisecond

// testJob returns a job of one step, the work of whose tasks is drawn at each start.
func testJob(sim *simulation, name string, tasks, submissions int) *jobSpec {
	need := room.Resources{CPU: 1500 + sim.rand.IntN(1500), Memory: 10}
	return &jobSpec{
		name: name, queue: testQueue, submissionsLeft: submissions, timeout: testTimeout,
		steps: []batch.Step{{Count: tasks, Need: need, Estimate: 200 * time.Millisecond}},
		taskWork: func(runs.Key) (time.Duration, bool) {
			return time.Duration(20+sim.rand.IntN(400)) * time.Millisecond, sim.rand.IntN(100) == 0
		},
		nextEntry: func() *entryProcess { return sim.entries[sim.rand.IntN(len(sim.entries))] },
	}
}

// testDurableJob returns a durable job, which its caller submits until it is accepted.
func testDurableJob(sim *simulation, name string, tasks int) *jobSpec {
	j := testJob(sim, name, tasks, 1000)
	j.durable = true
	return j
}

var (
	seeds            = flag.Int("schedules", 150, "number of seeded schedules")
	oneSeed          = flag.Uint64("seed", 0, "simulate only this seed")
	scheduleDuration = 12 * time.Second
)

var testQueue = &catalog.Queue{Name: "q", Service: serviceName, MaxAttempts: 3, Stretch: 1.6, Target: 500 * time.Millisecond}

// scheduleFaults are the faults of the schedules; each seed draws a few of them.
var scheduleFaults = map[string]func(sim *simulation){
	"agent killed": func(sim *simulation) {
		a := sim.agents[sim.rand.IntN(len(sim.agents))]
		if !a.dead {
			a.kill(time.Duration(100+sim.rand.IntN(2000)) * time.Millisecond)
		}
	},
	"entry killed": func(sim *simulation) {
		e := sim.entries[sim.rand.IntN(len(sim.entries))]
		if !e.dead {
			e.kill(time.Duration(100+sim.rand.IntN(2000)) * time.Millisecond)
		}
	},
	"agent frozen": func(sim *simulation) {
		sim.agents[sim.rand.IntN(len(sim.agents))].suspend(time.Duration(sim.rand.IntN(3000)) * time.Millisecond)
	},
	"entry frozen": func(sim *simulation) {
		sim.entries[sim.rand.IntN(len(sim.entries))].suspend(time.Duration(sim.rand.IntN(3000)) * time.Millisecond)
	},
	"links reset": func(sim *simulation) {
		for l := range sim.agents[sim.rand.IntN(len(sim.agents))].links.Values() {
			l.close()
		}
	},
	"links silent": func(sim *simulation) {
		for l := range sim.agents[sim.rand.IntN(len(sim.agents))].links.Values() {
			l.dropsMessages = true
		}
	},
	"worker crashes": func(sim *simulation) {
		w := sim.workers[sim.rand.IntN(len(sim.workers))]
		if w.down {
			return
		}
		w.crash()
		sim.schedule(time.Duration(sim.rand.IntN(2000))*time.Millisecond, w.restartWithNewID)
	},
	"worker hangs": func(sim *simulation) {
		w := sim.workers[sim.rand.IntN(len(sim.workers))]
		w.setSpeed(true, 0)
		sim.schedule(2*time.Second, func() { w.setSpeed(false, 0) })
	},
	"worker fails all": func(sim *simulation) {
		w := sim.workers[sim.rand.IntN(len(sim.workers))]
		w.failing = true
		sim.schedule(2*time.Second, func() { w.failing = false })
	},
	"orders lost": func(sim *simulation) {
		sim.orderLossShare = 0.3
		sim.schedule(2*time.Second, func() { sim.orderLossShare = 0 })
	},
}

// scheduleFaultNames fixes the order from which seeds draw.
var scheduleFaultNames = []string{
	"agent killed", "entry killed", "agent frozen", "entry frozen", "links reset", "links silent", "worker crashes",
	"worker hangs", "worker fails all", "orders lost",
}

// simulateSchedule runs one schedule of awaited jobs and faults.
func simulateSchedule(seed uint64) *simulation {
	sim := newSimulation(seed, testConfig())
	sim.logsEvents = *oneSeed != 0
	for n := range 300 {
		at := time.Duration(sim.rand.Int64N(int64(scheduleDuration - 3*time.Second)))
		tasks := 1 + sim.rand.IntN(5)
		sim.schedule(at, func() { sim.submit(testJob(sim, fmt.Sprintf("%016x", n), tasks, 3)) })
	}
	for range 1 + sim.rand.IntN(8) {
		name := scheduleFaultNames[sim.rand.IntN(len(scheduleFaultNames))]
		sim.schedule(time.Duration(sim.rand.Int64N(int64(scheduleDuration-4*time.Second))), func() { sim.logEvent("fault: %s", name); scheduleFaults[name](sim) })
	}
	sim.run(scheduleDuration)
	return sim
}

// TestSchedules checks that all guarantees hold for awaited jobs under random faults.
func TestSchedules(t *testing.T) {
	done, starts := 0, 0
	simulateSeeds(t, *seeds, simulateSchedule, func(sim *simulation) {
		done += sim.checker.jobsDone
		starts += sim.checker.starts
	})
	t.Logf("%d jobs done, %d starts", done, starts)
}

// simulateSeeds runs a schedule with the seeds 1 to count, or with the one that the flag selects,
// calls inspect with each simulation and reports the violations of guarantees.
func simulateSeeds(t *testing.T, count int, simulate func(seed uint64) *simulation, inspect func(*simulation)) {
	t.Helper()
	first, last := uint64(1), uint64(count)
	if *oneSeed != 0 {
		first, last = *oneSeed, *oneSeed
	}
	for seed, sim := range simulateConcurrently(first, last, simulate) {
		inspect(sim)
		for _, v := range sim.checker.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		for _, line := range sim.eventLog {
			t.Log(line)
		}
	}
}

// concurrentSeeds is the number of seeds that are simulated at the same time.
const concurrentSeeds = 3

// simulateConcurrently runs a schedule with the given seeds and yields the simulations in their order.
func simulateConcurrently(first, last uint64, simulate func(seed uint64) *simulation) iter.Seq2[uint64, *simulation] {
	return func(yield func(uint64, *simulation) bool) {
		for at := first; at <= last; at += concurrentSeeds {
			var sims [concurrentSeeds]*simulation
			var group sync.WaitGroup
			for i := range min(concurrentSeeds, last-at+1) {
				group.Go(func() { sims[i] = simulate(at + i) })
			}
			group.Wait()
			for i := range min(concurrentSeeds, last-at+1) {
				if !yield(at+i, sims[i]) {
					return
				}
			}
		}
	}
}

// TestScheduleWithoutFaults checks that without faults nearly all jobs of a schedule end.
func TestScheduleWithoutFaults(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, testConfig())
	for n := range 100 {
		sim.schedule(time.Second+time.Duration(n)*50*time.Millisecond, func() { sim.submit(testJob(sim, fmt.Sprintf("%016x", n), 2, 1)) })
	}
	sim.run(10 * time.Second)
	is.Equal(len(sim.checker.violations), 0)
	is.True(sim.checker.jobsDone >= 95)
}

// TestTasksOfCancelledJobsEndInTime checks that no task of a cancelled job runs longer than a limit
// after the cancellation, while orders are lost or carried out late and an entry is killed for
// good.
func TestTasksOfCancelledJobsEndInTime(t *testing.T) {
	const limit = 3 * time.Second // time after the cancellation within which tasks must have ended
	for seed := uint64(1); seed <= 12; seed++ {
		sim := newSimulation(seed, testConfig())
		sim.orderLossShare = 0.2
		cancelledAt := make(map[string]time.Time)
		for n := range 200 {
			j := testJob(sim, fmt.Sprintf("%016x", n), 2, 1)
			j.cancelAfter = time.Duration(20+sim.rand.IntN(300)) * time.Millisecond
			at := time.Duration(sim.rand.Int64N(int64(5 * time.Second)))
			sim.schedule(at, func() { sim.submit(j) })
			sim.schedule(at+j.cancelAfter, func() { cancelledAt[j.name] = sim.now })
		}
		sim.schedule(3*time.Second, func() { sim.entries[0].kill(time.Hour) })
		sim.repeat(50*time.Millisecond, simulationStart.Add(10*time.Second), func() {
			for _, w := range sim.workers {
				for task := range w.running.All() {
					key := runs.Key{Task: task}
					if since, cancelled := cancelledAt[key.Job()]; cancelled && sim.now.Sub(since) > limit {
						sim.checker.reportViolation("%s still runs %v after its caller left", task, sim.now.Sub(since))
					}
				}
			}
		})
		sim.run(10 * time.Second)
		for _, v := range sim.checker.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}
