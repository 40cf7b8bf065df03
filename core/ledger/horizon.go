package ledger

import (
	"cmp"
	"slices"
	"time"
)

// Horizon tells up to which time a reader of the changes knows all rows. The zero value knows none.
//
// An answer with changes may have only a part of them, and does not tell that it has. It proves
// nothing by itself. Two other answers do:
//   - One without changes proves that all rows are known that were stored before its call was sent.
//   - One to any other call tells the newest version of the store. Rows that were stored before that
//     call was sent have this version at most, so they are known once the changes are read up to it.
type Horizon struct {
	// position is the version up to which all changes are known.
	position uint64
	// knownAt is the time before which each known row was stored, on the reader's clock.
	knownAt time.Time
	// marks have rising versions above position and rising times after knownAt.
	marks []mark
	// hadChanges is set if the newest answer to a poll had changes.
	hadChanges bool
}

// mark is the newest version of the store, as told by a call that was sent at sentAt.
type mark struct {
	version uint64
	sentAt  time.Time
}

const (
	// maxMarks limits the memory of a reader that is behind while it writes.
	maxMarks = 64
	// maxKnownAge is the age at which the newest version is read, so that KnownAt advances while each poll
	// has changes. It is well below the time for which ownership is confirmed.
	maxKnownAge = time.Second
)

// KnownAt returns a time of which all rows stored before it are known; zero if there is none.
func (h *Horizon) KnownAt() time.Time { return h.knownAt }

// Load takes the position after a read of all rows whose first call was sent at sentAt.
func (h *Horizon) Load(position uint64, sentAt time.Time) {
	h.advance(position)
	h.prove(sentAt)
	h.hadChanges = false
}

// TakeChanges takes the position after a poll that had changes.
func (h *Horizon) TakeChanges(position uint64) {
	h.advance(position)
	h.hadChanges = true
}

// TakeNone takes the position after a poll that was sent at sentAt and had no changes.
func (h *Horizon) TakeNone(position uint64, sentAt time.Time) { h.Load(position, sentAt) }

// TakeVersion takes the newest version of the store, as told by a call that was sent at sentAt.
func (h *Horizon) TakeVersion(version uint64, sentAt time.Time) {
	if version <= h.position {
		h.prove(sentAt)
		return
	}
	if !sentAt.After(h.knownAt) {
		return
	}
	from, _ := slices.BinarySearchFunc(h.marks, version, func(m mark, v uint64) int { return cmp.Compare(m.version, v) })
	if from > 0 && !h.marks[from-1].sentAt.Before(sentAt) {
		return // the one before proves as much, and earlier
	}
	to := from
	for to < len(h.marks) && !h.marks[to].sentAt.After(sentAt) {
		to++
	}
	h.marks = slices.Replace(h.marks, from, to, mark{version: version, sentAt: sentAt})
	if len(h.marks) > maxMarks {
		h.thin()
	}
}

// thin drops each second mark. The first one stays: it is the next to be reached, however many come.
func (h *Horizon) thin() {
	kept := h.marks[:0]
	for i, m := range h.marks {
		if i%2 == 0 || i == len(h.marks)-1 {
			kept = append(kept, m)
		}
	}
	h.marks = kept
}

func (h *Horizon) advance(position uint64) {
	h.position = max(h.position, position)
	for len(h.marks) > 0 && h.marks[0].version <= h.position {
		reached := h.marks[0]
		h.marks = h.marks[1:]
		h.prove(reached.sentAt)
	}
}

func (h *Horizon) prove(at time.Time) {
	if !at.After(h.knownAt) {
		return
	}
	h.knownAt = at
	for len(h.marks) > 0 && !h.marks[0].sentAt.After(at) {
		h.marks = h.marks[1:]
	}
}

// Target returns the newest version that the store is known to have; 0 if the changes are read up to
// it. An answer with changes that ends before it is followed by others at once.
func (h *Horizon) Target() uint64 {
	if len(h.marks) == 0 {
		return 0
	}
	return h.marks[len(h.marks)-1].version
}

// NeedsVersion reports whether the newest version of the store has to be read because polls have
// changes all the time: a question was asked at askedAt that only a later horizon answers, or the
// present one is old.
func (h *Horizon) NeedsVersion(now, askedAt time.Time) bool {
	if !h.hadChanges || len(h.marks) > 0 {
		return false
	}
	return h.knownAt.Before(askedAt) || now.Sub(h.knownAt) > maxKnownAge
}
