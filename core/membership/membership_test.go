package membership

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpick.example/core/subset"
	"peridotpick.example/wire/runs"
)

var start = time.Unix(1000, 0)

func entry(n int) runs.Entry {
	return runs.Entry{Address: fmt.Sprintf("10.0.0.%d:7720", n), Incarnation: uint64(100 + n), DataCentre: "d"}
}

func TestJoinedAndGone(t *testing.T) {
	is := is.New(t)
	v := New(entry(1))
	alone := v.Digest()
	ch := v.Merge(start, []runs.Member{{Entry: entry(2), Serial: 1}})
	is.Equal(ch.Joined, []runs.Entry{entry(2)})
	is.Equal(len(v.Merge(start, []runs.Member{{Entry: entry(2), Serial: 1}}).Records), 0) // nothing new
	is.Equal(v.Alive(), []runs.Entry{entry(1), entry(2)})
	ch = v.MarkGone(start, entry(2).Address)
	is.Equal(ch.Gone, []runs.Entry{entry(2)})
	is.Equal(v.AliveCount(), 1)
	is.Equal(v.Digest(), alone)
	is.Equal(len(v.Merge(start, []runs.Member{{Entry: entry(2), Serial: 1}}).Records), 0) // an older record from another entry
	is.Equal(len(v.Merge(start, []runs.Member{{Entry: entry(2), Serial: 2}}).Joined), 1)
}

func TestLiveEntryOutranksRecordThatItIsGone(t *testing.T) {
	is := is.New(t)
	v := New(entry(1))
	ch := v.Merge(start, []runs.Member{{Entry: entry(1), Serial: 1, Gone: true}})
	is.Equal(ch.Records, []runs.Member{{Entry: entry(1), Serial: 2}})
	is.Equal(len(v.Merge(start, []runs.Member{{Entry: entry(1), Serial: 1, Gone: true}}).Records), 0)
}

func TestNewProcessOutranksThePreviousOneAtItsAddress(t *testing.T) {
	is := is.New(t)
	previous := runs.Member{Entry: runs.Entry{Address: entry(1).Address, Incarnation: 7}, Serial: 5}
	other := New(entry(2))
	other.Merge(start, []runs.Member{previous})
	fresh := New(entry(1))
	fresh.Merge(start, other.Records())
	ch := other.Merge(start, fresh.Records())
	is.Equal(ch.Joined, []runs.Entry{entry(1)})
	is.Equal(len(ch.Gone), 0)
	is.Equal(other.Digest(), fresh.Digest())
}

func TestGoneEntriesAreForgotten(t *testing.T) {
	is := is.New(t)
	v := New(entry(1))
	v.Merge(start, []runs.Member{{Entry: entry(2), Serial: 1}})
	v.MarkGone(start, entry(2).Address)
	v.ForgetGone(start.Add(goneRetention))
	is.Equal(len(v.Records()), 2)
	v.ForgetGone(start.Add(goneRetention + time.Second))
	is.Equal(len(v.Records()), 1)
	is.Equal(len(v.Merge(start, []runs.Member{{Entry: entry(2), Serial: 1, Gone: true}}).Records), 0) // unknown and gone
}

func TestShortEntryIsAnnounced(t *testing.T) {
	is := is.New(t)
	v, other := New(entry(1)), New(entry(2))
	other.Merge(start, v.Records())
	ch := v.SetShort(true)
	is.Equal(len(v.SetShort(true).Records), 0)
	joined := other.Merge(start, ch.Records).Joined
	is.Equal(len(joined), 1)
	is.True(joined[0].ShortOfAgents)
	is.Equal(len(other.Merge(start, v.SetShort(false).Records).Joined), 1)
	is.True(!other.Alive()[1].ShortOfAgents)
}

// TestLacksAreAnnounced follows what an entry lacks: others hear of each change and each repetition,
// and that the entry is gone or new.
func TestLacksAreAnnounced(t *testing.T) {
	is := is.New(t)
	v, other := New(entry(1)), New(entry(2))
	is.Equal(len(other.Merge(start, v.Records()).Lacking), 0)
	lacks := []runs.Lack{{Requirement: runs.Requirement{Service: "s", Label: "r1"}, Limit: 3}}
	ch := v.SetLacks(lacks)
	// An entry that does not know of lacks passes the record on without them.
	stripped := ch.Records[0]
	stripped.Lacks = nil
	is.Equal(len(other.Merge(start, []runs.Member{stripped}).Lacking), 0)
	is.Equal(len(other.Merge(start, ch.Records).Lacking), 0)
	got := other.Merge(start, v.SetLacks(lacks).Records)
	is.Equal(len(got.Lacking), 1)
	is.Equal(got.Lacking[0].Lacks, lacks)
	is.Equal(len(got.Joined), 0)
	is.Equal(len(other.Merge(start, v.SetLacks(nil).Records).Lacking), 1)
	other.Merge(start, v.SetLacks(lacks).Records)
	gone := other.MarkGone(start, entry(1).Address)
	is.Equal(len(gone.Lacking), 1)
	is.True(gone.Lacking[0].Gone)
}

