package latency_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bench/latency"
)

// Checks that all requests through two nodes are answered and that they take longer than
// direct ones. The target is not checked, since other tests run at the same time and slow
// this one down.
func TestRequestsThroughTwoNodes(t *testing.T) {
	is := is.New(t)
	report, err := latency.Run(t.Context(), latency.Options{Rates: []int{50}, Length: time.Second})
	is.True(err == nil || errors.Is(err, latency.ErrTargetMissed))
	is.Equal(len(report.Rows), 1)
	row := report.Rows[0]
	is.True(row.Requests > 10)
	is.True(row.ThroughMs.P50 > row.DirectMs.P50)
	is.True(row.AddedMs.P99 > row.AddedMs.P50)
	var out strings.Builder
	is.NoErr(report.Print(&out))
	is.Equal(strings.Count(out.String(), "\n"), 2)
}
