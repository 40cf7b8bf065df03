package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { plays["held-ends"] = playHeldEnds }

// acceptAtOnce hands jobs in at all entries at a time. It returns the names of those that were
// accepted.
func acceptAtOnce(d *deployment, count int, j job) []string {
	const clients = 12
	var (
		group    sync.WaitGroup
		mu       sync.Mutex
		accepted []string
	)
	for c := range clients {
		group.Go(func() {
			for i := c; i < count; i += clients {
				name := newName()
				status, _ := d.call(d.entries[i%len(d.entries)], http.MethodPost, prefix+name, j, 1500*time.Millisecond)
				if status == http.StatusOK {
					mu.Lock()
					accepted = append(accepted, name)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return accepted
}

const (
	// longestOutage is the longest outage of the store that the site file names.
	longestOutage = 4500 * time.Millisecond
	// endsAtReturn is the number of ends that each executor lists when the store is back.
	endsAtReturn = 410
)

// fewestEnds returns the smallest number of ends that an executor lists because none of them was
// taken note of.
func fewestEnds(d *deployment) int {
	fewest := d.executors[0].endCount()
	for _, e := range d.executors[1:] {
		fewest = min(fewest, e.endCount())
	}
	return fewest
}

// playHeldEnds has the whole store down for some seconds while durable jobs of short tasks run.
func playHeldEnds(rec *record, trouble bool) (bool, error) {
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
	work := job{Spec: "ms=60", Steps: []step{{Count: 32, CPU: 1600, Memory: 64, Estimate: 60}}}
	accepted := acceptAtOnce(d, 250, work)
	rec.say("%d of 250 jobs of %d tasks accepted", len(accepted), work.tasks())
	if len(accepted) < 200 {
		return false, errNotServed
	}
	if trouble {
		rec.say("the store is down")
		d.store.setDown(func(_, _, _ string) bool { return true })
		began := time.Now()
		for time.Since(began) < longestOutage && fewestEnds(d) < endsAtReturn {
			time.Sleep(20 * time.Millisecond)
		}
		d.store.setDown(nil)
		rec.say("the store is back after %.1f s, each executor lists %d ends or more", time.Since(began).Seconds(), fewestEnds(d))
	}
	open := awaitJobs(d, accepted, 30*time.Second)
	rec.say("%d of %d accepted jobs are not done", len(open), len(accepted))
	status, _ := d.call(d.entries[1], http.MethodPost, prefix+newName(), job{Spec: "ms=60", Steps: work.Steps[:1], BestEffort: true}, 1500*time.Millisecond)
	rec.say("a new job whose answer is awaited is answered with %d", status)
	return idleJobs(d, rec, open, work.tasks()) > 0, nil
}
