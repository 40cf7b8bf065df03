package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"peridotpick.example/core/dispatch"
	"peridotpick.example/core/rank"
	"peridotpick.example/wire"
)

// Limits and timeouts of links to agents.
const (
	// sendQueueSize is the number of messages that may wait for the writer of a link.
	sendQueueSize = 1024
	// dialTimeout bounds one attempt to connect to an agent or another entry.
	dialTimeout = time.Second
	// helloTimeout bounds the exchange of the first messages on a link.
	helloTimeout = 5 * time.Second
	// retryMin and retryMax bound the pause between attempts to open a link, which doubles each time.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
	// refusalsUntilEnded is the number of refused connections since the link was last up after which
	// the agent's process has certainly ended.
	refusalsUntilEnded = 2
	// unreachableTimeout is the time after which an unreachable agent is given up. Tasks that it may
	// have started are then in doubt.
	unreachableTimeout = 5 * time.Minute
	// maxMissedHeartbeats is the number of heartbeat intervals without a message from the agent after
	// which its link is closed.
	maxMissedHeartbeats = 3
	// minHeartbeatInterval is the shortest heartbeat interval.
	minHeartbeatInterval = 2 * time.Second
	// heartbeatBytes is the network traffic of one heartbeat exchange in bytes, packet headers
	// included; heartbeatBudget is the traffic of all heartbeats of an entry in bytes per second.
	heartbeatBytes  = 300
	heartbeatBudget = 3072
)

// agentLink is an open link to an agent. lastReceived and lastSent are Unix times in nanoseconds of
// the last messages.
type agentLink struct {
	id           dispatch.LinkID
	agent        rank.ID
	sendQueue    chan *wire.ToAgent
	done         chan struct{}
	closeOnce    sync.Once
	lastReceived atomic.Int64
	lastSent     atomic.Int64
}

func (l *agentLink) close() { l.closeOnce.Do(func() { close(l.done) }) }

// linkManager opens links to announced agents and keeps them open.
type linkManager struct {
	entry  *Entry
	nextID atomic.Uint64

	mu sync.Mutex
	// connectors are the agent incarnations for which a connector runs.
	connectors map[rank.ID]bool
	// links are the open links.
	links map[dispatch.LinkID]*agentLink
}

func newLinkManager(e *Entry) *linkManager {
	return &linkManager{entry: e, connectors: make(map[rank.ID]bool), links: make(map[dispatch.LinkID]*agentLink)}
}

// openLinks returns the number of open links.
func (m *linkManager) openLinks() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// send queues a message for a link's writer. It closes the link if its send queue is full.
func (m *linkManager) send(id dispatch.LinkID, msg *wire.ToAgent) {
	m.mu.Lock()
	l := m.links[id]
	m.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.sendQueue <- msg:
		l.lastSent.Store(time.Now().UnixNano())
	default:
		l.close()
	}
}

