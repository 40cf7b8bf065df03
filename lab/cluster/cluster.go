// Package cluster runs a whole deployment inside one process, over loopback TCP, for the demo, the
// load tool, the capacity sweeps and tests. Entries and agents are the real implementations; the
// platform and the backend servers are fakes (packages platformstandin and backendserver).
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"peridotpick.example/common/config"
	"peridotpick.example/common/logs"
	"peridotpick.example/common/settings"
	"peridotpick.example/common/table"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/core/rank"
	"peridotpick.example/lab/backendserver"
	"peridotpick.example/lab/platformstandin"
	"peridotpick.example/service/agent"
	"peridotpick.example/service/confwatch"
	"peridotpick.example/service/entry"
	"peridotpick.example/service/tableclient"
	"peridotpick.example/service/transport"
)

// Spec describes a deployment.
type Spec struct {
	Region string
	// DataCentres are assigned to the racks and to the entries in turn.
	DataCentres []string
	// Service is the service that all backend servers offer.
	Service string
	// Entries is the number of entries at the start.
	Entries int
	// Agents is the number of backend servers, each with its agent on a worker of its own.
	Agents int
	// Slots is the number of tasks that a backend server runs at once.
	Slots int
	// Connections is the number of connections of an agent to its backend server.
	Connections int
	// Queue is the number of tasks that may wait at an agent.
	Queue int
	// RackSize is the number of workers in a rack.
	RackSize int
	// Cores and MemoryMB are the resources of each worker.
	Cores    int
	MemoryMB int
	// Credentials turns development mode off at the entries, so that callers need tokens; processes
	// still connect without TLS on loopback.
	Credentials bool
	// SleepingWorkers is the number of workers asleep at the start, the last ones in the worker list.
	SleepingWorkers int
	// WakeTime is the time that a worker takes to wake.
	WakeTime time.Duration
	// WriteLatency is the mean time of a write to the table service.
	WriteLatency time.Duration
	// Document is the configuration that is in force at the start.
	Document config.Document
	// Policy selects how entries choose among agents; empty is the product's own policy.
	Policy rank.Policy
	// Seed seeds the entries and the faults of the table service.
	Seed uint64
	// Tune changes the dispatch settings of each entry before it starts; may be nil.
	Tune func(*dispatch.Settings)
	// Logs receives the logs of entries and agents; nil discards them.
	Logs *logs.Sink
}

// RunningWorker is a worker whose backend server and agent run.
type RunningWorker struct {
	// Worker is the worker's ID.
	Worker string
	Server *backendserver.Server
	Agent  *agent.Agent
	stop   context.CancelFunc
	done   chan struct{}
}

// EntryInstance is one entry, which may have ended.
type EntryInstance struct {
	Entry   *entry.Entry
	Metrics metrics.Registry
	stop    context.CancelFunc
	done    chan struct{}
}

// IsRunning reports whether the entry has not ended.
func (e *EntryInstance) IsRunning() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// Stop drains the entry and waits for its end.
func (e *EntryInstance) Stop() { e.stop(); <-e.done }

// Kill ends the entry without draining it, as a crash would.
func (e *EntryInstance) Kill() { e.Entry.Abort(); <-e.done }

// Cluster is a running deployment: its fake platform, its entries and its workers.
type Cluster struct {
	Spec    Spec
	Table   *platformstandin.Table
	Objects *platformstandin.Objects
	Workers *platformstandin.Workers
	// Journal records the starts of tasks at all backend servers.
	Journal *backendserver.Journal

	platform        *platformstandin.Server
	platformAddress string

	mu sync.Mutex
	// runningWorkers is keyed by worker ID.
	runningWorkers map[string]*RunningWorker
	// entries holds all entries ever started, in order.
	entries        []*EntryInstance
	entriesStarted int
}

// drainNotice is the time between the failing health check of an entry and its refusal of requests.
// The load tool's balancer checks the health four times a second, so it notices in time.
const drainNotice = 600 * time.Millisecond

// loopback is the address that all processes listen on, with a port that the system chooses.
const loopback = "127.0.0.1:0"

