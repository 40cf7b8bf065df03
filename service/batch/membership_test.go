package batch

import (
	"testing"

	"github.com/matryer/is"
)

// startEntries runs n entries, all but the first with the first one as their seed. It returns
// functions that stop each of them.
func startEntries(t *testing.T, n int) ([]*Entry, []func()) {
	t.Helper()
	entries, stops := make([]*Entry, 0, n), make([]func(), 0, n)
	var seeds []string
	for range n {
		e, stop := launchEntry(t, &fakeStore{docs: make(chan *Document, 8)}, seeds...)
		if seeds == nil {
			seeds = []string{e.self.Address}
		}
		entries, stops = append(entries, e), append(stops, stop)
	}
	return entries, stops
}

func allKnowCount(entries []*Entry, n int) func() bool {
	return func() bool {
		for _, e := range entries {
			if e.peers.aliveCount() != n {
				return false
			}
		}
		return true
	}
}

func openExchanges(e *Entry) int {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	return len(e.peers.exchanges)
}

// TestEntriesExchangeWithFewAndKnowAll checks that the number of exchanges of an entry does not
// grow with the number of entries, and that all entries learn that one has stopped.
func TestEntriesExchangeWithFewAndKnowAll(t *testing.T) {
	is := is.New(t)
	const n = 24
	entries, stops := startEntries(t, n)
	waitFor(t, "some entries do not know all others", allKnowCount(entries, n))
	waitFor(t, "exchanges beyond those with neighbours stay open", func() bool {
		for _, e := range entries {
			if openExchanges(e) > 14 { // five neighbours in each direction, and some more until the views agree
				return false
			}
		}
		return true
	})
	stops[5]()
	rest := append(append([]*Entry(nil), entries[:5]...), entries[6:]...)
	waitFor(t, "some entries do not know that one has stopped", allKnowCount(rest, n-1))
	for _, e := range rest {
		is.Equal(len(e.peers.aliveEntries()), n-1)
	}
}

// TestLargeConfigurationIsSentInChunks checks that an entry without access to the store gets a
// configuration of several chunks from another one.
func TestLargeConfigurationIsSentInChunks(t *testing.T) {
	is := is.New(t)
	a, storeA := startEntry(t)
	b, storeB := startEntry(t, a.self.Address)
	doc := document(9)
	doc.Raw = make([]byte, 10*chunkSize+17)
	doc.Raw[0] = 9
	storeA.docs <- doc
	waitFor(t, "the document did not arrive", func() bool { return b.configVersion() == 9 })
	is.Equal(len(b.config.Load().Raw), 1) // as the fake store parses it
	is.Equal(storeB.parsed.Load(), int64(1))
}
