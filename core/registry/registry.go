// Package registry decides which rows of the platform's registry of entries are read by entries and
// agents, and which rows are removed.
//
// If every entry, and every agent that starts, read the whole registry, the load on the store would
// grow with the product of their number and the number of rows, and would peak when the whole fleet
// restarts. Reads are therefore bounded. The rows are ordered by the hashes of their addresses,
// which form the ring of package subset, and a read returns a limited number of rows from a ring
// position on. An agent reads a few rows from a position of its own; the entries found there tell
// it of all others. An entry reads the rows that follow its own, so that the reads of all entries
// together cover the ring.
//
// A row whose entry is not alive is stale. It is removed by the nearest live entry before it on the
// ring, once it has not changed for several reads. An entry that was partitioned, and finds its own
// row missing, registers again.
//
// The package is pure.
package registry

import (
	"fmt"

	"github.com/zeebo/xxh3"

	"peridotpick.example/wire/runs"
)

// Numbers of rows in one read.
const (
	// AgentReadLimit is the number of rows that an agent without links to entries reads: a single
	// live entry tells it of all others.
	AgentReadLimit = 3
	// EntryReadLimit is the number of rows that an entry reads from its own position on, its own row
	// included.
	EntryReadLimit = 16
)

// Row is the registration of one entry.
type Row struct {
	Entry runs.Entry
	// Version is the version that the store gives the row; it rises with each change.
	Version uint64
}

// RingPosition returns the ring position of an address.
func RingPosition(address string) uint64 { return xxh3.HashString(address) }

// Key returns the key of the row of an address.
func Key(address string) string { return FirstKey(RingPosition(address)) + "/" + address }

// FirstKey returns the first key at a ring position.
func FirstKey(position uint64) string { return fmt.Sprintf("%016x", position) }

// SearchPosition returns the ring position from which an agent reads at its given attempt to find
// entries.
func SearchPosition(agent string, attempt int) uint64 {
	return xxh3.HashString(fmt.Sprintf("%s/%d", agent, attempt))
}

// staleReads is the number of consecutive reads in which a row must be stale and unchanged before
// it is removed.
const staleReads = 3

// Watch tracks the rows that follow one entry's own on the ring.
type Watch struct {
	self  runs.Entry
	stale map[string]staleRow
}

// staleRow counts the consecutive reads in which a row was stale with the same version.
type staleRow struct {
	version uint64
	reads   int
}

// NewWatch returns a Watch for an entry that has not read any rows.
func NewWatch(self runs.Entry) *Watch { return &Watch{self: self} }

// Update takes the rows from this entry's own position on, in ring order. It returns the stale rows
// to remove, and whether this entry's own row is missing, so that it has to register again.
func (w *Watch) Update(rows []Row, alive func(address string) bool) (remove []Row, missing bool) {
	stale := make(map[string]staleRow)
	missing, responsible := true, true
	for _, r := range rows {
		address := r.Entry.Address
		switch {
		case address == w.self.Address:
			missing = r.Entry.Incarnation != w.self.Incarnation
		case alive(address):
			responsible = false // that live entry removes the stale rows after it
		case responsible:
			s := w.stale[address]
			if s.version != r.Version {
				s = staleRow{version: r.Version}
			}
			s.reads++
			stale[address] = s
			if s.reads >= staleReads {
				remove = append(remove, r)
			}
		}
	}
	w.stale = stale
	return remove, missing
}
