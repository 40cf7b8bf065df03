package entry

import (
	"context"
	"time"

	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// Announce implements wire.EntryServer. It opens a link to the announcing agent, unless the entry
// drains or only the live entries are asked for, and returns the live entries.
func (e *Entry) Announce(_ context.Context, req *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if !req.OnlyEntries && !e.draining.Load() {
		id := rank.ID{Agent: req.Agent.ID, Incarnation: req.Agent.Incarnation}
		e.links.connect(id, req.Agent.Address)
	}
	return &wire.AnnounceReply{Entries: *e.liveEntries.Load()}, nil
}

// maxPeerWait bounds the time for which other entries and polling callers may wait for an outcome.
const maxPeerWait = 30 * time.Second

// Await implements wire.EntryServer. It waits for the outcome of a submission that the requested
// incarnation owns, and answers with the incarnation alone if that is not this one.
func (e *Entry) Await(_ context.Context, req *wire.AwaitRequest) (*wire.AwaitReply, error) {
	reply := &wire.AwaitReply{Incarnation: e.self.Incarnation}
	if req.Incarnation != e.self.Incarnation {
		return reply, nil
	}
	reply.Outcome, reply.Known = e.awaitOutcome(req.Submission, min(req.Wait, maxPeerWait), req.Cancel)
	return reply, nil
}
