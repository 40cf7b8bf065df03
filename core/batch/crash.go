package batch

import (
	"maps"
	"slices"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// A task may crash every worker that starts it and end all other runs there. Without protection
// such a task goes from worker to worker until its caller leaves, and a durable one forever.
//
// A task is given up once two crashes are attributed to it (more if other workers were lost
// recently), or once four workers have crashed while they ran it. A crash is attributed to the run
// that the agent reports as suspect, unless many workers are lost at the same moment: then the
// cause lies elsewhere. A suspected task is run apart from other suspects at first and alone later,
// so that a task that merely ran beside the cause is not blamed again.
const (
	// blamedCrashLimit is the number of crashes attributed to a task after which it is given up. It
	// rises by one for each other worker lost recently, as some of the crashes are coincidence
	// then.
	blamedCrashLimit = 2
	// lostWorkerLimit is the number of workers that have crashed while they ran a task after which
	// it is given up in any case, since a crash does not always show which run caused it.
	lostWorkerLimit = 4
	// sharedCrashWindow is the time within which losses count as one event, and sharedCrashWorkers
	// the number of workers not running the job that must be lost in it for the event to have
	// another cause.
	sharedCrashWindow  = 500 * time.Millisecond
	sharedCrashWorkers = 3
	// recentLossWindow is how long losses of other workers raise the limit for blaming a job.
	recentLossWindow = 10 * time.Second
	// maxRecentLosses is the maximum number of losses remembered for that.
	maxRecentLosses = 256
	// maxSuspects and suspectRetention bound what is remembered of tasks whose job is not here. A
	// caller without an answer submits its job again within seconds.
	maxSuspects      = 256
	suspectRetention = time.Minute
	// crashReportTimeout is the time within which a worker that has crashed is back and reports it.
	crashReportTimeout = 15 * time.Second
	// maxColocationCost is the highest cost that the choice of a worker has for a suspect because
	// of other runs there, which would be lost in a crash.
	maxColocationCost = 100 * time.Millisecond
)

// crashHistory is what the entry knows of lost workers and suspects.
type crashHistory struct {
	// recentLosses are the workers lost recently with the jobs that ran on them. The job is empty
	// for the loss of a worker itself, whatever ran on it.
	recentLosses []workerLoss
	// suspects are tasks during whose runs workers were lost, by name, least recently updated
	// first.
	suspects ordered.Map[string, *suspect]
	// unreachable are the tasks with unreachableRuns, by name.
	unreachable ordered.Map[string, *task]
	// unowned are crashes during runs of tasks whose job is not here, by task, least recently updated
	// first.
	unowned ordered.Map[string, *unownedCrashes]
}

// unownedCrashes are the ends by crash of one task's runs, with the time of the last one.
type unownedCrashes struct {
	ends      map[uint32]workerCrash
	updatedAt time.Time
}

// workerCrash is the end of a run by the crash of a worker.
type workerCrash struct {
	worker string
	end    runs.End
}

// rememberUnowned keeps a crash during a run of a task whose job is not here. This entry may take the
// job over from one that was lost before it had heard of the crash.
func (c *Core) rememberUnowned(worker string, end runs.End) {
	known := c.crashes.unowned.Get(end.Key.Task)
	if known == nil {
		known = &unownedCrashes{ends: make(map[uint32]workerCrash)}
	}
	if len(known.ends) < lostWorkerLimit {
		known.ends[end.Key.Run] = workerCrash{worker, end}
	}
	known.updatedAt = c.now
	c.crashes.unowned.Delete(end.Key.Task)
	c.crashes.unowned.Put(end.Key.Task, known)
	forgetOldest(&c.crashes.unowned, c.now, func(u *unownedCrashes) time.Time { return u.updatedAt })
}

// countUnowned counts the crashes that were kept for the tasks of a job, but for those that its
// previous owner has stored.
func (c *Core) countUnowned(j *job) {
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			known := c.crashes.unowned.Get(t.name)
			if known == nil {
				continue
			}
			c.crashes.unowned.Delete(t.name)
			for _, run := range slices.Sorted(maps.Keys(known.ends)) {
				if crash := known.ends[run]; t.takeLateCrash(run) {
					c.handleWorkerCrash(t, crash.worker, crash.end)
				}
			}
		}
	}
}

