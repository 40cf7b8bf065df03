package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["dropped-queue"] = droppedQueue }

const (
	contact   = 3 * time.Second         // contact_ms
	killed    = 3500 * time.Millisecond // node_kill, for_s
	finish14  = 14 * time.Second        // finish_s
	idleBound = 3 * time.Second         // LOST: nothing of a job runs for so long
)

// droppedQueue: a configuration removes the route of a job that runs, and the process that runs it is killed
// and comes back.
func droppedQueue(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 3, 5, 16000)
	if err != nil {
		return cannot(err)
	}
	w.store.put("op", "config", configuration(5, "r-main", "r-extra"))
	rec.line("operator adds the route r-extra")
	time.Sleep(2500 * time.Millisecond)
	id := newID()
	steps := chain(8, 900)
	owner := w.entries[0]
	if status := w.submit(owner, "r-extra", id, steps); status != http.StatusOK {
		return verdict{couldNotRun, "the job was not accepted"}
	}
	time.Sleep(time.Second)
	if trouble {
		w.store.put("op", "config", configuration(8, "r-main"))
		rec.line("operator removes the route r-extra")
		time.Sleep(2 * time.Second)
		rec.line("trouble  %s is killed", owner.name)
		owner.process.kill()
		time.Sleep(killed)
		if err := owner.process.start(); err != nil {
			return cannot(err)
		}
		rec.line("trouble  %s is back", owner.name)
	}
	time.Sleep(finish14 + contact + 8*time.Second)
	for _, e := range w.entries {
		w.state(e, "r-extra", id)
	}
	done := make(map[string]bool)
	var last time.Time
	w.mu.Lock()
	for _, f := range w.ends {
		if jobOf(f.task) == id {
			if f.how == "done" {
				done[f.task] = true
			}
			last = f.at
		}
	}
	w.mu.Unlock()
	idle := time.Since(last)
	if len(done) == 4*len(steps) {
		return verdict{held, "all tasks have ended done"}
	}
	if idle < idleBound {
		return verdict{held, "the job still runs"}
	}
	return verdict{broken, fmt.Sprintf("LOST: %d of %d tasks have ended done, nothing of the job has run for %.1f s, and all executors are free", len(done), 4*len(steps), idle.Seconds())}
}
