package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

const (
	// maxSought is the number of removed hosts that one node tries to reach, and soughtFor how
	// long after its removal a host is sought.
	maxSought = 8
	soughtFor = 10 * time.Minute
)

// seekRemoved connects to hosts that were removed a short time ago, while the store does not
// answer. A node that starts there cannot read the roster then, so it knows no other node and
// none knows it. When this node reaches it, the greeting tells it the other hosts.
func (p *peers) seekRemoved(now time.Time) {
	wanted := p.removedHostsToSeek(now)
	sought := make(map[string]bool, len(wanted))
	for _, r := range wanted {
		sought[r.Node] = true
	}
	p.mu.Lock()
	before := p.sought
	p.sought = sought
	p.mu.Unlock()
	for _, r := range wanted {
		if !before[r.Node] {
			p.node.log.Emit(event.RemovedHostSought, event.F("host", r.Node), event.F("address", r.PeerAddress))
		}
		p.ensurePeer(fleet.Host{Node: r.Node, PeerAddress: r.PeerAddress})
	}
}

// removedHostsToSeek returns the newest removals of hosts that this node has to seek now.
func (p *peers) removedHostsToSeek(now time.Time) []fleet.Removal {
	if p.node.lead.isCovered(now) {
		return nil
	}
	var wanted []fleet.Removal
	seeks := make(map[string]bool)
	for _, r := range p.node.table.RemovedSince(now.Add(-soughtFor).UnixMilli()) {
		if _, known := seeks[r.DataCentre]; !known {
			seeks[r.DataCentre] = p.isSeekerOf(r.DataCentre)
		}
		if seeks[r.DataCentre] && len(wanted) < maxSought {
			wanted = append(wanted, r)
		}
	}
	return wanted
}

// isSeekerOf reports whether this node is the one that seeks removed hosts of a data centre: the
// first reachable one there, or of the whole fleet if the data centre has none.
func (p *peers) isSeekerOf(dataCentre string) bool {
	self := p.node.record.current()
	var there, all []fleet.Host
	for _, h := range p.node.table.All() {
		if h.Node != self.Node && (h.Stopping || !p.reachable(h.Node)) {
			continue
		}
		all = append(all, h)
		if h.DataCentre == dataCentre {
			there = append(there, h)
		}
	}
	if len(there) == 0 {
		there = all
	}
	first, ok := fleet.First(there)
	return ok && first.Node == self.Node
}
