package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and sizes of an executor, as in the settings of a small deployment.
const (
	maxHold           = time.Second
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatRetry    = 300 * time.Millisecond
	maxListedEnds     = 500
	executorCPU       = 16000
	executorMemory    = 65536
)

// run is one run of a task on an executor.
type run struct {
	Task     string
	Run      int
	Executor string
	Began    time.Time
	Ended    time.Time
	// How is done, stopped or lapsed; empty while it runs.
	How string
	// Noted is when the end was taken note of; zero before.
	Noted time.Time
	timer *time.Timer
	seq   int
}

// runID identifies a run on an executor.
type runID struct {
	task string
	run  int
}

func (r *run) id() runID { return runID{r.Task, r.Run} }

// runLog has all runs of all executors.
type runLog struct {
	mu   sync.Mutex
	runs []*run
}

// ofJob returns copies of the runs of a job.
func (l *runLog) ofJob(name string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []run
	for _, r := range l.runs {
		if len(r.Task) > len(name) && r.Task[:len(name)] == name {
			list = append(list, *r)
		}
	}
	return list
}

// executor is a stand-in of a backend server and of the executor that runs its tasks.
type executor struct {
	id, service, zone, rack string
	address, control        string
	rec                     *record
	log                     *runLog
	started                 time.Time
	mu                      sync.Mutex
	running                 map[runID]*run
	highest                 map[string]int
	ended                   []*run
	lastEnd                 int
	token                   int64
	leaseEnd                time.Time
	leaseTimer              *time.Timer
	endListed               chan struct{}
	client                  http.Client
}

func newExecutor(id, service, zone, rack, address, control string, rec *record, log *runLog) *executor {
	return &executor{
		id: id, service: service, zone: zone, rack: rack, address: address, control: control, rec: rec, log: log, started: time.Now().Add(-time.Minute),
		running: make(map[runID]*run), highest: make(map[string]int), endListed: make(chan struct{}), client: http.Client{Timeout: time.Second},
	}
}

// start serves calls and sends heartbeats until the process ends.
func (e *executor) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serveStart)
	mux.HandleFunc("POST /run-stop", e.serveStop)
	mux.HandleFunc("POST /hold", e.serveHold)
	go func() { _ = http.Serve(listener, mux) }()
	go e.sendHeartbeats()
	return nil
}

func (e *executor) clock() int64 { return time.Since(e.started).Milliseconds() }

func (e *executor) sendHeartbeats() {
	for seq := 1; ; seq++ {
		body := map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": executorCPU, "mem_mb": executorMemory, "gpu": 0}, "labels": []string{"a", e.rack},
			"clock_ms": e.clock(), "seq": seq,
		}
		raw, _ := json.Marshal(body)
		request, _ := http.NewRequest(http.MethodPut, "http://"+e.control+"/instances/"+e.id, bytes.NewReader(raw))
		request.Header.Set("Content-Type", "application/json")
		answer, err := e.client.Do(request)
		if err != nil {
			time.Sleep(heartbeatRetry)
			continue
		}
		_ = answer.Body.Close()
		time.Sleep(heartbeatInterval)
	}
}

// order is the body of a call to an executor; each call uses some of the fields.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run_id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// read decodes a call. It answers and returns false if the call is not for this incarnation or its
// token is too low. The executor is locked afterwards if it returns true.
func (e *executor) read(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	e.mu.Lock()
	if o.Token < e.token {
		e.reject(w, "fence")
		e.mu.Unlock()
		return o, false
	}
	e.token = o.Token
	return o, true
}

func (e *executor) reject(w http.ResponseWriter, reason string) {
	e.write(w, http.StatusConflict, map[string]any{"reason": reason})
}

func (e *executor) write(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = e.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// extendLease takes a deadline on the executor's clock. It never shortens the lease.
func (e *executor) extendLease(deadline int64) {
	end := e.started.Add(time.Duration(deadline) * time.Millisecond)
	if longest := time.Now().Add(maxHold); end.After(longest) {
		end = longest
	}
	if !end.After(e.leaseEnd) {
		return
	}
	e.leaseEnd = end
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
	e.leaseTimer = time.AfterFunc(time.Until(end), e.expireLease)
}

func (e *executor) expireLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.leaseEnd) {
		return
	}
	for _, r := range e.running {
		e.end(r, "lapsed")
	}
}

