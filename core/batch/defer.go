package batch

import (
	"sort"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/admission"
	"peridotpick.example/core/policy"
)

// Deferred jobs cannot meet their objective but can still end while their answer is useful. They
// wait in the core and start in spare capacity, behind all jobs that can still be in time. A
// deferred job that can no longer end while useful is given up at once.
//
// Deferring serves short overloads: a burst, or workers lost for a few seconds. If every job that
// would be late were refused, its caller would get nothing although the capacity becomes free a
// moment later. Under a lasting overload it makes some jobs late that would be in time, so that the
// admission gate bounds it by the share of deferred jobs that are served.
const (
	// deferredSlack places the runs of deferred jobs behind all others at agents. It is far beyond
	// the last slack band, so that these runs do not count against others.
	deferredSlack = 10 * time.Second
	// deferredScanInterval is the shortest time between two scans of the deferred jobs, and
	// deferredScanMisses the number of jobs that find no capacity after which a scan stops starting
	// jobs. Both bound the processor time spent on waiting jobs.
	deferredScanInterval = 5 * time.Millisecond
	deferredScanMisses   = 4
	// headroomShare is the share of a service's CPU capacity that a deferred job must leave free
	// for other jobs: about one job of eight tasks in a deployment of a dozen workers.
	headroomShare = 0.05
)

// canDefer reports whether a job may be deferred instead of refused.
func (c *Core) canDefer(j *job) bool {
	if !c.settings.Policy.Enabled(policy.Deferring) || c.usefulSlack(j) <= 0 {
		return false
	}
	if c.isStartingUp(j.queue.Service) {
		return true
	}
	return c.gate.MayPromise(c.now, gateQueue(j.queue)) && float64(c.deferredWait(j)) < maxDeferredWaitShare*float64(c.usefulSlack(j))
}

// maxDeferredWaitShare is the share of a job's useful slack within which it must be expected to
// start. The expected wait is rough, and a job that is given up has cost its caller the time in which
// it could have gone to another entry.
const maxDeferredWaitShare = 0.3

// isStartingUp reports whether the entry started recently and knows no worker of a service
// yet. It cannot know then whether the service is available.
func (c *Core) isStartingUp(service string) bool {
	return c.now.Sub(c.startedAt) < discoveryTime && !c.hasUsableWorker(service)
}

// discoveryTime is the time in which agents find an entry that has started. It covers a few of
// their connection attempts.
const discoveryTime = time.Second

// usefulSlack returns how long the tasks of a job may still wait so that it ends while its answer
// is useful.
func (c *Core) usefulSlack(j *job) time.Duration {
	usefulUntil := j.arrived.Add(usefulFactor * j.objective)
	if j.deadline.Before(usefulUntil) {
		usefulUntil = j.deadline
	}
	return usefulUntil.Sub(c.now) - j.criticalPath() - c.settings.Overhead
}

// deferJob adds a job to the deferred ones.
func (c *Core) deferJob(j *job, p plan, reason string) {
	if !j.promised {
		j.promised = true
		c.gate.Promised(c.now, gateQueue(j.queue))
	}
	c.logDecision(Decision{
		Event: "defer", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: reason, Wait: p.forecast.Wait, WaitBehindAll: p.forecast.WaitBehindAll, Slack: p.slack,
		Expected: c.deferredWait(j), Age: p.age,
	})
	j.deferred, j.wasDeferred = true, true
	c.deferred.Put(j.name, j)
	c.placeDeferred()
}

// resolvePromise records the outcome of a deferred job.
func (c *Core) resolvePromise(j *job, o admission.Outcome) {
	if j.promised {
		j.promised = false
		c.gate.Resolved(c.now, gateQueue(j.queue), o)
	}
}

// deferredWait returns the expected wait of a job behind the deferred jobs that start before it.
func (c *Core) deferredWait(j *job) time.Duration {
	workAhead := 0.0
	slack := c.usefulSlack(j)
	for other := range c.deferred.Values() {
		if c.usefulSlack(other) <= slack {
			workAhead += other.openWork()
		}
	}
	return c.timeToStart(j.queue.Service, workAhead+j.openWork())
}

// timeToStart returns the expected time until the given deferred work, in thousandths of a
// core-second, has been started.
func (c *Core) timeToStart(service string, work float64) time.Duration {
	return time.Duration(work / c.spareRate(service) * float64(time.Second))
}

