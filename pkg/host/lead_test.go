package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// A node of a small fleet that missed a record detects it by the digest of the lead's table
// and requests the table.
func TestCoveredNodeLearnsOfAllHosts(t *testing.T) {
	is := is.New(t)
	lead, n := newUnstartedNode(t), newUnstartedNode(t)
	for _, node := range []*Node{lead, n} {
		node.started = time.Now().Add(-time.Minute)
		node.table.Merge(otherHost(1))
	}
	late := otherHost(2) // n was never sent this host
	lead.table.Merge(late)
	digest := lead.table.Digest()
	end := time.Now().Add(digestMismatchTimeout + 2*time.Second)
	for {
		is.True(time.Now().Before(end)) // fails if the record does not arrive in time
		n.peers.handleNews("lead", &link.StateUpdate{LeadRank: "0 lead", HostsDigest: &digest}, func(question *link.StateUpdate) bool {
			lead.peers.handleNews("a", question, func(answer *link.StateUpdate) bool {
				go n.peers.handleNews("lead", answer, func(*link.StateUpdate) bool { return true })
				return true
			})
			return true
		})
		if _, there := n.table.Get(late.Node); there {
			return
		}
		time.Sleep(smallAnnounceInterval)
	}
}

// During a store outage the pause of a node grows with the fleet, up to a bound.
func TestOutagePause(t *testing.T) {
	is := is.New(t)
	for hosts, want := range map[int]time.Duration{1: 50 * time.Millisecond, 67: 3350 * time.Millisecond, 8200: 15 * time.Second} {
		is.Equal(outagePause(hosts), want)
	}
}
