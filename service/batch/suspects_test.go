package batch

import (
	"testing"
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// TestSuspectsReachAllEntries checks that every entry learns of a suspect, because a caller that
// got no answer may send its job again to any of them.
func TestSuspectsReachAllEntries(t *testing.T) {
	entries, _ := startEntries(t, 9)
	waitFor(t, "some entries do not know all others", allKnowCount(entries, len(entries)))
	entries[0].peers.receiveSuspects([]runs.Suspect{{Task: "t", LostWorkers: 1, BlamedCrashes: 1}})
	for _, e := range entries {
		waitFor(t, "an entry does not know the suspect", func() bool {
			known := make(chan bool, 1)
			e.post(func(c *core.Core, _ time.Time) { known <- c.IsSuspect("t") })
			return <-known
		})
	}
}
