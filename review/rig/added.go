package main

import (
	"fmt"
	"strings"
	"time"
)

// Times of the added machines' play.
const (
	addedEntries = 4 // one spare machine in each zone
	settleTime   = 8 * time.Second
	rackLength   = 500 * time.Millisecond
)

// playAdded adds entries, and hands in at each entry a kept job for each rack.
func playAdded(d *deployment, trouble bool) (bool, error) {
	time.Sleep(3 * time.Second)
	if trouble {
		if err := d.addEntries(); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	labels := make(map[string]string) // of each job
	owners := make(map[string]*process)
	for i, p := range d.entries {
		for rack := 1; rack <= (agentCount+2)/3; rack++ {
			name := fmt.Sprintf("%016x", 0xadd000000000+i*256+rack)
			label := fmt.Sprintf("r1-%d", rack)
			body := jobOf(1, 1600, rackLength)
			body.Steps[0].Requires = label
			r := d.clientOf(p).call("POST", queuePrefix+name, body, queryDeadline)
			d.journal.note("POST %s for rack %s at %s: %d", name, label, p.name, r.status)
			if r.status != 200 {
				return false, fmt.Errorf("job %s was not accepted: %d", name, r.status)
			}
			labels[name], owners[name] = label, p
		}
	}
	d.journal.say("end of the traffic: %d jobs are accepted", len(labels))
	time.Sleep(finishTime + idleLimit)
	begun := make(map[string]bool)
	for _, e := range d.journal.snapshot() {
		job, _, _ := strings.Cut(e.task, ".")
		begun[job] = true
	}
	broken := false
	for name, label := range labels {
		r := d.clientOf(owners[name]).call("GET", queuePrefix+name, nil, queryDeadline)
		d.journal.note("GET %s at %s: %d %s", name, owners[name].name, r.status, r.state)
		if !begun[name] {
			d.journal.say("job %s for rack %s, accepted by %s, was never begun and is %s", name, label, owners[name].name, r.state)
			broken = true
		}
	}
	return broken, nil
}

// addEntries starts one more entry in each zone and waits until they are ready.
func (d *deployment) addEntries() error {
	for i := range addedEntries {
		p, err := d.newProcess("frontend", len(d.entries), "target/peridotpick", "dispatch")
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
		if err := d.start(p); err != nil {
			return err
		}
		d.journal.say("machine %s is added in %s", p.name, zones[i%len(zones)])
	}
	for _, p := range d.entries {
		if err := d.awaitReady(p, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}
