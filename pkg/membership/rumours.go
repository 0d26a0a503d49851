package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// rumourFactor times the logarithm of the number of members is how often a
// rumour is passed on.
const rumourFactor = 3

// Rumours are entries that ride on probes until they were sent often enough.
// They are the dissemination that the tree is compared with.
type Rumours struct {
	left map[model.NodeID]int
}

// Add queues entries in a mesh of the given number of members.
func (r *Rumours) Add(entries []Entry, members int) {
	if r.left == nil {
		r.left = make(map[model.NodeID]int)
	}
	for _, e := range entries {
		r.left[e.Record.ID] = rumourFactor * bits.Len(uint(members))
	}
}

// Take returns the entries of up to n rumours, those least often sent first.
func (r *Rumours) Take(t *Table, n int) []Entry {
	ids := make([]model.NodeID, 0, len(r.left))
	for id := range r.left {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b model.NodeID) int {
		return cmp.Or(cmp.Compare(r.left[b], r.left[a]), cmp.Compare(a, b))
	})
	var entries []Entry
	for _, id := range ids[:min(n, len(ids))] {
		if e, ok := t.Get(id); ok {
			entries = append(entries, e)
		}
		r.left[id]--
		if r.left[id] <= 0 {
			delete(r.left, id)
		}
	}
	return entries
}
