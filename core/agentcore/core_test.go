package agentcore

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpick.example/common/errkind"
	"peridotpick.example/wire"
)

var start = time.Unix(1000, 0)

func newCore(slots, queue int) *Core {
	return New(Settings{
		Info:               wire.AgentInfo{ID: "a", Incarnation: 1, Slots: slots, Queue: queue},
		TombstoneRetention: time.Minute, ResultRetention: time.Hour, MaxResultBytes: 1000,
	})
}

var (
	entryA = wire.EntryInfo{ID: "A", Incarnation: 1}
	entryB = wire.EntryInfo{ID: "B", Incarnation: 2}
)

func startBatch(sub string, epoch uint64, class uint8, indexes ...uint32) *wire.ToAgent {
	b := &wire.StartBatch{Submission: sub, Epoch: epoch, Class: class, Remaining: time.Minute}
	for _, i := range indexes {
		b.Tasks = append(b.Tasks, wire.TaskStart{Index: i, Attempt: 1, Checksum: wire.Checksum(nil)})
	}
	return &wire.ToAgent{Starts: []*wire.StartBatch{b}}
}

func resultsOf(out Output) []*wire.Result {
	var list []*wire.Result
	for _, s := range out.Sends {
		list = append(list, s.Msg.Results...)
	}
	return list
}

func TestDuplicateStartIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCore(2, 2)
	c.LinkUp(start, 1, entryA)
	is.Equal(len(c.Receive(start, 1, startBatch("s", 1, 0, 0)).Executions), 1)
	is.Equal(len(c.Receive(start, 1, startBatch("s", 1, 0, 0)).Executions), 0)
}

func TestFenceWithdrawsQueuedAndReportsStarted(t *testing.T) {
	is := is.New(t)
	c := newCore(1, 2)
	c.LinkUp(start, 1, entryA)
	c.LinkUp(start, 2, entryB)
	c.Receive(start, 1, startBatch("s", 1, 0, 0, 1))
	out := c.Receive(start, 2, &wire.ToAgent{Fences: []wire.Fence{{Submission: "s", Epoch: 2}}})
	var reply wire.FenceReply
	for _, s := range out.Sends {
		if s.Link == 2 {
			reply = s.Msg.Fences[0]
		}
	}
	is.Equal(len(reply.Tasks), 1)
	is.Equal(reply.Tasks[0].Phase, wire.PhaseRunning)
	refused := resultsOf(c.Receive(start, 1, startBatch("s", 1, 0, 2)))
	is.Equal(refused[0].Kind, errkind.Fenced)
	is.True(refused[0].NotRun)
	// The result goes to the new owner.
	out = c.ExecutionFinished(start, ExecID{"s", 0, 1}, Completion{})
	is.Equal(out.Sends[0].Link, LinkID(2))
}

func TestOlderLinkOfAnIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCore(2, 2)
	c.LinkUp(start, 1, entryA)
	c.LinkUp(start, 2, entryA)
	is.Equal(len(c.Receive(start, 1, startBatch("s", 1, 0, 0)).Executions), 0)
}

func TestTombstoneFencesUntilItExpires(t *testing.T) {
	is := is.New(t)
	c := newCore(2, 2)
	c.LinkUp(start, 1, entryA)
	c.Receive(start, 1, startBatch("s", 1, 0, 0))
	c.ExecutionFinished(start, ExecID{"s", 0, 1}, Completion{Payload: []byte("result")})
	c.Receive(start, 1, &wire.ToAgent{Acks: []wire.Ack{{Submission: "s", Epoch: 1}}})
	_, resultBytes := c.Retained()
	is.Equal(resultBytes, 0)
	is.Equal(resultsOf(c.Receive(start, 1, startBatch("s", 1, 0, 0)))[0].Kind, errkind.Fenced)
	// A voided submission may be claimed and sent again with the next epoch.
	is.Equal(len(c.Receive(start, 1, startBatch("s", 2, 0, 0)).Executions), 1)
	c.ExecutionFinished(start, ExecID{"s", 0, 1}, Completion{})
	c.Receive(start, 1, &wire.ToAgent{Acks: []wire.Ack{{Submission: "s", Epoch: 2}}})
	c.Tick(start.Add(2 * time.Minute))
	submissions, _ := c.Retained()
	is.Equal(submissions, 0)
}

func TestDroppedResultMakesFenceRepliesPartial(t *testing.T) {
	is := is.New(t)
	c := newCore(2, 2)
	c.LinkUp(start, 1, entryA)
	c.Receive(start, 1, startBatch("s", 1, 0, 0))
	c.ExecutionFinished(start, ExecID{"s", 0, 1}, Completion{})
	c.Tick(start.Add(2 * time.Hour))
	out := c.Receive(start, 1, &wire.ToAgent{Fences: []wire.Fence{{Submission: "s", Epoch: 2}}})
	is.True(out.Sends[0].Msg.Fences[0].Partial)
}

func TestUrgentTaskWithdrawsQueuedBatchTask(t *testing.T) {
	is := is.New(t)
	c := newCore(1, 1)
	c.LinkUp(start, 1, entryA)
	c.Receive(start, 1, startBatch("b", 1, 2, 0, 1)) // one is running, one is queued
	refused := resultsOf(c.Receive(start, 1, startBatch("u", 1, 0, 0)))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Submission, "b")
	is.Equal(c.ExecutionFinished(start, ExecID{"b", 0, 1}, Completion{}).Executions[0].ID.Submission, "u")
}

