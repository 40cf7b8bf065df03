package emulator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/policy"
	"peridotpick.example/core/subset"
	"peridotpick.example/wire/runs"
)

// rareQueue is a queue of a service that few workers offer.
var rareQueue = &catalog.Queue{Name: "rare", Service: "rare", MaxAttempts: 3, Stretch: 1.6, Target: 500 * time.Millisecond}

// newReachSimulation returns a simulation with more entries than an agent has links, workers of two
// services and several kinds, racks and sizes.
func newReachSimulation(seed uint64, p policy.Policy) *simulation {
	config := testConfig()
	config.policy = p
	config.ownershipTTL = 5500 * time.Millisecond
	entries, workers := subset.MaxLinks+1+int(seed%11), 5+int(seed%7)
	config.dataCentres = []dataCentreConfig{{name: "d", entries: entries / 2, workers: workers / 2}, {name: "e", entries: entries - entries/2, workers: workers - workers/2}}
	config.rackSize = 1 + int(seed%3)
	config.capacity = func(n int) room.Resources {
		return room.Resources{CPU: 4000 * (1 + n%3), Memory: 8000}
	}
	config.service = func(n int) string {
		if n%4 == 3 {
			return rareQueue.Service
		}
		return serviceName
	}
	config.kind = func(n int) string { return fmt.Sprintf("k%d", n%4) }
	sim := newSimulation(seed, config)
	sim.logsEvents = *oneSeed != 0
	return sim
}

// requireSomething gives a job a requirement that some worker meets.
func requireSomething(sim *simulation, j *jobSpec) {
	w := sim.workers[sim.rand.IntN(len(sim.workers))]
	info := w.info()
	if info.Service == rareQueue.Service {
		j.queue = rareQueue
	}
	s := &j.steps[0]
	s.Need.CPU = 500
	switch sim.rand.IntN(4) {
	case 0:
		s.Requires = info.Labels[0] // its rack
	case 1:
		s.Requires = info.Labels[1] // its kind
	case 2:
		s.Need.CPU = info.Capacity.CPU
	}
	if sim.rand.IntN(3) == 0 {
		s.AntiAffinity = 1
	}
}

// hasTaker reports whether the worker of some live agent could run the tasks of a job.
func hasTaker(sim *simulation, j *jobSpec) bool {
	for i, w := range sim.workers {
		info := w.info()
		r := runs.Requirement{Service: j.queue.Service, Label: j.steps[0].Requires, Need: j.steps[0].Need}
		if !w.down && !sim.agents[i].dead && info.Meets(r) {
			return true
		}
	}
	return false
}

// loseWorkerForGood has the machine of a worker and its agent vanish, unless few are left.
func loseWorkerForGood(sim *simulation) {
	n := sim.rand.IntN(len(sim.workers))
	if lost := countLost(sim); lost >= len(sim.workers)/3 || sim.workers[n].down {
		return
	}
	sim.logEvent("fault: %s is lost for good", sim.workers[n].name)
	sim.workers[n].crash()
	sim.agents[n].kill(time.Hour)
}

func countLost(sim *simulation) int {
	lost := 0
	for _, w := range sim.workers {
		if w.down {
			lost++
		}
	}
	return lost
}

// simulateReach runs one schedule of durable and awaited jobs that require a label, a rack, a service of
// few workers or a large worker, with faults and losses, and a quiet end.
func simulateReach(seed uint64, p policy.Policy) *simulation {
	sim := newReachSimulation(seed, p)
	for n := range 60 {
		at := 1500*time.Millisecond + time.Duration(sim.rand.Int64N(int64(8*time.Second)))
		tasks := 1 + sim.rand.IntN(3)
		sim.schedule(at, func() {
			j := testDurableJob(sim, fmt.Sprintf("d%015x", n), tasks)
			requireSomething(sim, j)
			sim.addQueue(j.queue)
			sim.submit(j)
		})
		sim.schedule(at, func() {
			j := testJob(sim, fmt.Sprintf("%016x", n), tasks, 2)
			requireSomething(sim, j)
			sim.submit(j)
		})
	}
	if seed%3 > 0 {
		scheduleRandomFaults(sim, 3)
		for range sim.rand.IntN(3) {
			sim.schedule(2*time.Second+time.Duration(sim.rand.Int64N(int64(8*time.Second))), func() { loseWorkerForGood(sim) })
		}
	}
	sim.run(35 * time.Second)
	return sim
}

// checkReachableJobsEnded reports the accepted jobs that some worker could run and that have not ended.
func checkReachableJobsEnded(sim *simulation) (ended, waiting int) {
	for name := range sim.checker.accepted {
		row := sim.store.rows[name].Row
		switch {
		case row != nil && row.State.Ended():
			ended++
		case hasTaker(sim, sim.jobs[name]):
			waiting++
			sim.checker.reportViolation("job %s was accepted, some worker can run it, and it has not ended: %+v", name, row)
		}
	}
	return ended, waiting
}

// TestReachSchedules guards against accepted jobs that are never run because none of the agents linked
// to their entry can run them, while others can.
func TestReachSchedules(t *testing.T) {
	ended := 0
	simulateSeeds(t, *seeds/3, func(seed uint64) *simulation { return simulateReach(seed, policy.Policy{}) }, func(sim *simulation) {
		if len(sim.checker.violations) == 0 {
			n, _ := checkReachableJobsEnded(sim)
			ended += n
		}
	})
	t.Logf("%d durable jobs ended", ended)
}

