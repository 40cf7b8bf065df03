package batch

import (
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/ordered"
	"peridotpick.example/wire/runs"
)

// A task may crash each worker that starts it, and takes with it whatever runs there. It is
// given up once two crashes are put down to it, more if other
// workers were lost lately, or four workers have crashed while it ran there. A crash is put down to
// the run that its agent names, unless many workers are lost at the same moment: then
// it has a cause outside. A suspected task runs apart from other suspects, then alone,
// so that one that merely ran beside the cause is not blamed again.
//
// The load it answers: a few jobs of a queue crash all that they touch. Without it each of
// them goes from worker to worker until its caller leaves, and a durable one for ever.
const (
	// blamedLimit is the number of crashes put down to a task after which it is given up.
	// Each other worker that was lost lately asks for one more: some are chance then.
	blamedLimit = 2
	// lostLimit is the number of workers that have crashed under a task after which it is
	// given up whatever else: a crash need not show which run it came from.
	lostLimit = 4
	// sharedWithin is the time within which losses count as one event, and sharedWorkers the
	// number of workers without the job that it must have met to have a cause outside.
	sharedWithin  = 500 * time.Millisecond
	sharedWorkers = 3
	// lostLately is how long losses of other workers count against blaming a job.
	lostLately = 10 * time.Second
	// recentKept bounds the losses that are remembered for that.
	recentKept = 256
	// suspectsKept and suspectKeptFor bound what is remembered of tasks whose job is not
	// here: a caller without an answer sends its job again within seconds.
	suspectsKept   = 256
	suspectKeptFor = time.Minute
	// wordWithin is the time in which a worker that has crashed is back.
	wordWithin = 15 * time.Second
	// besideCost is what a suspect's choice of a worker is charged at most for what runs
	// there and would be lost.
	besideCost = 100 * time.Millisecond
)

// crashes is what an entry knows of lost workers.
type crashes struct {
	// recent are the workers that were lost a moment ago, with the jobs that ran there;
	// the job is empty where none of this entry did.
	recent []lostUnder
	// suspects are tasks that were blamed, the oldest first.
	suspects ordered.Map[string, *suspect]
}

type lostUnder struct {
	job, worker string
	at          time.Time
}

// suspect is a blamed task with the time of the last word about it.
type suspect struct {
	runs.Suspect
	at time.Time
}

// add notes that a worker was lost under a job.
func (c *crashes) add(now time.Time, job, worker string) {
	c.recent = append(c.recent, lostUnder{job, worker, now})
	for len(c.recent) > recentKept || now.Sub(c.recent[0].at) > lostLately {
		c.recent = c.recent[1:]
	}
}

// others counts the workers that were lost within a time while nothing of a job ran there.
func (c *crashes) others(now time.Time, job string, within time.Duration) int {
	others := make(map[string]bool)
	for _, l := range c.recent {
		if now.Sub(l.at) <= within {
			others[l.worker] = true
		}
	}
	for _, l := range c.recent {
		if l.job == job {
			delete(others, l.worker)
		}
	}
	return len(others)
}

// noteVanished notes that a worker was lost, whatever ran there, unless it had said that it
// leaves.
func (c *Core) noteVanished(was, is *runs.Worker) {
	if was.ID != "" && !was.Draining && was.Life() != is.Life() {
		c.crashes.add(c.now, "", was.ID)
	}
}

// workerLost counts a worker that has crashed under a task.
func (c *Core) workerLost(t *task, worker string, end runs.End) {
	t.lost++
	if t.crashed == nil {
		t.crashed = make(map[uint32]bool)
	}
	t.crashed[end.Key.Run] = true
	c.crashes.add(c.now, t.job.name, t.worker)
	if end.Suspect && c.crashes.others(c.now, t.job.name, sharedWithin) < sharedWorkers {
		t.blamed++
	}
	c.noteLost(t, worker, end)
	if t.job.durable != nil && !t.job.ended {
		c.changed(t.job, recordEvery)
	}
	c.giveUpCrashing(t)
}

// workerSilent notes that a worker was lost under a task and may have crashed. No job fails
// for a cut: the task is suspected, and that is all until the worker is back.
func (c *Core) workerSilent(t *task, worker string, end runs.End) {
	if t.lapsed == nil {
		t.lapsed = make(map[uint32]time.Time)
	}
	t.lapsed[end.Key.Run] = c.now
	c.crashes.add(c.now, t.job.name, t.worker)
	c.noteLost(t, worker, end)
}

// lostBefore reports whether a run that is over was lost with a worker which has crashed, as
// is known now: the worker went silent first, or another entry owned the job.
func (t *task) lostBefore(run uint32) bool {
	if t.crashed[run] || t.state == taskPlaced && t.run == run {
		return false
	}
	delete(t.lapsed, run)
	return true
}

// restoreLapsed takes the number of runs of a former owner that were lost with silent
// workers. Their numbers are not known, but are below those of later runs.
func (t *task) restoreLapsed(now time.Time, count int) {
	for n := range count {
		if t.lapsed == nil {
			t.lapsed = make(map[uint32]time.Time)
		}
		t.lapsed[uint32(n)] = now
	}
}

