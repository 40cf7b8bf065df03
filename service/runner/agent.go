// Package runner wires the decision core of an agent on a leased worker to
// sockets, timers and logs.
//
// Goroutines by duty: the loop owns the core; one looks at the worker; a few
// carry orders to it; each entry has a connector with a reader and a writer. They
// meet at bounded rings, and the loop never blocks on any of them.
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

// Worker carries orders to the worker beside the agent. Its calls return within
// a bounded time, also when the worker does not answer.
type Worker interface {
	Order(core.Order) core.Answer
	Look(core.Look) (core.Answer, core.Listing)
}

// Registry keeps what agents and entries must find again.
type Registry interface {
	// Entries lists registered entries from a place on the ring on, up to a number.
	Entries(ctx context.Context, place uint64, limit int) ([]registry.Row, error)
	// Remember keeps what a worker said of itself, under its agent's name.
	Remember(ctx context.Context, w runs.Worker) error
	// Recall returns what was remembered last; its ID is empty if nothing was.
	Recall(ctx context.Context, agent string) (runs.Worker, error)
	// Drains reads which data centres the operator has drained.
	Drains(ctx context.Context) (runs.Drains, error)
}

// Deps are what an agent needs from outside.
type Deps struct {
	Logs      *logs.Sink
	Transport *transport.Transport
	Worker    Worker
	Registry  Registry
	Metrics   metrics.Registry
}

// Settings of an agent.
type Settings struct {
	// Name is the agent's instance.
	Name string
	Core core.Settings
	// DataCentre is the agent's own; its entries are worked with first.
	DataCentre string
	// Seeds are IP:port of entries; they may be stale.
	Seeds []string
	// DrainTimeout bounds the time that runs have to end at SIGTERM.
	DrainTimeout time.Duration
}

// Sizes of the rings and numbers of goroutines.
const (
	eventRing  = 4096
	orderRing  = 256
	linkRing   = 1024
	startLanes = 4
)

// Times of the loop.
const (
	// tickBusy is the granularity of leases while something runs.
	tickBusy = 20 * time.Millisecond
	// tickIdle keeps an idle agent's processor time low.
	tickIdle = 200 * time.Millisecond
	// lastEnds is the time given to the last ends to reach their entries.
	lastEnds = 20 * time.Millisecond
	// leaveNotice is the time given to entries to learn that the agent leaves.
	leaveNotice = 100 * time.Millisecond
)

// Agent is one running agent.
type Agent struct {
	settings Settings
	deps     Deps
	log      zerolog.Logger
	budget   *logs.Budget
	core     *core.Core
	events   *eventloop.Ring[*core.Core]
	starts   chan core.Order
	stops    chan core.Order
	lookNow  chan struct{}
	links    map[core.LinkID]*link
	// remembered is the worker as the registry has it; the announcements' goroutine owns it.
	remembered runs.Worker
	dir        *directory
	drains     drainsWatch
	traffic    *telemetry.Traffic
	work       context.Context
	abort      context.CancelFunc
}

// New returns an agent; Run starts it.
func New(s Settings, deps Deps) *Agent {
	a := &Agent{
		settings: s, deps: deps, log: deps.Logs.For(logs.Agent), budget: logs.NewBudget(linesPerSecond), core: core.New(s.Core),
		starts: make(chan core.Order, orderRing),
		stops:  make(chan core.Order, orderRing), lookNow: make(chan struct{}, 1),
		links: make(map[core.LinkID]*link), traffic: telemetry.NewTraffic("entries", deps.Metrics),
	}
	a.work, a.abort = context.WithCancel(context.Background())
	a.events = eventloop.New[*core.Core](eventRing, eventloop.Batch, a.work.Done())
	a.dir = newDirectory(a)
	return a
}

// Run serves until ctx ends, then lets what runs end.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info().Str("agent", a.settings.Name).Strs("seeds", a.settings.Seeds).Msg("agent: started")
	duties := []lifecycle.Duty{a.loop, a.look, a.dir.run, a.recall, a.confirmDrains, a.carry(a.stops)}
	for range startLanes {
		duties = append(duties, a.carry(a.starts))
	}
	err := lifecycle.Run(ctx, lifecycle.Process{Work: a.work, Abort: a.abort, Drain: a.drain}, duties...)
	a.log.Info().Str("agent", a.settings.Name).Msg("agent: stopped")
	return err
}

func (a *Agent) drain(work context.Context) {
	a.log.Info().Str("agent", a.settings.Name).Msg("agent: draining")
	a.post(func(c *core.Core, now time.Time) { c.Drain(now) })
	time.Sleep(leaveNotice)
	if lifecycle.AwaitIdle(work, a.settings.DrainTimeout, a.isIdle) {
		time.Sleep(lastEnds)
		return
	}
	a.log.Warn().Str("agent", a.settings.Name).Msg("agent: drain timed out, runs are left to their leases")
}

// isIdle asks the loop whether nothing runs.
func (a *Agent) isIdle() bool {
	idle := make(chan bool, 1)
	a.post(func(c *core.Core, _ time.Time) { idle <- c.Idle() })
	select {
	case is := <-idle:
		return is
	case <-a.work.Done():
		return false
	}
}

// Announced takes the worker's word about itself.
func (a *Agent) Announced(info runs.Worker, clock int64) {
	if info.DataCentre == "" {
		info.DataCentre = a.settings.DataCentre // beside the agent
	}
	a.post(func(c *core.Core, now time.Time) {
		if !c.Announced(now, info, clock) {
			a.log.Warn().Str("worker", info.ID).Int64("born", info.Born).Msg("agent: announcement of an incarnation that is over")
		}
	})
	a.remember(info)
}

