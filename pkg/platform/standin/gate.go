package standin

import (
	"fmt"
	"net"
	"sync"
)

// gate is a listener that can refuse connections for a while: when closed, the
// port is not bound and every open connection is cut.
type gate struct {
	addr string

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]struct{}
	// opened is closed when the gate opens again or ends for good.
	opened chan struct{}
	ended  bool
}

func newGate(addr string) (*gate, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return &gate{
		addr:   ln.Addr().String(),
		ln:     ln,
		conns:  make(map[net.Conn]struct{}),
		opened: make(chan struct{}),
	}, nil
}

// Accept waits for a connection, also across times at which the gate is shut.
func (g *gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		ln, opened, ended := g.ln, g.opened, g.ended
		g.mu.Unlock()
		if ended {
			return nil, net.ErrClosed
		}
		if ln == nil {
			<-opened
			continue
		}
		conn, err := ln.Accept()
		if err == nil {
			return g.track(conn), nil
		}
		if g.current() == ln {
			return nil, err
		}
	}
}

func (g *gate) current() net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ln
}

// Addr returns the bound address.
func (g *gate) Addr() net.Addr {
	addr, err := net.ResolveTCPAddr("tcp", g.addr)
	if err != nil {
		return &net.TCPAddr{}
	}
	return addr
}

// Close ends the listener for good.
func (g *gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return nil
	}
	g.ended = true
	if g.ln == nil {
		close(g.opened)
		return nil
	}
	err := g.ln.Close()
	g.ln = nil
	return err
}

// shut refuses new connections and cuts the open ones.
func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln == nil {
		return
	}
	_ = g.ln.Close()
	g.ln = nil
	g.opened = make(chan struct{})
	for c := range g.conns {
		_ = c.Close()
	}
}

// open accepts connections again on the same address.
func (g *gate) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln != nil || g.ended {
		return nil
	}
	ln, err := net.Listen("tcp", g.addr)
	if err != nil {
		return fmt.Errorf("listen on %s again: %w", g.addr, err)
	}
	g.ln = ln
	close(g.opened)
	return nil
}

func (g *gate) track(conn net.Conn) net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[conn] = struct{}{}
	return &trackedConn{Conn: conn, gate: g}
}

// trackedConn leaves its gate when it is closed.
type trackedConn struct {
	net.Conn
	gate *gate
}

func (c *trackedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c.Conn)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
