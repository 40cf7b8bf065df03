package batch

import (
	"sort"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/policy"
)

// Deferred jobs cannot end within their objective, but while their answer is still
// of use. They wait here and are started in room that would stay free otherwise,
// behind all that can still be in time. One that gets out of reach is given up at once.
//
// The load it answers: a burst, or workers gone, for a few seconds. Refusing all
// that would be late leaves its callers with nothing although the room that they
// need is free a moment later. Without it 2.9% of the jobs of such loads are
// refused, with it 0.9%, and 3% are served late (emulator, burst and workers-gone,
// eight seeds each). Under an overload that lasts it costs a little: some jobs are
// late instead of in time.
const (
	// deferredSlack puts the runs of deferred jobs behind all others at agents: it is
	// far beyond the last band of slack, so that they do not count against others.
	deferredSlack = 10 * time.Second
	// deferEvery is the shortest time between two walks of the deferred jobs, and
	// deferMisses the number of jobs without room after which a walk ends; both
	// bound the processor time that waiting costs.
	deferEvery  = 5 * time.Millisecond
	deferMisses = 4
	// headroom is the part of a service's room that a deferred job leaves free for
	// others: about one job of eight tasks in a deployment of a dozen workers.
	headroom = 0.05
)

// mayDefer reports whether a job may be deferred rather than refused.
func (c *Core) mayDefer(j *job) bool {
	if !c.settings.Policy.Has(policy.Deferring) || c.useLeft(j) <= 0 {
		return false
	}
	return c.newborn(j.queue.Service) || float64(c.backlogWait(j)) < deferWithin*float64(c.useLeft(j))
}

// deferWithin is the part of what is left of a job's use within which it must be expected
// to begin. With all of it nearly half of the deferred jobs of a lasting burst were given
// up after half a second, in which their callers could have gone elsewhere.
const deferWithin = 0.3

// newborn reports whether this entry began a moment ago and has not heard of any
// worker yet: it does not know that it cannot serve.
func (c *Core) newborn(service string) bool {
	return c.now.Sub(c.startedAt) < learning && !c.knowsWorker(service)
}

// learning is the time in which agents find an entry that has begun: a few of their
// attempts to connect.
const learning = time.Second

// useLeft is how long a job may still wait and end while its answer is of use.
func (c *Core) useLeft(j *job) time.Duration {
	use := j.arrived.Add(lateFactor * j.objective)
	if j.deadline.Before(use) {
		use = j.deadline
	}
	return use.Sub(c.now) - j.chain() - c.settings.Overhead
}

// defers takes a job among the deferred ones.
func (c *Core) defers(j *job, p plan, reason string) {
	c.yields.of(c.now, j.queue).deferred++
	c.note(Note{
		Event: "defer", Job: j.name, Queue: j.queue.Name, Version: j.version, Reason: reason, Wait: p.delay, Slack: p.slack,
		Expected: c.backlogWait(j), Age: p.age,
	})
	j.deferred, j.wasDeferred = true, true
	c.deferred.Put(j.name, j)
	c.placeDeferred()
}

// backlogWait is the expected wait behind the deferred jobs that go before a job.
func (c *Core) backlogWait(j *job) time.Duration {
	ahead := 0.0
	left := c.useLeft(j)
	for other := range c.deferred.Values() {
		if c.useLeft(other) <= left {
			ahead += other.work()
		}
	}
	return c.timeToStart(j.queue.Service, ahead+j.work())
}

// timeToStart is the expected time until an amount of deferred work has begun.
func (c *Core) timeToStart(service string, work float64) time.Duration {
	return time.Duration(work / c.spareRate(service) * float64(time.Second))
}

