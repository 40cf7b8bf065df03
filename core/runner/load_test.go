package runner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// newHarnessWithEntries returns a harness whose worker has capacity for eight tasks, with links to
// the given number of entries.
func newHarnessWithEntries(t *testing.T, entries int) *harness {
	h := newHarness(t)
	h.worker.info.Capacity = room.Resources{CPU: 8000, Memory: 100}
	for i := 1; i < entries; i++ {
		h.LinkUp(start, LinkID(1+i), runs.Entry{Address: fmt.Sprintf("e:%d", 1+i), Incarnation: uint64(100 + i)})
	}
	h.Flush(start)
	return h
}

// runTasks has one task start and one end every 20 ms, for one second, and returns the number of
// messages to all entries.
func runTasks(h *harness) int {
	messages := 0
	listed := int64(0)
	for ms := 0; ms < 1000; ms += 10 {
		now := after(ms)
		if ms%20 == 0 {
			out := h.send(now, fmt.Sprint("t", ms))
			messages += len(out.Sends)
			for _, o := range out.Orders {
				h.OrderAnswered(now, o, Answer{Status: Accepted, Clock: 5000 + int64(ms)})
			}
		} else {
			listed++
			h.pollAt(now, Listing{Ended: []Ended{{Number: listed, Key: key(fmt.Sprint("t", ms-10)), Outcome: runs.OutcomeDone}}})
		}
		messages += len(h.Flush(now).Sends)
	}
	return messages
}

// TestLoadUpdatesDoNotGrowWithTheEntries: the starts and ends of a busy worker are not sent one
// by one to all entries.
func TestLoadUpdatesDoNotGrowWithTheEntries(t *testing.T) {
	is := is.New(t)
	few, many := runTasks(newHarnessWithEntries(t, 14)), runTasks(newHarnessWithEntries(t, 55))
	is.True(few > 100)
	is.True(many <= 600) // ends for one entry, and ten messages a second for each other one
}

// TestChangedLoadReachesAllEntriesInTime: a load that is not sent at once is sent after the
// interval.
func TestChangedLoadReachesAllEntriesInTime(t *testing.T) {
	h := newHarnessWithEntries(t, 30)
	h.send(after(200), "t0") // sent to all, since the last messages are long ago
	h.send(after(210), "t1")
	h.is.True(h.HasUnsentLoad())
	freeCPU := make(map[LinkID]int)
	for ms := 210; ms <= 310; ms += 10 {
		for _, s := range h.Flush(after(ms)).Sends {
			freeCPU[s.Link] = s.Msg.Load.Free.CPU
		}
	}
	h.is.Equal(len(freeCPU), 30)
	for _, free := range freeCPU {
		h.is.Equal(free, 6000)
	}
	h.is.True(!h.HasUnsentLoad())
}

// TestLoadUpdatesToFewEntriesAreSentAtOnce: a small deployment decides by loads that are a few
// milliseconds old.
func TestLoadUpdatesToFewEntriesAreSentAtOnce(t *testing.T) {
	h := newHarnessWithEntries(t, 3)
	h.send(after(50), "t0")
	out := h.send(after(60), "t1")
	h.is.Equal(len(out.Sends), 3)
	for _, s := range out.Sends {
		h.is.Equal(s.Msg.Load.Free.CPU, 6000)
	}
}
