// Package runner connects the decision core of an agent on a leased worker to sockets, timers and
// logs.
//
// The event loop owns the core. Other goroutines poll the worker, send orders to it, choose the
// entries to work with, and maintain one link per chosen entry with a reader and a writer. They
// exchange data with the event loop through bounded queues, and the event loop never blocks on
// any of them.
package runner

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"peridotpick.example/common/boottime"
	"peridotpick.example/common/logs"
	"peridotpick.example/core/registry"
	core "peridotpick.example/core/runner"
	"peridotpick.example/service/eventloop"
	"peridotpick.example/service/lifecycle"
	"peridotpick.example/service/telemetry"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// Worker is a client of the worker beside the agent. Its calls return within a bounded time, even
// if the worker does not answer.
type Worker interface {
	// Order sends a start or a stop.
	Order(core.Order) core.Answer
	// Poll renews the lease and lists the running and the ended runs. The worker holds its
	// answer back until a run ends, at most for Poll.Wait.
	Poll(core.Poll) (core.Answer, core.Listing)
}

// Registry is the part of the platform's store that an agent uses.
type Registry interface {
	// Entries lists at most limit registered entries, in the order of the hash ring of their
	// addresses, beginning at a position on the ring.
	Entries(ctx context.Context, position uint64, limit int) ([]registry.Row, error)
	// SaveWorker stores a worker's last announcement under its agent's name.
	SaveWorker(ctx context.Context, w runs.Worker) error
	// LoadWorker returns the stored announcement; its ID is empty if there is none.
	LoadWorker(ctx context.Context, agent string) (runs.Worker, error)
	// Drains reads which data centres the operator has drained.
	Drains(ctx context.Context) (runs.DrainView, error)
}

// Deps are the dependencies of an Agent.
type Deps struct {
	Logs      *logs.Sink
	Transport *transport.Transport
	Worker    Worker
	Registry  Registry
	Metrics   metrics.Registry
}

// Settings configures an Agent.
type Settings struct {
	// Name is the name of the agent's instance.
	Name string
	Core core.Settings
	// DataCentre is the agent's data centre; entries in it are preferred.
	DataCentre string
	// Seeds are the IP:port of some entries; they may be out of date.
	Seeds []string
	// DrainTimeout is the longest time that Run waits for runs to end once its context has
	// ended.
	DrainTimeout time.Duration
}

// Capacities of the queues, in elements, and the number of goroutines that send starts.
const (
	eventQueueSize = 4096
	orderQueueSize = 256
	sendQueueSize  = 1024
	startSenders   = 4
)

// Intervals and delays of the event loop and of draining.
const (
	// busyTickInterval is the granularity at which leases expire while there are runs.
	busyTickInterval = 20 * time.Millisecond
	// idleTickInterval is longer, so that an idle agent uses little CPU.
	idleTickInterval = 200 * time.Millisecond
	// finalSendDelay is the time in which the ends of the last runs are sent to their entries.
	finalSendDelay = 20 * time.Millisecond
	// drainNoticeDelay is the time in which entries learn that the agent is draining.
	drainNoticeDelay = 100 * time.Millisecond
)

// Agent is the process beside one worker. New creates it, Run serves until it has drained.
type Agent struct {
	settings    Settings
	deps        Deps
	log         zerolog.Logger
	logBudget   *logs.Budget
	core        *core.Core
	events      *eventloop.Queue[*core.Core]
	startOrders chan core.Order
	stopOrders  chan core.Order
	pollDue     chan struct{}
	links       map[core.LinkID]*link
	// savedWorker is the description that was last sent to the registry. Only the event loop uses it.
	savedWorker  runs.Worker
	directory    *directory
	sharedDrains sharedDrains
	traffic      *telemetry.Traffic
	workCtx      context.Context
	cancelWork   context.CancelFunc
}

// New returns an agent; Run starts it.
func New(s Settings, deps Deps) *Agent {
	a := &Agent{
		settings: s, deps: deps, log: deps.Logs.For(logs.Agent), logBudget: logs.NewBudget(logLinesPerSecond), core: core.New(s.Core),
		startOrders: make(chan core.Order, orderQueueSize),
		stopOrders:  make(chan core.Order, orderQueueSize), pollDue: make(chan struct{}, 1),
		links: make(map[core.LinkID]*link), traffic: telemetry.NewTraffic("entries", deps.Metrics),
	}
	a.workCtx, a.cancelWork = context.WithCancel(context.Background())
	a.events = eventloop.New[*core.Core](eventQueueSize, eventloop.DefaultBatch, a.workCtx.Done())
	a.directory = newDirectory(a)
	return a
}

