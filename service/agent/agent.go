// Package agent wires the agent's decision core to sockets, timers and logs.
//
// Goroutines by duty: the loop owns the core; each link has a reader and a
// writer; each execution has one; the announcer keeps links to a subset of the
// entries. They meet at bounded rings: events into the loop, messages out to
// each link. The loop never blocks: a link whose ring is full is closed, and
// its entry asks again on the next one.
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

// Sizes of the rings.
const (
	eventRing = 4096
	linkRing  = 1024
)

// Times of the agent's housekeeping.
const (
	tickEvery = time.Second
	// fenceMemory must exceed silenceLimit times the longest heartbeat.
	fenceMemory     = 90 * time.Second
	resultRetention = 10 * time.Minute
	// silenceLimit is the number of heartbeats missed after which a link is closed.
	silenceLimit = 3
	// leaveNotice is the time given to entries to learn that the agent leaves.
	leaveNotice = 200 * time.Millisecond
)

// Deps are what an agent needs from outside.
type Deps struct {
	Logs *logs.Sink
	// Table is asked for entries when none of those known answers; may be nil.
	Table table.Table
	// Transport reaches entries.
	Transport *transport.Transport
	Metrics   metrics.Registry
}

// Agent is one running agent.
type Agent struct {
	settings  *settings.Agent
	info      wire.AgentInfo
	deps      Deps
	log       zerolog.Logger
	core      *agentcore.Core
	events    chan event
	links     map[agentcore.LinkID]*link
	nextLink  atomic.Uint64
	backend   *backend.Client
	announcer *announcer
	listener  net.Listener
	running   atomic.Int64
	started   metrics.Counter
	finished  metrics.Counter
	// work is the life of the agent; abort ends it.
	work  context.Context
	abort context.CancelFunc
}

// event is something that happened, for the loop.
type event func(now time.Time) agentcore.Output

// New returns an agent that listens already; Run starts it.
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
		DataCentre: s.DataCentre, Rack: s.Rack, Service: s.Service, Labels: allLabels(s),
		Slots: s.Slots, Queue: s.Queue,
	}
	core := agentcore.New(agentcore.Settings{
		Info: info, FenceMemory: fenceMemory, ResultRetention: resultRetention, ResultBytes: s.ResultBytes,
	})
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	a := &Agent{
		settings: s, info: info, deps: deps, log: deps.Logs.For(logs.Agent), core: core,
		events: make(chan event, eventRing), links: make(map[agentcore.LinkID]*link),
		backend: backend.New(s.Backend, s.Connections), listener: listener,
		started:  metrics.GetOrRegisterCounter("agent.started", deps.Metrics),
		finished: metrics.GetOrRegisterCounter("agent.finished", deps.Metrics),
	}
	a.work, a.abort = context.WithCancel(context.Background())
	a.announcer = newAnnouncer(a)
	return a, nil
}

// allLabels adds what the settings say of the place to the labels.
func allLabels(s *settings.Agent) map[string]string {
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

// Info returns what the agent announces.
func (a *Agent) Info() wire.AgentInfo { return a.info }

// Run serves until ctx ends, then drains: it refuses new work, finishes what
// runs, and lets entries fetch the results.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info().Str("agent", a.info.ID).Str("address", a.info.Address).Uint64("incarnation", a.info.Incarnation).
		Msg("agent: started")
	serve := func(work context.Context) error {
		return transport.Serve(work, a.listener, wire.AgentHandler{Server: a})
	}
	process := lifecycle.Process{Work: a.work, Abort: a.abort, Drain: a.drain}
	err := lifecycle.Run(ctx, process, a.loop, serve, a.announcer.run)
	a.log.Info().Str("agent", a.info.ID).Msg("agent: stopped")
	return err
}

// Abort ends Run at once, without draining, as a crash of the process would.
func (a *Agent) Abort() { a.abort() }

func (a *Agent) drain(work context.Context) {
	a.log.Info().Str("agent", a.info.ID).Msg("agent: draining")
	a.announcer.stop()
	a.post(a.core.Drain)
	time.Sleep(leaveNotice)
	if lifecycle.AwaitIdle(work, a.settings.DrainTimeout.Std(), a.isIdle) {
		return
	}
	a.log.Warn().Str("agent", a.info.ID).Msg("agent: drain timed out")
}

// isIdle asks the loop whether nothing runs, and no result waits to be fetched.
func (a *Agent) isIdle() bool {
	idle := make(chan bool, 1)
	a.post(func(time.Time) agentcore.Output {
		idle <- a.core.Idle()
		return agentcore.Output{}
	})
	select {
	case is := <-idle:
		return is
	case <-a.work.Done():
		return false
	}
}

// loop owns the core.
func (a *Agent) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-a.events:
			a.perform(e(time.Now()))
		case now := <-ticker.C:
			a.perform(a.core.Tick(now))
			a.heartbeats(now)
		}
	}
}

// post hands an event to the loop, unless the agent has stopped.
func (a *Agent) post(e event) {
	select {
	case a.events <- e:
	case <-a.work.Done():
	}
}

// perform carries out what the core asks for.
func (a *Agent) perform(out agentcore.Output) {
	for _, send := range out.Sends {
		if l := a.links[send.Link]; l != nil {
			l.enqueue(send.Msg)
		}
	}
	for _, e := range out.Executes {
		go a.execute(e)
	}
	for _, id := range out.Stops {
		go a.backend.Stop(id)
	}
}

// execute runs one attempt in the backend server and reports its end.
func (a *Agent) execute(e agentcore.Execution) {
	a.started.Inc(1)
	a.running.Add(1)
	done := a.backend.Run(e)
	a.running.Add(-1)
	a.finished.Inc(1)
	a.log.Debug().Str("submission", e.ID.Submission).Uint32("task", e.ID.Index).Uint32("attempt", e.ID.Attempt).
		Stringer("kind", done.Kind).Dur("run", done.RunTime).Msg("agent: task ended")
	a.post(func(now time.Time) agentcore.Output { return a.core.Finished(now, e.ID, done) })
}

// heartbeats sends the load on silent links and closes those whose entry is silent.
func (a *Agent) heartbeats(now time.Time) {
	for id, l := range a.links {
		every := time.Duration(l.heartbeat.Load())
		if now.Sub(l.lastReceived()) > silenceLimit*every {
			a.log.Warn().Str("entry", l.entry.ID).Msg("agent: entry is silent, link closed")
			l.close()
			continue
		}
		if now.Sub(l.lastSent()) >= every {
			a.perform(a.core.Heartbeat(now, id))
		}
	}
}
