package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["large-jobs-first"] = largeJobsFirst }

// largeJobsFirst: each executor runs a long task that takes a tenth of its room. Large jobs come at once, of one
// client, and wait, as their tasks need a whole executor. Then the client hands in a job with a small task.
func largeJobsFirst(rec *record, trouble bool) verdict {
	const executors = 11
	w, err := newWorld(rec, 4, executors, 16000)
	if err != nil {
		return cannot(err)
	}
	long := []step{{Count: executors, CPU: 1600, Memory: 64, Estimate: 90_000, Apart: 1, work: 90 * time.Second}}
	if w.submit(w.entries[0], "r-main", newID(), long) != http.StatusOK {
		return verdict{couldNotRun, "the long job was not accepted"}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for range 8 {
			if w.submit(w.entries[1], "r-main", newID(), []step{{Count: 1, CPU: 16000, Memory: 64, Estimate: 60_000, work: 60 * time.Second}}) != http.StatusOK {
				return verdict{couldNotRun, "a large job was not accepted"}
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	id := newID()
	if w.submit(w.entries[1], "r-main", id, []step{{Count: 1, CPU: 1600, Memory: 64, Estimate: 70_000, work: 70 * time.Second}}) != http.StatusOK {
		return verdict{couldNotRun, "the job was not accepted"}
	}
	time.Sleep(finish14 + idleBound)
	starts := w.startsOf(id)
	if len(starts) > 0 {
		return verdict{held, "the job runs"}
	}
	w.state(w.entries[0], "r-main", id)
	time.Sleep(10 * time.Second)
	return verdict{broken, fmt.Sprintf("LOST: a job has had nothing running for %.0f s, and each executor has nine tenths of its room free (%d starts later)", (finish14 + idleBound).Seconds(), len(w.startsOf(id)))}
}
