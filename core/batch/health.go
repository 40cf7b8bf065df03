package batch

import (
	"sort"
	"time"

	"peridotpick.example/common/room"
	"peridotpick.example/core/policy"
)

// slowThreshold is the slowness relative to the median below which workers count as equal. The
// varying sizes of some twenty tasks cause differences of this order, and placing by them would
// send the tasks of all entries to one worker: at 40% load 2% of the jobs are late with such
// placement, and 0.2% without.
const slowThreshold = 1.5

// relativeSlowness returns the slowness of an agent's worker relative to the median of its service,
// or 1 if it is below slowThreshold.
func (c *Core) relativeSlowness(a *agent) float64 {
	slowness := float64(a.load.Slowness) / c.medianSlownessOf(a.worker.Service)
	if slowness < slowThreshold || !c.settings.Policy.Enabled(policy.Pace) {
		return 1
	}
	return slowness
}

// medianSlownessOf returns the median slowness of a service's workers as of the last tick, in
// hundredths.
func (c *Core) medianSlownessOf(service string) float64 {
	if median := c.medianSlowness[service]; median > 0 {
		return median
	}
	return 100
}

// updateMedianSlowness computes the median slowness of the workers of each service.
func (c *Core) updateMedianSlowness() {
	lists := make(map[string][]int)
	for a := range c.agents.Values() {
		if a.load.Slowness > 0 {
			lists[a.worker.Service] = append(lists[a.worker.Service], a.load.Slowness)
		}
	}
	for service, list := range lists {
		sort.Ints(list)
		c.medianSlowness[service] = float64(list[len(list)/2])
	}
}

// Limits for workers that fail what they start.
const (
	// failStreakLimit is the number of failures in a row after which the worker is taken to be the
	// cause. Single tasks fail far less often.
	failStreakLimit = 2
	// unhealthySlowness is the slowness relative to the median from which a worker counts as
	// unhealthy, like one that fails. Most jobs that use such a worker end late.
	unhealthySlowness = 2.6
	// probeInterval is the time between probes of an unhealthy worker by all entries together. A
	// probe is a regular task, and is delayed if it fails there.
	probeInterval = 350 * time.Millisecond
)

// isUnhealthy reports whether an agent's worker fails, or is very slow with, all that it starts.
func (c *Core) isUnhealthy(a *agent) bool {
	return a.load.FailStreak >= failStreakLimit || c.relativeSlowness(a) >= unhealthySlowness
}

// isEjected reports whether an agent's worker is unhealthy and no probe is due.
func (c *Core) isEjected(a *agent, planned *plannedLoad) bool {
	if !c.isUnhealthy(a) || !c.settings.Policy.Enabled(policy.Probing) {
		return false
	}
	return c.now.Sub(a.probedAt) < time.Duration(a.sharingEntries())*probeInterval || planned.resources != (room.Resources{})
}

// isFailing reports whether a worker fails what it runs.
func (c *Core) isFailing(worker string) bool {
	for a := range c.agents.Values() {
		if a.worker.ID == worker {
			return a.load.FailStreak >= failStreakLimit
		}
	}
	return false
}
