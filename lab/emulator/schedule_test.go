package emulator

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// testLayout is a small deployment with much disorder in its messages.
func testLayout() *layout {
	return &layout{
		centres:  []centre{{name: "d", entries: 2, workers: 4}},
		capacity: func(int) room.Room { return room.Room{CPU: 8000, Memory: 8000} }, rackSize: 4,
		resend: 1300 * time.Millisecond, ownerLease: 390 * time.Millisecond, workerLease: 780 * time.Millisecond,
		runsOver: 900 * time.Millisecond, longestLease: 5 * time.Second, ownFor: 2 * time.Second, entrySilent: 800 * time.Millisecond,
		within: 300 * time.Microsecond, jitter: 1200 * time.Microsecond, caller: 3 * time.Millisecond,
		announceEvery: 300 * time.Millisecond, lateShare: 0.1, lookWait: 100 * time.Millisecond,
		crossCost: time.Millisecond, remoteFactor: 1.5,
	}
}

// testPatience is how long callers of the schedules wait.
const testPatience = 1500 * time.Millisecond

// testJob returns a job of one step, whose work is drawn at each start.
func testJob(w *world, name string, tasks, attempts int) *jobSpec {
	need := room.Room{CPU: 1500 + w.rand.IntN(1500), Memory: 10}
	return &jobSpec{
		name: name, queue: testQueue, attempts: attempts, patience: testPatience,
		steps: []batch.Step{{Count: tasks, Need: need, Estimate: 200 * time.Millisecond}},
		run: func(runs.Key) (time.Duration, bool) {
			return time.Duration(20+w.rand.IntN(400)) * time.Millisecond, w.rand.IntN(100) == 0
		},
		choose: func() *entryProcess { return w.entries[w.rand.IntN(len(w.entries))] },
	}
}

// testDurable returns a durable job; its caller hands it in until it is accepted.
func testDurable(w *world, name string, tasks int) *jobSpec {
	j := testJob(w, name, tasks, 1000)
	j.durable = true
	return j
}

var (
	seeds    = flag.Int("schedules", 150, "number of seeded schedules")
	oneSeed  = flag.Uint64("seed", 0, "play only this seed")
	duration = 12 * time.Second
)

var testQueue = &catalog.Queue{Name: "q", Service: service, MaxAttempts: 3, Stretch: 1.6, Target: 500 * time.Millisecond}

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
		for l := range w.agents[w.rand.IntN(len(w.agents))].links.Values() {
			l.close()
		}
	},
	"links silent": func(w *world) {
		for l := range w.agents[w.rand.IntN(len(w.agents))].links.Values() {
			l.silent = true
		}
	},
	"worker crashes": func(w *world) {
		k := w.workers[w.rand.IntN(len(w.workers))]
		if k.down {
			return
		}
		k.crash()
		w.after(time.Duration(w.rand.IntN(2000))*time.Millisecond, k.reborn)
	},
	"worker hangs": func(w *world) {
		k := w.workers[w.rand.IntN(len(w.workers))]
		k.setPace(true, 0)
		w.after(2*time.Second, func() { k.setPace(false, 0) })
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

// playSchedule runs one schedule.
func playSchedule(seed uint64) *world {
	w := newWorld(seed, testLayout())
	w.story = *oneSeed != 0
	for n := range 300 {
		at := time.Duration(w.rand.Int64N(int64(duration - 3*time.Second)))
		tasks := 1 + w.rand.IntN(5)
		w.after(at, func() { w.submit(testJob(w, fmt.Sprintf("%016x", n), tasks, 3)) })
	}
	for range 1 + w.rand.IntN(8) {
		name := faultNames[w.rand.IntN(len(faultNames))]
		w.after(time.Duration(w.rand.Int64N(int64(duration-4*time.Second))), func() { w.tell("fault: %s", name); faults[name](w) })
	}
	w.run(duration)
	return w
}

func TestSchedules(t *testing.T) {
	done, starts := 0, 0
	playSeeds(t, *seeds, playSchedule, func(w *world) {
		done += w.checks.done
		starts += w.checks.starts
	})
	t.Logf("%d jobs done, %d starts", done, starts)
}

// playSeeds plays a schedule with each seed up to the last, or with the one that was asked
// for, looks at each outcome and reports the broken promises.
func playSeeds(t *testing.T, last int, play func(seed uint64) *world, look func(*world)) {
	t.Helper()
	first, until := uint64(1), uint64(last)
	if *oneSeed != 0 {
		first, until = *oneSeed, *oneSeed
	}
	for seed := first; seed <= until; seed++ {
		w := play(seed)
		look(w)
		for _, b := range w.checks.broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		for _, line := range w.lines {
			t.Log(line)
		}
	}
}

// TestCalm shows that the schedules serve work: without faults nearly all jobs end.
func TestCalm(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, testLayout())
	for n := range 100 {
		w.after(time.Second+time.Duration(n)*50*time.Millisecond, func() { w.submit(testJob(w, fmt.Sprintf("%016x", n), 2, 1)) })
	}
	w.run(10 * time.Second)
	is.Equal(len(w.checks.broken), 0)
	is.True(w.checks.done >= 95)
}

// TestLeftoversEndInTime plays late starts, cancels and entries that go for good, and
// checks that no task of a cancelled or left job runs on beyond the bound.
func TestLeftoversEndInTime(t *testing.T) {
	const bound = 3 * time.Second // within which a cancelled job's tasks are gone
	for seed := uint64(1); seed <= 12; seed++ {
		w := newWorld(seed, testLayout())
		w.lostOrders = 0.2
		left := make(map[string]time.Time)
		for n := range 200 {
			j := testJob(w, fmt.Sprintf("%016x", n), 2, 1)
			j.leavesAfter = time.Duration(20+w.rand.IntN(300)) * time.Millisecond
			at := time.Duration(w.rand.Int64N(int64(5 * time.Second)))
			w.after(at, func() { w.submit(j) })
			w.after(at+j.leavesAfter, func() { left[j.name] = w.now })
		}
		w.after(3*time.Second, func() { w.entries[0].kill(time.Hour) })
		w.every(50*time.Millisecond, worldStart.Add(10*time.Second), func() {
			for _, k := range w.workers {
				for task := range k.running.All() {
					key := runs.Key{Task: task}
					if since, gone := left[key.Job()]; gone && w.now.Sub(since) > bound {
						w.checks.breaks("%s still runs %v after its caller left", task, w.now.Sub(since))
					}
				}
			}
		})
		w.run(10 * time.Second)
		for _, b := range w.checks.broken {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}
