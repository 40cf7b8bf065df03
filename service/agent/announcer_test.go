package agent

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/wire"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("192.0.2.%d:7101", i)
	}
	return list
}

// TestSubsetIsEvenAndStable: each entry gets an even share of the agents, and
// few links move when an entry goes.
func TestSubsetIsEvenAndStable(t *testing.T) {
	is := is.New(t)
	const agents, fanout = 540, 4
	entries := names(13)
	share := make(map[string]int)
	moved := 0
	for i := range agents {
		id := fmt.Sprintf("agent-%d", i)
		before := Subset(id, entries, fanout)
		is.Equal(len(before), fanout)
		kept := make(map[string]bool)
		for _, name := range before {
			share[name]++
			is.True(!kept[name])
			kept[name] = true
		}
		for _, name := range Subset(id, entries[:12], fanout) {
			if !kept[name] {
				moved++
			}
		}
	}
	for _, n := range share {
		is.True(n > 110 && n < 230) // 166 on average
	}
	is.Equal(moved, share[entries[12]]) // only the links of the entry that went
	is.Equal(Subset("a", entries[:3], fanout), entries[:3])
}

// TestOneOldListDoesNotHideAnEntry: found by the sweep over entries. The list of
// an entry that has not seen a new one yet must not replace that of another.
func TestOneOldListDoesNotHideAnEntry(t *testing.T) {
	is := is.New(t)
	a := wire.EntryInfo{ID: "a", Address: "192.0.2.1:1"}
	b := wire.EntryInfo{ID: "b", Address: "192.0.2.2:1"}
	n := newAnnouncer(nil)
	n.hear([]wire.EntryInfo{a})
	is.Equal(n.known(), []string{a.Address})
	n.linked(a, []wire.EntryInfo{a, b})
	n.linked(b, []wire.EntryInfo{b})
	n.hear([]wire.EntryInfo{b}) // an old answer to an announcement
	is.Equal(n.known(), []string{a.Address, b.Address})
	n.unlinked(a)
	is.Equal(n.known(), []string{b.Address})
}
