// Package entry connects the entry's decision core to sockets, timers and logs.
//
// The event loop owns the core. Each link to an agent has two goroutines: a connector, which opens
// the link and reads from it, and a writer. The claim store, the configuration watcher, the control
// loop and power control have one goroutine each, and callers' requests run in the goroutines of the
// HTTP server. Goroutines hand over work through bounded queues. The event loop never blocks: a link
// whose send queue is full is closed and opened again, and a claim write that does not fit into the
// queue of the claim store is reported to the core as not sent.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"peridotpick.example/common/config"
	"peridotpick.example/common/incarnation"
	"peridotpick.example/common/logs"
	"peridotpick.example/common/settings"
	"peridotpick.example/common/table"
	"peridotpick.example/core/claim"
	"peridotpick.example/core/dispatch"
	"peridotpick.example/core/rank"
	"peridotpick.example/service/claimstore"
	"peridotpick.example/service/confwatch"
	"peridotpick.example/service/eventloop"
	"peridotpick.example/service/lifecycle"
	"peridotpick.example/service/members"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire"
)

// Deps are the dependencies of an entry.
type Deps struct {
	Logs      *logs.Sink
	Table     table.Table
	Objects   table.ObjectStore
	Workers   table.Workers // nil if the platform cannot wake workers or put them to sleep
	Transport *transport.Transport
	Metrics   metrics.Registry
	// Policy replaces the default ranking policy, for comparisons; empty for the default.
	Policy rank.Policy
	// Seed seeds the entry's random choices; 0 selects a random seed.
	Seed uint64
	// Tune modifies the core's settings, for experiments; may be nil.
	Tune func(*dispatch.Settings)
}

// Entry is the gateway instance that callers speak to.
type Entry struct {
	settings *settings.Entry
	deps     Deps
	self     wire.EntryInfo
	log      zerolog.Logger
	routeLog zerolog.Logger

	core   *dispatch.Core
	events *eventloop.Queue[*dispatch.Core]
	// waiters are the channels of requests that wait for an outcome, by request ID. Only the event
	// loop uses them.
	waiters map[uint64]chan *wire.Outcome
	lastID  atomic.Uint64

	links           *linkManager
	claims          *claimstore.Store
	configStore     *confwatch.Store
	watcher         *confwatch.Watcher
	registry        *members.Registry
	liveEntries     atomic.Pointer[[]wire.EntryInfo]
	configVersions  atomic.Pointer[map[string]uint64]
	sleepingWorkers atomic.Pointer[[]table.Worker]

	selectors      selectorCache
	refusals       refusalCounts
	claimReads     chan struct{}
	httpServer     *fasthttp.Server
	callerListener *trackedListener
	peerListener   net.Listener
	draining       atomic.Bool
	openRequests   atomic.Int64
	stats          atomic.Pointer[dispatch.Stats]

	// work is canceled by abort and ends all goroutines of the entry.
	work  context.Context
	abort context.CancelFunc
}

// Limits of queues and of concurrent work.
const (
	// eventQueueSize is the number of events that may wait for the event loop.
	eventQueueSize = 16384
	// eventBatch bounds the events handled between two flushes of the core's output.
	eventBatch = 512
	// maxClaimReads bounds concurrent reads of claims for the core.
	maxClaimReads = 64
)

// New returns an entry whose listeners are open; Run starts it.
func New(s *settings.Entry, deps Deps) (*Entry, error) {
	callers, err := deps.Transport.ListenCallers(s.Listen)
	if err != nil {
		return nil, err
	}
	peers, err := deps.Transport.Listen(s.PeerListen)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewRegistry()
	}
	if deps.Seed == 0 {
		deps.Seed = rand.Uint64()
	}
	address := s.PeerAddress
	if s.PeerListen == s.PeerAddress {
		address = peers.Addr().String() // the port may have been chosen by the system
	}
	e := &Entry{
		settings: s, deps: deps, log: deps.Logs.For(logs.Entry), routeLog: deps.Logs.For(logs.Route),
		self:       wire.EntryInfo{ID: s.ID, Incarnation: incarnation.New(address), Address: address, DataCentre: s.DataCentre},
		waiters:    make(map[uint64]chan *wire.Outcome),
		claimReads: make(chan struct{}, maxClaimReads), callerListener: newTrackedListener(callers), peerListener: peers,
	}
	e.work, e.abort = context.WithCancel(context.Background())
	e.events = eventloop.New[*dispatch.Core](eventQueueSize, eventBatch, e.work.Done())
	e.core = dispatch.New(e.coreSettings(nil), e.self, rand.New(rand.NewPCG(deps.Seed, deps.Seed)))
	e.links = newLinkManager(e)
	e.claims = claimstore.New(e.claimSettings(), deps.Table, deps.Objects, e.handleWriteResults)
	e.configStore = confwatch.NewStore(deps.Table)
	e.watcher = confwatch.NewWatcher(e.configStore, deps.Logs.For(logs.Config), e.applyConfig, e.claims.ReportReachable)
	e.registry = members.New(deps.Table, s.Region, e.self)
	e.liveEntries.Store(&[]wire.EntryInfo{e.self})
	e.configVersions.Store(&map[string]uint64{})
	e.sleepingWorkers.Store(&[]table.Worker{})
	e.stats.Store(&dispatch.Stats{})
	e.selectors.init()
	e.httpServer = e.newHTTPServer()
	return e, nil
}

