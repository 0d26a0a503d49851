// Package tree computes the dissemination trees of a data centre from its
// sorted member list, without any exchange of messages. Nodes with the same
// list compute the same tree.
//
// The trees of two roots differ in two positions only, so that the streams
// between parents and children are few and stay open.
package tree

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Leads returns the first k members of a data centre by rendezvous hash: its
// platform watchers, its gateways and the roots of its trees. A member that
// comes or goes changes the result only where it is itself a lead.
func Leads(ids []model.NodeID, dc model.DataCentre, k int) []model.NodeID {
	left := make([]string, len(ids))
	for i, id := range ids {
		left[i] = string(id)
	}
	slices.Sort(left)
	k = min(k, len(left))
	leads := make([]model.NodeID, 0, k)
	for range k {
		first := rendezvous.New(left, xxhash.Sum64String).Lookup(string(dc))
		leads = append(leads, model.NodeID(first))
		left = slices.DeleteFunc(left, func(id string) bool { return id == first })
	}
	return leads
}

// Children returns the children of self in the tree with the given root. It is
// empty if self or root is not in the sorted list.
func Children(sorted []model.NodeID, root, self model.NodeID, fanout int) []model.NodeID {
	p, ok := position(sorted, root, self)
	if !ok || fanout < 1 {
		return nil
	}
	var children []model.NodeID
	for c := p*fanout + 1; c <= p*fanout+fanout && c < len(sorted); c++ {
		children = append(children, at(sorted, root, c))
	}
	return children
}

// Parent returns the parent of self in the tree with the given root. It
// reports false for the root and for nodes that are not in the list.
func Parent(sorted []model.NodeID, root, self model.NodeID, fanout int) (model.NodeID, bool) {
	p, ok := position(sorted, root, self)
	if !ok || p == 0 || fanout < 1 {
		return "", false
	}
	return at(sorted, root, (p-1)/fanout), true
}

// Subtree returns self and every node below it, parents before children.
func Subtree(sorted []model.NodeID, root, self model.NodeID, fanout int) []model.NodeID {
	p, ok := position(sorted, root, self)
	if !ok || fanout < 1 {
		return nil
	}
	var nodes []model.NodeID
	first, last := p, p // the positions of one level are contiguous
	for first < len(sorted) {
		for i := first; i <= last && i < len(sorted); i++ {
			nodes = append(nodes, at(sorted, root, i))
		}
		first, last = first*fanout+1, last*fanout+fanout
	}
	return nodes
}

// position returns the place of id in the tree: its index in the list, with
// the first node and the root swapped.
func position(sorted []model.NodeID, root, id model.NodeID) (int, bool) {
	r, ok := slices.BinarySearch(sorted, root)
	if !ok {
		return 0, false
	}
	i, ok := slices.BinarySearch(sorted, id)
	if !ok {
		return 0, false
	}
	return swapped(i, r), true
}

func at(sorted []model.NodeID, root model.NodeID, position int) model.NodeID {
	r, _ := slices.BinarySearch(sorted, root)
	return sorted[swapped(position, r)]
}

// swapped exchanges the indices 0 and r.
func swapped(i, r int) int {
	switch i {
	case 0:
		return r
	case r:
		return 0
	}
	return i
}
