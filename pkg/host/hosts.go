package host

import (
	"context"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/platform"
)

const (
	// janitorInterval is the time between two looks for hosts to take away.
	janitorInterval = 2 * time.Second
	// removeAfter is how long a host is unreachable before its entry is removed.
	// It is well above the cuts of which a data centre returns by itself.
	removeAfter = 15 * time.Second
	// removeTimeout bounds the removal of one entry.
	removeTimeout = 2 * time.Second
)

// takeAll takes in a whole list of a revision: what is not in it, and was there
// before, has been removed.
func (n *Node) takeAll(entries []platform.HostEntry, listed uint64) {
	self := n.settings.Load().Node.ID
	has := make(map[string]bool, len(entries))
	for i := range entries {
		has[entries[i].Name] = true
	}
	if !has[self] {
		n.record.learn(nil)
	}
	n.mu.Lock()
	for name, revision := range n.revisions {
		if !has[name] && name != self && revision <= listed {
			entries = append(entries, platform.HostEntry{Name: name, Revision: revision, Deleted: true})
		}
	}
	n.mu.Unlock()
	n.takeEntries(entries)
}

// takeEntries takes in entries of the store and tells the data centre what is
// new.
func (n *Node) takeEntries(entries []platform.HostEntry) {
	news := &link.News{}
	for i := range entries {
		e := &entries[i]
		switch {
		case e.Err != nil:
			n.log.Emit(event.StoreEntryBad, event.F("entry", e.Name), event.F("error", e.Err))
		case e.Name == n.settings.Load().Node.ID:
			n.record.learn(e)
		case e.Deleted:
			n.mu.Lock()
			delete(n.revisions, e.Name)
			n.mu.Unlock()
			if h, ok := n.table.Get(e.Name); ok {
				removal := fleet.Removal{Node: e.Name, Incarnation: h.Incarnation, Change: h.Change}
				n.remove(removal, "store")
				news.Removed = append(news.Removed, removal)
			}
		default:
			n.mu.Lock()
			n.revisions[e.Name] = max(n.revisions[e.Name], e.Revision)
			n.mu.Unlock()
			if n.merge(e.Host, "store") {
				news.Hosts = append(news.Hosts, e.Host)
			}
		}
	}
	if len(news.Hosts)+len(news.Removed) > 0 {
		n.peers.broadcast(news)
	}
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

// merge takes in the record of another host and reports whether it is news.
func (n *Node) merge(h fleet.Host, source string) bool {
	if !n.mergeQuietly(h) {
		return false
	}
	n.log.Emit(event.HostChanged, event.F("host", h.Node), event.F("dataCentre", h.DataCentre), event.F("incarnation", h.Incarnation),
		event.F("change", h.Change), event.F("stopping", h.Stopping), event.F("upstream", h.Upstream.ID),
		event.F("state", h.Upstream.State), event.F("source", source))
	n.peers.followSoon()
	return true
}

// remove takes in that the entry of a host was removed, and reports whether it was
// known.
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

// janitor removes the entries of hosts that have been unreachable for long. Only
// a lead does it.
func (n *Node) janitor(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, janitorInterval)
		n.peers.follow()
		if !n.peers.isSmall() {
			n.reportLost()
			continue
		}
		if !n.lead.fresh(time.Now()) {
			continue
		}
		for _, name := range n.peers.lostFor(removeAfter) {
			n.removeLost(ctx, name)
		}
	}
}

// reportLost takes hosts away that the first node of their data centre has not reached
// for long, and tells all. The node that reads the store removes their entries.
func (n *Node) reportLost() {
	if !n.peers.tree.isFirst() {
		return
	}
	n.peers.seek()
	for _, name := range n.peers.lostFor(removeAfter) {
		h, ok := n.table.Get(name)
		if !ok {
			continue
		}
		r := fleet.Removal{Node: name, Incarnation: h.Incarnation, Change: h.Change}
		n.remove(r, "unreachable")
		n.peers.broadcast(&link.News{Removed: []fleet.Removal{r}})
	}
}

// forgetRemoved removes the entry of a host that was taken away, if this node reads
// the store.
func (n *Node) forgetRemoved(name string) {
	if n.lead.fresh(time.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
			defer cancel()
			n.removeLost(ctx, name)
		}()
	}
}

func (n *Node) removeLost(ctx context.Context, name string) {
	n.mu.Lock()
	revision, ok := n.revisions[name]
	n.mu.Unlock()
	if !ok {
		return
	}
	err := n.store().RemoveHost(ctx, name, revision)
	n.log.Emit(event.StoreRemoved, event.F("host", name), event.F("revision", revision),
		event.F("unreachableMs", removeAfter.Milliseconds()), event.F("error", err))
}
