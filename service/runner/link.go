package runner

import (
	"context"
	"sync/atomic"
	"time"

	core "peridotpick.example/core/runner"
	"peridotpick.example/service/transport"
	"peridotpick.example/wire/runs"
)

// Silence of an entry after which its link is closed and opened anew. A link
// with runs must be back before the lease is over.
const (
	silenceBusy = 260 * time.Millisecond
	silenceIdle = 1500 * time.Millisecond
	silencePoll = 50 * time.Millisecond
	idlePoll    = 300 * time.Millisecond
)

var lastLink atomic.Uint64

// link is an open link to an entry.
type link struct {
	id   core.LinkID
	ring chan *runs.ToEntry
	stop context.CancelFunc
	// heard is when the entry's last message came, in Unix ns.
	heard atomic.Int64
	// busy is true while the entry has runs here: the entry speaks often then.
	busy atomic.Bool
}

// enqueue hands a message to the writer, or closes a link that has fallen behind.
func (l *link) enqueue(msg *runs.ToEntry) {
	select {
	case l.ring <- msg:
	default:
		l.stop()
	}
}

// serve opens a link to an entry and serves it until it breaks. It reports
// whether the link was open.
func (a *Agent) serve(ctx context.Context, address string) bool {
	dialing, cancel := context.WithTimeout(ctx, transport.DialTimeout)
	defer cancel()
	conn, err := a.deps.Transport.Dial(dialing, address)
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
	hello, err := a.greet(stream, stop)
	if err != nil {
		return false
	}
	l := &link{id: core.LinkID(lastLink.Add(1)), ring: make(chan *runs.ToEntry, linkRing), stop: stop}
	l.heard.Store(time.Now().UnixNano())
	a.opened(address, l, hello)
	go a.write(linkCtx, l, stream)
	go l.watch(linkCtx)
	a.read(l, stream)
	a.closed(l, address)
	return true
}

// greet says who the agent is and hears who the entry is.
func (a *Agent) greet(stream runs.AgentEnd, stop func()) (*runs.ToAgent, error) {
	timer := time.AfterFunc(transport.DialTimeout, stop)
	defer timer.Stop()
	if err := stream.Send(&runs.ToEntry{}); err != nil {
		return nil, err
	}
	return stream.Recv()
}

func (a *Agent) opened(address string, l *link, first *runs.ToAgent) {
	var entry runs.Entry
	if first.Hello != nil {
		entry = *first.Hello
	}
	a.post(func(c *core.Core, now time.Time) {
		a.links[l.id] = l
		if first.Drains != nil {
			c.LearnDrains(now, *first.Drains)
		}
		c.LinkUp(now, l.id, entry)
	})
	a.dir.learn(append(first.Entries, entry))
	a.dir.opened(address, l)
	a.log.Info().Str("entry", entry.Address).Uint64("incarnation", entry.Incarnation).Msg("agent: link up")
}

func (a *Agent) closed(l *link, address string) {
	a.dir.closed(address)
	a.post(func(c *core.Core, now time.Time) {
		delete(a.links, l.id)
		c.LinkDown(now, l.id)
	})
	a.log.Info().Str("entry", address).Dur("silence", time.Since(time.Unix(0, l.heard.Load()))).Msg("agent: link down")
}

func (a *Agent) read(l *link, stream runs.AgentEnd) {
	defer l.stop()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return
		}
		l.heard.Store(time.Now().UnixNano())
		a.traffic.Received()
		a.dir.learn(msg.Entries)
		a.post(func(c *core.Core, now time.Time) { c.Receive(now, l.id, msg) })
	}
}

func (a *Agent) write(ctx context.Context, l *link, stream runs.AgentEnd) {
	defer l.stop()
	for {
		select {
		case msg := <-l.ring:
			if stream.Send(msg) != nil {
				return
			}
			a.traffic.Sent()
		case <-ctx.Done():
			return
		}
	}
}

// watch closes a link on which the entry has gone silent.
func (l *link) watch(ctx context.Context) {
	for {
		limit, poll := silenceIdle, idlePoll
		if l.busy.Load() {
			limit, poll = silenceBusy, silencePoll
		}
		if time.Since(time.Unix(0, l.heard.Load())) > limit {
			l.stop()
			return
		}
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			return
		}
	}
}