// claimSettings returns the settings of the claim store.
func (e *Entry) claimSettings() claimstore.Settings {
	s := claimstore.DefaultSettings()
	s.Group.Budget = e.settings.Limits.WriteBudget
	s.Timeout = e.settings.Platform.Timeout.Std()
	return s
}

// coreSettings derives the core's settings from the configuration in force; conf is nil if there is
// none yet.
func (e *Entry) coreSettings(conf *config.CompiledDocument) dispatch.Settings {
	s := dispatch.DefaultSettings()
	s.MaxWaiting = e.settings.Limits.MaxWaiting
	if conf != nil {
		s.SetResponseWeight(conf.Document.Policy.ResponseWeight)
		s.Rank.DrainedDataCentres = conf.Document.DrainedDataCentres
	}
	if e.deps.Policy != "" {
		s.Rank.Policy = e.deps.Policy
	}
	if e.deps.Tune != nil {
		e.deps.Tune(&s)
	}
	return s
}

// applyConfig puts a new configuration version in force in the core.
func (e *Entry) applyConfig(conf *config.CompiledDocument) {
	e.post(func(core *dispatch.Core, _ time.Time) {
		core.Configure(e.coreSettings(conf))
		core.SetConfigVersion(conf.Version)
	})
}

// Info returns the entry's identity.
func (e *Entry) Info() wire.EntryInfo { return e.self }

// Address returns the IP:port for callers.
func (e *Entry) Address() string { return e.callerListener.Addr().String() }

// Stats returns the core's counters as of the last publication, about a second ago at most.
func (e *Entry) Stats() dispatch.Stats { return *e.stats.Load() }

// Claims returns the state of the claim store.
func (e *Entry) Claims(ctx context.Context) claimstore.Snapshot { return e.claims.Snapshot(ctx) }

// Abort ends Run at once, without draining, as a crash of the process would.
func (e *Entry) Abort() { e.abort() }

// Run serves until ctx ends and then drains: the entry refuses new requests and answers those in
// flight.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info().Str("entry", e.self.ID).Str("callers", e.Address()).Str("peers", e.self.Address).Msg("entry: started")
	if e.settings.Dev {
		e.log.Warn().Msg("entry: DEVELOPMENT MODE: no TLS and no credentials; any caller on loopback is any team and any operator")
	}
	abort := func() {
		e.abort()
		e.callerListener.closeAll()
	}
	err := lifecycle.Run(ctx, lifecycle.Process{Work: e.work, Abort: abort, Drain: e.drain},
		e.runEventLoop, e.claims.Run, e.watcher.Run, e.runControl, e.runPowerControl,
		func(ctx context.Context) error {
			return transport.Serve(ctx, e.peerListener, wire.EntryHandler{Server: e})
		},
		func(context.Context) error { return e.serveHTTP() },
	)
	e.log.Info().Str("entry", e.self.ID).Msg("entry: stopped")
	return err
}

// serveHTTP serves callers and operators. It returns nil if draining or abort closed the listener.
func (e *Entry) serveHTTP() error {
	err := e.httpServer.Serve(e.callerListener)
	if e.work.Err() != nil || e.draining.Load() {
		return nil
	}
	return err
}

// isIdle reports whether no submission, waiter or HTTP request is open.
func (e *Entry) isIdle() bool {
	idle := make(chan bool, 1)
	e.post(func(core *dispatch.Core, _ time.Time) { idle <- core.OpenSubmissions() == 0 && len(e.waiters) == 0 })
	select {
	case is := <-idle:
		return is && e.openRequests.Load() == 0
	case <-e.work.Done():
		return false
	}
}

// drain gives the load balancer DrainNotice to direct callers to other entries, waits up to
// DrainTimeout until all requests in flight are answered, shuts the HTTP server down and removes
// the own row from the registry.
func (e *Entry) drain(work context.Context) {
	e.log.Info().Str("entry", e.self.ID).Msg("entry: draining")
	e.draining.Store(true)
	sleep(work, e.settings.Limits.DrainNotice.Std())
	e.post(func(core *dispatch.Core, _ time.Time) { core.Drain() })
	lifecycle.AwaitIdle(work, e.settings.Limits.DrainTimeout.Std(), e.isIdle)
	shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.httpServer.ShutdownWithContext(shutdown)
	if err := e.registry.RemoveOwnRow(shutdown); err != nil {
		e.log.Warn().Err(err).Msg("entry: own row not removed")
	}
}

// nextID returns a request ID that is unique within this incarnation.
func (e *Entry) nextID() uint64 { return e.lastID.Add(1) }

// unkeyedName returns the name of a submission without an idempotency key.
func (e *Entry) unkeyedName(id uint64) string {
	return claim.UnkeyedName(e.self.ID, strconv.FormatUint(e.self.Incarnation, 36)+"-"+strconv.FormatUint(id, 36))
}
