package main

import (
	"net/http"
	"time"
)

func init() { plays["config-late"] = playConfigLate }

// acceptJobs hands jobs in at the entries in turn. It returns the names of those that were accepted.
func acceptJobs(d *deployment, count int, j job) []string {
	var accepted []string
	for i := range count {
		name := newName()
		m := d.entries[i%len(d.entries)]
		if status, _ := d.call(m, http.MethodPost, prefix+name, j, 1500*time.Millisecond); status == http.StatusOK {
			accepted = append(accepted, name)
		}
	}
	return accepted
}

// awaitJobs waits until all jobs are shown as done, at most for the given time. It returns the
// state of the others.
func awaitJobs(d *deployment, names []string, longest time.Duration) map[string]string {
	open := make(map[string]string)
	for _, name := range names {
		open[name] = ""
	}
	for deadline := time.Now().Add(longest); len(open) > 0 && time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		for name := range open {
			open[name] = d.state(d.entries[0], name)
			if open[name] == "done" {
				delete(open, name)
			}
		}
	}
	return open
}

// lastActivity returns when a run of a job last began or ended, and how many tasks ended done.
func lastActivity(d *deployment, name string) (last time.Time, done int) {
	tasks := make(map[string]bool)
	for _, r := range d.runs.ofJob(name) {
		if r.How == "" {
			last = time.Now() // it runs
		}
		if r.Began.After(last) {
			last = r.Began
		}
		if r.Ended.After(last) {
			last = r.Ended
		}
		if r.How == "done" {
			tasks[r.Task] = true
		}
	}
	return last, len(tasks)
}

// idleBound is how long a job may have nothing running while a task's turn has come.
const idleBound = 3 * time.Second

// allIdleSince returns when any executor last ran something; now if one does.
func allIdleSince(d *deployment) time.Time {
	d.runs.mu.Lock()
	defer d.runs.mu.Unlock()
	var last time.Time
	for _, r := range d.runs.runs {
		if r.How == "" {
			return time.Now()
		}
		if r.Ended.After(last) {
			last = r.Ended
		}
	}
	return last
}

// idleJobs reports the accepted jobs of which a task has not ended done and nothing has run for
// idleBound. It reports none unless all executors have run nothing for that time: then none of the
// capacity is in use, there is more than twice what a task needs, and in each job the turn of a task
// of its first unfinished step has come.
func idleJobs(d *deployment, rec *record, open map[string]string, tasks int) int {
	idle := 0
	if time.Since(allIdleSince(d)) < idleBound {
		return 0
	}
	for name, state := range open {
		last, done := lastActivity(d, name)
		if time.Since(last) < idleBound || done == tasks {
			continue
		}
		idle++
		what := "nothing of it ever ran"
		if !last.IsZero() {
			what = "nothing of it ran for " + time.Since(last).Round(100*time.Millisecond).String()
		}
		rec.say("job %s is shown as %q, %d of %d tasks are done, %s", name, state, done, tasks, what)
	}
	return idle
}

// downPartition is the one that the store does not serve. The operator's table and the list of entries
// are in it; the rows of durable jobs are in four others.
const downPartition = ""

// partialOutage is how long these partitions are down.
const partialOutage = 4500 * time.Millisecond

// playConfigLate has all entries killed while a partition of the store is down. The durable
// jobs are read and taken over before there is a configuration.
func playConfigLate(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 3, 4)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.configure(prefix); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	work := chain(5, 2, 800*time.Millisecond)
	accepted := acceptJobs(d, 30, work)
	rec.say("%d of 30 jobs accepted", len(accepted))
	if len(accepted) < 20 {
		return false, errNotServed
	}
	if trouble {
		began := time.Now()
		rec.say("the unnamed partition of the store is down for %v", partialOutage)
		d.store.setDown(func(_, table, part string) bool {
			// A feed names no partition; the jobs have no row in this one.
			return part == downPartition && table != "jobs"
		})
		time.Sleep(500 * time.Millisecond)
		rec.say("all entries are killed, and start again 1 s later")
		for _, m := range d.entries {
			d.killMachine(m)
		}
		time.Sleep(time.Second)
		for _, m := range d.entries {
			if err := d.startMachine(m); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(began.Add(partialOutage)))
		d.store.setDown(nil)
		rec.say("the store is whole again")
	}
	open := awaitJobs(d, accepted, 40*time.Second)
	rec.say("%d of %d accepted jobs are not done", len(open), len(accepted))
	return idleJobs(d, rec, open, work.tasks()) > 0, nil
}
