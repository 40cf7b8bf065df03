package ledger

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// Row is a durable job as the store keeps it.
type Row struct {
	Queue string     `cbor:"1,keyasint"`
	Owner runs.Entry `cbor:"2,keyasint"`
	// Epoch counts the owners.
	Epoch uint64         `cbor:"3,keyasint"`
	State batch.JobState `cbor:"4,keyasint"`
	// Writer and Write name the write that made this row, so that its writer knows
	// it again after a lost answer.
	Writer uint64 `cbor:"5,keyasint"`
	Write  uint64 `cbor:"6,keyasint"`
	// Spec and Steps are dropped once the job has ended.
	Spec  string       `cbor:"7,keyasint,omitempty"`
	Steps []batch.Step `cbor:"8,keyasint,omitempty"`
	// Progress of an ended job tells which run of each task counted.
	Progress []batch.TaskProgress `cbor:"9,keyasint,omitempty"`
}

// Encode returns the row as it is stored.
func (r *Row) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(r)
	return raw, eris.Wrap(err, "encode job")
}

// Decode reads a stored row.
func Decode(raw []byte) (*Row, error) {
	r := new(Row)
	return r, eris.Wrap(cbor.Unmarshal(raw, r), "decode job")
}

// Stored is a row with its place in the store.
type Stored struct {
	Job string
	// Row is nil if the row was removed.
	Row *Row
	// Version is the store's, which rises with each change; 0 for a row that does
	// not exist.
	Version uint64
}

// Write changes a row if it still has a version.
type Write struct {
	Job string
	// Expect is the version that the row must have; 0 if it must not exist.
	Expect uint64
	// Row is the new content; nil removes the row.
	Row *Row
	// Urgent writes have somebody waiting for them: they are given up if the store
	// refuses them. Others are repeated.
	Urgent bool
	id     uint64
	seq    uint64
}

// Fate is what became of a write.
type Fate uint8

// Fates.
const (
	// Applied: the write was carried out.
	Applied Fate = iota + 1
	// Conflict: the row had another version; nothing was changed.
	Conflict
	// NotDone: the store refused the write; nothing was or will be changed.
	NotDone
)

// Outcome is what became of a write.
type Outcome struct {
	Fate Fate
	// Version is the row's new one if the write was applied.
	Version uint64
	// Current is the row that the write met if it conflicted.
	Current Stored
}
