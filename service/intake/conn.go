package intake

import (
	"bytes"
	"io"
	"net"
	"time"

	core "peridotpick.example/core/intake"
)

const (
	// headerLineBytes is the most memory that net/http takes for a line of a header in addition to its
	// bytes: an entry of a map that may just have grown, and two strings.
	headerLineBytes = 160
	// readBufferBytes is the size of the buffer of net/http for what it has read of a connection.
	readBufferBytes = 4 << 10
	// answerTimeout is how long a client may take to read its answer.
	answerTimeout = 30 * time.Second
	// restTimeout bounds the reading of what is left of a refused request, which lets its client read the
	// answer.
	restTimeout = 500 * time.Millisecond
	// refusalTimeout bounds the writing of a refusal, which usually fits into the kernel's buffer.
	refusalTimeout = 100 * time.Millisecond
)

// headerCost returns the memory that a part of a header takes.
func headerCost(part []byte) int64 {
	return int64(len(part) + headerLineBytes*bytes.Count(part, []byte{'\n'}))
}

// tail holds what the last bytes that were read take if they are part of a header: at least the last
// readBufferBytes, unless fewer were read since reset.
type tail struct {
	cost, earlierCost int64
	bytes             int
}

func (t *tail) add(read []byte) {
	if len(read) > readBufferBytes {
		read = read[len(read)-readBufferBytes:]
	}
	if t.bytes+len(read) > readBufferBytes {
		t.earlierCost, t.cost, t.bytes = t.cost, 0, 0
	}
	t.cost += headerCost(read)
	t.bytes += len(read)
}

func (t *tail) total() int64 { return t.cost + t.earlierCost }

// Conn is a connection of a client.
type Conn struct {
	*net.TCPConn
	listener *Listener
	id       core.ID
	// tail and answeredLast are changed in events of the listener. answeredLast is true from the end
	// of a request until the server needs more bytes than it has.
	tail         tail
	answeredLast bool
}

// event gives the table an event of the connection.
func (c *Conn) event(change func(*core.Table) ([]core.Victim, bool)) error {
	if !c.listener.event(c, change) {
		return ErrGivenWay
	}
	return nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	// The server reads single bytes while it answers, to notice the end of the connection.
	needed := len(p) > 1
	gaveWay := c.event(func(t *core.Table) ([]core.Victim, bool) {
		if c.answeredLast && needed {
			c.tail, c.answeredLast = tail{}, false
		}
		c.tail.add(p[:n])
		return t.Received(c.id, headerCost(p[:n]))
	})
	if gaveWay != nil {
		c.refuse()
		return 0, io.EOF
	}
	return n, err
}

// refuse answers a request that is not received further, and closes the connection.
func (c *Conn) refuse() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.TCPConn, refusal)
	_ = c.Close()
}

// giveWay carries out that the connection's request is not received further. A caller that is to be
// told is told by the handler, whose reading of the body ends.
func (c *Conn) giveWay(v core.Victim) {
	if v.Refuse {
		_ = c.SetReadDeadline(time.Now())
		return
	}
	_ = c.TCPConn.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	_ = c.event(func(t *core.Table) ([]core.Victim, bool) {
		t.Close(c.id)
		delete(c.listener.conns, c.id)
		return nil, true
	})
	return c.TCPConn.Close()
}

// headerRead notes that the header of a request was received, of which held bytes stay in memory.
func (c *Conn) headerRead(held int64) error {
	return c.event(func(t *core.Table) ([]core.Victim, bool) { return t.HeaderRead(c.id, held) })
}

// whole notes that the request of the connection was received whole.
func (c *Conn) whole() error {
	return c.event(func(t *core.Table) ([]core.Victim, bool) { return nil, t.Whole(c.id) })
}

// answered notes that the answer to the request of the connection is known and is being written.
func (c *Conn) answered() {
	now := time.Now()
	_ = c.SetWriteDeadline(now.Add(answerTimeout))
	whole := c.event(func(t *core.Table) ([]core.Victim, bool) { return nil, t.Answered(c.id) }) == nil
	if !whole {
		_ = c.SetReadDeadline(now.Add(restTimeout))
	}
}

// idle notes that the answer was written.
func (c *Conn) idle() {
	gaveWay := c.event(func(t *core.Table) ([]core.Victim, bool) {
		c.answeredLast = true
		return t.Idle(c.id, c.tail.total())
	})
	if gaveWay != nil {
		_ = c.Close()
	}
}
