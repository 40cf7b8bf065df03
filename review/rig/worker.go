package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of a worker, as a small deployment has them.
const (
	maxHold      = time.Second
	stopTime     = 30 * time.Millisecond // at most stop_grace_ms
	heartbeat    = 1500 * time.Millisecond
	leaseCheck   = 10 * time.Millisecond
	maxListedEnd = 500
)

// workerRun is a task that runs at a worker.
type workerRun struct {
	task    string
	run     uint32
	began   time.Time
	length  time.Duration
	stopped time.Time // when the stop takes effect; zero if it is not stopped
}

type endRow struct {
	number int64
	task   string
	run    uint32
	how    string
}

// worker is a stand-in for an executor beside an agent.
type worker struct {
	id      string
	address string
	control string // the agent's address for announcements
	zone    string
	label   string
	journal *journal
	born    time.Time
	dark    atomic.Bool // answers nothing and runs nothing

	mu       sync.Mutex
	token    int64
	lease    int64 // ms on the worker's clock
	running  map[string]*workerRun
	latest   map[string]uint32 // highest run stopped or ended, by task
	ends     []endRow
	lastEnd  int64
	ended    chan struct{}
	sequence int64
	server   *http.Server
}

func newWorker(id, address, control, zone, label string, j *journal) *worker {
	return &worker{
		id: id, address: address, control: control, zone: zone, label: label, journal: j, born: time.Now().Add(-time.Minute),
		running: make(map[string]*workerRun), latest: make(map[string]uint32), ended: make(chan struct{}),
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// serve answers calls, ends runs and sends announcements until ctx ends.
func (w *worker) serve(ctx context.Context) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.advance(ctx)
	go w.announce(ctx)
	return nil
}

// goDark ends the worker without a word: what runs there ends, and no call is answered any more.
func (w *worker) goDark() {
	w.dark.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		w.journal.add("end", w.id, r.task, r.run, "lost")
	}
	w.running = make(map[string]*workerRun)
}

func (w *worker) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil && !w.dark.Load() {
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", w.label}, "clock_ms": w.clock(), "seq": w.sequence,
		})
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/instances/"+w.id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		pause := heartbeat
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		} else {
			pause = 200 * time.Millisecond
		}
		sleepFor(ctx, pause)
	}
}

// advance ends runs that are over, and all of them once the lease has expired.
func (w *worker) advance(ctx context.Context) {
	for ctx.Err() == nil {
		sleepFor(ctx, leaseCheck/5)
		w.mu.Lock()
		now := time.Now()
		for _, r := range w.running {
			switch {
			case !r.stopped.IsZero() && now.After(r.stopped):
				w.end(r, "stopped")
			case w.clock() > w.lease:
				w.end(r, "lapsed")
			case r.stopped.IsZero() && now.Sub(r.began) >= r.length:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) end(r *workerRun, how string) {
	delete(w.running, r.task)
	w.latest[r.task] = max(w.latest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, r.task, r.run, how})
	w.journal.add("end", w.id, r.task, r.run, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if w.dark.Load() {
		<-req.Context().Done()
		return
	}
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.reply(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	switch req.URL.Path {
	case "/run-start":
		w.start(rw, &o)
	case "/run-stop":
		w.stop(rw, &o)
	case "/hold":
		w.hold(rw, req, &o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = make(map[string]any)
	}
	body["clock_ms"] = w.clock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	w.reply(rw, http.StatusConflict, map[string]any{"reason": reason})
}

// isFenced checks the token of an order and keeps the highest one.
func (w *worker) isFenced(o *order) bool {
	if o.Token < w.token {
		return true
	}
	w.token = o.Token
	return false
}

// extendLease takes the deadline of a call.
func (w *worker) extendLease(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(rw http.ResponseWriter, o *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.running[o.Task]
	switch {
	case w.isFenced(o):
		w.refuse(rw, "fence")
		return
	case o.Deadline <= w.clock():
		w.refuse(rw, "late")
		return
	case known != nil && known.run == o.Run:
	case known != nil || o.Run <= w.latest[o.Task]:
		w.extendLease(o.Deadline)
		w.refuse(rw, "old")
		return
	default:
		w.running[o.Task] = &workerRun{task: o.Task, run: o.Run, began: time.Now(), length: lengthOf(o.Spec)}
		w.journal.add("start", w.id, o.Task, o.Run, "")
	}
	w.extendLease(o.Deadline)
	w.reply(rw, http.StatusOK, nil)
}

func (w *worker) stop(rw http.ResponseWriter, o *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isFenced(o) {
		w.refuse(rw, "fence")
		return
	}
	r := w.running[o.Task]
	switch {
	case r == nil || r.run < o.Run:
		w.latest[o.Task] = max(w.latest[o.Task], o.Run)
	case r.run == o.Run && r.stopped.IsZero():
		r.stopped = time.Now().Add(stopTime)
	}
	w.reply(rw, http.StatusOK, nil)
}

func (w *worker) hold(rw http.ResponseWriter, req *http.Request, o *order) {
	w.mu.Lock()
	if w.isFenced(o) {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return
	}
	if o.Deadline > 0 {
		w.extendLease(o.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	deadline := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(w.ends) == 0; {
		ended := w.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-deadline:
			waiting = false
		case <-req.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running, ended := w.lists()
	w.mu.Unlock()
	w.reply(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

func (w *worker) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := min(99, int(100*time.Since(r.began)/max(r.length, 1)))
		running = append(running, []any{r.task, r.run, "", percent, 100})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnd)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return running, ended
}

// runCount returns the number of runs at the worker.
func (w *worker) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// specOf returns a specification that says how long its tasks take.
func specOf(length time.Duration) string { return fmt.Sprintf("work_ms=%d", length.Milliseconds()) }

func lengthOf(spec string) time.Duration {
	var ms int64
	_, _ = fmt.Sscanf(spec, "work_ms=%d", &ms)
	return time.Duration(ms) * time.Millisecond
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
