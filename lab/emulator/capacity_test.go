package emulator

import (
	"fmt"
	"testing"
	"time"
)

// playCapacities runs one schedule in which workers shrink and grow while they run, beside
// other faults.
func playCapacities(seed uint64) *world {
	w := newWorld(seed, testLayout())
	w.story = *oneSeed != 0
	for n := range 300 {
		at := time.Duration(w.rand.Int64N(int64(9 * time.Second)))
		tasks := 1 + w.rand.IntN(5)
		w.after(at, func() { w.submit(testJob(w, fmt.Sprintf("%016x", n), tasks, 3)) })
	}
	for range 12 {
		k := w.workers[w.rand.IntN(len(w.workers))]
		share := 0.2 + 0.7*w.rand.Float64()
		w.after(time.Duration(w.rand.Int64N(int64(8*time.Second))), func() {
			w.tell("fault: %s has %.2f of its room", k.id, share)
			k.resize(share)
			w.after(time.Duration(500+w.rand.IntN(3000))*time.Millisecond, func() { k.resize(1) })
		})
	}
	for range w.rand.IntN(5) {
		name := faultNames[w.rand.IntN(len(faultNames))]
		w.after(time.Duration(w.rand.Int64N(int64(8*time.Second))), func() { w.tell("fault: %s", name); faults[name](w) })
	}
	w.run(duration)
	return w
}

// TestCapacitySchedules: no start brings a worker over what it has said of itself, counting
// what is being stopped and orders that may still be carried out.
func TestCapacitySchedules(t *testing.T) {
	done := 0
	playSeeds(t, *seeds/2, playCapacities, func(w *world) { done += w.checks.done })
	t.Logf("%d jobs done", done)
}
