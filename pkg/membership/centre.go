package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/tree"
)

// buckets is the number of parts into which the digest of a data centre is
// split, so that two nodes find the few records that differ.
const buckets = 64

// centre holds what is derived from the members of one data centre.
type centre struct {
	digest  uint64
	buckets [buckets]uint64
	// leads and ids are computed when asked for after a change.
	valid bool
	leads []model.NodeID
	ids   []model.NodeID
}

func (c *centre) membersChanged() { c.valid = false }

func (t *Table) centreOf(m *member) *centre { return t.centre(m.Record.DataCentre) }

func (t *Table) centre(dc model.DataCentre) *centre {
	c, ok := t.centres[dc]
	if !ok {
		c = &centre{}
		t.centres[dc] = c
	}
	return c
}

func bucketOf(id model.NodeID) int { return int(xxhash.Sum64String(string(id)) % buckets) }

// toggle adds a member to the digests or takes it out again, which is the same
// because they are joined by exclusive or. Members that are gone do not count,
// because each node forgets them at its own time.
func (t *Table) toggle(m *member) {
	if gone(m.Status) {
		return
	}
	h := m.hash()
	c := t.centreOf(m)
	c.digest ^= h
	c.buckets[bucketOf(m.Record.ID)] ^= h
	t.digest ^= h
}

func (t *Table) refresh(dc model.DataCentre) *centre {
	c := t.centre(dc)
	if c.valid {
		return c
	}
	var present []model.NodeID
	c.ids = nil
	for id, m := range t.members {
		if m.Record.DataCentre != dc || m.Status == StatusLeft {
			continue
		}
		c.ids = append(c.ids, id)
		if !gone(m.Status) {
			present = append(present, id)
		}
	}
	slices.Sort(c.ids)
	c.leads = tree.Leads(present, dc, t.config.Leads)
	c.valid = true
	return c
}

// DataCentre returns the data centre of this node.
func (t *Table) DataCentre() model.DataCentre { return t.members[t.self].Record.DataCentre }

// Centres returns every data centre that has members, sorted.
func (t *Table) Centres() []model.DataCentre {
	var names []model.DataCentre
	for dc := range t.centres {
		if len(t.refresh(dc).ids) > 0 {
			names = append(names, dc)
		}
	}
	slices.Sort(names)
	return names
}

// Leads returns the leads of a data centre, the first one first.
func (t *Table) Leads(dc model.DataCentre) []mesh.Peer {
	return t.peers(t.refresh(dc).leads)
}

// LeadRank returns the place of this node among the leads of its data centre,
// or -1 if it is none.
func (t *Table) LeadRank() int {
	return slices.Index(t.refresh(t.DataCentre()).leads, t.self)
}

// TreeIDs returns the sorted members over which the trees of this node's data
// centre are built. Failed members keep their place, so that the tree changes
// little; a sender goes around them.
func (t *Table) TreeIDs() []model.NodeID { return t.refresh(t.DataCentre()).ids }

// UnreachableCentres returns the data centres that more than half of the leads
// of this node's data centre cannot reach.
func (t *Table) UnreachableCentres() []model.DataCentre {
	leads := t.refresh(t.DataCentre()).leads
	votes := make(map[model.DataCentre]int)
	for _, id := range leads {
		for _, dc := range t.members[id].Record.Unreachable {
			votes[dc]++
		}
	}
	var cut []model.DataCentre
	for dc, n := range votes {
		if dc != t.DataCentre() && 2*n > len(leads) {
			cut = append(cut, dc)
		}
	}
	slices.Sort(cut)
	return cut
}

// Peer returns the address of a member that is not gone.
func (t *Table) Peer(id model.NodeID) (mesh.Peer, bool) {
	m, ok := t.members[id]
	if !ok || gone(m.Status) {
		return mesh.Peer{}, false
	}
	return m.peer(), true
}

// RandomPeers returns up to n members that are not gone, without this node and
// the excluded ones. An empty data centre means any.
func (t *Table) RandomPeers(n int, dc model.DataCentre, except ...model.NodeID) []mesh.Peer {
	var ids []model.NodeID
	for id, m := range t.members {
		if id == t.self || gone(m.Status) || slices.Contains(except, id) {
			continue
		}
		if dc == "" || m.Record.DataCentre == dc {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids) // the map's order must not decide
	t.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return t.peers(ids[:min(n, len(ids))])
}

func (t *Table) peers(ids []model.NodeID) []mesh.Peer {
	peers := make([]mesh.Peer, len(ids))
	for i, id := range ids {
		peers[i] = t.members[id].peer()
	}
	return peers
}

func (m *member) peer() mesh.Peer { return mesh.Peer{ID: m.Record.ID, Addr: m.Record.MeshAddr} }
