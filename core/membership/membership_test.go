package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpick.example/core/subset"
	"peridotpick.example/wire/runs"
)

var begin = time.Unix(1000, 0)

func entry(n int) runs.Entry {
	return runs.Entry{Address: fmt.Sprintf("10.0.0.%d:7720", n), Incarnation: uint64(100 + n), DataCentre: "d"}
}

func TestJoinedAndGone(t *testing.T) {
	is := is.New(t)
	v := New(entry(1))
	alone := v.Digest()
	ch := v.Hear(begin, []runs.Member{{Entry: entry(2), Serial: 1}})
	is.Equal(ch.Joined, []runs.Entry{entry(2)})
	is.Equal(len(v.Hear(begin, []runs.Member{{Entry: entry(2), Serial: 1}}).Records), 0) // nothing new
	is.Equal(v.Alive(), []runs.Entry{entry(1), entry(2)})
	ch = v.Lost(begin, entry(2).Address)
	is.Equal(ch.Gone, []runs.Entry{entry(2)})
	is.Equal(v.Len(), 1)
	is.Equal(v.Digest(), alone)
	is.Equal(len(v.Hear(begin, []runs.Member{{Entry: entry(2), Serial: 1}}).Records), 0) // late word of another
	is.Equal(len(v.Hear(begin, []runs.Member{{Entry: entry(2), Serial: 2}}).Joined), 1)
}

func TestEntryThatIsSaidToBeGoneSetsItRight(t *testing.T) {
	is := is.New(t)
	v := New(entry(1))
	ch := v.Hear(begin, []runs.Member{{Entry: entry(1), Serial: 1, Gone: true}})
	is.Equal(ch.Records, []runs.Member{{Entry: entry(1), Serial: 2}})
	is.Equal(len(v.Hear(begin, []runs.Member{{Entry: entry(1), Serial: 1, Gone: true}}).Records), 0)
}

func TestNewProcessOutranksTheFormerOneAtItsAddress(t *testing.T) {
	is := is.New(t)
	former := runs.Member{Entry: runs.Entry{Address: entry(1).Address, Incarnation: 7}, Serial: 5}
	other := New(entry(2))
	other.Hear(begin, []runs.Member{former})
	fresh := New(entry(1))
	fresh.Hear(begin, other.Records())
	ch := other.Hear(begin, fresh.Records())
	is.Equal(ch.Joined, []runs.Entry{entry(1)})
	is.Equal(len(ch.Gone), 0)
	is.Equal(other.Digest(), fresh.Digest())
}

func TestGoneEntriesAreForgotten(t *testing.T) {
	is := is.New(t)
	v := New(entry(1))
	v.Hear(begin, []runs.Member{{Entry: entry(2), Serial: 1}})
	v.Lost(begin, entry(2).Address)
	v.Forget(begin.Add(remember))
	is.Equal(len(v.Records()), 2)
	v.Forget(begin.Add(remember + time.Second))
	is.Equal(len(v.Records()), 1)
	is.Equal(len(v.Hear(begin, []runs.Member{{Entry: entry(2), Serial: 1, Gone: true}}).Records), 0) // not known: not of interest
}

func TestWordOfShortageReachesAll(t *testing.T) {
	is := is.New(t)
	v, other := New(entry(1)), New(entry(2))
	other.Hear(begin, v.Records())
	ch := v.SetShort(true)
	is.Equal(len(v.SetShort(true).Records), 0)
	joined := other.Hear(begin, ch.Records).Joined
	is.Equal(len(joined), 1)
	is.True(joined[0].Short)
	is.Equal(len(other.Hear(begin, v.SetShort(false).Records).Joined), 1)
	is.True(!other.Alive()[1].Short)
}

// net is a number of views that exchange with their neighbours, in rounds.
type net struct {
	views map[string]*View
	all   []string
	cut   map[string]bool
}

func newNet(n int) *net {
	w := &net{views: make(map[string]*View), cut: make(map[string]bool)}
	for i := range n {
		w.views[entry(i).Address] = New(entry(i))
		w.all = append(w.all, entry(i).Address)
	}
	return w
}

// round has each entry that is not cut off exchange with its neighbours among all.
func (w *net) round() {
	for _, a := range w.all {
		for _, b := range subset.Neighbours(a, w.all) {
			if w.cut[a] || w.cut[b] {
				continue
			}
			x, y := w.views[a], w.views[b]
			y.Hear(begin, x.Records())
			x.Hear(begin, y.Records())
		}
	}
}

// TestViewsAgree: whatever is lost falsely, and in whatever order, all views agree on
// who is alive after some rounds of exchanges.
func TestViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "entries")
		w := newNet(n)
		w.round()
		for range rapid.IntRange(0, 20).Draw(t, "losses") {
			a := w.all[rapid.IntRange(0, n-1).Draw(t, "who")]
			b := w.all[rapid.IntRange(0, n-1).Draw(t, "whom")]
			w.views[a].Lost(begin, b)
			if rapid.Bool().Draw(t, "round") {
				w.round()
			}
		}
		for range 8 {
			w.round()
		}
		for _, address := range w.all {
			if v := w.views[address]; v.Len() != n || v.Digest() != w.views[w.all[0]].Digest() {
				t.Fatalf("%s knows %d of %d", address, v.Len(), n)
			}
		}
	})
}

// TestEntryThatWasCutOffIsBack: nobody counts on it while it is away, all do afterwards.
func TestEntryThatWasCutOffIsBack(t *testing.T) {
	is := is.New(t)
	w := newNet(20)
	for range 3 {
		w.round()
	}
	away := w.all[7]
	w.cut[away] = true
	for _, a := range w.all {
		if a != away {
			w.views[a].Lost(begin, away)
			w.views[away].Lost(begin, a)
		}
	}
	w.round()
	is.Equal(w.views[w.all[0]].Len(), 19)
	is.Equal(w.views[away].Len(), 1)
	w.cut[away] = false
	for range 4 {
		w.round()
	}
	for _, a := range w.all {
		is.Equal(w.views[a].Len(), 20)
	}
}
