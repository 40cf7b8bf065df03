package emulator

import (
	"fmt"
	"testing"
	"time"
)

// restartFaults have workers start again under the ID that they had.
var restartFaults = map[string]func(w *world){
	"worker restarts": func(w *world) {
		k := w.workers[w.rand.IntN(len(w.workers))]
		if k.down {
			return
		}
		k.crash()
		w.after(time.Duration(w.rand.IntN(1500))*time.Millisecond, k.restart)
	},
	"worker restarts behind a cut": func(w *world) {
		k := w.workers[w.rand.IntN(len(w.workers))]
		if k.down || k.cut {
			return
		}
		k.cut = true
		w.after(time.Duration(w.rand.IntN(1000))*time.Millisecond, func() {
			k.restart()
		})
		w.after(time.Duration(1000+w.rand.IntN(2000))*time.Millisecond, func() { k.cut = false })
	},
	"worker restarts unseen": func(w *world) {
		k := w.workers[w.rand.IntN(len(w.workers))]
		if k.down {
			return
		}
		k.restart() // between two calls of its agent
	},
}

var restartFaultNames = []string{"worker restarts", "worker restarts behind a cut", "worker restarts unseen"}

// playRestarts runs one schedule in which workers start again under their ID while orders
// to them are carried out late, links break and agents are replaced.
func playRestarts(seed uint64) *world {
	w := newWorld(seed, testLayout())
	w.story = *oneSeed != 0
	for n := range 150 {
		at := time.Duration(w.rand.Int64N(int64(8 * time.Second)))
		tasks := 1 + w.rand.IntN(4)
		w.after(at, func() { w.submit(testJob(w, fmt.Sprintf("%016x", n), tasks, 3)) })
		if n%3 == 0 {
			w.after(at, func() { w.submit(testDurable(w, fmt.Sprintf("d%015x", n), tasks)) })
		}
	}
	w.lostOrders = 0.1 * float64(w.rand.IntN(4))
	w.after(8*time.Second, func() { w.lostOrders = 0 })
	for range 4 + w.rand.IntN(8) {
		names, play := restartFaultNames, restartFaults
		if w.rand.IntN(3) == 0 {
			names, play = faultNames, faults
		}
		name := names[w.rand.IntN(len(names))]
		w.after(time.Duration(w.rand.Int64N(int64(8*time.Second))), func() { w.tell("fault: %s", name); play[name](w) })
	}
	w.run(40 * time.Second)
	return w
}

// TestRestartSchedules: no task runs twice at a time and no end is lost, whatever a worker
// that starts again under its ID still carries out of what was meant for its former life.
func TestRestartSchedules(t *testing.T) {
	done, ended := 0, 0
	playSeeds(t, *seeds/3, playRestarts, func(w *world) {
		done += w.checks.done
		ended += checkEnded(w)
	})
	t.Logf("%d awaited jobs done, %d durable ones ended", done, ended)
}
