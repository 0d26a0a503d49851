package rollout

import (
	"slices"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Parent returns the node that pushes to self when root starts a push over the
// whole sorted list and every relay answers, so that reports travel back on the
// streams of the push. It reports false for the root and for unknown nodes.
func Parent(sorted []model.NodeID, root, self model.NodeID, fanout int) (model.NodeID, bool) {
	if self == root {
		return "", false
	}
	parent := root
	ids := without(sorted, root)
	for {
		branch, ok := branchOf(ids, self, fanout)
		if !ok {
			return "", false
		}
		if branch[0] == self {
			return parent, true
		}
		parent = branch[0]
		ids = branch[1:]
	}
}

// Children returns the nodes to which self pushes under the same conditions.
func Children(sorted []model.NodeID, root, self model.NodeID, fanout int) []model.NodeID {
	ids := without(sorted, root)
	for self != root {
		branch, ok := branchOf(ids, self, fanout)
		if !ok {
			return nil
		}
		ids = branch[1:]
		if branch[0] == self {
			break
		}
	}
	var children []model.NodeID
	for _, b := range Split(ids, fanout) {
		children = append(children, b[0])
	}
	return children
}

func without(sorted []model.NodeID, id model.NodeID) []model.NodeID {
	i, ok := slices.BinarySearch(sorted, id)
	if !ok {
		return sorted
	}
	return slices.Delete(slices.Clone(sorted), i, i+1)
}

func branchOf(ids []model.NodeID, id model.NodeID, fanout int) (Branch, bool) {
	for _, b := range Split(ids, fanout) {
		if _, ok := slices.BinarySearch(b, id); ok {
			return b, true
		}
	}
	return nil, false
}
