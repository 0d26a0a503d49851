package host

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// While no lead reaches the store, the first node of a data centre seeks the newest hosts that
// were removed there, however many were removed elsewhere since, and another node does not.
func TestFirstNodeSeeksRemovedHosts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	n := newPeerNode(t, "a")
	n.table.Merge(n.record.current())
	second, elsewhere := otherHost(1), otherHost(2)
	elsewhere.DataCentre = "dc-2"
	is.True(n.table.Merge(second))
	is.True(n.table.Merge(elsewhere))
	remove := func(h fleet.Host, at time.Time) { n.table.Remove(h.Removal(at.UnixMilli())) }
	remove(otherHost(3), now.Add(-time.Hour)) // too long ago
	for i := range 2 * maxSought {
		gone := otherHost(100 + i)
		gone.DataCentre = "dc-2"
		remove(gone, now)
		remove(otherHost(200+i), now.Add(time.Duration(i-100)*time.Second))
	}
	wanted := n.peers.removedHostsToSeek(now)
	is.Equal(len(wanted), maxSought)
	for i, r := range wanted {
		is.Equal(r.Node, fmt.Sprintf("b-%d", 200+2*maxSought-1-i))
		is.Equal(r.PeerAddress, second.PeerAddress)
	}

	n.lead.election.RecordAnnouncement(now, "0 lead") // the store answers
	is.Equal(len(n.peers.removedHostsToSeek(now)), 0)

	first := otherHost(0)
	first.Size = 1_000_000
	is.True(n.table.Merge(first))
	is.Equal(len(n.peers.removedHostsToSeek(now.Add(time.Minute))), 0)
}
