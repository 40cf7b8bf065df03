package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["dropped-queue"] = droppedQueue
	cases["end-kept-forever"] = endKeptForever
}

const (
	contact   = 3 * time.Second  // contact_ms
	grace     = 6 * time.Second  // grace_s
	downTime  = time.Second      // roll_term: until the process starts again
	finish14  = 14 * time.Second // finish_s
	idleBound = 3 * time.Second  // LOST: nothing of a job runs for so long
)

// roll stops a process with SIGTERM, and with SIGKILL after the grace period, and starts it again.
func (w *world) roll(p *process) error {
	w.record.line("trouble  %s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.kill()
	}
	w.record.line("trouble  %s has ended", p.name)
	time.Sleep(downTime)
	w.record.line("trouble  %s starts", p.name)
	return p.start()
}

// dropRouteAndRoll has an entry accept a job on a route of its own. With trouble the operator removes the route
// while the job runs, and the entry is stopped and started again.
func (w *world) dropRouteAndRoll(steps []step, trouble bool) (id string, err error) {
	w.store.put("op", "config", configuration(5, "r-main", "r-extra"))
	w.record.line("operator adds the route r-extra")
	time.Sleep(2500 * time.Millisecond)
	id = newID()
	owner := w.entries[0]
	if status := w.submit(owner, "r-extra", id, steps); status != http.StatusOK {
		return id, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(time.Second)
	if !trouble {
		return id, nil
	}
	w.store.put("op", "config", configuration(8, "r-main"))
	w.record.line("operator removes the route r-extra")
	time.Sleep(2 * time.Second)
	return id, w.roll(owner.process)
}

// endsOf returns the tasks of a job that have ended done, and the time of its last end.
func (w *world) endsOf(id string) (done map[string]bool, last time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	done = make(map[string]bool)
	for _, f := range w.ends {
		if jobOf(f.task) == id {
			if f.how == "done" {
				done[f.task] = true
			}
			last = f.at
		}
	}
	return done, last
}

// droppedQueue: a configuration removes the route of a job that runs, and the process that runs it is stopped
// and started again.
func droppedQueue(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 3, 5, 16000)
	if err != nil {
		return cannot(err)
	}
	steps := chain(12, 900)
	id, err := w.dropRouteAndRoll(steps, trouble)
	if err != nil {
		return cannot(err)
	}
	time.Sleep(finish14 + contact + 8*time.Second)
	for _, e := range w.entries {
		w.state(e, "r-extra", id)
	}
	done, last := w.endsOf(id)
	idle := time.Since(last)
	if len(done) == 4*len(steps) {
		return verdict{held, "all tasks have ended done"}
	}
	if idle < idleBound {
		return verdict{held, "the job still runs"}
	}
	return verdict{broken, fmt.Sprintf("LOST: %d of %d tasks have ended done, nothing of the job has run for %.1f s, and all executors are free", len(done), 4*len(steps), idle.Seconds())}
}

// endKeptForever: as droppedQueue. Then other jobs are handed in, on the route that is left.
func endKeptForever(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 3, 5, 16000)
	if err != nil {
		return cannot(err)
	}
	long := []step{{Count: 10, CPU: 1600, Memory: 64, Estimate: 12_000, Apart: 2, work: 12 * time.Second}}
	if _, err := w.dropRouteAndRoll(long, trouble); err != nil {
		return cannot(err)
	}
	time.Sleep(contact + time.Second)
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	for i := range 10 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for range 50 {
				id := newID()
				steps := []step{{Count: 10, CPU: 1600, Memory: 64, Estimate: 20, work: 20 * time.Millisecond}}
				if w.submit(w.entries[i%3], "r-main", id, steps) == http.StatusOK {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
				time.Sleep(400 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	ended := time.Now()
	rec.line("client   the traffic has ended, %d jobs were accepted", len(accepted))
	time.Sleep(finish14 + idleBound)
	open, shown := 0, ""
	for _, id := range accepted {
		if _, state := w.state(w.entries[1], "r-main", id); state != "done" {
			open++
			shown = state
		}
	}
	if open > 0 {
		return verdict{broken, fmt.Sprintf("LOST: %d of %d jobs on another route are not done %.0f s after the traffic (the last one is shown as %q)", open, len(accepted), time.Since(ended).Seconds(), shown)}
	}
	return verdict{held, fmt.Sprintf("all %d jobs are done", len(accepted))}
}
