package fleet_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

func ready(node string, incarnation, change int64) fleet.Host {
	return fleet.Host{Node: node, PeerAddress: "127.0.0.1:1", Incarnation: incarnation, Change: change,
		Upstream: fleet.Upstream{ID: "up-" + node, Service: "s", State: fleet.StateReady}}
}

// A node that missed a removal sends the deleted record again. The record stays deleted,
// and Removed returns the removal to send back. A live host that was removed by mistake
// returns with its next change.
func TestRemovedHostStaysDeleted(t *testing.T) {
	is := is.New(t)
	table := fleet.NewTable()
	old := ready("a", 5, 3)
	is.True(table.Merge(old))
	is.True(table.Remove(fleet.Removal{Node: "a", Incarnation: 5, Change: 3}))
	is.True(!table.Merge(old))
	removal, removed := table.Removed(old)
	is.True(removed)
	is.Equal(removal.Change, int64(3))
	is.Equal(len(table.All()), 0)

	back := ready("a", 5, 4)
	_, removed = table.Removed(back)
	is.True(!removed)
	is.True(table.Merge(back))
	is.True(!table.Remove(removal)) // the earlier removal does not delete it again
	is.True(table.Merge(ready("a", 6, 0)))
}

// Usable returns the usable hosts of one service and follows every change of a record.
func TestUsableHosts(t *testing.T) {
	is := is.New(t)
	table := fleet.NewTable()
	for i := range 3 {
		is.True(table.Merge(ready(fmt.Sprint("h", i), 1, 1)))
	}
	is.Equal(len(table.Usable("s")), 3)
	is.Equal(len(table.Usable("other")), 0)
	leaving := ready("h1", 1, 2)
	leaving.Upstream.State = fleet.StateLeaving
	is.True(table.Merge(leaving))
	is.Equal(len(table.Usable("s")), 2)
	is.Equal(table.Len(), 3)
	is.True(table.Remove(fleet.Removal{Node: "h0", Incarnation: 1, Change: 1}))
	is.Equal(len(table.Usable("s")), 1)
	is.Equal(table.All()[0].Node, "h1")
}

// In a fleet of the target size, the lookup of a service's hosts takes well under the delay
// that a request may have.
func BenchmarkUsable(b *testing.B) {
	table := fleet.NewTable()
	const hosts, services = 8200, 460
	for i := range hosts {
		h := ready(fmt.Sprint("h", i), 1, 1)
		h.Upstream.Service = fmt.Sprint("s", i%services)
		table.Merge(h)
	}
	for b.Loop() {
		if len(table.Usable("s7")) == 0 {
			b.Fatal("no host")
		}
	}
}
