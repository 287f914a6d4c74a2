// Package intake decides how much the clients of a listener may take at once: connections, and
// bytes of requests and answers that have not ended. It has no network and reads no clock.
package intake

import "time"

// Limits are the limits of one listener.
type Limits struct {
	// Connections bounds the open connections, and ClientConnections those of one client address.
	Connections       int
	ClientConnections int
	// Bytes bounds what all requests hold, and ClientBytes what those of one client address hold.
	Bytes       int64
	ClientBytes int64
	// ReservedBytes is the part of Bytes that only connections with up to SmallBytes may use.
	ReservedBytes int64
	SmallBytes    int64
	// Streams bounds the open streams of all connections that carry several requests at once, and
	// ClientStreams those of one client address; 0 for none. A quarter is kept for connections
	// with few.
	Streams       int
	ClientStreams int
	// StalledAfter is how long a connection may make no progress before it is closed in favour
	// of another.
	StalledAfter time.Duration
}

const (
	// DefaultSharePercent is the part of the connections and of the bytes that one client address may take
	// where that is no setting.
	DefaultSharePercent = 90
	// reservedPercent is the part of the bytes that only connections with few may use.
	reservedPercent = 25
	// stalledAfter is how long a body or an answer may make no progress while others wait.
	stalledAfter = 250 * time.Millisecond
)

// NewLimits returns the limits of a listener of which one client address may take sharePercent.
func NewLimits(connections int, bytes int64, sharePercent int, smallBytes int64) Limits {
	return Limits{
		Connections: connections, ClientConnections: max(connections*sharePercent/100, 1),
		Bytes: bytes, ClientBytes: bytes * int64(sharePercent) / 100,
		ReservedBytes: bytes * reservedPercent / 100, SmallBytes: smallBytes,
		StalledAfter: stalledAfter,
	}
}

// WithStreams bounds the open streams too, of which one client address may take sharePercent.
func (l Limits) WithStreams(streams, sharePercent int) Limits {
	l.Streams, l.ClientStreams = streams, streams*sharePercent/100
	return l
}

// Phase is what a connection does.
type Phase uint8

// Phases of a connection.
const (
	// Header: no request has been received in full.
	Header Phase = iota
	// Idle: between two requests.
	Idle
	// Body: the client sends a body.
	Body
	// Serving: the request is being served. Such a connection is never closed for another.
	Serving
	// Answer: the client receives an answer.
	Answer
	phaseCount
)

// Conn is a connection of a client.
type Conn struct {
	// Value is the caller's connection.
	Value      any
	client     *client
	phase      Phase
	progressAt time.Time
	held       int64
	streams    int
	closed     bool
	prev, next *Conn
}

// Phase returns what the connection does.
func (c *Conn) Phase() Phase { return c.phase }

// Held returns the bytes that the connection's requests hold.
func (c *Conn) Held() int64 { return c.held }

// client is the use by one client address.
type client struct {
	address     string
	connections int
	held        int64
	streams     int
}

// Waiter is a request that waits for bytes.
type Waiter struct {
	// Granted is closed when the bytes have been taken.
	Granted chan struct{}
	conn    *Conn
	bytes   int64
}

// Table holds the connections of a listener. It is not safe for concurrent use.
type Table struct {
	limits      Limits
	connections int
	held        int64
	streams     int
	clients     map[string]*client
	// phases are rings of the connections in each phase, the one with the oldest progress first.
	phases  [phaseCount]Conn
	waiters []*Waiter
}

// NewTable returns a table without connections.
func NewTable(l Limits) *Table {
	t := &Table{limits: l, clients: map[string]*client{}}
	for i := range t.phases {
		t.phases[i].prev, t.phases[i].next = &t.phases[i], &t.phases[i]
	}
	return t
}

// Connections returns the number of open connections.
func (t *Table) Connections() int { return t.connections }

// Held returns the bytes that all requests hold.
func (t *Table) Held() int64 { return t.held }

// Streams returns the number of open streams.
func (t *Table) Streams() int { return t.streams }

// Refusal is the limit for which a connection is refused or another one is closed.
type Refusal uint8

// Refusals.
const (
	None Refusal = iota
	// TooMany: there are too many connections.
	TooMany
	// TooManyOfClient: there are too many connections of the client address.
	TooManyOfClient
)

// Open adds a connection. If a limit is reached, the caller closes the victim, which is the
// connection that does least: an idle one, then one that has not sent a header, then one
// that makes no progress, the oldest first. Without a victim the connection is refused, and
// the result is nil.
func (t *Table) Open(address string, now time.Time) (c, victim *Conn, reason Refusal) {
	of := t.clients[address]
	switch {
	case of != nil && of.connections >= t.limits.ClientConnections:
		reason = TooManyOfClient
		victim = t.leastActive(of, now)
	case t.connections >= t.limits.Connections:
		reason = TooMany
		victim = t.leastActive(nil, now)
	}
	if reason != None && victim == nil {
		return nil, nil, reason
	}
	if of == nil {
		of = &client{address: address}
		t.clients[address] = of
	}
	of.connections++
	t.connections++
	c = &Conn{client: of, phase: Header, progressAt: now}
	t.append(c)
	return c, victim, reason
}

// leastActive returns the connection to close in favour of another, of one client unless it
// is nil.
func (t *Table) leastActive(of *client, now time.Time) *Conn {
	for _, p := range [...]Phase{Idle, Header} {
		if c := t.oldest(p, of); c != nil {
			return c
		}
	}
	return t.stalled(of, now)
}

