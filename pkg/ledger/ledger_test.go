package ledger_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// settle is long enough for every owner to poll its steward.
const settle = 10 * time.Second

func bubble(t *testing.T, test func(t *testing.T, is *is.I)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t)) })
}

// A re-send gets the stored outcome on whichever node it arrives.
func TestResendGetsStoredOutcome(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I) {
		c := newCluster(t, "a", "b", "c")
		defer c.close()
		time.Sleep(settle)
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
	bubble(t, func(t *testing.T, is *is.I) {
		c := newCluster(t, "a", "b", "c", "d", "e")
		defer c.close()
		time.Sleep(settle)
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
