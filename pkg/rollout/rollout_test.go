package rollout_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

func ids(n int) []model.NodeID {
	list := make([]model.NodeID, n)
	for i := range list {
		list[i] = model.NodeID(fmt.Sprintf("node-%04d", i))
	}
	return list
}

// reach follows a push and counts how often each node receives it. Nodes in dead
// do not answer; each node may have its own view.
func reach(view func(model.NodeID) []model.NodeID, dead map[model.NodeID]bool, self model.NodeID, span rollout.Span, fanout int, got map[model.NodeID]int) {
	for _, b := range rollout.Branches(view(self), span, self, fanout) {
		for _, id := range b {
			if dead[id] {
				continue
			}
			got[id]++
			reach(view, dead, id, b.Span(), fanout, got)
			break
		}
	}
}

// Every live node receives a push exactly once, whichever nodes are dead and
// whichever of the dead each node still believes in.
func TestPushReachesEveryLiveNodeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := ids(rapid.IntRange(1, 60).Draw(t, "n"))
		fanout := rapid.IntRange(1, 5).Draw(t, "fanout")
		root := rapid.SampledFrom(all).Draw(t, "root")
		dead := make(map[model.NodeID]bool)
		for _, id := range all {
			dead[id] = id != root && rapid.Bool().Draw(t, "dead")
		}
		views := make(map[model.NodeID][]model.NodeID)
		for _, self := range all {
			views[self] = slices.DeleteFunc(slices.Clone(all), func(id model.NodeID) bool {
				return dead[id] && rapid.Bool().Draw(t, "known")
			})
		}
		got := make(map[model.NodeID]int)
		reach(func(id model.NodeID) []model.NodeID { return views[id] }, dead, root, rollout.Whole(all), fanout, got)
		for _, id := range all {
			want := 1
			if dead[id] || id == root {
				want = 0
			}
			if got[id] != want {
				t.Fatalf("%s received the push %d times, not %d", id, got[id], want)
			}
		}
	})
}

// Parent and Children describe the edges of an undisturbed push.
func TestParentsAndChildrenAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := ids(rapid.IntRange(1, 80).Draw(t, "n"))
		fanout := rapid.IntRange(1, 5).Draw(t, "fanout")
		root := rapid.SampledFrom(all).Draw(t, "root")
		children := 0
		for _, id := range all {
			for _, child := range rollout.Children(all, root, id, fanout) {
				children++
				if parent, ok := rollout.Parent(all, root, child, fanout); !ok || parent != id {
					t.Fatalf("parent of %s is %s, not %s", child, parent, id)
				}
			}
		}
		if children != len(all)-1 {
			t.Fatalf("%d edges for %d nodes", children, len(all))
		}
	})
}

func TestOrderOfVersions(t *testing.T) {
	is := is.New(t)
	current := &bundle.Acceptance{Version: 4, Bundle: "four"}
	check := func(v model.Version, parent bundle.ID) error {
		return rollout.CheckOrder(current, &bundle.Acceptance{Version: v, Parent: parent})
	}
	is.True(errors.Is(check(4, "three"), bundle.ErrStale))
	is.True(errors.Is(check(3, "two"), bundle.ErrStale))
	is.True(errors.Is(check(5, "other"), bundle.ErrParent))
	is.NoErr(check(5, "four"))
	is.NoErr(check(7, "six")) // versions between were missed or refused
	is.NoErr(rollout.CheckOrder(nil, &bundle.Acceptance{Version: 9}))
	is.True(errors.Is(rollout.CheckOrder(nil, &bundle.Acceptance{}), bundle.ErrStale))
}

func TestTallyIsIdempotentAndNamesLaggards(t *testing.T) {
	is := is.New(t)
	tally := rollout.NewTally("a")
	children := []model.NodeID{"b", "c", "d"}
	is.True(tally.Report("b", rollout.Summary{Version: 3, Applied: 5}))
	is.True(!tally.Report("b", rollout.Summary{Version: 3, Applied: 5}))
	is.True(!tally.Report("b", rollout.Summary{Version: 2, Applied: 9})) // crossed a newer one
	refused := rollout.Laggard{Node: "e", Version: 2, Reason: "bundle does not compile"}
	is.True(tally.Report("c", rollout.Summary{Version: 3, Applied: 1, Laggards: []rollout.Laggard{refused}}))
	is.True(!tally.Complete(children, 3))
	is.Equal(tally.Sum(3, "", children), rollout.Summary{Version: 3, Applied: 7, Laggards: []rollout.Laggard{
		refused,
		{Node: "d", Reason: rollout.ReasonNoReport},
	}})
	sum := tally.Sum(2, "", children) // this node itself is behind
	is.Equal(sum.Applied, 6)
	tally.Keep([]model.NodeID{"c"})
	is.Equal(tally.Sum(3, "", []model.NodeID{"c"}).Applied, 2)
}

func TestChoicesOfPulls(t *testing.T) {
	is := is.New(t)
	is.Equal(rollout.ChoosePull(3, 0, 3), rollout.PullNothing)
	is.Equal(rollout.ChoosePull(3, 4, 4), rollout.PullPending)
	is.Equal(rollout.ChoosePull(3, 4, 5), rollout.PullLater)
	now := time.Unix(0, 0)
	h := rollout.NewHold(time.Minute)
	h.Set(5, now)
	is.True(h.Blocks(5, now.Add(time.Second)))
	is.True(!h.Blocks(6, now.Add(time.Second))) // a newer version is never held back
	is.True(!h.Blocks(5, now.Add(2*time.Minute)))
}

func TestMachineRefusesOtherOrders(t *testing.T) {
	is := is.New(t)
	var seen []rollout.State
	m := rollout.NewMachine(func(t rollout.Transition) { seen = append(seen, t.To) })
	is.NoErr(m.Fire(rollout.TriggerVerify))
	is.True(m.Fire(rollout.TriggerPublish) != nil) // not before it is compiled
	is.NoErr(m.Fire(rollout.TriggerCompile))
	is.NoErr(m.Fire(rollout.TriggerPublish))
	is.NoErr(m.Fire(rollout.TriggerVerify))
	is.NoErr(m.Fire(rollout.TriggerRefuse))
	is.Equal(seen, []rollout.State{rollout.StateVerifying, rollout.StateCompiling, rollout.StateApplied, rollout.StateVerifying, rollout.StateRefused})
}
