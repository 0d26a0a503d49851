package host

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/platform"
)

// departedHost returns the record of another host whose upstream is gone.
func departedHost(node string) fleet.Host {
	return fleet.Host{
		Node: node, DataCentre: "dc", PeerAddress: "127.91.250.9:7100", Incarnation: 1, Change: 4,
		Upstream: fleet.Upstream{ID: "u", Born: 100, Sequence: 7, Service: "desk", Slots: 1, State: fleet.StateGone},
	}
}

// A node that starts again on a host that was removed, because it stopped as planned or was
// not reached, is told that its upstream had left. A heartbeat from before that arrives late
// and changes nothing; a later process of the upstream, also under the same id, is used.
func TestRemovedHostIsToldThatItsUpstreamLeft(t *testing.T) {
	is := is.New(t)
	removed := departedHost("a")
	peer := newUnstartedNode(t)
	settings := *peer.settings.Load()
	settings.Node.ID = "b"
	peer.settings.Store(&settings)
	is.True(peer.table.Merge(removed))
	peer.removeAndForward(removed.Removal(1000), "unreachable", "")

	n := newUnstartedNode(t)
	var reply newsRecorder
	peer.peers.handleNews("a", &link.StateUpdate{Hosts: []fleet.Host{n.record.current()}}, reply.record)
	is.Equal(len(reply.news), 1)
	n.peers.handleNews("b", reply.news[0], reply.record)
	is.Equal(n.record.current().Upstream.State, fleet.StateGone)
	beat := fleet.Heartbeat{Upstream: removed.Upstream}
	beat.State, beat.Sequence = fleet.StateReady, 8
	_ = n.record.Heartbeat(t.Context(), beat) // acknowledged once the store has the record
	is.Equal(n.record.current().Upstream.State, fleet.StateGone)
	beat.Born, beat.Sequence = 101, 1
	is.NoErr(n.record.Heartbeat(t.Context(), beat))
	is.Equal(n.record.current().Upstream.State, fleet.StateReady)
}

// A node that starts reads from the roster that the upstream of its host has left before it
// accepts a heartbeat, and a node that reads a roster of the store keeps its departures.
func TestDeparturesOfTheRoster(t *testing.T) {
	is := is.New(t)
	own, other := departedHost("a"), departedHost("b-001")
	roster := &platform.Roster{
		DataCentre: "dc", Revision: model.Revision{Epoch: 1, Number: 5},
		Departed: []fleet.Removal{own.Removal(1000), other.Removal(2000)},
	}
	n := newUnstartedNode(t)
	n.rosters.mergeRoster(roster)
	is.True(n.record.isLearned())
	is.Equal(n.record.current().Upstream.State, fleet.StateGone)
	n.table.Merge(n.record.current())
	drafts := n.rosters.drafts()
	is.Equal(len(drafts), 1) // the host of this node is back
	is.Equal(len(drafts[0].departed), 1)
	is.Equal(drafts[0].departed[0].Node, "b-001")
	is.True(drafts[0].departed[0].SameDeparture(other.Removal(2000)))

	// Once the store has them, nothing is left to write.
	n.rosters.recordStored(&platform.Roster{
		DataCentre: "dc", Revision: model.Revision{Epoch: 1, Number: 6}, Hosts: drafts[0].hosts, Departed: drafts[0].departed,
	})
	is.Equal(len(n.rosters.drafts()), 0)
}

// A departure that another node removed at another time, or with another count of heartbeats,
// is no reason to write the roster again: two leads would do so in turn.
func TestEqualDeparturesAreNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	h := departedHost("b-001")
	n := newUnstartedNode(t)
	n.table.Merge(n.record.current())
	n.table.Remove(h.Removal(2000))
	stored := h
	stored.Upstream.Sequence = 9
	n.rosters.recordStored(&platform.Roster{
		DataCentre: "dc", Revision: model.Revision{Epoch: 1, Number: 5}, Hosts: []fleet.Host{n.record.current()},
		Departed: []fleet.Removal{stored.Removal(1000)},
	})
	is.Equal(len(n.rosters.drafts()), 0)
}

// A removal that no node writes is not taken.
func TestInvalidRemovalIsNotTaken(t *testing.T) {
	is := is.New(t)
	n := newUnstartedNode(t)
	h := departedHost("b-001")
	is.True(n.table.Merge(h))
	removal := h.Removal(1000)
	removal.Incarnation = 1 << 62
	n.peers.handleNews("b-002", &link.StateUpdate{Removed: []fleet.Removal{removal}}, func(*link.StateUpdate) bool { return true })
	_, there := n.table.Get(h.Node)
	is.True(there)
}

// newPeerNode returns a node of a small fleet that is not started, under a name.
func newPeerNode(t *testing.T, name string) *Node {
	t.Helper()
	n := newUnstartedNode(t)
	settings := *n.settings.Load()
	settings.Node.ID = name
	n.settings.Store(&settings)
	n.record.host.Node = name
	n.started = n.started.Add(-startupPeriod)
	return n
}

