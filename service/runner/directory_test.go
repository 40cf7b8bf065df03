package runner

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"peridotpick.example/common/boottime"
	"peridotpick.example/common/logs"
	"peridotpick.example/core/registry"
	core "peridotpick.example/core/runner"
	"peridotpick.example/core/subset"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// fakeEntry is an entry that accepts links and sends a message on each at short intervals.
type fakeEntry struct {
	t       *testing.T
	self    runs.Entry
	links   atomic.Int64
	cancel  context.CancelFunc
	stopped chan struct{}
	// releases counts the messages in which an agent reported the link as released.
	releases atomic.Int64
	// onDemand is the newest value of Worker.OnDemand that the agent has sent.
	onDemand atomic.Bool
	// short is the value of Entry.Short in the hello, needed that of ToAgent.Needed.
	short, needed atomic.Bool
	// knownEntries are the entries that it lists in the hello.
	knownEntries []runs.Entry
}

// newFakeEntry returns a stopped entry with an address of its own: no connection of another process
// can take its port before start, since the loopback IP is used by this process only.
func newFakeEntry(t *testing.T, n int) *fakeEntry {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 16+pid>>8%200, pid%256, n+1))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return &fakeEntry{t: t, self: runs.Entry{Address: l.Addr().String(), Incarnation: uint64(n + 1), DataCentre: "d"}}
}

