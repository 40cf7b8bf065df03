package entry

import (
	"net"
	"sync"
)

// trackedListener remembers the connections of callers, so that none outlives
// the entry.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]bool
}

func newTrackedListener(l net.Listener) *trackedListener {
	return &trackedListener{Listener: l, conns: make(map[*trackedConn]bool)}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[tracked] = true
	return tracked, nil
}

// closeAll closes the listener and all connections.
func (l *trackedListener) closeAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