// specTimes finds the run times in a spec: one for all tasks, or one for each step.
var specTimes = regexp.MustCompile(`ms=([\d,]+)`)

// runTime returns how long a task runs, by its spec and its name ID.K.STEP.INDEX.
func runTime(spec, task string) time.Duration {
	const shortest = 50 * time.Millisecond
	found := specTimes.FindStringSubmatch(spec)
	name := strings.Split(task, ".")
	if found == nil || len(name) != 4 {
		return shortest
	}
	times := strings.Split(found[1], ",")
	step, _ := strconv.Atoi(name[2])
	ms, _ := strconv.Atoi(times[min(step, len(times)-1)])
	return max(time.Duration(ms)*time.Millisecond, shortest)
}

func (e *executor) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := e.read(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	if e.running[runID{o.Task, o.Run}] != nil {
		e.extendLease(o.Deadline)
		e.write(w, http.StatusOK, map[string]any{})
		return
	}
	if o.Run <= e.highest[o.Task] {
		e.extendLease(o.Deadline)
		e.reject(w, "old")
		return
	}
	if o.Deadline <= e.clock() {
		e.reject(w, "late")
		return
	}
	e.extendLease(o.Deadline)
	began := &run{Task: o.Task, Run: o.Run, Executor: e.id, Began: time.Now()}
	e.running[began.id()] = began
	e.log.mu.Lock()
	e.log.runs = append(e.log.runs, began)
	e.log.mu.Unlock()
	began.timer = time.AfterFunc(runTime(o.Spec, o.Task), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.end(began, "done")
	})
	e.rec.add("run: %s starts %s run %d", e.id, o.Task, o.Run)
	e.write(w, http.StatusOK, map[string]any{})
}

// end ends a run; the executor is locked.
func (e *executor) end(r *run, how string) {
	if e.running[r.id()] != r {
		return
	}
	delete(e.running, r.id())
	r.timer.Stop()
	e.highest[r.Task] = max(e.highest[r.Task], r.Run)
	e.lastEnd++
	e.log.mu.Lock()
	r.seq, r.How, r.Ended = e.lastEnd, how, time.Now()
	e.log.mu.Unlock()
	e.ended = append(e.ended, r)
	close(e.endListed)
	e.endListed = make(chan struct{})
	e.rec.add("run: %s ends %s run %d %s", e.id, r.Task, r.Run, how)
}

func (e *executor) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := e.read(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if present := e.running[runID{o.Task, o.Run}]; present != nil {
		e.end(present, "stopped")
	}
	e.write(w, http.StatusOK, map[string]any{})
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.read(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	e.extendLease(o.Deadline)
	e.forget(o.LastSeen)
	if len(e.ended) == 0 && o.Wait > 0 {
		listed := e.endListed
		e.mu.Unlock()
		select {
		case <-listed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for _, r := range e.running {
		running = append(running, []any{r.Task, r.Run, "", 50, 0})
	}
	ended := [][]any{}
	for _, r := range e.ended {
		if len(ended) == maxListedEnds {
			break
		}
		ended = append(ended, []any{r.seq, r.Task, r.Run, r.How, ""})
	}
	e.write(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// forget drops the ends that were taken note of.
func (e *executor) forget(lastSeen int) {
	for len(e.ended) > 0 && e.ended[0].seq <= lastSeen {
		e.log.mu.Lock()
		e.ended[0].Noted = time.Now()
		e.log.mu.Unlock()
		e.rec.add("run: %s end of %s run %d is taken note of", e.id, e.ended[0].Task, e.ended[0].Run)
		e.ended = e.ended[1:]
	}
}

// endCount returns the number of ends that are listed still.
func (e *executor) endCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ended)
}

// String names an executor.
func (e *executor) String() string { return fmt.Sprintf("%s at %s", e.id, e.address) }
