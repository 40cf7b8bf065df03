package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/core/catalog"
	"peridotpick.example/core/policy"
	"peridotpick.example/wire/runs"
)

// refusedInBurst replays a burst with all capacity in use: urgent jobs of eight short tasks beside
// others of two longer ones, each of which would wait for 30 or 60 ms in turn. Half of the urgent
// jobs cannot wait so long, and all others can. It returns the number of refused jobs of 100 each.
func refusedInBurst(t *testing.T, p policy.Policy) (urgentRefused, otherRefused int) {
	urgent := &catalog.Queue{Name: "urgent", Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
	other := &catalog.Queue{Name: "other", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
	h := newHarness(t, 1)
	h.settings.Policy = p
	refused := map[string]int{}
	id := 0
	submit := func(now time.Time, q *catalog.Queue, tasks int, estimate time.Duration) {
		id++
		h.Submit(now, &Request{
			ID: RequestID(id), Job: jobName(id), Queue: q, Deadline: now.Add(1500 * time.Millisecond),
			Steps: []Step{{Count: tasks, Need: need, Estimate: estimate}},
		})
		h.answers = nil
		h.flush(now)
		if len(h.answers) > 0 {
			refused[q.Name]++
		}
	}
	for ms := 0; ms < 2000; ms += 20 {
		wait := 30 + 30*(ms/20%2)
		h.receiveReport(after(ms), 0, func(m *runs.ToEntry) {
			m.Load.Free = room.Resources{Memory: 100000}
			m.Load.ExpectedEnds = []runs.ExpectedEnd{{After: wait, CPU: 16000}}
		})
		submit(after(ms), urgent, 8, 60*time.Millisecond)
		submit(after(ms), other, 2, 200*time.Millisecond)
	}
	return refused["urgent"], refused["other"]
}

func TestUrgentQueueIsNotRefusedMoreThanOthers(t *testing.T) {
	is := is.New(t)
	urgent, other := refusedInBurst(t, policyWithout(t, policy.Deferring))
	is.True(urgent > 0)
	is.True(other >= urgent*8/10)
	p, err := policy.Without(string(policy.Deferring), string(policy.Yield))
	is.NoErr(err)
	_, other = refusedInBurst(t, p)
	is.Equal(other, 0)
}

// TestForecastCountsOnlyWorkersThatMayRunTheTasks: a worker that is about to be free does not help a
// task that needs another label.
func TestForecastCountsOnlyWorkersThatMayRunTheTasks(t *testing.T) {
	for _, label := range []string{"x", "y"} {
		h := newHarness(t, 2)
		h.settings.Policy = policyWithout(t, policy.Deferring)
		for i, wait := range []int{20, 300} {
			h.receiveReport(begin, i, func(m *runs.ToEntry) {
				m.Worker.Labels = []string{[]string{"x", "y"}[i]}
				m.Load.Free = room.Resources{Memory: 1000}
				m.Load.ExpectedEnds = []runs.ExpectedEnd{{After: wait, CPU: 4000}}
			})
		}
		h.Submit(begin, &Request{
			ID: 1, Job: jobName(1), Queue: queue, Deadline: after(1500),
			Steps: []Step{{Count: 2, Need: need, Estimate: 100 * time.Millisecond, Requires: label}},
		})
		h.flush(begin)
		h.is.Equal(len(h.answers) > 0, label == "y")
	}
}
