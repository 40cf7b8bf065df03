package batch

import (
	"testing"
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// TestSuspectsReachAllEntries: a caller without an answer may send its job again to any.
func TestSuspectsReachAllEntries(t *testing.T) {
	entries, _ := startMany(t, 9)
	waitFor(t, "all know all", allKnow(entries, len(entries)))
	entries[0].peers.hearSuspects([]runs.Suspect{{Task: "t", Lost: 1, Blamed: 1}})
	for _, e := range entries {
		waitFor(t, "the suspect is known", func() bool {
			known := make(chan bool, 1)
			e.post(func(c *core.Core, _ time.Time) { known <- c.Suspected("t") })
			return <-known
		})
	}
}
