package calls

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
)

const (
	// pathNodes is the number of hosts, pathRate the calls per second and node.
	pathNodes = 4
	pathRate  = 160
	// pathTime is the length of one measurement, pathRounds their number for
	// each way, so that all ways see the same moods of the machine.
	pathTime   = time.Second
	pathRounds = 8
	// costWorkers call as fast as they can for costTime.
	costWorkers = 64
	costTime    = time.Second
)

// way is how a call reaches its stand-in.
type way int

// The ways.
const (
	wayDirect way = iota
	wayOneHop
	wayTwoHops
	ways
)

func (w way) String() string { return [ways]string{"direct", "one hop", "two hops"}[w] }

// PathResult is what nodes add to a call.
type PathResult struct {
	// RatePerNode is the calls per second that each node took.
	RatePerNode int       `json:"ratePerNode"`
	Ways        []WayCost `json:"ways"`
}

// WayCost is the latency and cost of one way. Callers and stand-ins share the
// process, so that the cost of the nodes is the difference to "direct".
type WayCost struct {
	Way   string        `json:"way"`
	Calls int64         `json:"calls"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	P999  time.Duration `json:"p999"`
	// CPUPerCall is processor time, BytesPerCall allocated memory.
	CPUPerCall   time.Duration `json:"cpuPerCall"`
	BytesPerCall float64       `json:"bytesPerCall"`
	// CallsPerSecond is the throughput on all cores without a bound on the rate.
	CallsPerSecond float64 `json:"callsPerSecond"`
}

// AddedP99 returns the p99 of a way less that of the direct way.
func (p PathResult) AddedP99(w int) time.Duration { return p.Ways[w].P99 - p.Ways[wayDirect].P99 }

func (p PathResult) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "path, %d calls/s per node\tcalls\tp50\tp99\tp99.9\tadded p50\tadded p99\tadded p99.9\tcpu/call\tbytes/call\tcalls/s\tcalls/s per core of nodes\n", p.RatePerNode)
	direct := p.Ways[wayDirect]
	for _, c := range p.Ways {
		perCore := "-"
		if added := c.CPUPerCall - direct.CPUPerCall; added > 0 {
			perCore = fmt.Sprintf("%.0f", float64(time.Second)/float64(added))
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%s\n", c.Way, c.Calls, c.P50, c.P99, c.P999,
			c.P50-direct.P50, c.P99-direct.P99, c.P999-direct.P999, c.CPUPerCall, c.BytesPerCall, c.CallsPerSecond, perCore)
	}
	_, _ = fmt.Fprintln(t)
	return t.Flush()
}

// measurePath runs each way at a fixed rate in turn, and then each way as fast
// as it goes.
func measurePath(ctx context.Context, seed uint64) (PathResult, error) {
	var services []service
	for i := range pathNodes {
		services = append(services, service{name: fmt.Sprintf("solo-%d", i), instances: 1, slots: costWorkers, connections: 4 * costWorkers})
	}
	b := bundleOf(services)
	b.Routes = nil
	for i, s := range services {
		r := bundleOf(services).Routes[0]
		r.Name, r.PathPrefix, r.Service = s.name, fmt.Sprintf("/%d", i), s.name
		b.Routes = append(b.Routes, r)
	}
	c, err := newCluster(seed, b, order.Lookahead{}, true, services...)
	if err != nil {
		return PathResult{}, err
	}
	defer c.close()
	pause(ctx, defaultSettle)
	return (&pathRun{cluster: c, callers: newCallers(PolicyMesh, c, "", seed)}).measure(ctx, seed)
}

type pathRun struct {
	cluster *cluster
	callers *callers
	latency [ways]*hdrhistogram.Histogram
	mu      sync.Mutex
	turn    int
	errors  int
}

func (p *pathRun) measure(ctx context.Context, seed uint64) (PathResult, error) {
	defer p.callers.close()
	for w := range ways {
		p.latency[w] = newHistogram()
	}
	for round := range pathRounds + 1 {
		for w := range ways {
			p.atRate(ctx, w, seed+uint64(round))
		}
		if round == 0 { // The first round only warms up.
			for w := range ways {
				p.latency[w].Reset()
			}
		}
	}
	result := PathResult{RatePerNode: pathRate}
	for w := range ways {
		h := p.latency[w]
		cost := p.cost(ctx, w)
		cost.Way, cost.Calls = w.String(), h.TotalCount()
		cost.P50, cost.P99, cost.P999 = quantile(h, 50), quantile(h, 99), quantile(h, 99.9)
		result.Ways = append(result.Ways, cost)
	}
	if p.errors > 0 {
		return result, fmt.Errorf("%d calls failed", p.errors)
	}
	return result, ctx.Err()
}

// atRate sends calls one way at pathRate per node and records their latency.
func (p *pathRun) atRate(ctx context.Context, w way, seed uint64) {
	begin := time.Now()
	var wg sync.WaitGroup
	interval := time.Second / (pathRate * pathNodes)
	offset := time.Duration(seed%97) * time.Microsecond
	for at := offset; at < pathTime && ctx.Err() == nil; at += interval {
		pause(ctx, time.Until(begin.Add(at)))
		planned := time.Now()
		wg.Go(func() {
			p.one(ctx, w)
			p.mu.Lock()
			defer p.mu.Unlock()
			record(p.latency[w], time.Since(planned))
		})
	}
	wg.Wait()
}

// one sends one call to the next host's stand-in.
func (p *pathRun) one(ctx context.Context, w way) {
	nodes := p.cluster.of("")
	p.mu.Lock()
	p.turn++
	i := p.turn % len(nodes)
	p.mu.Unlock()
	c := call{class: model.ClassInteractive, method: "GET", path: fmt.Sprintf("/%d/x", i)}
	address := nodes[i].standIn.Addr()
	switch w {
	case wayOneHop:
		address = *nodes[i].inboundAddr.Load()
	case wayTwoHops:
		address = *nodes[(i+1)%len(nodes)].inboundAddr.Load()
	}
	if r := p.callers.send(ctx, address, c, "", "x"); !r.good() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.errors++
	}
}

// cost calls one way as fast as it goes and returns what a call costs.
func (p *pathRun) cost(ctx context.Context, w way) WayCost {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, begin := processorTime(), time.Now()
	counts := make([]int64, costWorkers)
	var wg sync.WaitGroup
	for i := range costWorkers {
		wg.Go(func() {
			for time.Since(begin) < costTime && ctx.Err() == nil {
				p.one(ctx, w)
				counts[i]++
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(begin)
	cpu = processorTime() - cpu
	runtime.ReadMemStats(&after)
	var calls int64
	for _, n := range counts {
		calls += n
	}
	calls = max(calls, 1)
	return WayCost{
		CPUPerCall:     cpu / time.Duration(calls),
		BytesPerCall:   float64(after.TotalAlloc-before.TotalAlloc) / float64(calls),
		CallsPerSecond: float64(calls) / elapsed.Seconds(),
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
