// Package agent connects the agent's decision core to sockets, timers and logs.
//
// The event loop owns the core. Each link to an entry has a reader and a writer, each task that runs
// in the backend server has a goroutine, and the announcer maintains links to a subset of the
// entries. Goroutines hand over work through bounded queues: events for the event loop, messages for
// each link. The event loop never blocks: a link whose send queue is full is closed, and its entry
// asks for what it missed on the next link.
package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"peridotpick.example/common/incarnation"
	"peridotpick.example/common/logs"
	"peridotpick.example/common/settings"
	"peridotpick.example/common/table"
	"peridotpick.example/core/agentcore"
	"peridotpick.example/service/backend"
	"peridotpick.example/service/lifecycle"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire"
)

// Sizes of the queues, in events and messages.
const (
	eventQueueSize = 4096
	sendQueueSize  = 1024
)

// Intervals and timeouts of the agent.
const (
	tickInterval = time.Second
	// tombstoneRetention is the time for which the core keeps the epochs of ended submissions. It must
	// exceed maxMissedHeartbeats times the longest heartbeat interval.
	tombstoneRetention = 90 * time.Second
	// resultRetention is the time after which a result is dropped that no entry has acknowledged.
	resultRetention = 10 * time.Minute
	// maxMissedHeartbeats is the number of heartbeat intervals without a message from the entry after
	// which its link is closed.
	maxMissedHeartbeats = 3
	// drainNotice is the time that a draining agent waits for its notice to reach the entries.
	drainNotice = 200 * time.Millisecond
)

// Deps are the dependencies of an agent.
type Deps struct {
	Logs *logs.Sink
	// Table lists the live entries when no known entry answers; may be nil.
	Table table.Table
	// Transport accepts links of entries and dials entries.
	Transport *transport.Transport
	Metrics   metrics.Registry
}

// Agent is the process beside a backend server that runs tasks there for the linked entries.
type Agent struct {
	settings        *settings.Agent
	info            wire.AgentInfo
	deps            Deps
	log             zerolog.Logger
	core            *agentcore.Core
	events          chan event
	links           map[agentcore.LinkID]*link
	nextLink        atomic.Uint64
	backend         *backend.Client
	announcer       *announcer
	listener        net.Listener
	running         atomic.Int64
	startedCounter  metrics.Counter
	finishedCounter metrics.Counter
	// work is canceled by abort and ends all goroutines of the agent.
	work  context.Context
	abort context.CancelFunc
}

// event is a call of the core that the event loop makes; its output is executed afterwards.
type event func(now time.Time) agentcore.Output

// New returns an agent whose listener is open; Run starts it.
func New(s *settings.Agent, deps Deps) (*Agent, error) {
	listener, err := deps.Transport.Listen(s.Listen)
	if err != nil {
		return nil, err
	}
	address := s.Address
	if s.Listen == s.Address {
		address = listener.Addr().String() // the port may have been chosen by the system
	}
	info := wire.AgentInfo{
		ID: s.ID, Incarnation: incarnation.New(address), Address: address, Worker: s.Worker,
		DataCentre: s.DataCentre, Rack: s.Rack, Service: s.Service, Labels: announcedLabels(s),
		Slots: s.Slots, Queue: s.Queue,
	}
	core := agentcore.New(agentcore.Settings{
		Info: info, TombstoneRetention: tombstoneRetention, ResultRetention: resultRetention, MaxResultBytes: s.ResultBytes,
	})
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	a := &Agent{
		settings: s, info: info, deps: deps, log: deps.Logs.For(logs.Agent), core: core,
		events: make(chan event, eventQueueSize), links: make(map[agentcore.LinkID]*link),
		backend: backend.New(s.Backend, s.Connections), listener: listener,
		startedCounter:  metrics.GetOrRegisterCounter("agent.started", deps.Metrics),
		finishedCounter: metrics.GetOrRegisterCounter("agent.finished", deps.Metrics),
	}
	a.work, a.abort = context.WithCancel(context.Background())
	a.announcer = newAnnouncer(a)
	return a, nil
}

