package ledger

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHorizonIsBehindAPartOfTheChanges guards against a part of the changes that is taken for all of them.
func TestHorizonIsBehindAPartOfTheChanges(t *testing.T) {
	is := is.New(t)
	var h Horizon
	h.Load(10, after(0))
	h.TakeVersion(30, after(100))
	h.TakeChanges(20)
	is.Equal(h.KnownAt(), after(0))
	is.Equal(h.Target(), uint64(30))
	h.TakeChanges(30)
	is.Equal(h.KnownAt(), after(100))
	is.Equal(h.Target(), uint64(0))
	h.TakeVersion(25, after(200)) // of a call whose answer was late
	is.Equal(h.KnownAt(), after(200))
	h.TakeNone(40, after(300))
	is.Equal(h.KnownAt(), after(300))
}

func TestHorizonAsksForTheVersionOnlyWhileItIsNeeded(t *testing.T) {
	is := is.New(t)
	var h Horizon
	h.Load(10, after(0))
	old := after(0).Add(maxKnownAge + time.Millisecond)
	is.True(!h.NeedsVersion(old, after(50))) // the next poll may have no changes
	h.TakeChanges(11)
	is.True(!h.NeedsVersion(after(50), after(0)))
	is.True(h.NeedsVersion(after(50), after(40)))
	is.True(h.NeedsVersion(old, after(0)))
	h.TakeVersion(12, after(60))
	is.True(!h.NeedsVersion(old, after(70))) // first the changes up to it are read
}

// modelStore is a store that gives parts of random size, of a table among others, with the time at which each
// row was stored.
type modelStore struct {
	rand *rand.Rand
	// storedAt has the time of each version from 1, isJob whether it is of the table that is read.
	storedAt []time.Time
	isJob    []bool
}

func (s *modelStore) write(now time.Time) {
	s.storedAt, s.isJob = append(s.storedAt, now), append(s.isJob, s.rand.IntN(3) > 0)
}

func (s *modelStore) version() uint64 { return uint64(len(s.storedAt)) }

// changes returns the number of rows of an answer for changes after a position, and the next position.
func (s *modelStore) changes(position uint64) (rows int, next uint64) {
	limit := 1 + s.rand.IntN(6)
	next = position
	for v := position + 1; v <= s.version() && rows < limit; v++ {
		if s.isJob[v-1] {
			rows, next = rows+1, v
		}
	}
	if rows == 0 {
		next = s.version()
	}
	return rows, next
}

// call is an answer that is under way.
type call struct {
	sentAt  time.Time
	version uint64
}

// TestHorizonNeverPassesAnUnreadRow plays readers of parts of random size, with answers to other calls that
// arrive late and in any order, and writes of a rate that differs. No row that was stored before the horizon
// is unread; while the reader reads faster than rows are written, the horizon is not older than a second.
func TestHorizonNeverPassesAnUnreadRow(t *testing.T) {
	for seed := range uint64(300) {
		playHorizon(t, seed)
	}
}

func playHorizon(t *testing.T, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	store := &modelStore{rand: r}
	var h Horizon
	var position uint64
	var late []call
	now := after(1)
	h.Load(0, now)
	for range 4000 {
		now = now.Add(time.Duration(r.IntN(4)) * time.Millisecond)
		for range r.IntN(3) {
			store.write(now)
		}
		switch {
		case r.IntN(4) == 0:
			late = append(late, call{now, store.version()})
		case r.IntN(3) == 0 && len(late) > 0:
			i := r.IntN(len(late))
			h.TakeVersion(late[i].version, late[i].sentAt)
			late = append(late[:i], late[i+1:]...)
		default:
			sentAt := now
			rows, next := store.changes(position)
			position = max(position, next)
			now = now.Add(time.Duration(r.IntN(3)) * time.Millisecond)
			if rows == 0 {
				h.TakeNone(next, sentAt)
			} else {
				h.TakeChanges(next)
			}
		}
		for v := position + 1; v <= store.version(); v++ {
			if store.isJob[v-1] && store.storedAt[v-1].Before(h.KnownAt()) {
				t.Fatalf("seed %d: row %d was stored %v before the horizon and is not read", seed, v, h.KnownAt().Sub(store.storedAt[v-1]))
			}
		}
		if len(h.marks) > maxMarks {
			t.Fatalf("seed %d: %d marks, at most %d", seed, len(h.marks), maxMarks)
		}
		if age := now.Sub(h.KnownAt()); age > time.Second {
			t.Fatalf("seed %d: the horizon is %v old", seed, age)
		}
	}
}

// TestHorizonOfAReaderThatIsFarBehind guards against marks without end, and against a horizon that stands
// still because newer marks take the place of those that are reached first.
func TestHorizonOfAReaderThatIsFarBehind(t *testing.T) {
	is := is.New(t)
	var h Horizon
	h.Load(1, after(0))
	for n := range 100_000 {
		h.TakeVersion(uint64(2+n), after(1+n))
		is.True(len(h.marks) <= maxMarks)
	}
	is.Equal(h.Target(), uint64(100_001))
	h.TakeChanges(2)
	is.Equal(h.KnownAt(), after(1))
	h.TakeChanges(60_000)
	is.True(!h.KnownAt().Before(after(1)) && h.KnownAt().Before(after(60_000)))
	h.TakeChanges(100_001)
	is.Equal(h.KnownAt(), after(100_000))
}
