// Package cluster runs entries, agents, backend servers and the platform's
// stand-in inside one process, over loopback TCP, for the demo, the load tool
// and tests. Every part is the real one but for the stand-ins.
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

// Shape describes a deployment.
type Shape struct {
	Region      string
	DataCentres []string
	Service     string
	Entries     int
	// Agents is the number of backend servers, each on a worker of its own.
	Agents      int
	Slots       int
	Connections int
	Queue       int
	RackSize    int
	Cores       int
	MemoryMB    int
	// Credentials turns development mode off at the entries, so that callers need
	// tokens; processes still talk without TLS on loopback.
	Credentials bool
	// Asleep is the number of workers asleep at the start, the last ones.
	Asleep   int
	WakeTime time.Duration
	// WriteLatency is that of the table service.
	WriteLatency time.Duration
	Document     config.Document
	Policy       rank.Policy
	Seed         uint64
	Tune         func(*dispatch.Settings)
	Logs         *logs.Sink
}

// Node is one backend server with its agent.
type Node struct {
	Worker string
	Server *backendserver.Server
	Agent  *agent.Agent
	stop   context.CancelFunc
	done   chan struct{}
}

// Member is one entry.
type Member struct {
	Entry   *entry.Entry
	Metrics metrics.Registry
	stop    context.CancelFunc
	done    chan struct{}
}

// Running reports whether the entry has not ended.
func (m *Member) Running() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// Stop drains the entry and waits for its end.
func (m *Member) Stop() { m.stop(); <-m.done }

// Kill ends the entry as a crash would.
func (m *Member) Kill() { m.Entry.Abort(); <-m.done }

// Cluster is a running deployment.
type Cluster struct {
	Shape   Shape
	Table   *platformstandin.Table
	Objects *platformstandin.Objects
	Workers *platformstandin.Workers
	Journal *backendserver.Journal

	platform *platformstandin.Server
	address  string

	mu      sync.Mutex
	nodes   map[string]*Node
	members []*Member
	serial  int
}

// drainNotice is enough for the load tool's balancer, which asks for health
// four times a second.
const drainNotice = 600 * time.Millisecond

const loopback = "127.0.0.1:0"

// Start starts a deployment and puts its configuration in force.
func Start(shape Shape) (*Cluster, error) {
	if shape.Logs == nil {
		shape.Logs = logs.Discard()
	}
	c := &Cluster{
		Shape: shape, Table: platformstandin.NewTable(shape.Seed, 0, 0), Objects: platformstandin.NewObjects(),
		Journal: backendserver.NewJournal(), nodes: make(map[string]*Node),
	}
	c.Table.SetFaults(c.TableFaults())
	c.Workers = platformstandin.NewWorkers(shape.WakeTime, c.machines())
	c.Workers.OnAwake = func(id string) { _ = c.StartNode(id) }
	c.Workers.OnAsleep = func(id string) { c.StopNode(id) }
	if err := c.servePlatform(); err != nil {
		return nil, err
	}
	if err := c.putConfig(); err != nil {
		return nil, err
	}
	for range shape.Entries {
		if _, err := c.AddEntry(); err != nil {
			return nil, err
		}
	}
	for i, w := range c.machines() {
		if i < shape.Agents-shape.Asleep {
			if err := c.StartNode(w.ID); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

func (c *Cluster) servePlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	c.address = l.Addr().String()
	c.platform = platformstandin.NewServer(c.Table, c.Objects, c.Workers)
	go func() { _ = c.platform.Serve(l) }()
	return nil
}

// Platform returns the IP:port of the platform's stand-in.
func (c *Cluster) Platform() string { return c.address }

func (c *Cluster) putConfig() error {
	document, err := json.Marshal(c.Shape.Document)
	if err != nil {
		return eris.Wrap(err, "encode configuration")
	}
	if _, err := config.Parse(document); err != nil {
		return err
	}
	_, err = confwatch.NewStore(c.Table).Put(context.Background(), 0, "cluster", time.Now(), document)
	return err
}

// machines lists the workers of the shape.
func (c *Cluster) machines() []table.Worker {
	s := c.Shape
	list := make([]table.Worker, s.Agents)
	for i := range list {
		rack := i / max(1, s.RackSize)
		power := table.Awake
		if i >= s.Agents-s.Asleep {
			power = table.Asleep
		}
		list[i] = table.Worker{
			ID: fmt.Sprintf("worker-%03d", i+1), DataCentre: s.DataCentres[rack%len(s.DataCentres)],
			Rack: fmt.Sprintf("rack-%d", rack+1), Cores: s.Cores, MemoryMB: s.MemoryMB, Power: power,
			Labels: map[string]string{"cores": fmt.Sprint(s.Cores)}, Services: []string{s.Service}, Slots: s.Slots,
		}
	}
	return list
}

// AddEntry starts one more entry.
func (c *Cluster) AddEntry() (*Member, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	s := &settings.Entry{
		ID: fmt.Sprintf("entry-%d", c.serial), Region: c.Shape.Region,
		DataCentre: c.Shape.DataCentres[(c.serial-1)%len(c.Shape.DataCentres)],
		Listen:     loopback, PeerListen: loopback, PeerAddress: loopback, Dev: !c.Shape.Credentials,
		Platform: settings.Platform{Address: c.address, Timeout: settings.Duration(2 * time.Second)},
		Limits:   settings.DefaultEntryLimits(),
	}
	s.Limits.DrainNotice = settings.Duration(drainNotice)
	platform := tableclient.New(c.address, s.Platform.Timeout.Std())
	registry := metrics.NewRegistry()
	e, err := entry.New(s, entry.Deps{
		Logs: c.Shape.Logs, Table: platform, Objects: platform.Objects(), Workers: platform.Workers(),
		Transport: transport.New(nil), Metrics: registry, Policy: c.Shape.Policy,
		Seed: c.Shape.Seed + uint64(c.serial), Tune: c.Shape.Tune,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Member{Entry: e, Metrics: registry, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		_ = e.Run(ctx)
	}()
	c.members = append(c.members, m)
	return m, nil
}

// Entries returns all entries ever started, running or not.
func (c *Cluster) Entries() []*Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Member(nil), c.members...)
}

// Node returns the node of a worker, or nil.
func (c *Cluster) Node(worker string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[worker]
}

// Nodes returns the running nodes.
func (c *Cluster) Nodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*Node, 0, len(c.nodes))
	for _, w := range c.machines() {
		if n := c.nodes[w.ID]; n != nil {
			list = append(list, n)
		}
	}
	return list
}

