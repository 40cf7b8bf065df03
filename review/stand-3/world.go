package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func listenAndServe(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

// Ports, equal on all machines of a case; each machine has a loopback address of its own.
const (
	portFront, portReady, portControl, portApp, portStore, portInternal = 18161, 18167, 18166, 18165, 18169, 17720
)

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// process is one of the project's own programs.
type process struct {
	name string
	args []string
	boot string
	log  *os.File
	cmd  *exec.Cmd
	done chan struct{}
}

// entry is a frontend machine with its link to the store.
type entry struct {
	name, ip string
	store    *link
	front    *front
	process  *process
}

// world is a small deployment on loopback addresses.
type world struct {
	dir, net  string
	record    *record
	store     *store
	entries   []*entry
	executors []*executor
	sides     []*process
	works     map[string]map[int]taskWork
	mu        sync.Mutex
	starts    []start
	ends      []finish
	processes []*process
	// taken are the ends that were taken note of, with the time of the end.
	taken []taken
	// appliesLate tells whether a call to an executor stays unanswered and is carried out late; nil if none is.
	appliesLate func(*executor) bool
	// advised are the jobs of queues with advice, and tickets those that the advice service has given.
	advised, tickets map[string]bool
	// onStart is called for each start, with the executor's lock held; it may be nil.
	onStart func(*executor, *running)
}

// taken is an end that was taken note of.
type taken struct {
	task  string
	run   uint32
	how   string
	ended time.Time
	noted time.Time
}

// noteTaken notes that an end was taken note of, unless the lease had lapsed between the two.
func (w *world) noteTaken(x ended) {
	if x.lapsed {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taken = append(w.taken, taken{x.task, x.run, x.how, x.at, time.Now()})
}

// needsTicket reports whether a start of a task needs a ticket.
func (w *world) needsTicket(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.advised[jobOf(task)]
}

// lateness returns how late a call is carried out that stays unanswered.
func (w *world) lateness() time.Duration {
	return 2*time.Second + time.Duration(rand.IntN(10_000))*time.Millisecond
}

func newExecutorID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

type taskWork struct {
	work time.Duration
	cpu  int
}

// finish is an end of a run.
type finish struct {
	task string
	run  uint32
	how  string
	at   time.Time
}

func (w *world) noteStart(e *executor, r *running) {
	if w.onStart != nil {
		w.onStart(e, r)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, start{e.id, r.task, r.run, time.Now()})
}

func (w *world) noteEnd(_ *executor, r *running, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, finish{r.task, r.run, how, time.Now()})
}

// startsOf returns the starts of a job's tasks so far.
func (w *world) startsOf(job string) (list []start) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		if jobOf(s.task) == job {
			list = append(list, s)
		}
	}
	return list
}

// workOf returns how long a task works, as the case has set it for its job and step.
func (w *world) workOf(task string) (time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x, ok := w.works[jobOf(task)][stepOf(task)]
	if !ok {
		return 200 * time.Millisecond, 0
	}
	return x.work, x.cpu
}

var zones = []string{"hall-a", "hall-b", "hall-c", "hall-d"}

// newWorld starts a deployment with the given numbers of entries and of agents with executors.
func newWorld(rec *record, entries, sides, cpu int) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: rec, store: newStore(rec), works: make(map[string]map[int]taskWork), advised: make(map[string]bool), tickets: make(map[string]bool)}
	current = w
	w.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	storeAt := at(w.net+".250", portStore)
	if err := listenAndServe(storeAt, w.store); err != nil {
		return nil, err
	}
	if err := listenAndServe(at(w.net+".251", portStore), http.HandlerFunc(w.advise)); err != nil {
		return nil, err
	}
	w.store.put("op", "config", configuration(1, "r-main"))
	var seeds []string
	for i := range min(entries, 3) {
		seeds = append(seeds, at(w.ip(1+i), portControl))
	}
	for i := range entries {
		ip := w.ip(1 + i)
		name := fmt.Sprintf("frontend-%d", i)
		path := at(w.ip(101+i), portStore)
		f := &front{store: w.store, record: rec, name: name}
		if err := listenAndServe(at(w.ip(201+i), portStore), f); err != nil {
			return nil, err
		}
		l, err := newLink(path, at(w.ip(201+i), portStore))
		if err != nil {
			return nil, err
		}
		boot := bootFile(name, "frontend", ip, zones[i%len(zones)], path, seeds)
		boot["listen"] = map[string]string{"frontend": at(ip, portFront), "ready": at(ip, portReady), "control": at(ip, portControl)}
		boot["advice"] = at(w.net+".251", portStore)
		boot["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
		p, err := w.newProcess(name, boot, "target/peridotpick", "dispatch")
		if err != nil {
			return nil, err
		}
		w.entries = append(w.entries, &entry{name: name, ip: ip, store: l, front: f, process: p})
	}
	for i := range sides {
		ip := w.ip(31 + i)
		name := fmt.Sprintf("side-%d", i)
		boot := bootFile(name, "side", ip, zones[i%len(zones)], storeAt, seeds)
		boot["listen"] = map[string]string{"control": at(ip, portControl)}
		boot["advice"] = at(w.net+".251", portStore)
		boot["limits"] = map[string]any{"cpu_share": 0.24, "cores": 1, "memory_mb": 152, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 0}
		boot["app"], boot["service"] = at(ip, portApp), "tally"
		p, err := w.newProcess(name, boot, "target/peridotpick-agent", "supervise")
		if err != nil {
			return nil, err
		}
		w.sides = append(w.sides, p)
		x := &executor{
			id: newExecutorID(), service: "tally", zone: zones[i%len(zones)], rack: fmt.Sprintf("r1-%d", i/3),
			address: at(ip, portApp), control: at(ip, portControl), cpu: cpu, world: w,
		}
		if err := x.serve(); err != nil {
			return nil, err
		}
		w.executors = append(w.executors, x)
	}
	return w, w.awaitReady()
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.net, n) }

