package batch

import (
	"testing"
	"time"

	core "peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/wire/runs"
)

// TestCancelledJobsAreToldToAllEntries guards against an owner without the store that goes on with a cancelled job.
func TestCancelledJobsAreToldToAllEntries(t *testing.T) {
	entries, _ := startEntries(t, 5)
	waitFor(t, "some entries do not know all others", allKnowCount(entries, len(entries)))
	row := ledger.StoredRow{Job: "j", Version: 4, Row: &ledger.Row{Queue: "q", Owner: entries[4].self, Epoch: 1, Steps: []core.Step{{Count: 1}}}}
	for _, e := range entries {
		e.post(func(_ *core.Core, now time.Time) { e.durable.ledger.LoadRows(now, []ledger.StoredRow{row}, now, 4) })
	}
	entries[0].peers.receiveCancelled([]runs.CancelledJob{{Job: "j", Version: 5}})
	for _, e := range entries {
		waitFor(t, "an entry does not know that the job is cancelled", func() bool {
			state := make(chan core.JobState, 1)
			e.post(func(*core.Core, time.Time) {
				s, _ := e.durable.ledger.State("j")
				state <- s
			})
			return <-state == core.JobCancelled
		})
	}
}