// stalled returns the connection in Body or Answer with the oldest progress, if that is older
// than StalledAfter, of one client unless it is nil.
func (t *Table) stalled(of *client, now time.Time) *Conn {
	c, other := t.oldest(Body, of), t.oldest(Answer, of)
	if c == nil || other != nil && other.progressAt.Before(c.progressAt) {
		c = other
	}
	if c == nil || now.Sub(c.progressAt) < t.limits.StalledAfter {
		return nil
	}
	return c
}

func (t *Table) oldest(p Phase, of *client) *Conn {
	ring := &t.phases[p]
	for c := ring.next; c != ring; c = c.next {
		if of == nil || c.client == of {
			return c
		}
	}
	return nil
}

// Progress records that a connection has sent or received something, or entered a phase.
func (t *Table) Progress(c *Conn, p Phase, now time.Time) {
	if c.closed {
		return
	}
	c.phase, c.progressAt = p, now
	c.remove()
	t.append(c)
}

func (t *Table) append(c *Conn) {
	ring := &t.phases[c.phase]
	c.prev, c.next = ring.prev, ring
	ring.prev.next = c
	ring.prev = c
}

func (c *Conn) remove() {
	c.prev.next = c.next
	c.next.prev = c.prev
	c.prev, c.next = c, c
}

// Close removes a connection. What its request holds stays counted until it is given back,
// since the request's memory is in use until then. A second call has no effect.
func (t *Table) Close(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	c.remove()
	t.connections--
	c.client.connections--
	t.forget(c.client)
}

func (t *Table) forget(of *client) {
	if of.connections == 0 && of.held == 0 && of.streams == 0 {
		delete(t.clients, of.address)
	}
}

// fewStreams is the number of a connection's streams up to which it may use the quarter that is kept.
const fewStreams = 8

// OpenStream adds a stream to a connection. It returns false if a limit is reached; nothing is
// closed for a stream, since the other requests of a connection may be ordinary ones.
func (t *Table) OpenStream(c *Conn) bool {
	if t.limits.Streams > 0 {
		available := t.limits.Streams
		if c.streams >= fewStreams {
			available -= available / 4
		}
		if c.closed || t.streams >= available || c.client.streams >= t.limits.ClientStreams {
			return false
		}
	}
	t.addStreams(c, 1)
	return true
}

// CloseStream removes a stream that OpenStream has added.
func (t *Table) CloseStream(c *Conn) {
	t.addStreams(c, -1)
	t.forget(c.client)
}

func (t *Table) addStreams(c *Conn, n int) {
	t.streams += n
	c.streams += n
	c.client.streams += n
}

// fits reports whether a connection may hold n more bytes. A closed one may not, since its
// client may have been forgotten.
func (t *Table) fits(c *Conn, n int64) bool {
	if c.closed {
		return false
	}
	available := t.limits.Bytes
	if c.held+n > t.limits.SmallBytes {
		available -= t.limits.ReservedBytes
	}
	return t.held+n <= available && c.client.held+n <= t.limits.ClientBytes
}

// Take adds n bytes to what a connection holds. It returns false if they don't fit.
func (t *Table) Take(c *Conn, n int64) bool {
	if !t.fits(c, n) {
		return false
	}
	t.add(c, n)
	return true
}

// Slowest returns the connection to close so that n bytes fit, nil if no connection stalls.
func (t *Table) Slowest(c *Conn, n int64, now time.Time) *Conn {
	if c.client.held+n > t.limits.ClientBytes {
		return t.slowestHolder(c.client, now)
	}
	return t.slowestHolder(nil, now)
}

// slowestHolder returns the stalled connection with the oldest progress that holds bytes.
func (t *Table) slowestHolder(of *client, now time.Time) (slowest *Conn) {
	for _, p := range [...]Phase{Body, Answer} {
		ring := &t.phases[p]
		for c := ring.next; c != ring && now.Sub(c.progressAt) >= t.limits.StalledAfter; c = c.next {
			if c.held > 0 && (of == nil || c.client == of) {
				if slowest == nil || c.progressAt.Before(slowest.progressAt) {
					slowest = c
				}
				break
			}
		}
	}
	return slowest
}

func (t *Table) add(c *Conn, n int64) {
	t.held += n
	c.held += n
	c.client.held += n
}

// Wait queues a connection for n bytes, which it gets once others have given back enough.
func (t *Table) Wait(c *Conn, n int64) *Waiter {
	w := &Waiter{Granted: make(chan struct{}), conn: c, bytes: n}
	t.waiters = append(t.waiters, w)
	return w
}

// Cancel ends a wait. It returns false if the bytes have been taken already.
func (t *Table) Cancel(w *Waiter) bool {
	for i, other := range t.waiters {
		if other == w {
			t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// Give gives back n bytes of a connection, and grants waiting requests what fits, in the
// order of their arrival.
func (t *Table) Give(c *Conn, n int64) {
	t.add(c, -n)
	t.forget(c.client)
	waiting := t.waiters[:0]
	for _, w := range t.waiters {
		if !t.fits(w.conn, w.bytes) {
			waiting = append(waiting, w)
			continue
		}
		t.add(w.conn, w.bytes)
		close(w.Granted)
	}
	clear(t.waiters[len(waiting):])
	t.waiters = waiting
}

// Largest returns the most that a connection which holds nothing can ever take. A request
// that would cost more takes this, so that a single one is served.
func (t *Table) Largest() int64 {
	return min(t.limits.Bytes-t.limits.ReservedBytes, t.limits.ClientBytes)
}