// Run serves until ctx ends, then drains: it waits for runs to end, at most DrainTimeout.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info().Str("agent", a.settings.Name).Strs("seeds", a.settings.Seeds).Msg("agent: started")
	routines := []lifecycle.Routine{a.runEventLoop, a.pollWorker, a.directory.run, a.loadWorker, a.confirmDrains, a.orderSender(a.stopOrders)}
	for range startSenders {
		routines = append(routines, a.orderSender(a.startOrders))
	}
	err := lifecycle.Run(ctx, lifecycle.Process{Work: a.workCtx, Abort: a.cancelWork, Drain: a.drain}, routines...)
	a.log.Info().Str("agent", a.settings.Name).Msg("agent: stopped")
	return err
}

// drain stops new work and waits for runs to end, at most DrainTimeout.
func (a *Agent) drain(work context.Context) {
	a.log.Info().Str("agent", a.settings.Name).Msg("agent: draining")
	a.post(func(c *core.Core, now time.Time) { c.Drain(now) })
	time.Sleep(drainNoticeDelay)
	if lifecycle.AwaitIdle(work, a.settings.DrainTimeout, a.isIdle) {
		time.Sleep(finalSendDelay)
		return
	}
	a.log.Warn().Str("agent", a.settings.Name).Msg("agent: drain timed out, runs are left to their leases")
}

// isIdle asks the event loop whether there are no runs.
func (a *Agent) isIdle() bool {
	idle := make(chan bool, 1)
	a.post(func(c *core.Core, _ time.Time) { idle <- c.IsIdle() })
	select {
	case isIdle := <-idle:
		return isIdle
	case <-a.workCtx.Done():
		return false
	}
}

// WorkerAnnounced handles an announcement of the worker. clock is the worker's clock in ms.
func (a *Agent) WorkerAnnounced(info runs.Worker, clock int64) {
	if info.DataCentre == "" {
		info.DataCentre = a.settings.DataCentre // the worker is in the same data centre as its agent
	}
	a.post(func(c *core.Core, now time.Time) {
		if !c.WorkerAnnounced(now, info, clock) {
			a.log.Warn().Str("worker", info.ID).Int64("born", info.Born).Msg("agent: announcement of an incarnation that is over")
		}
	})
}

// saveWorker stores a changed description of the worker in the registry, so that the next process of this agent
// need not wait for an announcement.
func (a *Agent) saveWorker(info runs.Worker) {
	if info.Incarnation() == a.savedWorker.Incarnation() && info.Draining == a.savedWorker.Draining && info.Capacity == a.savedWorker.Capacity {
		return
	}
	a.savedWorker = info
	go func() {
		ctx, cancel := context.WithTimeout(a.workCtx, registryTimeout)
		defer cancel()
		if err := a.deps.Registry.SaveWorker(ctx, info); err != nil {
			a.log.Warn().Err(err).Str("worker", info.ID).Msg("agent: worker not remembered")
		}
	}()
}

// loadWorker passes the announcement that is stored in the registry to the core. The first poll
// shows whether that incarnation of the worker still exists.
func (a *Agent) loadWorker(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	info, err := a.deps.Registry.LoadWorker(loadCtx, a.settings.Name)
	if err != nil {
		a.log.Warn().Err(err).Msg("agent: the registry does not tell the worker")
		return nil
	}
	if info.ID == "" {
		return nil
	}
	a.log.Info().Str("worker", info.ID).Msg("agent: worker recalled from the registry")
	a.post(func(c *core.Core, now time.Time) { c.WorkerLoaded(now, info) })
	return nil
}

// WorkerLeft handles the worker's notice that its incarnation with the given ID is ending.
func (a *Agent) WorkerLeft(id string) {
	a.log.Info().Str("worker", id).Msg("agent: worker left")
	a.post(func(c *core.Core, now time.Time) { c.WorkerLeft(now, id) })
}

// post queues an event for the event loop. It waits while the queue is full and does nothing once
// the agent has stopped.
func (a *Agent) post(e eventloop.Event[*core.Core]) { a.events.Post(e) }

// runEventLoop handles events and ticks and executes the output of the core, which no other
// goroutine may use.
func (a *Agent) runEventLoop(ctx context.Context) error {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-a.events.Events():
			now := boottime.Now()
			a.core.Tick(now) // leases expire before the event is handled, even after a suspension of the process
			a.events.HandleBatch(e, a.core, now)
		case <-timer.C:
			a.core.Tick(boottime.Now())
			a.publishMetrics()
			a.directory.setEndsDelivered(!a.core.HasUndeliveredEnds())
		}
		a.execute(a.core.Flush(boottime.Now()))
		a.publishDrains(boottime.Now())
		a.updateBusyLinks()
		a.requestPoll()
		timer.Reset(a.tickInterval())
	}
}

