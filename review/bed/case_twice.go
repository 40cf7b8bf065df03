package main

import (
	"strings"
	"syscall"
	"time"
)

func init() { plays["same-run-number"] = playSameRunNumber }

// restartEntries kills all entries and starts them again after a time.
func restartEntries(d *deployment, down time.Duration) error {
	d.rec.say("all entries are killed, and start again after %v", down)
	for _, m := range d.entries {
		d.killMachine(m)
	}
	time.Sleep(down)
	for _, m := range d.entries {
		if err := d.startMachine(m); err != nil {
			return err
		}
	}
	return nil
}

// busiest returns the agent whose executor has the most running tasks of the given step.
func busiest(d *deployment, suffix string) *machine {
	best, most := 0, -1
	for i, e := range d.executors {
		n := 0
		e.mu.Lock()
		for id := range e.running {
			if strings.Contains(id.task, suffix) {
				n++
			}
		}
		e.mu.Unlock()
		if n > most {
			best, most = i, n
		}
	}
	return d.agents[best]
}

// overlaps reports the pairs of runs of one task that were running at the same time. No executor of
// this case is ever down.
func overlaps(d *deployment, rec *record) int {
	d.runs.mu.Lock()
	byTask := make(map[string][]run)
	for _, r := range d.runs.runs {
		byTask[r.Task] = append(byTask[r.Task], *r)
	}
	d.runs.mu.Unlock()
	found := 0
	for task, list := range byTask {
		for i, a := range list {
			for _, b := range list[i+1:] {
				first, second := a, b
				if second.Began.Before(first.Began) {
					first, second = second, first
				}
				end := first.Ended
				if first.How == "" {
					end = time.Now()
				}
				if !second.Began.Before(end) {
					continue
				}
				found++
				rec.say("task %s: run %d at %s and run %d at %s, %.1f s at the same time", task, first.Run, first.Executor, second.Run, second.Executor, end.Sub(second.Began).Seconds())
			}
		}
	}
	return found
}

const (
	// restartTime is the short delay after which the platform starts a killed process again.
	restartTime = 300 * time.Millisecond
	// freezeTime is how long the machine beside an executor stands still.
	freezeTime = 4 * time.Second
)

// playSameRunNumber has all entries killed twice, the second time while the process beside an
// executor stands still. The executor runs on.
func playSameRunNumber(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 3, 5)
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
	// A task of 1 s, then four of 6 s.
	work := job{Spec: "step-ms=1000,6000", Steps: []step{
		{Count: 1, CPU: 1600, Memory: 64, Estimate: 1000}, {Count: 4, CPU: 1600, Memory: 64, Estimate: 6000, After: []int{0}},
	}}
	accepted := acceptJobs(d, 9, work)
	rec.say("%d of 9 jobs accepted", len(accepted))
	if len(accepted) < 8 {
		return false, errNotServed
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := restartEntries(d, restartTime); err != nil {
			return false, err
		}
		time.Sleep(4500 * time.Millisecond)
		side := busiest(d, ".0.1.")
		rec.say("%s stands still for %v", side.name, freezeTime)
		d.signal(side, syscall.SIGSTOP)
		back := time.Now().Add(freezeTime)
		if err := restartEntries(d, restartTime); err != nil {
			return false, err
		}
		time.Sleep(time.Until(back))
		d.signal(side, syscall.SIGCONT)
	}
	open := awaitJobs(d, accepted, 30*time.Second)
	rec.say("%d of %d accepted jobs are not done", len(open), len(accepted))
	return overlaps(d, rec) > 0, nil
}
