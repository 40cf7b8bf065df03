// Package intake decides what the clients of a server may make it hold together: the number of open
// connections, and the memory of requests that are not answered. Events of connections go in; the
// connections to close come out.
package intake

// ID names a connection.
type ID uint64

// Limits are the limits of a server. Each must be at least 1.
type Limits struct {
	// Connections is the highest number of open connections.
	Connections int
	// RequestBytes is the most memory, in bytes, that requests hold together.
	RequestBytes int64
}

// phase is what a connection is doing.
type phase int

const (
	// idle: no byte of a request has been received, or the connection holds only what came behind
	// the last request.
	idle phase = iota
	// inHeader, inBody: that part of a request is being received.
	inHeader
	inBody
	// answering: the request has been received whole. Its caller must get an answer.
	answering
	// delivering: the answer is known and being written.
	delivering
	// refused: the request is not received further, and its caller gets an answer that says so.
	refused
)

// connection is an open connection.
type connection struct {
	id    ID
	phase phase
	// held is the memory of its request, in bytes.
	held int64
	// last is the number of the last event of the connection.
	last uint64
}

// mayGiveWay reports whether the connection's request need not be received further.
func (c *connection) mayGiveWay() bool {
	return c.phase == idle || c.phase == inHeader || c.phase == inBody
}

// isDelivering reports whether the caller has yet to read its answer.
func (c *connection) isDelivering() bool { return c.phase == delivering }

// Victim is a connection whose request is not received further, in favour of others.
type Victim struct {
	ID ID
	// Held is the memory that its request held, in bytes.
	Held int64
	// Refuse is true if its caller is to be told so; otherwise the connection is to be closed, and the
	// table has forgotten it.
	Refuse bool
}

// Table keeps the open connections of a server. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	connections map[ID]*connection
	// held is the sum over all connections, answering that over those that wait for their answers.
	held, answering int64
	// events is the number of events so far.
	events uint64
}

// New returns a table without connections.
func New(limits Limits) *Table {
	return &Table{limits: limits, connections: make(map[ID]*connection)}
}

// Open adds a connection. If there are too many, either another one is to be closed, or the new one is
// not added and ok is false, since all others wait for answers. The connection to close is the idle one
// on which nothing has happened for the longest time; without idle ones, such a one among those that
// are receiving, and at last among those whose answer is not read.
func (t *Table) Open(id ID) (victims []Victim, ok bool) {
	if len(t.connections) >= t.limits.Connections {
		victim := t.first(func(c *connection) bool { return c.phase == idle }, longestSilent)
		if victim == nil {
			victim = t.first((*connection).mayGiveWay, longestSilent)
		}
		if victim == nil {
			victim = t.first((*connection).isDelivering, longestSilent)
		}
		if victim == nil {
			return nil, false
		}
		victims = []Victim{{ID: victim.id, Held: victim.held}}
		t.Close(victim.id)
	}
	c := &connection{id: id}
	t.touch(c)
	t.connections[id] = c
	return victims, true
}

// first returns the connection that comes before all others that match; nil if none matches.
func (t *Table) first(match func(*connection) bool, before func(a, b *connection) bool) *connection {
	var found *connection
	for _, c := range t.connections {
		if match(c) && (found == nil || before(c, found)) {
			found = c
		}
	}
	return found
}

func longestSilent(a, b *connection) bool { return a.last < b.last }

// largest orders connections by what they hold. Of those that hold the same, the one comes first on
// which nothing has happened for the longest time.
func largest(a, b *connection) bool {
	if a.held != b.held {
		return a.held > b.held
	}
	return longestSilent(a, b)
}

// touch notes that something happened on a connection.
func (t *Table) touch(c *connection) {
	t.events++
	c.last = t.events
}

// set changes the phase of a connection and what it holds.
func (t *Table) set(c *connection, to phase, held int64) {
	if c.phase == answering {
		t.answering -= c.held
	}
	t.held += held - c.held
	c.phase, c.held = to, held
	if c.phase == answering {
		t.answering += c.held
	}
}

