package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/core/catalog"
	"peridotpick.example/wire/runs"
)

// TestUrgentQueueIsNotRefusedMoreThanOthers replays a burst with all room taken:
// urgent jobs of eight short tasks beside others of two longer ones.
func TestUrgentQueueIsNotRefusedMoreThanOthers(t *testing.T) {
	is := is.New(t)
	urgent := &catalog.Queue{Name: "urgent", Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
	other := &catalog.Queue{Name: "other", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
	r := newRig(t, 1)
	refused := map[string]int{}
	id := 0
	submit := func(now time.Time, q *catalog.Queue, tasks int, estimate time.Duration) {
		id++
		r.Submit(now, &Request{
			ID: RequestID(id), Job: jobName(id), Queue: q, Deadline: now.Add(1500 * time.Millisecond),
			Steps: []Step{{Count: tasks, Need: need, Estimate: estimate}},
		})
		r.got = nil
		r.flush(now)
		if len(r.got) > 0 {
			refused[q.Name]++
		}
	}
	for ms := 0; ms < 2000; ms += 20 {
		// A wait of 70 ms for whatever comes: over the slack of urgent jobs half of
		// the time, never over that of the others.
		wait := 50 + 40*(ms/20%2)
		r.hear(after(ms), 0, func(m *runs.ToEntry) {
			m.Load.Free = room.Room{Memory: 100000}
			m.Load.Freeings = []runs.Freeing{{After: wait, CPU: 8000}}
		})
		submit(after(ms), urgent, 8, 60*time.Millisecond)
		submit(after(ms), other, 2, 200*time.Millisecond)
	}
	is.True(refused["urgent"] > 0)
	is.True(refused["other"] > refused["urgent"]/3) // without yielding it is 0
}

func TestQueueYieldsOnlyWhileAMoreUrgentOneIsRefused(t *testing.T) {
	is := is.New(t)
	urgent := &catalog.Queue{Name: "u", Service: "s", Priority: 0}
	other := &catalog.Queue{Name: "o", Service: "s", Priority: 1}
	apart := &catalog.Queue{Name: "a", Service: "t", Priority: 1}
	y := newYielding()
	for range 20 {
		y.of(begin, urgent).offered++
		y.of(begin, urgent).lost++
		y.of(begin, other).offered++
	}
	is.True(!y.givesWay(begin, urgent))
	is.True(!y.givesWay(begin, apart))
	is.True(y.givesWay(begin, other))
	is.True(!y.givesWay(begin.Add(10*time.Second), other)) // losses of long ago do not count
	for range 20 {
		y.of(begin, other).lost++
	}
	is.True(!y.givesWay(begin, other)) // it bears as much itself
}