// remember keeps the worker's word in the registry, so that the next process of
// this agent need not wait for an announcement.
func (a *Agent) remember(info runs.Worker) {
	if info.Life() == a.remembered.Life() && info.Draining == a.remembered.Draining && info.Capacity == a.remembered.Capacity {
		return
	}
	a.remembered = info
	go func() {
		ctx, cancel := context.WithTimeout(a.work, registryTimeout)
		defer cancel()
		if err := a.deps.Registry.Remember(ctx, info); err != nil {
			a.log.Warn().Err(err).Str("worker", info.ID).Msg("agent: worker not remembered")
		}
	}()
}

// recall takes the worker's word from the registry. The worker itself tells at
// the first look whether that incarnation is still there.
func (a *Agent) recall(ctx context.Context) error {
	asking, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	info, err := a.deps.Registry.Recall(asking, a.settings.Name)
	if err != nil {
		a.log.Warn().Err(err).Msg("agent: the registry does not tell the worker")
		return nil
	}
	if info.ID == "" {
		return nil
	}
	a.log.Info().Str("worker", info.ID).Msg("agent: worker recalled from the registry")
	a.post(func(c *core.Core, now time.Time) { c.Recalled(now, info) })
	return nil
}

// Left takes the worker's word that an incarnation ends.
func (a *Agent) Left(id string) {
	a.log.Info().Str("worker", id).Msg("agent: worker left")
	a.post(func(c *core.Core, now time.Time) { c.Left(now, id) })
}

// post hands an event to the loop, unless the agent has stopped.
func (a *Agent) post(e eventloop.Event[*core.Core]) { a.events.Post(e) }

// loop owns the core.
func (a *Agent) loop(ctx context.Context) error {
	timer := time.NewTimer(tickIdle)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-a.events.Next():
			now := boottime.Now()
			a.core.Tick(now) // leases are judged before anything else, also after a suspension
			a.events.Take(e, a.core, now)
		case <-timer.C:
			a.core.Tick(boottime.Now())
			a.publish()
			a.dir.settle(!a.core.Unsettled())
		}
		a.perform(a.core.Flush(boottime.Now()))
		a.watchDrains(boottime.Now())
		a.markBusy()
		a.wakeLooker()
		timer.Reset(a.tick())
	}
}

func (a *Agent) tick() time.Duration {
	if a.core.Idle() && !a.core.HasNews() {
		return tickIdle
	}
	return tickBusy
}

// markBusy tells the links' watchers whether a silent entry is a fault.
func (a *Agent) markBusy() {
	for id, l := range a.links {
		busy := a.core.Owes(id)
		if busy && !l.busy.Load() {
			l.heard.Store(time.Now().UnixNano()) // it had no reason to speak often until now
		}
		l.busy.Store(busy)
	}
}

// perform carries out what the core asks for.
func (a *Agent) perform(out core.Output) {
	for _, o := range out.Orders {
		ring := a.starts
		if o.Kind == core.OrderStop {
			ring = a.stops
		}
		select {
		case ring <- o:
		default:
			// Never sent: the worker certainly does nothing of it.
			a.log.Warn().Str("task", o.Key.Task).Msg("agent: too many orders wait, one dropped")
			a.answered(o, core.Answer{Verdict: core.RefusedOther})
		}
	}
	for _, s := range out.Sends {
		if l := a.links[s.Link]; l != nil {
			l.enqueue(s.Msg)
		}
	}
	for _, id := range out.Closes {
		if l := a.links[id]; l != nil {
			l.stop()
		}
	}
	for i := range out.Notes {
		a.logNote(&out.Notes[i])
	}
}

// linesPerSecond bounds the lines of one event: about four times what an agent
// writes at the highest load of today's deployments.
const linesPerSecond = 200

func (a *Agent) logNote(n *core.Note) {
	telemetry.Count("decisions."+strings.ReplaceAll(n.Event, " ", "_"), a.deps.Metrics)
	ok, leftOut := a.budget.Allow(n.Event, boottime.Now())
	if !ok {
		return
	}
	line := a.log.Info()
	if leftOut > 0 {
		line.Int("left_out", leftOut)
	}
	if n.Key.Task != "" {
		line.Str("task", n.Key.Task).Uint32("run", n.Key.Run).Str("entry", n.Entry)
	}
	if n.Version != 0 {
		line.Uint64("version", n.Version)
	}
	if n.Worker.ID != "" {
		line.Str("worker", n.Worker.ID).Int64("born", n.Worker.Born).Int64("former_born", n.Former.Born)
	}
	if n.Reason != runs.NoReason {
		line.Stringer("reason", n.Reason)
	}
	if n.Age != 0 {
		line.Dur("age", n.Age)
	}
	line.Msg("agent: " + n.Event)
}

// publish keeps the metrics of the present state.
func (a *Agent) publish() {
	telemetry.Gauge("links", a.deps.Metrics, int64(len(a.links)))
	telemetry.Gauge("runs", a.deps.Metrics, int64(a.core.Runs()))
	telemetry.Gauge("logs.dropped", a.deps.Metrics, a.deps.Logs.Dropped())
	a.traffic.Log(boottime.Now(), a.log, "agent: traffic", len(a.links))
}

// answered reports the outcome of an order without waiting for the loop.
func (a *Agent) answered(o core.Order, answer core.Answer) {
	report := func(c *core.Core, now time.Time) { c.Ordered(now, o, answer) }
	if !a.events.TryPost(report) {
		go a.post(report)
	}
}

// carry returns the duty that takes orders to the worker, one after the other.
func (a *Agent) carry(orders <-chan core.Order) lifecycle.Duty {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case o := <-orders:
				answer := a.deps.Worker.Order(o)
				a.post(func(c *core.Core, now time.Time) { c.Ordered(now, o, answer) })
			}
		}
	}
}
