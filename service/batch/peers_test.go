package batch

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"peridotpick.example/common/logs"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/ledger"
	"peridotpick.example/core/registry"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// fakeStore gives its documents, or nothing if it is away.
type fakeStore struct {
	noJobs
	docs   chan *Document
	drains chan runs.Drains
	parsed atomic.Int64
}

// noJobs is a store of durable jobs that is away.
type noJobs struct{}

func (noJobs) Jobs(context.Context) (Changes, error) { return Changes{}, errAway }
func (noJobs) JobChanges(context.Context, uint64, time.Duration) (Changes, error) {
	return Changes{}, errAway
}
func (noJobs) JobParts() int      { return 1 }
func (noJobs) JobPart(string) int { return 0 }
func (noJobs) WriteJobs(context.Context, []ledger.Write) ([]ledger.Outcome, error) {
	return nil, errAway
}

var errAway = errors.New("away")

func (s *fakeStore) NextUpdate(ctx context.Context, _ time.Duration) (Update, error) {
	select {
	case doc := <-s.docs:
		return Update{Document: doc}, nil
	case view := <-s.drains:
		return Update{Drains: view}, nil
	case <-ctx.Done():
		return Update{}, errAway
	}
}

func (s *fakeStore) Arriving() bool { return false }

func (s *fakeStore) Parse(raw []byte) (*Document, error) {
	s.parsed.Add(1)
	return document(uint64(raw[0])), nil
}

func (s *fakeStore) Register(context.Context, runs.Entry) error { return errAway }
func (s *fakeStore) Entries(context.Context, uint64, int) ([]registry.Row, error) {
	return nil, errAway
}
func (s *fakeStore) Unregister(context.Context, registry.Row) error { return errAway }

func document(version uint64) *Document {
	return &Document{Raw: []byte{byte(version)}, Catalog: catalog.New(version, catalog.Limits{}, nil)}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startEntry runs an entry that knows one other by its seed.
func startEntry(t *testing.T, seeds ...string) (*Entry, *fakeStore) {
	t.Helper()
	store := &fakeStore{docs: make(chan *Document, 8), drains: make(chan runs.Drains, 8)}
	return startOn(t, store, seeds...), store
}

// startOn runs an entry on a store until the test ends.
func startOn(t *testing.T, store Store, seeds ...string) *Entry {
	t.Helper()
	e, _ := launch(t, store, seeds...)
	return e
}

// launch runs an entry on a store until stop, or until the test ends.
func launch(t *testing.T, store Store, seeds ...string) (e *Entry, stop func()) {
	t.Helper()
	e, err := New(Settings{
		Name: "e", Address: freeAddress(t), Seeds: seeds,
		Core: core.Settings{DataCentre: "d", StallLimit: time.Hour, Beat: time.Second, IdleBeat: time.Second},
	}, Deps{Logs: logs.Discard(), Transport: transport.New(nil), Store: store, Metrics: metrics.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := e.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return e, stop
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestEntryThatTheStoreTurnsAwayGetsTheConfigurationFromOthers(t *testing.T) {
	is := is.New(t)
	a, storeA := startEntry(t)
	b, storeB := startEntry(t, a.self.Address)
	c, storeC := startEntry(t, a.self.Address) // meets b only through a
	storeA.docs <- document(3)
	waitFor(t, "version 3 did not reach all", func() bool { return b.configVersion() == 3 && c.configVersion() == 3 })
	storeA.docs <- document(5)
	waitFor(t, "version 5 did not reach all", func() bool { return b.configVersion() == 5 && c.configVersion() == 5 })
	storeB.docs <- document(4) // older: never back
	storeC.docs <- document(7)
	waitFor(t, "version 7 did not reach all", func() bool { return a.configVersion() == 7 && b.configVersion() == 7 })
	is.Equal(len(c.peers.alive()), 3)
}
