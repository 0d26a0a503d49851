package membershipbench

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tarragondrum/tarragondrum/pkg/gossip"
	"github.com/tarragondrum/tarragondrum/pkg/gossip/gossiptest"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/fault"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
)

// errLate is returned when a mesh does not reach the state that it should.
var errLate = errors.New("membershipbench: state not reached in time")

const (
	// waitLimit bounds every wait.
	waitLimit = 90 * time.Second
	pollGap   = 2 * time.Millisecond
	// deadTime is how long a killed third stays dead.
	deadTime = 2 * time.Second
	lossRate = 0.05
	// stepReturn is the scenario in which a killed third returns.
	stepReturn = "return"
)

// The links of a mesh whose data centres are about half a millisecond apart.
var (
	localLink  = fault.Link{Delay: 100 * time.Microsecond, Jitter: 100 * time.Microsecond}
	remoteLink = fault.Link{Delay: 500 * time.Microsecond, Jitter: 500 * time.Microsecond}
)

func lossy(l fault.Link) fault.Link {
	l.Loss = lossRate
	return l
}

// Spread is the distribution of a time in seconds over nodes and samples.
type Spread struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Last float64 `json:"last"`
}

// times collects durations with a resolution of a microsecond.
type times struct{ h *hdrhistogram.Histogram }

func newTimes() times { return times{hdrhistogram.New(1, waitLimit.Microseconds()*2, 3)} }

func (t times) add(d time.Duration) { _ = t.h.RecordValue(max(1, d.Microseconds())) }

func (t times) spread() Spread {
	seconds := func(micros int64) float64 { return float64(micros) / 1e6 }
	return Spread{
		P50:  seconds(t.h.ValueAtQuantile(50)),
		P99:  seconds(t.h.ValueAtQuantile(99)),
		Last: seconds(t.h.Max()),
	}
}

// collect adds the time at which f first holds on each running node.
func (t times) collect(c *gossiptest.Cluster, f func(*membership.View) bool) error {
	start := time.Now()
	waiting := c.Running()
	for len(waiting) > 0 {
		if time.Since(start) > waitLimit {
			return fmt.Errorf("%d nodes wait: %w", len(waiting), errLate)
		}
		waiting = slices.DeleteFunc(waiting, func(n *gossiptest.Node) bool {
			if !f(n.Service.View()) {
				return false
			}
			t.add(time.Since(start))
			return true
		})
		time.Sleep(pollGap)
	}
	return nil
}

// waitFor returns the seconds until f holds.
func waitFor(f func() bool) (float64, error) {
	took, ok := gossiptest.Wait(waitLimit, f)
	if !ok {
		return 0, errLate
	}
	return took.Seconds(), nil
}

// measure runs all scenarios on one mesh.
func measure(o Options, nodes, centres int, seed uint64) (Row, error) {
	heap := heapBytes()
	store := fake.New()
	c := gossiptest.New(gossiptest.Options{Nodes: nodes, DataCentres: centres, Seed: seed, Platform: store})
	defer c.KillAll()
	c.Faults.SetLinks(localLink, remoteLink)
	if err := c.StartAll(); err != nil {
		return Row{}, err
	}
	if _, err := waitFor(c.Converged); err != nil {
		return Row{}, fmt.Errorf("start: %w", err)
	}
	calls := func() uint64 { return store.Calls().Total() }
	row := Row{Seed: seed, StartCalls: calls()}
	row.Rest = observe(c, o.Rest, heap, calls)
	row.Nodes, row.DataCentres = nodes, centres
	for _, step := range []struct {
		name string
		run  func(*gossiptest.Cluster, Options) error
	}{
		{"leave", row.measureLeave}, {"leave with loss", row.measureLeaveLossy}, {"detect", row.measureDetect},
		{stepReturn, row.measureReturn}, {"cut", row.measureCut},
	} {
		before := calls()
		if err := step.run(c, o); err != nil {
			return row, fmt.Errorf("%s: %w", step.name, err)
		}
		if step.name == stepReturn {
			row.ReturnCalls = calls() - before
		}
	}
	return row, nil
}

// observe measures a mesh at rest.
func observe(c *gossiptest.Cluster, d time.Duration, heapBefore uint64, calls func() uint64) Rest {
	time.Sleep(2 * time.Second) // exchanges of the start end
	heap := heapBytes() - min(heapBefore, heapBytes())
	traffic, each, cpu, asked := c.Traffic(), perNode(c), cpuTime(), calls()
	start := time.Now()
	time.Sleep(d)
	seconds, used := time.Since(start).Seconds(), cpuTime()-cpu
	after, eachAfter := c.Traffic(), perNode(c)
	n := float64(len(c.Running()))
	var busiest uint64
	for i := range each {
		busiest = max(busiest, eachAfter[i]-each[i])
	}
	return Rest{
		SentBytesPerSecond:     float64(total(after.SentBytes)-total(traffic.SentBytes)) / n / seconds,
		ReceivedBytesPerSecond: float64(total(after.ReceivedBytes)-total(traffic.ReceivedBytes)) / n / seconds,
		BusiestBytesPerSecond:  float64(busiest) / seconds,
		MessagesPerSecond:      float64(total(after.SentCount)-total(traffic.SentCount)) / n / seconds,
		CPUPercent:             used.Seconds() / seconds / n * 100,
		HeapKB:                 float64(heap) / n / 1024,
		PlatformCallsPerMinute: float64(calls()-asked) / seconds * 60,
	}
}

// perNode returns the bytes that each running node sent and received.
func perNode(c *gossiptest.Cluster) []uint64 {
	var bytes []uint64
	for _, n := range c.Running() {
		t := n.Transport.(mesh.Meter).Traffic()
		bytes = append(bytes, total(t.SentBytes)+total(t.ReceivedBytes))
	}
	return bytes
}

