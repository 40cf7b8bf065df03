// Package batch wires the decision core of an entry that serves awaited jobs to
// sockets, timers and logs.
//
// Goroutines by duty: the loop owns the core; each agent's link has a reader and
// a writer; each exchange with another entry likewise; one finds the other entries and
// judges who is gone; one follows the configuration.
// They meet at bounded rings, and the loop never blocks on any of them.
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

// Document is one version of the configuration as it is stored.
type Document struct {
	Raw     []byte
	Catalog *catalog.Catalog
}

// Update is what the operator wants now, as far as it has changed.
type Update struct {
	// Document is a configuration that was not returned before; nil if there is none.
	Document *Document
	// Drains is the present view of drained data centres.
	Drains runs.Drains
}

// Store keeps the operator's wishes and the registry of entries.
type Store interface {
	// NextUpdate waits for a change of the operator's wishes, but not longer than a time.
	// Without one the view of drained data centres is confirmed.
	NextUpdate(ctx context.Context, wait time.Duration) (Update, error)
	// Arriving reports whether a configuration is being read that NextUpdate waits for.
	Arriving() bool
	// Parse decodes a document that another entry has passed on.
	Parse(raw []byte) (*Document, error)
	// Register makes an entry known.
	Register(ctx context.Context, e runs.Entry) error
	// Unregister removes a row of the registry, unless it has changed.
	Unregister(ctx context.Context, r registry.Row) error
	// Entries lists registered entries from a place on the ring on, up to a number.
	Entries(ctx context.Context, place uint64, limit int) ([]registry.Row, error)
	JobStore
}

// Deps are what an entry needs from outside.
type Deps struct {
	Logs      *logs.Sink
	Transport *transport.Transport
	Store     Store
	Metrics   metrics.Registry
}

// Settings of an entry.
type Settings struct {
	// Name is the entry's instance.
	Name string
	Core core.Settings
	// Address is the IP:port for agents and entries.
	Address string
	// Seeds are IP:port of other entries; they may be stale.
	Seeds []string
	// Ledger are the settings of durable jobs.
	Ledger ledger.Settings
	// WritesPerSecond is the number of transactions a second that all entries
	// together may make for durable jobs.
	WritesPerSecond float64
}

// Sizes of the rings.
const (
	eventRing = 8192
	linkRing  = 1024
)

// Times of the loop.
const (
	// tickBusy is the granularity of deadlines while there are jobs.
	tickBusy = 20 * time.Millisecond
	// tickIdle is also far below the limit from which a gap counts as a suspension.
	tickIdle = 100 * time.Millisecond
)

// Entry is one running entry.
type Entry struct {
	settings Settings
	deps     Deps
	log      zerolog.Logger
	routeLog zerolog.Logger
	budget   *logs.Budget
	self     runs.Entry
	core     *core.Core
	events   *eventloop.Ring[*core.Core]
	links    map[core.LinkID]*link
	waiting  map[core.RequestID]chan core.Answer
	nextID   atomic.Uint64
	config   atomic.Pointer[Document]
	drains   drainsView
	waits    storeWaits
	peers    *peers
	keeper   *keeper
	listener net.Listener
	// agentTraffic and entryTraffic count the messages of links and exchanges.
	agentTraffic, entryTraffic *telemetry.Traffic
	// workers is the number of workers that can be given work.
	workers  atomic.Int64
	draining atomic.Bool
	// tickedAt is when time was last judged; ticks counts that.
	tickedAt time.Time
	ticks    atomic.Int64
	work     context.Context
	abort    context.CancelFunc
}

// New returns an entry that listens already; Run starts it.
func New(s Settings, deps Deps) (*Entry, error) {
	listener, err := deps.Transport.Listen(s.Address)
	if err != nil {
		return nil, err
	}
	number := incarnation.New(s.Address)
	s.Core.Seed = number
	e := &Entry{
		settings: s, deps: deps, log: deps.Logs.For(logs.Entry), routeLog: deps.Logs.For(logs.Route),
		budget: logs.NewBudget(linesPerSecond),
		self:   runs.Entry{Address: s.Address, Incarnation: number, DataCentre: s.Core.DataCentre},
		core:   core.New(s.Core), links: make(map[core.LinkID]*link),
		waiting: make(map[core.RequestID]chan core.Answer), listener: listener,
		agentTraffic: telemetry.NewTraffic("agents", deps.Metrics), entryTraffic: telemetry.NewTraffic("entries", deps.Metrics),
	}
	e.work, e.abort = context.WithCancel(context.Background())
	e.events = eventloop.New[*core.Core](eventRing, eventloop.Batch, e.work.Done())
	e.peers = newPeers(e)
	e.keeper = newKeeper(e, s.Ledger, s.WritesPerSecond)
	return e, nil
}

