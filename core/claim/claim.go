// Package claim defines the claim, the durable record of a submission with a caller's key: which
// entry owns it, in which epoch, at which agents its tasks may have started, and how it ended.
//
// The table holds one row for each key. An entry inserts the row before any task starts. It
// replaces the row by compare-and-set on its version to take the submission over (epoch + 1), to
// add candidate agents, or to record the outcome. Each write carries a fresh nonce: when the
// answer to a write is lost, the same write is repeated, and a mismatch that shows the writer's
// own nonce means that the write was applied.
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

// Phases of a claim.
const (
	// Running: the owner may start tasks.
	Running Phase = iota
	// Closed: the submission has ended and the row holds its outcome.
	Closed
	// Void: the submission was refused and provably never ran. A resubmission may claim it again
	// with the next epoch.
	Void
)

// Candidate is an agent at which tasks of the submission may start. An owner starts tasks only at
// candidates that an applied write has recorded.
type Candidate struct {
	ID      rank.ID `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint"`
}

// Row is the content of a claim.
type Row struct {
	// Submission is the name returned by KeyedName.
	Submission string `cbor:"1,keyasint"`
	// Digest identifies the request; the same key with another digest is a conflict.
	Digest uint64 `cbor:"2,keyasint"`
	// Owner is the entry incarnation that may start tasks in Epoch.
	Owner wire.EntryInfo `cbor:"3,keyasint"`
	// Epoch is the fencing token: it rises with each change of owner, and agents refuse lower ones.
	Epoch uint64 `cbor:"4,keyasint"`
	// Nonce is a random number that identifies the write.
	Nonce uint64 `cbor:"5,keyasint"`
	Phase Phase  `cbor:"6,keyasint"`
	// Candidates are all agents that must be fenced at a takeover.
	Candidates []Candidate `cbor:"7,keyasint"`
	// Tasks is the number of tasks.
	Tasks uint32 `cbor:"8,keyasint"`
	// Deadline is by the clock of the entry that wrote the row. It only decides when the claim of a
	// lost owner is closed, never who may start a task.
	Deadline time.Time `cbor:"9,keyasint"`
	// Outcome is set in phase Closed.
	Outcome *wire.Outcome `cbor:"10,keyasint"`
	// Request is the encoded request of a submission that the caller polls for, so that another
	// entry can resume it. It is empty if the caller waits for the answer.
	Request []byte `cbor:"11,keyasint"`
	// Blob names the object that holds the whole row if that is too large for the table. Outcome
	// and Request are then absent here.
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
	// Expires is the time from which the write must not be sent if it has not been sent before. A
	// zero time means that it never expires.
	Expires time.Time
}

// Status is what is known about a write.
type Status uint8

// Statuses of a write. Unknown is followed by a definite one later.
const (
	// Applied: the row is stored as written, at Result.Version.
	Applied Status = iota
	// Mismatch: the table holds another version of the row, given in Result.Current, or no row.
	Mismatch
	// NotSent: the write expired before it was sent and has no effect.
	NotSent
	// Unknown: the write was sent; it is not known yet whether it took effect.
	Unknown
)

// Result reports the status of a write.
type Result struct {
	Submission string
	// Nonce is that of the write.
	Nonce  uint64
	Status Status
	// Version is that of the row now in the table.
	Version uint64
	// Current is the row in the table after a Mismatch, or nil if there is none.
	Current *Row
	// Outage is set with NotSent if the table service does not answer.
	Outage bool
}