// start accepts links until stop is called.
func (e *fakeEntry) start() {
	l, err := net.Listen("tcp", e.self.Address)
	if err != nil {
		e.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel, e.stopped = cancel, make(chan struct{})
	go func() {
		defer close(e.stopped)
		_ = transport.Serve(ctx, l, runs.Handler{Server: e}) // ends with its context
	}()
}

func (e *fakeEntry) stop() {
	e.cancel()
	<-e.stopped
}

// Gossip implements runs.Server.
func (e *fakeEntry) Gossip(runs.GossipStream) error { return nil }

// Link implements runs.Server.
func (e *fakeEntry) Link(stream runs.EntryStream) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	hello := e.self
	hello.ShortOfAgents = e.short.Load()
	if err := stream.Send(&runs.ToAgent{Hello: &hello, Entries: e.knownEntries}); err != nil {
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
		if err := stream.Send(&runs.ToAgent{Clock: 1, Needed: e.needed.Load()}); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// fakeRegistry is a Registry with a fixed list of entries.
type fakeRegistry struct {
	mu      sync.Mutex
	entries []runs.Entry
	drains  runs.DrainView
	// drainsCalls counts the calls of Drains.
	drainsCalls int
}

func (r *fakeRegistry) Entries(_ context.Context, _ uint64, limit int) ([]registry.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []registry.Row
	for _, e := range r.entries[:min(limit, len(r.entries))] {
		rows = append(rows, registry.Row{Entry: e})
	}
	return rows, nil
}

func (r *fakeRegistry) SaveWorker(context.Context, runs.Worker) error { return nil }
func (r *fakeRegistry) LoadWorker(context.Context, string) (runs.Worker, error) {
	return runs.Worker{}, nil
}

func (r *fakeRegistry) Drains(context.Context) (runs.DrainView, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainsCalls++
	return r.drains, nil
}

// idleWorker is a worker that has not announced itself, so its methods are never called.
type idleWorker struct{}

func (idleWorker) Order(core.Order) core.Answer               { return core.Answer{} }
func (idleWorker) Poll(core.Poll) (core.Answer, core.Listing) { return core.Answer{}, core.Listing{} }

// startFleet starts n entries and an agent that finds them in the registry.
func startFleet(t *testing.T, n int) (*Agent, []*fakeEntry) {
	t.Helper()
	registry := &fakeRegistry{}
	fleet := make([]*fakeEntry, 0, n)
	for i := range n {
		e := newFakeEntry(t, i)
		fleet = append(fleet, e)
		registry.entries = append(registry.entries, e.self)
	}
	for _, e := range fleet {
		e.knownEntries = registry.entries
		e.start()
		t.Cleanup(e.stop)
	}
	return startAgent(t, registry, nil), fleet
}

// startAgent runs an agent until the end of the test.
func startAgent(t *testing.T, registry Registry, seeds []string) *Agent {
	t.Helper()
	settings := core.DefaultSettings()
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

// waitFor waits until ok returns true. After 30 s it fails the test with a message.
func waitFor(t *testing.T, message string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

// linked returns the addresses of the entries that have a link.
func linked(fleet []*fakeEntry) map[string]bool {
	list := make(map[string]bool)
	for _, e := range fleet {
		if e.links.Load() > 0 {
			list[e.self.Address] = true
		}
	}
	return list
}

// chosenEntries returns the addresses of the entries that the agent should choose.
func chosenEntries(fleet []*fakeEntry) map[string]bool {
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

func equalSets(a, b map[string]bool) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// TestAgentLinksToItsSubset checks that the number of an agent's links does not grow with the
// number of entries, that an unreachable entry is replaced by a substitute, and that the substitute
// is released once the entry is back.
func TestAgentLinksToItsSubset(t *testing.T) {
	is := is.New(t)
	_, fleet := startFleet(t, subset.MaxLinks+6)
	chosen := chosenEntries(fleet)
	is.Equal(len(chosen), subset.MaxLinks)
	waitFor(t, "the chosen entries are not linked", func() bool { return equalSets(linked(fleet), chosen) })
	before := countReleases(fleet) // includes those of the entries that the agent found first
	var unreachable *fakeEntry
	for _, e := range fleet {
		if chosen[e.self.Address] {
			unreachable = e
		}
	}
	unreachable.stop()
	waitFor(t, "no substitute is linked", func() bool { return len(linked(fleet)) == subset.MaxLinks && !equalSets(linked(fleet), chosen) })
	unreachable.start()
	waitFor(t, "the chosen entries are not linked again", func() bool { return equalSets(linked(fleet), chosen) })
	is.Equal(countReleases(fleet)-before, int64(1))
}

func countReleases(fleet []*fakeEntry) int64 {
	n := int64(0)
	for _, e := range fleet {
		n += e.releases.Load()
	}
	return n
}

// TestSeedsAreTriedOneAtATimeIfRegistryIsEmpty checks that an agent links to one seed only. Many
// agents have the same seeds, which would otherwise get a link from each of them.
func TestSeedsAreTriedOneAtATimeIfRegistryIsEmpty(t *testing.T) {
	is := is.New(t)
	var fleet []*fakeEntry
	var seeds []string
	for i := range 3 {
		e := newFakeEntry(t, i)
		e.start()
		t.Cleanup(e.stop)
		fleet, seeds = append(fleet, e), append(seeds, e.self.Address)
	}
	startAgent(t, &fakeRegistry{}, seeds)
	waitFor(t, "no seed is linked", func() bool { return len(linked(fleet)) > 0 })
	time.Sleep(time.Second)
	is.Equal(len(linked(fleet)), 1)
	for _, e := range fleet {
		if e.links.Load() > 0 {
			e.stop()
		}
	}
	waitFor(t, "the next seed is not linked", func() bool { return len(linked(fleet)) > 0 })
}

// TestChoiceIsNotRepeatedWithoutChanges checks that an agent whose chosen entries are linked does
// not choose again, which costs CPU with hundreds of entries.
func TestChoiceIsNotRepeatedWithoutChanges(t *testing.T) {
	is := is.New(t)
	a, fleet := startFleet(t, subset.MaxLinks+6)
	waitFor(t, "the chosen entries are not linked", func() bool { return equalSets(linked(fleet), chosenEntries(fleet)) })
	choices := func() int {
		a.directory.mu.Lock()
		defer a.directory.mu.Unlock()
		return a.directory.choiceCount
	}
	time.Sleep(2 * chooseInterval)
	before := choices()
	time.Sleep(4 * chooseInterval)
	is.Equal(choices(), before)
}

// TestAgentLinksToTheOnlyReachableEntry checks that an entry that was not chosen gets a link once
// all other entries are unreachable.
func TestAgentLinksToTheOnlyReachableEntry(t *testing.T) {
	_, fleet := startFleet(t, subset.MaxLinks+6)
	chosen := chosenEntries(fleet)
	waitFor(t, "the chosen entries are not linked", func() bool { return equalSets(linked(fleet), chosen) })
	var last *fakeEntry
	for _, e := range fleet {
		if last == nil && !chosen[e.self.Address] {
			last = e
			continue
		}
		e.stop()
	}
	waitFor(t, "the last entry has no link", func() bool { return last.links.Load() > 0 })
}

// TestShortEntryIsLinkedOnDemand checks that agents link to an entry that is short of agents even
// if they have not chosen it, and only as long as it is short.
func TestShortEntryIsLinkedOnDemand(t *testing.T) {
	is := is.New(t)
	a, fleet := startFleet(t, subset.MaxLinks+6)
	waitFor(t, "the chosen entries are not linked", func() bool { return equalSets(linked(fleet), chosenEntries(fleet)) })
	other := otherThanChosen(fleet)
	other.short.Store(true)
	short := other.self
	short.ShortOfAgents = true
	a.directory.learn([]runs.Entry{short})
	waitFor(t, "the short entry is not linked", func() bool { return other.links.Load() == 1 && other.onDemand.Load() })
	is.Equal(len(linked(fleet)), subset.MaxLinks+1)
	other.short.Store(false)
	a.directory.learn([]runs.Entry{other.self})
	waitFor(t, "the link on demand is not closed", func() bool { return equalSets(linked(fleet), chosenEntries(fleet)) })
}

// otherThanChosen returns an entry that the agent of startFleet has not chosen.
func otherThanChosen(fleet []*fakeEntry) *fakeEntry {
	for _, e := range fleet {
		if !chosenEntries(fleet)[e.self.Address] {
			return e
		}
	}
	return nil
}

// TestEntryThatAsksIsLinkedWhileItNeedsTheAgent checks that an agent links on demand to an entry that
// lacks what its worker has, also if the entry is unreachable at first, and only as long as the entry
// needs it.
func TestEntryThatAsksIsLinkedWhileItNeedsTheAgent(t *testing.T) {
	is := is.New(t)
	a, fleet := startFleet(t, subset.MaxLinks+6)
	waitFor(t, "the chosen entries are not linked", func() bool { return equalSets(linked(fleet), chosenEntries(fleet)) })
	other := otherThanChosen(fleet)
	other.stop()
	a.directory.receiveAsks([]runs.Ask{{Entry: other.self, Serial: 1, Limit: math.MaxUint64}})
	time.Sleep(time.Second)
	other.needed.Store(true)
	other.start()
	waitFor(t, "the entry is not linked", func() bool { return other.links.Load() == 1 && other.onDemand.Load() })
	time.Sleep(4 * time.Second) // longer than a link stays that is not needed
	is.Equal(other.links.Load(), int64(1))
	other.needed.Store(false)
	waitFor(t, "the link on demand is not closed", func() bool { return equalSets(linked(fleet), chosenEntries(fleet)) })
}

// TestAskOutlivesTheContact checks that an agent that has given up an unreachable entry still links to it
// while its ask stands.
func TestAskOutlivesTheContact(t *testing.T) {
	is := is.New(t)
	a := New(Settings{Name: "a", DataCentre: "d"}, Deps{Logs: logs.Discard(), Metrics: metrics.NewRegistry()})
	e := runs.Entry{Address: "e", Incarnation: 7}
	a.directory.receiveAsks([]runs.Ask{{Entry: e, Serial: 1, Limit: math.MaxUint64}})
	for range 2 {
		asking := a.directory.addAskingEntries()
		is.Equal(asking, []runs.Entry{e})
		is.Equal(a.directory.contacts["e"].entry, e)
		is.True(a.directory.onDemandAddresses(nil, asking)["e"])
		delete(a.directory.contacts, "e")
	}
}

// TestAskOfALinkedEntryEndsWithItsNeed checks that an ask of an entry that is linked already keeps the link
// no longer than the entry says that it needs the agent.
func TestAskOfALinkedEntryEndsWithItsNeed(t *testing.T) {
	is := is.New(t)
	a := New(Settings{Name: "a", DataCentre: "d"}, Deps{Logs: logs.Discard(), Metrics: metrics.NewRegistry()})
	e := runs.Entry{Address: "e", Incarnation: 7}
	a.directory.contacts["e"] = &contact{entry: e, link: &link{}}
	a.directory.receiveAsks([]runs.Ask{{Entry: e, Serial: 1, Limit: math.MaxUint64}})
	list, until := a.directory.asks.Entries(boottime.Now())
	is.Equal(list, []runs.Entry{e})
	is.True(until.Before(boottime.Now().Add(4 * time.Second)))
	time.Sleep(10 * time.Millisecond)
	a.directory.setNeeded("e")
	_, later := a.directory.asks.Entries(boottime.Now())
	is.True(later.After(until))
}

// TestAgentLinksToAllEntriesWhileEndsAreUndelivered checks that the agent works with all entries
// while it keeps ends that no entry has acknowledged. Any entry may have taken over the job of such
// an end, and only that one acknowledges it.
func TestAgentLinksToAllEntriesWhileEndsAreUndelivered(t *testing.T) {
	is := is.New(t)
	a := New(Settings{Name: "a", DataCentre: "d"}, Deps{Logs: logs.Discard(), Metrics: metrics.NewRegistry()})
	for i := range subset.MaxLinks + 6 {
		a.directory.learn([]runs.Entry{{Address: fmt.Sprint("e", i), Incarnation: uint64(i + 1), DataCentre: "d"}})
	}
	is.Equal(len(a.directory.wantedAddresses()), subset.MaxLinks)
	a.directory.setEndsDelivered(false)
	is.Equal(len(a.directory.wantedAddresses()), subset.MaxLinks+6)
	a.directory.setEndsDelivered(true)
	is.Equal(len(a.directory.wantedAddresses()), subset.MaxLinks)
}
