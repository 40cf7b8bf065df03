package runner

import (
	"math"
	"sort"
	"time"

	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// speedStats measures how fast the worker is, from the times of ended runs and the progress of
// running ones.
type speedStats struct {
	// ran and estimated are sums of the measured and the estimated times of ended runs, in
	// seconds. They decay with time and are valid as of updatedAt.
	ran, estimated float64
	updatedAt      time.Time
	failStreak     int
}

const (
	// speedHalfLife is the time after which a measurement counts half. A worker that was slow and
	// gets little work since is trusted again after a few half-lives; with a decay by number of runs
	// such workers got no work for 13 s after their recovery.
	speedHalfLife = 1500 * time.Millisecond
	// speedPriorSeconds is the time that is added to the measured and to the estimated time
	// alike, so that a single unusual run does not decide.
	speedPriorSeconds = 0.5
)

// observeEnd takes the end of a run.
func (s *speedStats) observeEnd(now time.Time, r *run, end runs.End) {
	switch end.Outcome {
	case runs.OutcomeDone:
		s.failStreak = 0
	case runs.OutcomeFailed:
		s.failStreak++
	}
	if end.Outcome == runs.OutcomeDone && r.start.Estimate > 0 {
		s.observe(now, end.Ran, r.start.Estimate)
	}
}

// observe takes the measured and the estimated time of one run.
func (s *speedStats) observe(now time.Time, ran, estimate time.Duration) {
	s.decay(now)
	s.ran += ran.Seconds()
	s.estimated += estimate.Seconds()
}

// decay lowers the weight of older measurements.
func (s *speedStats) decay(now time.Time) {
	if s.updatedAt.IsZero() {
		s.updatedAt = now
	}
	factor := math.Exp2(-now.Sub(s.updatedAt).Seconds() / speedHalfLife.Seconds())
	s.ran *= factor
	s.estimated *= factor
	s.updatedAt = now
}

// minProgressAge is the time since the start of a run from which its progress is meaningful.
const minProgressAge = 25 * time.Millisecond

// slowness returns the ratio of run times to their estimates, in hundredths. Running runs count
// with their expected run time, so that a worker on which nothing proceeds is recognised within
// about 50 ms.
func (c *Core) slowness() int {
	c.speed.decay(c.now)
	ran, estimated := c.speed.ran+speedPriorSeconds, c.speed.estimated+speedPriorSeconds
	for r := range c.runs.Values() {
		if !c.settings.Policy.Enabled(policy.Progress) {
			break
		}
		if r.phase != phaseRunning || r.start.Estimate <= 0 || r.percentAt.Sub(r.confirmedAt) < minProgressAge {
			continue
		}
		ran += c.expectedRunTime(r).Seconds()
		estimated += r.start.Estimate.Seconds()
	}
	return int(100 * ran / estimated)
}

// expectedRunTime returns the run time expected from the progress of a run.
func (c *Core) expectedRunTime(r *run) time.Duration {
	atReading := r.percentAt.Sub(r.confirmedAt)
	if atReading < minProgressAge {
		return r.start.Estimate
	}
	return atReading * 100 / time.Duration(max(r.percentDone, 1))
}

// observeStopped takes the expected run time of a run that is stopped because it is slow. Without
// it a worker on which nothing proceeds would look idle and healthy.
func (c *Core) observeStopped(r *run) {
	if r.start.Estimate <= 0 || r.phase != phaseRunning {
		return
	}
	if total := c.expectedRunTime(r); total > r.start.Estimate {
		c.speed.observe(c.now, min(total, maxCountedSlowness*r.start.Estimate), r.start.Estimate)
	}
}

// maxCountedSlowness limits the time counted for a stopped run, as a multiple of its estimate.
const maxCountedSlowness = 20

// expectedRemaining returns the expected time to the end of a run, at least 1 ms.
func (c *Core) expectedRemaining(r *run) time.Duration {
	if r.phase != phaseRunning {
		return max(r.start.Estimate, time.Millisecond)
	}
	return max(c.expectedRunTime(r)-c.now.Sub(r.confirmedAt), time.Millisecond)
}

// maxExpectedEnds is the greatest number of expected ends in a load.
const maxExpectedEnds = 12

// load returns the load for a link. The part that is equal for all links is computed once a
// flush.
func (c *Core) load(l *link) *runs.Load {
	if c.sharedLoad == nil {
		c.sharedLoad = &runs.Load{
			Free: c.freeCapacity(), Waiting: c.waitingCPU(), ExpectedEnds: c.expectedEnds(), Slowness: c.slowness(),
			FailStreak: c.speed.failStreak, SharingEntries: c.activeLinks(),
		}
	}
	load := *c.sharedLoad
	load.StartsSeen = l.startsReceived
	return &load
}

// waitingCPU returns the processor capacity that waiting runs and reservations need, by band of
// slack. A reservation counts in part, as other agents have reservations for the same run.
func (c *Core) waitingCPU() []int {
	if len(c.queue) == 0 && c.reservations.Len() == 0 {
		return nil
	}
	bands := make([]int, runs.SlackBands)
	for _, r := range c.reservations.Waiting() {
		bands[runs.SlackBand(r.StartBy.Sub(c.now))] += r.Need.CPU / r.Copies
	}
	for _, r := range c.queue {
		bands[runs.SlackBand(r.startBy.Sub(c.now))] += r.need.CPU
	}
	return bands
}

// expectedEnds returns the next expected ends, soonest first.
func (c *Core) expectedEnds() []runs.ExpectedEnd {
	var list []runs.ExpectedEnd
	for r := range c.runs.Values() {
		if r.phase != phaseWaiting && !r.orphan {
			list = append(list, runs.ExpectedEnd{After: int(c.expectedRemaining(r).Milliseconds()), CPU: r.need.CPU})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].After < list[j].After })
	return list[:min(len(list), maxExpectedEnds)]
}

// progress reports an entry's runs that take much longer than estimated, and new
// checkpoints of its durable runs.
func (c *Core) progress(incarnation uint64) []runs.Progress {
	var list []runs.Progress
	for r := range c.runs.Values() {
		if r.owner.Incarnation != incarnation || r.orphan {
			continue
		}
		if r.phase == phaseRunning && c.expectedRunTime(r) > time.Duration(float64(r.start.Estimate)*c.settings.ProgressReportFactor) {
			list = append(list, runs.Progress{Key: r.key, Remaining: c.expectedRemaining(r)})
		}
		if r.durable && r.checkpoint != r.reportedCheckpoint {
			list = append(list, runs.Progress{Key: r.key, Checkpoint: r.checkpoint})
			r.reportedCheckpoint = r.checkpoint
		}
	}
	return list
}
