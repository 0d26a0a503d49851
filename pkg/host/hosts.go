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
	// janitorInterval is the time between two looks for hosts to take away.
	janitorInterval = 2 * time.Second
	// removeAfter is how long a host is unreachable before it is taken away. It is well
	// above the cuts of which a data centre returns by itself.
	removeAfter = 15 * time.Second
)

// learn takes in records of the store and tells others of what is news.
func (n *Node) learn(hosts []fleet.Host, source string) {
	if news := n.mergeAll(hosts, source); len(news) > 0 {
		n.peers.broadcast(&link.News{Hosts: news})
	}
}

// learnFrom takes in records that a peer has sent together, and passes on what is news.
func (n *Node) learnFrom(peer string, hosts []fleet.Host) {
	news := n.mergeAll(hosts, "peer "+peer)
	if n.peers.isSmall() {
		return // the host itself has told all
	}
	for _, h := range news {
		n.peers.tree.pass(h, peer)
	}
}

// mergeAll takes in records that came together, logs them in one line, and returns what
// is news.
func (n *Node) mergeAll(hosts []fleet.Host, source string) []fleet.Host {
	var news []fleet.Host
	for _, h := range hosts {
		if _, removed := n.table.Removed(h); !removed && n.mergeQuietly(h) {
			news = append(news, h)
		}
	}
	if len(news) > 0 {
		n.logHosts(news, source)
		n.peers.followSoon()
	}
	return news
}

// logHosts logs records that are news: one by itself, several in one line.
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
	n.log.Emit(event.HostsLearned, event.F("source", source), event.F("count", len(names)), event.F("hosts", names))
}

// mergeQuietly takes in the record of a host and reports whether it is news of
// another one.
func (n *Node) mergeQuietly(h fleet.Host) bool {
	if h.Node == n.settings.Load().Node.ID {
		n.record.learnFromPeer(h)
		return false
	}
	return n.table.Merge(h)
}

// remove takes in that a host was taken away, and reports whether it was known.
func (n *Node) remove(r fleet.Removal, source string) bool {
	if r.Node == n.settings.Load().Node.ID {
		n.record.restore(&r)
		return false
	}
	known := n.table.Remove(r)
	if known {
		n.log.Emit(event.HostRemoved, event.F("host", r.Node), event.F("incarnation", r.Incarnation), event.F("change", r.Change),
			event.F("source", source))
		n.peers.followSoon()
	}
	return known
}

// tellRemoval takes a host away and tells all but the node that said so.
func (n *Node) tellRemoval(v fleet.Version, source, from string) {
	r := fleet.Removal(v)
	isOwn := r.Node == n.settings.Load().Node.ID
	if !n.remove(r, source) && !isOwn {
		return
	}
	if !isOwn {
		n.peers.tell(&link.News{Removed: []fleet.Removal{r}}, from)
	}
}

// janitor takes hosts away that have been unreachable for long: the node that reads
// the store in a small fleet, and the first of each data centre in a large one.
func (n *Node) janitor(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, janitorInterval)
		n.peers.follow()
		switch {
		case n.peers.isSmall() && !n.lead.fresh(time.Now()):
			continue
		case !n.peers.isSmall() && !n.peers.tree.isFirst():
			continue
		case !n.peers.isSmall():
			n.peers.seek()
		}
		for _, name := range n.peers.lostFor(removeAfter) {
			if h, ok := n.table.Get(name); ok {
				n.tellRemoval(h.Version(), "unreachable", "")
			}
		}
	}
}
