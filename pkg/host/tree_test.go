package host

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// otherHost returns the record of another host of the test node's data centre.
func otherHost(i int) fleet.Host {
	return fleet.Host{Node: fmt.Sprintf("b-%03d", i), DataCentre: "dc", PeerAddress: "127.91.250.9:7100", Incarnation: 1, Change: 1}
}

// newsRecorder collects the messages that a node sends to a neighbour.
type newsRecorder struct {
	mu   sync.Mutex
	news []*link.StateUpdate
}

func (h *newsRecorder) record(n *link.StateUpdate) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.news = append(h.news, n)
	return true
}

func (h *newsRecorder) all() []*link.StateUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.news)
}

func (h *newsRecorder) count(is func(n *link.StateUpdate) bool) int {
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
	n := newUnstartedNode(t)
	for i := range maxFullMeshHosts + 8 {
		n.table.Merge(otherHost(i))
	}
	return n
}

// A follower receives the whole table at once and later changes as they come; an
// announcement is relayed once, to all but its sender.
func TestFollowersReceiveEverything(t *testing.T) {
	is := is.New(t)
	n := newLargeNode(t)
	var first, second newsRecorder
	n.peers.handleNews("b-001", &link.StateUpdate{Subscribe: true}, first.record)
	n.peers.handleNews("b-002", &link.StateUpdate{Subscribe: true}, second.record)
	hosts, err := link.UnpackHosts(first.news[0].HostTable)
	is.NoErr(err)
	is.Equal(len(hosts), n.table.Len())
	for number := range 3 {
		for range 2 { // along two connections
			n.peers.handleNews("b-001", &link.StateUpdate{LeadRank: "0 lead", LeadRun: 7, LeadSequence: uint64(number + 1)}, first.record)
		}
	}
	isLead := func(n *link.StateUpdate) bool { return n.LeadRank == "0 lead" }
	is.Equal(first.count(isLead), 0)
	is.Equal(second.count(isLead), 3)
	is.True(!n.lead.election.Leads(time.Now()))

	h := otherHost(3)
	h.Change = 2
	n.peers.handleNews("b-001", &link.StateUpdate{Hosts: []fleet.Host{h}}, first.record)
	n.peers.handleNews("b-001", &link.StateUpdate{Hosts: []fleet.Host{h}}, first.record)
	time.Sleep(3 * relayDelay)
	isHost := func(n *link.StateUpdate) bool { return len(n.Hosts) == 1 && n.Hosts[0] == h }
	is.Equal(first.count(isHost), 0)
	is.Equal(second.count(isHost), 1)
	removal := fleet.Removal{Node: h.Node, Incarnation: 1, Change: 2}
	for range 2 {
		n.peers.handleNews("b-001", &link.StateUpdate{Removed: []fleet.Removal{removal}}, first.record)
	}
	is.Equal(second.count(func(n *link.StateUpdate) bool { return len(n.Removed) == 1 }), 1)
	crash := link.Crash{Fingerprint: 9, UpstreamID: "u", Born: 3}
	for range 2 {
		n.peers.handleNews("b-001", &link.StateUpdate{Crashes: []link.Crash{crash}}, first.record)
	}
	is.Equal(second.count(func(n *link.StateUpdate) bool { return len(n.Crashes) == 1 }), 1)
}

// A lead that receives its own announcement keeps leading and does not relay it.
func TestOwnAnnouncementIsIgnored(t *testing.T) {
	is := is.New(t)
	n := newLargeNode(t)
	var neighbour, other newsRecorder
	n.peers.handleNews("b-001", &link.StateUpdate{Subscribe: true}, neighbour.record)
	n.peers.handleNews("b-002", &link.StateUpdate{Subscribe: true}, other.record)
	n.lead.election.SetTimes(0, fleet.RelayedAnnouncementValidity)
	is.True(n.lead.election.Leads(time.Now()))
	n.lead.announce()
	back := neighbour.news[len(neighbour.news)-1]
	is.True(back.LeadRank != "")
	told := len(other.news)
	n.peers.handleNews("b-001", back, neighbour.record)
	is.True(n.lead.election.Leads(time.Now()))
	is.Equal(len(other.news), told)
}

// A node that missed a record detects it by the digest of its hub's table, requests the
// table, and sends the records that the hub lacks.
func TestDigestMismatchSynchronisesTables(t *testing.T) {
	is := is.New(t)
	hub, n := newLargeNode(t), newLargeNode(t)
	missed, own := otherHost(200), otherHost(201)
	hub.table.Merge(missed)
	n.table.Merge(own)
	n.peers.tree.setContacts(fleet.Contacts{Hub: "hub"})
	digest := hub.table.Digest()
	var asked newsRecorder
	for range int((digestMismatchTimeout+time.Second)/largeAnnounceInterval) + 1 {
		n.peers.handleNews("hub", &link.StateUpdate{HostsDigest: &digest}, asked.record)
		if len(asked.news) > 0 {
			break
		}
		time.Sleep(largeAnnounceInterval)
	}
	is.Equal(len(asked.news), 1)
	is.True(asked.news[0].WantHosts)
	var answer, back newsRecorder
	hub.peers.handleNews("a", asked.news[0], answer.record)
	n.peers.handleNews("hub", answer.news[0], back.record)
	_, learned := n.table.Get(missed.Node)
	is.True(learned)
	hub.peers.handleNews("a", back.news[0], answer.record)
	is.Equal(hub.table.Digest(), n.table.Digest())
}

// A removal that the hub missed reaches it with the comparison of tables.
func TestTableExchangeKeepsRemovals(t *testing.T) {
	is := is.New(t)
	hub, n := newLargeNode(t), newLargeNode(t)
	gone := otherHost(5)
	n.table.Remove(fleet.Removal{Node: gone.Node, Incarnation: gone.Incarnation, Change: gone.Change})
	var back newsRecorder
	n.peers.handleNews("hub", hub.peers.tree.tableMessage(), back.record)
	_, there := n.table.Get(gone.Node)
	is.True(!there)
	hub.peers.handleNews("a", back.news[0], back.record)
	_, there = hub.table.Get(gone.Node)
	is.True(!there)
}
