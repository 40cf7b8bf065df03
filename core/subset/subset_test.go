package subset

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/wire/runs"
)

// fleet returns entries spread evenly over a number of data centres.
func fleet(entries, centres int) []runs.Entry {
	list := make([]runs.Entry, 0, entries)
	for i := range entries {
		list = append(list, runs.Entry{Address: fmt.Sprintf("10.0.%d.%d:7720", i%centres, i), Incarnation: uint64(i + 1), DataCentre: fmt.Sprint("dc", i%centres)})
	}
	return list
}

func agentName(i int) string { return fmt.Sprint("agent-", i) }

func TestSmallFleetsAreLinkedCompletely(t *testing.T) {
	is := is.New(t)
	for n := range MaxLinks + 1 {
		is.Equal(len(Choose("a", "dc0", fleet(n, 4), nil)), n)
	}
}

func TestLocalEntriesArePreferredUpToMaxLocal(t *testing.T) {
	is := is.New(t)
	for i := range 40 {
		local := 0
		chosen := Choose(agentName(i), "dc1", fleet(120, 6), nil)
		is.Equal(len(chosen), MaxLinks)
		for _, e := range chosen {
			if e.DataCentre == "dc1" {
				local++
			}
		}
		is.Equal(local, MaxLocal)
	}
	is.Equal(len(Choose("a", "dc0", fleet(55, 1), nil)), MaxLinks) // no other data centre
	is.Equal(len(Choose("a", "elsewhere", fleet(55, 5), nil)), MaxLinks)
}

// TestEveryEntryHasAgents checks that each entry has between half and twice the average number of
// agents.
func TestEveryEntryHasAgents(t *testing.T) {
	is := is.New(t)
	known := fleet(55, 6)
	links := make(map[string]int)
	for i := range 240 {
		for _, e := range Choose(agentName(i), fmt.Sprint("dc", i%6), known, nil) {
			links[e.Address]++
		}
	}
	for _, e := range known {
		is.True(links[e.Address] >= 240*MaxLinks/55/2)
		is.True(links[e.Address] <= 240*MaxLinks/55*2)
	}
}

// TestLinksOfAnEntryDoNotGrowWithTheFleet checks fleets of several sizes with the same number of
// agents per entry.
func TestLinksOfAnEntryDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{18, 55, 200, 600} {
		known := fleet(n, 6)
		total := 0
		for i := range 4 * n {
			total += len(Choose(agentName(i), fmt.Sprint("dc", i%6), known, nil))
		}
		is.Equal(total/n, 4*MaxLinks)
	}
}

// TestRemovedEntryChangesFewChoices checks that only agents that had chosen the removed entry
// choose another one.
func TestRemovedEntryChangesFewChoices(t *testing.T) {
	is := is.New(t)
	known := fleet(55, 6)
	for i := range 240 {
		centre := fmt.Sprint("dc", i%6)
		before := make(map[string]bool)
		for _, e := range Choose(agentName(i), centre, known, nil) {
			before[e.Address] = true
		}
		fresh := 0
		for _, e := range Choose(agentName(i), centre, known[1:], nil) {
			if !before[e.Address] {
				fresh++
			}
		}
		if before[known[0].Address] {
			is.Equal(fresh, 1)
		} else {
			is.Equal(fresh, 0)
		}
	}
}

// TestAgentsAreSpreadOverShortEntries checks that an agent does not link to all of many short
// entries, and that each of these gets agents.
func TestAgentsAreSpreadOverShortEntries(t *testing.T) {
	is := is.New(t)
	short := fleet(20, 6)
	links := make(map[string]int)
	for i := range 240 {
		chosen := ChooseOnDemand(agentName(i), short)
		is.Equal(len(chosen), MaxLinks)
		for _, e := range chosen {
			links[e.Address]++
		}
	}
	for _, e := range short {
		is.True(links[e.Address] >= 240*MaxLinks/20/2)
	}
	is.Equal(len(ChooseOnDemand("a", short[:2])), 2)
}

func TestNeighboursAreFewAndReachAll(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 3, 4, 14, 55, 200} {
		var all []string
		for _, e := range fleet(n, 6) {
			all = append(all, e.Address)
		}
		is.True(len(Neighbours(all[0], all)) <= 8)
		reached := map[string]bool{all[0]: true}
		next := []string{all[0]}
		rounds := 0
		for ; len(next) > 0 && len(reached) < n; rounds++ {
			var further []string
			for _, address := range next {
				for _, other := range Neighbours(address, all) {
					if !reached[other] {
						reached[other] = true
						further = append(further, other)
					}
				}
			}
			next = further
		}
		is.Equal(len(reached), n)
		is.True(rounds <= 8)
	}
}

func TestNeighboursOfASingleEntry(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Neighbours("a", nil)), 0)
	is.Equal(Neighbours("a", []string{"a", "b", "b"}), []string{"b"})
}

// TestEntriesOfADrainedDataCentreGetAgentsElsewhere guards against too few workers for the entries
// of a drained data centre: callers still use these entries, but two thirds of their agents take no
// more work.
func TestEntriesOfADrainedDataCentreGetAgentsElsewhere(t *testing.T) {
	is := is.New(t)
	known := fleet(55, 6)
	links := make(map[string]int)
	for i := range 240 {
		dc := fmt.Sprint("dc", i%6)
		if dc == "dc2" {
			continue // workers of the drained data centre take no work
		}
		chosen := Choose(agentName(i), dc, known, []string{"dc2"})
		is.True(len(chosen) <= MaxLinks+MinPerDrainedDataCentre)
		for _, e := range Choose(agentName(i), dc, known, nil) {
			is.True(slices.Contains(chosen, e)) // no other link is given up for these
		}
		for _, e := range chosen {
			links[e.Address]++
		}
	}
	for _, e := range known {
		if e.DataCentre == "dc2" {
			is.True(links[e.Address] >= 200*MaxLinks/55) // the average without a drained data centre
		}
	}
}
