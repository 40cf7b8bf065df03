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

// Limits and times of links to agents.
const (
	linkRing    = 1024
	dialTimeout = time.Second
	// helloTimeout bounds the time to the first message of a link.
	helloTimeout = 5 * time.Second
	// retryMin and retryMax bound the pause before a link is opened again.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
	// refusalsUntilGone is the number of refused connections in a row after
	// which the agent's process has certainly ended.
	refusalsUntilGone = 2
	// unreachableUntilGone is how long an agent may be out of reach before it is
	// given up. Work that it may hold is then in doubt.
	unreachableUntilGone = 5 * time.Minute
	// silenceLimit is the number of heartbeats missed after which a link is closed.
	silenceLimit = 3
	// minHeartbeat is the shortest silence allowed on a link.
	minHeartbeat = 2 * time.Second
	// heartbeatBytes is what one exchange costs on the network with headers, and
	// heartbeatBudget what an entry may spend on all of them, in bytes a second.
	heartbeatBytes  = 300
	heartbeatBudget = 3072
)

// agentLink is an open link to an agent.
type agentLink struct {
	id       dispatch.LinkID
	agent    rank.ID
	ring     chan *wire.ToAgent
	done     chan struct{}
	once     sync.Once
	received atomic.Int64
	sent     atomic.Int64
}

func (l *agentLink) close() { l.once.Do(func() { close(l.done) }) }

// linkManager opens links to announced agents and keeps them open.
type linkManager struct {
	entry  *Entry
	nextID atomic.Uint64

	mu sync.Mutex
	// connectors are the agents that a connector works for.
	connectors map[rank.ID]bool
	// links are the open ones.
	links map[dispatch.LinkID]*agentLink
}

func newLinkManager(e *Entry) *linkManager {
	return &linkManager{entry: e, connectors: make(map[rank.ID]bool), links: make(map[dispatch.LinkID]*agentLink)}
}

// count returns the number of open links.
func (m *linkManager) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// send hands a message to a link's writer, or closes a link that has fallen behind.
func (m *linkManager) send(id dispatch.LinkID, msg *wire.ToAgent) {
	m.mu.Lock()
	l := m.links[id]
	m.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.ring <- msg:
		l.sent.Store(time.Now().UnixNano())
	default:
		l.close()
	}
}

// broadcast sends a message to every agent.
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

// heartbeat returns the silence allowed on each link, so that all together
// stay within the budget.
func (m *linkManager) heartbeat() time.Duration {
	needed := time.Duration(float64(m.count()) * heartbeatBytes / heartbeatBudget * float64(time.Second))
	return max(minHeartbeat, needed)
}

// heartbeats speaks on silent links and closes those whose agent is silent.
func (m *linkManager) heartbeats(now time.Time) {
	every := m.heartbeat()
	var silent []dispatch.LinkID
	m.mu.Lock()
	for id, l := range m.links {
		if now.Sub(time.Unix(0, l.received.Load())) > silenceLimit*every {
			l.close()
			continue
		}
		if now.Sub(time.Unix(0, l.sent.Load())) >= every {
			silent = append(silent, id)
		}
	}
	m.mu.Unlock()
	for _, id := range silent {
		m.send(id, &wire.ToAgent{Heartbeat: every})
	}
}

// connect starts a connector for an agent unless there is one.
func (m *linkManager) connect(id rank.ID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connectors[id] || m.entry.work.Err() != nil {
		return
	}
	m.connectors[id] = true
	go m.run(id, address)
}

// run keeps a link to one agent incarnation until that is gone.
func (m *linkManager) run(id rank.ID, address string) {
	ctx := m.entry.work
	refusals := 0
	pause := retryMin
	lastUp := time.Now()
	for ctx.Err() == nil {
		err := m.serve(ctx, id, address, func() { lastUp = time.Now(); refusals = 0; pause = retryMin })
		if refused(err) {
			refusals++
		}
		gone := errors.Is(err, errOtherAgent) || refusals >= refusalsUntilGone || time.Since(lastUp) > unreachableUntilGone
		if gone {
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
	m.entry.post(func(core *dispatch.Core, now time.Time) { core.AgentGone(now, id) })
}

// refused reports whether nothing listens at the address.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// errOtherAgent means that another agent or incarnation has the address.
var errOtherAgent = eris.New("another agent answers at the address")

// serve opens a link and serves it until it breaks.
func (m *linkManager) serve(ctx context.Context, id rank.ID, address string, up func()) error {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.entry.deps.Transport.Dial(dialing, address)
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
	told := *m.entry.live.Load()
	first, err := m.greet(stream, stop, id, told)
	if err != nil {
		return err
	}
	up()
	l := &agentLink{
		id: dispatch.LinkID(m.nextID.Add(1)), agent: id,
		ring: make(chan *wire.ToAgent, linkRing), done: make(chan struct{}),
	}
	l.received.Store(time.Now().UnixNano())
	l.sent.Store(time.Now().UnixNano())
	m.open(l, first, told)
	go m.write(linkCtx, stream, l, stop)
	err = m.read(stream, l)
	l.close()
	m.closed(l)
	return err
}

// greet exchanges the first messages and checks that the right agent answers.
func (m *linkManager) greet(stream wire.EntryStream, stop func(), id rank.ID, live []wire.EntryInfo) (*wire.ToEntry, error) {
	timer := time.AfterFunc(helloTimeout, stop)
	defer timer.Stop()
	hello := &wire.Hello{
		Entry: m.entry.self, Agent: id.Agent, Incarnation: id.Incarnation,
		Heartbeat: m.heartbeat(), Entries: live,
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

// open registers a link. An agent that was told of other entries than are alive
// now has missed the broadcast of the change.
func (m *linkManager) open(l *agentLink, first *wire.ToEntry, told []wire.EntryInfo) {
	m.mu.Lock()
	m.links[l.id] = l
	m.mu.Unlock()
	if live := *m.entry.live.Load(); !sameEntries(told, live) {
		m.send(l.id, &wire.ToAgent{Entries: live})
	}
	m.entry.post(func(core *dispatch.Core, now time.Time) {
		core.LinkUp(now, l.id, first.Info)
		core.Receive(now, l.id, first)
	})
	m.entry.log.Info().Str("agent", l.agent.Agent).Msg("entry: link up")
}

func (m *linkManager) closed(l *agentLink) {
	m.mu.Lock()
	delete(m.links, l.id)
	m.mu.Unlock()
	m.entry.post(func(core *dispatch.Core, now time.Time) { core.LinkDown(now, l.id) })
	m.entry.log.Info().Str("agent", l.agent.Agent).Msg("entry: link down")
}

func (m *linkManager) read(stream wire.EntryStream, l *agentLink) error {
	for {
		msg, err := stream.Recv()
		if err != nil {
			return err
		}
		l.received.Store(time.Now().UnixNano())
		m.entry.post(func(core *dispatch.Core, now time.Time) { core.Receive(now, l.id, msg) })
	}
}

// write sends what is in the link's ring. Its end makes the reader end too.
func (m *linkManager) write(ctx context.Context, stream wire.EntryStream, l *agentLink, stop func()) {
	defer stop()
	for {
		select {
		case msg := <-l.ring:
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

// sendTo sends a message to an agent if there is a link.
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
