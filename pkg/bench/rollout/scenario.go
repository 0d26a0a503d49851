package rollout

import (
	"context"
	"math"
	"runtime"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/gossip/gossiptest"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

const (
	// lossRate is the share of messages lost in ScenarioLoss.
	lossRate = 0.05
	// absence is the time for which the herd is gone.
	absence = time.Second
	// downDelay is the time from sign-off until the platform goes down: one watch
	// event and one load of the bundle.
	downDelay = 5 * platformDelay
	// settle is the time after a change in which its reports are counted too.
	settle = 1200 * time.Millisecond
)

// measure runs one scenario in a new cluster.
func measure(o Options, s Scenario, way Way, n, dcs int) (row Row, err error) {
	c := newCluster(o, way, n, dcs)
	defer func() {
		if stopErr := c.stop(); err == nil {
			err = stopErr
		}
	}()
	row = Row{Scenario: s, Way: way, Nodes: n, DataCentres: dcs}
	if err := c.form(); err != nil {
		return row, err
	}
	time.Sleep(settle)
	if s == ScenarioPlain && way == WayTree {
		time.Sleep(o.Calm)
		row.Rest = c.rest(o.Rest)
	}
	c.prepare(s)
	begin := time.Now()
	var times []time.Duration
	var sum cost
	for range o.Changes {
		took, used, err := c.change(s, n)
		if err != nil {
			return row, err
		}
		times = append(times, took...)
		sum.add(used)
	}
	row.Seconds = time.Since(begin).Seconds()
	row.fillTimes(times)
	row.fillBytes(sum, n, o.Changes)
	return row, nil
}

// prepare sets up what a scenario needs before the first change.
func (c *cluster) prepare(s Scenario) {
	switch s {
	case ScenarioLoss:
		local, remote := localLink, remoteLink
		local.Loss, remote.Loss = lossRate, lossRate
		c.Faults.SetLinks(local, remote)
	case ScenarioCut:
		c.cut.set(gossiptest.CentreName(1))
		c.store.DropWatches()
	}
}

// cost is what one change used.
type cost struct {
	usage
	deltaBytes int
	calls      uint64
}

func (c *cost) add(d cost) {
	c.all += d.all
	c.rollout += d.rollout
	c.payload += d.payload
	c.repair += d.repair
	c.deltaBytes += d.deltaBytes
	c.calls += d.calls
}

// change signs off one change and waits until every node has it.
func (c *cluster) change(s Scenario, n int) ([]time.Duration, cost, error) {
	before, traffic, calls := c.now, c.traffic(), c.store.Calls().Total()
	seen := watchVersions(c.versions, model.Version(c.step+1), n, c.options.Limit)
	if _, err := c.signOff(); err != nil {
		return nil, cost{}, err
	}
	if err := c.disturb(s); err != nil {
		return nil, cost{}, err
	}
	all := <-seen
	if s == ScenarioHerd {
		// Those that returned count, not those that had it before they were killed.
		all = <-watchVersions(c.versions, model.Version(c.step), n, c.options.Limit)
	}
	took := all.since(c.operator.written)
	if all.err != nil {
		return took, cost{}, all.err
	}
	if s == ScenarioPlatformDown {
		c.store.SetDown(false)
	}
	time.Sleep(settle)
	head, _, err := bundlestore.ReadHead(context.Background(), c.store)
	if err != nil {
		return took, cost{}, err
	}
	used := cost{usage: c.traffic().minus(traffic), calls: c.store.Calls().Total() - calls - c.operatorCalls}
	used.deltaBytes, err = c.deltaBytes(before, head.Acceptance)
	return took, used, err
}

// disturb does what a scenario does right after the sign-off.
func (c *cluster) disturb(s Scenario) error {
	switch s {
	case ScenarioPlatformDown:
		time.Sleep(downDelay)
		c.store.SetDown(true)
	case ScenarioHerd:
		return c.herd()
	}
	return nil
}

// herd kills every third node and starts all of them again together.
func (c *cluster) herd() error {
	for i := 0; i < len(c.Nodes); i += 3 {
		if err := c.kill(i); err != nil {
			return err
		}
	}
	time.Sleep(absence)
	for i := 0; i < len(c.Nodes); i += 3 {
		if err := c.start(i); err != nil {
			return err
		}
	}
	return nil
}

// versions returns the version in force on each running node.
func (c *cluster) versions() []model.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]model.Version, 0, len(c.nodes))
	for _, n := range c.nodes {
		list = append(list, n.service.Applied())
	}
	return list
}

// rest watches the nodes while nothing changes.
func (c *cluster) rest(d time.Duration) *Rest {
	traffic, calls, cpu := c.traffic(), c.store.Calls().Total(), processorTime()
	begin := time.Now()
	time.Sleep(d)
	seconds := time.Since(begin).Seconds()
	used, spent := c.traffic().minus(traffic), processorTime()-cpu
	n := float64(len(c.nodes))
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return &Rest{
		BytesPerSecond:         float64(used.all) / seconds / n,
		RolloutBytesPerSecond:  float64(used.rollout) / seconds / n,
		CorePercent:            100 * spent.Seconds() / seconds / n,
		MemoryBytes:            float64(memory.HeapAlloc) / n,
		PlatformCallsPerSecond: float64(c.store.Calls().Total()-calls) / seconds,
	}
}

// fillBytes sets the figures per node and change.
func (r *Row) fillBytes(sum cost, n, changes int) {
	per := float64(n) * float64(changes)
	r.DeltaBytes = float64(sum.deltaBytes) / float64(changes)
	r.TotalBytes = float64(sum.rollout) / per
	r.PayloadBytes = float64(sum.payload) / per
	r.RepairBytes = float64(sum.repair) / per
	r.OverheadBytes = math.Max(0, r.TotalBytes-r.PayloadBytes-r.RepairBytes)
	r.PlatformCalls = float64(sum.calls) / float64(changes)
}
