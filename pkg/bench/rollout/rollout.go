// Package rollout measures how long a configuration version takes to be in force on every
// node of a mesh, and the store calls and CPU time of an idle mesh. The nodes are real; the
// store and the upstreams are stand-ins, and all of them run in one process.
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

// ErrTargetMissed is returned when a version is not in force on every node within rolloutTarget.
var ErrTargetMissed = errors.New("rollout: version misses the rollout target")

const (
	// rolloutTarget is the target for the time from the write of a version until it is in force on
	// every node.
	rolloutTarget = 17 * time.Second
	// startTimeout is how long a mesh may take to start, settleDuration how long it takes until
	// only one lead remains, and idleDuration how long the idle mesh is measured.
	startTimeout   = time.Minute
	settleDuration = 5 * time.Second
	idleDuration   = 6 * time.Second
	// pollInterval is the time between two checks of the nodes' versions.
	pollInterval = 2 * time.Millisecond
	// changeInterval is the pause between two changes. It is not a multiple of the interval at
	// which a lead reads the store, so that changes fall at varying points of that interval.
	changeInterval = 1300 * time.Millisecond
	// firstLoopbackBlock is the second octet of the loopback addresses of the first mesh. Each
	// further mesh takes the next number.
	firstLoopbackBlock = 70
)

// Options selects the meshes and versions to measure.
type Options struct {
	// Nodes are the numbers of nodes to measure, each spread over DataCentres.
	Nodes       []int
	DataCentres int
	// Routes is the number of routes of each version, and Changes the number of
	// versions written after the first.
	Routes  int
	Changes int
	// Progress, if set, is called with each row as it is measured.
	Progress func(Row)
}

// Row is the result for one number of nodes.
type Row struct {
	Nodes       int `json:"nodes"`
	DataCentres int `json:"dataCentres"`
	// MedianMs and LastMs are the times from the write of a version until it is in force on
	// the median and on the last node, each as the median over all changes. WorstMs is the
	// maximum of the last node's times.
	MedianMs float64 `json:"middleMs"`
	LastMs   float64 `json:"lastMs"`
	WorstMs  float64 `json:"worstMs"`
	// StartCalls is the number of calls to the store until the mesh has
	// settled, RestCallsPerMin the number a minute while idle, and CallsPerChange the number
	// for each change beyond the idle calls.
	StartCalls      int     `json:"startCalls"`
	RestCallsPerMin float64 `json:"restCallsPerMin"`
	CallsPerChange  float64 `json:"callsPerChange"`
	// CorePerNode is the share of a CPU core that an idle node uses, including its
	// upstream's heartbeats.
	CorePerNode float64 `json:"corePerNode"`
}

// Run starts a mesh for each number of nodes and measures it. It returns the rows with ErrTargetMissed
// if a version misses the target.
func Run(ctx context.Context, o Options) (Report, error) {
	var report Report
	for i, n := range o.Nodes {
		row, err := measure(ctx, o, n, byte(firstLoopbackBlock+i))
		if err != nil {
			return report, fmt.Errorf("%d nodes: %w", n, err)
		}
		report.Rows = append(report.Rows, row)
		if o.Progress != nil {
			o.Progress(row)
		}
	}
	return report, report.checkTarget()
}

// mesh is a running mesh and the number of routes of each version written to it.
type mesh struct {
	*localmesh.Mesh
	routes int
}

// measure starts a mesh with the given number of nodes and returns its row.
func measure(ctx context.Context, o Options, nodes int, block byte) (Row, error) {
	dir, err := os.MkdirTemp("", "tarragondrum-bench-")
	if err != nil {
		return Row{}, fmt.Errorf("create temporary directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // best effort: the system cleans its temporary directory
	started, err := localmesh.Start(localmesh.Options{Deployment: localmesh.SingleService(nodes, o.DataCentres), AddressBlock: block, Dir: dir})
	if err != nil {
		return Row{}, err
	}
	defer started.Stop()
	m := &mesh{Mesh: started, routes: o.Routes}
	row := Row{Nodes: nodes, DataCentres: o.DataCentres}
	if err := m.writeVersion(1); err != nil {
		return row, err
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := errors.Join(m.WaitReady(startCtx), m.WaitUpstreamsReady(startCtx)); err != nil {
		return row, err
	}
	time.Sleep(settleDuration)
	row.StartCalls = m.storeCalls()
	m.measureIdle(&row)
	return row, m.measureChanges(ctx, o.Changes, &row)
}

// measureIdle measures store calls and CPU time while no version is written.
func (m *mesh) measureIdle(row *Row) {
	calls, core := m.storeCalls(), processor.Time()
	time.Sleep(idleDuration)
	row.RestCallsPerMin = float64(m.storeCalls()-calls) / idleDuration.Minutes()
	row.CorePerNode = (processor.Time() - core).Seconds() / idleDuration.Seconds() / float64(row.Nodes)
}

// measureChanges writes versions one after the other, waits until each is in force on every node,
// and fills in the times and the store calls of row.
func (m *mesh) measureChanges(ctx context.Context, changes int, row *Row) error {
	began, before := time.Now(), m.storeCalls()
	var medians, lasts []float64
	for i := range changes {
		version := uint64(2 + i)
		times, err := m.measureChange(ctx, version)
		if err != nil {
			return err
		}
		medians = append(medians, times[len(times)/2])
		lasts = append(lasts, times[len(times)-1])
		time.Sleep(changeInterval)
	}
	extraCalls := float64(m.storeCalls()-before) - row.RestCallsPerMin*time.Since(began).Minutes()
	row.CallsPerChange = max(0, extraCalls/float64(changes))
	row.MedianMs, row.LastMs, row.WorstMs = median(medians), median(lasts), slices.Max(lasts)
	return nil
}

// measureChange writes one version and returns the times until each node has it in force, in
// milliseconds and ascending.
func (m *mesh) measureChange(ctx context.Context, version uint64) ([]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTarget)
	defer cancel()
	written := time.Now()
	if err := m.writeVersion(version); err != nil {
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
			return nil, fmt.Errorf("version %d is not in force on %d of %d nodes after %s: %w", version, len(waiting), len(m.Hosts), rolloutTarget, ErrTargetMissed)
		}
	}
	return times, nil
}

// writeVersion puts a version with its routes into the store, as an operator does.
func (m *mesh) writeVersion(version uint64) error {
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

// storeCalls returns the number of calls to the store so far, of all kinds.
func (m *mesh) storeCalls() int {
	n := 0
	for _, k := range m.Store.Calls() {
		n += k
	}
	return n
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
