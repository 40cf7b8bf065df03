package batch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
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

// fakeStore returns the documents and drains that the test sends to it; all other calls fail.
type fakeStore struct {
	unavailableJobs
	docs   chan *Document
	drains chan runs.DrainView
	parsed atomic.Int64
}

// unavailableJobs is a JobStore whose calls fail.
type unavailableJobs struct{}

func (unavailableJobs) ReadJobs(context.Context) (Changes, error) { return Changes{}, errUnavailable }
func (unavailableJobs) JobChanges(context.Context, uint64, time.Duration) (Changes, error) {
	return Changes{}, errUnavailable
}
func (unavailableJobs) JobVersion(context.Context) (uint64, error) { return 0, errUnavailable }
func (unavailableJobs) JobPartitions() int                         { return 1 }
func (unavailableJobs) JobPartition(string) int                    { return 0 }
func (unavailableJobs) WriteJobs(context.Context, []ledger.Write) ([]ledger.WriteResult, error) {
	return nil, errUnavailable
}

var errUnavailable = errors.New("store unavailable")

func (s *fakeStore) NextUpdate(ctx context.Context, _ time.Duration) (Update, error) {
	select {
	case doc := <-s.docs:
		return Update{Document: doc}, nil
	case view := <-s.drains:
		return Update{Drains: view}, nil
	case <-ctx.Done():
		return Update{}, errUnavailable
	}
}

func (s *fakeStore) ConfigArriving() bool { return false }

func (s *fakeStore) ParseConfig(raw []byte) (*Document, error) {
	s.parsed.Add(1)
	return document(uint64(raw[0])), nil
}

func (s *fakeStore) Register(context.Context, runs.Entry) error { return errUnavailable }
func (s *fakeStore) Entries(context.Context, uint64, int) ([]registry.Row, error) {
	return nil, errUnavailable
}
func (s *fakeStore) Unregister(context.Context, registry.Row) error { return errUnavailable }

func document(version uint64) *Document {
	return &Document{Raw: []byte{byte(version)}, Catalog: catalog.New(version, catalog.Limits{}, nil)}
}

// freeAddress returns an address on a loopback IP that only this process uses, so that no connection
// of another process can take its port before the entry listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 16+pid>>8%200, pid%256))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startEntry runs an entry with the given seeds on a new fakeStore.
func startEntry(t *testing.T, seeds ...string) (*Entry, *fakeStore) {
	t.Helper()
	store := &fakeStore{docs: make(chan *Document, 8), drains: make(chan runs.DrainView, 8)}
	return startEntryOn(t, store, seeds...), store
}

// startEntryOn runs an entry on a store until the test ends.
func startEntryOn(t *testing.T, store Store, seeds ...string) *Entry {
	t.Helper()
	e, _ := launchEntry(t, store, seeds...)
	return e
}

// launchEntry runs an entry on a store until stop is called or the test ends.
func launchEntry(t *testing.T, store Store, seeds ...string) (e *Entry, stop func()) {
	t.Helper()
	e, err := New(Settings{
		Name: "e", Address: freeAddress(t), Seeds: seeds,
		Core: core.Settings{DataCentre: "d", SuspensionThreshold: time.Hour, SilenceTimeout: time.Hour, HeartbeatInterval: time.Second, IdleHeartbeatInterval: time.Second},
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

// waitFor waits until ok holds. If it does not hold in time, the test fails with what as its message.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestEntryWithoutTheStoreGetsTheConfigurationFromOthers(t *testing.T) {
	is := is.New(t)
	a, storeA := startEntry(t)
	b, storeB := startEntry(t, a.self.Address)
	c, storeC := startEntry(t, a.self.Address) // knows b only through a
	storeA.docs <- document(3)
	waitFor(t, "version 3 did not reach all", func() bool { return b.configVersion() == 3 && c.configVersion() == 3 })
	storeA.docs <- document(5)
	waitFor(t, "version 5 did not reach all", func() bool { return b.configVersion() == 5 && c.configVersion() == 5 })
	storeB.docs <- document(4) // an older version must not replace a newer one
	storeC.docs <- document(7)
	waitFor(t, "version 7 did not reach all", func() bool { return a.configVersion() == 7 && b.configVersion() == 7 })
	is.Equal(len(c.peers.aliveEntries()), 3)
}