// A restarted node whose greeting was answered with the state of its former process, and that
// lost the answer with the connection, learns it from the next greeting: the other node has put
// that state into the record of the new process.
func TestLostAnswerToTheGreetingIsRepeated(t *testing.T) {
	is := is.New(t)
	former := departedHost("a")
	peer, n := newPeerNode(t, "b"), newPeerNode(t, "a")
	is.True(peer.table.Merge(former))
	lost := func(*link.StateUpdate) bool { return true }
	peer.peers.handleNews("a", &link.StateUpdate{Hosts: []fleet.Host{n.record.current()}}, lost)
	is.Equal(n.record.current().Upstream.State, fleet.StateNone)

	n.peers.handleNews("b", peer.peers.greeting("a"), lost)
	is.Equal(n.record.current().Upstream, former.Upstream)
}

// A deregistration without a start time, of a process that its node has not heard of, is not
// replaced by what other nodes know of an earlier process.
func TestDeregistrationWithoutStartTimeIsKept(t *testing.T) {
	is := is.New(t)
	former := departedHost("a")
	peer, n := newPeerNode(t, "b"), newPeerNode(t, "a")
	is.True(peer.table.Merge(former))
	n.record.learned.done()
	ended, cancel := context.WithCancel(t.Context())
	cancel() // nobody saves it
	next := fleet.Upstream{ID: "next", Service: "desk", Slots: 1}
	is.True(n.record.Heartbeat(ended, fleet.Heartbeat{Upstream: next, Removed: true}) != nil)
	peer.peers.handleNews("a", &link.StateUpdate{Hosts: []fleet.Host{n.record.current()}}, func(news *link.StateUpdate) bool {
		n.peers.handleNews("b", news, func(*link.StateUpdate) bool { return true })
		return true
	})
	n.peers.handleNews("b", peer.peers.greeting("a"), func(*link.StateUpdate) bool { return true })
	next.Born, next.Sequence, next.State = 200, 1, fleet.StateReady // held up since before it left
	_ = n.record.Heartbeat(ended, fleet.Heartbeat{Upstream: next})  // acknowledged once the leaving is saved
	is.Equal(n.record.current().Upstream.State, fleet.StateGone)
}

// In a large fleet, a node that alone knows that the upstream of a restarted node has left tells
// so to its hub, which relays it to the restarted node.
func TestFollowerCorrectsARelayedRecord(t *testing.T) {
	is := is.New(t)
	former := departedHost("a")
	hub, follower, n := newLargeNode(t), newLargeNode(t), newPeerNode(t, "a")
	is.True(follower.table.Merge(former))
	var toNode newsRecorder
	hub.settings.Store(newPeerNode(t, "hub").settings.Load())
	hub.peers.handleNews("a", &link.StateUpdate{Subscribe: true}, toNode.record)
	record := n.record.current()
	hub.peers.handleNews("a", &link.StateUpdate{Hosts: []fleet.Host{record}}, toNode.record)

	follower.settings.Store(newPeerNode(t, "follower").settings.Load())
	var toHub newsRecorder
	follower.peers.handleNews("hub", &link.StateUpdate{Hosts: []fleet.Host{record}}, toHub.record)
	is.Equal(len(toHub.news), 1)
	hub.peers.handleNews("follower", toHub.news[0], func(*link.StateUpdate) bool { return true })
	time.Sleep(3 * relayDelay)
	for _, news := range toNode.all() {
		n.peers.handleNews("hub", news, func(*link.StateUpdate) bool { return true })
	}
	is.Equal(n.record.current().Upstream, former.Upstream)
}

// A node that does not know a host relays a removal that says that its upstream has left.
func TestRemovalOfAnUnknownHostIsRelayed(t *testing.T) {
	is := is.New(t)
	hub := newLargeNode(t)
	h := departedHost("b-900")
	var other newsRecorder
	hub.peers.handleNews("b-002", &link.StateUpdate{Subscribe: true}, other.record)
	hub.peers.handleNews("b-001", &link.StateUpdate{Removed: []fleet.Removal{h.Version().Removal()}}, other.record)
	for range 2 {
		hub.peers.handleNews("b-001", &link.StateUpdate{Removed: []fleet.Removal{h.Removal(1000)}}, other.record)
	}
	is.Equal(other.count(func(n *link.StateUpdate) bool { return len(n.Removed) == 1 && n.Removed[0].Upstream != nil }), 1)
}

// A node that starts while the store is away learns from any other node which upstreams of
// removed hosts have left, so that the last node that saw a removal may stop.
func TestStartingNodeIsToldOfDepartures(t *testing.T) {
	for name, learn := range map[string]func(from, n *Node){
		"greeting of a small fleet": func(from, n *Node) {
			n.peers.handleNews("b", from.peers.greeting("c"), func(*link.StateUpdate) bool { return true })
		},
		"table of a large fleet": func(from, n *Node) {
			var reply newsRecorder
			from.peers.handleNews("c", &link.StateUpdate{Subscribe: true}, reply.record)
			n.peers.handleNews("b", reply.news[0], func(*link.StateUpdate) bool { return true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			removed := departedHost("a")
			from, n := newPeerNode(t, "b"), newPeerNode(t, "c")
			from.removeAndForward(removed.Removal(time.Now().UnixMilli()), "peer a", "a")
			learn(from, n)
			restarted := newPeerNode(t, "a")
			var reply newsRecorder
			n.peers.handleNews("a", &link.StateUpdate{Hosts: []fleet.Host{restarted.record.current()}}, reply.record)
			is.Equal(len(reply.news), 1)
			restarted.peers.handleNews("c", reply.news[0], reply.record)
			is.Equal(restarted.record.current().Upstream.State, fleet.StateGone)
		})
	}
}
