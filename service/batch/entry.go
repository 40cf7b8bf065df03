// Package batch runs the I/O of an entry that serves jobs: it connects the decision core for jobs
// (core/batch) and the ledger of durable jobs (core/ledger) to sockets, timers, the store and logs.
//
// The event loop is the only goroutine that uses the core and the ledger. Other goroutines: a
// reader and a sender for each link to an agent and for each gossip exchange with another entry;
// one that finds other entries and detects those that are gone; one that follows the operator state
// (the configuration and the drained data centres); one that polls the changes of durable jobs; and
// one writer for each partition of their rows. They hand events to the loop through bounded queues,
// and the loop never blocks on any of them.
package batch

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"peridotpick.example/common/boottime"
	"peridotpick.example/common/errkind"
	"peridotpick.example/common/incarnation"
	"peridotpick.example/common/logs"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/ledger"
	"peridotpick.example/core/registry"
	"peridotpick.example/service/eventloop"
	"peridotpick.example/service/lifecycle"
	"peridotpick.example/service/telemetry"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// Document is one version of the configuration. Raw is its stored form.
type Document struct {
	Raw     []byte
	Catalog *catalog.Catalog
}

// Update is a change of the operator state.
type Update struct {
	// Document is a new version of the configuration; nil if there is none.
	Document *Document
	// Drains is the current view of the drained data centres.
	Drains runs.DrainView
}

// Store is the platform's store: it keeps the operator state, the registry of entries and the
// durable jobs.
type Store interface {
	// NextUpdate waits for a change of the operator state, at most for wait. If nothing changes in
	// that time, the returned Update confirms the view of the drained data centres.
	NextUpdate(ctx context.Context, wait time.Duration) (Update, error)
	// ConfigArriving reports whether NextUpdate is currently receiving a configuration.
	ConfigArriving() bool
	// ParseConfig decodes a configuration that another entry has sent.
	ParseConfig(raw []byte) (*Document, error)
	// Register writes the registry row of an entry.
	Register(ctx context.Context, e runs.Entry) error
	// Unregister removes a row of the registry, unless it has changed since it was read.
	Unregister(ctx context.Context, r registry.Row) error
	// Entries returns up to limit rows of the registry from a ring position on (package registry).
	Entries(ctx context.Context, position uint64, limit int) ([]registry.Row, error)
	JobStore
}

// Deps are the dependencies of an Entry.
type Deps struct {
	Logs      *logs.Sink
	Transport *transport.Transport
	Store     Store
	Metrics   metrics.Registry
}

// Settings configures an Entry.
type Settings struct {
	// Name is the name of the entry's instance.
	Name string
	Core core.Settings
	// Address is the IP:port on which agents and other entries connect.
	Address string
	// Seeds are the IP:port of other entries to contact first; they may be stale.
	Seeds []string
	// Ledger configures the ledger of durable jobs.
	Ledger ledger.Settings
	// WritesPerSecond is the number of store transactions per second that all entries together may
	// make for durable jobs.
	WritesPerSecond float64
}

// Sizes of the queues, in events and messages.
const (
	eventQueueSize = 8192
	linkQueueSize  = 1024
)

// Intervals at which the loop lets the core handle the passing of time.
const (
	// busyTickInterval applies while jobs are open; it is the granularity of their deadlines.
	busyTickInterval = 20 * time.Millisecond
	// idleTickInterval applies otherwise. It is far shorter than the gap between two events that
	// the core takes for a suspension of the process.
	idleTickInterval = 100 * time.Millisecond
)

// Entry is a running entry.
type Entry struct {
	settings  Settings
	deps      Deps
	log       zerolog.Logger
	routeLog  zerolog.Logger
	logBudget *logs.Budget
	self      runs.Entry
	core      *core.Core
	events    *eventloop.Queue[*core.Core]
	// links and pendingAnswers are used by the event loop only, as are core and tickedAt.
	links          map[core.LinkID]*link
	pendingAnswers map[core.RequestID]chan core.Answer
	nextID         atomic.Uint64
	config         atomic.Pointer[Document]
	drains         drainView
	operatorPolls  pollSet
	peers          *peers
	durable        *durableJobs
	listener       net.Listener
	// agentTraffic counts the messages on links to agents, entryTraffic those on exchanges with
	// entries.
	agentTraffic, entryTraffic *telemetry.Traffic
	// workers is the number of workers that can be given work.
	workers  atomic.Int64
	draining atomic.Bool
	// shareGaugesAt is when the metrics of shares were last updated.
	shareGaugesAt time.Time
	// tickedAt is the time of the last tick, ticks their number.
	tickedAt time.Time
	ticks    atomic.Int64
	// work is the context of all goroutines of the entry; abort ends it.
	work  context.Context
	abort context.CancelFunc
}

