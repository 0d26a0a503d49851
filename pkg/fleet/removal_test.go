package fleet_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
)

// A removal that arrives late or once more does not replace what a later one says.
func TestLaterRemovalWins(t *testing.T) {
	is := is.New(t)
	table := fleet.NewTable()
	table.Remove(fleet.Removal{Node: "a", Incarnation: 5, Change: 3})
	table.Remove(fleet.Removal{Node: "a", Incarnation: 4})
	removal, ok := table.Removed(ready("a", 5, 2))
	is.True(ok)
	is.Equal(removal.Change, int64(3))
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
