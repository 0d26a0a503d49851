package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/routing"
)

var epoch = time.Unix(1_700_000_000, 0)

func endpoint(n int, tier routing.Tier, slots int) *routing.Endpoint {
	return &routing.Endpoint{
		Key:   routing.Key{Node: model.NodeID(fmt.Sprint("n", n)), Upstream: "u"},
		Tier:  tier,
		Slots: slots,
		Since: epoch.Add(-time.Hour),
		State: &routing.State{},
	}
}

func endpoints(n int, tier routing.Tier) []*routing.Endpoint {
	out := make([]*routing.Endpoint, n)
	for i := range out {
		out[i] = endpoint(i, tier, 9)
	}
	return out
}

func request() *routing.Request {
	return &routing.Request{Now: epoch, Class: model.ClassInteractive}
}

// Whatever the loads are, only endpoints that may take the call are picked, and
// one is picked if there is any.
func TestPickIsAlwaysEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []*routing.Endpoint
		possible := 0
		for i := range rapid.IntRange(0, 12).Draw(t, "n") {
			e := endpoint(i, routing.Tier(rapid.IntRange(0, 3).Draw(t, "tier")), rapid.IntRange(0, 9).Draw(t, "slots"))
			e.State.InFlight = rapid.IntRange(0, 30).Draw(t, "load")
			e.Doubtful = rapid.Bool().Draw(t, "doubtful")
			out := rapid.Bool().Draw(t, "ejected")
			if out {
				e.State.Outlier.Eject(epoch)
			}
			if rapid.Bool().Draw(t, "batch only") {
				e.Classes = []model.Class{model.ClassBatch}
			}
			if !out && len(e.Classes) == 0 {
				possible++
			}
			list = append(list, e)
		}
		r := request()
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		c := routing.Chooser{Policy: routing.TwoChoices}
		p := c.Pick(list, r, rnd.IntN)
		switch {
		case (p != nil) != (possible > 0):
			t.Fatalf("picked %v of %d possible ones", p, possible)
		case p == nil:
		case p.State.Outlier.Ejected(epoch):
			t.Fatal("picked an ejected endpoint")
		case !p.Takes(r.Class):
			t.Fatal("picked an endpoint that does not take the class")
		}
	})
}

func TestTriedEndpointsComeLast(t *testing.T) {
	is := is.New(t)
	list := endpoints(3, routing.TierDataCentre)
	r := request()
	r.Tried = []routing.Key{list[0].Key, list[2].Key}
	c := routing.Chooser{Policy: routing.TwoChoices}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		is.Equal(c.Pick(list, r, rnd.IntN), list[1])
	}
	r.Tried = append(r.Tried, list[1].Key)
	is.True(c.Pick(list, r, rnd.IntN) != nil)
}

// Calls stay near, spill to the next data centre when the near one is full, and
// go to unreachable data centres only when nothing else is left.
func TestLocalityAndSpill(t *testing.T) {
	is := is.New(t)
	near, region, lost := endpoint(0, routing.TierDataCentre, 2), endpoint(1, routing.TierRegion, 2), endpoint(2, routing.TierUnreachable, 100)
	list := []*routing.Endpoint{lost, region, near}
	c := routing.Chooser{Policy: routing.TwoChoices}
	rnd := rand.New(rand.NewPCG(1, 1))
	var got []*routing.Endpoint
	for range 6 {
		p := c.Pick(list, request(), rnd.IntN)
		p.State.InFlight++
		got = append(got, p)
	}
	is.Equal(got[:4], []*routing.Endpoint{near, near, region, region})
	is.True(got[4] != lost && got[5] != lost)
	is.Equal(c.Pick(list[:1], request(), rnd.IntN), lost)
}

// A cold upstream gets a small share that grows with its age.
func TestColdUpstreamRampsUp(t *testing.T) {
	is := is.New(t)
	list := endpoints(4, routing.TierDataCentre)
	c := routing.Chooser{Policy: routing.TwoChoices}
	share := func(age time.Duration) float64 {
		list[0].Since = epoch.Add(-age)
		rnd := rand.New(rand.NewPCG(1, 1))
		for _, e := range list {
			e.State.InFlight = 0
		}
		for range 36 { // fill all slots
			r := request()
			r.Warmup = 10 * time.Second
			c.Pick(list, r, rnd.IntN).State.InFlight++
		}
		return float64(list[0].State.InFlight) / 36
	}
	cold, half, warm := share(0), share(5*time.Second), share(10*time.Second)
	is.True(cold < 0.1)
	is.True(cold < half && half < warm)
	is.True(warm > 0.2)
}

// A reported load counts others' calls and fades.
func TestReportedLoadFades(t *testing.T) {
	is := is.New(t)
	busy, idle := endpoint(0, routing.TierDataCentre, 9), endpoint(1, routing.TierDataCentre, 9)
	busy.State.Report(epoch, 9, 3, 9)
	idle.State.InFlight = 1
	r := request()
	rnd := rand.New(rand.NewPCG(1, 1))
	list := []*routing.Endpoint{busy, idle}
	for range 10 {
		is.Equal(routing.TwoChoices(list, r, rnd.IntN), idle)
	}
	r.Now = epoch.Add(10 * time.Second)
	is.Equal(routing.TwoChoices(list, r, rnd.IntN), busy)
}