// TestReachSchedulesWithoutAsking verifies that the schedules of TestReachSchedules find entries that
// do not ask for workers out of their reach.
func TestReachSchedulesWithoutAsking(t *testing.T) {
	is := is.New(t)
	p, err := policy.Without(string(policy.AskForWorkers))
	is.NoErr(err)
	failed := 0
	for seed := uint64(1); seed <= 6; seed++ {
		if _, waiting := checkReachableJobsEnded(simulateReach(seed, p)); waiting > 0 {
			failed++
		}
	}
	t.Logf("%d of 6 schedules failed", failed)
	is.True(failed >= 4)
}

// TestRequirementThatNobodyMeets verifies that a requirement that no worker meets opens no links, and
// that an awaited job with it is refused at once.
func TestRequirementThatNobodyMeets(t *testing.T) {
	is := is.New(t)
	sim := newReachSimulation(1, policy.Policy{})
	sim.run(5 * time.Second) // entries that are short of agents have got some
	before := countLinks(sim)
	for n := range 40 {
		durable := testDurableJob(sim, fmt.Sprintf("d%015x", n), 1)
		awaited := testJob(sim, fmt.Sprintf("%016x", n), 1, 1)
		for _, j := range []*jobSpec{durable, awaited} {
			j.steps[0].Requires = fmt.Sprintf("nowhere%d", n)
			sim.addQueue(j.queue)
			sim.submit(j)
		}
	}
	sim.run(10 * time.Second)
	is.Equal(countLinks(sim), before)
	for _, e := range sim.entries {
		is.Equal(e.openRequests.Len(), 0)
		is.True(len(e.lacks) <= runs.MaxLacks)
	}
	is.Equal(len(sim.checker.violations), 0)
}

// sizedSimulation returns a simulation of the given size with some 40 racks.
func sizedSimulation(entries, agents int, p policy.Policy) *simulation {
	config := testConfig()
	config.policy, config.rackSize = p, max(agents/40, 1)
	config.dataCentres = []dataCentreConfig{{name: "d", entries: entries, workers: agents}}
	return newSimulation(1, config)
}

// largeFleet selects a large deployment, which takes minutes, for the tests of reachSizes.
var largeFleet = flag.Bool("fleet", false, "simulate 184 entries and 804 agents")

// reachSize is the size of a deployment.
type reachSize struct{ entries, agents int }

// reachSizes returns the sizes to simulate.
func reachSizes() []reachSize {
	if *largeFleet {
		return []reachSize{{184, 804}}
	}
	return []reachSize{{8, 11}, {30, 130}}
}

// countLinks returns the number of open links.
func countLinks(sim *simulation) int {
	n := 0
	for _, a := range sim.agents {
		n += a.links.Len()
	}
	return n
}

// TestIdleSystemPaysNothingForReach counts messages and links of an idle system, with entries that ask
// for workers and with ones that do not.
func TestIdleSystemPaysNothingForReach(t *testing.T) {
	is := is.New(t)
	without, err := policy.Without(string(policy.AskForWorkers))
	is.NoErr(err)
	for _, size := range reachSizes() {
		var messages, links [2]int
		for i, p := range []policy.Policy{{}, without} {
			sim := sizedSimulation(size.entries, size.agents, p)
			sim.run(6 * time.Second)
			messages[i], links[i] = sim.messages, countLinks(sim)
			is.Equal(sim.announcements, 0)
		}
		t.Logf("%d entries, %d agents: %d messages in 6 s, %d links", size.entries, size.agents, messages[0], links[0])
		is.Equal(messages[0], messages[1])
		is.Equal(links[0], links[1])
	}
}

// TestOneLackInALargeDeployment verifies that a job which requires a rack out of reach is done soon, and
// how many links that opens and for how long.
func TestOneLackInALargeDeployment(t *testing.T) {
	is := is.New(t)
	sizes := reachSizes()
	size := sizes[len(sizes)-1]
	sim := sizedSimulation(size.entries, size.agents, policy.Policy{})
	sim.run(4 * time.Second)
	links := countLinks(sim)
	e := sim.entries[0]
	linked := make(map[string]bool)
	for l := range e.links.Values() {
		linked[l.agent.worker.rack] = true
	}
	j := testDurableJob(sim, "d000000000000001", 1)
	for _, w := range sim.workers {
		if !linked[w.rack] {
			j.steps[0].Requires = w.rack
		}
	}
	is.True(j.steps[0].Requires != "")
	j.nextEntry = func() *entryProcess { return e }
	sim.addQueue(j.queue)
	sim.submit(j)
	most, doneAfter := 0, time.Duration(0)
	for at := 100 * time.Millisecond; at <= 5*time.Second; at += 100 * time.Millisecond {
		sim.run(100 * time.Millisecond)
		most = max(most, countLinks(sim)-links)
		if row := sim.store.rows[j.name].Row; row != nil && row.State.Ended() && doneAfter == 0 {
			doneAfter = at
		}
	}
	t.Logf("done after %v; %d links more at most", doneAfter, most)
	is.True(doneAfter > 0 && doneAfter <= 3*time.Second)
	is.True(most <= 16)
	sim.run(15 * time.Second)
	is.Equal(countLinks(sim), links)
}
