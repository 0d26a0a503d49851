package standin

import (
	"fmt"
	"net"
	"sync"
)

// pausableListener is a listener that can refuse connections for a while: while paused, the
// port is not bound and every open connection is cut.
type pausableListener struct {
	addr string

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
	// resumed is closed when the listener accepts again or ends for good.
	resumed chan struct{}
	ended   bool
}

func newPausableListener(addr string) (*pausableListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return &pausableListener{
		addr:    ln.Addr().String(),
		ln:      ln,
		conns:   make(map[net.Conn]struct{}),
		resumed: make(chan struct{}),
	}, nil
}

// Accept waits for a connection, also across pauses.
func (l *pausableListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		ln, resumed, ended := l.ln, l.resumed, l.ended
		l.mu.Unlock()
		if ended {
			return nil, net.ErrClosed
		}
		if ln == nil {
			<-resumed
			continue
		}
		conn, err := ln.Accept()
		if err == nil {
			conn = l.track(ln, conn)
		}
		if conn != nil || l.accepts(ln) {
			return conn, err
		}
	}
}

// accepts reports whether ln has not been closed by a pause.
func (l *pausableListener) accepts(ln net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ln == ln
}

// Addr returns the bound address.
func (l *pausableListener) Addr() net.Addr {
	addr, err := net.ResolveTCPAddr("tcp", l.addr)
	if err != nil {
		return &net.TCPAddr{}
	}
	return addr
}

// Close ends the listener for good.
func (l *pausableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	l.ended = true
	if l.ln == nil {
		close(l.resumed)
		return nil
	}
	err := l.ln.Close()
	l.ln = nil
	return err
}

// pause refuses new connections and cuts the open ones.
func (l *pausableListener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil {
		return
	}
	_ = l.ln.Close()
	l.ln = nil
	l.resumed = make(chan struct{})
	for c := range l.conns {
		_ = c.Close()
	}
}

// resume accepts connections again on the same address.
func (l *pausableListener) resume() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil || l.ended {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return fmt.Errorf("listen on %s again: %w", l.addr, err)
	}
	l.ln = ln
	close(l.resumed)
	return nil
}

// track notes a connection that ln accepted; it cuts one that came as the pause
// began and returns nil.
func (l *pausableListener) track(ln net.Listener, conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != ln {
		_ = conn.Close()
		return nil
	}
	l.conns[conn] = struct{}{}
	return &trackedConn{Conn: conn, listener: l}
}

// trackedConn leaves its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *pausableListener
}

func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
