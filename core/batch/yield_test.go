package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// TestUrgentQueueIsNotRefusedMoreThanOthers replays a burst with all capacity in use: urgent jobs
// of eight short tasks beside others of two longer ones. Without yielding the urgent queue would
// lose most.
func TestUrgentQueueIsNotRefusedMoreThanOthers(t *testing.T) {
	is := is.New(t)
	urgent := &catalog.Queue{Name: "urgent", Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
	other := &catalog.Queue{Name: "other", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
	h := newHarness(t, 1)
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
		// Every job would wait for 50 or 90 ms in turn, 70 ms on average: longer than the slack of
		// urgent jobs half of the time, but never longer than that of the others.
		wait := 50 + 40*(ms/20%2)
		h.receiveReport(after(ms), 0, func(m *runs.ToEntry) {
			m.Load.Free = room.Resources{Memory: 100000}
			m.Load.ExpectedEnds = []runs.ExpectedEnd{{After: wait, CPU: 8000}}
		})
		submit(after(ms), urgent, 8, 60*time.Millisecond)
		submit(after(ms), other, 2, 200*time.Millisecond)
	}
	is.True(refused["urgent"] > 0)
	is.True(refused["other"] > refused["urgent"]/3) // 0 without yielding
}

func TestQueueYieldsOnlyWhileAMoreUrgentOneLosesJobs(t *testing.T) {
	is := is.New(t)
	urgent := &catalog.Queue{Name: "u", Service: "s", Priority: 0}
	other := &catalog.Queue{Name: "o", Service: "s", Priority: 1}
	apart := &catalog.Queue{Name: "a", Service: "t", Priority: 1}
	y := newLossTracker()
	for range 20 {
		y.forQueue(begin, urgent).offered++
		y.forQueue(begin, urgent).lost++
		y.forQueue(begin, other).offered++
	}
	is.True(!y.mustYield(begin, urgent))
	is.True(!y.mustYield(begin, apart))
	is.True(y.mustYield(begin, other))
	is.True(!y.mustYield(begin.Add(10*time.Second), other)) // old losses do not count
	for range 20 {
		y.forQueue(begin, other).lost++
	}
	is.True(!y.mustYield(begin, other)) // its own losses are as high
}
