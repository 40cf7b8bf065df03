package batch

import (
	"testing"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire/runs"
)

// requiring returns an edit that makes the tasks of a durable job require a label.
func requiring(label string) func(*DurableJob) {
	return func(d *DurableJob) { d.Steps[0].Requires = label }
}

// decisionsOf returns the decisions in an output with one of the given events.
func decisionsOf(out Output, events ...string) []Decision {
	var list []Decision
	for _, d := range out.Decisions {
		for _, e := range events {
			if d.Event == e {
				list = append(list, d)
			}
		}
	}
	return list
}

// TestWaitForWorkerOutOfReachIsLogged guards against kept jobs that wait without a line that says for
// what: none of the linked workers has the label that the job requires.
func TestWaitForWorkerOutOfReachIsLogged(t *testing.T) {
	h := newHarness(t, 2)
	waits := decisionsOf(h.own(begin, 1, 2, requiring("r1")), "wait")
	h.is.Equal(len(waits), 1)
	h.is.Equal(waits[0].Job, jobName(1))
	h.is.Equal(waits[0].Requires, "service s, cpu 1000, memory 10, gpu 0, label r1")
	h.Tick(after(100))
	h.is.Equal(len(decisionsOf(h.flush(after(100)), "wait", "wait over")), 0) // once only
	h.receiveReport(after(150), 1, func(m *runs.ToEntry) { m.Worker.Labels = []string{"r1"} })
	out := h.flush(after(150))
	h.is.Equal(len(decisionsOf(out, "wait over")), 1)
	h.is.Equal(len(startsByLink(out)[1]), 2)
}

// TestJobsOutOfReachDoNotHoldUpOthers guards against a durable job that is never started although a
// worker is free for it: new jobs that no linked worker can take use up each scan of the backlog.
func TestJobsOutOfReachDoNotHoldUpOthers(t *testing.T) {
	h := newHarness(t, 2)
	started := 0
	for ms := 10; ms <= 4000; ms += 10 {
		outs := []Output{h.own(after(ms), 10+ms, 1, requiring("nowhere"))}
		if ms == 500 {
			outs = append(outs, h.own(after(ms), 1, 1, func(d *DurableJob) { d.Steps[0].Estimate = 400 * time.Millisecond }))
		}
		h.Tick(after(ms))
		for _, out := range append(outs, h.flush(after(ms))) {
			started += len(startsByLink(out)[0]) + len(startsByLink(out)[1])
		}
	}
	h.is.Equal(started, 1)
	h.is.Equal(h.hasBacklog, false) // jobs out of reach are not scanned
}

// lacksAt ticks the core until the given time, while all agents report, and returns what the entry
// announces then.
func (h *harness) lacksAt(ms int, report func(now time.Time)) []runs.Lack {
	var lacks []runs.Lack
	for now := h.now; now.Before(after(ms)); now = now.Add(50 * time.Millisecond) {
		if report != nil {
			report(now)
		}
		h.ConfirmOwnership(now, now.Add(5*time.Second))
		h.Tick(now)
		_, lacks = h.Lacks(now, 8, true)
		h.flush(now)
	}
	return lacks
}

// labelled returns an edit of a report that gives the worker a label.
func labelled(label string, edit func(*runs.ToEntry)) func(*runs.ToEntry) {
	return func(m *runs.ToEntry) {
		m.Worker.Labels = []string{label}
		if edit != nil {
			edit(m)
		}
	}
}

// TestOnDemandAgentIsKeptWhileNeeded verifies that an agent which links because of a lack gets the task,
// that the lack is withdrawn, and for how long the entry keeps the agent.
func TestOnDemandAgentIsKeptWhileNeeded(t *testing.T) {
	h := newHarness(t, 2)
	h.settings.SilenceTimeout = time.Hour
	h.advanceTo(after(1500))
	h.own(after(1500), 1, 1, requiring("r1"))
	lacks := h.lacksAt(2300, nil)
	h.is.Equal(len(lacks), 1)
	h.is.Equal(lacks[0].Requirement.Label, "r1")
	h.LinkUp(after(2300), 7)
	h.receiveReport(after(2300), 7, labelled("r1", func(m *runs.ToEntry) { m.Worker.OnDemand = true }))
	out := h.flush(after(2300))
	h.is.Equal(len(startsByLink(out)[7]), 1)
	for _, s := range out.Sends {
		h.is.Equal(s.Msg.Needed, s.Link == 7)
	}
	h.is.Equal(len(h.lacksAt(2700, nil)), 0)
	h.reportHeldEndOn(after(2700), 7, 1)
	h.is.True(h.agents.Get(7).isNeeded(after(2300).Add(neededTime - time.Millisecond)))
	h.is.True(!h.agents.Get(7).isNeeded(after(2300).Add(neededTime)))
}

// reportHeldEndOn reports that the only task of a job is done.
func (h *harness) reportHeldEndOn(now time.Time, link LinkID, id int) {
	k := runs.Key{Task: TaskName(jobName(id), 0, 0), Run: 1}
	h.Receive(now, link, &runs.ToEntry{Clock: now.UnixNano(), Ends: []runs.End{{Key: k, Outcome: runs.OutcomeDone, NeedsAck: true}}})
	h.flush(now)
}

