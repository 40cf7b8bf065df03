package runner

import (
	"context"
	"sync/atomic"
	"time"

	core "peridotpick.example/core/runner"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// Times after which a link without messages from its entry is closed and opened again, and the
// intervals at which this is checked. A link whose entry has runs here is busy: it must be open
// again before the lease of the entry expires.
const (
	busySilenceTimeout       = 260 * time.Millisecond
	idleSilenceTimeout       = 1500 * time.Millisecond
	busySilenceCheckInterval = 50 * time.Millisecond
	idleSilenceCheckInterval = 300 * time.Millisecond
)

// lastLinkID is the ID of the newest link of the process.
var lastLinkID atomic.Uint64

// link is an open connection to an entry.
type link struct {
	id        core.LinkID
	sendQueue chan *runs.ToEntry
	stop      context.CancelFunc
	// lastReceived is the time of the last message from the entry, in Unix ns.
	lastReceived atomic.Int64
	// busy is true while the entry has runs here. The entry then sends messages often.
	busy atomic.Bool
}

// enqueue queues a message for the writer. If the queue is full, it closes the link.
func (l *link) enqueue(msg *runs.ToEntry) {
	select {
	case l.sendQueue <- msg:
	default:
		l.stop()
	}
}

// serveLink opens a link to an entry and serves it until it breaks. It reports whether the link was
// open.
func (a *Agent) serveLink(ctx context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, transport.DialTimeout)
	defer cancel()
	conn, err := a.deps.Transport.Dial(dialCtx, address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	linkCtx, stop := context.WithCancel(ctx)
	defer stop()
	stream, err := runs.OpenLink(linkCtx, conn)
	if err != nil {
		return false
	}
	first, err := a.handshake(stream, stop)
	if err != nil {
		return false
	}
	l := &link{id: core.LinkID(lastLinkID.Add(1)), sendQueue: make(chan *runs.ToEntry, sendQueueSize), stop: stop}
	l.lastReceived.Store(time.Now().UnixNano())
	a.linkOpened(address, l, first)
	go a.writeLoop(linkCtx, l, stream)
	go l.closeWhenSilent(linkCtx)
	a.readLoop(l, address, stream)
	a.linkClosed(l, address)
	return true
}

// handshake sends the agent's first message and returns the entry's, which contains its hello. The
// agent identifies itself later, once the core knows the link.
func (a *Agent) handshake(stream runs.AgentStream, stop func()) (*runs.ToAgent, error) {
	timer := time.AfterFunc(transport.DialTimeout, stop)
	defer timer.Stop()
	if err := stream.Send(&runs.ToEntry{}); err != nil {
		return nil, err
	}
	return stream.Recv()
}

// linkOpened announces a new link to the core and the directory. first is the entry's first
// message.
func (a *Agent) linkOpened(address string, l *link, first *runs.ToAgent) {
	var entry runs.Entry
	if first.Hello != nil {
		entry = *first.Hello
	}
	a.post(func(c *core.Core, now time.Time) {
		a.links[l.id] = l
		if first.Drains != nil {
			c.UpdateDrains(now, *first.Drains)
		}
		c.LinkUp(now, l.id, entry)
	})
	a.directory.learn(append(first.Entries, entry))
	a.directory.linkOpened(address, l)
	a.log.Info().Str("entry", entry.Address).Uint64("incarnation", entry.Incarnation).Msg("agent: link up")
}

// linkClosed announces the end of a link to the core and the directory.
func (a *Agent) linkClosed(l *link, address string) {
	a.directory.linkClosed(address)
	a.post(func(c *core.Core, now time.Time) {
		delete(a.links, l.id)
		c.LinkDown(now, l.id)
	})
	a.log.Info().Str("entry", address).Dur("silence", time.Since(time.Unix(0, l.lastReceived.Load()))).Msg("agent: link down")
}

// readLoop passes messages of the entry to the core until the link breaks.
func (a *Agent) readLoop(l *link, address string, stream runs.AgentStream) {
	defer l.stop()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return
		}
		l.lastReceived.Store(time.Now().UnixNano())
		a.traffic.Received()
		a.directory.learn(msg.Entries)
		a.directory.receiveAsks(msg.Asks)
		if msg.Needed {
			a.directory.setNeeded(address)
		}
		a.post(func(c *core.Core, now time.Time) { c.Receive(now, l.id, msg) })
	}
}

// writeLoop sends queued messages to the entry until the link breaks.
func (a *Agent) writeLoop(ctx context.Context, l *link, stream runs.AgentStream) {
	defer l.stop()
	for {
		select {
		case msg := <-l.sendQueue:
			if stream.Send(msg) != nil {
				return
			}
			a.traffic.Sent()
		case <-ctx.Done():
			return
		}
	}
}

// closeWhenSilent closes the link once no message has arrived for longer than the timeout.
func (l *link) closeWhenSilent(ctx context.Context) {
	for {
		timeout, interval := idleSilenceTimeout, idleSilenceCheckInterval
		if l.busy.Load() {
			timeout, interval = busySilenceTimeout, busySilenceCheckInterval
		}
		if time.Since(time.Unix(0, l.lastReceived.Load())) > timeout {
			l.stop()
			return
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
	}
}