// tickInterval returns the time until the next tick.
func (a *Agent) tickInterval() time.Duration {
	if a.core.IsIdle() && !a.core.HasUnsentLoad() {
		return idleTickInterval
	}
	return busyTickInterval
}

// updateBusyLinks sets which links have runs, and are closed after the shorter silence.
func (a *Agent) updateBusyLinks() {
	for id, l := range a.links {
		busy := a.core.EntryHasRuns(id)
		if busy && !l.busy.Load() {
			l.lastReceived.Store(time.Now().UnixNano()) // the entry sent only rare messages while the link was idle
		}
		l.busy.Store(busy)
	}
}

// execute executes the output of the core without blocking.
func (a *Agent) execute(out core.Output) {
	for _, o := range out.Orders {
		queue := a.startOrders
		if o.Kind == core.OrderStop {
			queue = a.stopOrders
		}
		select {
		case queue <- o:
		default:
			// The order is never sent, so the worker certainly does not execute it.
			a.log.Warn().Str("task", o.Key.Task).Msg("agent: too many orders wait, one dropped")
			a.reportAnswer(o, core.Answer{Status: core.RefusedOther})
		}
	}
	for _, s := range out.Sends {
		if l := a.links[s.Link]; l != nil {
			l.enqueue(s.Msg)
		}
	}
	for _, id := range out.CloseLinks {
		if l := a.links[id]; l != nil {
			l.stop()
		}
	}
	if out.Announced != nil {
		a.saveWorker(*out.Announced)
	}
	for i := range out.Decisions {
		a.logDecision(&out.Decisions[i])
	}
}

// logLinesPerSecond bounds the log lines of each event. It is about four times what an agent
// writes at the highest load of the known deployments.
const logLinesPerSecond = 200

// logDecision counts a decision of the core and logs it within the budget.
func (a *Agent) logDecision(decision *core.Decision) {
	telemetry.IncCounter("decisions."+strings.ReplaceAll(decision.Event, " ", "_"), a.deps.Metrics)
	ok, leftOut := a.logBudget.Allow(decision.Event, boottime.Now())
	if !ok {
		return
	}
	line := a.log.Info()
	if leftOut > 0 {
		line.Int("left_out", leftOut)
	}
	if decision.Key.Task != "" {
		line.Str("task", decision.Key.Task).Uint32("run", decision.Key.Run)
	}
	if decision.Entry != "" {
		line.Str("entry", decision.Entry)
	}
	if decision.Version != 0 {
		line.Uint64("version", decision.Version)
	}
	if decision.Worker.ID != "" {
		line.Str("worker", decision.Worker.ID).Int64("born", decision.Worker.Born).Int64("former_born", decision.Previous.Born)
	}
	if decision.Reason != runs.ReasonNone {
		line.Stringer("reason", decision.Reason)
	}
	if decision.Clock != 0 {
		line.Int64("clock", decision.Clock).Int64("worker_clock", decision.WorkerClock)
	}
	if decision.Age != 0 {
		line.Dur("age", decision.Age)
	}
	line.Msg("agent: " + decision.Event)
}

// publishMetrics updates the gauges and logs the traffic.
func (a *Agent) publishMetrics() {
	telemetry.SetGauge("links", a.deps.Metrics, int64(len(a.links)))
	telemetry.SetGauge("runs", a.deps.Metrics, int64(a.core.RunCount()))
	telemetry.SetGauge("reservations", a.deps.Metrics, int64(a.core.ReservationCount()))
	telemetry.SetGauge("logs.dropped", a.deps.Metrics, a.deps.Logs.Dropped())
	a.traffic.Log(boottime.Now(), a.log, "agent: traffic", len(a.links))
}

// reportAnswer posts the outcome of an order. The event loop itself calls it, so it must not wait
// for space in the event queue.
func (a *Agent) reportAnswer(o core.Order, answer core.Answer) {
	report := func(c *core.Core, now time.Time) { c.OrderAnswered(now, o, answer) }
	if !a.events.TryPost(report) {
		go a.post(report)
	}
}

// orderSender returns a routine that sends queued orders to the worker, one at a time.
func (a *Agent) orderSender(orders <-chan core.Order) lifecycle.Routine {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case o := <-orders:
				answer := a.deps.Worker.Order(o)
				a.post(func(c *core.Core, now time.Time) { c.OrderAnswered(now, o, answer) })
			}
		}
	}
}
