package rollout_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bench/rollout"
)

// Checks that a version is in force on every node of a small and of a larger mesh within the
// target, and that the store gets less than half of the calls that it would get if every node
// read it.
func TestVersionsReachMeshesOfBothKinds(t *testing.T) {
	is := is.New(t)
	report, err := rollout.Run(t.Context(), rollout.Options{Nodes: []int{8, 40}, DataCentres: 2, Routes: 50, Changes: 2})
	is.NoErr(err)
	is.Equal(len(report.Rows), 2)
	for _, row := range report.Rows {
		is.True(row.MedianMs <= row.LastMs && row.LastMs <= row.WorstMs)
		const readsPerNode = 60 / 0.9 // a minute
		is.True(row.RestCallsPerMin < float64(row.Nodes)*readsPerNode/2)
	}
	var out strings.Builder
	is.NoErr(report.Print(&out))
	is.Equal(strings.Count(out.String(), "\n"), 3)
	is.NoErr(report.Plot(filepath.Join(t.TempDir(), "plot.png")))
}
