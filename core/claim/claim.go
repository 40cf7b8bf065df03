// Package claim defines the durable record of a submission: who owns it, in
// which epoch, where its tasks may have been started, and how it ended.
//
// There is one row for each submission key. An entry inserts it before any
// task starts, replaces it by compare-and-set on its version to take it over
// (epoch + 1), to add candidate agents, or to record the outcome. Each write
// carries a fresh nonce: when the answer to a write is lost, the same write is
// repeated, and a mismatch that shows the writer's own nonce means success.
package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// Phase is the state of a claim.
type Phase uint8

// Phases of a claim. Void means that the submission was refused and provably
// never ran; a resubmission may claim it again with the next epoch.
const (
	Running Phase = iota
	Closed
	Void
)

// Candidate is an agent at which tasks of the submission may have started.
type Candidate struct {
	ID      rank.ID `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
}

// Row is the content of a claim.
type Row struct {
	Submission string `cbor:"1,keyasint"`
	// Digest identifies the request; the same key with another digest is a conflict.
	Digest uint64 `cbor:"2,keyasint"`
	// Owner is the entry incarnation that may start tasks in Epoch.
	Owner wire.EntryInfo `cbor:"3,keyasint"`
	Epoch uint64         `cbor:"4,keyasint"`
	// Nonce is fresh for each write.
	Nonce uint64 `cbor:"5,keyasint"`
	Phase Phase  `cbor:"6,keyasint"`
	// Candidates are all agents to fence at a takeover.
	Candidates []Candidate `cbor:"7,keyasint"`
	// Tasks is the number of tasks.
	Tasks uint32 `cbor:"8,keyasint"`
	// Deadline is by the clock of the entry that wrote the row; it only decides
	// when a sweep closes an orphan, never who may start a task.
	Deadline time.Time `cbor:"9,keyasint"`
	// Outcome is set in phase Closed.
	Outcome *wire.Outcome `cbor:"10,keyasint"`
	// Request is the encoded request of a submission accepted for later
	// polling, so that another entry can resume it; empty otherwise.
	Request []byte `cbor:"11,keyasint"`
	// Blob names the object that holds the whole row if it is too large for
	// the table; then Outcome and Request are absent here.
	Blob string `cbor:"12,keyasint"`
}

// Encode returns the stored form of r.
func (r *Row) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, eris.Wrap(err, "encode claim")
}

// Decode parses the stored form of a row.
func Decode(data []byte) (*Row, error) {
	row := new(Row)
	return row, eris.Wrap(cbor.Unmarshal(data, row), "decode claim")
}

// Write is a conditional write of a claim.
type Write struct {
	Row *Row
	// IfVersion is the version to replace; 0 means that no row may exist.
	IfVersion uint64
	// Expires is when the writer no longer wants an unsent write to be sent;
	// zero means never.
	Expires time.Time
}

// Status is what is known of a write.
type Status uint8

// Statuses of a write. Unknown is followed by a definite one later.
const (
	// Applied: the row is as written, at Version.
	Applied Status = iota
	// Mismatch: another row is in force, given with its version.
	Mismatch
	// NotSent: the write was withdrawn before it was sent.
	NotSent
	// Unknown: sent, fate not yet known.
	Unknown
)

// Result is the fate of a write.
type Result struct {
	Submission string
	// Nonce is that of the write.
	Nonce  uint64
	Status Status
	// Version is that of the row now in force.
	Version uint64
	// Current is the row in force after a Mismatch.
	Current *Row
	// Outage is true if the table service did not answer, for NotSent.
	Outage bool
}
