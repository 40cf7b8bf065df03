package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/core/agentcore"
	"peridotpick.example/wire"
)

// link is a link to an entry. lastReceivedNanos and lastSentNanos are the Unix times in nanoseconds
// of the last messages.
type link struct {
	id                agentcore.LinkID
	entry             wire.EntryInfo
	sendQueue         chan *wire.ToEntry
	done              chan struct{}
	closeOnce         sync.Once
	heartbeatInterval atomic.Int64
	lastReceivedNanos atomic.Int64
	lastSentNanos     atomic.Int64
}

func (l *link) lastReceived() time.Time { return time.Unix(0, l.lastReceivedNanos.Load()) }
func (l *link) lastSent() time.Time     { return time.Unix(0, l.lastSentNanos.Load()) }

// enqueue queues a message for the writer. It closes the link if its send queue is full.
func (l *link) enqueue(msg *wire.ToEntry) {
	select {
	case l.sendQueue <- msg:
		l.lastSentNanos.Store(time.Now().UnixNano())
	default:
		l.close()
	}
}

func (l *link) close() { l.closeOnce.Do(func() { close(l.done) }) }

// helloTimeout bounds the time until the first message of a link.
const helloTimeout = 5 * time.Second

// Link implements wire.AgentServer. It serves the link of an entry until the link closes.
func (a *Agent) Link(stream wire.AgentStream) error {
	hello, err := a.receiveHello(stream)
	if err != nil {
		return err
	}
	l := &link{
		id: agentcore.LinkID(a.nextLink.Add(1)), entry: hello.Entry,
		sendQueue: make(chan *wire.ToEntry, sendQueueSize), done: make(chan struct{}),
	}
	l.heartbeatInterval.Store(int64(hello.Heartbeat))
	l.lastReceivedNanos.Store(time.Now().UnixNano())
	a.post(func(now time.Time) agentcore.Output {
		a.links[l.id] = l
		return a.core.LinkUp(now, l.id, hello.Entry)
	})
	a.announcer.addLink(hello.Entry, hello.Entries)
	a.log.Info().Str("entry", hello.Entry.ID).Dur("heartbeat", hello.Heartbeat).Msg("agent: link up")
	go a.readLoop(stream, l)
	err = writeLoop(stream, l)
	l.close()
	_ = stream.Close()
	a.announcer.removeLink(hello.Entry)
	a.post(func(now time.Time) agentcore.Output {
		delete(a.links, l.id)
		return a.core.LinkDown(now, l.id)
	})
	a.log.Info().Str("entry", hello.Entry.ID).Msg("agent: link down")
	return err
}

// receiveHello receives the first message. It returns an error if the message is no hello for this
// incarnation of the agent.
func (a *Agent) receiveHello(stream wire.AgentStream) (*wire.Hello, error) {
	timer := time.AfterFunc(helloTimeout, func() { _ = stream.Close() })
	defer timer.Stop()
	msg, err := stream.Recv()
	if err != nil {
		return nil, eris.Wrap(err, "receive hello")
	}
	hello := msg.Hello
	if hello == nil || hello.Agent != a.info.ID || hello.Incarnation != a.info.Incarnation {
		return nil, eris.New("first message is not a hello for this incarnation of the agent")
	}
	return hello, nil
}

// readLoop hands received messages to the core until the stream ends, and then closes the link.
func (a *Agent) readLoop(stream wire.AgentStream, l *link) {
	defer l.close()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return
		}
		l.lastReceivedNanos.Store(time.Now().UnixNano())
		if msg.Heartbeat > 0 {
			l.heartbeatInterval.Store(int64(msg.Heartbeat))
		}
		if len(msg.Entries) > 0 {
			a.announcer.updateFromLink(l.entry, msg.Entries)
		}
		a.post(func(now time.Time) agentcore.Output {
			return a.core.Receive(now, l.id, msg)
		})
	}
}

// writeLoop sends queued messages until the link closes or the stream ends.
func writeLoop(stream wire.AgentStream, l *link) error {
	for {
		select {
		case msg := <-l.sendQueue:
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
