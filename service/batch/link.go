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

// helloTimeout bounds the time to the first message of a link.
const helloTimeout = time.Second

var lastLink atomic.Uint64

// link is an open link to an agent.
type link struct {
	id   core.LinkID
	ring chan *runs.ToAgent
	stop context.CancelFunc
}

// enqueue hands a message to the writer, or closes a link that has fallen behind.
func (l *link) enqueue(msg *runs.ToAgent) {
	select {
	case l.ring <- msg:
	default:
		l.stop()
	}
}

// Link implements runs.Server.
func (e *Entry) Link(stream runs.EntryEnd) error {
	if err := e.greet(stream); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	l := &link{id: core.LinkID(lastLink.Add(1)), ring: make(chan *runs.ToAgent, linkRing), stop: func() {
		stop()
		_ = stream.Close()
	}}
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

// greet hears the agent and says who the entry is and which others it knows.
func (e *Entry) greet(stream runs.EntryEnd) error {
	timer := time.AfterFunc(helloTimeout, func() { _ = stream.Close() })
	defer timer.Stop()
	if _, err := stream.Recv(); err != nil {
		return eris.Wrap(err, "receive hello")
	}
	hello := &runs.ToAgent{Hello: e.peers.self(), Entries: e.peers.alive()}
	if view := e.drains.view(boottime.Now()); view.Version > 0 {
		hello.Drains = &view
	}
	return stream.Send(hello)
}

func (e *Entry) readLink(stream runs.EntryEnd, l *link) error {
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

func (e *Entry) writeLink(ctx context.Context, stream runs.EntryEnd, l *link) error {
	for {
		select {
		case msg := <-l.ring:
			if err := stream.Send(msg); err != nil {
				return err
			}
			e.agentTraffic.Sent()
		case <-ctx.Done():
			return nil
		}
	}
}

// tellAgents tells all agents of the entries that are known now.
func (e *Entry) tellAgents(entries []runs.Entry) {
	e.post(func(*core.Core, time.Time) {
		for _, l := range e.links {
			l.enqueue(&runs.ToAgent{Entries: entries})
		}
	})
}
