package runner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	"peridotpick.example/wire/runs"
)

// crowd is a rig whose worker has room for eight tasks, with further entries linked.
func crowd(t *testing.T, entries int) *rig {
	r := newRig(t)
	r.worker.info.Capacity = room.Room{CPU: 8000, Memory: 100}
	for i := 1; i < entries; i++ {
		r.LinkUp(start, LinkID(1+i), runs.Entry{Address: fmt.Sprintf("e:%d", 1+i), Incarnation: uint64(100 + i)})
	}
	r.Flush(start)
	return r
}

// playTasks has a task start and one end each 20 ms, for one second, and returns the
// messages to all entries.
func playTasks(r *rig) int {
	messages := 0
	listed := int64(0)
	for ms := 0; ms < 1000; ms += 10 {
		now := after(ms)
		if ms%20 == 0 {
			out := r.send(now, fmt.Sprint("t", ms))
			messages += len(out.Sends)
			for _, o := range out.Orders {
				r.Ordered(now, o, Answer{Verdict: Accepted, Clock: 5000 + int64(ms)})
			}
		} else {
			listed++
			r.lookAt(now, Listing{Ended: []Ended{{Number: listed, Key: key(fmt.Sprint("t", ms-10)), How: runs.Done}}})
		}
		messages += len(r.Flush(now).Sends)
	}
	return messages
}

// TestNewsOfTheLoadDoNotGrowWithTheEntries: the starts and ends of a busy worker are
// not told one by one to all entries.
func TestNewsOfTheLoadDoNotGrowWithTheEntries(t *testing.T) {
	is := is.New(t)
	few, many := playTasks(crowd(t, 14)), playTasks(crowd(t, 55))
	is.True(few > 100)
	is.True(many <= 600) // ends for one entry, and ten messages a second for each other one
}

// TestChangedLoadIsToldToAllInTime: what is not told at once is told after the pause.
func TestChangedLoadIsToldToAllInTime(t *testing.T) {
	r := crowd(t, 30)
	r.send(after(200), "t0") // told to all, who have heard nothing for long
	r.send(after(210), "t1")
	r.is.True(r.HasNews())
	heard := make(map[LinkID]int)
	for ms := 210; ms <= 310; ms += 10 {
		for _, s := range r.Flush(after(ms)).Sends {
			heard[s.Link] = s.Msg.Load.Free.CPU
		}
	}
	r.is.Equal(len(heard), 30)
	for _, free := range heard {
		r.is.Equal(free, 6000)
	}
	r.is.True(!r.HasNews())
}

// TestNewsToFewEntriesComeAtOnce: a small deployment decides by loads of some milliseconds.
func TestNewsToFewEntriesComeAtOnce(t *testing.T) {
	r := crowd(t, 3)
	r.send(after(50), "t0")
	out := r.send(after(60), "t1")
	r.is.Equal(len(out.Sends), 3)
	for _, s := range out.Sends {
		r.is.Equal(s.Msg.Load.Free.CPU, 6000)
	}
}
