package ledger

import (
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire/runs"
)

// TestJobWhoseRowCannotBeDecodedIsNotDenied guards against tasks that are started again although they are done: an entry
// that cannot decode the row of a job, as a later version may write it, says that its ends are not needed.
func TestJobWhoseRowCannotBeDecodedIsNotDenied(t *testing.T) {
	is := is.New(t)
	unreadable := StoredRow{Job: "j", Version: 5, Unreadable: true}
	end := runs.End{Key: runs.Key{Task: "j.0.0.0", Run: 1}, Outcome: runs.OutcomeDone}
	changed, loaded := newLoadedCore(), newLoadedCore(unreadable)
	changed.ApplyChanges(start, []StoredRow{unreadable}, start)
	for _, c := range []*Core{changed, loaded} {
		for ms := 10; ms < 2000; ms += 100 {
			acked, void := c.ResolveEnd(after(ms), end)
			is.True(!acked && !void)
			c.ApplyChanges(after(ms+50), nil, after(ms+40))
		}
		is.True(c.IsUnreadable("j")) // a question is answered at once
		is.True(!c.IsAbsent("j", after(500)))
		c.Cancel(after(2000), 1, "j", after(500))
		out := c.Flush()
		is.Equal(len(out.Writes), 0)
		is.Equal(out.Answers, []Answer{{Request: 1, Kind: errkind.StoreUnavailable}})

		c.ApplyChanges(after(2100), []StoredRow{rowOfPeer("j", 6)}, after(2090))
		_, known := c.State("j")
		is.True(known)
		c.ApplyChanges(after(2200), []StoredRow{{Job: "j", Version: 9}}, after(2190))
		is.True(c.IsAbsent("j", after(2150)))
	}
}

// TestJobIsLostOnceItsRowCannotBeDecoded guards against an owner that goes on with a job that another entry has written.
func TestJobIsLostOnceItsRowCannotBeDecoded(t *testing.T) {
	is := is.New(t)
	c := newCoreOwning("j") // version 7
	c.ApplyChanges(after(10), []StoredRow{{Job: "j", Version: 6, Unreadable: true}}, after(5))
	is.Equal(len(c.Flush().Lost), 0) // an earlier row
	c.ApplyChanges(after(20), []StoredRow{{Job: "j", Version: 8, Unreadable: true}}, after(15))
	is.Equal(c.Flush().Lost, []string{"j"})
	is.True(!c.IsAbsent("j", after(10)))
}
