// Package rollout measures on one machine how soon a version is in force on every
// node of a mesh, and what the mesh costs the store and the processor at rest.
// The nodes are real; the store and the upstreams are stand-ins.
package rollout

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bench/processor"
	"github.com/tarragondrum/tarragondrum/pkg/localmesh"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/platform"
)

// ErrLate is returned when a version was not in force everywhere in time.
var ErrLate = errors.New("rollout: version is late")

const (
	// limit is the stated target: a change is in force everywhere within it.
	limit = 17 * time.Second
	// startTime bounds the start of a mesh, settleTime is how long leads take to
	// yield to one, and restTime how long rest is measured.
	startTime  = time.Minute
	settleTime = 5 * time.Second
	restTime   = 6 * time.Second
	// pollInterval is the time between two looks at a node's version.
	pollInterval = 2 * time.Millisecond
	// pauseTime lies between two changes. It is no multiple of the time between two
	// reads of a lead, so that changes fall anywhere between them.
	pauseTime = 1300 * time.Millisecond
	// firstBlock is the second number of the loopback addresses of the first mesh.
	firstBlock = 70
)

// Options say what to measure.
type Options struct {
	Nodes       []int
	DataCentres int
	// Routes is the number of routes of each version, and Changes that of versions.
	Routes  int
	Changes int
	// Progress is told of each row.
	Progress func(Row)
}

// Row is the outcome for one number of nodes.
type Row struct {
	Nodes       int `json:"nodes"`
	DataCentres int `json:"dataCentres"`
	// MiddleMs and LastMs are when the middle and the last node had a version in
	// force after it was written: the median over all changes, and WorstMs the
	// largest of the last nodes.
	MiddleMs float64 `json:"middleMs"`
	LastMs   float64 `json:"lastMs"`
	WorstMs  float64 `json:"worstMs"`
	// StartCalls is the number of calls to the store until the mesh rests,
	// RestCallsPerMin those of a minute at rest and CallsPerChange those beyond rest.
	StartCalls      int     `json:"startCalls"`
	RestCallsPerMin float64 `json:"restCallsPerMin"`
	CallsPerChange  float64 `json:"callsPerChange"`
	// CorePerNode is the part of a core that one node takes at rest, its upstream's
	// heartbeats included.
	CorePerNode float64 `json:"corePerNode"`
}

// Run measures one row for each number of nodes.
func Run(ctx context.Context, o Options) (Report, error) {
	var report Report
	for i, n := range o.Nodes {
		row, err := measure(ctx, o, n, byte(firstBlock+i))
		if err != nil {
			return report, fmt.Errorf("%d nodes: %w", n, err)
		}
		report.Rows = append(report.Rows, row)
		if o.Progress != nil {
			o.Progress(row)
		}
	}
	return report, report.check()
}

// mesh is a running mesh.
type mesh struct {
	*localmesh.Mesh
	routes int
}

func measure(ctx context.Context, o Options, nodes int, block byte) (Row, error) {
	dir, err := os.MkdirTemp("", "tarragondrum-bench-")
	if err != nil {
		return Row{}, fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // the system empties its own folder
	started, err := localmesh.Start(localmesh.Options{Deployment: localmesh.Uniform(nodes, o.DataCentres), Block: block, Dir: dir})
	if err != nil {
		return Row{}, err
	}
	defer started.Stop()
	m := &mesh{Mesh: started, routes: o.Routes}
	row := Row{Nodes: nodes, DataCentres: o.DataCentres}
	if err := m.write(1); err != nil {
		return row, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := errors.Join(m.WaitReady(startCtx), m.WaitKnown(startCtx)); err != nil {
		return row, err
	}
	time.Sleep(settleTime)
	row.StartCalls = m.calls()
	m.rest(&row)
	return row, m.changes(ctx, o.Changes, &row)
}

// rest measures calls and processor time while nothing happens.
func (m *mesh) rest(row *Row) {
	calls, core := m.calls(), processor.Time()
	time.Sleep(restTime)
	row.RestCallsPerMin = float64(m.calls()-calls) / restTime.Minutes()
	row.CorePerNode = (processor.Time() - core).Seconds() / restTime.Seconds() / float64(row.Nodes)
}

// changes writes versions and waits until each is in force everywhere.
func (m *mesh) changes(ctx context.Context, changes int, row *Row) error {
	begun, before := time.Now(), m.calls()
	var middles, lasts []float64
	for i := range changes {
		version := uint64(2 + i)
		times, err := m.change(ctx, version)
		if err != nil {
			return err
		}
		middles = append(middles, times[len(times)/2])
		lasts = append(lasts, times[len(times)-1])
		time.Sleep(pauseTime)
	}
	beyond := float64(m.calls()-before) - row.RestCallsPerMin*time.Since(begun).Minutes()
	row.CallsPerChange = max(0, beyond/float64(changes))
	row.MiddleMs, row.LastMs, row.WorstMs = median(middles), median(lasts), slices.Max(lasts)
	return nil
}

// change writes one version and returns when each node had it, in milliseconds and
// sorted.
func (m *mesh) change(ctx context.Context, version uint64) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	written := time.Now()
	if err := m.write(version); err != nil {
		return nil, err
	}
	times := make([]float64, 0, len(m.Hosts))
	waiting := slices.Clone(m.Hosts)
	for len(waiting) > 0 {
		waiting = slices.DeleteFunc(waiting, func(h *localmesh.Host) bool {
			if h.Node.Version() < version {
				return false
			}
			times = append(times, float64(time.Since(written).Microseconds())/1000)
			return true
		})
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nil, fmt.Errorf("version %d is not on %d of %d nodes after %s: %w", version, len(waiting), len(m.Hosts), limit, ErrLate)
		}
	}
	return times, nil
}

// write puts a version with its routes into the store, as the operator does.
func (m *mesh) write(version uint64) error {
	c := meshconf.Config{
		Version:  version,
		Services: []meshconf.Service{{Name: "orders", HealthPath: "/healthz", MaxConnections: 100}},
		Limits:   meshconf.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Minute},
	}
	for i := range m.routes {
		c.Routes = append(c.Routes, meshconf.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "orders.example", PathPrefix: fmt.Sprintf("/%d/", i),
			Parts: []meshconf.Part{{Service: "orders", Weight: 1}}, MaxAttempts: 2, Timeout: time.Second, Target: time.Second,
		})
	}
	document, err := platform.EncodeConfig(&c, nil)
	if err != nil {
		return err
	}
	m.Store.PutConfig(document)
	return nil
}

func (m *mesh) calls() int {
	n := 0
	for _, k := range m.Store.Calls() {
		n += k
	}
	return n
}

func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
