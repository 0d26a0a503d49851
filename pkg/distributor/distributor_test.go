package distributor

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/fault"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/rollout"
)

// run runs a test in a bubble with a cluster.
func run(t *testing.T, test func(is *is.I, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		test(is.New(t), newCluster(t))
	})
}

func TestEveryNodeAppliesAcceptedVersion(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(10, "cluj-1", "cluj-2", "cluj-3")
		acc := c.signOff(1)
		c.converge(1, time.Second)
		c.signOff(2)
		c.converge(2, time.Second)
		for _, n := range c.nodes {
			is.Equal(n.holder.Current().Bundle, content(2))
			is.Equal(n.service.Status().History[1].Operation, acc.Operation)
		}
	})
}

// A node opens only with the newest version that its peers had, with the
// platform down too.
func TestRestartFindsNewestBeforeReady(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(8, "cluj-1")
		c.signOff(1)
		c.converge(1, time.Second)
		c.kill("cluj-1-05")
		c.signOff(2)
		c.converge(2, 2*time.Second)
		c.store.SetDown(true)
		n := c.launch("cluj-1-05", "cluj-1")
		<-n.service.Ready()
		is.Equal(n.service.Applied(), model.Version(2))
		is.Equal(len(n.service.Status().History), 2)
	})
}

func TestNodeWithoutAnswersOpensWithoutBundle(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.store.SetDown(true)
		c.members.set("cluj-1-00", "cluj-1", "alive")
		n := c.launch("cluj-1-00", "cluj-1")
		begin := time.Now()
		<-n.service.Ready()
		is.Equal(time.Since(begin), defaultTuning.ReadyTimeout)
		is.Equal(n.service.Applied(), model.Version(0))
		is.Equal(n.log.Count(event.RolloutReadyBlind), uint64(1))
		c.store.SetDown(false)
		c.signOff(1)
		c.converge(1, time.Minute) // the node went on trying
	})
}

func TestWholeDataCentreRestartsFromPlatform(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.signOff(1)
		c.signOff(2)
		c.start(12, "cluj-1")
		for _, n := range c.nodes {
			<-n.service.Ready()
			is.Equal(n.service.Applied(), model.Version(2))
		}
	})
}

func TestHerdReturnsTogether(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(15, "cluj-1", "cluj-2")
		c.signOff(1)
		c.converge(1, time.Second)
		c.signOff(2)
		var herd []*node
		for id, n := range c.nodes {
			if id[len(id)-1]%3 == 0 {
				herd = append(herd, n)
			}
		}
		for _, n := range herd {
			c.kill(n.id)
		}
		time.Sleep(time.Second)
		for _, n := range herd {
			c.launch(n.id, n.dc)
		}
		for _, n := range c.nodes {
			<-n.service.Ready()
			is.True(n.service.Applied() >= 1)
		}
		c.converge(2, 2*time.Second)
	})
}

func TestPlatformDownRightAfterSignOff(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(10, "cluj-1", "cluj-2", "cluj-3")
		c.signOff(1)
		c.converge(1, time.Second)
		c.signOff(2)
		synctest.Wait() // some watcher has the version
		c.store.SetDown(true)
		c.converge(2, 2*time.Second)
		for _, n := range c.nodes {
			is.Equal(n.service.Status().Acceptance.Version, model.Version(2))
		}
	})
}

func TestPlatformDownBeforeAnyWatcherHears(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(6, "cluj-1", "cluj-2")
		c.signOff(1)
		c.converge(1, time.Second)
		time.Sleep(3 * defaultTuning.ReportRefresh)
		for _, n := range c.nodes {
			is.True(n.service.Status().PlatformUp) // leads tell the others
			n.store.setClosed(true)
		}
		c.signOff(2)
		c.store.SetDown(true)
		time.Sleep(time.Hour)
		is.Equal(len(c.behind(2)), len(c.nodes))
		for _, n := range c.nodes {
			age, ok := n.service.Age(time.Now())
			is.True(ok)
			is.True(age >= time.Hour) // the status says how old the answer is
			is.True(!n.service.Status().PlatformUp)
		}
		calls := c.store.Calls().Total()
		for _, n := range c.nodes {
			n.store.setClosed(false)
		}
		c.store.SetDown(false)
		c.converge(2, time.Minute)
		is.True(c.store.Calls().Total()-calls < 100) // no storm on return
	})
}

func TestDataCentreCutFromPlatformThenFromAll(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(8, "cluj-1", "cluj-2", "cluj-3")
		c.signOff(1)
		c.converge(1, time.Second)
		for _, n := range c.nodes {
			n.store.setClosed(n.dc == "cluj-3")
		}
		c.signOff(2)
		c.converge(2, 2*time.Second) // through the gateways

		c.faults.Cut("cluj-3", "cluj-1")
		c.faults.Cut("cluj-3", "cluj-2")
		c.signOff(3)
		time.Sleep(time.Minute)
		is.Equal(len(c.behind(3)), 8)
		is.Equal(len(c.behind(2)), 0) // the cut data centre serves what it has

		c.faults.Heal("cluj-3", "cluj-1")
		c.faults.Heal("cluj-3", "cluj-2")
		gateway := c.nodes["cluj-3-04"].service
		gateway.Offer("cluj-1-00", c.nodes["cluj-1-00"].service.Applied())
		time.Sleep(2 * time.Second)
		c.gossip(func(a, b *node) bool { return a.dc == b.dc })
		c.converge(3, 5*time.Second)
	})
}