// New returns an entry that already listens on its address. Run serves it.
func New(s Settings, deps Deps) (*Entry, error) {
	listener, err := deps.Transport.Listen(s.Address)
	if err != nil {
		return nil, err
	}
	number := incarnation.New(s.Address)
	s.Core.Seed = number
	e := &Entry{
		settings: s, deps: deps, log: deps.Logs.For(logs.Entry), routeLog: deps.Logs.For(logs.Route),
		logBudget: logs.NewBudget(maxLinesPerSecond),
		self:      runs.Entry{Address: s.Address, Incarnation: number, DataCentre: s.Core.DataCentre},
		core:      core.New(s.Core), links: make(map[core.LinkID]*link),
		pendingAnswers: make(map[core.RequestID]chan core.Answer), listener: listener,
		agentTraffic: telemetry.NewTraffic("agents", deps.Metrics), entryTraffic: telemetry.NewTraffic("entries", deps.Metrics),
	}
	e.work, e.abort = context.WithCancel(context.Background())
	e.events = eventloop.New[*core.Core](eventQueueSize, eventloop.DefaultBatch, e.work.Done())
	e.peers = newPeers(e)
	e.durable = newDurableJobs(e, s.Ledger, s.WritesPerSecond)
	return e, nil
}

// Run serves until ctx ends or a part of the entry fails.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info().Str("entry", e.settings.Name).Str("address", e.self.Address).Uint64("incarnation", e.self.Incarnation).
		Strs("seeds", e.settings.Seeds).Msg("entry: started")
	serve := func(work context.Context) error { return transport.Serve(work, e.listener, runs.Handler{Server: e}) }
	process := lifecycle.Process{Work: e.work, Abort: e.abort}
	err := lifecycle.Run(ctx, process, e.runLoop, serve, e.followOperator, e.peers.run, e.durable.run)
	e.log.Info().Str("entry", e.settings.Name).Msg("entry: stopped")
	return err
}

// Drain makes IsReady report false.
func (e *Entry) Drain() {
	e.draining.Store(true)
	e.log.Info().Str("entry", e.settings.Name).Msg("entry: draining")
}

// IsReady reports whether this entry can take new connections: it has a configuration and workers,
// and is not draining.
func (e *Entry) IsReady() bool {
	return e.config.Load() != nil && e.workers.Load() > 0 && !e.draining.Load()
}

// Catalog returns the configuration in force; nil if there is none.
func (e *Entry) Catalog() *catalog.Catalog {
	if doc := e.config.Load(); doc != nil {
		return doc.Catalog
	}
	return nil
}

// post hands an event to the loop, unless the entry has stopped.
func (e *Entry) post(ev eventloop.Event[*core.Core]) { e.events.Post(ev) }

// runLoop is the event loop. It is the only goroutine that uses the core and the ledger.
func (e *Entry) runLoop(ctx context.Context) error {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-e.events.Events():
			e.events.HandleBatch(ev, e.core, boottime.Now())
		case <-timer.C:
		}
		now := boottime.Now()
		e.tickIfDue(now)
		e.processOutputs(now)
		timer.Reset(e.tickInterval())
	}
}

// tickIfDue lets the core and the ledger handle the passing of time once the tick interval has
// passed. It is called after each event as well, because the timer is reset by each event and would
// never fire under load.
func (e *Entry) tickIfDue(now time.Time) {
	if now.Sub(e.tickedAt) < e.tickInterval() {
		return
	}
	e.tickedAt = now
	e.ticks.Add(1)
	e.core.UpdateDrains(now, e.drains.view(now))
	e.core.Tick(now)
	e.durable.tick(now)
	e.workers.Store(int64(e.core.UsableWorkers()))
	e.peers.setLevels(e.core.Levels(now))
	e.peers.setShort(e.core.IsShortOfAgents(e.peers.exchangeCount() > 0))
	e.peers.announceLacks(now)
	e.peers.announceLacks(now)
	e.updateGauges()
}

