// Package client sends one HTTP request over a pooled connection and reads its
// reply. A connection carries one request at a time and is used again only
// after a whole reply, so that a late or cut reply never reaches another call.
package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// maxIdle is shorter than the time for which nodes keep idle connections.
	maxIdle     = 60 * time.Second
	dialTimeout = time.Second
)

// errPoolFull is the cause of KindBusy.
var errPoolFull = errors.New("every connection is in use")

// errPoolClosed is the cause of KindConnect after Close.
var errPoolClosed = errors.New("pool is closed")

// Pool holds the connections to one address.
type Pool struct {
	address string
	max     int

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// NewPool returns a pool of at most maxConns connections to address.
func NewPool(address string, maxConns int) *Pool {
	return &Pool{address: address, max: maxConns}
}

// Address returns the address of the peer.
func (p *Pool) Address() string { return p.address }

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections; those in use are closed when their
// exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// get returns an idle connection that is still alive, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, *Error) {
	for {
		c, err := p.takeIdle()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if time.Since(c.idleAt) < maxIdle && c.alive() {
			c.sent.Store(false)
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle returns the newest idle connection, or nil after reserving the
// right to open one.
func (p *Pool) takeIdle() (*conn, *Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &Error{Kind: KindConnect, Err: errPoolClosed}
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.max {
		return nil, &Error{Kind: KindBusy, Err: fmt.Errorf("%s: %w", p.address, errPoolFull)}
	}
	p.open++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context) (*conn, *Error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		e := fail(ctx, nil, KindConnect, fmt.Errorf("connect to %s: %w", p.address, err))
		if e.Kind == KindTimeout && ctx.Err() == nil {
			e.Kind = KindConnect
		}
		e.Refused = Refused(err)
		return nil, e
	}
	return newConn(c), nil
}

// put keeps c for another request.
func (p *Pool) put(c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.idleAt = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	var old *conn
	if first := p.idle[0]; time.Since(first.idleAt) > maxIdle {
		old = first
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.mu.Unlock()
	if old != nil {
		p.drop(old)
	}
}

// drop closes c.
func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
