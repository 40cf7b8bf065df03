package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// Times of the cancelled jobs' play.
const (
	cancelledJobs   = 30
	cancelledLength = 12 * time.Second
	cancelTime      = 3 * time.Second // cancel_ms
)

// playCancelled freezes the entry that owns kept jobs and cancels them at another entry meanwhile.
func playCancelled(d *deployment, trouble bool) (bool, error) {
	time.Sleep(3 * time.Second)
	owner, other := d.entries[0], d.entries[1]
	c := d.clientOf(owner)
	var names []string
	for i := range cancelledJobs {
		name := fmt.Sprintf("%016x", 0xcac000000000+i)
		r := c.call("POST", queuePrefix+name, jobOf(1, 1600, cancelledLength), queryDeadline)
		d.journal.note("POST %s at %s: %d", name, owner.name, r.status)
		if r.status != 200 {
			return false, fmt.Errorf("job %s was not accepted: %d", name, r.status)
		}
		names = append(names, name)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.journal.say("%s freezes for %s", owner.name, freezeTime)
		d.signal(owner, syscall.SIGSTOP)
	}
	frozen := time.Now()
	time.Sleep(100 * time.Millisecond)
	acknowledged := make(map[string]time.Duration)
	for _, name := range names {
		r := d.clientOf(other).call("DELETE", queuePrefix+name, nil, queryDeadline)
		d.journal.note("DELETE %s at %s: %d", name, other.name, r.status)
		if r.status == 200 {
			acknowledged[name] = d.journal.now()
		}
	}
	d.journal.say("%d of %d jobs are cancelled", len(acknowledged), len(names))
	time.Sleep(freezeTime - time.Since(frozen))
	if trouble {
		d.signal(owner, syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	return d.findLateStarts(acknowledged), nil
}

// findLateStarts reports whether a task was started later than cancelTime after the cancelling of its
// job was acknowledged.
func (d *deployment) findLateStarts(acknowledged map[string]time.Duration) bool {
	broken := false
	for _, e := range d.journal.snapshot() {
		job, _, _ := strings.Cut(e.task, ".")
		at, cancelled := acknowledged[job]
		if e.what == "start" && cancelled && e.at > at+cancelTime {
			d.journal.say("task %s run %d starts at %s at %.3f s, its job's cancelling was acknowledged at %.3f s", e.task, e.run, e.worker, e.at.Seconds(), at.Seconds())
			broken = true
		}
	}
	return broken
}
