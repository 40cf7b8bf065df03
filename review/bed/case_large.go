package main

import (
	"net/http"
	"os"
	"strconv"
	"time"
)

func init() { plays["large-job"] = playLargeJob }

// playLargeJob hands in one job of many tasks beside small ones of other clients.
func playLargeJob(rec *record, trouble bool) (bool, error) {
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
	tasks := 7000
	if n, err := strconv.Atoi(os.Getenv("VAR")); err == nil {
		tasks = n
	}
	large := job{Spec: "ms=20", Steps: []step{{Count: tasks, CPU: 100, Memory: 16, Estimate: 20}}}
	if trouble {
		name := newName()
		status, _ := d.call(d.entries[0], http.MethodPost, prefix+name, large, 1500*time.Millisecond)
		rec.say("a job of %d tasks is answered with %d", tasks, status)
		for range 20 {
			time.Sleep(time.Second)
			_, done := lastActivity(d, name)
			state := d.state(d.entries[0], name)
			rec.say("%d tasks done, shown as %q", done, state)
			if state == "done" {
				break
			}
		}
	}
	work := chain(2, 2, 200*time.Millisecond)
	accepted := acceptJobs(d, 60, work)
	rec.say("%d of 60 jobs accepted", len(accepted))
	open := awaitJobs(d, accepted, 25*time.Second)
	rec.say("%d of %d accepted jobs are not done", len(open), len(accepted))
	return idleJobs(d, rec, open, work.tasks()) > 0, nil
}
