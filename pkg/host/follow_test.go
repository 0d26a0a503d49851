package host

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// A node of a small fleet that missed a record notices by the digest of the lead's
// table and asks for the table.
func TestCoveredNodeLearnsOfAllHosts(t *testing.T) {
	is := is.New(t)
	lead, n := newPlainNode(t), newPlainNode(t)
	for _, node := range []*Node{lead, n} {
		node.started = time.Now().Add(-time.Minute)
		node.table.Merge(known(1))
	}
	late := known(2) // a host of which nobody told the node
	lead.table.Merge(late)
	digest := lead.table.Digest()
	end := time.Now().Add(unlikeFor + 2*time.Second)
	for {
		is.True(time.Now().Before(end)) // its record is not known
		n.peers.news("lead", &link.News{Lead: "0 lead", Digest: &digest}, func(question *link.News) bool {
			lead.peers.news("a", question, func(answer *link.News) bool {
				go n.peers.news("lead", answer, func(*link.News) bool { return true })
				return true
			})
			return true
		})
		if _, there := n.table.Get(late.Node); there {
			return
		}
		time.Sleep(leadInterval)
	}
}

// While the store is away the pause of a node grows with the fleet, up to a bound.
func TestAwayPause(t *testing.T) {
	is := is.New(t)
	for hosts, want := range map[int]time.Duration{1: 50 * time.Millisecond, 67: 3350 * time.Millisecond, 8200: 15 * time.Second} {
		is.Equal(awayPause(hosts), want)
	}
}
