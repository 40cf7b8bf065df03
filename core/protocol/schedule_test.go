package protocol

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/core/dispatch"
)

var (
	schedules = flag.Int("schedules", 400, "number of seeded fault schedules")
	firstSeed = flag.Uint64("seed", 1, "first seed; a failing one is printed and replays with -schedules 1")
)

// Lengths of the phases of a schedule.
const (
	faultTime = 6 * time.Second
	settle    = 60 * time.Second
	deadline  = 4 * time.Second
)

// TestSchedules runs seeded schedules that mix crashes, pauses, cut links, lost
// and late answers, outages of the table, double resubmissions at several
// entries and waves of cancellations.
func TestSchedules(t *testing.T) {
	total := make(map[string]int)
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		w := runSchedule(seed)
		if len(w.check.violations) > 0 {
			tail := w.trace
			if *schedules > 1 && len(tail) > 40 {
				tail = tail[len(tail)-40:]
			}
			t.Fatalf("seed %d: %s\n%s", seed, strings.Join(w.check.violations, "\n"), strings.Join(tail, "\n"))
		}
		total["completed"] += w.check.completed
		total["refused"] += w.check.refused
		total["unknown"] += w.check.unknown
		total["unanswered"] += w.check.lost
	}
	t.Logf("%d schedules: %v", *schedules, total)
	is.New(t).True(total["completed"] > *schedules) // the faults must leave most work alone
}

func runSchedule(seed uint64) *world {
	w := newWorld(seed, 3, 3)
	w.table.lossy = []int{0, 5, 30}[w.rng.IntN(3)]
	w.run(w.now.Add(200 * time.Millisecond))
	w.after(time.Second, w.sweep)
	for i := range 4 + w.rng.IntN(8) {
		w.after(time.Duration(w.rng.IntN(int(faultTime))), func() { w.submitSome(i) })
	}
	for range w.rng.IntN(10) {
		w.after(time.Duration(w.rng.IntN(int(faultTime))), w.fault)
	}
	w.run(w.now.Add(faultTime))
	w.heal()
	w.run(w.now.Add(settle))
	w.check.finish()
	return w
}

// submitSome sends a submission once or more, to one entry or several, and may
// cancel it.
func (w *world) submitSome(i int) {
	claimed := w.rng.IntN(4) > 0
	repeatable := w.rng.IntN(2) == 0
	tasks := 1 + w.rng.IntN(5)
	name := fmt.Sprintf("c/t/k%d", i)
	copies := 1
	if claimed {
		copies += w.rng.IntN(3)
	} else {
		name = fmt.Sprintf("u/%d", i)
	}
	for range copies {
		w.after(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() {
			w.submit(w.entries[w.rng.IntN(len(w.entries))], name, claimed, repeatable, tasks)
		})
	}
	if claimed && w.rng.IntN(5) == 0 {
		w.after(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() {
			e := w.entries[w.rng.IntN(len(w.entries))]
			e.proc.deliver(func() { w.note("cancel %s at %s", name, e.id); e.core.Cancel(w.now, name); e.flush() })
		})
	}
}

func (w *world) submit(e *simEntry, name string, claimed, repeatable bool, tasks int) {
	if !e.proc.alive {
		return
	}
	e.nextReq++
	spec := &dispatch.Request{
		ID: e.nextReq, Submission: name, Claimed: claimed, Team: "t", Weight: 1, Digest: 42, Deadline: deadline,
	}
	for range tasks {
		spec.Tasks = append(spec.Tasks, dispatch.TaskSpec{Service: "s", Kind: "k", Repeatable: repeatable, Class: 1, MaxRun: 500 * time.Millisecond})
	}
	r := &request{submission: name, sentAt: w.now, tasks: tasks}
	e.open[spec.ID] = r
	w.check.submitted(r, spec)
	w.note("submit %s to %s claimed=%v repeatable=%v tasks=%d", name, e.id, claimed, repeatable, tasks)
	e.proc.deliver(func() { e.core.Submit(w.now, spec); e.flush() })
}

// fault does one thing that fails.
func (w *world) fault() {
	e := w.entries[w.rng.IntN(len(w.entries))]
	a := w.agents[w.rng.IntN(len(w.agents))]
	span := time.Duration(50+w.rng.IntN(3000)) * time.Millisecond
	switch w.rng.IntN(7) {
	case 0:
		w.note("crash %s", e.id)
		if e.proc.alive {
			e.crash()
		}
	case 1:
		w.note("crash %s", a.id)
		if a.proc.alive {
			a.crash()
		}
	case 2:
		w.pause(e.id, e.proc, span)
	case 3:
		w.pause(a.id, a.proc, span)
	case 4:
		w.note("cut %s %s for %v", e.id, a.id, span)
		w.cut(e, a, span)
	case 5:
		w.note("table down for %v", span)
		w.table.down = true
		w.after(span, func() { w.table.down = false })
	case 6:
		w.note("drain %s", a.id)
		a.proc.deliver(func() { a.handle(a.proc, a.core.Drain(w.now)) })
		w.after(span, func() {
			if a.proc.alive {
				a.crash()
			}
		})
	}
}

func (w *world) pause(name string, p *process, span time.Duration) {
	w.note("pause %s for %v", name, span)
	if !p.alive || p.paused {
		return
	}
	p.paused = true
	w.after(span, p.resume)
}

func (w *world) cut(e *simEntry, a *simAgent, span time.Duration) {
	e.cut[a.id] = true
	cut := e.cut
	for _, l := range w.links {
		if l.entryProc == e.proc && l.agentProc == a.proc {
			w.breakLink(l)
		}
	}
	w.after(span, func() { delete(cut, a.id) })
}

// heal ends all faults.
func (w *world) heal() {
	w.note("faults end")
	w.healed = true
	w.table.down = false
	w.table.lossy = 0
}
