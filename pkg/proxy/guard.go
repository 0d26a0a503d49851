package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// guard is a listener that bounds how long a sender may take for its headers
// and can close the connections that carry no call.
type guard struct {
	net.Listener
	headerTimeout time.Duration

	// inFlight counts the calls whose answer has not been written yet.
	inFlight atomic.Int64

	mu    sync.Mutex
	conns map[*guardedConn]struct{}
}

func newGuard(ln net.Listener, headerTimeout time.Duration) *guard {
	return &guard{Listener: ln, headerTimeout: headerTimeout, conns: make(map[*guardedConn]struct{})}
}

// Accept returns the next connection, which must send its first headers in time.
func (g *guard) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	gc := &guardedConn{Conn: c, guard: g, headerStart: time.Now()}
	g.mu.Lock()
	g.conns[gc] = struct{}{}
	g.mu.Unlock()
	return gc, nil
}

// closeIdle closes the connections that carry no call now.
func (g *guard) closeIdle() { g.closeConns(false) }

// closeAll closes every connection.
func (g *guard) closeAll() { g.closeConns(true) }

func (g *guard) closeConns(busy bool) {
	g.mu.Lock()
	conns := make([]*guardedConn, 0, len(g.conns))
	for c := range g.conns {
		if busy || !c.busy.Load() {
			conns = append(conns, c)
		}
	}
	g.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// guardedConn bounds the time from the first byte of a request to the end of
// its headers, however slowly the bytes come.
type guardedConn struct {
	net.Conn
	guard *guard
	// busy is set from the headers of a call until its answer has been written.
	busy atomic.Bool
	// answered is set when the answer is ready; the next read on the connection
	// then shows that it has been written.
	answered atomic.Bool

	// mu keeps a read that begins from undoing the bound of a call that begins.
	mu sync.Mutex
	// headerStart is the time of the first byte of a request; zero while idle.
	headerStart time.Time
}

// Read reads within the bound of the headers while no call is handled.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.answered.Load() {
		c.finish()
	}
	c.boundHeaders()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.startHeaders()
	}
	return n, err
}

// boundHeaders ends reads in time once the first byte of a request has come.
func (c *guardedConn) boundHeaders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy.Load() && !c.headerStart.IsZero() {
		_ = c.SetReadDeadline(c.headerStart.Add(c.guard.headerTimeout))
	}
}

// startHeaders notes the first byte of a request.
func (c *guardedConn) startHeaders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy.Load() && c.headerStart.IsZero() {
		c.headerStart = time.Now()
	}
}

// begin marks the connection as carrying a call.
func (c *guardedConn) begin() {
	c.finish()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerStart = time.Time{}
	c.busy.Store(true)
	c.guard.inFlight.Add(1)
	_ = c.SetReadDeadline(time.Time{})
}

// bound ends reads at the deadline of the call and writes soon after it.
func (c *guardedConn) bound(deadline time.Time) {
	_ = c.SetReadDeadline(deadline)
	_ = c.SetWriteDeadline(deadline.Add(writeGrace))
}

// writeGrace is the time after a call's deadline in which its answer can be written.
const writeGrace = time.Second

// finish marks the connection as idle.
func (c *guardedConn) finish() {
	c.answered.Store(false)
	if c.busy.CompareAndSwap(true, false) {
		c.guard.inFlight.Add(-1)
	}
}

// Close closes the connection.
func (c *guardedConn) Close() error {
	c.guard.mu.Lock()
	delete(c.guard.conns, c)
	c.guard.mu.Unlock()
	c.finish()
	return c.Conn.Close()
}

type connKey struct{}

// withConn stores the accepted connection for the handler.
func withConn(c net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

// connOf returns the accepted connection, or nil.
func connOf(ctx context.Context) *guardedConn {
	c, _ := ctx.Value(connKey{}).(*guardedConn)
	return c
}
