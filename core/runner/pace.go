package runner

import (
	"sort"
	"time"

	"peridotpick.example/wire/runs"
)

// pace measures how fast the worker is, from the runs that ended and from the
// progress of those that run.
type pace struct {
	// ran and estimated are decaying sums over the ended runs, in seconds.
	ran, estimated float64
	failStreak     int
}

// paceDecay is the weight that the sums keep at each end: the last 20 runs count.
const paceDecay = 0.95

func (p *pace) ended(r *run, end runs.End) {
	switch end.How {
	case runs.Done:
		p.failStreak = 0
	case runs.Failed:
		p.failStreak++
	}
	if end.How == runs.Done && r.start.Estimate > 0 {
		p.observe(end.Ran, r.start.Estimate)
	}
}

// observe takes one run. One that took less than half of what the worker's pace
// lets expect shows that the worker has recovered.
func (p *pace) observe(ran, estimate time.Duration) {
	ratio := ran.Seconds() / estimate.Seconds()
	if p.estimated == 0 || ratio < recovered*p.ran/p.estimated {
		*p = pace{failStreak: p.failStreak, ran: pacePrior, estimated: pacePrior}
	}
	p.ran = p.ran*paceDecay + ran.Seconds()
	p.estimated = p.estimated*paceDecay + estimate.Seconds()
}

// pacePrior is the time, in seconds, that counts as run and estimated alike before
// anything was measured, so that a single odd run does not judge a worker.
const pacePrior = 0.5

// recovered is the share of the expected run time below which earlier
// measurements no longer hold.
const recovered = 0.4

// minProgress is the age at which the progress of a run tells something.
const minProgress = 25 * time.Millisecond

// slowness returns the ratio of run times to estimates, in hundredths; 0 if
// nothing was measured. Runs that are under way count by their expected time, so
// that a worker on which everything stands still shows within some 50 ms.
func (c *Core) slowness() int {
	ran, estimated := c.pace.ran, c.pace.estimated
	for _, r := range c.runs {
		if r.phase != phaseRunning || r.start.Estimate <= 0 || r.percentAt.Sub(r.confirmedAt) < minProgress {
			continue
		}
		ran += c.total(r).Seconds()
		estimated += r.start.Estimate.Seconds()
	}
	if estimated == 0 {
		return 0
	}
	return int(100 * ran / estimated)
}

// total returns the expected run time of a run.
func (c *Core) total(r *run) time.Duration {
	atReading := r.percentAt.Sub(r.confirmedAt)
	if atReading < minProgress {
		return r.start.Estimate
	}
	return atReading * 100 / time.Duration(max(r.percent, 1))
}

// stoppedSlow remembers the pace of a run that is stopped because it is slow:
// without it a worker on which everything stands still would look idle and sound.
func (c *Core) stoppedSlow(r *run) {
	if r.start.Estimate <= 0 || r.phase != phaseRunning {
		return
	}
	if total := c.total(r); total > r.start.Estimate {
		c.pace.observe(min(total, slowestCounted*r.start.Estimate), r.start.Estimate)
	}
}

// slowestCounted bounds how many times its estimate a stopped run counts.
const slowestCounted = 20

// remaining returns the expected time to the end of a run; at least 1 ms.
func (c *Core) remaining(r *run) time.Duration {
	if r.phase != phaseRunning {
		return max(r.start.Estimate, time.Millisecond)
	}
	return max(c.total(r)-c.now.Sub(r.confirmedAt), time.Millisecond)
}

// freeingsLimit bounds the expected ends that a load reports.
const freeingsLimit = 12

func (c *Core) load(l *link) *runs.Load {
	return &runs.Load{
		Free: c.roomLeft(), Waiting: c.waitingCPU(), Freeings: c.freeings(), Slowness: c.slowness(),
		FailStreak: c.pace.failStreak, Seen: l.seen,
	}
}

// waitingCPU returns what waiting runs ask for by their slack.
func (c *Core) waitingCPU() []int {
	if len(c.queue) == 0 {
		return nil
	}
	bands := make([]int, runs.SlackBands)
	for _, r := range c.queue {
		bands[runs.SlackBand(r.startBy.Sub(c.now))] += r.need.CPU
	}
	return bands
}

// freeings returns the next expected ends, soonest first.
func (c *Core) freeings() []runs.Freeing {
	var list []runs.Freeing
	for _, r := range c.runs {
		if r.phase != phaseWaiting && !r.orphan {
			list = append(list, runs.Freeing{After: int(c.remaining(r).Milliseconds()), CPU: r.need.CPU})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].After < list[j].After })
	return list[:min(len(list), freeingsLimit)]
}

// progress lists an entry's runs that take much longer than estimated.
func (c *Core) progress(incarnation uint64) []runs.Progress {
	var list []runs.Progress
	for _, r := range c.runs {
		if r.owner.Incarnation != incarnation || r.orphan {
			continue
		}
		if r.phase == phaseWaiting {
			list = append(list, runs.Progress{Key: r.key, Waiting: true})
			continue
		}
		if r.phase == phaseRunning && c.total(r) > time.Duration(float64(r.start.Estimate)*c.settings.LateFactor) {
			list = append(list, runs.Progress{Key: r.key, Remaining: c.remaining(r)})
		}
	}
	return list
}
