package rank

import (
	"time"
)

// kindStats are the learned run times of one kind of task.
type kindStats struct {
	mean float64
	// high follows an upper quantile, for the detection of stragglers.
	high     float64
	failRate float64
	samples  int
}

// Tuning of what is learned about a kind.
const (
	kindWeight = 0.05
	// overallWeight is that of one result in the mean over all kinds.
	overallWeight = 0.01
	// highStep moves the quantile estimate; up and down steps balance at
	// highQuantile.
	highStep     = 0.02
	highQuantile = 0.95
	// kindFailRate is the failure rate of a kind from which its failures are
	// held against the kind and not against the agent.
	kindFailRate = 0.5
	maxKinds     = 4096
)

// RunTime returns the expected run time of a kind on an average agent.
func (p *Pool) RunTime(kind Kind) time.Duration {
	if k := p.kinds[kind]; k != nil && k.samples > 0 {
		return time.Duration(k.mean)
	}
	return p.params.DefaultRunTime
}

// MeanRunTime returns the mean run time over all kinds, each by its frequency.
func (p *Pool) MeanRunTime() time.Duration {
	if p.meanRun == 0 {
		return p.params.DefaultRunTime
	}
	return time.Duration(p.meanRun)
}

// SlowAfter returns the run time that few tasks of the kind exceed; zero if
// too little is known.
func (p *Pool) SlowAfter(kind Kind) time.Duration {
	k := p.kinds[kind]
	if k == nil || k.samples < 4*minSamples {
		return 0
	}
	return time.Duration(k.high)
}

// Succeeded learns from a completed task.
func (p *Pool) Succeeded(now time.Time, a *Agent, kind Kind, run time.Duration) {
	k := p.kind(kind)
	ratio := 1.0
	if k.samples > 0 && k.mean > 0 {
		ratio = float64(run) / k.mean
	}
	k.learnRunTime(float64(run))
	if p.meanRun == 0 {
		p.meanRun = float64(run)
	}
	p.meanRun += overallWeight * (float64(run) - p.meanRun)
	k.failRate *= 1 - failWeight
	a.learn(ratio, float64(run), false)
	a.probing = false
	a.failedRow = 0
	tooSlow := a.slow >= ejectSlowness && a.samples >= slowSamples
	switch {
	case a.ejected && ratio < ejectSlowness:
		p.restore(a)
	case a.ejected:
		p.postpone(now, a)
	case tooSlow:
		p.eject(now, a)
	}
}

// Overdue records that a task sent to a runs far too long, or, with delta -1,
// that such a task was answered or given up.
func (a *Agent) Overdue(delta int) { a.overdue = max(0, a.overdue+delta) }

// suspect reports whether too many tasks run far too long at a.
func (a *Agent) suspect() bool {
	return a.overdue > 0 && float64(a.overdue) >= suspectOverdue*float64(a.Slots)
}

// postpone doubles the pause before the next probe.
func (p *Pool) postpone(now time.Time, a *Agent) {
	a.probePause = min(2*a.probePause, probeMax)
	a.probeAt = now.Add(a.probePause)
}

// Failed learns from a task that ran and failed. It returns true if the agent
// is ejected by it.
func (p *Pool) Failed(now time.Time, a *Agent, kind Kind) bool {
	k := p.kind(kind)
	k.failRate += failWeight * (1 - k.failRate)
	a.probing = false
	if a.ejected {
		p.postpone(now, a)
		return false
	}
	if k.failRate > kindFailRate && p.failsElsewhere(a) {
		return false // the kind fails everywhere: not this agent's fault
	}
	a.learn(1, 0, true)
	a.failedRow++
	if a.failedRow < ejectAfter && a.failRate < ejectFailRate {
		return false
	}
	return p.eject(now, a)
}

// failsElsewhere reports whether other agents see failures too.
func (p *Pool) failsElsewhere(a *Agent) bool {
	for _, other := range p.order {
		if other != a && other.failRate > ejectFailRate/2 {
			return true
		}
	}
	return false
}

func (p *Pool) eject(now time.Time, a *Agent) bool {
	if float64(p.ejected+1) > ejectShare*float64(len(p.order)) {
		return false
	}
	a.ejected = true
	a.probePause = probeBase
	a.probeAt = now.Add(probeBase)
	p.ejected++
	return true
}

func (p *Pool) restore(a *Agent) {
	a.ejected = false
	a.probing = false
	a.failRate = 0
	a.failedRow = 0
	a.slow = 1
	a.samples = 0
	p.ejected--
}

func (p *Pool) kind(name Kind) *kindStats {
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

func (k *kindStats) learnRunTime(run float64) {
	k.samples++
	weight := max(kindWeight, 1/float64(k.samples))
	k.mean += weight * (run - k.mean)
	if k.high == 0 {
		k.high = run
	}
	if run > k.high {
		k.high += highStep * highQuantile * max(k.high, run-k.high)
	} else {
		k.high -= highStep * (1 - highQuantile) * k.high
	}
}

func (a *Agent) learn(ratio, run float64, failed bool) {
	a.samples++
	if failed {
		if a.samples >= minSamples {
			a.failRate += failWeight * (1 - a.failRate)
		}
		return
	}
	a.failRate *= 1 - failWeight
	if a.slow == 0 {
		a.slow = 1
	}
	a.slow += max(slowWeight, 1/float64(a.samples+1)) * (ratio - a.slow)
	if a.meanRun == 0 {
		a.meanRun = time.Duration(run)
	}
	a.meanRun += time.Duration(slowWeight * (run - float64(a.meanRun)))
}
