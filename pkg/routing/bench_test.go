package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/tarragondrum/tarragondrum/pkg/routing"
)

// BenchmarkPick is one choice among the endpoints of a service of the usual and
// of a very large size.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := endpoints(n, routing.TierDataCentre)
			c := routing.Chooser{Policy: routing.TwoChoices}
			r := request()
			b.ReportAllocs()
			for b.Loop() {
				c.Pick(list, r, rand.IntN)
			}
		})
	}
}
