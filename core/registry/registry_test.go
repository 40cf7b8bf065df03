package registry

import (
	"fmt"
	"sort"
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/wire/runs"
)

// store keeps rows in the order of their keys.
type store struct {
	rows    map[string]Row
	version uint64
	read    int
}

func newStore() *store { return &store{rows: make(map[string]Row)} }

func (s *store) register(e runs.Entry) {
	s.version++
	s.rows[Key(e.Address)] = Row{Entry: e, Version: s.version}
}

// from reads rows from a place on, round the ring.
func (s *store) from(place uint64, limit int) []Row {
	keys := make([]string, 0, len(s.rows))
	for k := range s.rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	at := sort.SearchStrings(keys, From(place))
	var list []Row
	for n := range min(limit, len(keys)) {
		list = append(list, s.rows[keys[(at+n)%len(keys)]])
	}
	s.read += len(list)
	return list
}

func entryOf(n int) runs.Entry {
	return runs.Entry{Address: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250), Incarnation: uint64(n + 1)}
}

// TestRowsEndWithTheirEntries: after many entries were replaced the registry has those that
// live, and a little more.
func TestRowsEndWithTheirEntries(t *testing.T) {
	is := is.New(t)
	const live, replaced = 60, 10_000
	s := newStore()
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
		if n%20 > 0 { // twenty are replaced between two reads
			continue
		}
		for address, w := range watches {
			gone, missing := w.Read(s.from(Place(address), Followers), func(a string) bool { return alive[a] })
			is.True(!missing)
			for _, r := range gone {
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

// TestReadsAreBounded: what a node reads does not grow with the fleet.
func TestReadsAreBounded(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{50, 200, 800} {
		s := newStore()
		for i := range n {
			s.register(entryOf(i))
		}
		is.Equal(len(s.from(Place(entryOf(0).Address), Followers)), Followers)
		is.Equal(len(s.from(SearchPlace("a", 1), Few)), Few)
		is.Equal(s.read, Followers+Few)
	}
}

// TestAgentsStartAtAllEntriesAlike: none has many more of them than others.
func TestAgentsStartAtAllEntriesAlike(t *testing.T) {
	is := is.New(t)
	s := newStore()
	for i := range 184 {
		s.register(entryOf(i))
	}
	asked := make(map[string]int)
	for a := range 804 {
		for _, r := range s.from(SearchPlace(fmt.Sprint("agent", a), 0), Few) {
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
	for v := range uint64(10) { // it restarts all the time
		gone, _ := w.Read([]Row{{self, 1}, {other, v}}, dead)
		is.Equal(len(gone), 0)
	}
	for n := range staleReads {
		gone, _ := w.Read([]Row{{self, 1}, {other, 9}}, dead)
		is.Equal(len(gone) > 0, n >= staleReads-2)
	}
}

func TestEntryWhoseRowIsMissingRegistersAgain(t *testing.T) {
	is := is.New(t)
	self := entryOf(1)
	w := NewWatch(self)
	_, missing := w.Read(nil, nil)
	is.True(missing)
	former := self
	former.Incarnation = 99
	_, missing = w.Read([]Row{{former, 1}}, nil)
	is.True(missing)
	_, missing = w.Read([]Row{{self, 1}}, nil)
	is.True(!missing)
}

// TestOneEntryRemovesARow: those further before it leave it to the nearest one.
func TestOneEntryRemovesARow(t *testing.T) {
	is := is.New(t)
	far, near, gone := entryOf(1), entryOf(2), entryOf(3)
	rows := []Row{{far, 1}, {near, 2}, {gone, 3}}
	alive := func(a string) bool { return a != gone.Address }
	w := NewWatch(far)
	for range 5 {
		list, _ := w.Read(rows, alive)
		is.Equal(len(list), 0)
	}
}
