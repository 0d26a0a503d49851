package h1

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/sock"
)

const (
	// defaultKeep is how long a peer is taken to keep an idle connection when it
	// does not say.
	defaultKeep = 5 * time.Second
	// freshIdle is the longest idle time of a connection for a request that must
	// not meet a close.
	freshIdle = 300 * time.Millisecond
)

// Pool holds the idle connections to one address. It does not bound those in
// use: the caller's slots do.
type Pool struct {
	address string
	// answers bounds the bytes of all answers that are held.
	answers *memory.Budget

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
	opened func()
}

// NewPool returns a pool of connections to an address. answers bounds the answers
// that are held; opened is told of each new connection.
func NewPool(address string, answers *memory.Budget, opened func()) *Pool {
	return &Pool{address: address, answers: answers, opened: opened}
}

// Close closes the idle connections; those in use are closed when their
// exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// Forget closes the idle connections, for example when the peer was replaced.
func (p *Pool) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}

// get returns an idle connection that is alive, or a new one.
func (p *Pool) get(ctx context.Context, fresh bool) (*clientConn, *Failure) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		idle := time.Since(c.idleAt)
		waiting, err := sock.Peek(c.conn)
		if idle < c.usable() && (!fresh || idle < freshIdle) && err == nil && waiting == sock.Nothing {
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle returns the connection that was used last.
func (p *Pool) takeIdle() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*clientConn, *Failure) {
	d := net.Dialer{Timeout: connectTime}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		kind := FailConnect
		if ctx.Err() != nil {
			kind = FailEnded
		}
		return nil, &Failure{Kind: kind, Err: fmt.Errorf("connect to %s: %w", p.address, err)}
	}
	p.opened()
	return newClientConn(c), nil
}

// put keeps a connection for another request and closes those that have been
// idle for too long.
func (p *Pool) put(c *clientConn) {
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
	for len(p.idle) > 0 && time.Since(p.idle[0].idleAt) > p.idle[0].usable() {
		_ = p.idle[0].conn.Close()
		p.idle = p.idle[1:]
	}
}

// usable is how long an idle connection is used again: three quarters of the time
// that the peer keeps it, so that a request does not meet the close.
func (c *clientConn) usable() time.Duration { return c.keep * 3 / 4 }

func (p *Pool) drop(c *clientConn) { _ = c.conn.Close() }

// Address returns the address of the peer.
func (p *Pool) Address() string { return p.address }
