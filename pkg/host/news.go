package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/pack"
	"github.com/tarragondrum/tarragondrum/pkg/suspect"
)

// broadcast sends news to every connected node, or in a large fleet to the neighbours
// in the tree.
func (p *peers) broadcast(n *link.News) {
	if !p.isSmall() {
		p.tree.send(n, "")
		return
	}
	for _, peer := range p.all() {
		peer.SendNews(n)
	}
}

// tell is broadcast for what came from a node, which in a large fleet goes on to the
// others only, and in a small one comes to them directly.
func (p *peers) tell(n *link.News, from string) {
	switch {
	case !p.isSmall():
		p.tree.send(n, from)
	case from == "":
		p.broadcast(n)
	}
}

func (p *peers) broadcastHost(h fleet.Host) { p.broadcast(&link.News{Hosts: []fleet.Host{h}}) }

// greeting is what a node is told when a connection opens.
func (p *peers) greeting(node string) *link.News {
	n := &link.News{ConfigVersion: p.node.Version(), Hosts: []fleet.Host{p.node.record.current()}}
	switch {
	case p.isSmall():
		n.Hosts = p.node.table.All()
	case p.tree.isContact(node):
		n.Follow = true
	}
	return n
}

// news takes in what another node says beside calls.
func (p *peers) news(node string, n *link.News, reply func(*link.News) bool) {
	isSmall := p.isSmall()
	stale := &link.News{}
	for _, h := range n.Hosts {
		if r, ok := p.node.table.Removed(h); ok {
			// The sender missed it; if it is the host itself, it comes back with a change.
			stale.Removed = append(stale.Removed, r)
			continue
		}
		if old, ok := p.node.table.Get(h.Node); ok && h.Node == node && fleet.Supersedes(old.Upstream, h.Upstream) {
			// Its former process had heard more of the upstream.
			reply(&link.News{Hosts: []fleet.Host{old}})
		}
	}
	p.node.learnFrom(node, n.Hosts)
	if len(stale.Removed) > 0 {
		reply(stale)
	}
	for _, r := range n.Removed {
		p.node.tellRemoval(fleet.Version(r), "peer "+node, node)
	}
	if len(n.Saved) > 0 {
		p.takeSaved(node, n.Saved)
	}
	if n.Lead != "" {
		p.takeLead(node, n)
	}
	for _, c := range n.Crashes {
		p.takeCrash(node, c)
	}
	p.takeTree(node, n, reply)
	if len(n.Config) > 0 {
		raw, err := pack.Unpack(n.Config)
		if err != nil {
			p.node.refuseConfig(n.ConfigRevision, "peer "+node, err)
			return
		}
		p.node.applyConfig(raw, n.ConfigRevision, "peer "+node)
		return
	}
	if n.WantNewer != nil {
		if s := p.node.config.Current(); s != nil && s.Version > *n.WantNewer {
			reply(&link.News{ConfigVersion: s.Version, ConfigRevision: s.Revision, Config: p.packed(s)})
		}
	}
	switch {
	case n.ConfigVersion <= p.node.Version():
	case n.Lead != "" || p.node.Version() == 0 || !isSmall:
		p.pull(n.ConfigVersion, reply)
	case p.node.lead.leads():
		p.awaitVersion(n.ConfigVersion)
	}
}

// takeSaved takes in that the store has records.
func (p *peers) takeSaved(from string, versions []fleet.Version) {
	p.node.record.takeSaved(versions)
	if news := p.tree.newSaved(versions); len(news) > 0 {
		p.tell(&link.News{Saved: news}, from)
	}
}

// takeLead takes in that a node reads the store.
func (p *peers) takeLead(from string, n *link.News) {
	if n.Lead == rankOf(p.node.settings.Load()) || !p.isSmall() && !p.tree.isNew(from, n) {
		return
	}
	p.node.lead.cover.Announced(time.Now(), n.Lead)
}

// takeCrash takes in that a request ran when an upstream crashed.
func (p *peers) takeCrash(from string, c link.Crash) {
	isNew := p.node.suspect(c.Fingerprint, suspect.Life{UpstreamID: c.UpstreamID, Born: c.Born})
	if isNew && !p.isSmall() {
		p.tree.send(&link.News{Crashes: []link.Crash{c}}, from)
	}
}

// takeTree takes in what keeps the tables of a large fleet equal.
func (p *peers) takeTree(from string, n *link.News, reply func(*link.News) bool) {
	if n.Follow {
		p.tree.follow(from, reply)
	}
	if n.WantHosts {
		reply(p.tree.table())
	}
	if n.Digest != nil && (p.isSmall() || p.tree.isContact(from)) && p.tree.compare(*n.Digest) {
		reply(&link.News{WantHosts: true})
	}
	if len(n.Table) == 0 {
		return
	}
	missing, err := p.tree.takeTable(from, n.Table)
	if err != nil {
		p.node.log.Emit(event.PeerUnreadable, event.F("peer", from), event.F("error", err))
		return
	}
	if len(missing.Hosts)+len(missing.Removed) > 0 {
		reply(missing)
	}
}
