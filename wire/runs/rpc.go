package runs

import (
	"context"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"peridotpick.example/wire"
)

// Names of the remote procedures.
const (
	rpcLink   = "/peridotpick.Runs/Link"
	rpcGossip = "/peridotpick.Runs/Gossip"
)

// Server is the interface that an entry implements.
type Server interface {
	// Link serves the link of one agent until either side closes it.
	Link(stream EntryStream) error
	// Gossip serves a stream of another entry until either side closes it.
	Gossip(stream GossipStream) error
}

// Handler dispatches remote procedure calls to a Server.
type Handler struct{ Server Server }

// HandleRPC implements drpc.Handler.
func (h Handler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rpcLink:
		return h.Server.Link(EntryStream{stream})
	case rpcGossip:
		return h.Server.Gossip(GossipStream{stream})
	}
	return drpc.ProtocolError.New("unknown rpc: %q", rpc)
}

// OpenLink opens an agent's link to an entry.
func OpenLink(ctx context.Context, conn drpc.Conn) (AgentStream, error) {
	stream, err := conn.NewStream(ctx, rpcLink, wire.Encoding)
	return AgentStream{stream}, eris.Wrap(err, "open link")
}

// OpenGossip opens a gossip stream to another entry.
func OpenGossip(ctx context.Context, conn drpc.Conn) (GossipStream, error) {
	stream, err := conn.NewStream(ctx, rpcGossip, wire.Encoding)
	return GossipStream{stream}, eris.Wrap(err, "open gossip")
}

// EntryStream is the entry's end of a link.
type EntryStream struct{ drpc.Stream }

// Send sends msg to the agent.
func (s EntryStream) Send(msg *ToAgent) error { return s.MsgSend(msg, wire.Encoding) }

// Recv receives the next message of the agent.
func (s EntryStream) Recv() (*ToEntry, error) {
	msg := new(ToEntry)
	return msg, s.MsgRecv(msg, wire.Encoding)
}

// AgentStream is the agent's end of a link.
type AgentStream struct{ drpc.Stream }

// Send sends msg to the entry.
func (s AgentStream) Send(msg *ToEntry) error { return s.MsgSend(msg, wire.Encoding) }

// Recv receives the next message of the entry.
func (s AgentStream) Recv() (*ToAgent, error) {
	msg := new(ToAgent)
	return msg, s.MsgRecv(msg, wire.Encoding)
}

// GossipStream is either end of a gossip stream between two entries.
type GossipStream struct{ drpc.Stream }

// Send sends msg to the other entry.
func (s GossipStream) Send(msg *Gossip) error { return s.MsgSend(msg, wire.Encoding) }

// Recv receives the next message of the other entry.
func (s GossipStream) Recv() (*Gossip, error) {
	msg := new(Gossip)
	return msg, s.MsgRecv(msg, wire.Encoding)
}
