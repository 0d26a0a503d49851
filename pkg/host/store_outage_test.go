package host_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

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
