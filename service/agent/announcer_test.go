package agent

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/wire"
)

func entryAddresses(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("192.0.2.%d:7101", i)
	}
	return list
}

// TestSubsetIsEvenAndStable checks that each entry gets an even share of the agents, and that only
// the links to a removed entry move.
func TestSubsetIsEvenAndStable(t *testing.T) {
	is := is.New(t)
	const agents, fanout = 540, 4
	entries := entryAddresses(13)
	share := make(map[string]int)
	moved := 0
	for i := range agents {
		id := fmt.Sprintf("agent-%d", i)
		before := subset(id, entries, fanout)
		is.Equal(len(before), fanout)
		inSubset := make(map[string]bool)
		for _, name := range before {
			share[name]++
			is.True(!inSubset[name])
			inSubset[name] = true
		}
		for _, name := range subset(id, entries[:12], fanout) {
			if !inSubset[name] {
				moved++
			}
		}
	}
	for _, n := range share {
		is.True(n > 110 && n < 230) // 166 on average
	}
	is.Equal(moved, share[entries[12]]) // only the links of the removed entry
	is.Equal(subset("a", entries[:3], fanout), entries[:3])
}

// TestOutdatedListOfOneEntryDoesNotHideAnother guards against losing a live entry: the list of an
// entry that does not know a new entry yet must not replace the list of another entry.
func TestOutdatedListOfOneEntryDoesNotHideAnother(t *testing.T) {
	is := is.New(t)
	a := wire.EntryInfo{ID: "a", Address: "192.0.2.1:1"}
	b := wire.EntryInfo{ID: "b", Address: "192.0.2.2:1"}
	n := newAnnouncer(nil)
	n.updateFallback([]wire.EntryInfo{a})
	is.Equal(n.knownAddresses(), []string{a.Address})
	n.addLink(a, []wire.EntryInfo{a, b})
	n.addLink(b, []wire.EntryInfo{b})
	n.updateFallback([]wire.EntryInfo{b}) // an outdated answer to an announcement
	is.Equal(n.knownAddresses(), []string{a.Address, b.Address})
	n.removeLink(a)
	is.Equal(n.knownAddresses(), []string{b.Address})
}
