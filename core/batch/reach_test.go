package batch

import (
	"testing"
	"time"

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
}
