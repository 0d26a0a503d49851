package host_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// During a store outage all nodes together limit their calls, and a configuration is in
// force soon after the store is back.
func TestCallsAreLimitedInStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6)
	time.Sleep(3 * time.Second) // until one lead remains
	for _, m := range c.hosts {
		c.store.SetFaults(m.StoreAddress, standin.Faults{Status: http.StatusServiceUnavailable})
	}
	time.Sleep(2 * time.Second) // until all nodes call the store themselves
	before := c.storeCalls()
	const away = 4 * time.Second
	time.Sleep(away)
	// Six nodes, each with a pause of half to one and a half of a second.
	is.True(c.storeCalls()-before <= 6*2*int(away/time.Second))
	for _, m := range c.hosts {
		c.store.SetFaults(m.StoreAddress, standin.Faults{})
	}
	back := time.Now()
	c.putConfig(3, "ledger")
	for _, m := range c.hosts {
		c.eventuallyLedger(m)
	}
	is.True(time.Since(back) < 3*time.Second)
}

// A leaving is acknowledged during an outage of the store only once another node has it. Open
// connections to nodes that are cut off do not count.
func TestLeavingNeedsAPeerThatHasIt(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 4, localmesh.Options{Partitions: true}, func(c *cluster) { c.putConfig(2, "desk") })
	c.await((*localmesh.Mesh).WaitReady)
	c.await((*localmesh.Mesh).WaitUpstreamsReady)
	c.awaitStored(fleet.StateReady)
	m := c.hosts[0]
	m.StopHeartbeats()
	c.setStoreFaults(standin.Faults{Silent: true})
	c.mesh.Isolate(m.Host)
	is.True(m.Upstream.Remove(m.AnnounceAddress()) != nil) // nobody has it
	c.mesh.Reunite()
	c.eventually("acknowledged by a peer", func() bool { return m.Upstream.Remove(m.AnnounceAddress()) == nil })
	m.Kill()
	for _, other := range c.hosts[1:] {
		c.eventually(other.Name+" knows it", func() bool { return other.Node.Report().Hosts["gone"] == 1 })
	}
}

// A node that was stopped as planned beside an upstream that has left, and starts while the store
// does not answer, is not left alone: other nodes reach it, although the stop has removed its host
// there, and it serves callers soon.
func TestNodeStartedInStoreOutageIsFound(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.awaitStored(fleet.StateReady)
	m := c.hosts[0]
	m.StopHeartbeats()
	c.setStoreFaults(standin.Faults{Silent: true})
	is.NoErr(m.Upstream.Remove(m.AnnounceAddress()))
	m.Node.Stop()
	time.Sleep(1500 * time.Millisecond)
	c.start(m)
	c.eventually("ready again", func() bool { return m.IsReady(t.Context()) })
	is.NoErr(m.Upstream.BeatAs(m.AnnounceAddress(), standin.StateReady, 1_000_000))
	time.Sleep(2 * time.Second) // until all nodes are connected
	c.checkUnused(m.Upstream)
}
