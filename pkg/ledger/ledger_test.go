package ledger_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// settle is long enough for every owner to poll its coordinator.
const settle = 10 * time.Second

func bubble(t *testing.T, test func(t *testing.T, is *is.I)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t)) })
}

// settled runs a test on a service whose owners know each other.
func settled(t *testing.T, ids []model.NodeID, test func(t *testing.T, is *is.I, c *cluster)) {
	bubble(t, func(t *testing.T, is *is.I) {
		c := newCluster(t, ids...)
		defer c.close()
		time.Sleep(settle)
		test(t, is, c)
	})
}

// A re-send gets the stored outcome on whichever node it arrives.
func TestResendGetsStoredOutcome(t *testing.T) {
	settled(t, []model.NodeID{"a", "b", "c"}, func(t *testing.T, is *is.I, c *cluster) {
		keys, ran := c.sendMany("a", 100)
		is.Equal(ran, 100)
		for _, key := range keys {
			for _, from := range []model.NodeID{"b", "c"} {
				again := c.send(from, key)
				is.Equal(again.effect, reason.Run)
				is.True(!again.ran)
			}
		}
		c.check()
	})
}

// Ten minutes of orders cost a write in ten seconds, whatever their number.
func TestPlatformWritesDoNotFollowOrders(t *testing.T) {
	settled(t, []model.NodeID{"a", "b", "c", "d", "e"}, func(t *testing.T, is *is.I, c *cluster) {
		before := c.store.Calls()
		for range 600 {
			_, ran := c.sendMany("a", 10)
			is.Equal(ran, 10)
			time.Sleep(time.Second)
		}
		calls := c.store.Calls()
		is.True(calls.Put-before.Put <= 60)
		is.True(calls.Get-before.Get <= 10)
		c.check()
	})
}

// A service of eighteen nodes, the mean at the target size, spends little of the
// 7 KB/s that a node may spend on control, also at its coordinator.
func TestControlBytes(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		var ids []model.NodeID
		for i := range 18 {
			ids = append(ids, model.NodeID(fmt.Sprintf("order-desk-%02d", i)))
		}
		c := newCluster(t, ids...)
		defer c.close()
		time.Sleep(time.Minute)
		sent := func() (total, most float64) {
			for _, n := range c.nodes {
				bytes := 0.0
				for _, b := range n.transport.Traffic().SentBytes {
					bytes += float64(b)
				}
				total += bytes
				most = max(most, bytes)
			}
			return total, most
		}
		total, most := sent()
		const length = 3 * time.Minute
		time.Sleep(length)
		totalAfter, mostAfter := sent()
		mean := (totalAfter - total) / float64(len(ids)) / length.Seconds()
		coordinator := (mostAfter - most) / length.Seconds()
		t.Logf("orders cost %.0f bytes/s per node, %.0f at the coordinator", mean, coordinator)
		const budget = 7 << 10
		is.True(mean < budget/10)
		is.True(coordinator < budget/2)
	})
}
