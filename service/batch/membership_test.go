package batch

import (
	"testing"

	"github.com/matryer/is"
)

// startMany runs entries that know the first one by its seed, and returns functions
// that end each of them.
func startMany(t *testing.T, n int) ([]*Entry, []func()) {
	t.Helper()
	entries, stops := make([]*Entry, 0, n), make([]func(), 0, n)
	var seeds []string
	for range n {
		e, stop := launch(t, &fakeStore{docs: make(chan *Document, 8)}, seeds...)
		if seeds == nil {
			seeds = []string{e.self.Address}
		}
		entries, stops = append(entries, e), append(stops, stop)
	}
	return entries, stops
}

func allKnow(entries []*Entry, n int) func() bool {
	return func() bool {
		for _, e := range entries {
			if e.peers.count() != n {
				return false
			}
		}
		return true
	}
}

func streams(e *Entry) int {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	return len(e.peers.streams)
}

// TestEntriesExchangeWithFewAndKnowAll: what a node says while nothing changes does not
// grow with the number of entries; one that ends is known to be gone by all.
func TestEntriesExchangeWithFewAndKnowAll(t *testing.T) {
	is := is.New(t)
	const n = 24
	entries, stops := startMany(t, n)
	waitFor(t, "not all know all", allKnow(entries, n))
	waitFor(t, "exchanges beyond those with neighbours stay open", func() bool {
		for _, e := range entries {
			if streams(e) > 14 { // five neighbours each way, some more while views settle
				return false
			}
		}
		return true
	})
	stops[5]()
	rest := append(append([]*Entry(nil), entries[:5]...), entries[6:]...)
	waitFor(t, "the end of one is not known to all", allKnow(rest, n-1))
	for _, e := range rest {
		is.Equal(len(e.peers.alive()), n-1)
	}
}

// TestLargeConfigurationIsPassedOnInParts: an entry that the store turns away gets a
// document of many parts from another one.
func TestLargeConfigurationIsPassedOnInParts(t *testing.T) {
	is := is.New(t)
	a, storeA := startEntry(t)
	b, storeB := startEntry(t, a.self.Address)
	doc := document(9)
	doc.Raw = make([]byte, 10*partSize+17)
	doc.Raw[0] = 9
	storeA.docs <- doc
	waitFor(t, "the document did not arrive", func() bool { return b.configVersion() == 9 })
	is.Equal(len(b.config.Load().Raw), 1) // as the stand-in parses it
	is.Equal(storeB.parsed.Load(), int64(1))
}
