package latency

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The share of the nodes is what remains of a made-up machine on which everything else
// is known.
func TestShareOfTheNodes(t *testing.T) {
	is := is.New(t)
	const requests = 100
	rest, ends, nodes := 70*time.Millisecond, 2*time.Millisecond, 3*time.Millisecond
	straight := rest + requests*ends
	both := rest + 2*requests*ends + requests*nodes
	is.Equal(nodesShare(both, straight, rest, requests), 3000.0)
}

// The quantiles do not depend on the order, and a row over the target is named.
func TestQuantilesAndTarget(t *testing.T) {
	is := is.New(t)
	var times []time.Duration
	for i := range 101 {
		times = append(times, time.Duration((i*37)%101)*time.Millisecond)
	}
	is.Equal(quantiles(times), Times{P50: 50, P99: 99})
	is.NoErr(Report{Rows: []Row{{Rate: 20, AddedMs: Times{P99: 1.1}}}}.check())
	is.True(errors.Is(Report{Rows: []Row{{Rate: 20, AddedMs: Times{P99: 1.2}}}}.check(), ErrSlow))
}
