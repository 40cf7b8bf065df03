package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of the machines; each machine has a loopback address of its own.
const (
	callerPort    = 8161
	readyPort     = 8167
	controlPort   = 8166
	executorPort  = 8165
	internalPort  = 7720
	metricsPort   = 9100
	firstStorPort = 8300
)

const (
	serviceName = "huvo11a"
	hostName    = "nony24.example"
	prefix      = "/lohu930/"
)

// machine is a machine of the system with its one process.
type machine struct {
	name, ip, program string
	role              string
	settings, logFile string
	command           *exec.Cmd
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec       *record
	dir, net  string
	store     *store
	runs      *runLog
	entries   []*machine
	agents    []*machine
	executors []*executor
	// version is that of the newest configuration.
	version int
}

// newDeployment prepares a deployment with all settings files; nothing is started yet.
func newDeployment(rec *record, entries, agents int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: newStore(rec), runs: new(runLog)}
	current = d
	if d.net, err = freeNet(); err != nil {
		return nil, err
	}
	zones := []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	var seeds []string
	for i := range entries {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", d.net, 10+i, controlPort))
	}
	for i := range entries {
		zone := zones[i%len(zones)]
		m := &machine{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), ip: fmt.Sprintf("%s.%d", d.net, 10+i), program: "peridotpick", role: "dispatch"}
		d.entries = append(d.entries, m)
		if err := d.prepare(m, zone, seeds[:min(3, len(seeds))], i); err != nil {
			return nil, err
		}
	}
	for i := range agents {
		zone := zones[i%len(zones)]
		m := &machine{name: fmt.Sprintf("side-%s-%d", zone, i+1), ip: fmt.Sprintf("%s.%d", d.net, 100+i), program: "peridotpick-agent", role: "supervise"}
		d.agents = append(d.agents, m)
		if err := d.prepare(m, zone, seeds[:min(3, len(seeds))], 50+i); err != nil {
			return nil, err
		}
		e := newExecutor(fmt.Sprintf("i-%08x", rand.Uint32()), serviceName, zone, fmt.Sprintf("r1-%d", i/3+1),
			fmt.Sprintf("%s:%d", m.ip, executorPort), fmt.Sprintf("%s:%d", m.ip, controlPort), rec, d.runs)
		d.executors = append(d.executors, e)
	}
	return d, nil
}

