package ledger

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// Row is the stored content of a durable job.
type Row struct {
	Queue string     `cbor:"1,keyasint"`
	Owner runs.Entry `cbor:"2,keyasint"`
	// Epoch counts how often an entry became the owner; the first owner has epoch 1. An entry that
	// has interrupted the job becomes its owner anew.
	Epoch uint64         `cbor:"3,keyasint"`
	State batch.JobState `cbor:"4,keyasint"`
	// Writer is the incarnation of the entry that has written this row, Write the number of that
	// write. They let the writer recognise its own row after the answer to the write was lost.
	Writer uint64 `cbor:"5,keyasint"`
	Write  uint64 `cbor:"6,keyasint"`
	// Spec and Steps are empty once the job has ended.
	Spec  string       `cbor:"7,keyasint,omitempty"`
	Steps []batch.Step `cbor:"8,keyasint,omitempty"`
	// Progress tells, once the job has ended, which run completed each task.
	Progress []batch.TaskProgress `cbor:"9,keyasint,omitempty"`
	// StartedEpoch is the newest epoch whose owner may have started tasks; 0 if only the first
	// one has. Ends of runs of earlier epochs no longer count.
	StartedEpoch uint64 `cbor:"10,keyasint,omitempty"`
	// LastStarter is the owner of StartedEpoch, without its data centre, while the present owner has
	// a later epoch. Its runs may still go on. It is nil in rows of versions that do not store it.
	LastStarter *runs.Entry `cbor:"11,keyasint,omitempty"`
	// Terms is nil once the job has ended, and in rows of versions that do not store it.
	Terms *Terms `cbor:"12,keyasint,omitempty"`
	// Unstored is set if the job was cancelled while it had no row. Its state is cancelled then, and the
	// row keeps a later insert out.
	Unstored bool `cbor:"13,keyasint,omitempty"`
}

// starter returns the only entry whose runs may still go on; nil if it is not known. An owner starts
// tasks only after the runs of all its predecessors are over and StartedEpoch is stored.
func (r *Row) starter() *runs.Entry {
	if r.Epoch > max(r.StartedEpoch, 1) {
		return r.LastStarter
	}
	return &runs.Entry{Address: r.Owner.Address, Incarnation: r.Owner.Incarnation}
}

// Greatest encoded sizes in bytes. An integer takes its field number and up to 5 bytes.
const (
	// rowBytes is for the fields of a row besides its queue, specification, steps and progress.
	rowBytes = 320
	// stepBytes is for a step besides its texts, afterBytes for each step that it comes after.
	stepBytes  = 72
	afterBytes = 2
	// progressBytes is for the progress of a task without its checkpoint; textBytes for the length of
	// a text.
	progressBytes = 80
	textBytes     = 5
	// termsBytes is for the terms besides the service.
	termsBytes = 48
)

// maxSize returns the greatest size in bytes that the encoded row may grow to, without checkpoints.
func (r *Row) maxSize() int {
	size := rowBytes + len(r.Queue) + len(r.Spec)
	if r.Terms != nil {
		size += termsBytes + len(r.Terms.Service)
	}
	for _, s := range r.Steps {
		size += stepBytes + len(s.Requires) + len(s.DataRack) + afterBytes*len(s.After) + progressBytes*s.Count
	}
	return size
}

// CheckSize returns an error if the row may grow beyond a limit in bytes before its job has ended; 0
// means no limit.
func (r *Row) CheckSize(limit int) error {
	if size := r.maxSize(); limit > 0 && size > limit {
		return eris.Errorf("steps: with its progress the job takes up to %d bytes in the store, at most %d", size, limit)
	}
	return nil
}

