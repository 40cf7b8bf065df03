package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// crashConfig has enough workers that some are left when a few have crashed.
func crashConfig() *simConfig {
	config := testConfig()
	config.dataCentres = []dataCentreConfig{{name: "d", entries: 3, workers: 12}}
	return config
}

// successfulJob returns a job none of whose runs fails.
func successfulJob(sim *simulation, name string, tasks int) *jobSpec {
	j := testJob(sim, name, tasks, 3)
	j.taskWork = func(runs.Key) (time.Duration, bool) {
		return time.Duration(20+sim.rand.IntN(400)) * time.Millisecond, false
	}
	return j
}

// makeCrashing makes the first task of a job crash each worker that starts it, with a random delay
// of up to 0, 15 or 150 ms.
func makeCrashing(sim *simulation, j *jobSpec) *jobSpec {
	maxDelay := []time.Duration{0, 15 * time.Millisecond, 150 * time.Millisecond}[sim.rand.IntN(3)]
	j.crashDelay = func(key runs.Key) (time.Duration, bool) {
		_, index := stepAndIndex(key.Task)
		return time.Duration(sim.rand.Int64N(int64(maxDelay) + 1)), index == 0
	}
	return j
}

// crashTrial is a simulation with tasks that crash workers, and its outcome.
type crashTrial struct {
	*simulation
	crashing map[string]bool
	// otherFailed counts the failed jobs that crash no worker, crashingFailed the failed jobs that
	// do, and crashingOpen the durable jobs of the latter that have not ended.
	otherFailed, crashingFailed, crashingOpen int
}

// simulateCrashingTasks runs one schedule in which some jobs crash workers, along with faults.
func simulateCrashingTasks(seed uint64) *crashTrial {
	sim := newSimulation(seed, crashConfig())
	sim.logsEvents = *oneSeed != 0
	ct := &crashTrial{simulation: sim, crashing: make(map[string]bool)}
	for n := range 200 {
		at := time.Duration(sim.rand.Int64N(int64(8 * time.Second)))
		j := successfulJob(sim, fmt.Sprintf("%016x", n), 1+sim.rand.IntN(4))
		if n%5 == 0 {
			j.name, j.durable, j.submissionsLeft = fmt.Sprintf("d%015x", n), true, 1000
		}
		if n%25 == 0 || n%25 == 7 {
			makeCrashing(sim, j)
			ct.crashing[j.name] = true
		}
		sim.schedule(at, func() { sim.submit(j) })
	}
	for range sim.rand.IntN(4) {
		name := []string{"entry killed", "agent killed", "links reset", "worker restarts", "worker restarts behind a cut", "orders lost"}[sim.rand.IntN(6)]
		inject := scheduleFaults[name]
		if inject == nil {
			inject = restartFaults[name]
		}
		sim.schedule(time.Duration(sim.rand.Int64N(int64(8*time.Second))), func() { sim.logEvent("fault: %s", name); inject(sim) })
	}
	sim.run(40 * time.Second)
	ct.countOutcomes()
	return ct
}

// countOutcomes counts how jobs have ended.
func (ct *crashTrial) countOutcomes() {
	for name, answers := range ct.checker.answered {
		for _, a := range answers {
			ct.count(name, a.Kind == errkind.TaskFailed)
		}
	}
	for name := range ct.checker.accepted {
		state := ct.store.rows[name].Row.State
		ct.count(name, state == batch.JobFailed)
		if ct.crashing[name] && !state.Ended() {
			ct.crashingOpen++
		}
	}
}

func (ct *crashTrial) count(job string, failed bool) {
	switch {
	case failed && ct.crashing[job]:
		ct.crashingFailed++
	case failed:
		ct.otherFailed++
		ct.logEvent("sound job %s failed", job)
	}
}

