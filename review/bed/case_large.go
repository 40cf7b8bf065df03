package main

import (
	"net/http"
	"time"
)

func init() { plays["large-row"] = playLargeRow }

// playLargeRow hands in a job of 7,000 tasks, whose row grows beyond the store's limit. No rule names
// what is seen then, so that this play only reports it: the last state of that job, and how many
// small jobs are not accepted afterwards at the same entry.
func playLargeRow(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 3, 6)
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
	if trouble {
		name := newName()
		large := job{Spec: "ms=200", Steps: []step{{Count: 7000, CPU: 500, Memory: 64, Estimate: 200}}}
		status, _ := d.call(d.entries[0], http.MethodPost, prefix+name, large, 1500*time.Millisecond)
		rec.say("a job of %d tasks is answered with %d", large.tasks(), status)
		awaitJobs(d, []string{name}, 25*time.Second)
		_, done := lastActivity(d, name)
		rec.say("it is shown as %q, %d of its tasks are done", d.state(d.entries[0], name), done)
	}
	rejected := 0
	for range 20 {
		status, _ := d.call(d.entries[0], http.MethodPost, prefix+newName(), chain(2, 2, 200*time.Millisecond), 1500*time.Millisecond)
		if status != http.StatusOK {
			rejected++
		}
	}
	rec.say("%d of 20 small jobs are not accepted at %s", rejected, d.entries[0].name)
	return rejected > 0, nil
}