// broadcast sends a message to all linked agents.
func (m *linkManager) broadcast(msg *wire.ToAgent) {
	m.mu.Lock()
	ids := make([]dispatch.LinkID, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	for _, id := range ids {
		m.send(id, msg)
	}
}

// heartbeatInterval returns the heartbeat interval of each link. It grows with the number of links,
// so that all heartbeats together stay within heartbeatBudget.
func (m *linkManager) heartbeatInterval() time.Duration {
	needed := time.Duration(float64(m.openLinks()) * heartbeatBytes / heartbeatBudget * float64(time.Second))
	return max(minHeartbeatInterval, needed)
}

// checkLinks sends heartbeats on links on which nothing was sent for a heartbeat interval, and closes
// links whose agent has missed maxMissedHeartbeats.
func (m *linkManager) checkLinks(now time.Time) {
	interval := m.heartbeatInterval()
	var idle []dispatch.LinkID
	m.mu.Lock()
	for id, l := range m.links {
		if now.Sub(time.Unix(0, l.lastReceived.Load())) > maxMissedHeartbeats*interval {
			l.close()
			continue
		}
		if now.Sub(time.Unix(0, l.lastSent.Load())) >= interval {
			idle = append(idle, id)
		}
	}
	m.mu.Unlock()
	for _, id := range idle {
		m.send(id, &wire.ToAgent{Heartbeat: interval})
	}
}

// connect starts a connector for an agent incarnation unless one is running.
func (m *linkManager) connect(id rank.ID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connectors[id] || m.entry.work.Err() != nil {
		return
	}
	m.connectors[id] = true
	go m.maintainLink(id, address)
}

// maintainLink keeps a link to one agent incarnation open until the incarnation has ended or has been
// unreachable for unreachableTimeout, and then reports it to the core as ended.
func (m *linkManager) maintainLink(id rank.ID, address string) {
	ctx := m.entry.work
	refusals := 0
	pause := retryMin
	lastUp := time.Now()
	for ctx.Err() == nil {
		err := m.serveLink(ctx, id, address, func() { lastUp = time.Now(); refusals = 0; pause = retryMin })
		if isConnectionRefused(err) {
			refusals++
		}
		ended := errors.Is(err, errOtherAgent) || refusals >= refusalsUntilEnded || time.Since(lastUp) > unreachableTimeout
		if ended {
			break
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, retryMax)
	}
	m.mu.Lock()
	delete(m.connectors, id)
	m.mu.Unlock()
	m.entry.post(func(core *dispatch.Core, now time.Time) { core.AgentEnded(now, id) })
}

// isConnectionRefused reports whether nothing listens at the dialed address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// errOtherAgent reports that another agent or incarnation has the address.
var errOtherAgent = eris.New("another agent answers at the address")

// serveLink opens a link and serves it until it fails. It calls onUp once the link is open.
func (m *linkManager) serveLink(ctx context.Context, id rank.ID, address string, onUp func()) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.entry.deps.Transport.Dial(dialCtx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	linkCtx, stop := context.WithCancel(ctx)
	defer stop()
	stream, err := wire.OpenLink(linkCtx, conn)
	if err != nil {
		return err
	}
	sentEntries := *m.entry.liveEntries.Load()
	first, err := m.exchangeHello(stream, stop, id, sentEntries)
	if err != nil {
		return err
	}
	onUp()
	l := &agentLink{
		id: dispatch.LinkID(m.nextID.Add(1)), agent: id,
		sendQueue: make(chan *wire.ToAgent, sendQueueSize), done: make(chan struct{}),
	}
	l.lastReceived.Store(time.Now().UnixNano())
	l.lastSent.Store(time.Now().UnixNano())
	m.addLink(l, first, sentEntries)
	go m.writeLoop(linkCtx, stream, l, stop)
	err = m.readLoop(stream, l)
	l.close()
	m.removeLink(l)
	return err
}

// exchangeHello exchanges the first messages and returns that of the agent. It returns
// errOtherAgent if another agent or incarnation answers.
func (m *linkManager) exchangeHello(stream wire.EntryStream, stop func(), id rank.ID, live []wire.EntryInfo) (*wire.ToEntry, error) {
	timer := time.AfterFunc(helloTimeout, stop)
	defer timer.Stop()
	hello := &wire.Hello{
		Entry: m.entry.self, Agent: id.Agent, Incarnation: id.Incarnation,
		Heartbeat: m.heartbeatInterval(), Entries: live,
	}
	if err := stream.Send(&wire.ToAgent{Hello: hello}); err != nil {
		return nil, err
	}
	first, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if first.Info == nil || first.Info.ID != id.Agent || first.Info.Incarnation != id.Incarnation {
		return nil, errOtherAgent
	}
	return first, nil
}

// addLink registers a link. sentEntries are the live entries sent in the hello; if they have changed
// since, the agent has missed the broadcast of the change and gets the new list here.
func (m *linkManager) addLink(l *agentLink, first *wire.ToEntry, sentEntries []wire.EntryInfo) {
	m.mu.Lock()
	m.links[l.id] = l
	m.mu.Unlock()
	if live := *m.entry.liveEntries.Load(); !sameEntries(sentEntries, live) {
		m.send(l.id, &wire.ToAgent{Entries: live})
	}
	m.entry.post(func(core *dispatch.Core, now time.Time) {
		core.LinkUp(now, l.id, first.Info)
		core.Receive(now, l.id, first)
	})
	m.entry.log.Info().Str("agent", l.agent.Agent).Msg("entry: link up")
}

// removeLink unregisters a link that has ended.
func (m *linkManager) removeLink(l *agentLink) {
	m.mu.Lock()
	delete(m.links, l.id)
	m.mu.Unlock()
	m.entry.post(func(core *dispatch.Core, now time.Time) { core.LinkDown(now, l.id) })
	m.entry.log.Info().Str("agent", l.agent.Agent).Msg("entry: link down")
}

// readLoop hands received messages to the core until the stream ends.
func (m *linkManager) readLoop(stream wire.EntryStream, l *agentLink) error {
	for {
		msg, err := stream.Recv()
		if err != nil {
			return err
		}
		l.lastReceived.Store(time.Now().UnixNano())
		m.entry.post(func(core *dispatch.Core, now time.Time) { core.Receive(now, l.id, msg) })
	}
}

// writeLoop sends queued messages until the link closes. It then calls stop, which ends readLoop.
func (m *linkManager) writeLoop(ctx context.Context, stream wire.EntryStream, l *agentLink, stop func()) {
	defer stop()
	for {
		select {
		case msg := <-l.sendQueue:
			if stream.Send(msg) != nil {
				return
			}
		case <-l.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendTo sends a message on the newest link to an agent, if there is one.
func (m *linkManager) sendTo(agent rank.ID, msg *wire.ToAgent) {
	m.mu.Lock()
	var id dispatch.LinkID
	for _, l := range m.links {
		if l.agent == agent {
			id = max(id, l.id)
		}
	}
	m.mu.Unlock()
	m.send(id, msg)
}
