package batch

import (
	"fmt"
	"testing"
	"time"

	"peridotpick.example/wire/runs"
)

// newSilenceHarness returns a harness with two agents and a SilenceTimeout, that owns a durable job of
// one task. It also returns the agents with and without the task's run.
func newSilenceHarness(t *testing.T) (h *harness, busy, idle int) {
	h = newHarness(t, 2)
	h.settings.SilenceTimeout = 1600 * time.Millisecond
	if len(startsByLink(h.own(begin, 1, 1, nil))[1]) > 0 {
		return h, 1, 0
	}
	return h, 0, 1
}

// hearFrom ticks the core until the given time, while one agent reports and all records are stored. It
// returns the starts sent to the agent and the links closed.
func (h *harness) hearFrom(agent int, until time.Time) (starts []runs.Start, closed []LinkID) {
	for now := h.now; now.Before(until); now = now.Add(50 * time.Millisecond) {
		h.receiveReport(now, agent, nil)
		h.Tick(now)
		out := h.flush(now)
		starts = append(starts, startsByLink(out)[LinkID(agent)]...)
		closed = append(closed, out.CloseLinks...)
		for _, r := range out.Records {
			h.RecordStored(now, r.Job, r.Seq)
		}
	}
	return starts, closed
}

// TestRunsAtSilentAgentAreReplaced guards against kept jobs that are never run again: a machine without
// power leaves its link open and says nothing.
func TestRunsAtSilentAgentAreReplaced(t *testing.T) {
	h, busy, idle := newSilenceHarness(t)
	starts, closed := h.hearFrom(idle, after(1550))
	h.is.Equal(len(starts)+len(closed), 0)
	starts, closed = h.hearFrom(idle, after(2800))
	h.is.Equal(closed, []LinkID{LinkID(busy)})
	h.is.Equal(len(starts), 0) // the leases of the last heartbeat, sent up to 1.6 s, have not expired
	starts, _ = h.hearFrom(idle, after(3100))
	h.is.Equal(len(starts), 1)
	h.is.Equal(starts[0].Key.Run, uint32(2))
}

// TestSuspensionIsNotSilenceOfAgents guards against an entry that replaces all runs when it resumes,
// before it has read what the agents have sent meanwhile.
func TestSuspensionIsNotSilenceOfAgents(t *testing.T) {
	h, busy, idle := newSilenceHarness(t)
	h.Tick(after(4000))
	h.is.Equal(len(h.flush(after(4000)).CloseLinks), 0)
	_, closed := h.hearFrom(idle, after(5550))
	h.is.Equal(len(closed), 0)
	_, closed = h.hearFrom(idle, after(5700))
	h.is.Equal(closed, []LinkID{LinkID(busy)})
}

// TestAgentIsUsedAgainAfterItsSilence guards against two runs of a task: an agent that was frozen opens a
// new link, and the run that it still has is not replaced.
func TestAgentIsUsedAgainAfterItsSilence(t *testing.T) {
	h, busy, idle := newSilenceHarness(t)
	h.hearFrom(idle, after(1700))
	const newLink = 7
	report := func(ms int) {
		h.receiveReport(after(ms), newLink, func(m *runs.ToEntry) { m.Worker.Agent, m.Worker.ID = fmt.Sprintf("a%d", busy), workerID(busy) })
	}
	h.LinkUp(after(1800), newLink)
	report(1800)
	out := h.flush(after(1800))
	h.is.Equal(len(out.Sends[0].Msg.Owned), 1)
	for ms := 1850; ms < 5000; ms += 50 {
		report(ms)
		starts, _ := h.hearFrom(idle, after(ms))
		h.is.Equal(len(starts), 0)
	}
}