func TestNewWorkIsRefusedBeyondMaxResultBytes(t *testing.T) {
	is := is.New(t)
	c := newCore(2, 2)
	c.LinkUp(start, 1, entryA)
	c.Receive(start, 1, startBatch("s", 1, 0, 0))
	c.ExecutionFinished(start, ExecID{"s", 0, 1}, Completion{Payload: make([]byte, 2000)})
	refused := resultsOf(c.Receive(start, 1, startBatch("t", 1, 0, 0)))
	is.Equal(refused[0].Kind, errkind.Overloaded)
	is.True(refused[0].NotRun)
}

func TestDrainAndRestRefuseNewWork(t *testing.T) {
	is := is.New(t)
	c := newCore(1, 1)
	c.LinkUp(start, 1, entryA)
	out := c.Receive(start, 1, &wire.ToAgent{RestFor: time.Second})
	is.True(out.Sends[0].Msg.NotAccepting)
	is.Equal(resultsOf(c.Receive(start, 1, startBatch("s", 1, 0, 0)))[0].Kind, errkind.Draining)
	out = c.Tick(start.Add(2 * time.Second))
	is.True(!out.Sends[0].Msg.NotAccepting) // a rest ends without a further message
	is.True(c.Drain(start).Sends[0].Msg.NotAccepting)
}

// firstRunning returns the ID that sorts first as text, so that the choice does not depend on the
// order of the map.
func firstRunning(running map[ExecID]bool) (ExecID, bool) {
	var least ExecID
	found := false
	for id := range running {
		if !found || fmt.Sprint(id) < fmt.Sprint(least) {
			least, found = id, true
		}
	}
	return least, found
}

// TestWithdrawnRetryRestoresTheEndedAttempt guards against a second run of an ended attempt: the
// withdrawal of a queued retry must not remove the record of the attempt before it, or a duplicate
// of that attempt is accepted.
func TestWithdrawnRetryRestoresTheEndedAttempt(t *testing.T) {
	is := is.New(t)
	c := newCore(1, 2)
	c.LinkUp(start, 1, entryA)
	c.Receive(start, 1, startBatch("s", 1, 0, 0))
	c.ExecutionFinished(start, ExecID{"s", 0, 1}, Completion{Kind: errkind.TaskFailed})
	c.Receive(start, 1, startBatch("t", 1, 0, 0)) // takes the slot
	retry := startBatch("s", 1, 0, 0)
	retry.Starts[0].Tasks[0].Attempt = 2
	c.Receive(start, 1, retry)
	c.Receive(start, 1, &wire.ToAgent{Cancels: []wire.Cancel{{Submission: "s", Epoch: 1}}})
	c.ExecutionFinished(start, ExecID{"t", 0, 1}, Completion{})
	is.Equal(len(c.Receive(start, 1, startBatch("s", 1, 0, 0)).Executions), 0) // attempt 1 is a duplicate
}

// TestMain fixes the seed of rapid, so that every run draws the same messages.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestNeverExceedsSlotsNorRunsATaskTwice sends random messages to the core and checks that no
// attempt is executed twice, no task runs twice at once, and no more tasks run than there are slots.
func TestNeverExceedsSlotsNorRunsATaskTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore(2, 2)
		now := start
		running := make(map[ExecID]bool)
		ever := make(map[ExecID]bool)
		handle := func(out Output) {
			for _, e := range out.Executions {
				if ever[e.ID] {
					t.Fatalf("%v executed twice", e.ID)
				}
				for other := range running {
					if other.Submission == e.ID.Submission && other.Index == e.ID.Index {
						t.Fatalf("%v started while %v was running", e.ID, other)
					}
				}
				ever[e.ID], running[e.ID] = true, true
			}
			if len(running) > 2 {
				t.Fatalf("%d executions are running on 2 slots", len(running))
			}
		}
		handle(c.LinkUp(now, 1, entryA))
		handle(c.LinkUp(now, 2, entryB))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			link := LinkID(rapid.IntRange(1, 2).Draw(t, "link"))
			sub := rapid.SampledFrom([]string{"s", "t"}).Draw(t, "sub")
			epoch := uint64(rapid.IntRange(1, 3).Draw(t, "epoch"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				msg := startBatch(sub, epoch, 0, uint32(rapid.IntRange(0, 2).Draw(t, "task")))
				msg.Starts[0].Tasks[0].Attempt = uint32(rapid.IntRange(1, 3).Draw(t, "attempt"))
				handle(c.Receive(now, link, msg))
			case 2:
				handle(c.Receive(now, link, &wire.ToAgent{Fences: []wire.Fence{{Submission: sub, Epoch: epoch}}}))
			case 3:
				if id, ok := firstRunning(running); ok {
					delete(running, id)
					handle(c.ExecutionFinished(now, id, Completion{}))
				}
			case 4:
				handle(c.Receive(now, link, &wire.ToAgent{Cancels: []wire.Cancel{{Submission: sub, Epoch: epoch}}}))
			}
		}
	})
}
