// Package entry wires the entry's decision core to sockets, timers and logs.
//
// Goroutines by duty: the loop owns the core; each link to an agent has a
// connector that reads and a writer; the claim store, the watcher of the
// configuration, membership and the sweep have one each; callers' requests run
// in those of the HTTP server. They meet at bounded rings. The loop never
// blocks: a link whose ring is full is closed and opened anew, a claim that
// does not fit is refused as not sent.
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

// Deps are what an entry needs from outside.
type Deps struct {
	Logs      *logs.Sink
	Table     table.Table
	Objects   table.Objects
	Workers   table.Workers // nil if the platform controls no power
	Transport *transport.Transport
	Metrics   metrics.Registry
	// Policy replaces the ranking policy, for comparisons; empty for the product's.
	Policy rank.Policy
	// Seed of the entry's random choices; 0 draws one.
	Seed uint64
	// Tune changes the core's settings, for experiments; may be nil.
	Tune func(*dispatch.Settings)
}

// Entry is one running entry.
type Entry struct {
	settings *settings.Entry
	deps     Deps
	self     wire.EntryInfo
	log      zerolog.Logger
	routeLog zerolog.Logger

	core    *dispatch.Core
	events  *eventloop.Ring[*dispatch.Core]
	pending map[uint64]chan *wire.Outcome
	serial  atomic.Uint64

	links    *linkManager
	claims   *claimstore.Store
	confs    *confwatch.Store
	watcher  *confwatch.Watcher
	registry *members.Registry
	live     atomic.Pointer[[]wire.EntryInfo]
	versions atomic.Pointer[map[string]uint64]
	sleeping atomic.Pointer[[]table.Worker]

	selectors selectorCache
	refusals  refusalCounts
	reads     chan struct{}
	http      *fasthttp.Server
	callers   *trackedListener
	peers     net.Listener
	draining  atomic.Bool
	open      atomic.Int64
	stats     atomic.Pointer[dispatch.Stats]

	work  context.Context
	abort context.CancelFunc
}

// Sizes of the rings and pools.
const (
	eventRing = 16384
	// eventBatch bounds the events handled between two flushes.
	eventBatch = 512
	// maxReads bounds concurrent look-ups of claims.
	maxReads = 64
)

// New returns an entry that listens already; Run starts it.
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
		self:    wire.EntryInfo{ID: s.ID, Incarnation: incarnation.New(address), Address: address, DataCentre: s.DataCentre},
		pending: make(map[uint64]chan *wire.Outcome),
		reads:   make(chan struct{}, maxReads), callers: newTrackedListener(callers), peers: peers,
	}
	e.work, e.abort = context.WithCancel(context.Background())
	e.events = eventloop.New[*dispatch.Core](eventRing, eventBatch, e.work.Done())
	e.core = dispatch.New(e.coreSettings(nil), e.self, rand.New(rand.NewPCG(deps.Seed, deps.Seed)))
	e.links = newLinkManager(e)
	e.claims = claimstore.New(e.claimSettings(), deps.Table, deps.Objects, e.claimsWritten)
	e.confs = confwatch.NewStore(deps.Table)
	e.watcher = confwatch.NewWatcher(e.confs, deps.Logs.For(logs.Config), e.applyConfig, e.claims.Reachable)
	e.registry = members.New(deps.Table, s.Region, e.self)
	e.live.Store(&[]wire.EntryInfo{e.self})
	e.versions.Store(&map[string]uint64{})
	e.sleeping.Store(&[]table.Worker{})
	e.stats.Store(&dispatch.Stats{})
	e.selectors.init()
	e.http = e.newHTTPServer()
	return e, nil
}

func (e *Entry) claimSettings() claimstore.Settings {
	s := claimstore.DefaultSettings()
	s.Group.Budget = e.settings.Limits.WriteBudget
	s.Timeout = e.settings.Platform.Timeout.Std()
	return s
}

