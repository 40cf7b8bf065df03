// Package intake accepts the connections of clients that may not behave, and bounds what they make the
// process hold together. Package core/intake decides which connections are closed.
package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"peridotpick.example/common/logs"
	core "peridotpick.example/core/intake"
)

// ErrGivenWay is the error of a request that is not received further, since the server's clients hold
// too much together.
var ErrGivenWay = errors.New("request gave way to others")

// logsPerSecond is the limit of log lines about closed connections, of each outcome.
const logsPerSecond = 2

// refusal is the answer on a connection that is not taken, or whose request is not received further.
// Nothing has run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Settings configure a Listener.
type Settings struct {
	// Name names the listener in metrics and logs.
	Name   string
	Limits core.Limits
}

// Listener accepts connections within limits. It is safe for concurrent use.
type Listener struct {
	*net.TCPListener
	settings             Settings
	log                  zerolog.Logger
	logBudget            *logs.Budget
	metrics              metrics.Registry
	openGauge, heldGauge metrics.Gauge

	mu    sync.Mutex
	table *core.Table
	conns map[core.ID]*Conn
	next  core.ID
}

// Listen listens at an IP:port.
func Listen(address string, settings Settings, registry metrics.Registry, log zerolog.Logger) (*Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	listener := l.(*net.TCPListener)
	if err := limitBacklog(listener, backlog(settings.Limits.Connections)); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return &Listener{
		TCPListener: listener, settings: settings, log: log, logBudget: logs.NewBudget(logsPerSecond), metrics: registry,
		openGauge: metrics.GetOrRegisterGauge(settings.Name+".connections", registry),
		heldGauge: metrics.GetOrRegisterGauge(settings.Name+".request_bytes", registry),
		table:     core.New(settings.Limits), conns: make(map[core.ID]*Conn),
	}, nil
}

const (
	// receiveBuffer is the size of the kernel's buffer for received bytes of a connection. It holds any
	// ordinary request, and bounds what a connection that is not read makes the kernel hold.
	receiveBuffer = 8 << 10
	// lastPacketBytes is what the kernel takes beyond a full buffer, since it takes whole packets.
	lastPacketBytes = 4 << 10
	// maxUnreadBytes is the most that the kernel holds of a connection. It doubles the size of a buffer,
	// for its own use, but fills all of it if packets are large.
	maxUnreadBytes = 2*receiveBuffer + lastPacketBytes
	// maxBacklog is the most connections that wait to be accepted; more are usual only in a flood.
	maxBacklog = 1024
)

// backlog returns how many connections wait to be accepted at a listener with the given limit.
func backlog(connections int) int { return min(connections, maxBacklog) }

// UnreadBytes returns the most that the kernel holds of all connections at a listener with the given
// limit, those that wait to be accepted included.
func UnreadBytes(connections int) int64 {
	return int64(connections+backlog(connections)) * maxUnreadBytes
}

// limitReceiveBuffer sets the receive buffer of a listening socket, which its connections inherit.
func limitReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	err := control(socket, func(fd int) error {
		return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return eris.Wrap(err, "limit receive buffer")
}

// limitBacklog sets how many connections wait at a listening socket.
func limitBacklog(l *net.TCPListener, connections int) error {
	socket, err := l.SyscallConn()
	if err == nil {
		err = control(socket, func(fd int) error { return syscall.Listen(fd, connections) })
	}
	return eris.Wrap(err, "limit waiting connections")
}

// control calls change with the descriptor of a socket.
func control(socket syscall.RawConn, change func(fd int) error) error {
	var failed error
	if err := socket.Control(func(fd uintptr) { failed = change(int(fd)) }); err != nil {
		return err
	}
	return failed
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &Conn{TCPConn: raw, listener: l}
		if l.admit(c) {
			return c, nil
		}
		l.report("refused", c, 0)
		_, _ = io.WriteString(raw, refusal)
		_ = raw.Close()
	}
}

// admit adds a connection to the table, and closes another one if there are too many. It reports
// whether the connection is taken.
func (l *Listener) admit(c *Conn) bool {
	return l.event(c, func(t *core.Table) ([]core.Victim, bool) {
		l.next++
		c.id = l.next
		victims, ok := t.Open(c.id)
		if ok {
			l.conns[c.id] = c
		}
		return victims, ok
	})
}

// event gives the table an event of connection c, and carries out what it decides about others. It
// returns what the event returns for c.
func (l *Listener) event(c *Conn, change func(*core.Table) ([]core.Victim, bool)) bool {
	l.mu.Lock()
	victims, ok := change(l.table)
	conns := make([]*Conn, len(victims))
	for i, v := range victims {
		conns[i] = l.conns[v.ID]
		if !v.Refuse {
			delete(l.conns, v.ID)
		}
	}
	l.openGauge.Update(int64(l.table.Connections()))
	l.heldGauge.Update(l.table.Held())
	l.mu.Unlock()
	for i, v := range victims {
		l.reportVictim(conns[i], v)
		if conns[i] != c {
			conns[i].giveWay(v)
		}
	}
	return ok
}

func (l *Listener) reportVictim(c *Conn, v core.Victim) {
	if v.Refuse {
		l.report("given_way", c, v.Held)
	} else {
		l.report("closed", c, v.Held)
	}
}

// report counts and logs that a connection or a request was closed or refused. held is what its request
// held.
func (l *Listener) report(outcome string, c *Conn, held int64) {
	metrics.GetOrRegisterCounter(l.settings.Name+".connections_"+outcome, l.metrics).Inc(1)
	if ok, suppressed := l.logBudget.Allow(outcome, time.Now()); ok {
		limits := l.settings.Limits
		l.log.Warn().Str("listener", l.settings.Name).Str("outcome", outcome).Stringer("client", c.RemoteAddr()).Uint64("connection", uint64(c.id)).
			Int64("held", held).Int64("open", l.openGauge.Value()).Int("most_open", limits.Connections).
			Int64("held_by_all", l.heldGauge.Value()).Int64("most_held", limits.RequestBytes).Int("left_out", suppressed).
			Msg("intake: clients hold too much")
	}
}
