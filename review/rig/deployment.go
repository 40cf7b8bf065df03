package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Names and sizes of the deployment.
const (
	serviceName = "svc"
	queueName   = "queue-a"
	queueHost   = "queue.example"
	queuePrefix = "/jobs/"
	workerCPU   = 16000
	entryCount  = 4
	agentCount  = 11
	metricsPort = 9100
)

var zones = []string{"hall-a", "hall-b", "hall-c", "hall-d"}

// zoneOf returns the zone of a machine: entries are dealt to the zones in turn, three machines with a
// worker make a zone and a rack.
func zoneOf(class string, index int) string {
	if class == "side" {
		return zones[index/3%len(zones)]
	}
	return zones[index%len(zones)]
}

// process is a process of the product.
type process struct {
	name     string
	ip       string
	args     []string
	settings string
	logPath  string
	endpoint *endpoint
	cmd      *exec.Cmd
	done     chan struct{}
}

// deployment is a small deployment: the product's processes, and stand-ins for the rest.
type deployment struct {
	dir     string
	journal *journal
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
	ports   ports
	network string // first two octets of all addresses
	ctx     context.Context
	stop    context.CancelFunc
}

// ports are the ports that are the same at all addresses.
type ports struct{ frontend, ready, control, internal, app, store int }

// newDeployment starts the stand-ins and writes the settings. Processes are started by startAll.
func newDeployment(j *journal) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, journal: j, store: newStore()}
	d.ctx, d.stop = context.WithCancel(context.Background())
	if err := d.chooseAddresses(); err != nil {
		return nil, err
	}
	d.putConfig(1, queueName, queuePrefix)
	for i := range entryCount {
		p, err := d.newProcess("frontend", i, "target/peridotpick", "dispatch")
		if err != nil {
			return nil, err
		}
		d.entries = append(d.entries, p)
	}
	for i := range agentCount {
		p, err := d.newProcess("side", i, "target/peridotpick-agent", "supervise")
		if err != nil {
			return nil, err
		}
		d.agents = append(d.agents, p)
		w := newWorker(fmt.Sprintf("i-%02d", i+1), d.at(p.ip, d.ports.app), d.at(p.ip, d.ports.control), zoneOf("side", i), fmt.Sprintf("r1-%d", i/3+1), j)
		if err := w.serve(d.ctx); err != nil {
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	return d, nil
}

func (d *deployment) at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// firstNetworks are tried first, with firstPort, so that a play finds the same addresses each time if
// they are free: which entries an agent works with depends on their addresses.
var firstNetworks = []int{94, 126, 201, 210, 214}

const firstPort = 21000

// chooseAddresses finds a loopback network whose ports are free.
func (d *deployment) chooseAddresses() error {
	for i := range 50 {
		network, base := 20+rand.IntN(200), 21000+rand.IntN(9000)
		if i < len(firstNetworks) && os.Getenv("ANY_ADDRESS") == "" {
			network, base = firstNetworks[i], firstPort
		}
		d.network = fmt.Sprintf("127.%d", network)
		d.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
		if d.areFree() {
			d.journal.note("addresses %s.*.*, ports from %d", d.network, base)
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (d *deployment) areFree() bool {
	for _, port := range []int{d.ports.frontend, d.ports.ready, d.ports.control, d.ports.internal, d.ports.app, d.ports.store, metricsPort} {
		l, err := net.Listen("tcp", d.at(d.network+".1.1", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// putConfig writes a configuration with one queue.
func (d *deployment) putConfig(version int, name, prefix string) {
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": name, "host": queueHost, "path_prefix": prefix, "service": serviceName, "priority": 0, "max_attempts": 3,
			"stretch": 1.6, "target_latency_ms": 60,
		}},
		"services": []map[string]any{{"name": serviceName, "admission_check": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
	d.store.put("op", "config", raw)
}

// newProcess writes the settings of a process and serves its view of the store.
func (d *deployment) newProcess(class string, index int, args ...string) (*process, error) {
	octet := 1
	if class == "side" {
		octet = 2
	}
	p := &process{
		name: fmt.Sprintf("%s-%d", class, index+1), ip: fmt.Sprintf("%s.%d.%d", d.network, octet, index+1), args: args, endpoint: newEndpoint(d.store),
	}
	storeAddress := d.at(p.ip, d.ports.store)
	l, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: p.endpoint}
	go func() { _ = server.Serve(l) }()
	p.settings = filepath.Join(d.dir, p.name+".json")
	p.logPath = filepath.Join(d.dir, p.name+".log")
	raw, _ := json.MarshalIndent(d.settingsOf(p, class, index, storeAddress), "", "  ")
	return p, os.WriteFile(p.settings, raw, 0o600)
}

func (d *deployment) settingsOf(p *process, class string, index int, storeAddress string) map[string]any {
	zoneMap := make(map[string]string)
	for _, z := range zones {
		zoneMap[z] = "nordkyst"
	}
	s := map[string]any{
		"node_name": p.name, "machine_class": class, "ip": p.ip, "zone": zoneOf(class, index), "region": "nordkyst", "zones": zoneMap,
		"internal_ports": []int{d.ports.internal, d.ports.internal},
		"seeds":          []string{d.at(d.network+".1.1", d.ports.control), d.at(d.network+".1.2", d.ports.control), d.at(d.network+".1.3", d.ports.control)},
		"bootstrap":      true, "discovery": "local", "entry": "vip", "heartbeat_ms": 1500, "orders": "invocation", "data_dir": nil,
		"limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "recovery_s": 12, "max_hold_ms": 1000,
			"stop_grace_ms": 50, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "remote_factor": 1.5, "lease_ms": 3000,
			"resend_ms": 1300,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
			"row_bytes": maxRowBytes, "cross_shard": false, "history_s": 20,
		},
	}
	if class == "frontend" {
		s["listen"] = map[string]any{"frontend": d.at(p.ip, d.ports.frontend), "ready": d.at(p.ip, d.ports.ready), "control": d.at(p.ip, d.ports.control)}
		return s
	}
	s["listen"] = map[string]any{"control": d.at(p.ip, d.ports.control)}
	s["app"] = d.at(p.ip, d.ports.app)
	return s
}

// start starts a process.
func (d *deployment) start(p *process) error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = append(os.Environ(), "PERIDOTPICK_BOOT="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	d.journal.note("process %s started", p.name)
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// kill ends a process at once and waits for its end.
func (d *deployment) kill(p *process) {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	d.journal.note("process %s killed", p.name)
}

// signal sends a signal to a process.
func (d *deployment) signal(p *process, s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
	d.journal.note("process %s gets %s", p.name, s)
}

// startAll starts all processes and waits until the entries are ready.
func (d *deployment) startAll() error {
	for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
		if err := d.start(p); err != nil {
			return err
		}
	}
	for _, p := range d.entries {
		if err := d.awaitReady(p, 15*time.Second); err != nil {
			return err
		}
	}
	d.journal.say("all %d entries are ready", len(d.entries))
	return nil
}

// awaitReady waits until an entry answers its readiness check with 200.
func (d *deployment) awaitReady(p *process, limit time.Duration) error {
	c := &http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + d.at(p.ip, d.ports.ready) + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", p.name, limit)
}

// clientOf returns a client at an entry.
func (d *deployment) clientOf(p *process) *client { return newClient(d.at(p.ip, d.ports.frontend)) }

// close ends all processes and stand-ins, and removes the temporary folder unless KEEP is set.
func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
		if p.cmd != nil {
			d.kill(p)
		}
	}
	d.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
