package batch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/common/boottime"
	core "peridotpick.example/core/batch"
	"peridotpick.example/wire/runs"
)

// helloTimeout is the time in which the first message of a link must arrive.
const helloTimeout = time.Second

var lastLinkID atomic.Uint64

// link is an open link to an agent.
type link struct {
	id    core.LinkID
	queue chan *runs.ToAgent
	stop  context.CancelFunc
}

// newLink returns the link of a stream. Its stop does not block: closing a stream waits for a send in
// progress, which an agent that reads nothing blocks.
func newLink(stream runs.EntryStream, cancel context.CancelFunc) *link {
	return &link{id: core.LinkID(lastLinkID.Add(1)), queue: make(chan *runs.ToAgent, linkQueueSize), stop: func() {
		cancel()
		go func() { _ = stream.Close() }() // the link is given up in any case
	}}
}

// enqueue queues a message for sending. If the queue is full, the agent is too slow and the link is
// closed.
func (l *link) enqueue(msg *runs.ToAgent) {
	select {
	case l.queue <- msg:
	default:
		l.stop()
	}
}

// Link implements runs.Server.
func (e *Entry) Link(stream runs.EntryStream) error {
	if err := e.handshake(stream); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	l := newLink(stream, stop)
	e.post(func(c *core.Core, now time.Time) {
		e.links[l.id] = l
		c.LinkUp(now, l.id)
	})
	go func() { _ = e.readLink(stream, l) }()
	err := e.writeLink(ctx, stream, l)
	l.stop()
	e.post(func(c *core.Core, now time.Time) {
		delete(e.links, l.id)
		c.LinkDown(now, l.id)
	})
	return err
}

// handshake receives the agent's first message and replies with this entry, the other live entries
// and the drained data centres.
func (e *Entry) handshake(stream runs.EntryStream) error {
	timer := time.AfterFunc(helloTimeout, func() { _ = stream.Close() })
	defer timer.Stop()
	if _, err := stream.Recv(); err != nil {
		return eris.Wrap(err, "receive hello")
	}
	hello := &runs.ToAgent{Hello: e.peers.selfEntry(), Entries: e.peers.aliveEntries()}
	if view := e.drains.view(boottime.Now()); view.Version > 0 {
		hello.Drains = &view
	}
	return stream.Send(hello)
}

// readLink posts the agent's messages to the event loop until the link breaks.
func (e *Entry) readLink(stream runs.EntryStream, l *link) error {
	defer l.stop()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return err
		}
		e.agentTraffic.Received()
		e.post(func(c *core.Core, now time.Time) { c.Receive(now, l.id, msg) })
	}
}

// writeLink sends the queued messages until ctx ends or the link breaks.
func (e *Entry) writeLink(ctx context.Context, stream runs.EntryStream, l *link) error {
	for {
		select {
		case msg := <-l.queue:
			if err := stream.Send(msg); err != nil {
				return err
			}
			e.agentTraffic.Sent()
		case <-ctx.Done():
			return nil
		}
	}
}

// notifyAgents announces entries to all linked agents.
func (e *Entry) notifyAgents(entries []runs.Entry) {
	e.post(func(*core.Core, time.Time) {
		for _, l := range e.links {
			l.enqueue(&runs.ToAgent{Entries: entries})
		}
	})
}
