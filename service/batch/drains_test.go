package batch

import (
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/common/boottime"
	"peridotpick.example/wire/runs"
)

// TestDrainReachesEntriesWithoutTheStore checks that neighbours pass on a drain, and that an older
// view does not replace a newer one.
func TestDrainReachesEntriesWithoutTheStore(t *testing.T) {
	is := is.New(t)
	a, storeA := startEntry(t)
	b, storeB := startEntry(t, a.self.Address)
	c, _ := startEntry(t, a.self.Address)
	holds := func(e *Entry, version uint64) bool { return e.drains.view(boottime.Now()).Version == version }
	storeA.drains <- runs.DrainView{Version: 5, DataCentres: []string{"x"}}
	waitFor(t, "the drain did not reach all", func() bool { return holds(b, 5) && holds(c, 5) })
	storeB.drains <- runs.DrainView{Version: 4}
	storeB.drains <- runs.DrainView{Version: 9, DataCentres: []string{"x", "y"}}
	waitFor(t, "the second drain did not reach all", func() bool { return holds(a, 9) && holds(c, 9) })
	is.Equal(c.drains.view(boottime.Now()).DataCentres, []string{"x", "y"})
}
