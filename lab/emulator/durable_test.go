package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// durableFaults are those of durable jobs beside the others.
var durableFaults = map[string]func(w *world){
	"store down": func(w *world) {
		w.store.down = true
		w.after(time.Duration(w.rand.IntN(4000))*time.Millisecond, func() { w.store.down = false })
	},
	"store loses answers": func(w *world) {
		w.store.lost = 0.4
		w.after(2*time.Second, func() { w.store.lost = 0 })
	},
	"entry cut from store and peers": func(w *world) {
		e := w.entries[w.rand.IntN(len(w.entries))]
		e.cut = true
		w.after(time.Duration(w.rand.IntN(5000))*time.Millisecond, func() { e.cut = false })
	},
}

var durableFaultNames = []string{"store down", "store loses answers", "entry cut from store and peers"}

// playDurable runs one schedule with durable jobs beside awaited ones.
func playDurable(seed uint64) *world {
	w := newWorld(seed, testLayout())
	w.story = *oneSeed != 0
	for n := range 60 {
		at := time.Duration(w.rand.Int64N(int64(8 * time.Second)))
		tasks := 1 + w.rand.IntN(5)
		w.after(at, func() { w.submit(testDurable(w, fmt.Sprintf("d%015x", n), tasks)) })
		w.after(at, func() { w.submit(testJob(w, fmt.Sprintf("%016x", n), 1, 2)) })
	}
	drawFaults(w, 2)
	w.run(30 * time.Second)
	return w
}

// drawFaults has one to six faults happen; one in so many is of durable jobs.
func drawFaults(w *world, durableOneIn int) {
	for range 1 + w.rand.IntN(6) {
		names, play := faultNames, faults
		if w.rand.IntN(durableOneIn) == 0 {
			names, play = durableFaultNames, durableFaults
		}
		name := names[w.rand.IntN(len(names))]
		w.after(time.Duration(w.rand.Int64N(int64(8*time.Second))), func() { w.tell("fault: %s", name); play[name](w) })
	}
}

// checkEnded checks that all accepted jobs have ended, and returns their number.
func checkEnded(w *world) int {
	ended := 0
	for job := range w.checks.accepted {
		state := w.store.rows[job].Row
		if state == nil || !state.State.Ended() {
			w.checks.breaks("job %s was accepted and has not ended: %+v", job, state)
			continue
		}
		ended++
	}
	return ended
}

func TestDurableSchedules(t *testing.T) {
	accepted, done := 0, 0
	playSeeds(t, *seeds/3, playDurable, func(w *world) {
		accepted += len(w.checks.accepted)
		done += checkEnded(w)
	})
	t.Logf("%d durable jobs accepted, %d ended", accepted, done)
}

// TestDurableCalm shows that durable jobs are served: without faults all end.
func TestDurableCalm(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, testLayout())
	for n := range 50 {
		w.after(time.Second+time.Duration(n)*80*time.Millisecond, func() { w.submit(testDurable(w, fmt.Sprintf("d%015x", n), 2)) })
	}
	w.run(12 * time.Second)
	is.Equal(len(w.checks.broken), 0)
	is.Equal(len(w.checks.accepted), 50)
	for job := range w.checks.accepted {
		is.Equal(w.store.rows[job].Row.State.Ended(), true)
	}
}
