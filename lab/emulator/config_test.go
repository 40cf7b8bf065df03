package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulateLateConfigurations runs one schedule in which entries are killed, get their configuration
// only some time after they start, and queues are left out of it for a time. Rows do not have the terms
// of their queue, as those of earlier versions.
func simulateLateConfigurations(seed uint64) *simulation {
	config := testConfig()
	config.forgetsTerms = true
	sim := newSimulation(seed, config)
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

// simulateRemovedQueues runs one schedule in which the queue of durable jobs is removed for good while they
// are handed in and run, and their owners are killed.
func simulateRemovedQueues(seed uint64, forgetsTerms bool) *simulation {
	config := testConfig()
	config.forgetsTerms = forgetsTerms
	sim := newSimulation(seed, config)
	sim.logsEvents = *oneSeed != 0
	sim.configDelay = func() time.Duration { return time.Duration(sim.rand.Int64N(int64(time.Second))) }
	for n := range 30 {
		tasks := 1 + sim.rand.IntN(5)
		sim.schedule(time.Duration(sim.rand.Int64N(int64(5*time.Second))), func() { sim.submit(testDurableJob(sim, fmt.Sprintf("d%015x", n), tasks)) })
	}
	sim.schedule(time.Second+time.Duration(sim.rand.Int64N(int64(3*time.Second))), func() { sim.configure(nil) })
	for range 1 + sim.rand.IntN(3) {
		sim.schedule(time.Second+time.Duration(sim.rand.Int64N(int64(7*time.Second))), func() { changeOwners(sim) })
	}
	sim.run(40 * time.Second)
	return sim
}

// TestRemovedQueueSchedules guards against accepted jobs that are never run, or not to their end, since
// their queue was removed: when they were stored, or before another entry took them over.
func TestRemovedQueueSchedules(t *testing.T) {
	checkThatJobsEnd(t, func(seed uint64) *simulation { return simulateRemovedQueues(seed, false) })
}

// TestRemovedQueueSchedulesWithoutTerms verifies that the schedules of TestRemovedQueueSchedules find rows
// that do not have the terms of their queue.
func TestRemovedQueueSchedulesWithoutTerms(t *testing.T) {
	is := is.New(t)
	failed := 0
	for seed := uint64(1); seed <= 6; seed++ {
		sim := simulateRemovedQueues(seed, true)
		checkJobsEnded(sim)
		if len(sim.checker.violations) > 0 {
			failed++
		}
	}
	t.Logf("%d of 6 schedules failed", failed)
	is.True(failed >= 4)
}

// TestEndsOfJobsWithoutTheirQueueAreAnswered guards against ends that no entry answers for: the queue of their job
// was removed for good, its row does not have the terms, and its owners are gone.
func TestEndsOfJobsWithoutTheirQueueAreAnswered(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		sim := simulateRemovedQueues(seed, true)
		for _, v := range sim.checker.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		for _, a := range sim.agents {
			if !a.dead && a.core.HasUndeliveredEnds() {
				t.Errorf("seed %d: %s keeps ends that no entry answers for", seed, a.worker.id)
			}
		}
	}
}
