package link

import (
	"fmt"
	"sync"
	"time"
)

// Monitor checks all connections of a process every pingInterval. All connections share one
// timer, because each wake-up costs processor time and a node in a large fleet has about a
// hundred connections.
type Monitor struct {
	mu       sync.Mutex
	sessions map[*session]*monitored
	stop     chan struct{}
	stopOnce sync.Once
}

// monitored is the monitoring state of a connection.
type monitored struct {
	pings pinger
	// hasOpenCalls reports whether calls on the connection wait for an answer.
	hasOpenCalls func() bool
}

// NewMonitor starts a monitor that runs until Close.
func NewMonitor() *Monitor {
	p := &Monitor{sessions: make(map[*session]*monitored), stop: make(chan struct{})}
	go p.run()
	return p
}

// Close stops the monitor. Connections stay open, but are no longer checked.
func (p *Monitor) Close() { p.stopOnce.Do(func() { close(p.stop) }) }

// run checks all open connections at every tick.
func (p *Monitor) run() {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
		}
		for s, c := range p.open() {
			c.check(s)
		}
	}
}

// watch adds a connection, which is checked until it ends.
func (p *Monitor) watch(s *session, hasOpenCalls func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = &monitored{hasOpenCalls: hasOpenCalls}
}

// open returns the connections that have not ended, and removes the others.
func (p *Monitor) open() map[*session]*monitored {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make(map[*session]*monitored, len(p.sessions))
	for s, c := range p.sessions {
		if s.ctx.Err() != nil {
			delete(p.sessions, s)
			continue
		}
		open[s] = c
	}
	return open
}

// check pings a silent peer. It ends the connection if nothing was received after a ping, or
// if the peer's certificate has been revoked since the handshake.
func (c *monitored) check(s *session) {
	if s.checkPeer != nil {
		if err := s.checkPeer(); err != nil {
			s.cancel(fmt.Errorf("link: %w", err))
			return
		}
	}
	now := time.Since(s.start)
	switch c.pings.next(now, time.Duration(s.lastReceived.Load()), c.hasOpenCalls()) {
	case pingNow:
		s.ping()
	case peerLost:
		s.cancel(fmt.Errorf("link: nothing received for %s after a ping", (now - c.pings.sentAt).Round(time.Millisecond)))
	}
}
