package host_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// A node that is stopped as planned and started again beside an upstream that has left does
// not send requests to it when a heartbeat from before the leaving arrives late, although the
// stop has removed the record of the host. Upstreams that start later at that address, under
// the same id or another one, are served soon.
func TestPlannedStopKeepsTheLeaving(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.awaitStored(fleet.StateReady)
	m := c.hosts[0]
	m.StopHeartbeats()
	is.NoErr(m.Upstream.Remove(m.AnnounceAddress()))
	m.Node.Stop()
	c.eventually("the host is removed", func() bool { return c.stored(m.Name) == fleet.StateNone })
	c.start(m)
	c.eventually("ready again", func() bool { return m.IsReady(t.Context()) })
	is.NoErr(m.Upstream.BeatAs(m.AnnounceAddress(), standin.StateReady, 1_000_000))
	c.checkUnused(m.Upstream)

	former := m.Upstream
	for _, id := range []string{former.ID, "up-next"} {
		former.Close()
		next := c.newUpstream(m, id)
		is.NoErr(next.Beat(m.AnnounceAddress(), standin.StateReady))
		start := time.Now()
		c.eventually("the new upstream is served", func() bool {
			is.Equal(c.get(c.hosts[1], "/desk/x", "next").status, http.StatusOK)
			seen, _ := next.Seen()
			return len(seen) > 0
		})
		is.True(time.Since(start) < 3*time.Second)
		former = next
	}
}

// A node that is stopped and started again during an outage of the store learns from other
// nodes that its upstream has left, although the stop has removed the host there and the store
// still has the upstream as ready.
func TestPlannedStopInStoreOutageKeepsTheLeaving(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.awaitStored(fleet.StateReady)
	m := c.hosts[0]
	m.StopHeartbeats()
	c.setStoreFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	_ = m.Upstream.Remove(m.AnnounceAddress())
	m.Node.Stop()
	c.start(m)
	time.Sleep(time.Second) // until the nodes are connected
	c.setStoreFaults(standin.Faults{})
	c.eventually("ready again", func() bool { return m.IsReady(t.Context()) })
	time.Sleep(time.Second) // until the record of the store would be in use
	is.NoErr(m.Upstream.BeatAs(m.AnnounceAddress(), standin.StateReady, 1_000_000))
	c.checkUnused(m.Upstream)
	c.eventually("gone in the store", func() bool { return c.stored(m.Name) == fleet.StateGone })
}

// setStoreFaults sets the faults of the store for all nodes.
func (c *cluster) setStoreFaults(f standin.Faults) {
	for _, m := range c.hosts {
		c.store.SetFaults(m.StoreAddress, f)
	}
}

// checkUnused checks that requests of all nodes are served and none reaches an upstream.
func (c *cluster) checkUnused(u *standin.Upstream) {
	c.t.Helper()
	before, _ := u.Seen()
	for i := range 20 {
		if r := c.get(c.hosts[i%len(c.hosts)], "/desk/x", fmt.Sprintf("unused-%d", i)); r.status != http.StatusOK {
			c.t.Errorf("status %d, %v", r.status, r.err)
		}
	}
	if after, _ := u.Seen(); len(after) > len(before) {
		c.t.Errorf("%d of 20 requests reached the upstream %s, which has left", len(after)-len(before), u.ID)
	}
}

// newUpstream starts a new process of an upstream at the address of a host's upstream, which
// must be closed.
func (c *cluster) newUpstream(m *member, id string) *standin.Upstream {
	c.t.Helper()
	u, err := standin.NewUpstream(id, m.Service, m.Upstream.Address(), slots)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(u.Close)
	return u
}