// coreSettings derives the core's settings from the configuration in force.
func (e *Entry) coreSettings(c *config.Compiled) dispatch.Settings {
	s := dispatch.DefaultSettings()
	s.MaxWaiting = e.settings.Limits.MaxWaiting
	if c != nil {
		s.Weigh(c.Document.Policy.ResponseWeight)
		s.Rank.Drained = c.Document.Drained
	}
	if e.deps.Policy != "" {
		s.Rank.Policy = e.deps.Policy
	}
	if e.deps.Tune != nil {
		e.deps.Tune(&s)
	}
	return s
}

// applyConfig takes a new configuration version into force.
func (e *Entry) applyConfig(c *config.Compiled) {
	e.post(func(core *dispatch.Core, _ time.Time) {
		core.Configure(e.coreSettings(c))
		core.SetConfigVersion(c.Version)
	})
}

// Info returns the entry's identity.
func (e *Entry) Info() wire.EntryInfo { return e.self }

// Address returns the IP:port for callers.
func (e *Entry) Address() string { return e.callers.Addr().String() }

// Stats returns the core's counters, at most a second old.
func (e *Entry) Stats() dispatch.Stats { return *e.stats.Load() }

// Claims returns the state of the claim store.
func (e *Entry) Claims(ctx context.Context) claimstore.Snapshot { return e.claims.Snapshot(ctx) }

// Abort ends Run at once, without draining, as a crash of the process would.
func (e *Entry) Abort() { e.abort() }

// Run serves until ctx ends, then drains: it refuses new requests and answers
// those in flight.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info().Str("entry", e.self.ID).Str("callers", e.Address()).Str("peers", e.self.Address).Msg("entry: started")
	if e.settings.Dev {
		e.log.Warn().Msg("entry: DEVELOPMENT MODE: no TLS and no credentials; any caller on loopback is any team and any operator")
	}
	abort := func() {
		e.abort()
		e.callers.closeAll()
	}
	err := lifecycle.Run(ctx, lifecycle.Process{Work: e.work, Abort: abort, Drain: e.drain},
		e.loop, e.claims.Run, e.watcher.Run, e.membership, e.power,
		func(ctx context.Context) error { return transport.Serve(ctx, e.peers, wire.EntryHandler{Server: e}) },
		func(context.Context) error { return e.serveHTTP() },
	)
	e.log.Info().Str("entry", e.self.ID).Msg("entry: stopped")
	return err
}

func (e *Entry) serveHTTP() error {
	err := e.http.Serve(e.callers)
	if e.work.Err() != nil || e.draining.Load() {
		return nil
	}
	return err
}

// isIdle reports whether nothing is in flight.
func (e *Entry) isIdle() bool {
	idle := make(chan bool, 1)
	e.post(func(core *dispatch.Core, _ time.Time) { idle <- core.Open() == 0 && len(e.pending) == 0 })
	select {
	case is := <-idle:
		return is && e.open.Load() == 0
	case <-e.work.Done():
		return false
	}
}

// drain gives the balancer time to send callers elsewhere, and then answers
// what is in flight, within the limits of the settings.
func (e *Entry) drain(work context.Context) {
	e.log.Info().Str("entry", e.self.ID).Msg("entry: draining")
	e.draining.Store(true)
	wait(work, e.settings.Limits.DrainNotice.Std())
	e.post(func(core *dispatch.Core, _ time.Time) { core.Drain() })
	lifecycle.AwaitIdle(work, e.settings.Limits.DrainTimeout.Std(), e.isIdle)
	shut, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.http.ShutdownWithContext(shut)
	if err := e.registry.Leave(shut); err != nil {
		e.log.Warn().Err(err).Msg("entry: own row not removed")
	}
}

// nextID returns a number unique to this incarnation.
func (e *Entry) nextID() uint64 { return e.serial.Add(1) }

// unkeyed returns the name of a submission without a caller's key.
func (e *Entry) unkeyed(id uint64) string {
	return claim.Unkeyed(e.self.ID, strconv.FormatUint(e.self.Incarnation, 36)+"-"+strconv.FormatUint(id, 36))
}
