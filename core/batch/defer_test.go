package batch

import (
	"testing"
	"time"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// full is a load without room, of which some frees after a time.
func full(after, cpu int) func(*runs.ToEntry) {
	return func(m *runs.ToEntry) {
		m.Load.Free = room.Room{Memory: 1000}
		m.Load.Freeings = []runs.Freeing{{After: after, CPU: cpu}}
	}
}

func TestJobThatWouldBeLateWaitsForRoomThatStaysFree(t *testing.T) {
	r := newRig(t, 1)
	r.hear(begin, 0, full(200, 1000))
	out := r.submit(begin, 1, 2, 100*time.Millisecond) // its slack is 120 ms
	r.is.Equal(len(out.Sends), 0)
	r.is.Equal(len(r.got), 0)
	r.hear(after(200), 0, func(m *runs.ToEntry) { m.Load.Free = room.Room{CPU: 1000, Memory: 1000} })
	r.is.Equal(len(started(r.flush(after(200)))[0]), 0) // not in parts
	r.hear(after(210), 0, nil)
	starts := started(r.flush(after(210)))[0]
	r.is.Equal(len(starts), 2)
	r.is.True(runs.SlackBand(starts[0].Slack) == runs.SlackBands-1) // behind all that can be in time
}

func TestDeferredJobLeavesHeadroom(t *testing.T) {
	r := newRig(t, 1)
	r.hear(begin, 0, full(200, 1000))
	r.submit(begin, 1, 2, 100*time.Millisecond)
	r.hear(after(200), 0, func(m *runs.ToEntry) { m.Load.Free = room.Room{CPU: 2100, Memory: 1000} })
	r.is.Equal(len(started(r.flush(after(200)))[0]), 0) // 100 would be left, 5% are 200
	r.hear(after(210), 0, func(m *runs.ToEntry) { m.Load.Free = room.Room{CPU: 2200, Memory: 1000} })
	r.is.Equal(len(started(r.flush(after(210)))[0]), 2)
}

func TestDeferredJobIsGivenUpOnceItCannotBeOfUse(t *testing.T) {
	r := newRig(t, 1)
	r.hear(begin, 0, full(200, 1000))
	// Of use until 660 ms, so it must begin by 550, and 125 ms are expected until then.
	r.submit(begin, 1, 1, 100*time.Millisecond)
	r.pass(after(440))
	r.is.Equal(len(r.got), 0)
	r.pass(after(560))
	r.is.Equal(r.got, []Answer{{Request: 1, Kind: errkind.Overloaded, RetryAfter: time.Second}})
	r.is.Equal(r.jobs.Len(), 0)
}

func TestJobIsRefusedAtOnceIfTooMuchIsDeferred(t *testing.T) {
	r := newRig(t, 1)
	r.hear(begin, 0, full(200, 1000))
	refusedAt := 0
	for id := 1; id <= 20 && refusedAt == 0; id++ {
		r.submit(begin, id, 4, 100*time.Millisecond)
		if len(r.got) > 0 {
			refusedAt = id
		}
	}
	// 0.2 of four cores for 540 ms are one job of 0.4 core-seconds.
	r.is.Equal(refusedAt, 2)
}

func TestCallerOfADeferredJobMayLeave(t *testing.T) {
	r := newRig(t, 1)
	r.hear(begin, 0, full(200, 1000))
	r.submit(begin, 1, 1, 100*time.Millisecond)
	r.Cancel(after(50), 1)
	r.hear(after(60), 0, nil)
	r.is.Equal(len(started(r.flush(after(60)))[0]), 0)
	r.is.Equal(r.deferred.Len(), 0)
	r.is.Equal(r.jobs.Len(), 0)
}

func TestEntryThatHasJustBegunWaitsForItsWorkers(t *testing.T) {
	r := newRig(t, 0)
	r.submit(after(10), 1, 1, 100*time.Millisecond)
	r.is.Equal(len(r.got), 0)
	r.LinkUp(after(60), 0)
	r.hear(after(60), 0, nil)
	r.is.Equal(len(started(r.flush(after(60)))[0]), 1)
	later := newRig(t, 0)
	later.pass(after(1100))
	later.submit(after(1100), 1, 1, 100*time.Millisecond)
	later.is.Equal(len(later.got), 1) // by now it knows
}
