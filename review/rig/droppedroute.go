package main

import (
	"strings"
	"time"
)

// Times of the dropped route's play.
const (
	droppedJobs   = 12
	droppedLength = 3 * time.Second
)

// playDroppedRoute removes the route of a queue while its kept jobs run, and restarts the process of
// an entry that has some of them.
func playDroppedRoute(d *deployment, trouble bool) (bool, error) {
	time.Sleep(3 * time.Second)
	body := jobBody{Spec: specOf(droppedLength), Steps: []stepBody{
		{Count: 1, CPU: 1600, Memory: 64, Estimate: 3000}, {Count: 1, CPU: 1600, Memory: 64, Estimate: 3000, After: []int{0}},
	}}
	names, err := d.submitKept(droppedJobs, body)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		d.journal.say("the operator removes the route")
		d.putConfig(2, "queue-b", "/other/")
		time.Sleep(time.Second)
		p := d.entries[0]
		d.journal.say("the process of %s is killed and started again", p.name)
		d.kill(p)
		time.Sleep(restartDelay)
		if err := d.start(p); err != nil {
			return false, err
		}
	}
	d.journal.say("end of the traffic")
	time.Sleep(finishTime + idleLimit)
	return d.findUnfinished(names), nil
}

// findUnfinished reports whether a job has tasks that are not done, and had nothing running lately.
func (d *deployment) findUnfinished(names []string) bool {
	done, lastAt := make(map[string]int), make(map[string]time.Duration)
	for _, e := range d.journal.snapshot() {
		job, _, _ := strings.Cut(e.task, ".")
		lastAt[job] = e.at
		if e.how == "done" {
			done[job]++
		}
	}
	broken := false
	for i, name := range names {
		r := d.clientOf(d.entries[1]).call("GET", queuePrefix+name, nil, queryDeadline)
		d.journal.note("GET %s at %s: %d %s; tasks done: %d", name, d.entries[1].name, r.status, r.state, done[name])
		if done[name] < 2 && d.journal.now()-lastAt[name] > idleLimit {
			d.journal.say("job %s, accepted by %s, has %d of 2 tasks done and has had nothing running since %.3f s", name, d.entries[i%len(d.entries)].name, done[name], lastAt[name].Seconds())
			broken = true
		}
	}
	return broken
}
