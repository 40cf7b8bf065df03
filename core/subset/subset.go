// Package subset chooses the entries that an agent keeps links to (subsetting), and the neighbours
// that an entry exchanges its membership view with.
//
// If every agent had a link to every entry, the number of links would be the product of both, each
// with its own heartbeats, load updates and buffers. 55 entries and 240 agents would have 13,200
// links, and an entry would spend its whole processor on them even at low load. With a subset of
// fixed size the cost per instance does not grow with the fleet.
//
// Choices are made by rendezvous hashing over the known entries, without any coordination, so an
// entry that joins or leaves changes the choices of few agents. In a fleet with no more entries
// than the size of the subset, every agent is linked to all of them.
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

// Limits of the subset of one agent.
const (
	// MaxLinks is the number of entries that an agent keeps links to. With fewer, the entries know
	// the shared capacity of their agents better; with more, an entry finds free capacity on more
	// workers. In simulated bursts of load, jobs earn 0.86 of their value with four or six entries,
	// 0.81 with ten, 0.74 with 16 and 0.60 with all 55.
	MaxLinks = 6
	// MaxLocal is how many of them may be in the agent's own data centre. Those entries place most
	// work on the agent, and no bytes cross between data centres then. The rest is in other data
	// centres, so that entries in a data centre with a burst of load reach free capacity elsewhere.
	MaxLocal = 4
)

// MinPerDrainedDataCentre is the number of entries of each drained data centre that an agent
// elsewhere has links to at least. Callers still send jobs to those entries, while two thirds of
// the agents that they are linked to may take no more work.
const MinPerDrainedDataCentre = 2

// Choose returns the subset of the known entries that an agent in dataCentre keeps links to, while
// the data centres in drained are drained.
func Choose(agent, dataCentre string, known []runs.Entry, drained []string) []runs.Entry {
	if len(known) <= MaxLinks {
		return known
	}
	ranked := rank(agent, known)
	chosen := chooseByLocality(dataCentre, ranked)
	for _, dc := range drained {
		chosen = addDrained(chosen, ranked, dc)
	}
	return chosen
}

// addDrained adds the best-ranked entries of a drained data centre, up to MinPerDrainedDataCentre,
// where they are missing from chosen.
func addDrained(chosen, ranked []runs.Entry, dataCentre string) []runs.Entry {
	found := 0
	for _, e := range ranked {
		if e.DataCentre != dataCentre || found == MinPerDrainedDataCentre {
			continue
		}
		found++
		if !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// chooseByLocality returns the subset while no data centre is drained: up to MaxLocal entries of
// the agent's own data centre, and the rest from all others, each in the order of ranked.
func chooseByLocality(dataCentre string, ranked []runs.Entry) []runs.Entry {
	var local, remote []runs.Entry
	for _, e := range ranked {
		if e.DataCentre == dataCentre {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	localCount := min(len(local), MaxLocal)
	remoteCount := min(len(remote), MaxLinks-localCount)
	localCount = min(len(local), MaxLinks-remoteCount) // the other data centres may have too few entries for their share
	return append(slices.Clone(local[:localCount]), remote[:remoteCount]...)
}

// ChooseOnDemand returns the entries that an agent links to in addition to its subset, because they
// are short of agents. They are at most MaxLinks: after a network partition many entries may be
// short at once, and each agent would otherwise link to all of them.
func ChooseOnDemand(agent string, short []runs.Entry) []runs.Entry {
	return rank(agent, short)[:min(len(short), MaxLinks)]
}

// RankAddresses returns addresses by their rendezvous score for an agent, the highest first.
func RankAddresses(agent string, addresses []string) []string {
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

// rank returns entries by their rendezvous score for an agent, the highest first.
func rank(agent string, known []runs.Entry) []runs.Entry {
	type scored struct {
		entry runs.Entry
		score uint64
	}
	list := make([]scored, 0, len(known))
	for _, e := range known {
		list = append(list, scored{e, Score(agent, e.Address)})
	}
	sort.Slice(list, func(i, k int) bool { return list[i].score > list[k].score })
	ranked := make([]runs.Entry, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.entry)
	}
	return ranked
}

// Score returns the rendezvous score of an entry's address for an agent.
func Score(agent, address string) uint64 { return xxh3.HashString(agent + "\x00" + address) }

// Neighbours returns the addresses that an entry opens gossip streams to. On the ring of all known
// addresses, ordered by their hashes, they are those 1, 2, 4, ... positions after self. Each entry
// has O(log n) neighbours, any two entries are O(log n) hops apart, and a ring with a few gaps
// stays connected.
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