// TestLossOfTheOnlyCapableWorkerIsALack guards against jobs that are never run after the only linked
// worker that could run them is lost, while workers of other entries live.
func TestLossOfTheOnlyCapableWorkerIsALack(t *testing.T) {
	report := func(edit func(*runs.ToEntry)) func(*harness, time.Time) {
		return func(h *harness, now time.Time) { h.receiveReport(now, 0, labelled("r1", edit)) }
	}
	losses := map[string]func(h *harness, now time.Time){
		"link down": func(h *harness, now time.Time) { h.LinkDown(now, 0) },
		"draining":  report(func(m *runs.ToEntry) { m.Worker.Draining = true }),
		"released":  report(func(m *runs.ToEntry) { m.Worker.Released = true }),
		"ended":     report(func(m *runs.ToEntry) { m.Worker.ID = "" }),
		"ejected": func(h *harness, now time.Time) {
			report(func(m *runs.ToEntry) { m.Load.FailStreak = failStreakLimit })(h, now)
			h.agents.Get(0).probedAt = now // no probe is due
		},
		"replaced": func(h *harness, now time.Time) { h.receiveReport(now, 0, labelled("r2", nil)) },
		"smaller":  report(func(m *runs.ToEntry) { m.Worker.Capacity.CPU = need.CPU - 1 }),
		"silent":   func(h *harness, now time.Time) {},
		"drained": func(h *harness, now time.Time) {
			h.UpdateDrains(now, runs.DrainView{Version: 1, DataCentres: []string{"d"}})
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.settings.SilenceTimeout = 400 * time.Millisecond
			h.lacksAt(1500, func(now time.Time) {
				h.receiveReport(now, 0, labelled("r1", nil))
				h.receiveReport(now, 1, nil)
			})
			lacks := h.lacksAt(2900, func(now time.Time) {
				lose(h, now)
				h.receiveReport(now, 1, nil)
				if now.Equal(after(1950)) {
					h.own(now, 1, 1, requiring("r1"))
				}
			})
			h.is.Equal(len(lacks), 1)
		})
	}
}

// TestAwaitedJobOutOfReachIsRefusedAtOnce guards against an awaited job that starts, and waits for its
// deadline because no linked worker can take a later step.
func TestAwaitedJobOutOfReachIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	submit := func(id, ms int) {
		h.answers = nil
		h.Submit(after(ms), &Request{
			ID: RequestID(id), Job: jobName(id), Queue: queue, Spec: "x", Deadline: after(ms + 1500),
			Steps: []Step{{Count: 1, Need: need, Estimate: 50 * time.Millisecond}, {Count: 1, Need: need, Estimate: 50 * time.Millisecond, After: []int{0}, Requires: "r1"}},
		})
		out := h.flush(after(ms))
		h.is.Equal(len(startsByLink(out)[0])+len(startsByLink(out)[1]), 0)
		h.is.Equal(len(h.answers), 1)
		h.is.Equal(h.answers[0].Kind, errkind.Overloaded)
	}
	h.lacksAt(1500, nil)
	submit(1, 1500)
	h.is.Equal(h.answers[0].RetryAfter, retryDelay)
	lacks := h.lacksAt(2100, nil)
	h.is.Equal(len(lacks), 1) // another worker may be there when the caller returns
	h.lacksAt(4500, nil)
	submit(2, 4500)
	h.is.Equal(h.answers[0].RetryAfter, unreachableRetryDelay) // nobody has answered
}

// asksByLink returns the asks in an output by link.
func asksByLink(out Output) map[LinkID][]runs.Ask {
	list := make(map[LinkID][]runs.Ask)
	for _, s := range out.Sends {
		if len(s.Msg.Asks) > 0 {
			list[s.Link] = append(list[s.Link], s.Msg.Asks...)
		}
	}
	return list
}

// TestAsksReachOnlyAgentsThatHaveWhatIsLacked follows the lacks of another entry: agents hear of them
// once, if their worker has what is lacked.
func TestAsksReachOnlyAgentsThatHaveWhatIsLacked(t *testing.T) {
	h := newHarness(t, 3)
	h.receiveReport(after(10), 1, labelled("r1", nil))
	h.receiveReport(after(10), 2, labelled("r1", func(m *runs.ToEntry) { m.Worker.DataCentre = "drained" }))
	h.UpdateDrains(after(10), runs.DrainView{Version: 1, DataCentres: []string{"drained"}})
	h.flush(after(10))
	other := runs.Entry{Address: "other", Incarnation: 9}
	member := runs.Member{Entry: other, Serial: 3, Lacks: []runs.Lack{{Requirement: runs.Requirement{Service: "s", Label: "r1", Need: need}, Limit: 70}}}
	h.SetLacks(after(20), member)
	want := []runs.Ask{{Entry: other, Serial: 3, Limit: 70}}
	h.is.Equal(asksByLink(h.flush(after(20))), map[LinkID][]runs.Ask{1: want})
	h.SetLacks(after(30), member)
	h.is.Equal(len(asksByLink(h.flush(after(30)))), 0)
	h.receiveReport(after(40), 0, labelled("r1", nil)) // another worker
	h.is.Equal(asksByLink(h.flush(after(40))), map[LinkID][]runs.Ask{0: want})
	h.UpdateDrains(after(50), runs.DrainView{Version: 2})
	h.is.Equal(asksByLink(h.flush(after(50))), map[LinkID][]runs.Ask{2: want})
	member.Serial, member.Lacks = 4, nil
	h.SetLacks(after(60), member)
	over := []runs.Ask{{Entry: runs.Entry{Address: "other"}}}
	h.is.Equal(asksByLink(h.flush(after(60))), map[LinkID][]runs.Ask{0: over, 1: over, 2: over})
	h.LinkUp(after(70), 8)
	h.receiveReport(after(70), 8, labelled("r1", nil))
	h.is.Equal(len(asksByLink(h.flush(after(70)))), 0)
}
