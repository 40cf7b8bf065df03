// Package subset chooses the entries that an agent keeps links to, and the entries
// that an entry exchanges its view of the others with.
//
// The load it answers: a fleet in which every agent has a link to every entry has
// as many links as the product of both, each with its own beats, news of load and
// buffers. At 55 entries and 240 agents that is 13,200 links, and an entry's whole
// processor on a calm day. With a bounded subset the cost of a node does not grow with
// the fleet.
//
// All choices are made by rendezvous hashing over the entries that are known, without
// any agreement: an entry that comes or goes changes the choice of few agents. A fleet
// with fewer entries than the limit is linked completely.
//
// The package is pure: the same input gives the same choice.
package subset

import (
	"math/bits"
	"slices"
	"sort"

	"github.com/zeebo/xxh3"

	"peridotpick.example/wire/runs"
)

// Limits of an agent's links.
const (
	// Total is the number of entries that an agent has links to. Fewer know the room
	// that they share better, more find room further away. In bursts (emulator, large,
	// scenario burst, two seeds) worth is 0.86 with four or six, 0.81 with ten, 0.74 with
	// 16 and 0.60 with all 55.
	Total = 6
	// Nearby is how many of them may be in the agent's own data centre, whose entries
	// place most work here: no bytes cross a border then. The rest is left to other
	// data centres, so that one with a burst of load reaches room elsewhere.
	Nearby = 4
)

// Adopted is how many entries of each drained data centre an agent elsewhere works with
// at least. Their callers go on handing jobs to them, and two thirds of the agents that
// they knew may give them no room any more.
const Adopted = 2

// Choose returns the entries that an agent in a data centre works with, out of those
// known, by rank, while some data centres are drained.
func Choose(agent, dataCentre string, known []runs.Entry, drained []string) []runs.Entry {
	if len(known) <= Total {
		return known
	}
	ranked := rank(agent, known)
	chosen := own(dataCentre, ranked)
	for _, dc := range drained {
		chosen = adopt(chosen, ranked, dc)
	}
	return chosen
}

// adopt adds the entries of a data centre that are missing, by rank.
func adopt(chosen, ranked []runs.Entry, dataCentre string) []runs.Entry {
	there := 0
	for _, e := range ranked {
		if e.DataCentre != dataCentre || there == Adopted {
			continue
		}
		there++
		if !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// own returns the choice while no data centre is drained.
func own(dataCentre string, ranked []runs.Entry) []runs.Entry {
	var near, far []runs.Entry
	for _, e := range ranked {
		if e.DataCentre == dataCentre {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	nearby := min(len(near), Nearby)
	remote := min(len(far), Total-nearby)
	nearby = min(len(near), Total-remote) // all others together may be fewer than their share
	return append(slices.Clone(near[:nearby]), far[:remote]...)
}

// OnDemand returns those of the entries which are short of agents that an agent works
// with besides: no more than of its own choice. After a cut through the fleet many
// entries may be short at once, and each agent would open links to all of them.
func OnDemand(agent string, short []runs.Entry) []runs.Entry {
	return rank(agent, short)[:min(len(short), Total)]
}

// Ranked orders addresses by their rendezvous score for an agent.
func Ranked(agent string, addresses []string) []string {
	entries := make([]runs.Entry, 0, len(addresses))
	for _, a := range addresses {
		entries = append(entries, runs.Entry{Address: a})
	}
	ranked := make([]string, 0, len(addresses))
	for _, e := range rank(agent, entries) {
		ranked = append(ranked, e.Address)
	}
	return ranked
}

// rank orders entries by their rendezvous score for an agent, the highest first.
func rank(agent string, known []runs.Entry) []runs.Entry {
	type scored struct {
		entry runs.Entry
		score uint64
	}
	list := make([]scored, 0, len(known))
	for _, e := range known {
		list = append(list, scored{e, score(agent, e.Address)})
	}
	sort.Slice(list, func(i, k int) bool { return list[i].score > list[k].score })
	ranked := make([]runs.Entry, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.entry)
	}
	return ranked
}

func score(agent, address string) uint64 { return xxh3.HashString(agent + "\x00" + address) }

// Neighbours returns the addresses that an entry opens exchanges with, out of those
// known, itself left out: on the ring of all hashed addresses those 1, 2, 4, ... places
// after it. Each entry has O(log n) of them, any two are O(log n) exchanges apart, and
// a ring with a few gaps stays connected.
func Neighbours(self string, known []string) []string {
	ring := append(slices.Clone(known), self)
	sort.Slice(ring, func(i, k int) bool { return ringBefore(ring[i], ring[k]) })
	ring = slices.Compact(ring)
	at := slices.Index(ring, self)
	chosen := make([]string, 0, bits.Len(uint(len(ring))))
	for step := 1; step < len(ring); step *= 2 {
		chosen = append(chosen, ring[(at+step)%len(ring)])
	}
	return chosen
}

func ringBefore(a, b string) bool {
	x, y := xxh3.HashString(a), xxh3.HashString(b)
	return x < y || x == y && a < b
}
