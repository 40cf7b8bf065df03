package runner

import (
	"math"
	"sort"
	"time"

	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// pace measures how fast the worker is, from the runs that ended and from the
// progress of those that run.
type pace struct {
	// ran and estimated are sums over the ended runs, in seconds, that decay with
	// time, as of the time at.
	ran, estimated float64
	at             time.Time
	failStreak     int
}

const (
	// paceHalfLife is the time after which a measurement counts half. A worker that
	// was slow and gets little work since is trusted again after a few of them: a
	// decay by number of runs kept such workers out for 13 s after their recovery.
	paceHalfLife = 1500 * time.Millisecond
	// pacePrior is the time, in seconds, that counts as run and estimated alike, so
	// that a single odd run does not judge a worker.
	pacePrior = 0.5
)

func (p *pace) ended(now time.Time, r *run, end runs.End) {
	switch end.How {
	case runs.Done:
		p.failStreak = 0
	case runs.Failed:
		p.failStreak++
	}
	if end.How == runs.Done && r.start.Estimate > 0 {
		p.observe(now, end.Ran, r.start.Estimate)
	}
}

// observe takes one run.
func (p *pace) observe(now time.Time, ran, estimate time.Duration) {
	p.decay(now)
	p.ran += ran.Seconds()
	p.estimated += estimate.Seconds()
}

func (p *pace) decay(now time.Time) {
	if p.at.IsZero() {
		p.at = now
	}
	kept := math.Exp2(-now.Sub(p.at).Seconds() / paceHalfLife.Seconds())
	p.ran *= kept
	p.estimated *= kept
	p.at = now
}

// minProgress is the age at which the progress of a run tells something.
const minProgress = 25 * time.Millisecond

// slowness returns the ratio of run times to estimates, in hundredths. Runs that are under way count by their expected time, so
// that a worker on which everything stands still shows within some 50 ms.
func (c *Core) slowness() int {
	c.pace.decay(c.now)
	ran, estimated := c.pace.ran+pacePrior, c.pace.estimated+pacePrior
	for r := range c.runs.Values() {
		if !c.settings.Policy.Has(policy.Progress) {
			break
		}
		if r.phase != phaseRunning || r.start.Estimate <= 0 || r.percentAt.Sub(r.confirmedAt) < minProgress {
			continue
		}
		ran += c.total(r).Seconds()
		estimated += r.start.Estimate.Seconds()
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
		c.pace.observe(c.now, min(total, slowestCounted*r.start.Estimate), r.start.Estimate)
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

// load returns the load for a link. What all links are told alike is worked out once a
// flush.
func (c *Core) load(l *link) *runs.Load {
	if c.told == nil {
		c.told = &runs.Load{
			Free: c.roomLeft(), Waiting: c.waitingCPU(), Freeings: c.freeings(), Slowness: c.slowness(),
			FailStreak: c.pace.failStreak, Sharers: c.sharers(),
		}
	}
	load := *c.told
	load.Seen = l.seen
	return &load
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
	for r := range c.runs.Values() {
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
	for r := range c.runs.Values() {
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
		if r.durable && r.checkpoint != r.told {
			list = append(list, runs.Progress{Key: r.key, Checkpoint: r.checkpoint})
			r.told = r.checkpoint
		}
	}
	return list
}
