package rollout

import (
	"slices"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Parent returns the node that pushes to self when root starts a push over the
// whole sorted list and every relay answers, so that reports travel back on the
// streams of the push. It reports false for the root and for unknown nodes.
func Parent(sorted []model.NodeID, root, self model.NodeID, fanout int) (model.NodeID, bool) {
	parent, ids := root, sorted
	for parent != self {
		b, ok := branchOf(branches(ids, parent, fanout), self)
		if !ok {
			return "", false
		}
		if b[0] == self {
			return parent, true
		}
		parent, ids = b[0], b
	}
	return "", false
}

// Children returns the nodes to which self pushes under the same conditions.
func Children(sorted []model.NodeID, root, self model.NodeID, fanout int) []model.NodeID {
	node, ids := root, sorted
	for node != self {
		b, ok := branchOf(branches(ids, node, fanout), self)
		if !ok {
			return nil
		}
		node, ids = b[0], b
	}
	var children []model.NodeID
	for _, b := range branches(ids, self, fanout) {
		children = append(children, b[0])
	}
	return children
}

func branchOf(list []Branch, id model.NodeID) (Branch, bool) {
	for _, b := range list {
		if _, ok := slices.BinarySearch(b, id); ok {
			return b, true
		}
	}
	return nil, false
}
