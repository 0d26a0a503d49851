package distributor

import (
	"slices"
	"sync"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/tree"
)

// group is the membership as the roll-out uses it: the live members of each
// data centre, sorted, and their leads.
type group struct {
	index   uint64
	self    model.NodeID
	dc      model.DataCentre
	members map[model.DataCentre][]model.NodeID
	leads   map[model.DataCentre][]model.NodeID
	peers   map[model.NodeID]mesh.Peer
}

// newGroup reads a view. Suspects count as live until they are found failed.
func newGroup(v *membership.View, self mesh.Peer, dc model.DataCentre, leads int) *group {
	g := &group{
		index:   v.Index,
		self:    self.ID,
		dc:      dc,
		members: make(map[model.DataCentre][]model.NodeID),
		leads:   make(map[model.DataCentre][]model.NodeID),
		peers:   map[model.NodeID]mesh.Peer{self.ID: self},
	}
	for id, m := range v.Members {
		if id == self.ID || !live(m) {
			continue
		}
		g.members[m.DataCentre] = append(g.members[m.DataCentre], id)
		g.peers[id] = m.Peer()
	}
	g.members[dc] = append(g.members[dc], self.ID)
	for name, ids := range g.members {
		slices.Sort(ids)
		g.leads[name] = tree.Leads(ids, name, leads)
	}
	return g
}

// live tells whether a member takes part in the roll-out. A data centre that is
// unreachable as a whole is still offered versions, so that it heals at once.
func live(m membership.Member) bool {
	switch m.Status {
	case membership.StatusAlive, membership.StatusSuspect, membership.StatusUnreachable:
		return !m.Stopping
	}
	return false
}

// own returns the sorted members of this data centre.
func (g *group) own() []model.NodeID { return g.members[g.dc] }

// firstLead returns the root of the pushes and reports of this data centre.
func (g *group) firstLead() model.NodeID { return g.leads[g.dc][0] }

// leading reports whether this node watches the platform.
func (g *group) leading() bool { return slices.Contains(g.leads[g.dc], g.self) }

// others returns the names of the other data centres in order.
func (g *group) others() []model.DataCentre {
	var names []model.DataCentre
	for name := range g.members {
		if name != g.dc {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// groups keeps the group of the newest view.
type groups struct {
	mu     sync.Mutex
	source membership.Source
	self   mesh.Peer
	dc     model.DataCentre
	leads  int
	last   *group
}

func (c *groups) current() *group {
	v := c.source.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil || c.last.index != v.Index {
		c.last = newGroup(v, c.self, c.dc, c.leads)
	}
	return c.last
}
