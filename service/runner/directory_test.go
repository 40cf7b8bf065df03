package runner

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"peridotpick.example/common/logs"
	"peridotpick.example/core/registry"
	core "peridotpick.example/core/runner"
	"peridotpick.example/core/subset"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// standInEntry accepts links and speaks on them now and then.
type standInEntry struct {
	t       *testing.T
	self    runs.Entry
	links   atomic.Int64
	stopNow context.CancelFunc
	ended   chan struct{}
	// releases counts the times that an agent released a link.
	releases atomic.Int64
	// onDemand is what the agent said last of why it works with this entry.
	onDemand atomic.Bool
	// short is what it says of itself.
	short atomic.Bool
	// others are the entries that it tells an agent of.
	others []runs.Entry
}

func newStandInEntry(t *testing.T, n int) *standInEntry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return &standInEntry{t: t, self: runs.Entry{Address: l.Addr().String(), Incarnation: uint64(n + 1), DataCentre: "d"}}
}

// start has it accept links until stop.
func (e *standInEntry) start() {
	l, err := net.Listen("tcp", e.self.Address)
	if err != nil {
		e.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stopNow, e.ended = cancel, make(chan struct{})
	go func() {
		defer close(e.ended)
		_ = transport.Serve(ctx, l, runs.Handler{Server: e}) // ends with its context
	}()
}

func (e *standInEntry) stop() {
	e.stopNow()
	<-e.ended
}

// Gossip implements runs.Server.
func (e *standInEntry) Gossip(runs.GossipEnd) error { return nil }

// Link implements runs.Server.
func (e *standInEntry) Link(stream runs.EntryEnd) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	hello := e.self
	hello.Short = e.short.Load()
	if err := stream.Send(&runs.ToAgent{Hello: &hello, Entries: e.others}); err != nil {
		return err
	}
	e.links.Add(1)
	defer e.links.Add(-1)
	go func() {
		for {
			msg, err := stream.Recv()
			if err != nil {
				return
			}
			if msg.Worker != nil && msg.Worker.Released {
				e.releases.Add(1)
			}
			if msg.Worker != nil {
				e.onDemand.Store(msg.Worker.OnDemand)
			}
		}
	}()
	for stream.Context().Err() == nil {
		if err := stream.Send(&runs.ToAgent{Clock: 1}); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// standInRegistry lists entries.
type standInRegistry struct {
	mu      sync.Mutex
	entries []runs.Entry
	drains  runs.Drains
	// drainsAsked counts the questions for drained data centres.
	drainsAsked int
}

func (r *standInRegistry) Entries(_ context.Context, _ uint64, limit int) ([]registry.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []registry.Row
	for _, e := range r.entries[:min(limit, len(r.entries))] {
		rows = append(rows, registry.Row{Entry: e})
	}
	return rows, nil
}

func (r *standInRegistry) Remember(context.Context, runs.Worker) error { return nil }
func (r *standInRegistry) Recall(context.Context, string) (runs.Worker, error) {
	return runs.Worker{}, nil
}

func (r *standInRegistry) Drains(context.Context) (runs.Drains, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainsAsked++
	return r.drains, nil
}

// idleWorker is never called: it has not announced itself.
type idleWorker struct{}

func (idleWorker) Order(core.Order) core.Answer               { return core.Answer{} }
func (idleWorker) Look(core.Look) (core.Answer, core.Listing) { return core.Answer{}, core.Listing{} }

// fleetOf starts entries and an agent that finds them in the registry.
func fleetOf(t *testing.T, n int) (*Agent, []*standInEntry) {
	t.Helper()
	registry := &standInRegistry{}
	fleet := make([]*standInEntry, 0, n)
	for i := range n {
		e := newStandInEntry(t, i)
		fleet = append(fleet, e)
		registry.entries = append(registry.entries, e.self)
	}
	for _, e := range fleet {
		e.others = registry.entries
		e.start()
		t.Cleanup(e.stop)
	}
	return startAgent(t, registry, nil), fleet
}

// startAgent runs an agent until the test ends.
func startAgent(t *testing.T, registry Registry, seeds []string) *Agent {
	t.Helper()
	settings := core.Standard()
	settings.Agent, settings.OwnerLease, settings.WorkerLease = "a", 400*time.Millisecond, 800*time.Millisecond
	a := New(Settings{Name: "a", DataCentre: "d", Core: settings, Seeds: seeds}, Deps{
		Logs: logs.Discard(), Transport: transport.New(nil), Worker: idleWorker{}, Registry: registry, Metrics: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return a
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// linked returns the entries with a link.
func linked(fleet []*standInEntry) map[string]bool {
	list := make(map[string]bool)
	for _, e := range fleet {
		if e.links.Load() > 0 {
			list[e.self.Address] = true
		}
	}
	return list
}

func chosenOf(fleet []*standInEntry) map[string]bool {
	var known []runs.Entry
	for _, e := range fleet {
		known = append(known, e.self)
	}
	chosen := make(map[string]bool)
	for _, e := range subset.Choose("a", "d", known, nil) {
		chosen[e.Address] = true
	}
	return chosen
}

func same(a, b map[string]bool) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// TestAgentWorksWithItsSubset: the links of an agent do not grow with the fleet. One
// that is out of reach is stood in for, and taken back when it returns; the substitute
// is released then.
func TestAgentWorksWithItsSubset(t *testing.T) {
	is := is.New(t)
	_, fleet := fleetOf(t, subset.Total+6)
	chosen := chosenOf(fleet)
	is.Equal(len(chosen), subset.Total)
	await(t, "the chosen entries are not linked", func() bool { return same(linked(fleet), chosen) })
	before := releases(fleet) // of the first entries that it found
	var away *standInEntry
	for _, e := range fleet {
		if chosen[e.self.Address] {
			away = e
		}
	}
	away.stop()
	await(t, "nobody stands in", func() bool { return len(linked(fleet)) == subset.Total && !same(linked(fleet), chosen) })
	away.start()
	await(t, "the choice is not restored", func() bool { return same(linked(fleet), chosen) })
	is.Equal(releases(fleet)-before, int64(1))
}

func releases(fleet []*standInEntry) int64 {
	n := int64(0)
	for _, e := range fleet {
		n += e.releases.Load()
	}
	return n
}

// TestAgentTriesSeedsOneAtATimeWhenTheRegistryListsNobody: seeds are the same for many
// agents, each of which would link to all of them.
func TestAgentTriesSeedsOneAtATimeWhenTheRegistryListsNobody(t *testing.T) {
	is := is.New(t)
	var fleet []*standInEntry
	var seeds []string
	for i := range 3 {
		e := newStandInEntry(t, i)
		e.start()
		t.Cleanup(e.stop)
		fleet, seeds = append(fleet, e), append(seeds, e.self.Address)
	}
	startAgent(t, &standInRegistry{}, seeds)
	await(t, "no seed is linked", func() bool { return len(linked(fleet)) > 0 })
	time.Sleep(time.Second)
	is.Equal(len(linked(fleet)), 1)
	for _, e := range fleet {
		if e.links.Load() > 0 {
			e.stop()
		}
	}
	await(t, "the next seed is not linked", func() bool { return len(linked(fleet)) > 0 })
}

// TestAgentAtRestDoesNotChooseAgain: nothing has changed.
func TestAgentAtRestDoesNotChooseAgain(t *testing.T) {
	is := is.New(t)
	a, fleet := fleetOf(t, subset.Total+6)
	await(t, "the chosen entries are not linked", func() bool { return same(linked(fleet), chosenOf(fleet)) })
	choices := func() int {
		a.dir.mu.Lock()
		defer a.dir.mu.Unlock()
		return a.dir.choices
	}
	time.Sleep(2 * chooseEvery)
	before := choices()
	time.Sleep(4 * chooseEvery)
	is.Equal(choices(), before)
}

// TestLastEntryReachesTheAgent: whoever is left of a fleet gets the link.
func TestLastEntryReachesTheAgent(t *testing.T) {
	_, fleet := fleetOf(t, subset.Total+6)
	chosen := chosenOf(fleet)
	await(t, "the chosen entries are not linked", func() bool { return same(linked(fleet), chosen) })
	var last *standInEntry
	for _, e := range fleet {
		if last == nil && !chosen[e.self.Address] {
			last = e
			continue
		}
		e.stop()
	}
	await(t, "the last entry has no link", func() bool { return last.links.Load() > 0 })
}

// TestShortEntryIsLinkedOnDemand: an entry that few agents chose gets them all, for as
// long as it is short.
func TestShortEntryIsLinkedOnDemand(t *testing.T) {
	is := is.New(t)
	a, fleet := fleetOf(t, subset.Total+6)
	await(t, "the chosen entries are not linked", func() bool { return same(linked(fleet), chosenOf(fleet)) })
	var other *standInEntry
	for _, e := range fleet {
		if !chosenOf(fleet)[e.self.Address] {
			other = e
		}
	}
	other.short.Store(true)
	short := other.self
	short.Short = true
	a.dir.learn([]runs.Entry{short})
	await(t, "the short entry is not linked", func() bool { return other.links.Load() == 1 && other.onDemand.Load() })
	is.Equal(len(linked(fleet)), subset.Total+1)
	other.short.Store(false)
	a.dir.learn([]runs.Entry{other.self})
	await(t, "the link on demand stays", func() bool { return same(linked(fleet), chosenOf(fleet)) })
}

// TestKeptEndsFindTheirEntry: while an end waits for the entry that has taken its job
// over, the agent works with all of them.
func TestKeptEndsFindTheirEntry(t *testing.T) {
	is := is.New(t)
	a := New(Settings{Name: "a", DataCentre: "d"}, Deps{Logs: logs.Discard(), Metrics: metrics.NewRegistry()})
	for i := range subset.Total + 6 {
		a.dir.learn([]runs.Entry{{Address: fmt.Sprint("e", i), Incarnation: uint64(i + 1), DataCentre: "d"}})
	}
	is.Equal(len(a.dir.wanted()), subset.Total)
	a.dir.settle(false)
	is.Equal(len(a.dir.wanted()), subset.Total+6)
	a.dir.settle(true)
	is.Equal(len(a.dir.wanted()), subset.Total)
}
