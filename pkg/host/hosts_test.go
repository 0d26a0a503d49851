package host_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
	"github.com/tarragondrum/tarragondrum/platform"
)

// A running host whose record was removed from the store writes it again, whichever node
// read the removal.
func TestRemovedRunningHostIsRestored(t *testing.T) {
	for _, victim := range []int{0, 3} { // the lead, and a node that does not read the store
		is := is.New(t)
		c := newCluster(t, 4)
		time.Sleep(3 * time.Second) // until one lead remains and has written all records
		store := platform.NewStore(c.mesh.StoreAddress, platform.StoreHooks{})
		t.Cleanup(store.Close)
		name := c.hosts[victim].Name
		c.eventually("all are stored", func() bool {
			for _, m := range c.hosts {
				if c.stored(m.Name) != fleet.StateReady {
					return false
				}
			}
			return true
		})
		rosters, err := store.Rosters(t.Context(), false)
		is.NoErr(err)
		for _, r := range rosters {
			others := slices.DeleteFunc(r.Hosts, func(h fleet.Host) bool { return h.Node == name })
			if len(others) < len(r.Hosts) {
				_, err := store.SaveRoster(t.Context(), r.DataCentre, others, r.Revision)
				is.NoErr(err)
			}
		}
		is.Equal(c.stored(name), fleet.StateNone)
		c.eventually("the record of "+name+" is back", func() bool { return c.stored(name) == fleet.StateReady })
		for _, m := range c.hosts {
			c.eventually(m.Name+" knows all hosts", func() bool { return m.Node.Report().Hosts["ready"] == 4 })
		}
	}
}

// Stale lists of the store neither remove hosts that were added since nor restore hosts
// that were removed.
func TestStaleListsChangeNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.store.SetStale(true) // from now on, lists that may be stale show the state of this moment
	third, err := c.mesh.AddHost(localmesh.Service{Name: "desk", Slots: slots})
	is.NoErr(err)
	is.NoErr(third.Start())
	c.await((*localmesh.Mesh).WaitUpstreamsReady)
	gone := c.hosts[1]
	is.NoErr(gone.Upstream.Remove(gone.AnnounceAddress()))
	gone.StopHeartbeats()
	gone.Node.Stop() // removes its entry
	const longerThanALead = 10 * time.Second
	for end := time.Now().Add(longerThanALead); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		hosts := c.hosts[0].Node.Report().Hosts
		if hosts["ready"] != 2 || hosts["gone"]+hosts["stopping"] > 1 {
			t.Fatalf("hosts are %v", hosts)
		}
	}
	for i := range 10 {
		is.Equal(c.get(c.hosts[0], "/desk/x", fmt.Sprint("stale-", i)).status, http.StatusOK)
	}
	is.True(c.store.StaleLists() > 0)
	for _, line := range strings.Split(c.hosts[0].log.String(), "\n") {
		if strings.Contains(line, `"host-removed"`) && strings.Contains(line, fmt.Sprintf("%q:%q", "host", third.Name)) {
			t.Fatalf("a host that lives was taken away: %s", line)
		}
	}
}
