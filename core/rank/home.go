package rank

import (
	"slices"
	"strings"

	"github.com/dgryski/go-rendezvous"
	"github.com/zeebo/xxh3"
)

// roundRobinUpTo is the highest number of agents to which homes are assigned round-robin, which is
// even. More agents are assigned by rendezvous hashing, which does not need all entries to see the
// same agents.
const roundRobinUpTo = 64

// SetHomes assigns one of the entries to each agent as its home, and sets Agent.IsHome where that is
// self.
func (p *Pool) SetHomes(self string, entries []string) {
	if len(entries) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(entries))
	agents := slices.Clone(p.order)
	slices.SortFunc(agents, func(a, b *Agent) int { return strings.Compare(a.ID.Agent, b.ID.Agent) })
	hashing := rendezvous.New(sorted, xxh3.HashString)
	for i, a := range agents {
		home := sorted[i%len(sorted)]
		if len(agents) > roundRobinUpTo {
			home = hashing.Lookup(a.ID.Agent)
		}
		a.IsHome = home == self
	}
}
