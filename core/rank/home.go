package rank

import (
	"slices"
	"strings"

	"github.com/dgryski/go-rendezvous"
	"github.com/zeebo/xxh3"
)

// evenUpTo is the number of agents up to which homes are dealt out in turn,
// which is even; beyond, by rendezvous hashing, which does not need all entries
// to see the same agents.
const evenUpTo = 64

// SetHomes gives each agent one of the entries as its home and marks those of self.
func (p *Pool) SetHomes(self string, entries []string) {
	if len(entries) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(entries))
	agents := slices.Clone(p.order)
	slices.SortFunc(agents, func(a, b *Agent) int { return strings.Compare(a.ID.Agent, b.ID.Agent) })
	ring := rendezvous.New(sorted, xxh3.HashString)
	for i, a := range agents {
		home := sorted[i%len(sorted)]
		if len(agents) > evenUpTo {
			home = ring.Lookup(a.ID.Agent)
		}
		a.Home = home == self
	}
}
