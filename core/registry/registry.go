// Package registry decides what entries and agents read of the list of entries that the
// platform's store keeps, and which of its rows are removed.
//
// The load it answers: in a fleet of hundreds of entries a list that is read whole by each
// of them, and by each agent that has just started, costs the store the product of both,
// most of all when everything has just come back. Rows lie in the order of the hashed
// addresses, the ring of package subset. Whoever looks for others reads a bounded number of
// rows from one place on: an agent a few from a place of its own, which know the rest; an
// entry those that follow it on the ring, so that the reads of all entries together keep
// the ring whole.
//
// A row whose entry is gone is removed by the entry before it on the ring, after several
// reads in which the row has not changed. An entry that was cut off from the others, and
// finds its row missing, registers again.
//
// The package is pure.
package registry

import (
	"fmt"

	"github.com/zeebo/xxh3"

	"peridotpick.example/wire/runs"
)

// Rows that are read at a time.
const (
	// Few is what an agent without entries reads: one that lives tells it of all others.
	Few = 3
	// Followers is what an entry reads of those after it on the ring, itself included.
	Followers = 16
)

// Row is an entry as it is registered.
type Row struct {
	Entry runs.Entry
	// Version is the store's, which rises with each change of the row.
	Version uint64
}

// Place is where an address lies on the ring.
func Place(address string) uint64 { return xxh3.HashString(address) }

// Key is the key of an address's row.
func Key(address string) string { return From(Place(address)) + "/" + address }

// From is the first key from a place on.
func From(place uint64) string { return fmt.Sprintf("%016x", place) }

// SearchPlace is where an agent reads at an attempt to find entries.
func SearchPlace(agent string, attempt int) uint64 {
	return xxh3.HashString(fmt.Sprintf("%s/%d", agent, attempt))
}

// staleReads is the number of reads in a row after which a row whose entry is not alive is
// removed.
const staleReads = 3

// Watch follows the rows after one entry.
type Watch struct {
	self  runs.Entry
	stale map[string]staleRow
}

// staleRow is a row whose entry was not alive at the last reads.
type staleRow struct {
	version uint64
	reads   int
}

// NewWatch returns a watch for an entry that has read nothing.
func NewWatch(self runs.Entry) *Watch { return &Watch{self: self} }

// Read takes the rows from this entry's own place on. It returns those to remove, and
// whether this entry has to register again.
func (w *Watch) Read(rows []Row, alive func(address string) bool) (gone []Row, missing bool) {
	stale := make(map[string]staleRow)
	missing, mine := true, true
	for _, r := range rows {
		address := r.Entry.Address
		switch {
		case address == w.self.Address:
			missing = r.Entry.Incarnation != w.self.Incarnation
		case alive(address):
			mine = false // the rows after it are that entry's to remove
		case mine:
			s := w.stale[address]
			if s.version != r.Version {
				s = staleRow{version: r.Version}
			}
			s.reads++
			stale[address] = s
			if s.reads >= staleReads {
				gone = append(gone, r)
			}
		}
	}
	w.stale = stale
	return gone, missing
}
