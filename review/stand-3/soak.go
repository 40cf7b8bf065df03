package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = soak }

// soakJob is a job that must be kept, as its client sees it.
type soakJob struct {
	id        string
	steps     []step
	accepted  time.Time // zero if no success was seen
	refused   bool      // all attempts were refused
	cancelled time.Time // when the cancelling was acknowledged
	cancelTry bool
	shown     string
	shownAt   time.Time
}

type judge struct {
	mu     sync.Mutex
	rec    *record
	broken []string
}

func (j *judge) fail(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	j.broken = append(j.broken, text)
	j.rec.line("BROKEN   %s", text)
}

// soak plays random disruptions beside durable jobs. It is a search, not a case.
func soak(rec *record, trouble bool) verdict {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	kinds := strings.Fields(os.Getenv("KINDS"))
	rng := rand.New(rand.NewPCG(seed, 7))
	w, err := newWorld(rec, 3, 6, 16000)
	if err != nil {
		return cannot(err)
	}
	j := &judge{rec: rec}
	w.onStart = func(e *executor, r *running) {
		if !e.drainAcked.IsZero() && time.Since(e.drainAcked) > 2*time.Second {
			j.fail("DRAIN: %s starts at %s, %.1f s after the drain was acknowledged", r.task, e.id, time.Since(e.drainAcked).Seconds())
		}
		used := 0
		for _, r := range e.runs {
			used += r.cpu
		}
		if used > e.cpu {
			j.fail("LIMIT: %s runs %d of %d", e.id, used, e.cpu)
		}
	}
	var mu sync.Mutex
	var jobs []*soakJob
	stop := time.Now().Add(45 * time.Second)
	var clients sync.WaitGroup
	for range 6 {
		clients.Add(1)
		r := rand.New(rand.NewPCG(rng.Uint64(), 1))
		go func() {
			defer clients.Done()
			for time.Now().Before(stop) {
				job := soakClient(w, r, j)
				mu.Lock()
				jobs = append(jobs, job)
				mu.Unlock()
			}
		}()
	}
	if trouble {
		for time.Now().Before(stop.Add(-8 * time.Second)) {
			time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
			kind := kinds[rng.IntN(len(kinds))]
			e, s, x := w.entries[rng.IntN(len(w.entries))], w.sides[rng.IntN(len(w.sides))], w.executors[rng.IntN(len(w.executors))]
			length := time.Duration(500+rng.IntN(4500)) * time.Millisecond
			if os.Getenv("SHORT") != "" {
				length = time.Duration(100+rng.IntN(1500)) * time.Millisecond
			}
			w.disrupt(kind, e, s, x, length)
		}
	}
	clients.Wait()
	time.Sleep(16 * time.Second)
	for _, job := range jobs {
		w.judgeJob(j, job)
	}
	rec.line("%d jobs", len(jobs))
	if len(j.broken) > 0 {
		return verdict{broken, fmt.Sprintf("%d broken, first: %s", len(j.broken), j.broken[0])}
	}
	return verdict{held, fmt.Sprintf("held, %d jobs, %d starts", len(jobs), len(w.starts))}
}

func (w *world) disrupt(kind string, e *entry, s *process, x *executor, length time.Duration) {
	later := func(do func()) { time.AfterFunc(length, do) }
	set := func(mode int32) {
		w.record.line("trouble  store mode %s for %s, %s", kind, e.name, length)
		e.front.mode.Store(mode)
		later(func() { e.front.mode.Store(sound) })
	}
	all := func(mode int32) {
		w.record.line("trouble  store mode %s for all, %s", kind, length)
		for _, e := range w.entries {
			e.front.mode.Store(mode)
		}
		later(func() {
			for _, e := range w.entries {
				e.front.mode.Store(sound)
			}
		})
	}
	restart := func(p *process, down time.Duration) {
		p.kill()
		w.record.line("trouble  %s is killed", p.name)
		time.AfterFunc(down, func() { _ = p.start(); w.record.line("trouble  %s is started", p.name) })
		time.Sleep(down + 100*time.Millisecond)
	}
	switch kind {
	case "cut":
		w.record.line("trouble  %s is cut off from the store for %s", e.name, length)
		e.store.cutOff()
		time.Sleep(length)
		e.store.heal()
	case "silent":
		set(silent)
	case "busy":
		set(busy)
	case "many":
		set(many)
	case "lost":
		all(lost)
	case "lost-late":
		all(lostLate)
	case "slow":
		all(slow)
	case "down":
		all(busy)
	case "entry-kill":
		restart(e.process, min(length, 3500*time.Millisecond))
	case "agent-kill":
		restart(s, min(length, 3500*time.Millisecond))
	case "entry-freeze":
		w.record.line("trouble  %s freezes for %s", e.name, length)
		_ = e.process.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(min(length, 4*time.Second))
		_ = e.process.cmd.Process.Signal(syscall.SIGCONT)
	case "agent-freeze":
		w.record.line("trouble  %s freezes for %s", s.name, length)
		_ = s.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(min(length, 4*time.Second))
		_ = s.cmd.Process.Signal(syscall.SIGCONT)
	case "entry-term", "agent-term":
		p := e.process
		if kind == "agent-term" {
			p = s
		}
		w.record.line("trouble  %s gets SIGTERM", p.name)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.done:
		case <-time.After(6 * time.Second):
			p.kill()
		}
		_ = p.start()
		w.record.line("trouble  %s is started", p.name)
	case "leave":
		go x.leave(2200*time.Millisecond+length, length)
	case "mute":
		w.record.line("trouble  executor %s is mute for %s", x.id, length)
		x.mute.Store(true)
		later(func() { x.mute.Store(false) })
	case "crash":
		go x.crash(length)
	case "late":
		w.record.line("trouble  orders are carried out late for %s", length)
		w.appliesLate = func(*executor) bool { return rand.IntN(1000) < 55 }
		later(func() { w.appliesLate = nil })
	case "herd":
		w.record.line("trouble  all entries are killed")
		for _, e := range w.entries {
			e.process.kill()
		}
		time.Sleep(700 * time.Millisecond)
		for _, e := range w.entries {
			_ = e.process.start()
		}
	}
}

