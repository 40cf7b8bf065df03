package entry

import (
	"context"
	"time"

	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// Announce implements wire.EntryServer.
func (e *Entry) Announce(_ context.Context, req *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if !req.OnlyEntries && !e.draining.Load() {
		id := rank.ID{Agent: req.Agent.ID, Incarnation: req.Agent.Incarnation}
		e.links.connect(id, req.Agent.Address)
	}
	return &wire.AnnounceReply{Entries: *e.live.Load()}, nil
}

// maxPeerWait bounds the wait of another entry.
const maxPeerWait = 30 * time.Second

// Await implements wire.EntryServer.
func (e *Entry) Await(_ context.Context, req *wire.AwaitRequest) (*wire.AwaitReply, error) {
	reply := &wire.AwaitReply{Incarnation: e.self.Incarnation}
	if req.Incarnation != e.self.Incarnation {
		return reply, nil
	}
	reply.Outcome, reply.Known = e.watch(req.Submission, min(req.Wait, maxPeerWait), req.Cancel)
	return reply, nil
}
