package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// follow connects to the hosts that this node has to reach and drops those that
// left the table.
func (p *peers) follow() {
	hosts := p.node.table.All()
	isSmall := p.isSmall()
	if isSmall {
		p.reachAll(hosts)
	} else {
		p.reachContacts(hosts)
	}
	known := make(map[string]bool, len(hosts))
	for i := range hosts {
		known[hosts[i].Node] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for node, peer := range p.peers {
		if !known[node] || !isSmall && !p.tree.isContact(node) && peer.Unused() > unusedAfter {
			go peer.Close()
			delete(p.peers, node)
			delete(p.lostAt, node)
		}
	}
}

// reachAll connects to all hosts.
func (p *peers) reachAll(hosts []fleet.Host) {
	self := p.node.settings.Load().Node.ID
	for _, h := range hosts {
		if h.Node != self && !h.Stopping && h.Upstream.State != fleet.StateGone {
			p.ensure(h)
		}
	}
}

// followSoon makes the next refollow connect to the hosts of the changed table.
func (p *peers) followSoon() { p.changed.Store(true) }

// refollow connects to other hosts where the table has changed, and to other contacts
// where one is not reached.
func (p *peers) refollow() {
	if p.changed.Swap(false) {
		p.follow()
		return
	}
	if p.isSmall() {
		return
	}
	if p.lookAtContacts(time.Now()) {
		p.reachContacts(p.node.table.All())
	}
}

// lookAtContacts reports whether other contacts have to be found: one is not connected
// or is passed over, or one that was can be used again.
func (p *peers) lookAtContacts(now time.Time) (others bool) {
	for node := range p.tree.wantedContacts() {
		peer := p.open(node)
		if peer == nil {
			others = true
			continue
		}
		heard, ok := peer.Heard()
		if !ok {
			continue
		}
		ask, passed := p.tree.look(node, now, heard)
		if ask {
			peer.Ask()
		}
		if passed {
			p.node.log.Emit(event.ContactPassed, event.F("peer", node), event.F("silentMs", now.Sub(heard).Milliseconds()))
			others = true
		}
	}
	for _, node := range p.tree.passedOver() {
		if p.mayContact(node) {
			p.tree.forgetSilence(node)
			others = true
		}
	}
	return others
}

// mayContact reports whether a node can be a contact: it is reached and says something.
func (p *peers) mayContact(node string) bool {
	if !p.reachable(node) {
		return false
	}
	peer := p.open(node)
	if peer == nil {
		return true
	}
	heard, ok := peer.Heard()
	return !ok || !p.tree.isPassed(node, heard)
}

// reachContacts connects to the contacts and asks new ones to be told everything.
func (p *peers) reachContacts(hosts []fleet.Host) {
	self := p.node.record.current()
	contacts := fleet.FindContacts(&self, hosts, p.mayContact)
	added := p.tree.setContacts(contacts)
	for _, node := range append([]string{contacts.Hub}, contacts.Centres...) {
		if node != "" {
			p.get(node)
		}
	}
	for _, node := range added {
		if peer := p.open(node); peer != nil {
			peer.SendNews(p.greeting(node))
		}
	}
}

// seek connects to the hosts of the own data centre that have not followed this node
// for a while, to find out whether they live.
func (p *peers) seek() {
	now := time.Now()
	s := p.node.settings.Load()
	for _, h := range p.node.table.All() {
		if h.DataCentre != s.Node.DataCentre || h.Node == s.Node.ID {
			continue
		}
		follows := p.tree.follows(h.Node)
		p.mu.Lock()
		since, known := p.absent[h.Node]
		switch {
		case follows:
			delete(p.absent, h.Node)
		case !known:
			p.absent[h.Node] = now
		}
		p.mu.Unlock()
		if !follows && known && now.Sub(since) > seekAfter {
			p.ensure(h)
		}
	}
}