// spareRate returns the rate at which deferred work is expected to be started, in thousandths of a
// core: the recent rate, or what immediately started work leaves of this entry's share of the
// capacity. That is little in a burst, and nearly all of it right after all workers have returned. A
// constant share of the capacity would be too much in a burst.
func (c *Core) spareRate(service string) float64 {
	cpu := c.cpuShare(service)
	work := c.startedWorkOf(service)
	unusedRate := (1-headroomShare)*cpu - work.immediate.rate(c.now)
	return max(work.deferred.rate(c.now), unusedRate, minSpareShare*cpu, 1)
}

// minSpareShare is the smallest share of the entry's capacity that is expected to be spare. The
// entry's capacity is an average, and other entries may use less of theirs.
const minSpareShare = 0.05

// cannotStartInTime reports whether a deferred job, with the given work up to and including it, is
// not expected to start while it is useful.
func (c *Core) cannotStartInTime(j *job, workAhead float64, slack time.Duration) bool {
	return !c.isStartingUp(j.queue.Service) && float64(c.timeToStart(j.queue.Service, workAhead)) > giveUpWaitFactor*float64(slack)
}

// giveUpWaitFactor is the factor on a job's useful slack from which its expected wait makes the
// entry give it up before the slack has passed.
const giveUpWaitFactor = 1.5

// openWork returns the CPU time that the open tasks of a job are expected to take, in thousandths
// of a core-second.
func (j *job) openWork() float64 {
	total := 0.0
	for i := range j.steps {
		s := &j.steps[i]
		total += float64(s.openTasks) * float64(s.Need.CPU) * s.estimate.Seconds()
	}
	return total
}

// cpuShare returns this entry's share of the CPU capacity of a service's usable workers, in
// thousandths of a core. The capacity of a worker is divided evenly among the entries that it works
// with.
func (c *Core) cpuShare(service string) float64 {
	total := 0.0
	for _, a := range c.candidates(service) {
		total += float64(a.worker.Capacity.CPU) / float64(a.sharingEntries())
	}
	return total
}

// placeDeferred starts deferred jobs in spare capacity, in order of their useful slack, and gives
// up those that cannot end while useful.
func (c *Core) placeDeferred() {
	if c.deferred.Len() == 0 || c.now.Sub(c.deferredScannedAt) < deferredScanInterval {
		return
	}
	c.deferredScannedAt = c.now
	list := make([]*job, 0, c.deferred.Len())
	for j := range c.deferred.Values() {
		list = append(list, j)
	}
	slack := make(map[*job]time.Duration, len(list))
	for _, j := range list {
		slack[j] = c.usefulSlack(j)
	}
	sort.SliceStable(list, func(i, k int) bool { return slack[list[i]] < slack[list[k]] })
	misses := 0
	workAhead := 0.0
	for _, j := range list {
		work := j.openWork()
		if slack[j] <= 0 || c.cannotStartInTime(j, workAhead+work, slack[j]) {
			c.stopDeferring(j)
			c.giveUp(j, errkind.Overloaded, "no room while of use")
			continue
		}
		workAhead += work
		if misses < deferredScanMisses && !c.startDeferred(j) {
			misses++
		}
	}
}

func (c *Core) stopDeferring(j *job) {
	j.deferred = false
	c.deferred.Delete(j.name)
}

// startDeferred starts a deferred job if all its tasks can start at once. It reports whether it
// did.
func (c *Core) startDeferred(j *job) bool {
	if !c.leavesHeadroom(j) {
		return false
	}
	p := c.planJob(j)
	if p.missing > 0 || p.delay > 0 {
		return false
	}
	c.startedWorkOf(j.queue.Service).deferred.add(c.now, j.openWork())
	c.stopDeferring(j)
	j.pastObjective = j.slackLeft(c.now) < 0
	c.startPlan(p)
	return true
}

// leavesHeadroom reports whether enough CPU capacity stays free beside a job.
func (c *Core) leavesHeadroom(j *job) bool {
	free, total := 0, 0
	for _, a := range c.candidates(j.queue.Service) {
		if !c.isUnhealthy(a) {
			free += max(c.freeResources(a, deferredSlack).CPU, 0)
			total += a.worker.Capacity.CPU
		}
	}
	for i := range j.steps {
		if j.isReady(&j.steps[i]) {
			free -= j.steps[i].openTasks * j.steps[i].Need.CPU
		}
	}
	return float64(free) >= headroomShare*float64(total)
}