// Start stores the deployment's configuration and starts its entries and agents. It does not wait until
// they are connected; see WaitReady.
func Start(spec Spec) (*Cluster, error) {
	if spec.Logs == nil {
		spec.Logs = logs.Discard()
	}
	c := &Cluster{
		Spec: spec, Table: platformstandin.NewTable(spec.Seed, 0, 0), Objects: platformstandin.NewObjects(),
		Journal: backendserver.NewJournal(), runningWorkers: make(map[string]*RunningWorker),
	}
	c.Table.SetFaults(c.TableFaults())
	c.Workers = platformstandin.NewWorkers(spec.WakeTime, c.workerList())
	c.Workers.OnAwake = func(id string) { _ = c.StartWorker(id) }
	c.Workers.OnAsleep = func(id string) { c.StopWorker(id) }
	if err := c.servePlatform(); err != nil {
		return nil, err
	}
	if err := c.storeConfig(); err != nil {
		return nil, err
	}
	for range spec.Entries {
		if _, err := c.AddEntry(); err != nil {
			return nil, err
		}
	}
	for i, w := range c.workerList() {
		if i < spec.Agents-spec.SleepingWorkers {
			if err := c.StartWorker(w.ID); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// servePlatform starts the fake platform.
func (c *Cluster) servePlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	c.platformAddress = l.Addr().String()
	c.platform = platformstandin.NewServer(c.Table, c.Objects, c.Workers)
	go func() { _ = c.platform.Serve(l) }()
	return nil
}

// PlatformAddress returns the IP:port of the fake platform.
func (c *Cluster) PlatformAddress() string { return c.platformAddress }

// storeConfig checks the configuration and writes it to the table service as version 1.
func (c *Cluster) storeConfig() error {
	document, err := json.Marshal(c.Spec.Document)
	if err != nil {
		return eris.Wrap(err, "encode configuration")
	}
	if _, err := config.Parse(document); err != nil {
		return err
	}
	_, err = confwatch.NewStore(c.Table).Put(context.Background(), 0, "cluster", time.Now(), document)
	return err
}

// workerList returns the workers of the deployment, awake or asleep, as the platform lists them at
// the start.
func (c *Cluster) workerList() []table.Worker {
	s := c.Spec
	list := make([]table.Worker, s.Agents)
	for i := range list {
		rack := i / max(1, s.RackSize)
		power := table.PowerAwake
		if i >= s.Agents-s.SleepingWorkers {
			power = table.PowerAsleep
		}
		list[i] = table.Worker{
			ID: fmt.Sprintf("worker-%03d", i+1), DataCentre: s.DataCentres[rack%len(s.DataCentres)],
			Rack: fmt.Sprintf("rack-%d", rack+1), Cores: s.Cores, MemoryMB: s.MemoryMB, Power: power,
			Labels: map[string]string{"cores": fmt.Sprint(s.Cores)}, Services: []string{s.Service}, Slots: s.Slots,
		}
	}
	return list
}

// AddEntry starts one more entry, in the next data centre in turn.
func (c *Cluster) AddEntry() (*EntryInstance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entriesStarted++
	s := &settings.Entry{
		ID: fmt.Sprintf("entry-%d", c.entriesStarted), Region: c.Spec.Region,
		DataCentre: c.Spec.DataCentres[(c.entriesStarted-1)%len(c.Spec.DataCentres)],
		Listen:     loopback, PeerListen: loopback, PeerAddress: loopback, Dev: !c.Spec.Credentials,
		Platform: settings.Platform{Address: c.platformAddress, Timeout: settings.Duration(2 * time.Second)},
		Limits:   settings.DefaultEntryLimits(),
	}
	s.Limits.DrainNotice = settings.Duration(drainNotice)
	platform := tableclient.New(c.platformAddress, s.Platform.Timeout.Std())
	registry := metrics.NewRegistry()
	e, err := entry.New(s, entry.Deps{
		Logs: c.Spec.Logs, Table: platform, Objects: platform.Objects(), Workers: platform.Workers(),
		Transport: transport.New(nil), Metrics: registry, Policy: c.Spec.Policy,
		Seed: c.Spec.Seed + uint64(c.entriesStarted), Tune: c.Spec.Tune,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	instance := &EntryInstance{Entry: e, Metrics: registry, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(instance.done)
		_ = e.Run(ctx)
	}()
	c.entries = append(c.entries, instance)
	return instance, nil
}

// Entries returns all entries ever started, running or not.
func (c *Cluster) Entries() []*EntryInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*EntryInstance(nil), c.entries...)
}

// RunningWorker returns the running worker with an ID, or nil.
func (c *Cluster) RunningWorker(worker string) *RunningWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningWorkers[worker]
}

// RunningWorkers returns the running workers in the order of the worker list.
func (c *Cluster) RunningWorkers() []*RunningWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*RunningWorker, 0, len(c.runningWorkers))
	for _, w := range c.workerList() {
		if running := c.runningWorkers[w.ID]; running != nil {
			list = append(list, running)
		}
	}
	return list
}

