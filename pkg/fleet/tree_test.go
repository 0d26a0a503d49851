package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// largeFleet returns a fleet of three data centres, each with two larger hosts.
func largeFleet(perCentre int) []fleet.Host {
	var hosts []fleet.Host
	for _, dc := range []string{"a", "b", "c"} {
		for i := range perCentre {
			size := 1
			if i == 3 || i == 5 {
				size = 9
			}
			hosts = append(hosts, fleet.Host{Node: fmt.Sprintf("%s-%02d", dc, i), DataCentre: dc, Size: size, PeerAddress: "x",
				Upstream: fleet.Upstream{ID: "u", State: fleet.StateReady, Service: "s", Slots: 7}})
		}
	}
	return hosts
}

func all(string) bool { return true }

// The connections within a data centre form a star around its first node, and the first
// nodes of the data centres connect to each other.
func TestContactsAreStars(t *testing.T) {
	is := is.New(t)
	hosts := largeFleet(20)
	for i := range hosts {
		h := &hosts[i]
		c := fleet.FindContacts(h, hosts, all)
		first := h.DataCentre + "-03"
		is.Equal(c.IsFirst, h.Node == first)
		if h.Node != first {
			is.Equal(c.Hub, first)
			is.Equal(len(c.RemoteHubs), 0)
			continue
		}
		is.Equal(c.Hub, h.DataCentre+"-05")
		slices.Sort(c.RemoteHubs)
		var others []string
		for _, dc := range []string{"a", "b", "c"} {
			if dc != h.DataCentre {
				others = append(others, dc+"-03")
			}
		}
		is.Equal(c.RemoteHubs, others)
	}
}

// A node uses the next node in rank if the first is unreachable or stopping, and ranks first
// itself if it reaches no other.
func TestContactsSkipUnreachableNodes(t *testing.T) {
	is := is.New(t)
	hosts := largeFleet(20)
	self := &hosts[0]
	lost := func(names ...string) func(string) bool {
		return func(node string) bool { return !slices.Contains(names, node) }
	}
	is.Equal(fleet.FindContacts(self, hosts, lost("a-03")).Hub, "a-05")
	is.Equal(fleet.FindContacts(self, hosts, lost("a-03", "a-05")).Hub, "a-01")
	stopping := slices.Clone(hosts)
	stopping[3].Stopping = true
	is.Equal(fleet.FindContacts(self, stopping, all).Hub, "a-05")
	alone := fleet.FindContacts(self, hosts, func(node string) bool { return node[0] != 'a' })
	is.True(alone.IsFirst)
	is.Equal(alone.Hub, "")
	is.Equal(len(alone.RemoteHubs), 2)
}

// The subsets of all nodes are spread evenly over the upstreams. Each has 10 upstreams in
// the node's own data centre and 2 in each other one.
func TestSubsetsAreEven(t *testing.T) {
	is := is.New(t)
	hosts := largeFleet(60)
	users := make(map[string]int)
	for i := range hosts {
		r := fleet.NewSubsetOrder(hosts[i].Node, hosts[i].DataCentre, hosts, hosts)
		subset := r.Subset(all)
		own := 0
		for _, h := range subset {
			users[h.Node]++
			if h.DataCentre == hosts[i].DataCentre {
				own++
			}
		}
		is.Equal(own, 10)
		is.Equal(len(subset), 14)
	}
	is.Equal(len(users), len(hosts))
	for node, n := range users {
		if n < 12 || n > 16 {
			t.Fatalf("%s is in %d of %d subsets", node, n, len(hosts))
		}
	}
}

// A lost upstream is replaced by the next one, and the rest of the subset does not change.
func TestSubsetReplacesOnlyLostUpstream(t *testing.T) {
	is := is.New(t)
	hosts := largeFleet(60)
	r := fleet.NewSubsetOrder("a-07", "a", hosts, hosts)
	before := r.Subset(all)
	lost := before[2].Node
	after := r.Subset(func(node string) bool { return node != lost })
	is.Equal(len(after), len(before))
	kept := 0
	for _, h := range after {
		is.True(h.Node != lost)
		for _, b := range before {
			if b.Node == h.Node {
				kept++
			}
		}
	}
	is.Equal(kept, len(before)-1)
	is.Equal(len(r.Subset(func(string) bool { return false })), len(hosts)) // with no accepted host, all are returned
	// A data centre without an upstream of the service uses more of the others.
	otherCentres := slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool { return h.DataCentre == "a" })
	remote := fleet.NewSubsetOrder("a-07", "a", hosts, otherCentres)
	is.Equal(len(remote.Subset(all)), 10)
}
