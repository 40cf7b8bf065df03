package supply

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func wait(t *testing.T, f *Forecast, tasks int, ahead float64) time.Duration {
	t.Helper()
	w, ok := f.Wait(tasks, ahead)
	is.New(t).True(ok)
	return w
}

func TestWaitIsUntilEnoughTasksFitAnywhere(t *testing.T) {
	is := is.New(t)
	f := New(2000)
	f.Add(Worker{FreeCPU: 2500, Ends: []End{{After: 20 * ms, CPU: 1000}, {After: 40 * ms, CPU: 1000}}})
	f.Add(Worker{FreeCPU: -1000, Ends: []End{{After: 10 * ms, CPU: 3000}}})
	is.Equal(wait(t, f, 1, 0), time.Duration(0))
	is.Equal(wait(t, f, 2, 0), 10*ms)
	is.Equal(wait(t, f, 3, 0), 40*ms) // 3500 at 20 ms do not fit a second task of 2000
	is.Equal(wait(t, f, 1, 2000), 10*ms)
	is.True(wait(t, f, 4, 0) > horizon)
}

func TestOverdueEndCountsAsNow(t *testing.T) {
	f := New(1000)
	f.Add(Worker{Ends: []End{{After: -30 * ms, CPU: 1000}}})
	is.New(t).Equal(wait(t, f, 1, 0), time.Duration(0))
}

func TestNothingStartsWithoutWorkers(t *testing.T) {
	_, ok := New(1000).Wait(1, 0)
	is.New(t).True(!ok)
}

// TestWaitGrowsWithDemand checks for all loads that more tasks and more waiting work wait no shorter,
// and another worker no longer.
func TestWaitGrowsWithDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(rapid.IntRange(1, 4000).Draw(t, "need"))
		f.Add(Worker{FreeCPU: 8000})
		for range rapid.IntRange(0, 5).Draw(t, "workers") {
			w := Worker{FreeCPU: rapid.IntRange(-2000, 8000).Draw(t, "free")}
			after := 0
			for range rapid.IntRange(0, 12).Draw(t, "ends") {
				after += rapid.IntRange(0, 300).Draw(t, "gap")
				w.Ends = append(w.Ends, End{After: time.Duration(after) * ms, CPU: rapid.IntRange(1, 4000).Draw(t, "cpu")})
			}
			f.Add(w)
		}
		tasks := rapid.IntRange(1, 40).Draw(t, "tasks")
		ahead := float64(rapid.IntRange(0, 50000).Draw(t, "ahead"))
		base, _ := f.Wait(tasks, ahead)
		if more, _ := f.Wait(tasks+1, ahead); more < base {
			t.Fatalf("one more task waits %v instead of %v", more, base)
		}
		if more, _ := f.Wait(tasks, ahead+1000); more < base {
			t.Fatalf("behind more work the wait is %v instead of %v", more, base)
		}
		f.Add(Worker{FreeCPU: 100000})
		if less, _ := f.Wait(tasks, ahead); less > base {
			t.Fatalf("with another worker the wait is %v instead of %v", less, base)
		}
	})
}