func total(counts map[mesh.Kind]uint64) uint64 {
	var sum uint64
	for _, n := range counts {
		sum += n
	}
	return sum
}

// heapBytes returns the live heap. The second collection frees what finalizers
// held in the first.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (r *Row) measureLeave(c *gossiptest.Cluster, o Options) error {
	before := c.Traffic().SentBytes[mesh.KindUpdate]
	spread, err := leave(c, o.Samples, 0)
	r.Leave = spread
	bytes := c.Traffic().SentBytes[mesh.KindUpdate] - before
	r.LeaveBytes = float64(bytes) / float64(o.Samples) / float64(len(c.Running()))
	return err
}

func (r *Row) measureLeaveLossy(c *gossiptest.Cluster, o Options) error {
	c.Faults.SetLinks(lossy(localLink), lossy(remoteLink))
	defer c.Faults.SetLinks(localLink, remoteLink)
	var err error
	r.LeaveLossy, err = leave(c, o.Samples, o.Samples)
	return err
}

// leave lets the upstreams of some nodes leave, one after the other.
func leave(c *gossiptest.Cluster, samples, offset int) (Spread, error) {
	t := newTimes()
	running := c.Running()
	for i := range samples {
		n := running[(offset+i)*7%len(running)]
		u := n.Record.Upstreams[0]
		u.State = model.UpstreamLeaving
		u.Slots = offset + i + 1 // a change that no other sample makes
		n.Service.SetUpstreams([]model.Upstream{u})
		err := t.collect(c, func(v *membership.View) bool {
			known := v.Members[n.Record.ID].Upstreams
			return len(known) == 1 && known[0].State == u.State && known[0].Slots == u.Slots
		})
		if err != nil {
			return Spread{}, err
		}
	}
	return t.spread(), nil
}

func (r *Row) measureDetect(c *gossiptest.Cluster, _ Options) error {
	t := newTimes()
	for _, i := range []int{len(c.Nodes) / 2, len(c.Nodes) - 1} {
		id := c.Nodes[i].Record.ID
		c.Kill(i)
		if err := t.collect(c, func(v *membership.View) bool {
			return v.Members[id].Status == membership.StatusFailed
		}); err != nil {
			return err
		}
		if err := c.Start(i); err != nil {
			return err
		}
		if _, err := waitFor(c.Converged); err != nil {
			return err
		}
	}
	r.Detect = t.spread()
	return nil
}

func (r *Row) measureReturn(c *gossiptest.Cluster, _ Options) error {
	var err error
	r.Return, err = killThird(c)
	return err
}

// killThird kills a third of the nodes, starts them together again, and returns
// the seconds until all nodes see each other.
func killThird(c *gossiptest.Cluster) (float64, error) {
	for i := 0; i < len(c.Nodes); i += 3 {
		// Neighbours are in different data centres, so that each loses some nodes.
		c.Kill(min(i+i/3%3, len(c.Nodes)-1))
	}
	time.Sleep(deadTime)
	if err := c.StartAll(); err != nil {
		return 0, err
	}
	return waitFor(c.Converged)
}

func (r *Row) measureCut(c *gossiptest.Cluster, _ Options) error {
	cut, centres := gossiptest.CentreName(1), r.DataCentres
	for i := range centres {
		if i != 1 {
			c.Faults.Cut(cut, gossiptest.CentreName(i))
		}
	}
	var err error
	r.Cut, err = waitFor(func() bool {
		return c.All(func(v *membership.View) bool { return apart(v, cut) })
	})
	if err != nil {
		return err
	}
	for i := range centres {
		c.Faults.Heal(cut, gossiptest.CentreName(i))
	}
	r.Heal, err = waitFor(c.Converged)
	return err
}

// apart reports whether a node knows that the data centre is cut off from it,
// or it from all others.
func apart(v *membership.View, cut model.DataCentre) bool {
	own := v.Members[v.Self].DataCentre
	for _, m := range v.Members {
		far := (m.DataCentre == cut) != (own == cut)
		if far && m.Status == membership.StatusAlive {
			return false
		}
	}
	return true
}

// measure fills in the figures of one way of dissemination.
func (c *Compare) measure(o Options) error {
	cluster := gossiptest.New(gossiptest.Options{
		Nodes: c.Nodes, DataCentres: 3, Seed: o.Seed,
		Edit: func(g *gossip.Options) {
			g.Dissemination = c.Dissemination
			g.Fanout = c.Fanout
			g.Table = membership.DefaultConfig()
			g.Table.Leads = c.Leads
		},
	})
	defer cluster.KillAll()
	cluster.Faults.SetLinks(lossy(localLink), lossy(remoteLink))
	if err := cluster.StartAll(); err != nil {
		return err
	}
	if _, err := waitFor(cluster.Converged); err != nil {
		return err
	}
	samples := min(o.Samples, compareSamples)
	rest := observe(cluster, o.Rest/2, 0, func() uint64 { return 0 })
	middle, start := cluster.Traffic(), time.Now()
	var err error
	if c.LeaveLossy, err = leave(cluster, samples, 0); err != nil {
		return err
	}
	// What is above the traffic at rest belongs to the updates.
	extra := float64(total(cluster.Traffic().SentBytes)-total(middle.SentBytes)) -
		rest.SentBytesPerSecond*float64(c.Nodes)*time.Since(start).Seconds()
	c.LeaveBytes = extra / float64(samples) / float64(c.Nodes)
	return nil
}

// compareSamples bounds the samples of the slow ways.
const compareSamples = 5
