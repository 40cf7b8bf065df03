package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/core/agentcore"
	"peridotpick.example/wire"
)

// link is one entry's link.
type link struct {
	id        agentcore.LinkID
	entry     wire.EntryInfo
	ring      chan *wire.ToEntry
	done      chan struct{}
	once      sync.Once
	heartbeat atomic.Int64
	received  atomic.Int64
	sent      atomic.Int64
}

func (l *link) lastReceived() time.Time { return time.Unix(0, l.received.Load()) }
func (l *link) lastSent() time.Time     { return time.Unix(0, l.sent.Load()) }

// enqueue hands a message to the writer, or closes a link that has fallen behind.
func (l *link) enqueue(msg *wire.ToEntry) {
	select {
	case l.ring <- msg:
		l.sent.Store(time.Now().UnixNano())
	default:
		l.close()
	}
}

func (l *link) close() { l.once.Do(func() { close(l.done) }) }

// helloTimeout bounds the time to the first message of a link.
const helloTimeout = 5 * time.Second

// Link implements wire.AgentServer.
func (a *Agent) Link(stream wire.AgentStream) error {
	hello, err := a.hello(stream)
	if err != nil {
		return err
	}
	l := &link{
		id: agentcore.LinkID(a.nextLink.Add(1)), entry: hello.Entry,
		ring: make(chan *wire.ToEntry, linkRing), done: make(chan struct{}),
	}
	l.heartbeat.Store(int64(hello.Heartbeat))
	l.received.Store(time.Now().UnixNano())
	a.post(func(now time.Time) agentcore.Output {
		a.links[l.id] = l
		return a.core.LinkUp(now, l.id, hello.Entry)
	})
	a.announcer.linked(hello.Entry, hello.Entries)
	a.log.Info().Str("entry", hello.Entry.ID).Dur("heartbeat", hello.Heartbeat).Msg("agent: link up")
	go a.read(stream, l)
	err = write(stream, l)
	l.close()
	_ = stream.Close()
	a.announcer.unlinked(hello.Entry)
	a.post(func(now time.Time) agentcore.Output {
		delete(a.links, l.id)
		return a.core.LinkDown(now, l.id)
	})
	a.log.Info().Str("entry", hello.Entry.ID).Msg("agent: link down")
	return err
}

// hello receives the first message and checks that this agent is meant.
func (a *Agent) hello(stream wire.AgentStream) (*wire.Hello, error) {
	timer := time.AfterFunc(helloTimeout, func() { _ = stream.Close() })
	defer timer.Stop()
	msg, err := stream.Recv()
	if err != nil {
		return nil, eris.Wrap(err, "receive hello")
	}
	hello := msg.Hello
	if hello == nil || hello.Agent != a.info.ID || hello.Incarnation != a.info.Incarnation {
		return nil, eris.New("hello is for another agent")
	}
	return hello, nil
}

func (a *Agent) read(stream wire.AgentStream, l *link) {
	defer l.close()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return
		}
		l.received.Store(time.Now().UnixNano())
		if msg.Heartbeat > 0 {
			l.heartbeat.Store(int64(msg.Heartbeat))
		}
		if len(msg.Entries) > 0 {
			a.announcer.learn(l.entry, msg.Entries)
		}
		a.post(func(now time.Time) agentcore.Output {
			return a.core.Receive(now, l.id, msg)
		})
	}
}

func write(stream wire.AgentStream, l *link) error {
	for {
		select {
		case msg := <-l.ring:
			if err := stream.Send(msg); err != nil {
				return err
			}
		case <-l.done:
			return nil
		case <-stream.Context().Done():
			return nil
		}
	}
}