func (c *Core) noteLost(t *task, worker string, end runs.End) {
	c.note(Note{
		Event: "worker lost", Job: t.job.name, Queue: t.job.queue.Name, Version: t.job.version, Key: end.Key, Worker: worker,
		Reason: end.Reason.String(), Lost: t.lost, Blamed: t.blamed,
	})
	if t.job.durable == nil && t.lost > 0 && c.crashes.others(c.now, t.job.name, sharedWithin) < sharedWorkers {
		c.suspects(runs.Suspect{Task: t.name, Lost: t.lost, Blamed: t.blamed})
	}
}

// giveUpCrashing gives the job of a task up that crashes workers.
func (c *Core) giveUpCrashing(t *task) {
	if c.crashing(t) {
		c.giveUp(t.job, errkind.TaskFailed, "its task crashes workers")
	}
}

// crashing reports whether a task is taken to crash each worker that starts it.
func (c *Core) crashing(t *task) bool {
	others := c.crashes.others(c.now, t.job.name, lostLately)
	return t.blamed >= min(blamedLimit+others, lostLimit) || t.lost >= lostLimit
}

// awaitsWord reports whether a task has to wait until it is known of a silent worker
// whether that has crashed: it may have had as many starts as are allowed.
func (c *Core) awaitsWord(t *task) bool {
	if t.lost+len(t.lapsed) < lostLimit {
		return false
	}
	for run, at := range t.lapsed {
		if c.now.Sub(at) > wordWithin {
			delete(t.lapsed, run)
		}
	}
	return t.lost+len(t.lapsed) >= lostLimit
}

// suspicion tells beside what a task may start.
func (t *task) suspicion() runs.Suspicion {
	switch {
	case t.lost+len(t.lapsed) >= 2:
		return runs.Alone
	case t.blamed > 0:
		return runs.Apart
	}
	return runs.Trusted
}

// suspects remembers a blamed task and has the other entries told. It reports whether that
// is news.
func (c *Core) suspects(s runs.Suspect) bool {
	old := c.crashes.suspects.Get(s.Task)
	if old != nil && old.Lost >= s.Lost && old.Blamed >= s.Blamed {
		return false
	}
	if old != nil {
		s.Lost, s.Blamed = max(s.Lost, old.Lost), max(s.Blamed, old.Blamed)
		c.crashes.suspects.Delete(s.Task)
	}
	c.crashes.suspects.Put(s.Task, &suspect{s, c.now})
	c.forgetSuspects()
	c.out.Suspects = append(c.out.Suspects, s)
	return true
}

// Suspected reports whether workers are known to have been lost under a task.
func (c *Core) Suspected(name string) bool { return c.crashes.suspects.Has(name) }

// forgetSuspects drops the oldest beyond the bounds.
func (c *Core) forgetSuspects() {
	for name, s := range c.crashes.suspects.All() {
		if c.crashes.suspects.Len() <= suspectsKept && c.now.Sub(s.at) <= suspectKeptFor {
			return
		}
		c.crashes.suspects.Delete(name)
	}
}

// LearnSuspects takes what other entries say of tasks that crash workers.
func (c *Core) LearnSuspects(now time.Time, list []runs.Suspect) {
	c.Now(now)
	for _, s := range list {
		if !c.suspects(s) {
			continue
		}
		if t := c.byTask[s.Task]; t != nil && t.job.durable == nil {
			t.takeSuspect(s)
			c.giveUpCrashing(t)
		}
	}
}

func (t *task) takeSuspect(s runs.Suspect) {
	t.lost, t.blamed = max(t.lost, s.Lost), max(t.blamed, s.Blamed)
}

// recallSuspects gives the tasks of a job that was handed in what is known of them. It
// reports whether one of them is given up already.
func (c *Core) recallSuspects(j *job) bool {
	condemned := false
	if c.crashes.suspects.Len() == 0 {
		return false
	}
	for i := range j.steps {
		for _, t := range j.steps[i].tasks {
			if s := c.crashes.suspects.Get(t.name); s != nil {
				t.takeSuspect(s.Suspect)
				condemned = condemned || c.crashing(t)
			}
		}
	}
	return condemned
}

// beside is what the choice of a worker costs a suspect for what it might take with it.
func (c *Core) beside(a *agent, t *task) time.Duration {
	if t.suspicion() == runs.Trusted || a.worker.Capacity.CPU <= 0 {
		return 0
	}
	used := a.worker.Capacity.CPU - max(a.load.Free.CPU, 0)
	return besideCost * time.Duration(used) / time.Duration(a.worker.Capacity.CPU)
}

// lastRoom reports whether a task that has to run alone would take the last worker with
// room: a crash there would leave none.
func (c *Core) lastRoom(t *task) bool {
	if t.suspicion() != runs.Alone {
		return false
	}
	free := 0
	for _, a := range c.usable {
		if a.load.Free.Fits(t.step.Need) {
			free++
		}
	}
	return free < 2
}
