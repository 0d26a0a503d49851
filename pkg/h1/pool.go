package h1

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/sock"
)

const (
	// defaultKeepAlive is how long a peer is assumed to keep an idle connection open if it
	// sends no Keep-Alive timeout.
	defaultKeepAlive = 5 * time.Second
	// freshIdle is the maximum idle time of a connection for a request that needs a fresh
	// one, since it must not collide with a close by the peer.
	freshIdle = 300 * time.Millisecond
)

// Pool holds the idle connections to one address. It does not limit the number of
// connections in use. The slots of the upstream limit the exchanges.
type Pool struct {
	address string
	// answers is the memory budget of all buffered responses.
	answers *memory.Budget

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
	opened func()
}

// NewPool returns a pool of connections to an address. answers is the memory budget of
// buffered responses. opened is called for each new connection.
func NewPool(address string, answers *memory.Budget, opened func()) *Pool {
	return &Pool{address: address, answers: answers, opened: opened}
}

// Close closes the idle connections. Connections in use are closed when their exchange
// ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdleLocked()
}

// CloseIdle closes the idle connections, for example after the peer was replaced. The pool
// remains usable.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

func (p *Pool) closeIdleLocked() {
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}

// get returns a connection for a request with an id: an idle one that is still open and has no
// unread data, or a new one.
func (p *Pool) get(ctx context.Context, id string, fresh bool) (*clientConn, *Failure) {
	for {
		c := p.takeIdle(id)
		if c == nil {
			return p.dial(ctx)
		}
		idle := time.Since(c.idleAt)
		unread, err := sock.Peek(c.conn)
		if idle < c.maxIdle() && (!fresh || idle < freshIdle) && err == nil && unread == sock.Empty {
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle removes and returns the most recently used idle connection on which no request with
// the id has failed, or nil.
func (p *Pool) takeIdle(id string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.failed(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context) (*clientConn, *Failure) {
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		kind := FailConnect
		if ctx.Err() != nil {
			kind = FailCancelled
		}
		return nil, &Failure{Kind: kind, Err: fmt.Errorf("connect to %s: %w", p.address, err)}
	}
	p.opened()
	return newClientConn(c), nil
}

// put returns a connection to the pool and closes those that have been idle for too long.
func (p *Pool) put(c *clientConn) {
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
	for len(p.idle) > 0 && time.Since(p.idle[0].idleAt) > p.idle[0].maxIdle() {
		_ = p.idle[0].conn.Close()
		p.idle = p.idle[1:]
	}
}

// maxIdle returns how long an idle connection may be reused: three quarters of the time that
// the peer keeps it open, so that a request does not collide with the peer's close.
func (c *clientConn) maxIdle() time.Duration { return c.keepAlive * 3 / 4 }

func (p *Pool) drop(c *clientConn) { _ = c.conn.Close() }

// Address returns the address of the peer.
func (p *Pool) Address() string { return p.address }
