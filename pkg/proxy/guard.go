package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"
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
	// headerStart is the time of the first byte of a request; zero while idle. It
	// is used by the connection's goroutine only.
	headerStart time.Time
}

// Read reads within the bound of the headers while no call is handled.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.answered.Load() {
		c.finish()
		_ = c.SetWriteDeadline(time.Time{})
	}
	if c.busy.Load() {
		return c.Conn.Read(p)
	}
	if !c.headerStart.IsZero() {
		_ = c.SetReadDeadline(c.headerStart.Add(c.guard.headerTimeout))
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.headerStart.IsZero() {
		c.headerStart = time.Now()
	}
	return n, err
}

// begin marks the connection as carrying a call.
func (c *guardedConn) begin() {
	c.finish()
	c.headerStart = time.Time{}
	c.busy.Store(true)
	c.guard.inFlight.Add(1)
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

// watchInterval is the time between two looks at whether a caller has gone.
const watchInterval = 10 * time.Millisecond

// watch calls gone once the caller has closed its connection. It looks at the
// socket from time to time and reads nothing, so that quick calls pay nothing.
func (c *guardedConn) watch(gone func()) (stop func()) {
	var timer *time.Timer
	var stopped atomic.Bool
	timer = time.AfterFunc(time.Hour, func() {
		switch {
		case stopped.Load():
		case client.PeerClosed(c.Conn):
			gone()
		default:
			timer.Reset(watchInterval)
		}
	})
	timer.Reset(watchInterval)
	return func() {
		stopped.Store(true)
		timer.Stop()
	}
}

type connKey struct{}

// withConn stores the accepted connection for the handler.
func withConn(c net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

// connOf returns the connection that a call came on.
func connOf(ctx context.Context) *guardedConn {
	c, _ := ctx.Value(connKey{}).(*guardedConn)
	return c
}
