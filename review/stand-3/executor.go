package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxHold       = 1000 // ms, the bound max_hold_ms
	heartbeat     = 1500 * time.Millisecond
	maxListedEnds = 500
)

// running is a run at an executor.
type running struct {
	task  string
	run   uint32
	began time.Time
	work  time.Duration
	cpu   int
}

type ended struct {
	number int64
	task   string
	run    uint32
	how    string
	at     time.Time
	// lapsed is set once the executor's lease has lapsed after the end, and before it was taken note of.
	lapsed bool
}

// start is a start that an executor has begun.
type start struct {
	executor, task string
	run            uint32
	at             time.Time
}

// executor is a sound stand-in for an executor that doesn't guard its room, after PROTOCOL.md. It holds no
// checkpoints.
type executor struct {
	id, service, zone, rack string
	address, control        string
	cpu                     int
	// slowness multiplies the time that runs take which begin from now on.
	slowness float64
	// mute is set while the executor leaves all calls unanswered and does nothing for them.
	mute     atomic.Bool
	world    *world
	began    time.Time
	mu       sync.Mutex
	runs     map[string]*running
	highest  map[string]uint32 // highest run of each task that was stopped or has ended
	ends     []ended
	number   int64
	token    int64
	deadline int64
	gone     bool
	// draining is set while the executor says that it leaves; drainAcked is when that was acknowledged first.
	draining   bool
	drainAcked time.Time
	changed    chan struct{}
}

func (e *executor) clock() int64 { return time.Since(e.began).Milliseconds() + 1000 }

// serve answers calls and announces the executor until the world ends.
func (e *executor) serve() error {
	e.began = time.Now()
	e.slowness = 1
	e.runs, e.highest, e.changed = make(map[string]*running), make(map[string]uint32), make(chan struct{})
	if err := listenAndServe(e.address, e); err != nil {
		return err
	}
	go e.announce()
	go func() {
		for {
			time.Sleep(2 * time.Millisecond)
			e.mu.Lock()
			e.advance()
			e.mu.Unlock()
		}
	}()
	return nil
}

