package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

var testQueue = &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 1.6, Target: 500 * time.Millisecond}

// doneRun is a run that ended done, as its worker lists it.
type doneRun struct {
	worker *worker
	life   int
	number int64
	at     time.Time
	// lapsed is true once the worker's lease ended before the end was taken note of.
	lapsed bool
	noted  bool
	// restarted is true once a later run of the task began.
	restarted bool
}

// endedDone notes the end of a durable job's task.
func (w *world) endedDone(k *worker, key runs.Key, number int64) {
	if !w.isDurable(key.Job()) {
		return
	}
	w.doneRuns[key.Task] = append(w.doneRuns[key.Task], &doneRun{worker: k, life: k.life, number: number, at: w.now})
}

func (w *world) isDurable(job string) bool { return job[0] == 'd' }

// restarts checks a start against the ends of the task so far.
func (w *world) restarts(key runs.Key) {
	for _, d := range w.doneRuns[key.Task] {
		d.restarted = true
		w.checkDone(key.Task, d)
	}
}

// noteEnds handles that a worker may forget its ends up to a number.
func (w *world) noteEnds(k *worker, upTo int64) {
	for task, list := range w.doneRuns {
		for _, d := range list {
			if d.worker == k && d.life == k.life && d.number <= upTo && !d.noted {
				d.noted = true
				w.checkDone(task, d)
			}
		}
	}
}

// lapse handles that a worker's lease has ended.
func (w *world) lapse(k *worker) {
	for _, list := range w.doneRuns {
		for _, d := range list {
			if d.worker == k && !d.noted {
				d.lapsed = true
			}
		}
	}
}

func (w *world) checkDone(task string, d *doneRun) {
	if d.restarted && d.noted && !d.lapsed {
		w.breaks("task %s was started again after its end on %s was taken note of", task, d.worker.id)
	}
}

// shown checks that a job which is shown as done is done.
func (w *world) shown(e *entryProcess, job string) {
	if state, _ := e.ledger.State(job); state != batch.JobDone {
		return
	}
	for i := range w.tasksOf[job] {
		if len(w.doneRuns[fmt.Sprintf("%s.0.0.%d", job, i)]) == 0 {
			w.breaks("job %s is shown as done by %s without task %d", job, e.address, i)
		}
	}
}

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
	w := newWorld(seed)
	w.story = *oneSeed != 0
	for n := range 60 {
		at := time.Duration(w.rand.Int64N(int64(8 * time.Second)))
		tasks := 1 + w.rand.IntN(5)
		w.after(at, func() { w.accept(fmt.Sprintf("d%015x", n), tasks) })
		w.after(at, func() { w.submit(fmt.Sprintf("%016x", n), 1, 2) })
	}
	for range 1 + w.rand.IntN(6) {
		names, play := faultNames, faults
		if w.rand.IntN(2) == 0 {
			names, play = durableFaultNames, durableFaults
		}
		name := names[w.rand.IntN(len(names))]
		w.after(time.Duration(w.rand.Int64N(int64(8*time.Second))), func() { w.tell("fault: %s", name); play[name](w) })
	}
	w.run(30 * time.Second)
	return w
}

func TestDurableSchedules(t *testing.T) {
	first, last := uint64(1), uint64(*seeds)/3
	if *oneSeed != 0 {
		first, last = *oneSeed, *oneSeed
	}
	accepted, done := 0, 0
	for seed := first; seed <= last; seed++ {
		w := playDurable(seed)
		for job := range w.accepted {
			accepted++
			state := w.store.rows[job].Row
			if state == nil || !state.State.Ended() {
				w.breaks("job %s was accepted and has not ended: %+v", job, state)
				continue
			}
			done++
		}
		for _, b := range w.broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		for _, line := range w.lines {
			t.Log(line)
		}
	}
	t.Logf("%d durable jobs accepted, %d ended", accepted, done)
}

// TestDurableCalm shows that durable jobs are served: without faults all end.
func TestDurableCalm(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	for n := range 50 {
		w.after(time.Second+time.Duration(n)*80*time.Millisecond, func() { w.accept(fmt.Sprintf("d%015x", n), 2) })
	}
	w.run(12 * time.Second)
	is.Equal(len(w.broken), 0)
	is.Equal(len(w.accepted), 50)
	for job := range w.accepted {
		is.Equal(w.store.rows[job].Row.State.Ended(), true)
	}
}