// processOutputs carries out what the core and the ledger ask for, until neither has produced input
// for the other.
func (e *Entry) processOutputs(now time.Time) {
	for {
		out := e.core.Flush(now)
		e.handleCoreOutput(out)
		e.durable.applyCoreOutput(now, &out)
		if !e.durable.handleLedgerOutput(now) {
			return
		}
	}
}

// tickInterval returns the current time between two ticks.
func (e *Entry) tickInterval() time.Duration {
	if e.core.OpenRequests() == 0 {
		return idleTickInterval
	}
	return busyTickInterval
}

// handleCoreOutput carries out what the core asks for.
func (e *Entry) handleCoreOutput(out core.Output) {
	for _, id := range out.CloseLinks {
		if l := e.links[id]; l != nil {
			l.stop()
		}
	}
	for _, s := range out.Sends {
		if l := e.links[s.Link]; l != nil {
			l.enqueue(s.Msg)
		}
	}
	for _, answer := range out.Answers {
		if reply := e.pendingAnswers[answer.Request]; reply != nil {
			delete(e.pendingAnswers, answer.Request)
			reply <- answer
		}
	}
	e.peers.broadcastSuspects(out.Suspects)
	e.logDecisions(out.Decisions)
}

// maxLinesPerSecond is the maximum rate of log lines for each kind of event. It is about twice the
// rate of an entry at the highest load of present deployments.
const maxLinesPerSecond = 400

// logDecisions counts decisions and logs them, within the rate limit of each kind of event.
func (e *Entry) logDecisions(decisions []core.Decision) {
	for i := range decisions {
		decision := &decisions[i]
		e.countDecision(decision)
		ok, leftOut := e.logBudget.Allow(decision.Event+decision.Outcome.String(), boottime.Now())
		if !ok {
			continue
		}
		line := e.routeLog.Info()
		if leftOut > 0 {
			line.Int("left_out", leftOut)
		}
		addDecisionFields(line, decision).Msg("route: " + decision.Event)
	}
}

// addDecisionFields adds to a log line what a decision is about and what it was based on. Fields
// without a value are left out.
func addDecisionFields(line *zerolog.Event, decision *core.Decision) *zerolog.Event {
	addString := func(name, value string) {
		if value != "" {
			line.Str(name, value)
		}
	}
	addDuration := func(name string, value time.Duration) {
		if value != 0 {
			line.Dur(name, value)
		}
	}
	addString("job", decision.Job)
	addString("queue", decision.Queue)
	if decision.Version != 0 {
		line.Uint64("config", decision.Version)
	}
	if decision.Key.Task != "" {
		line.Str("task", decision.Key.Task).Uint32("run", decision.Key.Run)
	}
	if decision.Outcome != 0 {
		line.Stringer("how", decision.Outcome)
	}
	addString("agent", decision.Agent)
	addString("worker", decision.Worker)
	addString("reason", decision.Reason)
	addString("requires", decision.Requires)
	addDuration("age", decision.Age)
	addDuration("expected", decision.Expected)
	addDuration("wait", decision.Wait)
	addDuration("slack", decision.Slack)
	addDuration("wait_behind_all", decision.WaitBehindAll)
	if decision.Reservations > 0 {
		line.Int("reservations", decision.Reservations)
	}
	if decision.Reservation > 0 {
		line.Uint64("reservation", decision.Reservation)
	}
	if decision.Deferred {
		line.Bool("deferred", true)
	}
	if decision.LostWorkers > 0 {
		line.Int("workers_lost", decision.LostWorkers).Int("blamed", decision.BlamedCrashes)
	}
	return line
}

func metricName(event string) string { return strings.ReplaceAll(event, " ", "_") }