// fit removes the checkpoints from the progress if the row might exceed a limit in bytes with them.
// Tasks whose next run no longer has one start from the beginning.
func (r *Row) fit(limit int) {
	size := r.maxSize()
	for _, p := range r.Progress {
		if p.Checkpoint != "" {
			size += textBytes + len(p.Checkpoint)
		}
	}
	if limit <= 0 || size <= limit {
		return
	}
	r.Progress = slices.Clone(r.Progress)
	for i := range r.Progress {
		r.Progress[i].Checkpoint = ""
	}
}

// Encode returns the CBOR encoding of r, as it is stored.
func (r *Row) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(r)
	return raw, eris.Wrap(err, "encode row of durable job")
}

// Decode decodes a stored row. Rows of other writers that no owner could run are errors.
func Decode(raw []byte) (*Row, error) {
	r := new(Row)
	if err := cbor.Unmarshal(raw, r); err != nil {
		return nil, eris.Wrap(err, "decode row of durable job")
	}
	if err := r.check(); err != nil {
		return nil, eris.Wrap(err, "row of durable job")
	}
	return r, nil
}

// check returns an error that names the field and the limit if no entry has written the row.
func (r *Row) check() error {
	if r.State > batch.JobCancelled {
		return eris.Errorf("state: %d, at most %d", r.State, batch.JobCancelled)
	}
	if r.Epoch > batch.MaxEpoch || r.StartedEpoch > r.Epoch {
		return eris.Errorf("epoch: %d, started %d, at most %d and in this order", r.Epoch, r.StartedEpoch, batch.MaxEpoch)
	}
	for _, p := range r.Progress {
		if p.Step < 0 || p.Index < 0 {
			return eris.Errorf("progress: step %d, task %d, from 0", p.Step, p.Index)
		}
	}
	if r.Unstored && r.State != batch.JobCancelled {
		return eris.Errorf("unstored: state %d, must be %d", r.State, batch.JobCancelled)
	}
	if err := r.Terms.check(); err != nil {
		return err
	}
	if r.State.Ended() {
		return nil // its steps are not stored
	}
	return batch.CheckSteps(r.Steps)
}

// StoredRow is a row together with its key and version in the store.
type StoredRow struct {
	Job string
	// Row is nil if the row was removed, or if it cannot be decoded here. Unreadable is set in the latter case.
	Row        *Row
	Unreadable bool
	// Version is the version that the store gives the row; it rises with each change. It is 0 if
	// the row does not exist.
	Version uint64
}

// Write is a conditional change of a row.
type Write struct {
	Job string
	// ExpectVersion is the version that the row must have; 0 if the row must not exist.
	ExpectVersion uint64
	// ExpectGuard is the version that the guard of the partition must have if ExpectVersion is 0; 0 if there
	// must be no guard.
	ExpectGuard uint64
	// RepeatUntil is when a write without a result is no longer repeated; zero if there is no limit.
	RepeatUntil time.Time
	// Row is the new content; nil removes the row.
	Row *Row
	// Urgent is set if a request waits for the write. An urgent write that the store rejects
	// several times fails; all others are repeated until they are carried out or meet a conflict.
	Urgent bool
	id     uint64
	seq    uint64
}

// WriteStatus is the status of a write.
type WriteStatus uint8

// Statuses of a write.
const (
	// Applied means that the write was carried out.
	Applied WriteStatus = iota + 1
	// Conflict means that the row has another version than expected; nothing was changed.
	Conflict
	// Rejected means that the store has rejected the write; nothing was changed, nor will be later.
	Rejected
	// Invalid means that the store accepts no such write, however often it is repeated.
	Invalid
	// GuardMoved means that the guard of the partition has another version than expected; nothing was
	// changed.
	GuardMoved
	// Abandoned means that the write is no longer repeated; its result is not known.
	Abandoned
)

// WriteResult is the result of a write.
type WriteResult struct {
	Status WriteStatus
	// Version is the new version of the row if the write was applied.
	Version uint64
	// Current is the row that the write has met if there was a conflict.
	Current StoredRow
	// Guard is the version of the guard if it has moved.
	Guard uint64
}
