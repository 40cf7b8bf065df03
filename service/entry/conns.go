package entry

import (
	"net"
	"sync"
)

// trackedListener is a listener that tracks its open connections, so that all connections of
// callers can be closed when the entry is aborted.
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

// closeAll closes the listener and all open connections.
func (l *trackedListener) closeAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
}

// trackedConn is a connection that removes itself from its listener when closed.
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