// freeNet returns the first three numbers of a loopback network whose ports nobody uses.
func freeNet() (string, error) {
	for range 50 {
		candidate := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if isFree(candidate) {
			return candidate, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(network string) bool {
	for _, port := range []int{callerPort, readyPort, controlPort, executorPort, internalPort, metricsPort, firstStorPort} {
		for _, host := range []int{10, 100, 200} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// prepare writes the settings file of a machine and serves the store to it.
func (d *deployment) prepare(m *machine, zone string, seeds []string, index int) error {
	storeAddress := fmt.Sprintf("%s.200:%d", d.net, firstStorPort+index)
	if err := d.store.serve(m.name, storeAddress); err != nil {
		return err
	}
	at := func(port int) string { return m.ip + ":" + strconv.Itoa(port) }
	settings := map[string]any{
		"node_name": m.name, "role": "my-" + m.role, "ip": m.ip, "zone": zone, "region": "nordkyst",
		"zones":          map[string]string{"hall-a": "nordkyst", "hall-b": "nordkyst", "hall-c": "nordkyst", "hall-d": "nordkyst"},
		"internal_ports": []int{internalPort, internalPort + 15}, "seeds": seeds, "bootstrap": true, "fault_counted": false,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "local", "entry": "vip", "heartbeat_ms": 1500, "orders": "invocation",
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12, "max_hold_ms": 1000, "stop_grace_ms": 50,
			"gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_factor": 1.5,
			"checkpoint_s": 0.5, "restore_ms": 100, "notice_ms": 4500, "migrate_s": 1.5, "maintenance_s": 2, "require_fencing": false, "lease_ms": 3000,
			"thaw_slack_ms": 300, "pace_ms": 100, "impact_ms": 4000, "resend_ms": 1300,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200, "row_bytes": rowBytes,
			"cross_shard": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}
	if m.role == "dispatch" {
		settings["machine_class"], settings["serves"] = "frontend", []string{"frontend", "control"}
		settings["listen"] = map[string]string{"frontend": at(callerPort), "ready": at(readyPort), "control": at(controlPort)}
	} else {
		settings["machine_class"], settings["serves"] = "side", []string{"side"}
		settings["listen"] = map[string]string{"control": at(controlPort)}
		settings["app"], settings["service"] = at(executorPort), serviceName
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	m.settings, m.logFile = filepath.Join(d.dir, m.name+".json"), filepath.Join(d.dir, m.name+".log")
	return os.WriteFile(m.settings, raw, 0o600)
}

// startMachine starts the process of a machine with the command of the deploy file.
func (d *deployment) startMachine(m *machine) error {
	out, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	m.command = exec.Command(filepath.Join("target", m.program), m.role)
	m.command.Env = []string{"PERIDOTPICK_BOOT=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.command.Stdout, m.command.Stderr = out, out
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	d.rec.add("process: %s starts", m.name)
	return nil
}

// killMachine kills the process of a machine and waits until it is gone.
func (d *deployment) killMachine(m *machine) {
	if m.command == nil || m.command.Process == nil {
		return
	}
	_ = m.command.Process.Kill()
	_ = m.command.Wait()
	m.command = nil
	d.rec.add("process: %s is killed", m.name)
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(s)
		d.rec.add("process: %s gets signal %v", m.name, s)
	}
}

// start starts everything and waits until all entries are ready.
func (d *deployment) start() error {
	for _, e := range d.executors {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, m := range append(append([]*machine{}, d.entries...), d.agents...) {
		if err := d.startMachine(m); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.entries {
			if d.isReady(m) {
				ready++
			}
		}
		if ready == len(d.entries) {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d entries are ready", ready, len(d.entries))
		}
	}
	time.Sleep(3 * time.Second) // all agents have found all entries
	return nil
}

func (d *deployment) isReady(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// stop ends all processes. The logs are kept in the folder KEEP if that variable is set.
func (d *deployment) stop() {
	for _, m := range append(append([]*machine{}, d.entries...), d.agents...) {
		d.killMachine(m)
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(filepath.Join(keep, filepath.Base(d.dir)), os.DirFS(d.dir))
	}
	_ = os.RemoveAll(d.dir)
}

// configure puts the next version of the configuration into force; names are those of its queues.
func (d *deployment) configure(prefixes ...string) error {
	d.version += 3
	routes := []map[string]any{}
	for _, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": "r-" + strings.Trim(p, "/"), "host": hostName, "path_prefix": p, "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 60,
			"priority": 1, "service": serviceName, "max_attempts": 4, "stretch": 1.6,
		})
	}
	return d.store.put("op", "config", map[string]any{
		"version": d.version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// step is a step of a job, as clients send it.
type step struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	Memory   int   `json:"mem_mb"`
	Estimate int   `json:"estimate_ms"`
	After    []int `json:"after,omitempty"`
}

// job is a job, as clients send it. It must be kept unless BestEffort is set.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort,omitempty"`
}

// chain returns a job whose steps run one after the other, each with a number of tasks.
func chain(length, width int, each time.Duration) job {
	j := job{Spec: fmt.Sprintf("ms=%d", each.Milliseconds())}
	for i := range length {
		s := step{Count: width, CPU: 500, Memory: 64, Estimate: int(each.Milliseconds())}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// tasks returns the number of tasks of a job.
func (j job) tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

func newName() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request of a client on a connection of its own. The status is 0 if no answer came.
func (d *deployment) call(m *machine, method, path string, body any, timeout time.Duration) (int, string) {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, callerPort, path), bytes.NewReader(raw))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	began := time.Now()
	answer, err := client.Do(request)
	if err != nil {
		d.rec.add("client: %s %s at %s: no answer after %d ms", method, path, m.name, time.Since(began).Milliseconds())
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	d.rec.add("client: %s %s at %s: %d %s after %d ms", method, path, m.name, answer.StatusCode, strings.TrimSpace(string(text)), time.Since(began).Milliseconds())
	return answer.StatusCode, string(text)
}

// state returns the state of a job as an entry gives it; empty if it gives none.
func (d *deployment) state(m *machine, name string) string {
	status, text := d.call(m, http.MethodGet, prefix+name, nil, 1500*time.Millisecond)
	if status == http.StatusGone {
		return "gone"
	}
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return ""
	}
	return body.State
}

// errNotServed says that too little was served before the disruption.
var errNotServed = errors.New("too few jobs were accepted")
