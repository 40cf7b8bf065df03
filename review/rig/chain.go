package main

import (
	"fmt"
	"syscall"
	"time"
)

// Times of the second takeover's play.
const (
	chainJobs     = 24
	chainLength   = 12 * time.Second
	freezeTime    = 4 * time.Second
	killDelay     = 300 * time.Millisecond // from the end of the freeze
	chainTurnAway = 9 * time.Second
	restartDelay  = 100 * time.Millisecond
)

// playChain has an entry that was frozen take over the jobs of one that the store turns away, and
// ends its process before it has started them.
func playChain(d *deployment, trouble bool) (bool, error) {
	time.Sleep(3 * time.Second)
	owner, next := d.entries[0], d.entries[1]
	c := d.clientOf(owner)
	for i := range chainJobs {
		name := fmt.Sprintf("%016x", 0xcba000000000+i)
		r := c.call("POST", queuePrefix+name, jobOf(1, 1600, chainLength), queryDeadline)
		d.journal.note("POST %s at %s: %d", name, owner.name, r.status)
		if r.status != 200 {
			return false, fmt.Errorf("job %s was not accepted: %d", name, r.status)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		d.journal.say("%s freezes for %s", next.name, freezeTime)
		d.signal(next, syscall.SIGSTOP)
		time.Sleep(freezeTime - 200*time.Millisecond)
		d.journal.say("the store turns %s away for %s", owner.name, chainTurnAway)
		owner.endpoint.turnAway(true)
		time.AfterFunc(chainTurnAway, func() { owner.endpoint.turnAway(false) })
		time.Sleep(200 * time.Millisecond)
		d.signal(next, syscall.SIGCONT)
		time.Sleep(killDelay)
		d.journal.say("the process of %s is killed and started again", next.name)
		d.kill(next)
		time.Sleep(restartDelay)
		if err := d.start(next); err != nil {
			return false, err
		}
	}
	time.Sleep(chainTurnAway + 6*time.Second)
	return d.findDoubleRuns(), nil
}

// findDoubleRuns reports whether two runs of one task were at work at the same time.
func (d *deployment) findDoubleRuns() bool {
	running := make(map[string][]taskEvent)
	broken := false
	for _, e := range d.journal.snapshot() {
		if e.what == "start" {
			for _, other := range running[e.task] {
				d.journal.say("task %s: run %d starts at %s at %.3f s, while run %d is at work at %s since %.3f s", e.task, e.run, e.worker, e.at.Seconds(), other.run, other.worker, other.at.Seconds())
				broken = true
			}
			running[e.task] = append(running[e.task], e)
			continue
		}
		for i, other := range running[e.task] {
			if other.run == e.run && other.worker == e.worker {
				running[e.task] = append(running[e.task][:i], running[e.task][i+1:]...)
				break
			}
		}
	}
	return broken
}