// StartNode starts the backend server and the agent of a worker.
func (c *Cluster) StartNode(worker string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[worker] != nil {
		return nil
	}
	var machine table.Worker
	for _, w := range c.machines() {
		if w.ID == worker {
			machine = w
		}
	}
	server, err := backendserver.New("backend-"+worker, loopback, c.Journal)
	if err != nil {
		return err
	}
	go func() { _ = server.Serve() }()
	a, err := agent.New(c.agentSettings(machine, server.Address()), agent.Deps{
		Logs: c.Shape.Logs, Table: tableclient.New(c.address, time.Second), Transport: transport.New(nil),
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{Worker: worker, Server: server, Agent: a, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		_ = a.Run(ctx)
	}()
	c.nodes[worker] = n
	return nil
}

func (c *Cluster) agentSettings(w table.Worker, backend string) *settings.Agent {
	s := settings.DefaultAgent()
	s.ID = "agent-" + w.ID
	s.Worker, s.Region, s.DataCentre, s.Rack = w.ID, c.Shape.Region, w.DataCentre, w.Rack
	s.Service, s.Labels = c.Shape.Service, w.Labels
	s.Listen, s.Address, s.Backend = loopback, loopback, backend
	s.Slots, s.Connections, s.Queue = c.Shape.Slots, c.Shape.Connections, c.Shape.Queue
	s.Dev = true
	for _, m := range c.members {
		s.Entries = append(s.Entries, m.Entry.Info().Address)
	}
	return &s
}

// StopNode drains the agent of a worker and then ends its backend server.
func (c *Cluster) StopNode(worker string) {
	if n := c.take(worker); n != nil {
		n.stop()
		<-n.done
		n.Server.Die()
	}
}

// KillNode ends the agent and the backend server of a worker as a crash would.
func (c *Cluster) KillNode(worker string) {
	if n := c.take(worker); n != nil {
		n.Server.Die()
		n.Agent.Abort()
		<-n.done
	}
}

func (c *Cluster) take(worker string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[worker]
	delete(c.nodes, worker)
	return n
}

// Ready waits until every running entry is linked to every running agent and
// has a configuration.
func (c *Cluster) Ready(ctx context.Context) error {
	for {
		if c.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("the cluster did not become ready")
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (c *Cluster) ready() bool {
	want := len(c.Nodes())
	for _, m := range c.Entries() {
		if !m.Running() {
			continue
		}
		if m.Entry.Linked() < min(want, want*settings.DefaultAgent().Fanout/max(1, c.running())) || !m.Entry.Configured() {
			return false
		}
	}
	return true
}

func (c *Cluster) running() int {
	n := 0
	for _, m := range c.Entries() {
		if m.Running() {
			n++
		}
	}
	return n
}

// Stop ends everything: entries drain first.
func (c *Cluster) Stop() {
	var all sync.WaitGroup
	for _, m := range c.Entries() {
		all.Add(1)
		go func() { defer all.Done(); m.Stop() }()
	}
	all.Wait()
	for _, n := range c.Nodes() {
		all.Add(1)
		go func() { defer all.Done(); c.StopNode(n.Worker) }()
	}
	all.Wait()
	_ = c.platform.Close()
}

// TableFaults returns the faults of a healthy table service of the shape.
func (c *Cluster) TableFaults() platformstandin.Faults {
	return platformstandin.Faults{WriteLatency: c.Shape.WriteLatency, ReadLatency: c.Shape.WriteLatency / 5, Jitter: 0.2}
}