// TestEntryOutlivesOddRecordsOfItself guards against an entry that counts as gone for good: a record of its
// address has a serial number to which nothing can be added.
func TestEntryOutlivesOddRecordsOfItself(t *testing.T) {
	for _, serial := range []uint64{math.MaxUint64, math.MaxUint64 - 1, 1 << 63, 1<<63 - 1, 1 << 62, 1<<62 - 1, 1 << 40} {
		for _, gone := range []bool{false, true} {
			is := is.New(t)
			v, other := New(entry(1)), New(entry(2))
			other.Merge(start, v.Records())
			odd := runs.Member{Entry: entry(1), Serial: serial, Gone: gone}
			odd.Entry.Incarnation = 3
			other.Merge(start, []runs.Member{odd})
			v.Merge(start, other.Records())
			other.Merge(start, v.Records())
			is.True(other.IsAlive(entry(1).Address))
			is.Equal(other.Alive()[1], entry(1))
			is.Equal(other.Digest(), v.Digest())
			gone := other.MarkGone(start, entry(1).Address)
			is.Equal(len(gone.Gone), 1)
			v.Merge(start, other.Records())
			other.Merge(start, v.Records())
			is.True(other.IsAlive(entry(1).Address))
		}
	}
}

// FuzzMerge verifies that an entry is alive in another one's view once they have exchanged their records
// after an odd one.
func FuzzMerge(f *testing.F) {
	f.Add(uint64(math.MaxUint64), uint64(3), true)
	f.Add(uint64(1<<62), uint64(0), false)
	f.Fuzz(func(t *testing.T, serial, incarnation uint64, gone bool) {
		v, other := New(entry(1)), New(entry(2))
		odd := runs.Member{Entry: entry(1), Serial: serial, Gone: gone}
		odd.Entry.Incarnation = incarnation
		other.Merge(start, []runs.Member{odd})
		v.Merge(start, other.Records())
		other.Merge(start, v.Records())
		if !other.IsAlive(entry(1).Address) || other.Alive()[1] != entry(1) {
			t.Fatalf("not alive: %+v", other.Records())
		}
	})
}

// network is a set of views that exchange their records with their neighbours in rounds.
type network struct {
	views       map[string]*View
	all         []string
	partitioned map[string]bool
}

func newNetwork(n int) *network {
	w := &network{views: make(map[string]*View), partitioned: make(map[string]bool)}
	for i := range n {
		w.views[entry(i).Address] = New(entry(i))
		w.all = append(w.all, entry(i).Address)
	}
	return w
}

// round has each entry that is not partitioned exchange its records with its neighbours.
func (w *network) round() {
	for _, a := range w.all {
		for _, b := range subset.Neighbours(a, w.all) {
			if w.partitioned[a] || w.partitioned[b] {
				continue
			}
			x, y := w.views[a], w.views[b]
			y.Merge(start, x.Records())
			x.Merge(start, y.Records())
		}
	}
}

// TestViewsConverge checks that all views agree on the live entries after some rounds of gossip,
// whichever live entries were wrongly declared gone before, and in whatever order.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "entries")
		w := newNetwork(n)
		w.round()
		for range rapid.IntRange(0, 20).Draw(t, "losses") {
			a := w.all[rapid.IntRange(0, n-1).Draw(t, "who")]
			b := w.all[rapid.IntRange(0, n-1).Draw(t, "whom")]
			w.views[a].MarkGone(start, b)
			if rapid.Bool().Draw(t, "round") {
				w.round()
			}
		}
		for range 8 {
			w.round()
		}
		for _, address := range w.all {
			if v := w.views[address]; v.AliveCount() != n || v.Digest() != w.views[w.all[0]].Digest() {
				t.Fatalf("%s knows %d of %d", address, v.AliveCount(), n)
			}
		}
	})
}

// TestEntryRejoinsAfterAPartition checks that a partitioned entry is gone from all other views, and
// is back in all of them after the partition has ended.
func TestEntryRejoinsAfterAPartition(t *testing.T) {
	is := is.New(t)
	w := newNetwork(20)
	for range 3 {
		w.round()
	}
	isolated := w.all[7]
	w.partitioned[isolated] = true
	for _, a := range w.all {
		if a != isolated {
			w.views[a].MarkGone(start, isolated)
			w.views[isolated].MarkGone(start, a)
		}
	}
	w.round()
	is.Equal(w.views[w.all[0]].AliveCount(), 19)
	is.Equal(w.views[isolated].AliveCount(), 1)
	w.partitioned[isolated] = false
	for range 4 {
		w.round()
	}
	for _, a := range w.all {
		is.Equal(w.views[a].AliveCount(), 20)
	}
}