// configuration returns what the operator writes, with a queue for each name.
func configuration(version int, names ...string) map[string]any {
	routes := []map[string]any{}
	for _, name := range names {
		routes = append(routes, map[string]any{
			"name": name, "host": "nony24.example", "path_prefix": "/" + name + "/", "kind": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": 1, "service": "tally", "max_attempts": 4, "stretch": 1.6,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "tally", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// bootFile returns the settings of a process with the bounds of hwla-pick.
func bootFile(name, class, ip, zone, storeAddress string, seeds []string) map[string]any {
	return map[string]any{
		"node_name": name, "role": class, "machine_class": class, "ip": ip, "zone": zone, "region": "nordkyst",
		"zones":          map[string]string{"hall-a": "nordkyst", "hall-b": "nordkyst", "hall-c": "nordkyst", "hall-d": "nordkyst"},
		"internal_ports": []int{portInternal, portInternal + 15}, "seeds": seeds, "bootstrap": true, "fault_counted": false, "data_dir": nil,
		"discovery": "local", "entry": "vip", "heartbeat_ms": 1500, "orders": "invocation",
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12, "max_hold_ms": maxHold, "stop_grace_ms": 50,
			"gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_factor": 1.5,
			"checkpoint_s": 0.5, "restore_ms": 100, "notice_ms": 4500, "migrate_s": 1.5, "maintenance_s": 2, "require_fencing": false, "lease_ms": 3000,
			"thaw_slack_ms": 300, "pace_ms": 100, "impact_ms": 4000, "resend_ms": 1300,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200, "row_bytes": 65536,
			"cross_shard": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}
}

func (w *world) newProcess(name string, boot map[string]any, args ...string) (*process, error) {
	raw, _ := json.MarshalIndent(boot, "", " ")
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, args: args, boot: path, log: log}
	w.processes = append(w.processes, p)
	return p, p.start()
}

func (p *process) start() error {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTPICK_BOOT=" + p.boot}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// end ends all processes and removes the temporary folder, unless KEEP is set.
func (w *world) end() {
	for _, p := range w.processes {
		p.kill()
		_ = p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// awaitReady waits until all entries are ready, and a little longer: each has links to all agents then.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for range 150 {
		ready := 0
		for _, e := range w.entries {
			if resp, err := client.Get("http://" + at(e.ip, portReady) + "/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.entries) {
			time.Sleep(4 * time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entries are not ready")
}

// step is a step of a job as a client sends it.
type step struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	Memory   int   `json:"mem_mb"`
	Estimate int   `json:"estimate_ms"`
	After    []int `json:"after,omitempty"`
	Apart    int   `json:"anti_affinity,omitempty"`
	// work is how long a task takes on a sound executor.
	work time.Duration
}

// chain returns steps of four tasks each, one after the other; each task works for the given time in ms.
func chain(steps, millis int) (list []step) {
	for i := range steps {
		s := step{Count: 4, CPU: 1600, Memory: 64, Estimate: millis, work: time.Duration(millis) * time.Millisecond}
		if i > 0 {
			s.After = []int{i - 1}
		}
		list = append(list, s)
	}
	return list
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call makes a client's request to an entry and returns the status and the body; status 0 means that there
// was no answer.
func (w *world) call(e *entry, method, path string, body any) (int, string) {
	var raw io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		raw = bytes.NewReader(b)
	}
	req, _ := http.NewRequest(method, "http://"+at(e.ip, portFront)+path, raw)
	req.Host = "nony24.example"
	req.Header.Set("Deadline-Ms", "1500")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	w.record.line("client   sends %s %s to %s", method, path, e.name)
	resp, err := client.Do(req)
	if err != nil {
		w.record.line("client   gets no answer to %s %s from %s", method, path, e.name)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	w.record.line("client   gets %d %s to %s %s from %s", resp.StatusCode, bytes.TrimSpace(answer), method, path, e.name)
	return resp.StatusCode, string(answer)
}

// submit hands in a job that must be kept.
func (w *world) submit(e *entry, queue, id string, steps []step) int {
	w.mu.Lock()
	w.works[id] = make(map[int]taskWork)
	for i, s := range steps {
		w.works[id][i] = taskWork{s.work, s.CPU}
	}
	w.mu.Unlock()
	status, _ := w.call(e, http.MethodPost, "/"+queue+"/"+id, map[string]any{"spec": "review", "steps": steps})
	return status
}

// state asks for a job's state.
func (w *world) state(e *entry, queue, id string) (int, string) {
	status, body := w.call(e, http.MethodGet, "/"+queue+"/"+id, nil)
	var s struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &s)
	return status, s.State
}