// workerLoss is the loss of a worker on which a job ran.
type workerLoss struct {
	job, worker string
	at          time.Time
}

// suspect is a Suspect with the time of its last update.
type suspect struct {
	runs.Suspect
	updatedAt time.Time
}

// addLoss adds the loss of a worker that ran a job.
func (c *crashHistory) addLoss(now time.Time, job, worker string) {
	c.recentLosses = append(c.recentLosses, workerLoss{job, worker, now})
	for len(c.recentLosses) > maxRecentLosses || now.Sub(c.recentLosses[0].at) > recentLossWindow {
		c.recentLosses = c.recentLosses[1:]
	}
}

// countOtherLosses returns the number of workers that were lost within the given time and ran
// nothing of the job.
func (c *crashHistory) countOtherLosses(now time.Time, job string, within time.Duration) int {
	others := make(map[string]bool)
	for _, l := range c.recentLosses {
		if now.Sub(l.at) <= within {
			others[l.worker] = true
		}
	}
	for _, l := range c.recentLosses {
		if l.job == job {
			delete(others, l.worker)
		}
	}
	return len(others)
}

// addVanishedWorker adds a loss if an agent's worker has ended without draining before, whatever
// ran on it.
func (c *Core) addVanishedWorker(previous, current *runs.Worker) {
	if previous.ID != "" && !previous.Draining && previous.Incarnation() != current.Incarnation() {
		c.crashes.addLoss(c.now, "", previous.ID)
	}
}

// handleWorkerCrash counts the crash of a worker that ran a task.
func (c *Core) handleWorkerCrash(t *task, worker string, end runs.End) {
	t.lostWorkers++
	t.addCrashedRun(end.Key.Run)
	c.crashes.addLoss(c.now, t.job.name, t.worker)
	if end.Suspect && c.crashes.countOtherLosses(c.now, t.job.name, sharedCrashWindow) < sharedCrashWorkers {
		t.blamedCrashes++
	}
	c.reportLostWorker(t, worker, end)
	if t.job.durable != nil && !t.job.ended {
		c.scheduleRecord(t.job, recordInterval)
	}
	c.giveUpIfOverCrashLimit(t)
}

// unreachableRun is a run whose worker became unreachable.
type unreachableRun struct {
	// worker is the ID of the worker's incarnation; empty if a previous owner had the run.
	worker string
	at     time.Time
}

// handleUnreachableWorker handles the end of a run whose worker became unreachable and may have
// crashed. As the worker may also be cut off from the network, the task is only a suspect until the worker is
// reachable again or crashReportTimeout has passed; the job does not fail unless a crash is reported later.
func (c *Core) handleUnreachableWorker(t *task, worker string, end runs.End) {
	c.addUnreachable(t, end.Key.Run, unreachableRun{worker: t.worker, at: c.now})
	c.crashes.addLoss(c.now, t.job.name, t.worker)
	c.reportLostWorker(t, worker, end)
}

func (c *Core) addUnreachable(t *task, run uint32, u unreachableRun) {
	if t.unreachableRuns == nil {
		t.unreachableRuns = make(map[uint32]unreachableRun)
	}
	t.unreachableRuns[run] = u
	c.crashes.unreachable.Put(t.name, t)
}

// clearReachable handles that an incarnation of a worker is reachable: it has not crashed under the runs that it had.
func (c *Core) clearReachable(worker string) {
	c.dropUnreachable(func(u unreachableRun) bool { return u.worker == worker })
}