// StartWorker starts the backend server and the agent of a worker. It does nothing if they run.
func (c *Cluster) StartWorker(worker string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningWorkers[worker] != nil {
		return nil
	}
	var listed table.Worker
	for _, w := range c.workerList() {
		if w.ID == worker {
			listed = w
		}
	}
	server, err := backendserver.New("backend-"+worker, loopback, c.Journal)
	if err != nil {
		return err
	}
	go func() { _ = server.Serve() }()
	a, err := agent.New(c.agentSettings(listed, server.Address()), agent.Deps{
		Logs: c.Spec.Logs, Table: tableclient.New(c.platformAddress, time.Second), Transport: transport.New(nil),
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &RunningWorker{Worker: worker, Server: server, Agent: a, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(running.done)
		_ = a.Run(ctx)
	}()
	c.runningWorkers[worker] = running
	return nil
}

// agentSettings returns the settings of the agent on a worker; backend is the backend server's address.
func (c *Cluster) agentSettings(w table.Worker, backend string) *settings.Agent {
	s := settings.DefaultAgent()
	s.ID = "agent-" + w.ID
	s.Worker, s.Region, s.DataCentre, s.Rack = w.ID, c.Spec.Region, w.DataCentre, w.Rack
	s.Service, s.Labels = c.Spec.Service, w.Labels
	s.Listen, s.Address, s.Backend = loopback, loopback, backend
	s.Slots, s.Connections, s.Queue = c.Spec.Slots, c.Spec.Connections, c.Spec.Queue
	s.Dev = true
	for _, e := range c.entries {
		s.Entries = append(s.Entries, e.Entry.Info().Address)
	}
	return &s
}

// StopWorker drains the agent of a worker and then ends its backend server. It does nothing if the
// worker does not run.
func (c *Cluster) StopWorker(worker string) {
	if running := c.removeWorker(worker); running != nil {
		running.stop()
		<-running.done
		running.Server.Kill()
	}
}

// KillWorker ends the agent and the backend server of a worker without draining, as a crash would.
func (c *Cluster) KillWorker(worker string) {
	if running := c.removeWorker(worker); running != nil {
		running.Server.Kill()
		running.Agent.Abort()
		<-running.done
	}
}

// removeWorker removes a worker from the running ones and returns it; nil if it does not run.
func (c *Cluster) removeWorker(worker string) *RunningWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := c.runningWorkers[worker]
	delete(c.runningWorkers, worker)
	return running
}

// WaitReady waits until every running entry has a configuration and its average share of the links that
// the agents make at their default fan-out. It fails if ctx ends first.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for {
		if c.isReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("cluster is not ready: an entry lacks its configuration or links to agents")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// isReady reports whether the condition of WaitReady is met.
func (c *Cluster) isReady() bool {
	want := len(c.RunningWorkers())
	for _, e := range c.Entries() {
		if !e.IsRunning() {
			continue
		}
		if e.Entry.LinkedAgents() < min(want, want*settings.DefaultAgent().Fanout/max(1, c.runningEntries())) || !e.Entry.IsConfigured() {
			return false
		}
	}
	return true
}

// runningEntries returns the number of entries that have not ended.
func (c *Cluster) runningEntries() int {
	n := 0
	for _, e := range c.Entries() {
		if e.IsRunning() {
			n++
		}
	}
	return n
}

// Stop drains all entries, then stops all workers, then the platform.
func (c *Cluster) Stop() {
	var stopping sync.WaitGroup
	for _, e := range c.Entries() {
		stopping.Add(1)
		go func() { defer stopping.Done(); e.Stop() }()
	}
	stopping.Wait()
	for _, w := range c.RunningWorkers() {
		stopping.Add(1)
		go func() { defer stopping.Done(); c.StopWorker(w.Worker) }()
	}
	stopping.Wait()
	_ = c.platform.Close()
}

// TableFaults returns the latencies of the deployment's table service without any fault.
func (c *Cluster) TableFaults() platformstandin.Faults {
	return platformstandin.Faults{WriteLatency: c.Spec.WriteLatency, ReadLatency: c.Spec.WriteLatency / 5, Jitter: 0.2}
}