// countDecision updates the metrics of decisions.
func (e *Entry) countDecision(decision *core.Decision) {
	name := metricName(decision.Event)
	switch decision.Event {
	case "end":
		name = "run." + decision.Outcome.String()
	case "refuse", "defer", "give up":
		name += "." + strings.ReplaceAll(decision.Reason, " ", "_")
	case "worker lost":
		name += "." + decision.Queue
	case "done":
		telemetry.Histogram("job.ms", e.deps.Metrics).Update(decision.Age.Milliseconds())
	}
	telemetry.IncCounter("decisions."+name, e.deps.Metrics)
	if decision.Deferred {
		telemetry.IncCounter("deferred."+deferredOutcomes[decision.Event]+"."+decision.Queue, e.deps.Metrics)
	}
}

// deferredOutcomes maps the event that ends a deferred job to its name in the metrics.
var deferredOutcomes = map[string]string{"done": "served", "give up": "lost"}

// updateGauges updates the metrics of the current state.
func (e *Entry) updateGauges() {
	telemetry.SetGauge("jobs", e.deps.Metrics, int64(e.core.OpenRequests()))
	telemetry.SetGauge("reservations", e.deps.Metrics, int64(e.core.Reservations()))
	e.updateShareGauges()
	telemetry.SetGauge("durable.open", e.deps.Metrics, int64(e.durable.ledger.OpenJobs()))
	telemetry.SetGauge("durable.waiting", e.deps.Metrics, int64(e.durable.ledger.WaitingJobs()))
	telemetry.SetGauge("workers", e.deps.Metrics, e.workers.Load())
	telemetry.SetGauge("ticks", e.deps.Metrics, e.ticks.Load())
	telemetry.SetGauge("links", e.deps.Metrics, int64(len(e.links)))
	telemetry.SetGauge("config.version", e.deps.Metrics, int64(e.configVersion()))
	drained := e.drains.view(e.tickedAt)
	telemetry.SetGauge("drained_data_centres", e.deps.Metrics, int64(len(drained.DataCentres)))
	telemetry.SetGauge("drains.age_ms", e.deps.Metrics, drained.Age.Milliseconds())
	telemetry.SetGauge("logs.dropped", e.deps.Metrics, e.deps.Logs.Dropped())
	e.agentTraffic.Log(e.tickedAt, e.log, "entry: traffic", len(e.links))
	e.entryTraffic.Log(e.tickedAt, e.log, "entry: traffic", e.peers.exchangeCount())
}

// Submit runs a job and returns its answer. wait is the time until the job's deadline, counted from
// the arrival of the request, if the request has no deadline. If ctx ends first, because the caller has disconnected, the job is
// cancelled. If the entry stops first, the kind of the answer is errkind.FateUnknown.
func (e *Entry) Submit(ctx context.Context, r core.Request, wait time.Duration) core.Answer {
	r.ID = core.RequestID(e.nextID.Add(1))
	reply := make(chan core.Answer, 1)
	e.post(func(c *core.Core, now time.Time) {
		if ctx.Err() != nil {
			return // the caller has disconnected while its request was queued, so nothing may start
		}
		if r.Arrived.IsZero() {
			r.Arrived = now
		}
		if r.Deadline.IsZero() {
			r.Deadline = r.Arrived.Add(wait)
		}
		e.pendingAnswers[r.ID] = reply
		c.Submit(now, &r)
	})
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		e.post(func(c *core.Core, now time.Time) {
			delete(e.pendingAnswers, r.ID)
			c.CancelRequest(now, r.ID)
		})
		return core.Answer{Kind: errkind.Canceled}
	case <-e.work.Done():
		return core.Answer{Kind: errkind.FateUnknown}
	}
}

// Cancel cancels the job with the given name. It reports whether this entry has the job.
func (e *Entry) Cancel(name string) bool {
	known := make(chan bool, 1)
	e.post(func(c *core.Core, now time.Time) { known <- c.CancelJob(now, name) })
	select {
	case ok := <-known:
		return ok
	case <-e.work.Done():
		return false
	}
}

// OpenRequests returns the number of awaited jobs without an answer.
func (e *Entry) OpenRequests() int {
	n := make(chan int, 1)
	e.post(func(c *core.Core, _ time.Time) { n <- c.OpenRequests() })
	select {
	case jobs := <-n:
		return jobs
	case <-e.work.Done():
		return 0
	}
}
