package node_test

import (
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/poison"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/tree"
)

var (
	threeCentres = []model.DataCentre{"cluj-1", "cluj-2", "cluj-3"}
	twoCentres   = []model.DataCentre{"cluj-1", "cluj-2"}
)

// A third of the nodes dies at the moment of a sign-off and returns together,
// and the same happens again at the next one.
func TestHerdRestartsWhileTheBundleChangesTwice(t *testing.T) {
	run(t, 12, threeCentres, func(c *cluster) {
		c.settle()
		c.signOff(1)
		c.converge(1, 10*time.Second)
		for change := 2; change <= 3; change++ {
			c.signOff(change)
			herd := c.ids[:4]
			for _, id := range herd {
				c.kill(id)
			}
			time.Sleep(2 * time.Second)
			for i, id := range herd {
				c.start(id, threeCentres[i%len(threeCentres)])
			}
			c.converge(model.Version(change), 20*time.Second)
		}
	})
}

// A rack takes all leads of a data centre with it at the moment of a sign-off.
// The nodes that are left take over: the data centre gets the version, and the
// next one after an outage of the platform.
func TestAllLeadsOfADataCentreDieAtSignOff(t *testing.T) {
	const leads = 3
	run(t, 16, twoCentres, func(c *cluster) {
		c.settle()
		c.signOff(1)
		c.converge(1, 10*time.Second)
		var ids []model.NodeID
		for _, s := range c.all() {
			if s.dc == "cluj-2" {
				ids = append(ids, s.id)
			}
		}
		c.signOff(2)
		for _, id := range tree.Leads(ids, "cluj-2", leads) {
			c.kill(id)
		}
		c.converge(2, 17*time.Second)
		c.store.SetDown(true)
		time.Sleep(time.Minute)
		c.store.SetDown(false)
		c.signOff(3)
		c.converge(3, 17*time.Second)
	})
}

// The platform goes down right after a sign-off while nodes restart, comes back
// for a moment and goes down again.
func TestPlatformDownTwiceDuringRestarts(t *testing.T) {
	run(t, 9, threeCentres, func(c *cluster) {
		c.settle()
		c.signOff(1)
		c.converge(1, 10*time.Second)
		for range 2 {
			c.store.SetDown(true)
			c.kill("node-05")
			time.Sleep(time.Second)
			fresh := c.start("node-05", "cluj-3")
			<-fresh.rollout.Ready()
			c.is.Equal(fresh.rollout.Applied(), model.Version(1)) // learned from peers
			time.Sleep(10 * time.Minute)
			c.store.SetDown(false)
			time.Sleep(time.Second)
		}
		c.signOff(2)
		c.converge(2, 30*time.Second)
	})
}

// A lead is cut off past its hint while a new version is accepted and the
// platform goes down. It returns with its old version and sets nobody back.
func TestPausedLeadReturnsWhilePlatformIsDown(t *testing.T) {
	run(t, 9, threeCentres, func(c *cluster) {
		c.settle()
		c.signOff(1)
		c.converge(1, 10*time.Second)
		c.faults.CutPeer("node-03")
		c.store.SetDown(true) // the lead must not learn of it from the platform
		time.Sleep(time.Minute)
		c.store.SetDown(false)
		c.signOff(2)
		for _, s := range c.all() {
			if s.id != "node-03" {
				for s.rollout.Applied() < 2 {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}
		c.store.SetDown(true)
		c.faults.HealPeer("node-03")
		c.converge(2, time.Minute)
	})
}

// An order is answered in one data centre; during a partition its caller sends
// it again through the other one. It runs once, and is answered again after
// the partition heals.
func TestOrderSentAgainThroughAnotherDataCentreDuringPartition(t *testing.T) {
	run(t, 6, twoCentres, func(c *cluster) {
		c.settle()
		time.Sleep(30 * time.Second) // owners are recorded
		var keys []string
		for range 40 {
			key := c.newKey()
			keys = append(keys, key)
			c.send("node-00", key)
		}
		c.faults.Cut("cluj-1", "cluj-2")
		for _, key := range keys {
			c.send("node-01", key)
		}
		time.Sleep(2 * time.Minute)
		for _, key := range keys {
			c.send("node-03", key)
		}
		c.faults.Heal("cluj-1", "cluj-2")
		time.Sleep(time.Minute)
		for _, key := range keys {
			again := c.send("node-01", key)
			c.is.Equal(again.Effect, reason.Run)
		}
		report := c.history.Check()
		c.is.Equal(report.Faults, nil)
		c.is.True(report.Runs >= len(keys))
	})
}

// An upstream leaves while its node has lost all peers. Once the node is
// reachable again, everybody knows that the upstream is leaving.
func TestUpstreamLeavesWhileItsNodeIsCutOff(t *testing.T) {
	run(t, 9, threeCentres, func(c *cluster) {
		c.settle()
		c.faults.CutPeer("node-04")
		time.Sleep(5 * time.Second)
		c.stack("node-04").membership.SetUpstreams([]model.Upstream{{Name: "u", Service: desk, State: model.UpstreamLeaving}})
		time.Sleep(30 * time.Second)
		c.faults.HealPeer("node-04")
		c.eventually(30*time.Second, "the leaving upstream", func(s *stack) bool {
			m, ok := s.membership.View().Members["node-04"]
			return ok && m.Status == membership.StatusAlive && m.Upstreams[0].State == model.UpstreamLeaving
		})
	})
}

// The platform takes ten seconds for each call while an upstream leaves; the
// notice does not wait for it.
func TestDrainIsToldWhileThePlatformIsSlow(t *testing.T) {
	run(t, 9, threeCentres, func(c *cluster) {
		c.settle()
		c.store.SetDelay(10 * time.Second)
		time.Sleep(20 * time.Second)
		c.stack("node-04").membership.SetUpstreams([]model.Upstream{{Name: "u", Service: desk, State: model.UpstreamLeaving}})
		c.eventually(2*time.Second, "the leaving upstream", func(s *stack) bool {
			return s.membership.View().Members["node-04"].Upstreams[0].State == model.UpstreamLeaving
		})
	})
}

// A call crashes an upstream; its node then restarts in a rolling restart and
// forgets. The caller sends the call again, and the second crash convicts it on
// every node, the restarted one included.
func TestPoisonDuringRollingRestart(t *testing.T) {
	const poisoned = 0x1234
	run(t, 6, twoCentres, func(c *cluster) {
		c.settle()
		crash := func(id model.NodeID) {
			c.stack(id).guard.Begin("u", poisoned)(poison.EndCrashed)
			time.Sleep(5 * time.Second)
		}
		crash("node-02")
		c.restart("node-02")
		time.Sleep(5 * time.Second)
		crash("node-03")
		c.eventually(10*time.Second, "the quarantine", func(s *stack) bool {
			return s.guard.Quarantined(poisoned)
		})
		c.restart("node-04")
		c.eventually(10*time.Second, "the quarantine after a restart", func(s *stack) bool {
			return s.guard.Quarantined(poisoned)
		})
	})
}