// Run serves until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info().Str("entry", e.settings.Name).Str("address", e.self.Address).Uint64("incarnation", e.self.Incarnation).
		Strs("seeds", e.settings.Seeds).Msg("entry: started")
	serve := func(work context.Context) error { return transport.Serve(work, e.listener, runs.Handler{Server: e}) }
	process := lifecycle.Process{Work: e.work, Abort: e.abort}
	err := lifecycle.Run(ctx, process, e.loop, serve, e.followOperator, e.peers.run, e.keeper.run)
	e.log.Info().Str("entry", e.settings.Name).Msg("entry: stopped")
	return err
}

// Drain makes the entry report that it is not ready.
func (e *Entry) Drain() {
	e.draining.Store(true)
	e.log.Info().Str("entry", e.settings.Name).Msg("entry: draining")
}

// Ready reports whether new connections should be sent to this entry.
func (e *Entry) Ready() bool {
	return e.config.Load() != nil && e.workers.Load() > 0 && !e.draining.Load()
}

// Catalog returns the configuration in force, or nil.
func (e *Entry) Catalog() *catalog.Catalog {
	if doc := e.config.Load(); doc != nil {
		return doc.Catalog
	}
	return nil
}

// post hands an event to the loop, unless the entry has stopped.
func (e *Entry) post(ev eventloop.Event[*core.Core]) { e.events.Post(ev) }

// loop owns the core.
func (e *Entry) loop(ctx context.Context) error {
	timer := time.NewTimer(tickIdle)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-e.events.Next():
			e.events.Take(ev, e.core, boottime.Now())
		case <-timer.C:
		}
		now := boottime.Now()
		e.judgeTime(now)
		e.settle(now)
		timer.Reset(e.tick())
	}
}

// judgeTime lets the core judge what has passed. It is done between events, too: a
// timer that each event sets anew would never fire under load.
func (e *Entry) judgeTime(now time.Time) {
	if now.Sub(e.tickedAt) < e.tick() {
		return
	}
	e.tickedAt = now
	e.ticks.Add(1)
	e.core.LearnDrains(now, e.drains.view(now))
	e.core.Tick(now)
	e.keeper.tick(now)
	e.workers.Store(int64(e.core.Workers()))
	e.peers.setShort(e.core.Short(e.peers.exchanges() > 0))
	e.publish()
}

// settle carries out what the core and the ledger ask for, until neither has
// given the other something new.
func (e *Entry) settle(now time.Time) {
	for {
		out := e.core.Flush(now)
		e.perform(out)
		e.keeper.exchange(now, &out)
		if !e.keeper.perform(now) {
			return
		}
	}
}

func (e *Entry) tick() time.Duration {
	if e.core.Jobs() == 0 {
		return tickIdle
	}
	return tickBusy
}

// perform carries out what the core asks for.
func (e *Entry) perform(out core.Output) {
	for _, id := range out.Closes {
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
		if waiting := e.waiting[answer.Request]; waiting != nil {
			delete(e.waiting, answer.Request)
			waiting <- answer
		}
	}
	e.peers.tellSuspects(out.Suspects)
	e.logNotes(out.Notes)
}

// linesPerSecond bounds the lines of one event: about twice what an entry writes
// at the highest load of today's deployments.
const linesPerSecond = 400

func (e *Entry) logNotes(notes []core.Note) {
	for i := range notes {
		n := &notes[i]
		e.count(n)
		ok, leftOut := e.budget.Allow(n.Event+n.How.String(), boottime.Now())
		if !ok {
			continue
		}
		line := e.routeLog.Info()
		if leftOut > 0 {
			line.Int("left_out", leftOut)
		}
		describe(line, n).Msg("route: " + n.Event)
	}
}

