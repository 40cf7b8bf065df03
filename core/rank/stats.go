package rank

import (
	"time"
)

// kindStats are the run times and failures measured for one kind of task.
type kindStats struct {
	// meanRun is the mean run time, in nanoseconds.
	meanRun float64
	// highRun estimates the highQuantile of run times, in nanoseconds, to detect stragglers.
	highRun  float64
	failRate float64
	samples  int
}

// Parameters of the statistics of a kind.
const (
	// kindRunWeight is the least weight of one result in the mean run time of its kind.
	kindRunWeight = 0.05
	// overallRunWeight is the weight of one result in the mean run time over all kinds.
	overallRunWeight = 0.01
	// highStep is the step of the quantile estimate, as a fraction of it. Steps up and down balance
	// at highQuantile.
	highStep     = 0.02
	highQuantile = 0.95
	// kindFailRateLimit is the failure rate of a kind above which its failures are attributed to
	// the kind rather than the agent, if other agents fail too.
	kindFailRateLimit = 0.5
	// maxKinds is the number of kinds from which the statistics of all kinds are cleared.
	maxKinds = 4096
)

// RunTime returns the expected run time of a kind on an average agent.
func (p *Pool) RunTime(kind Kind) time.Duration {
	if k := p.kinds[kind]; k != nil && k.samples > 0 {
		return time.Duration(k.meanRun)
	}
	return p.params.DefaultRunTime
}

// MeanRunTime returns the mean run time over the results of all kinds.
func (p *Pool) MeanRunTime() time.Duration {
	if p.meanRun == 0 {
		return p.params.DefaultRunTime
	}
	return time.Duration(p.meanRun)
}

// StragglerThreshold returns the run time that few tasks of the kind exceed, or zero if there are
// too few results.
func (p *Pool) StragglerThreshold(kind Kind) time.Duration {
	k := p.kinds[kind]
	if k == nil || k.samples < 4*minSamples {
		return 0
	}
	return time.Duration(k.highRun)
}

// RecordSuccess records the run time of a task that completed at a. A probe that ran in normal time
// ends the ejection of a; an agent that has become too slow is ejected.
func (p *Pool) RecordSuccess(now time.Time, a *Agent, kind Kind, run time.Duration) {
	k := p.statsOf(kind)
	ratio := 1.0
	if k.samples > 0 && k.meanRun > 0 {
		ratio = float64(run) / k.meanRun
	}
	k.addRunTime(float64(run))
	if p.meanRun == 0 {
		p.meanRun = float64(run)
	}
	p.meanRun += overallRunWeight * (float64(run) - p.meanRun)
	k.failRate *= 1 - failRateWeight
	a.addResult(ratio, float64(run), false)
	a.probeInFlight = false
	a.consecutiveFailures = 0
	tooSlow := a.slowness >= ejectSlowness && a.samples >= ejectSlownessSamples
	switch {
	case a.ejected && ratio < ejectSlowness:
		p.restore(a)
	case a.ejected:
		p.postponeProbe(now, a)
	case tooSlow:
		p.eject(now, a)
	}
}

// AddOverdue adds delta to the number of overdue tasks at a: 1 for a task that runs far too long, -1
// when such a task is answered or given up.
func (a *Agent) AddOverdue(delta int) { a.overdueTasks = max(0, a.overdueTasks+delta) }

// hasTooManyOverdue reports whether overdue tasks take maxOverdueShare of the slots of a or more.
func (a *Agent) hasTooManyOverdue() bool {
	return a.overdueTasks > 0 && float64(a.overdueTasks) >= maxOverdueShare*float64(a.Slots)
}

// postponeProbe doubles the pause before the next probe.
func (p *Pool) postponeProbe(now time.Time, a *Agent) {
	a.probePause = min(2*a.probePause, maxProbePause)
	a.probeAt = now.Add(a.probePause)
}

// RecordFailure records a task that ran at a and failed. It returns true if a is ejected because of
// it.
func (p *Pool) RecordFailure(now time.Time, a *Agent, kind Kind) bool {
	k := p.statsOf(kind)
	k.failRate += failRateWeight * (1 - k.failRate)
	a.probeInFlight = false
	if a.ejected {
		p.postponeProbe(now, a)
		return false
	}
	if k.failRate > kindFailRateLimit && p.othersFailToo(a) {
		return false // the kind fails everywhere, so the agent is not the cause
	}
	a.addResult(1, 0, true)
	a.consecutiveFailures++
	if a.consecutiveFailures < ejectFailures && a.failRate < ejectFailRate {
		return false
	}
	return p.eject(now, a)
}

// othersFailToo reports whether an agent other than a has failures too.
func (p *Pool) othersFailToo(a *Agent) bool {
	for _, other := range p.order {
		if other != a && other.failRate > ejectFailRate/2 {
			return true
		}
	}
	return false
}

// eject ejects a, unless too many agents are ejected already, and reports whether it did.
func (p *Pool) eject(now time.Time, a *Agent) bool {
	if float64(p.ejected+1) > maxEjectedShare*float64(len(p.order)) {
		return false
	}
	a.ejected = true
	a.probePause = minProbePause
	a.probeAt = now.Add(minProbePause)
	p.ejected++
	return true
}

// restore ends the ejection of a and resets its statistics.
func (p *Pool) restore(a *Agent) {
	a.ejected = false
	a.probeInFlight = false
	a.failRate = 0
	a.consecutiveFailures = 0
	a.slowness = 1
	a.samples = 0
	p.ejected--
}

// statsOf returns the statistics of a kind and creates them if there are none.
func (p *Pool) statsOf(name Kind) *kindStats {
	k := p.kinds[name]
	if k == nil {
		if len(p.kinds) >= maxKinds {
			clear(p.kinds)
		}
		k = new(kindStats)
		p.kinds[name] = k
	}
	return k
}

// addRunTime updates the mean and the quantile by a run time in nanoseconds.
func (k *kindStats) addRunTime(run float64) {
	k.samples++
	weight := max(kindRunWeight, 1/float64(k.samples))
	k.meanRun += weight * (run - k.meanRun)
	if k.highRun == 0 {
		k.highRun = run
	}
	if run > k.highRun {
		k.highRun += highStep * highQuantile * max(k.highRun, run-k.highRun)
	} else {
		k.highRun -= highStep * (1 - highQuantile) * k.highRun
	}
}

// addResult updates the statistics of a by one result: the ratio of its run time to the mean of the
// kind, and its run time in nanoseconds. Both are ignored if the task failed.
func (a *Agent) addResult(ratio, run float64, failed bool) {
	a.samples++
	if failed {
		if a.samples >= minSamples {
			a.failRate += failRateWeight * (1 - a.failRate)
		}
		return
	}
	a.failRate *= 1 - failRateWeight
	if a.slowness == 0 {
		a.slowness = 1
	}
	a.slowness += max(slownessWeight, 1/float64(a.samples+1)) * (ratio - a.slowness)
	if a.meanRun == 0 {
		a.meanRun = time.Duration(run)
	}
	a.meanRun += time.Duration(slownessWeight * (run - float64(a.meanRun)))
}
