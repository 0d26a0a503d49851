package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/pack"
)

// broadcast sends a state update to every connected node, or in a large fleet to the neighbours in
// the tree.
func (p *peers) broadcast(n *link.StateUpdate) {
	if !p.isFullMesh() {
		p.tree.send(n, "")
		return
	}
	for _, peer := range p.allPeers() {
		peer.SendStateUpdate(n)
	}
}

// forward sends a state update on to other nodes. In a large fleet all neighbours but the sender get
// it. In a small one every node gets it from its origin, so only updates without a sender are
// sent.
func (p *peers) forward(n *link.StateUpdate, from string) {
	switch {
	case !p.isFullMesh():
		p.tree.send(n, from)
	case from == "":
		p.broadcast(n)
	}
}

func (p *peers) broadcastHost(h fleet.Host) { p.broadcast(&link.StateUpdate{Hosts: []fleet.Host{h}}) }

// greeting returns the first message to a node after a connection opens.
func (p *peers) greeting(node string) *link.StateUpdate {
	n := p.node.versionUpdate()
	n.Hosts = []fleet.Host{p.node.record.current()}
	n.Rollouts = p.node.rollouts.messages()
	n.Crashes = p.node.knownCrashes()
	switch {
	case p.isFullMesh():
		n.Hosts, n.Removed = p.node.table.All(), p.node.table.AllDepartures()
	case p.tree.isContact(node):
		n.Subscribe = true
	}
	return n
}

// handleNews processes what another node sends besides calls: records, removals,
// announcements, crash reports and configurations.
func (p *peers) handleNews(node string, n *link.StateUpdate, reply func(*link.StateUpdate) bool) {
	isSmall := p.isFullMesh()
	p.node.observeEpoch(n.StoreEpoch)
	p.node.currency.handleUpdate(node, n, reply)
	p.node.quotas.handleUpdate(node, n, reply)
	stale := &link.StateUpdate{}
	for _, h := range n.Hosts {
		if r, ok := p.node.table.Removed(h); ok {
			// The sender missed the removal. If it is the host itself, it renews its record.
			stale.Removed = append(stale.Removed, r)
			continue
		}
		if former, ok := p.node.table.Former(h); ok && (h.Node == node || former.Upstream.IsLeavingOrGone()) {
			// The former process of the host knew more of its upstream than the sender does.
			reply(&link.StateUpdate{Hosts: []fleet.Host{former}})
		}
	}
	p.node.mergePeerHosts(node, n.Hosts)
	if len(stale.Removed) > 0 {
		reply(stale)
	}
	for _, r := range n.Removed {
		if err := r.Validate(); err != nil {
			p.node.log.Emit(event.PeerMessageUnreadable, event.F("peer", node), event.F("error", err))
			continue
		}
		p.node.removeAndForward(r, "peer "+node, node)
	}
	if len(n.Persisted) > 0 {
		p.handleSaved(node, n.Persisted)
	}
	if n.LeadRank != "" {
		p.handleLead(node, n, reply)
	}
	p.handleCrashes(node, n.Crashes)
	p.handleCompleted(node, n.Completed)
	p.node.rollouts.handle(node, n, reply)
	p.handleTree(node, n, reply)
	if len(n.Config) > 0 {
		revision := model.Revision{Epoch: n.ConfigEpoch, Number: n.ConfigRevision}
		raw, err := pack.Decompress(n.Config)
		if err != nil {
			p.node.refuseConfig(revision, "peer "+node, err)
			return
		}
		p.node.applyConfig(raw, revision, "peer "+node)
		return
	}
	if n.WantConfigAfter != nil {
		if s := p.node.config.Current(); s != nil && s.Version > *n.WantConfigAfter {
			reply(&link.StateUpdate{ConfigVersion: s.Version, ConfigRevision: s.Revision.Number, ConfigEpoch: s.Revision.Epoch, Config: s.Compressed()})
		}
	}
	switch {
	case n.ConfigVersion <= p.node.Version():
	case n.LeadRank != "" || p.node.Version() == 0 || !isSmall:
		p.pull(n.ConfigVersion, reply)
	case p.node.lead.leads():
		p.awaitVersion(n.ConfigVersion)
	}
}

// handleSaved processes the versions of records that the store has.
func (p *peers) handleSaved(from string, versions []fleet.Version) {
	p.node.record.noteSavedVersions(versions)
	if news := p.tree.recordSaved(versions); len(news) > 0 {
		p.forward(&link.StateUpdate{Persisted: news}, from)
	}
}

// handleLead processes an announcement of a lead.
func (p *peers) handleLead(from string, n *link.StateUpdate, reply func(*link.StateUpdate) bool) {
	if n.LeadRank == rankOf(p.node.settings.Load()) {
		return
	}
	if n.LeadRun == 0 {
		// The sender is the lead of a full mesh. A node that has just started still takes its fleet for a
		// large one, and would take all its announcements but the first for repeated ones.
		p.node.currency.ask(from, reply)
	}
	if !p.isFullMesh() && !p.tree.forwardIfNew(from, n) {
		return
	}
	p.node.lead.election.RecordAnnouncement(time.Now(), n.LeadRank)
	p.node.currency.ask(from, reply)
}

// handleTree processes subscriptions, digests and tables, which keep the tables of all
// nodes equal.
func (p *peers) handleTree(from string, n *link.StateUpdate, reply func(*link.StateUpdate) bool) {
	if n.Subscribe {
		p.tree.addFollower(from, reply)
	}
	if n.WantHosts {
		reply(p.tree.tableMessage())
	}
	if n.HostsDigest != nil && (p.isFullMesh() || p.tree.isContact(from)) && p.tree.checkDigest(*n.HostsDigest) {
		reply(&link.StateUpdate{WantHosts: true})
	}
	if len(n.HostTable) == 0 {
		return
	}
	missing, err := p.tree.mergeTable(from, n.HostTable)
	if err != nil {
		p.node.log.Emit(event.PeerMessageUnreadable, event.F("peer", from), event.F("error", err))
		return
	}
	if len(missing.Hosts)+len(missing.Removed) > 0 {
		reply(missing)
	}
}
