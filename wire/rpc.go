package wire

import (
	"context"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

// Names of the remote procedures.
const (
	rpcLink     = "/peridotpick.Agent/Link"
	rpcAnnounce = "/peridotpick.Entry/Announce"
	rpcAwait    = "/peridotpick.Entry/Await"
)

// EntryServer is implemented by an entry.
type EntryServer interface {
	// Announce opens a link to the announcing agent unless one is open, and returns the
	// live entries.
	Announce(ctx context.Context, req *AnnounceRequest) (*AnnounceReply, error)
	// Await waits for the outcome of a submission that this entry owns, or cancels the
	// submission.
	Await(ctx context.Context, req *AwaitRequest) (*AwaitReply, error)
}

// AgentServer is implemented by an agent.
type AgentServer interface {
	// Link serves the link of one entry until either side closes it.
	Link(stream AgentStream) error
}

// EntryHandler dispatches an entry's remote procedures.
type EntryHandler struct{ Server EntryServer }

// HandleRPC implements drpc.Handler.
func (h EntryHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rpcAnnounce:
		return serveUnary(stream, h.Server.Announce)
	case rpcAwait:
		return serveUnary(stream, h.Server.Await)
	}
	return drpc.ProtocolError.New("unknown rpc: %q", rpc)
}

// AgentHandler dispatches an agent's remote procedures.
type AgentHandler struct{ Server AgentServer }

// HandleRPC implements drpc.Handler.
func (h AgentHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != rpcLink {
		return drpc.ProtocolError.New("unknown rpc: %q", rpc)
	}
	return h.Server.Link(AgentStream{stream})
}

func serveUnary[Req, Reply any](stream drpc.Stream, serve func(context.Context, *Req) (*Reply, error)) error {
	req := new(Req)
	if err := stream.MsgRecv(req, Encoding); err != nil {
		return eris.Wrap(err, "receive request")
	}
	reply, err := serve(stream.Context(), req)
	if err != nil {
		return err
	}
	return stream.MsgSend(reply, Encoding)
}

// Announce calls EntryServer.Announce.
func Announce(ctx context.Context, conn drpc.Conn, req *AnnounceRequest) (*AnnounceReply, error) {
	reply := new(AnnounceReply)
	err := conn.Invoke(ctx, rpcAnnounce, Encoding, req, reply)
	return reply, eris.Wrap(err, "announce")
}

// Await calls EntryServer.Await.
func Await(ctx context.Context, conn drpc.Conn, req *AwaitRequest) (*AwaitReply, error) {
	reply := new(AwaitReply)
	err := conn.Invoke(ctx, rpcAwait, Encoding, req, reply)
	return reply, eris.Wrap(err, "await")
}

// OpenLink calls AgentServer.Link.
func OpenLink(ctx context.Context, conn drpc.Conn) (EntryStream, error) {
	stream, err := conn.NewStream(ctx, rpcLink, Encoding)
	return EntryStream{stream}, eris.Wrap(err, "open link")
}

// EntryStream is the entry's end of a link.
type EntryStream struct{ drpc.Stream }

// Send sends msg to the agent.
func (s EntryStream) Send(msg *ToAgent) error { return s.MsgSend(msg, Encoding) }

// Recv receives the next message of the agent.
func (s EntryStream) Recv() (*ToEntry, error) {
	msg := new(ToEntry)
	return msg, s.MsgRecv(msg, Encoding)
}

// AgentStream is the agent's end of a link.
type AgentStream struct{ drpc.Stream }

// Send sends msg to the entry.
func (s AgentStream) Send(msg *ToEntry) error { return s.MsgSend(msg, Encoding) }

// Recv receives the next message of the entry.
func (s AgentStream) Recv() (*ToAgent, error) {
	msg := new(ToAgent)
	return msg, s.MsgRecv(msg, Encoding)
}
