package schedule

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	seeds    = flag.Int("schedules", 150, "number of seeded schedules")
	oneSeed  = flag.Uint64("seed", 0, "play only this seed")
	duration = 12 * time.Second
)

// faults are what may happen in a schedule; each seed draws a few of them.
var faults = map[string]func(w *world){
	"agent killed": func(w *world) {
		a := w.agents[w.rand.IntN(len(w.agents))]
		if !a.dead {
			a.kill(time.Duration(100+w.rand.IntN(2000)) * time.Millisecond)
		}
	},
	"entry killed": func(w *world) {
		e := w.entries[w.rand.IntN(len(w.entries))]
		if !e.dead {
			e.kill(time.Duration(100+w.rand.IntN(2000)) * time.Millisecond)
		}
	},
	"agent frozen": func(w *world) {
		w.agents[w.rand.IntN(len(w.agents))].freeze(time.Duration(w.rand.IntN(3000)) * time.Millisecond)
	},
	"entry frozen": func(w *world) {
		w.entries[w.rand.IntN(len(w.entries))].freeze(time.Duration(w.rand.IntN(3000)) * time.Millisecond)
	},
	"links reset": func(w *world) {
		for _, l := range w.agents[w.rand.IntN(len(w.agents))].links {
			l.close()
		}
	},
	"links silent": func(w *world) {
		for _, l := range w.agents[w.rand.IntN(len(w.agents))].links {
			l.silent = true
		}
	},
	"worker crashes": func(w *world) {
		k := w.workers[w.rand.IntN(len(w.workers))]
		if k.down {
			return
		}
		k.down = true
		for task := range k.running {
			w.ranUntil(task, k)
		}
		w.after(time.Duration(w.rand.IntN(2000))*time.Millisecond, k.reborn)
	},
	"worker hangs": func(w *world) {
		k := w.workers[w.rand.IntN(len(w.workers))]
		k.hanging = true
		w.after(2*time.Second, func() { k.hanging = false })
	},
	"worker fails all": func(w *world) {
		k := w.workers[w.rand.IntN(len(w.workers))]
		k.failing = true
		w.after(2*time.Second, func() { k.failing = false })
	},
	"orders lost": func(w *world) {
		w.lostOrders = 0.3
		w.after(2*time.Second, func() { w.lostOrders = 0 })
	},
}

// faultNames fixes the order in which seeds draw.
var faultNames = []string{
	"agent killed", "entry killed", "agent frozen", "entry frozen", "links reset", "links silent", "worker crashes",
	"worker hangs", "worker fails all", "orders lost",
}

// play runs one schedule.
func play(seed uint64) *world {
	w := newWorld(seed)
	w.story = *oneSeed != 0
	for n := range 300 {
		at := time.Duration(w.rand.Int64N(int64(duration - 3*time.Second)))
		tasks := 1 + w.rand.IntN(5)
		w.after(at, func() { w.submit(fmt.Sprintf("%016x", n), tasks, 3) })
	}
	for range 1 + w.rand.IntN(8) {
		name := faultNames[w.rand.IntN(len(faultNames))]
		w.after(time.Duration(w.rand.Int64N(int64(duration-4*time.Second))), func() { w.tell("fault: %s", name); faults[name](w) })
	}
	w.run(duration)
	return w
}

func TestSchedules(t *testing.T) {
	first, last := uint64(1), uint64(*seeds)
	if *oneSeed != 0 {
		first, last = *oneSeed, *oneSeed
	}
	done, starts := 0, 0
	for seed := first; seed <= last; seed++ {
		w := play(seed)
		for _, b := range w.broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		for _, line := range w.lines {
			t.Log(line)
		}
		done += w.done
		starts += w.starts
	}
	t.Logf("%d jobs done, %d starts", done, starts)
}

// TestCalm shows that the schedules serve work: without faults nearly all jobs end.
func TestCalm(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	for n := range 100 {
		w.after(time.Second+time.Duration(n)*50*time.Millisecond, func() { w.submit(fmt.Sprintf("%016x", n), 2, 1) })
	}
	w.run(10 * time.Second)
	is.Equal(len(w.broken), 0)
	is.True(w.done >= 95)
}
