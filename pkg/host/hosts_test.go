package host_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/platform"
)

// A host that lives though its entry was taken away writes it again, whichever
// node read of the removal.
func TestRemovedHostThatLivesComesBack(t *testing.T) {
	for _, victim := range []int{0, 3} { // the lead, and a node that does not read the store
		is := is.New(t)
		c := newCluster(t, 4)
		time.Sleep(5 * time.Second) // one is left to lead, and all have listed the hosts
		store := platform.NewStore(c.mesh.StoreAddress, func(string, string) {})
		t.Cleanup(store.Close)
		name := c.hosts[victim].Name
		entries, _, err := store.Hosts(t.Context())
		is.NoErr(err)
		for _, e := range entries {
			if e.Name == name {
				is.NoErr(store.RemoveHost(t.Context(), name, e.Revision))
			}
		}
		c.eventually("the entry of "+name+" is back", func() bool {
			_, ok := c.store.Get("tarragondrum-hosts", name)
			return ok
		})
		for _, m := range c.hosts {
			c.eventually(m.Name+" knows all hosts", func() bool { return m.Node.Handover().Hosts["ready"] == 4 })
		}
	}
}
