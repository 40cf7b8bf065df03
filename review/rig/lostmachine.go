package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// Times of the lost machine's play.
const (
	lostJobs       = 22
	lostTaskLength = 6 * time.Second
	finishTime     = 14 * time.Second // finish_s
	idleLimit      = 3 * time.Second
	queryDeadline  = 1500 * time.Millisecond
)

// playLostMachine removes a machine with a worker for good while a kept job runs there.
func playLostMachine(d *deployment, trouble bool) (bool, error) {
	time.Sleep(3 * time.Second)
	names, err := d.submitKept(lostJobs, jobOf(1, 2000, lostTaskLength))
	if err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if err := d.removeMachine(); err != nil {
			return false, err
		}
	}
	d.journal.say("end of the traffic")
	time.Sleep(finishTime)
	return d.findIdleJobs(names), nil
}

// submitKept submits jobs that must be kept, in turn at all entries.
func (d *deployment) submitKept(count int, body jobBody) ([]string, error) {
	var names []string
	for i := range count {
		name := fmt.Sprintf("%016x", 0xabc000000000+i)
		entry := d.entries[i%len(d.entries)]
		result := d.clientOf(entry).call("POST", queuePrefix+name, body, queryDeadline)
		d.journal.note("POST %s at %s: %d", name, entry.name, result.status)
		if result.status != 200 {
			return nil, fmt.Errorf("job %s was not accepted: %d", name, result.status)
		}
		names = append(names, name)
	}
	return names, nil
}

// removeMachine takes the machine with the most runs away, without a word. Its agent is stopped by a
// signal for the rest of the play: its connections stay open and nothing answers on them any more, as
// with a machine that has no power.
func (d *deployment) removeMachine() error {
	most := 0
	for i, w := range d.workers {
		if w.runCount() > d.workers[most].runCount() {
			most = i
		}
	}
	if d.workers[most].runCount() == 0 {
		return fmt.Errorf("no worker has a run")
	}
	d.journal.say("machine %s is removed for good, with %d runs", d.agents[most].name, d.workers[most].runCount())
	d.signal(d.agents[most], syscall.SIGSTOP)
	d.workers[most].goDark()
	return nil
}

// findIdleJobs reports whether an accepted job has not ended and has nothing running for idleLimit,
// while the workers that are left are idle.
func (d *deployment) findIdleJobs(names []string) bool {
	before := d.journal.now()
	time.Sleep(idleLimit)
	running := make(map[string]int)
	seen := make(map[string]bool) // jobs with a run since before
	for _, e := range d.journal.snapshot() {
		job, _, _ := strings.Cut(e.task, ".")
		if e.what == "start" {
			running[job]++
		} else {
			running[job]--
		}
		seen[job] = seen[job] || e.at >= before || running[job] > 0 && e.at >= before
	}
	inUse := 0
	for _, w := range d.workers {
		inUse += w.runCount()
	}
	broken := false
	for _, name := range names {
		var states []string
		done := true
		for _, entry := range d.entries {
			r := d.clientOf(entry).call("GET", queuePrefix+name, nil, queryDeadline)
			states = append(states, fmt.Sprintf("%d %s", r.status, r.state))
			done = done && r.status == 200 && r.state == "done"
		}
		d.journal.note("GET %s: %s; runs now: %d", name, strings.Join(states, ", "), running[name])
		if !done && running[name] == 0 && !seen[name] {
			d.journal.say("job %s has not ended (%s) and has had nothing running for %s; runs at all workers: %d", name, strings.Join(states, ", "), idleLimit, inUse)
			broken = true
		}
	}
	return broken
}
