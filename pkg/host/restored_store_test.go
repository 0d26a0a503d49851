package host_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
	"github.com/tarragondrum/tarragondrum/platform/standin"
)

// applyTime is within how long a version is in force on every node.
const applyTime = 2 * time.Second

// A version that the store acknowledges after it was restored from an older copy is in force
// on every node, also with a revision that an earlier version had.
func TestVersionAfterRestoreIsDropped(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.awaitStored(fleet.StateReady)
	older := c.store.Copy()
	c.putConfig(3, "desk")
	c.eventuallyVersion(3)
	c.store.Restore(older)
	time.Sleep(time.Second) // until a lead has read the older version
	c.putConfig(4, "ledger")
	acknowledged := time.Now()
	for _, m := range c.hosts {
		c.eventuallyLedger(m)
	}
	is.True(time.Since(acknowledged) < applyTime)
}

// Records that the store lost are written again although they do not change, and hosts that
// the older copy does not have are not removed.
func TestRecordsLostByARestoreAreNotWrittenAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.awaitStored(fleet.StateReady)
	older := c.store.Copy()
	third, err := c.mesh.AddHost(localmesh.Service{Name: "desk", Slots: slots})
	is.NoErr(err)
	is.NoErr(third.Start())
	c.await((*localmesh.Mesh).WaitUpstreamsReady)
	leaving := c.hosts[1]
	leaving.StopHeartbeats()
	is.NoErr(leaving.Upstream.Beat(leaving.AnnounceAddress(), "draining"))
	c.eventually("both are stored", func() bool {
		return c.stored(third.Name) == fleet.StateReady && c.stored(leaving.Name) == fleet.StateLeaving
	})
	c.store.Restore(older)
	c.eventually("both are stored again", func() bool {
		return c.stored(third.Name) == fleet.StateReady && c.stored(leaving.Name) == fleet.StateLeaving
	})
	for _, m := range c.hosts {
		is.True(!strings.Contains(m.log.String(), `"host-removed"`))
	}
}

// A node that starts while the store has only an older version learns the version in force
// from its peers, and keeps it.
func TestNodeStartedAfterRestoreHasOlderVersion(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	older := c.store.Copy()
	c.putConfig(3, "ledger")
	c.eventuallyVersion(3)
	c.store.Restore(older)
	for _, m := range []*member{c.hosts[0], c.hosts[3]} { // the lead, and a node that does not read the store
		m.Kill()
		c.start(m)
		c.eventuallyVersion(3)
	}
	time.Sleep(3 * time.Second) // several reads of the older version
	for _, m := range c.hosts {
		is.Equal(m.Node.Version(), uint64(3))
	}
}

// An upstream's leaving that is acknowledged just after a restore is saved, although its node
// knows revisions of the earlier epoch only.
func TestLeavingAfterRestoreIsSaved(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.awaitStored(fleet.StateReady)
	older := c.store.Copy()
	early, late := c.hosts[1], c.hosts[2]
	leave := func(m *member) {
		m.StopHeartbeats()
		is.NoErr(m.Upstream.Beat(m.AnnounceAddress(), "draining"))
	}
	leave(early)
	c.eventually("the leaving is stored", func() bool { return c.stored(early.Name) == fleet.StateLeaving })
	c.store.Restore(older)
	leave(late)
	c.eventually("both leavings are stored", func() bool {
		return c.stored(early.Name) == fleet.StateLeaving && c.stored(late.Name) == fleet.StateLeaving
	})
}

// A node whose settings name another store takes that store's versions and writes its records
// there, although the former one had higher revisions, and the same for another version.
func TestRevisionsOfFormerStoreHideAnother(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.awaitStored(fleet.StateReady)
	for range 20 {
		c.store.PutConfig([]byte(`{}`)) // revisions grow, and the epoch with the next two lines
	}
	c.store.Restore(c.store.Copy())
	c.store.Restore(c.store.Copy())
	c.eventually("all nodes know the epoch", func() bool {
		for _, m := range c.hosts {
			if !strings.Contains(m.log.String(), `"store-restored"`) {
				return false
			}
		}
		return true
	})
	former := c.store
	c.store = standin.NewStore()
	t.Cleanup(c.store.Close)
	c.putConfig(3, "ledger")
	for _, m := range c.hosts {
		address, err := c.store.Listen("127.0.0.1:0")
		is.NoErr(err)
		m.StoreAddress, c.mesh.StoreAddress = address, address
		is.NoErr(m.WriteSettings())
		m.Node.Reload(true)
	}
	former.Close()
	c.eventuallyVersion(3)
	c.awaitStored(fleet.StateReady)
	leaving := c.hosts[1]
	leaving.StopHeartbeats()
	is.NoErr(leaving.Upstream.Beat(leaving.AnnounceAddress(), "draining"))
	c.eventually("the leaving is stored", func() bool { return c.stored(leaving.Name) == fleet.StateLeaving })
	c.putConfig(4, "desk")
	c.eventuallyVersion(4)
}

// awaitStored waits until the store has every host with a state of its upstream.
func (c *cluster) awaitStored(state fleet.State) {
	c.t.Helper()
	c.eventually("all hosts are stored", func() bool {
		for _, m := range c.hosts {
			if c.stored(m.Name) != state {
				return false
			}
		}
		return true
	})
}

// eventuallyVersion waits until every node has a version in force.
func (c *cluster) eventuallyVersion(version uint64) {
	c.t.Helper()
	c.eventually("version on all nodes", func() bool {
		for _, m := range c.hosts {
			if m.Node.Version() != version {
				return false
			}
		}
		return true
	})
}
