package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// pull requests a newer configuration from a peer, unless one was requested within
// pullTimeout. Leads repeat their announcements, so this node tries again until it has the
// version.
func (p *peers) pull(version uint64, reply func(*link.StateUpdate) bool) {
	own := p.node.Version()
	if own >= version {
		return
	}
	p.mu.Lock()
	isRecent := time.Since(p.pulledAt) < pullTimeout
	if !isRecent {
		p.pulledAt = time.Now()
	}
	p.mu.Unlock()
	if !isRecent {
		reply(&link.StateUpdate{WantConfigAfter: &own})
	}
}

// awaitVersion waits for the store to deliver a version that another data centre has, and
// then requests it from peers. One version is awaited at a time, since a peer always sends
// its newest.
func (p *peers) awaitVersion(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awaitedVersion >= version {
		return
	}
	p.awaitedVersion = version
	time.AfterFunc(pullDelay, func() { p.pullFromAny(version) })
}

// pullFromAny asks connected nodes, one after another, until this node has the version or
// no longer leads.
func (p *peers) pullFromAny(version uint64) {
	if p.node.Version() >= version || !p.node.lead.leads() || p.node.stopping.Load() {
		return
	}
	for _, peer := range p.allPeers() { // map iteration makes their order random
		if open, _ := peer.Connected(); open {
			p.pull(version, peer.SendStateUpdate)
			break
		}
	}
	time.AfterFunc(pullTimeout, func() { p.pullFromAny(version) })
}