// expireUnreachable drops the runs whose worker would have reported a crash by now.
func (c *Core) expireUnreachable() {
	c.dropUnreachable(func(u unreachableRun) bool { return c.now.Sub(u.at) > crashReportTimeout })
}

func (c *Core) dropUnreachable(isOver func(u unreachableRun) bool) {
	for name, t := range c.crashes.unreachable.All() {
		maps.DeleteFunc(t.unreachableRuns, func(_ uint32, u unreachableRun) bool { return isOver(u) })
		if len(t.unreachableRuns) == 0 || c.byTask[name] != t {
			c.crashes.unreachable.Delete(name)
		}
	}
}

// addCrashedRun remembers that the crash of a run was counted.
func (t *task) addCrashedRun(run uint32) {
	if t.crashedRuns == nil {
		t.crashedRuns = make(map[uint32]bool)
	}
	t.crashedRuns[run] = true
}

// newestCrashedRuns returns the newest runs whose crash was counted, in rising order.
func (t *task) newestCrashedRuns() []uint32 {
	list := slices.Sorted(maps.Keys(t.crashedRuns))
	return list[max(len(list)-lostWorkerLimit, 0):]
}

// takeLateCrash reports whether a crash concerns an earlier run of a task and was not counted yet:
// the worker became unreachable first, or another entry owned the job. It removes the run from
// unreachableRuns.
func (t *task) takeLateCrash(run uint32) bool {
	if t.crashedRuns[run] || t.state == taskPlaced && t.run == run {
		return false
	}
	delete(t.unreachableRuns, run)
	return true
}

// maxRestoredRuns bounds the runs that are restored; more than a few are not stored by an owner.
const maxRestoredRuns = 1000

// restoreUnreachableRuns restores the given number of runs of a previous owner whose workers became
// unreachable. The run numbers are not known but are lower than those of later runs.
func (c *Core) restoreUnreachableRuns(t *task, count int) {
	for n := range min(count, maxRestoredRuns) {
		c.addUnreachable(t, uint32(n), unreachableRun{at: c.now})
	}
}

// reportLostWorker logs that a worker was lost while it ran a task, and adds the task to the suspects
// unless the crash has a shared cause. Other entries need to know suspects even if their job is
// durable: an entry that is lost may not have stored its last crashes.
func (c *Core) reportLostWorker(t *task, worker string, end runs.End) {
	c.logDecision(Decision{
		Event: "worker lost", Job: t.job.name, Queue: t.job.queue.Name, Version: t.job.version, Key: end.Key, Worker: worker,
		Reason: end.Reason.String(), LostWorkers: t.lostWorkers, BlamedCrashes: t.blamedCrashes,
	})
	if t.lostWorkers > 0 && c.crashes.countOtherLosses(c.now, t.job.name, sharedCrashWindow) < sharedCrashWorkers {
		c.addSuspect(runs.Suspect{Task: t.name, LostWorkers: t.lostWorkers, BlamedCrashes: t.blamedCrashes})
	}
}

// giveUpIfOverCrashLimit gives up the job of a task that has reached a crash limit.
func (c *Core) giveUpIfOverCrashLimit(t *task) {
	if c.isOverCrashLimit(t) {
		c.giveUp(t.job, errkind.TaskFailed, "its task crashes workers")
	}
}

// isOverCrashLimit reports whether a task is taken to crash every worker that starts it.
func (c *Core) isOverCrashLimit(t *task) bool {
	others := c.crashes.countOtherLosses(c.now, t.job.name, recentLossWindow)
	return t.blamedCrashes >= min(blamedCrashLimit+others, lostWorkerLimit) || t.lostWorkers >= lostWorkerLimit
}

// awaitsCrashReport reports whether a task must wait until it is known whether unreachable workers
// have crashed. With these it may have reached lostWorkerLimit.
func (c *Core) awaitsCrashReport(t *task) bool {
	return t.lostWorkers+len(t.unreachableRuns) >= lostWorkerLimit
}

