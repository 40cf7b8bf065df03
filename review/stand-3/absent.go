package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["end-of-an-unseen-job"] = endOfAnUnseenJob
	cases["cancel-while-catching-up"] = cancelWhileCatchingUp
}

const freezeLength = 4 * time.Second // node_freeze, for_s

// endOfAnUnseenJob: the store turns one entry away for a while. Just before it serves it again, another entry, which
// runs some jobs, freezes. A third one takes these jobs over.
func endOfAnUnseenJob(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 4, 8, 16000)
	if err != nil {
		return cannot(err)
	}
	w.store.plainFeeds.Store(true)
	owner, away := w.entries[0], w.entries[2]
	began := time.Now()
	stop := began.Add(turnedAway + 4*time.Second)
	var clients sync.WaitGroup
	for i := range 30 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(stop) {
				w.submit(w.entries[1+2*(i%2)], "r-main", newID(), []step{{Count: 1, CPU: 800, Memory: 64, Estimate: 30, work: 30 * time.Millisecond}})
				time.Sleep(70 * time.Millisecond)
			}
		}()
	}
	if trouble {
		rec.line("trouble  the store turns %s away", away.name)
		away.front.mode.Store(busy)
	}
	time.Sleep(turnedAway - 700*time.Millisecond - time.Since(began))
	var ids []string
	for n := range 24 {
		id := newID()
		work := time.Duration(150+10*(n%12)) * time.Millisecond
		if w.submit(owner, "r-main", id, []step{{Count: 8, CPU: 800, Memory: 64, Estimate: 200, work: work}}) == http.StatusOK {
			ids = append(ids, id)
		}
	}
	if trouble {
		rec.line("trouble  %s freezes", owner.name)
		_ = owner.process.cmd.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(freezeLength, func() {
			rec.line("trouble  %s wakes", owner.name)
			_ = owner.process.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	time.Sleep(turnedAway - time.Since(began))
	if trouble {
		rec.line("trouble  the store serves %s again", away.name)
		away.front.mode.Store(sound)
	}
	clients.Wait()
	time.Sleep(12 * time.Second)
	twice := w.startedAfterEnds(ids)
	for _, t := range twice {
		rec.line("client   %s", t)
	}
	if len(twice) > 0 {
		return verdict{broken, fmt.Sprintf("TWICE: %d tasks of %d were started again after an end done that was taken note of", len(twice), 8*len(ids))}
	}
	return verdict{held, fmt.Sprintf("none of %d tasks was started again after its end", 8*len(ids))}
}

// startedAfterEnds tells of the tasks of jobs that were started after a run had ended done, whose end was taken note of.
func (w *world) startedAfterEnds(ids []string) (list []string) {
	mine := make(map[string]bool)
	for _, id := range ids {
		mine[id] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ended := make(map[string]taken)
	for _, t := range w.taken {
		if t.how == "done" && mine[jobOf(t.task)] {
			if _, known := ended[t.task]; !known {
				ended[t.task] = t
			}
		}
	}
	seen := make(map[string]bool)
	for _, s := range w.starts {
		if t, ok := ended[s.task]; ok && s.at.After(t.ended) && !seen[s.task] {
			seen[s.task] = true
			list = append(list, fmt.Sprintf("%s: run %d ended done at %.3f, which was taken note of at %.3f; run %d started at %.3f", s.task, t.run,
				t.ended.Sub(w.record.began).Seconds(), t.noted.Sub(w.record.began).Seconds(), s.run, s.at.Sub(w.record.began).Seconds()))
		}
	}
	return list
}

// cancelWhileCatchingUp: the store turns one entry away for a while and serves it again. Clients cancel jobs there,
// which other entries have accepted before, while it reads what it has missed.
func cancelWhileCatchingUp(rec *record, trouble bool) verdict {
	w, err := newWorld(rec, 4, 8, 16000)
	if err != nil {
		return cannot(err)
	}
	w.store.plainFeeds.Store(true)
	owner, away := w.entries[0], w.entries[2]
	began := time.Now()
	stop := began.Add(turnedAway + time.Second)
	var clients sync.WaitGroup
	for i := range 30 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(stop) {
				w.submit(w.entries[1+2*(i%2)], "r-main", newID(), []step{{Count: 1, CPU: 800, Memory: 64, Estimate: 30, work: 30 * time.Millisecond}})
				time.Sleep(70 * time.Millisecond)
			}
		}()
	}
	if trouble {
		rec.line("trouble  the store turns %s away", away.name)
		away.front.mode.Store(busy)
	}
	time.Sleep(turnedAway - 600*time.Millisecond - time.Since(began))
	var ids []string
	for range 12 {
		id := newID()
		if w.submit(owner, "r-main", id, []step{
			{Count: 1, CPU: 800, Memory: 64, Estimate: 6000, work: 6 * time.Second},
			{Count: 1, CPU: 800, Memory: 64, Estimate: 2000, After: []int{0}, work: 2 * time.Second},
		}) == http.StatusOK {
			ids = append(ids, id)
		}
	}
	time.Sleep(turnedAway - time.Since(began))
	if trouble {
		rec.line("trouble  the store serves %s again", away.name)
		away.front.mode.Store(sound)
	}
	calm := time.Now().Add(contact)
	acknowledged := make(map[string]time.Time)
	for _, id := range ids {
		time.Sleep(30 * time.Millisecond)
		if status, _ := w.call(away, http.MethodDelete, "/r-main/"+id, nil); status == http.StatusOK || status == http.StatusGone {
			acknowledged[id] = time.Now()
		}
	}
	clients.Wait()
	time.Sleep(10 * time.Second)
	late := 0
	for id, at := range acknowledged {
		if len(lateStarts(w, id, later(at, calm.Add(-cancelBound)))) > 0 {
			late++
		}
	}
	if late > 0 {
		return verdict{broken, fmt.Sprintf("UNASKED: tasks of %d jobs of %d started later than cancel_ms after their cancelling was acknowledged", late, len(acknowledged))}
	}
	return verdict{held, fmt.Sprintf("no task of %d cancelled jobs was started late", len(acknowledged))}
}
