package ledger

import (
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/wire/runs"
)

// TestDenialsAreLoggedWithTheNewestRowThatWasRead guards against a job that is said not to exist without a
// line that tells how much this entry had read by then.
func TestDenialsAreLoggedWithTheNewestRowThatWasRead(t *testing.T) {
	is := is.New(t)
	c := newLoadedCore(rowOfPeer("known", 41))
	end := runs.End{Key: runs.Key{Task: "unknown.0.0.0", Run: 1}, Outcome: runs.OutcomeDone}
	c.ResolveEnd(after(10), end)
	c.ApplyChanges(after(30), nil, after(20))
	acked, _ := c.ResolveEnd(after(30), end)
	is.True(acked)
	decisions := c.Flush().Decisions
	c.Cancel(after(40), 1, "other", after(10))
	decisions = append(decisions, storeUnstored(t, c, after(50), "other", 42).Decisions...)
	is.Equal(len(decisions), 2)
	for i, job := range []string{"unknown", "other"} {
		is.Equal(decisions[i].Event, "deny")
		is.Equal(decisions[i].Job, job)
		is.Equal(decisions[i].Version, uint64(41))
	}
}
