package link

import (
	"fmt"
	"sync"
	"time"
)

// Pulse looks at all connections of a process at a fixed interval. One timer
// serves them all, since each wake-up costs a process time, and a node of a large
// fleet has a hundred connections.
type Pulse struct {
	mu       sync.Mutex
	sessions map[*session]*pulsed
	stop     chan struct{}
	stopped  sync.Once
}

// pulsed is a connection that is looked at.
type pulsed struct {
	pings pinger
	// busy reports whether calls are open on the connection.
	busy func() bool
}

// NewPulse returns a pulse that runs until Close.
func NewPulse() *Pulse {
	p := &Pulse{sessions: make(map[*session]*pulsed), stop: make(chan struct{})}
	go p.run()
	return p
}

// Close ends the pulse. Connections are not looked at any more.
func (p *Pulse) Close() { p.stopped.Do(func() { close(p.stop) }) }

func (p *Pulse) run() {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
		}
		for s, c := range p.open() {
			c.look(s)
		}
	}
}

// watch begins to look at a connection, until it ends.
func (p *Pulse) watch(s *session, busy func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = &pulsed{busy: busy}
}

// open returns the connections that have not ended.
func (p *Pulse) open() map[*session]*pulsed {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make(map[*session]*pulsed, len(p.sessions))
	for s, c := range p.sessions {
		if s.ctx.Err() != nil {
			delete(p.sessions, s)
			continue
		}
		open[s] = c
	}
	return open
}

// look pings the peer while it is silent, and ends a connection on which a ping is
// not followed by anything, or with a certificate that is withdrawn by now.
func (c *pulsed) look(s *session) {
	if s.allowed != nil {
		if err := s.allowed(); err != nil {
			s.cancel(fmt.Errorf("link: %w", err))
			return
		}
	}
	now := time.Since(s.start)
	switch c.pings.look(now, time.Duration(s.heard.Load()), c.busy()) {
	case pingNow:
		s.send(&frame{Kind: kindPing})
	case peerLost:
		s.cancel(fmt.Errorf("link: a ping has not been answered for %s", (now - c.pings.sent).Round(time.Millisecond)))
	}
}
