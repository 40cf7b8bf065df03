package registry

import (
	"fmt"
	"sort"
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/wire/runs"
)

// fakeStore keeps the rows in the order of their keys and counts the rows that are read.
type fakeStore struct {
	rows     map[string]Row
	version  uint64
	rowsRead int
}

func newFakeStore() *fakeStore { return &fakeStore{rows: make(map[string]Row)} }

func (s *fakeStore) register(e runs.Entry) {
	s.version++
	s.rows[Key(e.Address)] = Row{Entry: e, Version: s.version}
}

// readFrom returns up to limit rows from a ring position on, across the end of the ring.
func (s *fakeStore) readFrom(position uint64, limit int) []Row {
	keys := make([]string, 0, len(s.rows))
	for k := range s.rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	at := sort.SearchStrings(keys, FirstKey(position))
	var list []Row
	for n := range min(limit, len(keys)) {
		list = append(list, s.rows[keys[(at+n)%len(keys)]])
	}
	s.rowsRead += len(list)
	return list
}

func entryOf(n int) runs.Entry {
	return runs.Entry{Address: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250), Incarnation: uint64(n + 1)}
}

// TestStaleRowsAreRemoved checks that the registry holds few stale rows, and all rows of live
// entries, after many entries were replaced.
func TestStaleRowsAreRemoved(t *testing.T) {
	is := is.New(t)
	const live, replaced = 60, 10_000
	s := newFakeStore()
	alive := make(map[string]bool)
	watches := make(map[string]*Watch)
	join := func(n int) {
		e := entryOf(n)
		alive[e.Address] = true
		watches[e.Address] = NewWatch(e)
		s.register(e)
	}
	for n := range live {
		join(n)
	}
	for n := range replaced {
		old := entryOf(n)
		delete(alive, old.Address)
		delete(watches, old.Address)
		join(live + n)
		if n%20 > 0 { // 20 entries are replaced between two reads
			continue
		}
		for address, w := range watches {
			stale, missing := w.Update(s.readFrom(RingPosition(address), EntryReadLimit), func(a string) bool { return alive[a] })
			is.True(!missing)
			for _, r := range stale {
				is.True(!alive[r.Entry.Address])
				delete(s.rows, Key(r.Entry.Address))
			}
		}
	}
	is.True(len(s.rows) < 3*live)
	for address := range alive {
		_, known := s.rows[Key(address)]
		is.True(known)
	}
}

// TestReadsAreBounded checks that the number of rows in one read does not grow with the fleet.
func TestReadsAreBounded(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{50, 200, 800} {
		s := newFakeStore()
		for i := range n {
			s.register(entryOf(i))
		}
		is.Equal(len(s.readFrom(RingPosition(entryOf(0).Address), EntryReadLimit)), EntryReadLimit)
		is.Equal(len(s.readFrom(SearchPosition("a", 1), AgentReadLimit)), AgentReadLimit)
		is.Equal(s.rowsRead, EntryReadLimit+AgentReadLimit)
	}
}

// TestAgentsSearchAtEvenlySpreadPositions checks that no entry is found first by far more agents
// than others are.
func TestAgentsSearchAtEvenlySpreadPositions(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	for i := range 184 {
		s.register(entryOf(i))
	}
	asked := make(map[string]int)
	for a := range 804 {
		for _, r := range s.readFrom(SearchPosition(fmt.Sprint("agent", a), 0), AgentReadLimit) {
			asked[r.Entry.Address]++
		}
	}
	most := 0
	for _, n := range asked {
		most = max(most, n)
	}
	is.True(most < 804/10)
}

func TestRowThatChangesIsNotRemoved(t *testing.T) {
	is := is.New(t)
	self, other := entryOf(1), entryOf(2)
	w := NewWatch(self)
	dead := func(string) bool { return false }
	for v := range uint64(10) { // the entry restarts between any two reads
		stale, _ := w.Update([]Row{{self, 1}, {other, v}}, dead)
		is.Equal(len(stale), 0)
	}
	for n := range staleReads {
		stale, _ := w.Update([]Row{{self, 1}, {other, 9}}, dead)
		is.Equal(len(stale) > 0, n >= staleReads-2)
	}
}

func TestEntryWhoseRowIsMissingRegistersAgain(t *testing.T) {
	is := is.New(t)
	self := entryOf(1)
	w := NewWatch(self)
	_, missing := w.Update(nil, nil)
	is.True(missing)
	previous := self
	previous.Incarnation = 99
	_, missing = w.Update([]Row{{previous, 1}}, nil)
	is.True(missing)
	_, missing = w.Update([]Row{{self, 1}}, nil)
	is.True(!missing)
}

// TestOnlyThePrecedingEntryRemovesAStaleRow checks that an entry leaves a stale row to a live entry
// between itself and that row.
func TestOnlyThePrecedingEntryRemovesAStaleRow(t *testing.T) {
	is := is.New(t)
	far, near, stale := entryOf(1), entryOf(2), entryOf(3)
	rows := []Row{{far, 1}, {near, 2}, {stale, 3}}
	alive := func(a string) bool { return a != stale.Address }
	w := NewWatch(far)
	for range 5 {
		list, _ := w.Update(rows, alive)
		is.Equal(len(list), 0)
	}
}
