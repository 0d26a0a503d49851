package tree_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/tree"
)

func nodes(n int) []model.NodeID {
	ids := make([]model.NodeID, n)
	for i := range ids {
		ids[i] = model.NodeID(fmt.Sprintf("node-%04d", i))
	}
	return ids
}

// Every node is reached exactly once, and each is the child of its parent.
func TestTreeSpansEveryNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := nodes(rapid.IntRange(1, 300).Draw(t, "n"))
		root := rapid.SampledFrom(ids).Draw(t, "root")
		fanout := rapid.IntRange(1, 8).Draw(t, "fanout")
		seen := map[model.NodeID]int{}
		for _, id := range tree.Subtree(ids, root, root, fanout) {
			seen[id]++
			for _, child := range tree.Children(ids, root, id, fanout) {
				if p, ok := tree.Parent(ids, root, child, fanout); !ok || p != id {
					t.Fatalf("parent of %q is %q, not %q", child, p, id)
				}
			}
		}
		if len(seen) != len(ids) {
			t.Fatalf("tree reaches %d of %d nodes", len(seen), len(ids))
		}
		for id, times := range seen {
			if times != 1 {
				t.Fatalf("tree reaches %q %d times", id, times)
			}
		}
		if _, ok := tree.Parent(ids, root, root, fanout); ok {
			t.Fatalf("root has a parent")
		}
	})
}

// Two roots share most of their edges.
func TestTreesOfTwoRootsShareEdges(t *testing.T) {
	is := is.New(t)
	ids := nodes(200)
	differ := 0
	for _, id := range ids {
		a, _ := tree.Parent(ids, ids[17], id, 4)
		b, _ := tree.Parent(ids, ids[90], id, 4)
		if a != b {
			differ++
		}
	}
	is.True(differ <= 3*4+3) // children and parents of the swapped positions
}

func TestLeadsAreStable(t *testing.T) {
	is := is.New(t)
	ids := nodes(100)
	leads := tree.Leads(ids, "cluj-1", 3)
	is.Equal(len(leads), 3)
	for _, id := range ids {
		if slices.Contains(leads, id) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(ids), func(x model.NodeID) bool { return x == id })
		is.Equal(tree.Leads(rest, "cluj-1", 3), leads)
	}
	is.Equal(len(tree.Leads(ids[:2], "cluj-1", 3)), 2)
}