// Received notes that bytes were received, whose part of a header takes the given memory. It returns
// the victims, and whether the connection's own request is received further.
func (t *Table) Received(id ID, header int64) (victims []Victim, ok bool) {
	c := t.connections[id]
	if c == nil {
		return nil, false
	}
	t.touch(c)
	switch c.phase {
	case idle, inHeader:
		t.set(c, inHeader, c.held+header)
		return t.shrink(c)
	case refused:
		return nil, false
	default:
		return nil, true
	}
}

// shrink makes requests give way until all others are within the limit, the largest first. It returns
// them, and whether c is not among them.
func (t *Table) shrink(c *connection) (victims []Victim, ok bool) {
	ok = true
	for t.held > t.limits.RequestBytes {
		victim := t.first((*connection).mayGiveWay, largest)
		if victim == nil || victim.held == 0 {
			break
		}
		ok = ok && victim != c
		v := Victim{ID: victim.id, Held: victim.held, Refuse: victim.phase == inBody}
		victims = append(victims, v)
		if v.Refuse {
			t.set(victim, refused, 0)
		} else {
			t.Close(victim.id)
		}
	}
	return victims, ok
}

// HeaderRead notes that the header of a request was received whole, of which the given number of bytes
// stays in memory. It returns the victims, and whether the request is received further.
func (t *Table) HeaderRead(id ID, held int64) (victims []Victim, ok bool) {
	c := t.connections[id]
	if c == nil || c.phase == refused {
		return nil, false
	}
	t.touch(c)
	t.set(c, inBody, held)
	return t.shrink(c)
}

// Grow notes that a request whose body is being received takes more memory. It returns the victims,
// and whether the request is received further.
func (t *Table) Grow(id ID, bytes int64) (victims []Victim, ok bool) {
	c := t.connections[id]
	if c == nil || c.phase != inBody {
		return nil, false
	}
	t.touch(c)
	t.set(c, inBody, c.held+bytes)
	return t.shrink(c)
}

// waitingShare is the share of RequestBytes up to which requests of any size wait for their answers. The
// rest is for those that are being received, and for waiting ones of up to an equal share of it.
const waitingShare = 0.5

// Decoded replaces the memory of a request that was received whole by that of what was decoded from it.
// It returns the victims, and whether the request is to be served, which it is not if too much waits
// already.
func (t *Table) Decoded(id ID, bytes int64) (victims []Victim, ok bool) {
	c := t.connections[id]
	if c == nil || c.phase != answering {
		return nil, false
	}
	room := int64(waitingShare * float64(t.limits.RequestBytes))
	if t.answering-c.held+bytes > room && bytes > room/int64(t.limits.Connections) {
		return nil, false
	}
	t.set(c, answering, bytes)
	return t.shrink(c)
}

// Whole notes that the request was received whole. It reports whether the request is to be served,
// which it is not if it has given way.
func (t *Table) Whole(id ID) bool {
	c := t.connections[id]
	if c == nil || c.phase == refused {
		return false
	}
	t.touch(c)
	t.set(c, answering, c.held)
	return true
}

// Answered notes that the answer is known and is being written. It reports whether the request had been
// received whole.
func (t *Table) Answered(id ID) (whole bool) {
	c := t.connections[id]
	if c == nil {
		return false
	}
	whole = c.phase == answering
	t.touch(c)
	t.set(c, delivering, 0)
	return whole
}

// Idle notes that the answer was written, and that the connection waits for the next request. What was
// received of that already takes the given memory. It returns the victims, and whether the connection
// is not among them.
func (t *Table) Idle(id ID, behind int64) (victims []Victim, ok bool) {
	c := t.connections[id]
	if c == nil {
		return nil, false
	}
	t.touch(c)
	t.set(c, idle, behind)
	return t.shrink(c)
}

// Close removes a connection.
func (t *Table) Close(id ID) {
	if c := t.connections[id]; c != nil {
		t.set(c, idle, 0)
		delete(t.connections, id)
	}
}

// Connections returns the number of open connections.
func (t *Table) Connections() int { return len(t.connections) }

// Held returns the memory of all requests, in bytes.
func (t *Table) Held() int64 { return t.held }
