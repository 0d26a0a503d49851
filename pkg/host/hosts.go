package host

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// cleanupInterval is the time between two checks for hosts to remove.
	cleanupInterval = 2 * time.Second
	// removeAfter is how long a host is unreachable before it is removed. It is well above
	// network interruptions from which a data centre recovers by itself.
	removeAfter = 15 * time.Second
)

// mergeStoreHosts merges records of the store and sends those that are new to other nodes.
func (n *Node) mergeStoreHosts(hosts []fleet.Host, source string) {
	if news := n.mergeAll(hosts, source); len(news) > 0 {
		n.peers.broadcast(&link.StateUpdate{Hosts: news})
	}
}

// mergePeerHosts merges records of one message of a peer. In a large fleet it relays those
// that are new.
func (n *Node) mergePeerHosts(peer string, hosts []fleet.Host) {
	news := n.mergeAll(hosts, "peer "+peer)
	if n.peers.isFullMesh() {
		return // the host itself sends its record to every node
	}
	for _, h := range news {
		n.peers.tree.queueRelay(h, peer)
	}
}

// mergeAll merges records, logs the new ones in one line, and returns them. Invalid ones are
// logged and ignored.
func (n *Node) mergeAll(hosts []fleet.Host, source string) []fleet.Host {
	var news []fleet.Host
	for _, h := range hosts {
		if err := h.Validate(); err != nil {
			n.log.Emit(event.PeerMessageUnreadable, event.F("peer", source), event.F("error", err))
			continue
		}
		if _, removed := n.table.Removed(h); removed {
			n.table.Remove(h.Removal(0)) // it may say more of the upstream than the known removal
			continue
		}
		if !n.mergeHost(h) {
			continue
		}
		if merged, ok := n.table.Get(h.Node); ok {
			news = append(news, merged) // it may say more of the upstream than the received record
		}
	}
	if len(news) > 0 {
		n.logHosts(news, source)
		n.peers.requestConnectionUpdate()
	}
	return news
}

// logHosts logs new records: one with all fields, several in one line.
func (n *Node) logHosts(news []fleet.Host, source string) {
	if len(news) == 1 {
		h := &news[0]
		n.log.Emit(event.HostChanged, event.F("host", h.Node), event.F("dataCentre", h.DataCentre), event.F("incarnation", h.Incarnation),
			event.F("change", h.Change), event.F("stopping", h.Stopping), event.F("upstream", h.Upstream.ID),
			event.F("state", h.Upstream.State), event.F("source", source))
		return
	}
	names := make([]string, 0, len(news))
	for _, h := range news {
		names = append(names, fmt.Sprintf("%s %d.%d %s", h.Node, h.Incarnation, h.Change, h.Upstream.State))
	}
	n.log.Emit(event.HostRecordsReceived, event.F("source", source), event.F("count", len(names)), event.F("hosts", names))
}

// mergeHost merges one record without logging it, and reports whether it is a new record of
// another host.
func (n *Node) mergeHost(h fleet.Host) bool {
	if h.Node == n.settings.Load().Node.ID {
		n.record.learnFromPeer(h)
		return false
	}
	return n.table.Merge(h)
}

// remove applies a removal and reports whether it deleted a record. A removal of this host
// makes it renew its record instead.
func (n *Node) remove(r fleet.Removal, source string) bool {
	if r.Node == n.settings.Load().Node.ID {
		n.record.restore(&r)
		return false
	}
	known := n.table.Remove(r)
	if known {
		n.log.Emit(event.HostRemoved, event.F("host", r.Node), event.F("incarnation", r.Incarnation), event.F("change", r.Change),
			event.F("source", source))
		n.peers.requestConnectionUpdate()
	}
	return known
}

// removeAndForward removes a host and forwards the removal to all but the node that sent
// it. A removal that a peer sent is forwarded also if the host is gone already and the removal
// alone says that its upstream left.
func (n *Node) removeAndForward(r fleet.Removal, source, from string) {
	isOwn := r.Node == n.settings.Load().Node.ID
	isNews := from != "" && n.table.LacksLeaving(r)
	if !n.remove(r, source) && !isNews && !isOwn {
		return
	}
	if !isOwn {
		n.peers.forward(&link.StateUpdate{Removed: []fleet.Removal{r}}, from)
	}
}

// removeUnreachable removes hosts that have been unreachable for removeAfter. The lead does
// that in a small fleet, and the first node of each data centre in a large one.
func (n *Node) removeUnreachable(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, cleanupInterval)
		n.peers.updateConnections()
		n.peers.seekRemoved(time.Now())
		switch {
		case n.peers.isFullMesh() && !n.lead.reachedStoreRecently(time.Now()):
			continue
		case !n.peers.isFullMesh() && !n.peers.tree.isFirst():
			continue
		case !n.peers.isFullMesh():
			n.peers.probeMissing()
		}
		for _, name := range n.peers.unreachableFor(removeAfter) {
			if h, ok := n.table.Get(name); ok {
				n.removeAndForward(h.Removal(time.Now().UnixMilli()), "unreachable", "")
			}
		}
	}
}