// A lead that was paused does not bring its old version back.
func TestPausedWatcherReturnsWithOldVersion(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(8, "cluj-1")
		c.signOff(1)
		c.converge(1, time.Second)
		paused := c.nodes[c.nodes["cluj-1-00"].service.group().firstLead()]
		stale, err := paused.service.updates.from("")
		is.NoErr(err)
		paused.store.setClosed(true)
		c.faults.CutPeer(paused.id)
		c.signOff(2)
		time.Sleep(2 * time.Second)
		is.Equal(c.behind(2), []model.NodeID{paused.id})

		c.faults.HealPeer(paused.id)
		for id, n := range c.nodes {
			if n != paused {
				reply, err := pushTo(c, paused, id, pushRequest{Version: 1, Span: rollout.Span{First: id, Last: id}, Update: stale.bytes})
				is.NoErr(err)
				is.Equal(reply, pushReply{Outcome: outcomeHave, Version: 2})
			}
		}
		c.gossip(func(_, _ *node) bool { return true })
		c.converge(2, 5*time.Second)
	})
}

func TestSilentWatchIsFoundByRereading(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(6, "cluj-1")
		c.signOff(1)
		c.converge(1, time.Second)
		for _, n := range c.nodes {
			n.store.setSilent(true)
		}
		c.signOff(2)
		c.converge(2, 2*defaultTuning.Reread)
		var behind uint64
		for _, n := range c.nodes {
			behind += n.log.Count(event.RolloutWatchBehind)
		}
		is.True(behind > 0)
	})
}

func TestCompactedAndDroppedWatch(t *testing.T) {
	run(t, func(_ *is.I, c *cluster) {
		c.start(6, "cluj-1")
		for v := range model.Version(5) {
			c.store.DropWatches()
			c.signOff(v + 1)
			c.store.Compact()
			c.converge(v+1, 3*time.Second)
		}
	})
}

func TestDeadInnerNodeIsPushedAround(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(20, "cluj-1")
		c.signOff(1)
		c.converge(1, time.Second)
		g := c.nodes["cluj-1-00"].service.group()
		inner := rollout.Children(g.own(), g.firstLead(), g.firstLead(), defaultTuning.Fanout)[1]
		c.faults.CutPeer(inner) // still a member to everyone
		c.signOff(2)
		time.Sleep(defaultTuning.PullGrace + 3*time.Second)
		is.Equal(c.behind(2), []model.NodeID{inner})

		time.Sleep(5 * time.Second)
		var progress rollout.Progress
		o, err := c.store.Get(c.t.Context(), platform.Key{Collection: platform.CollectionStatuses, Name: "cluj-1"})
		is.NoErr(err)
		is.NoErr(json.Unmarshal(o.Value, &progress))
		is.Equal(progress.Version, model.Version(2))
		is.Equal(progress.Members, 20)
		is.True(progress.Applied < 20)
		is.Equal(progress.Laggards[0].Node, inner)
	})
}

func TestLostRequestsAndAcknowledgements(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(20, "cluj-1", "cluj-2")
		c.signOff(1)
		c.converge(1, time.Second)
		lossy := fault.Link{Delay: time.Millisecond, Loss: 0.2}
		c.faults.SetLinks(lossy, lossy)
		for v := model.Version(2); v < 8; v++ {
			c.signOff(v)
			time.Sleep(2 * time.Second)
			c.gossip(func(a, b *node) bool { return a.dc == b.dc })
			c.converge(v, 10*time.Second)
		}
		for _, n := range c.nodes {
			is.True(n.log.Count(event.RolloutApplied) <= 7) // each version at most once
		}
	})
}

func TestTwoRootsAtOnce(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(12, "cluj-1")
		c.signOff(1)
		c.converge(1, time.Second)
		c.signOff(2)
		synctest.Wait()
		for _, id := range []model.NodeID{"cluj-1-03", "cluj-1-09"} {
			s := c.nodes[id].service
			s.spreader.root(s.group(), 2)
		}
		c.converge(2, time.Second)
		for _, n := range c.nodes {
			is.Equal(n.log.Count(event.RolloutApplied), uint64(2))
		}
	})
}

func TestProgressIsWrittenAtBoundedRate(t *testing.T) {
	run(t, func(is *is.I, c *cluster) {
		c.start(25, "cluj-1", "cluj-2")
		for v := range model.Version(3) {
			c.signOff(v + 1)
			c.converge(v+1, time.Second)
		}
		time.Sleep(10 * time.Second)
		for _, dc := range []string{"cluj-1", "cluj-2"} {
			o, err := c.store.Get(c.t.Context(), platform.Key{Collection: platform.CollectionStatuses, Name: dc})
			is.NoErr(err)
			var p rollout.Progress
			is.NoErr(json.Unmarshal(o.Value, &p))
			is.Equal(p.Applied, 25)
			is.Equal(p.Version, model.Version(3))
			is.Equal(len(p.Laggards), 0)
		}
		puts := 0
		for _, n := range c.nodes {
			puts += n.store.puts
		}
		is.True(puts <= 2*3*2) // two for each data centre and change
		c.store.SetDown(true)
		is.Equal(len(c.nodes["cluj-1-07"].service.Progress(c.t.Context())), 2) // from the leads
	})
}

// pushTo sends a push from one node to another as a peer could.
func pushTo(c *cluster, from *node, to model.NodeID, r pushRequest) (pushReply, error) {
	var reply pushReply
	err := from.service.options.Transport.Call(c.t.Context(), mesh.Peer{ID: to, Addr: string(to)}, mesh.KindPush, r, &reply)
	return reply, err
}

func encodeUpdate(c *cluster, u bundle.Update) []byte {
	bytes, err := u.Encode()
	c.check(err)
	return bytes
}
