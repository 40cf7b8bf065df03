package batch

import (
	"testing"
	"time"

	"peridotpick.example/common/room"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// TestLevelsReachNeighbours checks that entries learn the level of one whose resources are short, and
// that nothing is sent while there is no shortage.
func TestLevelsReachNeighbours(t *testing.T) {
	a, _ := startEntry(t)
	b, _ := startEntry(t, a.self.Address)
	waitFor(t, "the entries do not know each other", allKnowCount([]*Entry{a, b}, 2))
	levels := func(e *Entry) []runs.Level {
		e.peers.mu.Lock()
		defer e.peers.mu.Unlock()
		return e.peers.levels
	}
	if len(levels(a)) > 0 {
		t.Fatal("an idle entry has levels")
	}
	a.post(func(c *core.Core, now time.Time) {
		for n := range 50 { // their tasks need CPU, and no worker is known: all are lost
			c.Submit(now.Add(2*time.Second), &core.Request{
				ID: core.RequestID(1000 + n), Job: time.Duration(n).String(), Caller: "greedy",
				Queue: &catalog.Queue{Name: "q", Service: "s", Stretch: 1}, Deadline: now.Add(time.Hour),
				Steps: []core.Step{{Count: 1, Estimate: time.Second, Need: room.Resources{CPU: 1000}}},
			})
		}
	})
	waitFor(t, "the entry has no level", func() bool { return len(levels(a)) == 1 })
	waitFor(t, "the neighbour did not hear of the level", func() bool {
		known := make(chan int, 1)
		b.post(func(c *core.Core, _ time.Time) { known <- c.KnownLevels("s") })
		return <-known == 1
	})
}
