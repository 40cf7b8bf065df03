package batch

import (
	"sort"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/policy"
)

// slowFrom is the slowness, against the typical worker, below which workers count
// as equal: the varying sizes of some twenty tasks make as much of it, and choosing
// by it would send all entries to one worker (late jobs at 40% load: 2% with, 0.2%
// without such choices).
const slowFrom = 1.5

// relativeSlowness compares a worker's run times with those of all.
func (c *Core) relativeSlowness(a *agent) float64 {
	slowness := float64(a.load.Slowness) / c.typicalSlowness(a.worker.Service)
	if slowness < slowFrom || !c.settings.Policy.Has(policy.Pace) {
		return 1
	}
	return slowness
}

// typicalSlowness returns the median over a service's workers, as of the last tick.
func (c *Core) typicalSlowness(service string) float64 {
	if typical := c.typical[service]; typical > 0 {
		return typical
	}
	return 100
}

// measureTypical finds the median slowness of each service's workers.
func (c *Core) measureTypical() {
	lists := make(map[string][]int)
	for a := range c.agents.Values() {
		if a.load.Slowness > 0 {
			lists[a.worker.Service] = append(lists[a.worker.Service], a.load.Slowness)
		}
	}
	for service, list := range lists {
		sort.Ints(list)
		c.typical[service] = float64(list[len(list)/2])
	}
}

// Limits on workers that fail what they start.
const (
	// failStreakLimit is the number of failures in a row after which a worker is
	// taken to be the cause: single tasks fail far less often.
	failStreakLimit = 2
	// crawling is the slowness, against the typical worker, from which a worker
	// counts as failing too: most jobs that go there end late.
	crawling = 2.6
	// probeEvery is the time between tasks of all entries that try a failing worker
	// again; each task tried there is delayed by its failure.
	probeEvery = 350 * time.Millisecond
)

// unsound reports whether an agent's worker fails or crawls with all it starts.
func (c *Core) unsound(a *agent) bool {
	return a.load.FailStreak >= failStreakLimit || c.relativeSlowness(a) >= crawling
}

// shunned reports whether an agent's worker is unsound and not due for a try.
func (c *Core) shunned(a *agent, tr *trial) bool {
	if !c.unsound(a) || !c.settings.Policy.Has(policy.Probing) {
		return false
	}
	return c.now.Sub(a.probedAt) < time.Duration(a.sharers())*probeEvery || tr.used != (room.Room{})
}

func (c *Core) failing(worker string) bool {
	for a := range c.agents.Values() {
		if a.worker.ID == worker {
			return a.load.FailStreak >= failStreakLimit
		}
	}
	return false
}
