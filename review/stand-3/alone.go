package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["task-kept-alone"] = taskKeptAlone }

// muteLength is srv_grey, for_s.
const muteLength = 5500 * time.Millisecond

// runningAt returns the executor that runs a task of a job, or nil.
func (w *world) runningAt(id string) *executor {
	for _, e := range w.executors {
		e.mu.Lock()
		for task := range e.runs {
			if jobOf(task) == id {
				e.mu.Unlock()
				return e
			}
		}
		e.mu.Unlock()
	}
	return nil
}

// taskKeptAlone: each executor runs a long task that takes a tenth of its room. The executor of another job's
// task leaves calls unanswered for a while, and later the one to which the task has gone.
func taskKeptAlone(rec *record, trouble bool) verdict {
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
	id := newID()
	if w.submit(w.entries[1], "r-main", id, []step{{Count: 1, CPU: 1600, Memory: 64, Estimate: 8000, work: 8 * time.Second}}) != http.StatusOK {
		return verdict{couldNotRun, "the job was not accepted"}
	}
	submitted := time.Now()
	for range 2 {
		time.Sleep(time.Second)
		if e := w.runningAt(id); trouble && e != nil {
			rec.line("trouble  executor %s leaves calls unanswered", e.id)
			e.mute.Store(true)
			time.Sleep(muteLength)
			e.mute.Store(false)
			rec.line("trouble  executor %s answers again", e.id)
		}
	}
	time.Sleep(contact)
	idle := time.Now()
	var longest time.Duration
	for time.Since(submitted) < finish14+25*time.Second {
		time.Sleep(20 * time.Millisecond)
		if _, state := "", w.isDone(id); state || w.runningAt(id) != nil {
			idle = time.Now()
		}
		if since := time.Since(idle); time.Since(submitted) > finish14 && since > longest {
			longest = since
		}
	}
	if longest > idleBound {
		return verdict{broken, fmt.Sprintf("LOST: a job has had nothing running for %.1f s, and each executor has nine tenths of its room free", longest.Seconds())}
	}
	return verdict{held, "the job has run"}
}

// isDone reports whether a task of a job has ended done.
func (w *world) isDone(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.ends {
		if jobOf(f.task) == id && f.how == "done" {
			return true
		}
	}
	return false
}