// isolation returns which other tasks a task may run beside.
func (t *task) isolation() runs.Isolation {
	switch {
	case t.lostWorkers+len(t.unreachableRuns) >= 2:
		return runs.IsolationExclusive
	case t.blamedCrashes > 0:
		return runs.IsolationFromSuspects
	}
	return runs.IsolationNone
}

// addSuspect stores a suspect and adds it to the output for the other entries. It reports whether
// it contains anything new.
func (c *Core) addSuspect(s runs.Suspect) bool {
	old := c.crashes.suspects.Get(s.Task)
	if old != nil && old.LostWorkers >= s.LostWorkers && old.BlamedCrashes >= s.BlamedCrashes {
		return false
	}
	if old != nil {
		s.LostWorkers, s.BlamedCrashes = max(s.LostWorkers, old.LostWorkers), max(s.BlamedCrashes, old.BlamedCrashes)
		c.crashes.suspects.Delete(s.Task)
	}
	c.crashes.suspects.Put(s.Task, &suspect{s, c.now})
	forgetOldest(&c.crashes.suspects, c.now, func(s *suspect) time.Time { return s.updatedAt })
	c.out.Suspects = append(c.out.Suspects, s)
	return true
}

// IsSuspect reports whether workers are known to have been lost while they ran a task.
func (c *Core) IsSuspect(name string) bool { return c.crashes.suspects.Has(name) }

// forgetOldest removes the tasks beyond the bounds on number and age from a map, which has the least
// recently updated one first.
func forgetOldest[V any](tasks *ordered.Map[string, *V], now time.Time, updatedAt func(*V) time.Time) {
	for name, v := range tasks.All() {
		if tasks.Len() <= maxSuspects && now.Sub(updatedAt(v)) <= suspectRetention {
			return
		}
		tasks.Delete(name)
	}
}

// MergeSuspects handles suspects received from other entries.
func (c *Core) MergeSuspects(now time.Time, list []runs.Suspect) {
	c.Advance(now)
	for _, s := range list {
		if !c.addSuspect(s) {
			continue
		}
		if t := c.byTask[s.Task]; t != nil {
			t.mergeSuspect(s)
			c.giveUpIfOverCrashLimit(t)
		}
	}
}

// mergeSuspect raises the counts of a task to those of a suspect.
func (t *task) mergeSuspect(s runs.Suspect) {
	t.lostWorkers, t.blamedCrashes = max(t.lostWorkers, s.LostWorkers), max(t.blamedCrashes, s.BlamedCrashes)
}

// applySuspects copies the known suspects to the tasks of a new job. It reports whether one of the
// tasks is over a crash limit already.
func (c *Core) applySuspects(j *job) bool {
	overLimit := false
	if c.crashes.suspects.Len() == 0 {
		return false
	}
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			if s := c.crashes.suspects.Get(t.name); s != nil {
				t.mergeSuspect(s.Suspect)
				overLimit = overLimit || c.isOverCrashLimit(t)
			}
		}
	}
	return overLimit
}

// colocationCost returns the cost that the choice of a worker has for a suspect because of other
// runs there.
func (c *Core) colocationCost(a *agent, t *task) time.Duration {
	if t.isolation() == runs.IsolationNone || a.worker.Capacity.CPU <= 0 {
		return 0
	}
	used := a.worker.Capacity.CPU - max(a.load.Free.CPU, 0)
	return maxColocationCost * time.Duration(used) / time.Duration(a.worker.Capacity.CPU)
}

// takesLastWorker reports whether a task that must run alone would use the last worker with free
// resources for it. A crash there would leave none.
func (c *Core) takesLastWorker(t *task) bool {
	if t.isolation() != runs.IsolationExclusive {
		return false
	}
	freeWorkers := 0
	for _, a := range c.planCandidates {
		if a.load.Free.Fits(t.step.Need) {
			freeWorkers++
		}
	}
	return freeWorkers < 2
}
