package main

import (
	"net/http"
	"sync"
	"time"
)

func init() {
	plays["queue-restored"] = playQueueRestored
	plays["overload-loss"] = playOverloadLoss
}

// playQueueRestored has one entry killed while the newest configuration leaves a queue out.
func playQueueRestored(rec *record, trouble bool) (bool, error) {
	const otherPrefix = "/pule252/"
	d, err := newDeployment(rec, 3, 4)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.configure(prefix, otherPrefix); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	work := chain(8, 2, 1200*time.Millisecond)
	accepted := acceptJobs(d, 18, work)
	rec.say("%d of 18 jobs accepted", len(accepted))
	if trouble {
		rec.say("a configuration leaves the queue out")
		if err := d.configure(otherPrefix); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		rec.say("%s is killed, and starts again after %v", d.entries[1].name, restartTime)
		d.killMachine(d.entries[1])
		time.Sleep(restartTime)
		if err := d.startMachine(d.entries[1]); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
		rec.say("a configuration has the queue again")
		if err := d.configure(prefix, otherPrefix); err != nil {
			return false, err
		}
	}
	open := awaitJobs(d, accepted, 40*time.Second)
	rec.say("%d of %d accepted jobs are not done", len(open), len(accepted))
	return idleJobs(d, rec, open, work.tasks()) > 0, nil
}

// playOverloadLoss hands in three times the work that fits, as durable jobs, until all entries are
// killed.
func playOverloadLoss(rec *record, trouble bool) (bool, error) {
	const loadTime = 10 * time.Second
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
	// 50 tasks fit at a time; a job takes 1.6 s of one of these places. 32 jobs a second are the room.
	work := job{Spec: "ms=200", Steps: []step{{Count: 8, CPU: 1600, Memory: 64, Estimate: 200}}}
	var (
		mu       sync.Mutex
		accepted []string
		group    sync.WaitGroup
	)
	ticker := time.NewTicker(time.Second / 96)
	defer ticker.Stop()
	for began, n := time.Now(), 0; time.Since(began) < loadTime; n++ {
		<-ticker.C
		group.Go(func() {
			name := newName()
			if status, _ := d.call(d.entries[n%3], http.MethodPost, prefix+name, work, 1500*time.Millisecond); status == http.StatusOK {
				mu.Lock()
				accepted = append(accepted, name)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	rec.say("%d jobs accepted in %v", len(accepted), loadTime)
	if trouble {
		if err := restartEntries(d, time.Second); err != nil {
			return false, err
		}
	}
	open := awaitJobs(d, accepted, 60*time.Second)
	rec.say("%d of %d accepted jobs are not done", len(open), len(accepted))
	return idleJobs(d, rec, open, work.tasks())+overlaps(d, rec) > 0, nil
}
