package latency

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Checks that nodesCPUPerRequest recovers the nodes' CPU time from totals that are built from
// known parts: the idle mesh, the caller and upstream, and the nodes.
func TestNodesCPUPerRequest(t *testing.T) {
	is := is.New(t)
	const requests = 100
	rest, ends, nodes := 70*time.Millisecond, 2*time.Millisecond, 3*time.Millisecond
	directCPU := rest + requests*ends
	both := rest + 2*requests*ends + requests*nodes
	is.Equal(nodesCPUPerRequest(both, directCPU, rest, requests), 3000.0)
}

// Checks that quantiles accepts unsorted durations, and that a row whose added p99 is above
// the target gives ErrTargetMissed.
func TestQuantilesAndTarget(t *testing.T) {
	is := is.New(t)
	var times []time.Duration
	for i := range 101 {
		times = append(times, time.Duration((i*37)%101)*time.Millisecond)
	}
	is.Equal(quantiles(times), Times{P50: 50, P99: 99})
	is.NoErr(Report{Rows: []Row{{Rate: 20, AddedMs: Times{P99: 1.1}}}}.checkTarget())
	is.True(errors.Is(Report{Rows: []Row{{Rate: 20, AddedMs: Times{P99: 1.2}}}}.checkTarget(), ErrTargetMissed))
}
