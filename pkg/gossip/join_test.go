package gossip_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/gossip"
	"github.com/tarragondrum/tarragondrum/pkg/gossip/gossiptest"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
	"github.com/tarragondrum/tarragondrum/pkg/tree"
)

// A herd that knows a single contact is deferred by it to others, and the
// state comes from many members.
func TestHerdJoinsByManyMembers(t *testing.T) {
	const nodes = 80
	o := gossiptest.Options{Nodes: nodes, DataCentres: 2, Seed: 20}
	first := gossiptest.New(o).Nodes[0].Record.MeshAddr
	o.Edit = func(o *gossip.Options) { o.Contacts = []string{first} }
	run(t, o, func(_ *testing.T, is *is.I, c *gossiptest.Cluster) {
		var deferred uint64
		var sent []uint64
		for _, n := range c.Running() {
			deferred += n.Log.Count(event.JoinDeferred)
			sent = append(sent, n.Transport.(mesh.Meter).Traffic().SentBytes[mesh.KindExchange])
		}
		is.True(deferred > 0)
		var sum uint64
		for _, bytes := range sent {
			sum += bytes
		}
		is.True(sent[0] < sum/4) // the contact does not carry the herd alone
	})
}

// Two parts of the mesh that started without each other during an outage of
// the platform become one when it is back.
func TestPartsOfTheMeshMerge(t *testing.T) {
	store := fake.New()
	o := gossiptest.Options{Nodes: 12, DataCentres: 2, Seed: 21, Platform: store}
	records := gossiptest.New(o).Nodes
	o.Edit = func(o *gossip.Options) { // each data centre knows only itself
		for _, n := range records {
			if n.Record.DataCentre == o.Self.DataCentre {
				o.Contacts = append(o.Contacts, n.Record.MeshAddr)
			}
		}
	}
	store.SetDown(true)
	runUnconverged(t, o, func(t *testing.T, is *is.I, c *gossiptest.Cluster) {
		wait(t, "each data centre is whole", func() bool {
			return c.All(func(v *membership.View) bool { return len(v.Members) == 6 })
		})
		time.Sleep(time.Minute)
		is.True(c.All(func(v *membership.View) bool { return len(v.Members) == 6 }))
		store.SetDown(false)
		wait(t, "one mesh", c.Converged)
	})
}

// An update goes around nodes that died a moment ago.
func TestUpdateGoesAroundDeadNodes(t *testing.T) {
	o := gossiptest.Options{Nodes: 40, DataCentres: 1, Seed: 22}
	run(t, o, func(t *testing.T, is *is.I, c *gossiptest.Cluster) {
		for i := 1; i <= 8; i++ { // the upper part of the tree
			c.Kill(i)
		}
		is.True(leave(t, c, 30) <= 2*time.Second)
	})
}

// A lead that dies after it took an update and before it pushed it loses
// nothing: the origin hands the update to another one.
func TestLeadDiesWithAnUpdate(t *testing.T) {
	o := gossiptest.Options{Nodes: 40, DataCentres: 1, Seed: 24}
	run(t, o, func(t *testing.T, is *is.I, c *gossiptest.Cluster) {
		var ids []model.NodeID
		for _, n := range c.Nodes {
			ids = append(ids, n.Record.ID)
		}
		leads := tree.Leads(ids, c.Nodes[0].Record.DataCentre, 3)
		origin := slices.IndexFunc(ids, func(id model.NodeID) bool { return !slices.Contains(leads, id) })
		known := announceLeaving(c, origin)
		const betweenAckAndPush = 30 * time.Millisecond
		time.Sleep(betweenAckAndPush)
		c.Kill(slices.Index(ids, leads[0]))
		is.True(betweenAckAndPush+wait(t, "leaving known", known) <= 2*time.Second)
	})
}

// A node whose id is used twice says so.
func TestDuplicateIDIsReported(t *testing.T) {
	o := gossiptest.Options{Nodes: 6, DataCentres: 1, Seed: 23}
	o.Edit = func(o *gossip.Options) {
		if o.Self.ID == "node-0005" {
			o.Self.ID = "node-0004"
		}
	}
	runUnconverged(t, o, func(t *testing.T, _ *is.I, c *gossiptest.Cluster) {
		wait(t, "reported", func() bool {
			return c.Nodes[4].Log.Count(event.IDConflict)+c.Nodes[5].Log.Count(event.IDConflict) > 0
		})
	})
}