func (e *executor) announce() {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		e.mu.Lock()
		id := e.id
		e.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": e.state(), "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": e.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", e.rack}, "clock_ms": e.clock(), "seq": seq,
		})
		req, _ := http.NewRequest(http.MethodPut, "http://"+e.control+"/instances/"+id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		pause := heartbeat
		e.mu.Lock()
		if e.draining {
			pause = 300 * time.Millisecond
		}
		e.mu.Unlock()
		e.mu.Lock()
		gone := e.gone
		e.mu.Unlock()
		if gone {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			e.mu.Lock()
			if e.draining && id == e.id && e.drainAcked.IsZero() && resp.StatusCode == http.StatusOK {
				e.drainAcked = time.Now()
			}
			e.mu.Unlock()
		} else {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// advance ends what is done or has lost its lease; the caller holds the lock.
func (e *executor) advance() {
	lapsed := e.clock() > e.deadline
	for i := range e.ends {
		e.ends[i].lapsed = e.ends[i].lapsed || lapsed
	}
	for _, r := range e.runs {
		switch {
		case lapsed:
			e.end(r, "lapsed")
		case time.Since(r.began) >= r.work:
			e.end(r, "done")
		}
	}
}

func (e *executor) end(r *running, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.number++
	e.ends = append(e.ends, ended{number: e.number, task: r.task, run: r.run, how: how, at: time.Now()})
	close(e.changed)
	e.changed = make(chan struct{})
	e.world.record.line("executor %s ends %s run %d: %s", e.id, r.task, r.run, how)
	e.world.noteEnd(e, r, how)
}

type orderBody struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Ticket   string `json:"ticket"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	if want := req.Header.Get("Expect-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o orderBody
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.mute.Load() {
		<-req.Context().Done() // nothing is done, and no answer comes
		panic(http.ErrAbortHandler)
	}
	if late := e.world.lateness(); late > 0 && e.world.appliesLate != nil && e.world.appliesLate(e) {
		go func() {
			time.Sleep(late)
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.id == id && !e.gone {
				e.world.record.line("executor %s carries out %s %s run %d late", e.id, req.URL.Path, o.Task, o.Run)
				e.advance()
				e.order(discard{}, req, &o)
			}
		}()
		time.Sleep(5 * time.Second) // no answer
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		panic(http.ErrAbortHandler)
	}
	e.advance()
	e.order(w, req, &o)
}

// discard is a response that nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// order carries out a call; the caller holds the lock.
func (e *executor) order(w http.ResponseWriter, req *http.Request, o *orderBody) {
	if o.Token < e.token {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	e.token = o.Token
	switch req.URL.Path {
	case "/run-start":
		e.start(w, o)
	case "/run-stop":
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if r := e.runs[o.Task]; r != nil && r.run == o.Run {
			e.end(r, "stopped")
		}
		e.reply(w, http.StatusOK, map[string]any{})
	case "/hold":
		e.hold(w, req, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = e.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// renew takes the lease of a call; it never shortens.
func (e *executor) renew(deadline int64) {
	e.deadline = max(e.deadline, min(deadline, e.clock()+maxHold))
}

func (e *executor) start(w http.ResponseWriter, o *orderBody) {
	if r := e.runs[o.Task]; r != nil && r.run == o.Run {
		e.renew(o.Deadline)
		e.reply(w, http.StatusOK, map[string]any{})
		return
	}
	if o.Run <= e.highest[o.Task] || e.runs[o.Task] != nil {
		e.renew(o.Deadline)
		e.reply(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if o.Deadline <= e.clock() {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	e.renew(o.Deadline)
	if e.world.needsTicket(o.Task) && !e.world.tickets[o.Ticket] {
		e.reply(w, http.StatusConflict, map[string]any{"reason": "ticket"})
		return
	}
	work, cpu := e.world.workOf(o.Task)
	r := &running{task: o.Task, run: o.Run, began: time.Now(), work: time.Duration(float64(work) * e.slowness), cpu: cpu}
	e.runs[o.Task] = r
	e.world.record.line("executor %s starts %s run %d", e.id, o.Task, o.Run)
	e.world.noteStart(e, r)
	e.reply(w, http.StatusOK, map[string]any{})
}

func (e *executor) hold(w http.ResponseWriter, req *http.Request, o *orderBody) {
	e.renew(o.Deadline)
	kept := e.ends[:0]
	for _, x := range e.ends {
		if x.number > o.LastSeen {
			kept = append(kept, x)
			continue
		}
		e.world.noteTaken(x)
	}
	e.ends = kept
	end := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for len(e.ends) == 0 && o.Wait > 0 {
		changed := e.changed
		e.mu.Unlock()
		stop := false
		select {
		case <-changed:
		case <-end:
			stop = true
		case <-req.Context().Done():
			stop = true
		}
		e.mu.Lock()
		if stop {
			break
		}
	}
	runRows, endRows := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := min(100, int(100*time.Since(r.began)/max(r.work, 1)))
		runRows = append(runRows, []any{r.task, r.run, "", percent, r.cpu})
	}
	sort.Slice(runRows, func(i, k int) bool { return runRows[i][0].(string) < runRows[k][0].(string) })
	for _, x := range e.ends[:min(len(e.ends), maxListedEnds)] {
		endRows = append(endRows, []any{x.number, x.task, x.run, x.how, ""})
	}
	e.reply(w, http.StatusOK, map[string]any{"running": runRows, "ended": endRows})
}

// jobOf returns the job's ID in a task's name.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// stepOf returns the step in a task's name.
func stepOf(task string) (step int) {
	_, _ = fmt.Sscan(strings.Split(task, ".")[2], &step)
	return step
}

// crash ends the executor's life; after a while it has a new one.
func (e *executor) crash(down time.Duration) {
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return
	}
	e.gone = true
	e.world.record.line("trouble  executor %s crashes", e.id)
	for task, r := range e.runs {
		e.world.noteEnd(e, r, "crashed")
		delete(e.runs, task)
	}
	e.ends = nil
	e.mu.Unlock()
	time.Sleep(down)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id, e.began, e.number, e.token, e.deadline = newExecutorID(), time.Now(), 0, 0, 0
	e.highest, e.gone = make(map[string]uint32), false
	e.world.record.line("trouble  executor %s is up", e.id)
}

func (e *executor) state() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return "draining"
	}
	return "ready"
}

// leave drains the executor and ends it; after a while it has a new life.
func (e *executor) leave(serves, down time.Duration) {
	e.mu.Lock()
	if e.gone || e.draining {
		e.mu.Unlock()
		return
	}
	e.draining = true
	e.world.record.line("trouble  executor %s drains", e.id)
	e.mu.Unlock()
	for range 250 {
		time.Sleep(20 * time.Millisecond)
		e.mu.Lock()
		acked := !e.drainAcked.IsZero()
		e.mu.Unlock()
		if acked {
			break
		}
	}
	time.Sleep(serves)
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	req, _ := http.NewRequest(http.MethodDelete, "http://"+e.control+"/instances/"+id, nil)
	if resp, err := (&http.Client{Timeout: time.Second}).Do(req); err == nil {
		_ = resp.Body.Close()
	}
	e.crash(down)
	e.mu.Lock()
	e.draining, e.drainAcked = false, time.Time{}
	e.mu.Unlock()
}
