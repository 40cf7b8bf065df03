package emulator

import (
	"fmt"
	"testing"
	"time"
)

// drainLayout has entries and workers in three data centres.
func drainLayout() *layout {
	l := testLayout()
	l.centres = []centre{{name: "a", entries: 2, workers: 2}, {name: "b", entries: 2, workers: 2}, {name: "c", entries: 1, workers: 2}}
	l.across = 900 * time.Microsecond
	return l
}

// drainFaults are what may come beside drains: with them every word about a drain may be
// late, lost or of no use.
func drainFault(w *world) {
	pause := time.Duration(500+w.rand.IntN(3000)) * time.Millisecond
	switch w.rand.IntN(5) {
	case 0: // entries are cut off from the store and each other, agents are not
		for _, e := range w.entries {
			e.cut = true
			w.after(pause*4, func() { e.cut = false })
		}
	case 1: // the store turns some processes away
		for _, e := range w.entries {
			e.turnedAway = w.rand.IntN(3) == 0
			w.after(pause, func() { e.turnedAway = false })
		}
		for _, a := range w.agents {
			a.turnedAway = w.rand.IntN(3) == 0
			w.after(pause, func() { a.turnedAway = false })
		}
	case 2:
		w.store.down = true
		w.after(pause, func() { w.store.down = false })
	case 3: // all entries start anew
		for _, e := range w.entries {
			if !e.dead {
				e.kill(pause / 4)
			}
		}
	default:
		faults[faultNames[w.rand.IntN(len(faultNames))]](w)
	}
}

// playDrains runs one schedule in which data centres are drained and taken back, one or
// two at a time, at times within one read of the store.
func playDrains(seed uint64) *world {
	w := newWorld(seed, drainLayout())
	w.story = *oneSeed != 0
	for n := range 500 {
		at := time.Duration(w.rand.Int64N(int64(19 * time.Second)))
		tasks := 1 + w.rand.IntN(4)
		durable := w.rand.IntN(5) == 0
		w.after(at, func() {
			if durable {
				w.submit(testDurable(w, fmt.Sprintf("d%015x", n), tasks))
				return
			}
			w.submit(testJob(w, fmt.Sprintf("%016x", n), tasks, 2))
		})
	}
	for range 1 + w.rand.IntN(3) {
		dc := []string{"a", "b", "c"}[w.rand.IntN(3)]
		at := time.Duration(w.rand.Int64N(int64(8 * time.Second)))
		w.after(at, func() { w.drain(dc) })
		if w.rand.IntN(3) == 0 {
			w.after(at+time.Millisecond, func() { w.undrain(dc); w.drain(dc) })
		}
		w.after(at+time.Duration(4+w.rand.IntN(10))*time.Second, func() { w.undrain(dc) })
	}
	for range 1 + w.rand.IntN(4) {
		w.after(time.Duration(w.rand.Int64N(int64(12*time.Second))), func() { drainFault(w) })
	}
	w.run(24 * time.Second)
	return w
}

// TestDrainSchedules: nothing starts in a drained data centre beyond the bound, and all
// other promises hold beside it.
func TestDrainSchedules(t *testing.T) {
	done, starts := 0, 0
	playSeeds(t, *seeds/3, playDrains, func(w *world) {
		done += w.checks.done
		starts += w.checks.starts
	})
	t.Logf("%d jobs done, %d starts", done, starts)
}

// TestDrainTakesEffectAtOnce: on a calm day starts end within a tenth of the bound, what
// is at work ends by itself, and no job is lost by it.
func TestDrainTakesEffectAtOnce(t *testing.T) {
	w := newWorld(1, drainLayout())
	for n := range 200 {
		w.after(time.Second+time.Duration(n)*40*time.Millisecond, func() { w.submit(testJob(w, fmt.Sprintf("%016x", n), 1, 1)) })
	}
	lastStart := time.Time{}
	w.after(3*time.Second, func() { w.drain("a") })
	w.after(6*time.Second, func() { w.undrain("a") })
	w.every(2*time.Millisecond, worldStart.Add(6*time.Second), func() {
		for _, k := range w.workers {
			for r := range k.running.Values() {
				if k.centre == "a" && r.startedAt.After(lastStart) {
					lastStart = r.startedAt
				}
			}
		}
	})
	w.run(12 * time.Second)
	for _, b := range w.checks.broken {
		t.Error(b)
	}
	if took := lastStart.Sub(worldStart) - 3*time.Second; took > drainBound/10 {
		t.Errorf("starts went on for %v", took)
	}
	if w.checks.done < 190 {
		t.Errorf("%d of 200 jobs done", w.checks.done)
	}
}
