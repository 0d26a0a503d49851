package host

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// known returns the record of another host of the plain node's data centre.
func known(i int) fleet.Host {
	return fleet.Host{Node: fmt.Sprintf("b-%03d", i), DataCentre: "dc", PeerAddress: "127.91.250.9:7100", Incarnation: 1, Change: 1}
}

// heard collects what a node tells a neighbour.
type heard struct {
	mu   sync.Mutex
	news []*link.News
}

func (h *heard) take(n *link.News) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.news = append(h.news, n)
	return true
}

func (h *heard) count(is func(n *link.News) bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, n := range h.news {
		if is(n) {
			count++
		}
	}
	return count
}

// newLargeNode returns a node that is not started and knows a large fleet.
func newLargeNode(t *testing.T) *Node {
	t.Helper()
	n := newPlainNode(t)
	for i := range meshSize + 8 {
		n.table.Merge(known(i))
	}
	return n
}

// A follower is told the whole table at once, and what is new later; an announcement
// goes on once, to all but the one that it came from.
func TestFollowersAreToldEverything(t *testing.T) {
	is := is.New(t)
	n := newLargeNode(t)
	var first, second heard
	n.peers.news("b-001", &link.News{Follow: true}, first.take)
	n.peers.news("b-002", &link.News{Follow: true}, second.take)
	hosts, err := link.UnpackHosts(first.news[0].Table)
	is.NoErr(err)
	is.Equal(len(hosts), n.table.Len())
	for number := range 3 {
		for range 2 { // over two ways
			n.peers.news("b-001", &link.News{Lead: "0 lead", Run: 7, Number: uint64(number + 1)}, first.take)
		}
	}
	isLead := func(n *link.News) bool { return n.Lead == "0 lead" }
	is.Equal(first.count(isLead), 0)
	is.Equal(second.count(isLead), 3)
	is.True(!n.lead.cover.Leads(time.Now()))

	h := known(3)
	h.Change = 2
	n.peers.news("b-001", &link.News{Hosts: []fleet.Host{h}}, first.take)
	n.peers.news("b-001", &link.News{Hosts: []fleet.Host{h}}, first.take)
	time.Sleep(3 * relayPause)
	isHost := func(n *link.News) bool { return len(n.Hosts) == 1 && n.Hosts[0] == h }
	is.Equal(first.count(isHost), 0)
	is.Equal(second.count(isHost), 1)
	removal := fleet.Removal{Node: h.Node, Incarnation: 1, Change: 2}
	for range 2 {
		n.peers.news("b-001", &link.News{Removed: []fleet.Removal{removal}}, first.take)
	}
	is.Equal(second.count(func(n *link.News) bool { return len(n.Removed) == 1 }), 1)
	crash := link.Crash{Fingerprint: 9, UpstreamID: "u", Born: 3}
	for range 2 {
		n.peers.news("b-001", &link.News{Crashes: []link.Crash{crash}}, first.take)
	}
	is.Equal(second.count(func(n *link.News) bool { return len(n.Crashes) == 1 }), 1)
}

// An announcement that comes back to its lead does not end its lead, and goes nowhere
// else.
func TestOwnAnnouncementComesBack(t *testing.T) {
	is := is.New(t)
	n := newLargeNode(t)
	var neighbour, other heard
	n.peers.news("b-001", &link.News{Follow: true}, neighbour.take)
	n.peers.news("b-002", &link.News{Follow: true}, other.take)
	n.lead.cover.Set(0, fleet.RelayedFor)
	is.True(n.lead.cover.Leads(time.Now()))
	n.lead.announce()
	back := neighbour.news[len(neighbour.news)-1]
	is.True(back.Lead != "")
	told := len(other.news)
	n.peers.news("b-001", back, neighbour.take)
	is.True(n.lead.cover.Leads(time.Now()))
	is.Equal(len(other.news), told)
}

// A node that missed a record notices by the digest of its hub's table, asks for the
// table, and tells what the hub has missed.
func TestDigestsFindWhatWasMissed(t *testing.T) {
	is := is.New(t)
	hub, n := newLargeNode(t), newLargeNode(t)
	missed, own := known(200), known(201)
	hub.table.Merge(missed)
	n.table.Merge(own)
	n.peers.tree.setContacts(fleet.Contacts{Hub: "hub"})
	digest := hub.table.Digest()
	var asked heard
	for range int((unlikeFor+time.Second)/relayInterval) + 1 {
		n.peers.news("hub", &link.News{Digest: &digest}, asked.take)
		if len(asked.news) > 0 {
			break
		}
		time.Sleep(relayInterval)
	}
	is.Equal(len(asked.news), 1)
	is.True(asked.news[0].WantHosts)
	var answer, back heard
	hub.peers.news("a", asked.news[0], answer.take)
	n.peers.news("hub", answer.news[0], back.take)
	_, learned := n.table.Get(missed.Node)
	is.True(learned)
	hub.peers.news("a", back.news[0], answer.take)
	is.Equal(hub.table.Digest(), n.table.Digest())
}

// A removal that the hub has missed reaches it with the comparison.
func TestTableDoesNotBringRemovedHostsBack(t *testing.T) {
	is := is.New(t)
	hub, n := newLargeNode(t), newLargeNode(t)
	gone := known(5)
	n.table.Remove(fleet.Removal{Node: gone.Node, Incarnation: gone.Incarnation, Change: gone.Change})
	var back heard
	n.peers.news("hub", hub.peers.tree.table(), back.take)
	_, there := n.table.Get(gone.Node)
	is.True(!there)
	hub.peers.news("a", back.news[0], back.take)
	_, there = hub.table.Get(gone.Node)
	is.True(!there)
}
