package drains

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpick.example/wire/runs"
)

var start = time.Unix(1000, 0)

func TestNewerViewReplacesTheOlderOne(t *testing.T) {
	is := is.New(t)
	var s State
	is.True(s.Update(start, runs.DrainView{Version: 5, DataCentres: []string{"a"}}))
	is.True(s.IsDrained("a"))
	is.True(!s.Update(start, runs.DrainView{Version: 4})) // an older view
	is.True(s.IsDrained("a"))
	is.True(s.Update(start, runs.DrainView{Version: 9}))
	is.True(!s.IsDrained("a"))
	is.True(!s.Update(start, runs.DrainView{Version: 5, DataCentres: []string{"a"}}))
	is.True(!s.IsDrained("a"))
}

func TestEmptyViewChangesNothing(t *testing.T) {
	is := is.New(t)
	var s State
	is.Equal(s.View(start).Version, uint64(0))
	s.Update(start, runs.DrainView{Version: 2, DataCentres: []string{"a"}})
	is.True(!s.Update(start, runs.DrainView{})) // from a process that has no view
	is.Equal(s.View(start).DataCentres, []string{"a"})
}

func TestAgeIsThatOfTheNewestConfirmation(t *testing.T) {
	is := is.New(t)
	var s State
	s.Update(start, runs.DrainView{Version: 5, Age: time.Second})
	is.Equal(s.Age(start), time.Second)
	s.Update(start.Add(time.Second), runs.DrainView{Version: 5, Age: 5 * time.Second}) // confirmed earlier
	is.Equal(s.Age(start.Add(time.Second)), 2*time.Second)
	s.Update(start.Add(time.Second), runs.DrainView{Version: 4}) // an older view confirms nothing
	is.Equal(s.Age(start.Add(time.Second)), 2*time.Second)
	s.Update(start.Add(time.Second), runs.DrainView{Version: 6})
	is.Equal(s.Age(start.Add(time.Second)), time.Duration(0))
}

// TestExchangedViewsAgree: processes that exchange their views in any order never replace a view
// by an older one, and all have the newest in the end.
func TestExchangedViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := [][]string{nil}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			drained := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string]).Draw(t, "drained")
			slices.Sort(drained)
			history = append(history, drained)
		}
		view := func(version int) runs.DrainView {
			return runs.DrainView{Version: uint64(version), DataCentres: history[version]}
		}
		states := make([]State, 4)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			to := &states[rapid.IntRange(0, 3).Draw(t, "to")]
			before := to.version
			if rapid.Bool().Draw(t, "fromStore") {
				to.Update(start, view(rapid.IntRange(0, len(history)-1).Draw(t, "version")))
			} else {
				to.Update(start, states[rapid.IntRange(0, 3).Draw(t, "from")].View(start))
			}
			if to.version < before {
				t.Fatalf("went back from %d to %d", before, to.version)
			}
			if !slices.Equal(to.dataCentres, history[to.version]) {
				t.Fatalf("holds %v, version %d is %v", to.dataCentres, to.version, history[to.version])
			}
		}
		newest := view(len(history) - 1)
		states[0].Update(start, newest)
		for i := range states[1:] {
			states[i+1].Update(start, states[i].View(start))
		}
		for i := range states {
			if !slices.Equal(states[i].dataCentres, newest.DataCentres) {
				t.Fatalf("process %d holds %v", i, states[i].dataCentres)
			}
		}
	})
}
