package order_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
)

// incident is what befalls a service of several owners in the model.
type incident struct {
	name string
	// crashed owners end at the start of the incident; as many start afresh after
	// thirty seconds.
	crashed int
	// outage is how long the platform is down.
	outage time.Duration
}

// weigh follows a service of five owners for two hours after an incident. It
// returns the lost service in minutes: the share of orders refused, times the
// two hours, for callers that try one key and for callers that try four.
func weigh(look order.Lookahead, in incident) (oneKey, fourKeys float64) {
	const (
		owners   = 5
		warm     = 2 * time.Hour
		after    = 2 * time.Hour
		step     = 5 * time.Second
		callers  = 40
		restart  = 30 * time.Second
		attempts = 4
	)
	rng := rand.New(rand.NewPCG(1, 2))
	var alive []order.Owner
	for i := range owners {
		alive = append(alive, order.Owner{Node: model.NodeID(fmt.Sprint(i)), Instance: "1"})
	}
	table := order.NewTable("desk", start.Add(-time.Minute))
	refusedOne, refusedFour, total := 0, 0, 0
	for at := time.Duration(0); at < warm+after; at += step {
		now := start.Add(at)
		since := at - warm
		if since == 0 {
			alive = alive[in.crashed:]
		}
		if since == restart {
			for i := range in.crashed {
				alive = append(alive, order.Owner{Node: model.NodeID(fmt.Sprint(i)), Instance: "2"})
			}
		}
		if since < 0 || since >= in.outage {
			table, _ = table.Extend(now, look, alive, alive)
		}
		if since < 0 {
			continue
		}
		isAlive := make(map[order.Owner]bool)
		for _, o := range alive {
			isAlive[o] = true
		}
		for range callers {
			total++
			for try := range attempts {
				r, ok := table.Find(order.Key{Birth: now, Shard: rng.IntN(order.Shards)})
				if ok && isAlive[r.Owner] {
					break
				}
				if try == 0 {
					refusedOne++
				}
				if try == attempts-1 {
					refusedFour++
				}
			}
		}
	}
	minutes := after.Minutes() / float64(total)
	return float64(refusedOne) * minutes, float64(refusedFour) * minutes
}

// With the default look-ahead, callers that try four keys lose less than a
// tenth of an hour to an hour without the platform, to the crash of one owner
// and to that of all.
func TestLookahead(t *testing.T) {
	is := is.New(t)
	incidents := []incident{{"one of five crashes", 1, 0}, {"all five crash", 5, 0}, {"platform down 1 h", 0, time.Hour}}
	short, long := 30*time.Second, 75*time.Minute
	looks := []struct {
		name string
		look order.Lookahead
	}{
		{"all 30 s", order.Lookahead{Long: short, Short: short, Renew: 10 * time.Second}},
		{"all 10 min", order.Lookahead{Long: 10 * time.Minute, Renew: 10 * time.Second}},
		{"all 75 min", order.Lookahead{Long: long, Renew: 10 * time.Second}},
		{"1/2 30 s, 1/2 75 min", order.DefaultLookahead()},
		{"1/4 30 s, 3/4 75 min", order.Lookahead{Long: long, Short: short, ShortEvery: 4, Renew: 10 * time.Second}},
		{"1/8 30 s, 7/8 75 min", order.Lookahead{Long: long, Short: short, ShortEvery: 8, Renew: 10 * time.Second}},
	}
	for _, l := range looks {
		for _, in := range incidents {
			one, four := weigh(l.look, in)
			t.Logf("%-22s %-20s lost minutes: %6.2f with one key, %6.2f with four", l.name, in.name, one, four)
			if l.look == order.DefaultLookahead() {
				is.True(four < 6)
			}
		}
	}
}
