package host_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// While the store is away all nodes together call it only now and then, and a
// configuration is in force soon after its return.
func TestStoreThatIsAwayIsNotStormed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6)
	time.Sleep(3 * time.Second) // one node is left to lead
	for _, m := range c.hosts {
		c.store.SetFaults(m.StoreAddress, standin.Faults{Status: http.StatusServiceUnavailable})
	}
	time.Sleep(2 * time.Second) // all try for themselves
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
