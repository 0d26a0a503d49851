package fleet_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// gone returns the record of a host whose upstream is gone.
func gone(node string, incarnation, change int64) fleet.Host {
	h := ready(node, incarnation, change)
	h.DataCentre = "dc"
	h.Upstream.Born, h.Upstream.Sequence, h.Upstream.State = 100, 7, fleet.StateGone
	return h
}

// A removal keeps that the upstream of the host was gone, however it is learned: a node that
// starts again on that host does not make the upstream usable, a later start of the upstream
// does.
func TestRemovalKeepsTheLeaving(t *testing.T) {
	h := gone("a", 5, 3)
	for name, removal := range map[string]fleet.Removal{
		"with the upstream":          h.Removal(1000),
		"known by its record's name": h.Version().Removal(),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := fleet.NewTable()
			is.True(table.Merge(h))
			is.True(table.Remove(removal))
			restarted := ready("a", 9, 1)
			restarted.Upstream.Born = 100
			former, ok := table.Former(restarted)
			is.True(ok)
			is.Equal(former.Upstream, h.Upstream)
			is.Equal(former.Version(), h.Version())
			is.NoErr(former.Validate())
			is.True(table.Merge(restarted))
			is.Equal(len(table.Usable("s")), 0)
			next := ready("a", 9, 2)
			next.Upstream.Born = 101 // under the same id
			_, ok = table.Former(next)
			is.True(!ok)
			is.True(table.Merge(next))
			is.Equal(len(table.Usable("s")), 1)
			is.Equal(len(table.Departures("dc")), 0)
		})
	}
}

// A removal that arrives late or once more does not replace what a later one says.
func TestLaterRemovalWins(t *testing.T) {
	is := is.New(t)
	table := fleet.NewTable()
	h := gone("a", 5, 3)
	table.Remove(h.Removal(1000))
	table.Remove(fleet.Removal{Node: "a", Incarnation: 4})
	removal, ok := table.Removed(ready("a", 5, 2))
	is.True(ok)
	is.True(removal.SameDeparture(h.Removal(1000)))
	is.Equal(removal.AtUnixMs, int64(1000))
}

// A table keeps the newest removals: those of hosts that are added and removed for days do not
// keep it from remembering the last one.
func TestRemovalsWithoutEnd(t *testing.T) {
	is := is.New(t)
	table := fleet.NewTable()
	const removed = 10_000
	for i := range removed {
		table.Remove(fleet.Removal{Node: fmt.Sprint("h", i), Incarnation: 5})
	}
	_, ok := table.Removed(ready(fmt.Sprint("h", removed-1), 5, 0))
	is.True(ok)
	_, ok = table.Removed(ready("h0", 5, 0))
	is.True(!ok)
}

// Departures returns the newest removals of a data centre, the same in each table whatever
// the order in which they arrived.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	one, other := fleet.NewTable(), fleet.NewTable()
	const removed = 100
	for i := range removed {
		h := gone(fmt.Sprintf("h%03d", i), 1, 1)
		one.Remove(h.Removal(int64(1000 + i)))
		back := gone(fmt.Sprintf("h%03d", removed-1-i), 1, 1)
		other.Remove(back.Removal(int64(1000 + removed - 1 - i)))
	}
	usable := ready("usable", 1, 1)
	one.Remove(usable.Removal(5000))
	list := one.Departures("dc")
	is.Equal(len(list), 64)
	is.Equal(list[0].Node, "h036")
	is.Equal(list[63].Node, "h099")
	for i, r := range other.Departures("dc") {
		is.True(r.SameDeparture(list[i]))
	}
	is.Equal(len(one.Departures("elsewhere")), 0)
}

// A removal is the same after it was written to the store or sent to another node, and one
// that no node writes is refused.
func TestRemovalOnTheWire(t *testing.T) {
	is := is.New(t)
	h := gone("a", 5, 3)
	want := h.Removal(1000)
	is.NoErr(want.Validate())
	var got fleet.Removal
	raw, err := json.Marshal(want)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(raw, &got))
	is.Equal(got, want)
	got = fleet.Removal{}
	raw, err = cbor.Marshal(want)
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(raw, &got))
	is.Equal(got, want)

	for name, change := range map[string]func(r *fleet.Removal){
		"no node":                 func(r *fleet.Removal) { r.Node = "" },
		"incarnation too large":   func(r *fleet.Removal) { r.Incarnation = 1 << 62 },
		"change below zero":       func(r *fleet.Removal) { r.Change = -1 },
		"time too large":          func(r *fleet.Removal) { r.AtUnixMs = 1 << 62 },
		"no data centre":          func(r *fleet.Removal) { r.DataCentre = "" },
		"upstream in use":         func(r *fleet.Removal) { r.Upstream.State = fleet.StateReady },
		"upstream born too late":  func(r *fleet.Removal) { r.Upstream.Born = 1 << 62 },
		"upstream without a name": func(r *fleet.Removal) { r.Upstream.ID = "" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := h.Removal(1000)
			change(&r)
			is.True(r.Validate() != nil)
		})
	}
}

// A table knows that an upstream has left whichever of the messages that say so arrives, and in
// whatever order it comes among records of the restarted node, which does not know it, and
// removals that do not say it.
func TestLeavingIsKeptInAnyOrder(t *testing.T) {
	before, left, restarted, late := ready("a", 5, 2), gone("a", 5, 3), ready("a", 9, 1), ready("a", 9, 2)
	for _, h := range []*fleet.Host{&before, &restarted, &late} {
		h.DataCentre, h.Upstream.Born = "dc", 100
	}
	restarted.Upstream = fleet.Upstream{}
	rapid.Check(t, func(t *rapid.T) {
		table := fleet.NewTable()
		told := false
		messages := []string{"before", "left", "removed", "removed by version", "restarted", "late"}
		for _, m := range rapid.Permutation(messages).Draw(t, "order") {
			if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				continue
			}
			switch m {
			case "before":
				table.Merge(before)
			case "left":
				if _, removed := table.Removed(left); removed {
					table.Remove(left.Removal(0)) // as a node does with a record that was removed
				}
				table.Merge(left)
				told = true
			case "removed":
				table.Remove(left.Removal(1000))
				told = true
			case "removed by version":
				table.Remove(left.Version().Removal())
			case "restarted":
				table.Merge(restarted)
			case "late":
				table.Merge(late)
			}
			_, knows := table.Former(late)
			if told && (!knows || len(table.Usable("s")) > 0) {
				t.Fatalf("the table has forgotten that the upstream left after %q", m)
			}
		}
	})
}

// A departure whose host has a clock that is behind may fall out of the newest ones, which the
// store keeps. The table still knows it and tells a node that starts on that host.
func TestDepartureWithAClockBehindStaysKnown(t *testing.T) {
	is := is.New(t)
	table := fleet.NewTable()
	behind := gone("behind", 1, 1)
	table.Remove(behind.Removal(10))
	for i := range 64 {
		h := gone(fmt.Sprintf("h%03d", i), 1, 1)
		table.Remove(h.Removal(int64(1000 + i)))
	}
	for _, r := range table.Departures("dc") {
		is.True(r.Node != behind.Node)
	}
	restarted := ready("behind", 9, 1)
	restarted.Upstream.Born = 100
	former, ok := table.Former(restarted)
	is.True(ok)
	is.Equal(former.Upstream, behind.Upstream)
}
