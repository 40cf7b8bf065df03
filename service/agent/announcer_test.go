package agent

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
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