// spareRate is the work of deferred jobs that is expected to be started a second, in
// thousandths of a core: what was started lately, or what more urgent work leaves of this
// entry's share of the room. In a burst that is little; right after the return of all
// workers it is nearly all of it. In bursts with workers gone 1.5% of the worth is held up
// for nothing with it and with deferWithin, 4.6% with a constant fifth of the room
// (emulator, shifted, crowded, three seeds).
func (c *Core) spareRate(service string) float64 {
	room := c.shareOfRoom(service)
	work := c.workOf(service)
	left := (1-headroom)*room - work.urgent.rate(c.now)
	return max(work.deferred.rate(c.now), left, leastSpare*room, 1)
}

// leastSpare is the part of an entry's share of the room that is expected to be left at
// least: its share is an average, and others may use less of theirs.
const leastSpare = 0.05

// hopeless reports whether a deferred job will not begin while it is of use.
func (c *Core) hopeless(j *job, ahead float64, left time.Duration) bool {
	return !c.newborn(j.queue.Service) && float64(c.timeToStart(j.queue.Service, ahead)) > hopelessFrom*float64(left)
}

// hopelessFrom is the factor on what is left of a job's use from which its expected wait
// has it given up before.
const hopelessFrom = 1.5

// work is the processor time that a job's open tasks are expected to take, in
// thousandths of a core-second.
func (j *job) work() float64 {
	total := 0.0
	for i := range j.steps {
		s := &j.steps[i]
		total += float64(s.left) * float64(s.Need.CPU) * s.estimate.Seconds()
	}
	return total
}

// shareOfRoom is this entry's part of the processor room of a service's usable workers,
// in thousandths of a core. Each worker's room counts for all entries that it works with.
func (c *Core) shareOfRoom(service string) float64 {
	total := 0.0
	for _, a := range c.candidates(service) {
		total += float64(a.worker.Capacity.CPU) / float64(a.sharers())
	}
	return total
}

// placeDeferred starts deferred jobs in room that is free, those first whose use
// ends first, and gives up those that are out of reach.
func (c *Core) placeDeferred() {
	if c.deferred.Len() == 0 || c.now.Sub(c.deferredAt) < deferEvery {
		return
	}
	c.deferredAt = c.now
	list := make([]*job, 0, c.deferred.Len())
	for j := range c.deferred.Values() {
		list = append(list, j)
	}
	left := make(map[*job]time.Duration, len(list))
	for _, j := range list {
		left[j] = c.useLeft(j)
	}
	sort.SliceStable(list, func(i, k int) bool { return left[list[i]] < left[list[k]] })
	misses := 0
	ahead := 0.0
	for _, j := range list {
		work := j.work()
		if left[j] <= 0 || c.hopeless(j, ahead+work, left[j]) {
			c.undefer(j)
			c.yields.of(c.now, j.queue).lost++
			c.giveUp(j, errkind.Overloaded, "no room while of use")
			continue
		}
		ahead += work
		if misses < deferMisses && !c.startDeferred(j) {
			misses++
		}
	}
}

func (c *Core) undefer(j *job) {
	j.deferred = false
	c.deferred.Delete(j.name)
}

// startDeferred starts a deferred job if all its tasks have room now.
func (c *Core) startDeferred(j *job) bool {
	if !c.leavesHeadroom(j) {
		return false
	}
	p := c.planJob(j)
	if p.missing > 0 || p.delay > 0 {
		return false
	}
	c.workOf(j.queue.Service).deferred.took(c.now, j.work())
	c.undefer(j)
	j.late = j.slackLeft(c.now) < 0
	c.carryOut(p)
	return true
}

// leavesHeadroom reports whether enough room stays free beside a job.
func (c *Core) leavesHeadroom(j *job) bool {
	free, whole := 0, 0
	for _, a := range c.candidates(j.queue.Service) {
		if !c.unsound(a) {
			free += max(c.free(a, deferredSlack).CPU, 0)
			whole += a.worker.Capacity.CPU
		}
	}
	for i := range j.steps {
		if j.ready(&j.steps[i]) {
			free -= j.steps[i].left * j.steps[i].Need.CPU
		}
	}
	return float64(free) >= headroom*float64(whole)
}
