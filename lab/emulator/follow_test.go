package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulateReadersBehind runs one schedule in which the store gives its changes in small parts and turns
// entries away for a while, so that they have many changes to read then. Other entries freeze or are killed
// just before that, while tasks of theirs end.
func simulateReadersBehind(seed uint64, trustsParts bool) *simulation {
	config := testConfig()
	config.dataCentres = []dataCentreConfig{{name: "d", entries: 3 + int(seed%3), workers: 6}}
	config.trustsParts = trustsParts
	sim := newSimulation(seed, config)
	sim.logsEvents = *oneSeed != 0
	sim.store.partRows = 1 + sim.rand.IntN(8)
	for n := range 150 {
		at := time.Duration(sim.rand.Int64N(int64(10 * time.Second)))
		tasks := 1 + sim.rand.IntN(3)
		sim.schedule(at, func() {
			j := testDurableJob(sim, fmt.Sprintf("d%015x", n), tasks)
			j.steps[0].Need.CPU /= 4
			sim.submit(j)
		})
	}
	for range 2 {
		away, lost := sim.entries[sim.rand.IntN(2)], sim.entries[2+sim.rand.IntN(len(sim.entries)-2)]
		from := time.Second + time.Duration(sim.rand.Int64N(int64(2*time.Second)))
		until := from + 2*time.Second + time.Duration(sim.rand.Int64N(int64(4*time.Second)))
		sim.schedule(from, func() { away.storeDenied = true })
		sim.schedule(until, func() { away.storeDenied = false })
		sim.schedule(until-time.Duration(sim.rand.IntN(900))*time.Millisecond, func() {
			switch {
			case lost.dead:
			case sim.rand.IntN(2) == 0:
				lost.suspend(time.Duration(2000+sim.rand.IntN(3000)) * time.Millisecond)
			default:
				lost.kill(time.Duration(100+sim.rand.IntN(500)) * time.Millisecond)
			}
		})
	}
	sim.run(40 * time.Second)
	return sim
}

// TestReadersBehindSchedules guards against tasks that are started again although they are done: an entry
// that has read only a part of the changes that it has missed says that the jobs of their ends do not exist.
func TestReadersBehindSchedules(t *testing.T) {
	checkThatJobsEnd(t, func(seed uint64) *simulation { return simulateReadersBehind(seed, false) })
}

// TestReadersBehindSchedulesWithTrustedParts verifies that the schedules of TestReadersBehindSchedules find
// entries that take a part of the changes for all of them.
func TestReadersBehindSchedulesWithTrustedParts(t *testing.T) {
	is := is.New(t)
	failed := 0
	for seed := uint64(1); seed <= 12; seed++ {
		if len(simulateReadersBehind(seed, true).checker.violations) > 0 {
			failed++
		}
	}
	t.Logf("%d of 12 schedules failed", failed)
	is.True(failed >= 4)
}
