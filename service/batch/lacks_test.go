package batch

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpick.example/common/room"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/catalog"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// fakeAgent is an agent with a worker that has a label, and a link to one entry.
type fakeAgent struct {
	stream runs.AgentStream
	asks   chan runs.Ask
}

// linkAgent opens a link to an entry.
func linkAgent(t *testing.T, e *Entry, label string) *fakeAgent {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	conn, err := transport.New(nil).Dial(ctx, e.self.Address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := runs.OpenLink(ctx, conn)
	is.NoErr(err)
	is.NoErr(stream.Send(&runs.ToEntry{}))
	a := &fakeAgent{stream: stream, asks: make(chan runs.Ask, 100)}
	is.NoErr(stream.Send(&runs.ToEntry{Clock: 1, Worker: &runs.Worker{
		ID: "w-" + label, Agent: "a-" + label, Service: "s", DataCentre: "d", Labels: []string{label}, Capacity: room.Resources{CPU: 4000, Memory: 1000},
	}, Load: &runs.Load{Free: room.Resources{CPU: 4000, Memory: 1000}}}))
	go func() {
		for {
			msg, err := stream.Recv()
			if err != nil {
				return
			}
			for _, ask := range msg.Asks {
				a.asks <- ask
			}
		}
	}()
	return a
}

// TestAgentsOfOtherEntriesAreAsked checks that what one of several entries lacks reaches the agent that
// has it, which is linked to another entry, and that its link ends the lack.
func TestAgentsOfOtherEntriesAreAsked(t *testing.T) {
	is := is.New(t)
	entries, _ := startEntries(t, 5)
	waitFor(t, "some entries do not know all others", allKnowCount(entries, 5))
	linkAgent(t, entries[0], "common")
	able, unable := linkAgent(t, entries[4], "rare"), linkAgent(t, entries[3], "common")
	time.Sleep(1200 * time.Millisecond) // right after the start nothing is lacking
	queue := &catalog.Queue{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Target: time.Second}
	submit := func(name string) core.Answer {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return entries[0].Submit(ctx, core.Request{Job: name, Queue: queue, Steps: []core.Step{{
			Count: 1, Need: room.Resources{CPU: 1000, Memory: 10}, Estimate: 100 * time.Millisecond, Requires: "rare",
		}}}, time.Second)
	}
	is.Equal(submit("0000000000000001").RetryAfter, time.Second) // refused
	select {
	case ask := <-able.asks:
		is.Equal(ask.Entry.Address, entries[0].self.Address)
		is.Equal(ask.Limit, uint64(math.MaxUint64))
	case <-time.After(5 * time.Second):
		t.Fatal("the agent was not asked")
	}
	is.Equal(len(unable.asks), 0)
	linkAgent(t, entries[0], "rare")
	select {
	case ask := <-able.asks:
		is.Equal(ask.Limit, uint64(0)) // withdrawn
	case <-time.After(5 * time.Second):
		t.Fatal("the ask was not withdrawn")
	}
}