// TestCrashSchedules checks that a task that crashes workers is given up after it has crashed a few
// of them, whichever entries and agents have seen the crashes, and that no other job fails because
// of it.
func TestCrashSchedules(t *testing.T) {
	is := is.New(t)
	crashed, otherFailed, crashingFailed := 0, 0, 0
	simulateSeeds(t, max(*seeds/10, 1), func(seed uint64) *simulation {
		ct := simulateCrashingTasks(seed)
		for _, n := range ct.checker.crashCount {
			crashed += n
		}
		otherFailed, crashingFailed = otherFailed+ct.otherFailed, crashingFailed+ct.crashingFailed
		if ct.crashingOpen > 0 && len(ct.checker.violations) == 0 {
			t.Errorf("seed %d: %d crashing durable jobs have not ended", seed, ct.crashingOpen)
		}
		return ct.simulation
	}, func(*simulation) {})
	t.Logf("%d workers crashed by tasks, %d crashing jobs failed, %d other jobs failed", crashed, crashingFailed, otherFailed)
	is.True(crashingFailed > 0)
	is.Equal(otherFailed, 0)
}

// TestJobsSurviveUnrelatedCrashes checks that no job fails because workers crash for other reasons:
// some crash repeatedly, single ones now and then, and many at the same time.
func TestJobsSurviveUnrelatedCrashes(t *testing.T) {
	crashes, failed := 0, 0
	for seed := uint64(1); seed <= uint64(max(*seeds/25, 1)); seed++ {
		sim := newSimulation(seed, crashConfig())
		ct := &crashTrial{simulation: sim, crashing: make(map[string]bool)}
		for n := range 600 {
			j := successfulJob(sim, fmt.Sprintf("%016x", n), 1+sim.rand.IntN(4))
			if n%5 == 0 {
				j.name, j.durable, j.submissionsLeft = fmt.Sprintf("d%015x", n), true, 1000
			}
			sim.schedule(time.Duration(sim.rand.Int64N(int64(20*time.Second))), func() { sim.submit(j) })
		}
		crash := func(workers []*worker) {
			for _, w := range workers {
				if !w.down {
					crashes++
					w.crash()
					w.restartAfter(time.Duration(200+sim.rand.IntN(1500)) * time.Millisecond)
				}
			}
		}
		flapping := pick(sim, sim.workers, 0.15)
		end := simulationStart.Add(20 * time.Second)
		sim.repeat(1500*time.Millisecond, end, func() { crash(flapping) })
		sim.repeat(2500*time.Millisecond, end, func() { crash(pick(sim, sim.workers, 0.05)) })
		sim.repeat(6*time.Second, end, func() { crash(pick(sim, sim.workers, 0.3)) })
		sim.run(30 * time.Second)
		for _, v := range sim.checker.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		ct.countOutcomes()
		failed += ct.otherFailed
	}
	t.Logf("%d workers crashed, %d jobs failed", crashes, failed)
	if failed > 0 {
		t.Errorf("%d jobs failed in %d unrelated crashes", failed, crashes)
	}
}

// simulatePartitions runs one schedule in which groups of workers are partitioned, some restarting
// meanwhile, and orders get no answer. Agents cannot distinguish a partition from a crash.
func simulatePartitions(seed uint64) *simulation {
	sim := newSimulation(seed, crashConfig())
	sim.logsEvents = *oneSeed != 0
	sim.orderLossShare = 0.06
	for n := range 500 {
		j := successfulJob(sim, fmt.Sprintf("%016x", n), 1+sim.rand.IntN(6))
		if n%5 == 0 {
			j.name, j.durable, j.submissionsLeft = fmt.Sprintf("d%015x", n), true, 1000
		}
		sim.schedule(time.Duration(sim.rand.Int64N(int64(10*time.Second))), func() { sim.submit(j) })
	}
	for at := time.Second; at < 10*time.Second; at += 2 * time.Second {
		sim.schedule(at, func() {
			for _, w := range pick(sim, sim.workers, 0.25) {
				w.partitioned = true
				if sim.rand.IntN(2) == 0 {
					sim.schedule(time.Duration(sim.rand.IntN(800))*time.Millisecond, w.restart)
				}
				sim.schedule(time.Second+time.Duration(sim.rand.IntN(500))*time.Millisecond, func() { w.partitioned = false })
			}
		})
	}
	sim.run(30 * time.Second)
	return sim
}

// TestPartitionedWorkersFailNoJob checks that a job fails only if workers have crashed while they
// ran one of its tasks.
func TestPartitionedWorkersFailNoJob(t *testing.T) {
	simulateSeeds(t, max(*seeds/10, 1), simulatePartitions, func(*simulation) {})
}