// soakClient hands a job in, asks for it and perhaps cancels it, as clients do.
func soakClient(w *world, r *rand.Rand, j *judge) *soakJob {
	job := &soakJob{id: newID()}
	for i := range 1 + r.IntN(4) {
		s := step{Count: 1 + r.IntN(6), CPU: 1600, Memory: 64, Estimate: 300, work: time.Duration(50+r.IntN(900)) * time.Millisecond}
		if i > 0 {
			s.After = []int{i - 1}
		}
		job.steps = append(job.steps, s)
	}
	entry := func() *entry { return w.entries[r.IntN(len(w.entries))] }
	job.refused = true
	for range 6 {
		status := w.submit(entry(), "r-main", job.id, job.steps)
		if status == http.StatusOK {
			job.accepted, job.refused = time.Now(), false
			break
		}
		if status != 429 && status != 503 {
			job.refused = false
		}
		time.Sleep(300 * time.Millisecond)
	}
	if job.accepted.IsZero() {
		return job
	}
	if r.IntN(8) == 0 {
		w.submit(entry(), "r-main", job.id, job.steps) // arrives again
	}
	cancel := r.IntN(6) == 0
	for n := range 8 {
		time.Sleep(time.Duration(200+r.IntN(400)) * time.Millisecond)
		if cancel && n == 2 {
			job.cancelTry = true
			if status, _ := w.call(entry(), http.MethodDelete, "/r-main/"+job.id, nil); status == 200 || status == 410 {
				job.cancelled = time.Now()
				return job
			}
		}
		status, body := w.call(entry(), http.MethodGet, "/r-main/"+job.id, nil)
		if status == http.StatusGone {
			j.fail("LOST: %s answered 410", job.id)
		}
		var s struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(body), &s)
		if s.State == "done" && job.shown != "done" {
			job.shown, job.shownAt = "done", time.Now()
		}
		if s.State == "failed" || s.State == "cancelled" && !job.cancelTry {
			j.fail("LOST: %s shown as %s", job.id, s.State)
		}
		if s.State == "done" {
			return job
		}
	}
	return job
}

// judgeJob checks the rules for one job at the end.
func (w *world) judgeJob(j *judge, job *soakJob) {
	w.mu.Lock()
	done := make(map[string]time.Time)
	last := make(map[int]time.Time)
	type span struct {
		from, to time.Time
		run      uint32
		ex       string
	}
	for _, f := range w.ends {
		if jobOf(f.task) == job.id && f.how == "done" {
			if _, again := done[f.task]; !again {
				done[f.task] = f.at
			}
			if f.at.After(last[stepOf(f.task)]) {
				last[stepOf(f.task)] = f.at
			}
		}
	}
	spans := make(map[string][]span)
	for _, s := range w.starts {
		if jobOf(s.task) != job.id {
			continue
		}
		if job.refused {
			j.fail("REFUSED: %s started, all attempts were refused", s.task)
		}
		if !job.cancelled.IsZero() && s.at.Sub(job.cancelled) > 3*time.Second {
			j.fail("UNASKED: %s started %.1f s after its cancelling was acknowledged", s.task, s.at.Sub(job.cancelled).Seconds())
		}
		for _, t := range w.taken {
			if t.task == s.task && t.how == "done" && s.at.After(t.ended) {
				j.fail("TWICE: %s run %d starts after run %d has ended done", s.task, s.run, t.run)
			}
		}
		if !job.shownAt.IsZero() && s.at.Sub(job.shownAt) > time.Second {
			j.fail("TWICE: %s run %d starts after the job was shown as done", s.task, s.run)
		}
		for _, before := range job.steps[stepOf(s.task)].After {
			for i := range job.steps[before].Count {
				if at, ok := done[fmt.Sprintf("%s.0.%d.%d", job.id, before, i)]; !ok || at.After(s.at) {
					j.fail("ORDER: %s starts before step %d is done", s.task, before)
					break
				}
			}
		}
		sp := span{from: s.at, to: time.Now(), run: s.run, ex: s.executor}
		for _, f := range w.ends {
			if f.task == s.task && f.run == s.run && !f.at.Before(s.at) && f.at.Before(sp.to) {
				sp.to = f.at
			}
		}
		for _, other := range spans[s.task] {
			if other.from.Before(sp.to) && sp.from.Before(other.to) {
				j.fail("TWICE: %s runs %d at %s and %d at %s overlap", s.task, other.run, other.ex, sp.run, sp.ex)
			}
		}
		spans[s.task] = append(spans[s.task], sp)
	}
	w.mu.Unlock()
	if job.accepted.IsZero() || job.cancelTry {
		return
	}
	status, state := w.state(w.entries[rand.IntN(len(w.entries))], "r-main", job.id)
	switch {
	case status != http.StatusOK:
		j.fail("LOST: %s is answered %d at the end", job.id, status)
	case state != "done":
		j.fail("LOST: %s is %s at the end", job.id, state)
	}
	if job.shown == "done" || state == "done" {
		for i, s := range job.steps {
			for n := range s.Count {
				if _, ok := done[fmt.Sprintf("%s.0.%d.%d", job.id, i, n)]; !ok {
					j.fail("MIXED: %s is done, and task %d.%d has not ended so", job.id, i, n)
				}
			}
		}
	}
}