// announcedLabels returns the configured labels and those of worker, data centre, rack and region.
func announcedLabels(s *settings.Agent) map[string]string {
	labels := make(map[string]string, len(s.Labels)+4)
	for name, value := range s.Labels {
		labels[name] = value
	}
	labels["worker"] = s.Worker
	labels["data-centre"] = s.DataCentre
	labels["rack"] = s.Rack
	labels["region"] = s.Region
	return labels
}

// Info returns the agent's identity and properties as it announces them.
func (a *Agent) Info() wire.AgentInfo { return a.info }

// Run serves until ctx ends and then drains: the agent refuses new work, finishes its tasks and
// waits until entries have acknowledged the results.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info().Str("agent", a.info.ID).Str("address", a.info.Address).Uint64("incarnation", a.info.Incarnation).
		Msg("agent: started")
	serve := func(work context.Context) error {
		return transport.Serve(work, a.listener, wire.AgentHandler{Server: a})
	}
	process := lifecycle.Process{Work: a.work, Abort: a.abort, Drain: a.drain}
	err := lifecycle.Run(ctx, process, a.runEventLoop, serve, a.announcer.run)
	a.log.Info().Str("agent", a.info.ID).Msg("agent: stopped")
	return err
}

// Abort ends Run at once, without draining, as a crash of the process would.
func (a *Agent) Abort() { a.abort() }

// drain stops announcing, makes the core refuse new work and waits up to DrainTimeout until it is
// idle.
func (a *Agent) drain(work context.Context) {
	a.log.Info().Str("agent", a.info.ID).Msg("agent: draining")
	a.announcer.stop()
	a.post(a.core.Drain)
	time.Sleep(drainNotice)
	if lifecycle.AwaitIdle(work, a.settings.DrainTimeout.Std(), a.isIdle) {
		return
	}
	a.log.Warn().Str("agent", a.info.ID).Msg("agent: drain timed out")
}

// isIdle reports whether the core has no tasks and no results that linked entries have yet to
// acknowledge.
func (a *Agent) isIdle() bool {
	idle := make(chan bool, 1)
	a.post(func(time.Time) agentcore.Output {
		idle <- a.core.IsIdle()
		return agentcore.Output{}
	})
	select {
	case is := <-idle:
		return is
	case <-a.work.Done():
		return false
	}
}

// runEventLoop runs the event loop, the only goroutine that uses the core, until ctx ends.
func (a *Agent) runEventLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-a.events:
			a.perform(e(time.Now()))
		case now := <-ticker.C:
			a.perform(a.core.Tick(now))
			a.checkLinks(now)
		}
	}
}

// post queues an event for the event loop, unless the agent has stopped.
func (a *Agent) post(e event) {
	select {
	case a.events <- e:
	case <-a.work.Done():
	}
}

// perform executes the core's output.
func (a *Agent) perform(out agentcore.Output) {
	for _, send := range out.Sends {
		if l := a.links[send.Link]; l != nil {
			l.enqueue(send.Msg)
		}
	}
	for _, e := range out.Executions {
		go a.execute(e)
	}
	for _, id := range out.StopExecutions {
		go a.backend.Stop(id)
	}
}

// execute runs one attempt in the backend server and reports its end to the core.
func (a *Agent) execute(e agentcore.Execution) {
	a.startedCounter.Inc(1)
	a.running.Add(1)
	done := a.backend.Run(e)
	a.running.Add(-1)
	a.finishedCounter.Inc(1)
	a.log.Debug().Str("submission", e.ID.Submission).Uint32("task", e.ID.Index).Uint32("attempt", e.ID.Attempt).
		Stringer("kind", done.Kind).Dur("run", done.RunTime).Msg("agent: task ended")
	a.post(func(now time.Time) agentcore.Output { return a.core.ExecutionFinished(now, e.ID, done) })
}

// checkLinks sends the load on links on which nothing was sent for a heartbeat interval, and closes
// links whose entry has missed maxMissedHeartbeats.
func (a *Agent) checkLinks(now time.Time) {
	for id, l := range a.links {
		interval := time.Duration(l.heartbeatInterval.Load())
		if now.Sub(l.lastReceived()) > maxMissedHeartbeats*interval {
			a.log.Warn().Str("entry", l.entry.ID).Msg("agent: entry is silent, link closed")
			l.close()
			continue
		}
		if now.Sub(l.lastSent()) >= interval {
			a.perform(a.core.Heartbeat(now, id))
		}
	}
}