// describe adds what a decision is about and what decided it. Fields without a value
// are left out.
func describe(line *zerolog.Event, n *core.Note) *zerolog.Event {
	word := func(name, value string) {
		if value != "" {
			line.Str(name, value)
		}
	}
	span := func(name string, value time.Duration) {
		if value != 0 {
			line.Dur(name, value)
		}
	}
	word("job", n.Job)
	word("queue", n.Queue)
	if n.Version != 0 {
		line.Uint64("config", n.Version)
	}
	if n.Key.Task != "" {
		line.Str("task", n.Key.Task).Uint32("run", n.Key.Run)
	}
	if n.How != 0 {
		line.Stringer("how", n.How)
	}
	word("agent", n.Agent)
	word("worker", n.Worker)
	word("reason", n.Reason)
	span("age", n.Age)
	span("expected", n.Expected)
	span("wait", n.Wait)
	span("slack", n.Slack)
	if n.Deferred {
		line.Bool("deferred", true)
	}
	if n.Lost > 0 {
		line.Int("workers_lost", n.Lost).Int("blamed", n.Blamed)
	}
	return line
}

func metricName(event string) string { return strings.ReplaceAll(event, " ", "_") }

// count keeps the metrics of decisions.
func (e *Entry) count(n *core.Note) {
	name := metricName(n.Event)
	switch n.Event {
	case "end":
		name = "run." + n.How.String()
	case "refuse", "defer", "give up":
		name += "." + strings.ReplaceAll(n.Reason, " ", "_")
	case "worker lost":
		name += "." + n.Queue
	case "done":
		telemetry.Histogram("job.ms", e.deps.Metrics).Update(n.Age.Milliseconds())
	}
	telemetry.Count("decisions."+name, e.deps.Metrics)
	if n.Deferred {
		telemetry.Count("deferred."+outcomes[n.Event]+"."+n.Queue, e.deps.Metrics)
	}
}

// outcomes are the ends of deferred jobs by the event that tells them.
var outcomes = map[string]string{"done": "served", "give up": "lost"}

// publish keeps the metrics of the present state.
func (e *Entry) publish() {
	telemetry.Gauge("jobs", e.deps.Metrics, int64(e.core.Jobs()))
	telemetry.Gauge("durable.open", e.deps.Metrics, int64(e.keeper.ledger.Open()))
	telemetry.Gauge("workers", e.deps.Metrics, e.workers.Load())
	telemetry.Gauge("ticks", e.deps.Metrics, e.ticks.Load())
	telemetry.Gauge("links", e.deps.Metrics, int64(len(e.links)))
	telemetry.Gauge("config.version", e.deps.Metrics, int64(e.configVersion()))
	drained := e.drains.view(e.tickedAt)
	telemetry.Gauge("drained_data_centres", e.deps.Metrics, int64(len(drained.DataCentres)))
	telemetry.Gauge("drains.age_ms", e.deps.Metrics, drained.Age.Milliseconds())
	telemetry.Gauge("logs.dropped", e.deps.Metrics, e.deps.Logs.Dropped())
	e.agentTraffic.Log(e.tickedAt, e.log, "entry: traffic", len(e.links))
	e.entryTraffic.Log(e.tickedAt, e.log, "entry: traffic", e.peers.exchanges())
}

// Submit hands a job in and waits for its answer, or until ctx ends because the
// caller has gone.
func (e *Entry) Submit(ctx context.Context, r core.Request, wait time.Duration) core.Answer {
	r.ID = core.RequestID(e.nextID.Add(1))
	waiting := make(chan core.Answer, 1)
	e.post(func(c *core.Core, now time.Time) {
		if ctx.Err() != nil {
			return // the caller left while its request waited here: nothing may begin
		}
		if r.Arrived.IsZero() {
			r.Arrived = now
		}
		r.Deadline = r.Arrived.Add(wait)
		e.waiting[r.ID] = waiting
		c.Submit(now, &r)
	})
	select {
	case answer := <-waiting:
		return answer
	case <-ctx.Done():
		e.post(func(c *core.Core, now time.Time) {
			delete(e.waiting, r.ID)
			c.Cancel(now, r.ID)
		})
		return core.Answer{Kind: errkind.Canceled}
	case <-e.work.Done():
		return core.Answer{Kind: errkind.FateUnknown}
	}
}

// Cancel ends a job by its name. It reports whether the job was here.
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

// Jobs returns the number of jobs that are not answered yet.
func (e *Entry) Jobs() int {
	n := make(chan int, 1)
	e.post(func(c *core.Core, _ time.Time) { n <- c.Jobs() })
	select {
	case jobs := <-n:
		return jobs
	case <-e.work.Done():
		return 0
	}
}
