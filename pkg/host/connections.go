package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// updateConnections connects to the hosts that this node has to reach. It closes
// connections to hosts that left the table, unless it seeks them, and in a large fleet those
// that are idle.
func (p *peers) updateConnections() {
	hosts := p.node.table.All()
	isSmall := p.isFullMesh()
	if isSmall {
		p.connectAll(hosts)
	} else {
		p.connectContacts(hosts)
	}
	known := make(map[string]bool, len(hosts))
	for i := range hosts {
		known[hosts[i].Node] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for node, peer := range p.peers {
		if !known[node] && !p.sought[node] || known[node] && !isSmall && !p.tree.isContact(node) && peer.IdleTime() > idleConnectionTimeout {
			go peer.Close()
			delete(p.peers, node)
			delete(p.lostAt, node)
		}
	}
}

// connectAll connects to all hosts of the table that are neither stopping nor gone.
func (p *peers) connectAll(hosts []fleet.Host) {
	self := p.node.settings.Load().Node.ID
	for _, h := range hosts {
		if h.Node != self && !h.Stopping && h.Upstream.State != fleet.StateGone {
			p.ensurePeer(h)
		}
	}
}

// requestConnectionUpdate makes the next refreshConnections update the connections, since
// the table has changed.
func (p *peers) requestConnectionUpdate() { p.tableChanged.Store(true) }

// refreshConnections updates the connections if the table has changed. In a large fleet it
// also selects other contacts if one cannot be reached.
func (p *peers) refreshConnections() {
	if p.tableChanged.Swap(false) {
		p.updateConnections()
		return
	}
	if p.isFullMesh() {
		return
	}
	if p.checkContacts(time.Now()) {
		p.connectContacts(p.node.table.All())
	}
}

// checkContacts probes silent contacts. It reports whether contacts have to be selected
// again: one is not connected or is excluded, or an excluded node is eligible again.
func (p *peers) checkContacts(now time.Time) (reselect bool) {
	for node := range p.tree.currentContacts() {
		peer := p.openPeer(node)
		if peer == nil {
			reselect = true
			continue
		}
		heard, ok := peer.LastReceived()
		if !ok {
			continue
		}
		probe, excluded := p.tree.checkSilence(node, now, heard)
		if probe {
			peer.Ping()
		}
		if excluded {
			p.node.log.Emit(event.UpdateSourceReplaced, event.F("peer", node), event.F("silentMs", now.Sub(heard).Milliseconds()))
			reselect = true
		}
	}
	for _, node := range p.tree.excludedNodes() {
		if p.isEligibleContact(node) {
			p.tree.clearSilence(node)
			reselect = true
		}
	}
	return reselect
}

// isEligibleContact reports whether a node can be a contact: it can be reached and is not
// excluded as unresponsive.
func (p *peers) isEligibleContact(node string) bool {
	if !p.reachable(node) {
		return false
	}
	peer := p.openPeer(node)
	if peer == nil {
		return true
	}
	heard, ok := peer.LastReceived()
	return !ok || !p.tree.isExcluded(node, heard)
}

// connectContacts selects the contacts, connects to them, and subscribes to the state updates of new
// ones that are connected already.
func (p *peers) connectContacts(hosts []fleet.Host) {
	self := p.node.record.current()
	contacts := fleet.FindContacts(&self, hosts, p.isEligibleContact)
	added := p.tree.setContacts(contacts)
	for _, node := range append([]string{contacts.Hub}, contacts.RemoteHubs...) {
		if node != "" {
			p.peerFor(node)
		}
	}
	for _, node := range added {
		if peer := p.openPeer(node); peer != nil {
			peer.SendStateUpdate(p.greeting(node))
		}
	}
}

// probeMissing connects to the hosts of the own data centre that have not followed this
// node for probeAfter, to find out whether they are alive.
func (p *peers) probeMissing() {
	now := time.Now()
	s := p.node.settings.Load()
	for _, h := range p.node.table.All() {
		if h.DataCentre != s.Node.DataCentre || h.Node == s.Node.ID {
			continue
		}
		follows := p.tree.hasFollower(h.Node)
		p.mu.Lock()
		since, known := p.missingSince[h.Node]
		switch {
		case follows:
			delete(p.missingSince, h.Node)
		case !known:
			p.missingSince[h.Node] = now
		}
		p.mu.Unlock()
		if !follows && known && now.Sub(since) > probeAfter {
			p.ensurePeer(h)
		}
	}
}
