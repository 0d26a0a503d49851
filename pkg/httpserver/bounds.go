package httpserver

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Reasons for which a connection is closed, without an answer unless one is named.
const (
	// ReasonConnections: as many connections are open as are allowed, and this one has waited
	// the longest without an answer.
	ReasonConnections = "connections"
	// ReasonRequestTime: a request was not complete within Bounds.RequestTime.
	ReasonRequestTime = "request-time"
	// ReasonAnswerUnread: the caller did not read an answer within Bounds.RequestTime.
	ReasonAnswerUnread = "answer-unread"
	// ReasonMalformed: a request has a field name that is not a token. It was answered with 400.
	ReasonMalformed = "malformed"
)

// Bounds limit what callers may take of a server. A value of 0 means the default.
type Bounds struct {
	// Connections is the maximum number of open connections.
	Connections int
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and body.
	HeaderBytes, BodyBytes int
	// RequestTime is the maximum time from the first byte of a request to its last one, and
	// for the caller to read a part of the answer. IdleTime is the maximum time from an answer
	// to the first byte of the next request.
	RequestTime, IdleTime time.Duration
	// OnRefuse is called with the reason for which a connection is closed. It may be nil.
	OnRefuse func(reason string)
}

const (
	// defaultConnections leaves room for the platform, the upstream, a metrics collector and
	// some operators, each with several connections.
	defaultConnections = 64
	defaultHeaderBytes = 16 << 10
	// defaultBodyBytes is enough for requests that need no body.
	defaultBodyBytes   = 4 << 10
	defaultRequestTime = 5 * time.Second
	defaultIdleTime    = 3 * time.Minute
	// acceptPause is the delay after a failed accept, which prevents a busy loop.
	acceptPause = 10 * time.Millisecond
)

// withDefaults returns the bounds with defaults in place of zeros.
func (b Bounds) withDefaults() Bounds {
	set := func(v *int, value int) {
		if *v == 0 {
			*v = value
		}
	}
	set(&b.Connections, defaultConnections)
	set(&b.HeaderBytes, defaultHeaderBytes)
	set(&b.BodyBytes, defaultBodyBytes)
	if b.RequestTime == 0 {
		b.RequestTime = defaultRequestTime
	}
	if b.IdleTime == 0 {
		b.IdleTime = defaultIdleTime
	}
	if b.OnRefuse == nil {
		b.OnRefuse = func(string) {}
	}
	return b
}

// boundedListener bounds the number of connections and how long each waits for a caller.
type boundedListener struct {
	net.Listener
	bounds Bounds

	mu    sync.Mutex
	conns map[*boundedConn]struct{}
}

func newBoundedListener(l net.Listener, bounds Bounds) *boundedListener {
	return &boundedListener{Listener: l, bounds: bounds, conns: make(map[*boundedConn]struct{})}
}

// Accept returns the next connection. It fails only if the listener is closed: hertz stops
// serving after any error, and one such as too many open files passes.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		bounded := &boundedConn{Conn: c, listener: l, answeredAt: time.Now()}
		if !l.add(bounded) {
			l.bounds.OnRefuse(ReasonConnections)
			_ = c.Close()
			continue
		}
		return bounded, nil
	}
}

// add makes room for a connection and adds it. It returns false if there is none, since all
// open connections wait for the server.
func (l *boundedListener) add(c *boundedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.bounds.Connections {
		victim := l.longestUnanswered()
		if victim == nil {
			return false
		}
		delete(l.conns, victim)
		_ = victim.Conn.Close()
		l.bounds.OnRefuse(ReasonConnections)
	}
	l.conns[c] = struct{}{}
	return true
}

// longestUnanswered returns the connection that waits for its caller and got its latest answer
// the longest time ago, or nil if there is none. The connections of callers that complete
// their requests are the newest in this order. The caller holds mu.
func (l *boundedListener) longestUnanswered() *boundedConn {
	var victim *boundedConn
	var since time.Time
	for c := range l.conns {
		if at, waits := c.waitsSince(); waits && (victim == nil || at.Before(since)) {
			victim, since = c, at
		}
	}
	return victim
}

func (l *boundedListener) remove(c *boundedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// boundedConn is a connection on which each request must be complete in time. Read deadlines
// that the server sets itself are not used, as they begin anew with each read.
type boundedConn struct {
	net.Conn
	listener *boundedListener

	mu sync.Mutex
	// answeredAt is when the newest answer was written, or the connection accepted.
	answeredAt time.Time
	// begunAt is when the first byte of the current request was read, zero between requests.
	begunAt time.Time
	reading bool
}

// waitsSince returns when the newest answer was written, and whether the server waits for the
// caller to send.
func (c *boundedConn) waitsSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredAt, c.reading
}

// Read reads within the time that is left for the request.
func (c *boundedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	until := c.begunAt.Add(c.listener.bounds.RequestTime)
	begun := !c.begunAt.IsZero()
	if !begun {
		until = time.Now().Add(c.listener.bounds.IdleTime)
	}
	c.reading = true
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(until) // fails only if the connection is closed
	n, err := c.Conn.Read(b)
	var timeout net.Error
	if begun && errors.As(err, &timeout) && timeout.Timeout() {
		c.listener.bounds.OnRefuse(ReasonRequestTime)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && c.begunAt.IsZero() {
		c.begunAt = time.Now()
	}
	return n, err
}

// Write writes a part of an answer, after which the next request may begin.
func (c *boundedConn) Write(b []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(c.listener.bounds.RequestTime)) // fails only if the connection is closed
	n, err := c.Conn.Write(b)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.listener.bounds.OnRefuse(ReasonAnswerUnread)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt, c.begunAt = time.Now(), time.Time{}
	return n, err
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// SetReadDeadline does nothing; see boundedConn.
func (c *boundedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing, since Write sets the deadline.
func (c *boundedConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline does nothing; see SetReadDeadline and SetWriteDeadline.
func (c *boundedConn) SetDeadline(time.Time) error { return nil }
