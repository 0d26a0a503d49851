package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/pack"
)

// packed returns the compressed document of a configuration.
func (p *peers) packed(s *meshconf.Snapshot) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.compressedRevision != s.Revision {
		p.compressed, p.compressedRevision = pack.Pack(s.Raw), s.Revision
	}
	return p.compressed
}

// pull asks a peer for a configuration that the store has not brought, unless one
// was asked just now. Leads announce a version again until this node has it.
func (p *peers) pull(version uint64, reply func(*link.News) bool) {
	own := p.node.Version()
	if own >= version {
		return
	}
	p.mu.Lock()
	again := time.Since(p.pulling) < pullAgain
	if !again {
		p.pulling = time.Now()
	}
	p.mu.Unlock()
	if !again {
		reply(&link.News{WantNewer: &own})
	}
}

// awaitVersion gives the store time to bring a version that another data centre
// has, and then asks for it. One version is awaited at a time: whoever is asked
// sends the newest.
func (p *peers) awaitVersion(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awaited >= version {
		return
	}
	p.awaited = version
	time.AfterFunc(pullWait, func() { p.pullFromAny(version) })
}

// pullFromAny asks connected nodes, one after another, until this node has a
// version or hears a lead.
func (p *peers) pullFromAny(version uint64) {
	if p.node.Version() >= version || !p.node.lead.leads() || p.node.stopping.Load() {
		return
	}
	for _, peer := range p.all() { // in the random order of a map
		if open, _ := peer.Connected(); open {
			p.pull(version, peer.SendNews)
			break
		}
	}
	time.AfterFunc(pullAgain, func() { p.pullFromAny(version) })
}
