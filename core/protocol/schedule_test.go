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

// Durations of the phases of a schedule, and of a submission's deadline.
const (
	faultPhase      = 6 * time.Second
	recoveryPhase   = 60 * time.Second
	requestDeadline = 4 * time.Second
)

// TestSchedules runs seeded schedules that mix crashes, pauses, cut links, lost and late answers,
// outages of the table service, resubmissions at several entries, and cancellations. The checker
// looks for violations of the guarantees to callers.
func TestSchedules(t *testing.T) {
	total := make(map[string]int)
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		sim := runSchedule(seed)
		if len(sim.check.violations) > 0 {
			tail := sim.trace
			if *schedules > 1 && len(tail) > 40 {
				tail = tail[len(tail)-40:]
			}
			t.Fatalf("seed %d: %s\n%s", seed, strings.Join(sim.check.violations, "\n"), strings.Join(tail, "\n"))
		}
		total["completed"] += sim.check.completed
		total["refused"] += sim.check.refused
		total["unknown"] += sim.check.unknown
		total["unanswered"] += sim.check.unansweredRequests
	}
	t.Logf("%d schedules: %v", *schedules, total)
	is.New(t).True(total["completed"] > *schedules) // the faults must leave enough submissions that can complete
}

// runSchedule runs one schedule: a phase with faults and submissions, then one without faults in
// which every submission must end.
func runSchedule(seed uint64) *simulation {
	sim := newSimulation(seed, 3, 3)
	sim.table.lossPercent = []int{0, 5, 30}[sim.rng.IntN(3)]
	sim.runUntil(sim.now.Add(200 * time.Millisecond))
	sim.schedule(time.Second, sim.resumeLostSubmissions)
	for i := range 4 + sim.rng.IntN(8) {
		sim.schedule(time.Duration(sim.rng.IntN(int(faultPhase))), func() { sim.submitRandom(i) })
	}
	for range sim.rng.IntN(10) {
		sim.schedule(time.Duration(sim.rng.IntN(int(faultPhase))), sim.injectFault)
	}
	sim.runUntil(sim.now.Add(faultPhase))
	sim.endFaults()
	sim.runUntil(sim.now.Add(recoveryPhase))
	sim.check.checkProgress()
	return sim
}

// submitRandom sends a random submission, if it has a key up to three times and to any entries, and
// may cancel it.
func (sim *simulation) submitRandom(i int) {
	claimed := sim.rng.IntN(4) > 0
	repeatable := sim.rng.IntN(2) == 0
	tasks := 1 + sim.rng.IntN(5)
	name := fmt.Sprintf("c/t/k%d", i)
	copies := 1
	if claimed {
		copies += sim.rng.IntN(3)
	} else {
		name = fmt.Sprintf("u/%d", i)
	}
	for range copies {
		sim.schedule(time.Duration(sim.rng.IntN(1500))*time.Millisecond, func() {
			sim.submit(sim.entries[sim.rng.IntN(len(sim.entries))], name, claimed, repeatable, tasks)
		})
	}
	if claimed && sim.rng.IntN(5) == 0 {
		sim.schedule(time.Duration(sim.rng.IntN(1500))*time.Millisecond, func() {
			e := sim.entries[sim.rng.IntN(len(sim.entries))]
			e.proc.deliver(func() { sim.tracef("cancel %s at %s", name, e.id); e.core.Cancel(sim.now, name); e.flush() })
		})
	}
}

// submit sends a submission to e, unless e is down.
func (sim *simulation) submit(e *simEntry, name string, claimed, repeatable bool, tasks int) {
	if !e.proc.alive {
		return
	}
	e.nextReq++
	spec := &dispatch.Request{
		ID: e.nextReq, Submission: name, Claimed: claimed, Team: "t", Weight: 1, Digest: 42, Deadline: requestDeadline,
	}
	for range tasks {
		spec.Tasks = append(spec.Tasks, dispatch.TaskSpec{Service: "s", Kind: "k", Repeatable: repeatable, Class: 1, MaxRun: 500 * time.Millisecond})
	}
	r := &request{submission: name, sentAt: sim.now, tasks: tasks}
	e.openRequests[spec.ID] = r
	sim.check.recordSubmit(r, spec)
	sim.tracef("submit %s to %s claimed=%v repeatable=%v tasks=%d", name, e.id, claimed, repeatable, tasks)
	e.proc.deliver(func() { e.core.Submit(sim.now, spec); e.flush() })
}

// injectFault injects one random fault.
func (sim *simulation) injectFault() {
	e := sim.entries[sim.rng.IntN(len(sim.entries))]
	a := sim.agents[sim.rng.IntN(len(sim.agents))]
	span := time.Duration(50+sim.rng.IntN(3000)) * time.Millisecond
	switch sim.rng.IntN(7) {
	case 0:
		sim.tracef("crash %s", e.id)
		if e.proc.alive {
			e.crash()
		}
	case 1:
		sim.tracef("crash %s", a.id)
		if a.proc.alive {
			a.crash()
		}
	case 2:
		sim.pause(e.id, e.proc, span)
	case 3:
		sim.pause(a.id, a.proc, span)
	case 4:
		sim.tracef("cut %s %s for %v", e.id, a.id, span)
		sim.cutLinks(e, a, span)
	case 5:
		sim.tracef("table down for %v", span)
		sim.table.down = true
		sim.schedule(span, func() { sim.table.down = false })
	case 6:
		sim.tracef("drain %s", a.id)
		a.proc.deliver(func() { a.handle(a.proc, a.core.Drain(sim.now)) })
		sim.schedule(span, func() {
			if a.proc.alive {
				a.crash()
			}
		})
	}
}

// pause suspends a process; messages to it wait until it resumes.
func (sim *simulation) pause(name string, p *process, span time.Duration) {
	sim.tracef("pause %s for %v", name, span)
	if !p.alive || p.paused {
		return
	}
	p.paused = true
	sim.schedule(span, p.resume)
}

// cutLinks breaks the links between e and a, and prevents new ones for the duration span.
func (sim *simulation) cutLinks(e *simEntry, a *simAgent, span time.Duration) {
	e.cutAgents[a.id] = true
	cut := e.cutAgents
	for _, l := range sim.links {
		if l.entryProc == e.proc && l.agentProc == a.proc {
			sim.breakLink(l)
		}
	}
	sim.schedule(span, func() { delete(cut, a.id) })
}

// endFaults ends the faults of the table and lets every further execution succeed.
func (sim *simulation) endFaults() {
	sim.tracef("faults end")
	sim.faultsEnded = true
	sim.table.down = false
	sim.table.lossPercent = 0
}
