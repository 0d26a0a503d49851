// Package membershipbench measures the membership: how fast failures and leaving
// upstreams are known, what it costs at rest, and what follows for the target
// size. It runs the real node code of many nodes in one process.
package membershipbench

import (
	"fmt"
	"io"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/gossip"
)

// The size for which the system is designed.
const (
	TargetNodes       = 8200
	TargetDataCentres = 12
)

// Options selects what is measured.
type Options struct {
	// Nodes and DataCentres are the sizes; each is combined with each.
	Nodes       []int
	DataCentres []int
	// Runs is the number of repetitions, each with the next seed.
	Runs int
	Seed uint64
	// Rest is the time for which a mesh at rest is observed.
	Rest time.Duration
	// Samples is the number of leaving upstreams of a run.
	Samples int
	// WireNodes are the sizes at which a mesh at rest is also measured over the
	// network transport with TLS on loopback; empty for none.
	WireNodes []int
	// Compare measures the other ways of dissemination at the largest size too.
	Compare bool
	// Plot is the name of a PNG file; empty for none.
	Plot string
	// Progress receives a line per step; nil for none.
	Progress io.Writer
}

// DefaultOptions returns the sizes that the design was measured at.
func DefaultOptions() Options {
	return Options{
		Nodes:       []int{25, 50, 100, 200},
		DataCentres: []int{3, 4, 12},
		Runs:        2,
		Seed:        1,
		Rest:        10 * time.Second,
		Samples:     10,
		WireNodes:   []int{25, 50, 100},
		Compare:     true,
	}
}

// Result is everything that was measured.
type Result struct {
	Seed     uint64    `json:"seed"`
	Rows     []Row     `json:"rows"`
	Wire     []WireRow `json:"wire"`
	Compared []Compare `json:"compared"`
	Slopes   []Slope   `json:"slopes"`
	Capacity Capacity  `json:"capacity"`
}

// Row is one run at one size.
type Row struct {
	Rest
	Seed uint64 `json:"seed"`
	// Detect is the time until a killed node is failed on a node.
	Detect Spread `json:"detect"`
	// Leave is the time until a leaving upstream is known on a node; LeaveLossy is
	// the same with 5% of all messages lost.
	Leave      Spread `json:"leave"`
	LeaveLossy Spread `json:"leaveLossy"`
	// LeaveBytes is what the update of one leaving upstream costs per node.
	LeaveBytes float64 `json:"leaveBytesPerNode"`
	// Return is the time from the common start of a killed third until all nodes
	// see each other alive.
	Return float64 `json:"returnSeconds"`
	// StartCalls and ReturnCalls are the platform calls of all nodes until the mesh
	// was whole, at its start and when the killed third returned.
	StartCalls  uint64 `json:"startPlatformCalls"`
	ReturnCalls uint64 `json:"returnPlatformCalls"`
	// Cut and Heal are the times until every node knows that a data centre is cut
	// off, and until every node sees all others alive again.
	Cut  float64 `json:"cutSeconds"`
	Heal float64 `json:"healSeconds"`
}

// Rest is what a mesh costs when nothing changes.
type Rest struct {
	Nodes                  int     `json:"nodes"`
	DataCentres            int     `json:"dataCentres"`
	SentBytesPerSecond     float64 `json:"sentBytesPerSecondAndNode"`
	ReceivedBytesPerSecond float64 `json:"receivedBytesPerSecondAndNode"`
	BusiestBytesPerSecond  float64 `json:"busiestNodeBytesPerSecond"`
	MessagesPerSecond      float64 `json:"messagesPerSecondAndNode"`
	CPUPercent             float64 `json:"cpuPercentOfCorePerNode"`
	HeapKB                 float64 `json:"heapKBPerNode"`
	PlatformCallsPerMinute float64 `json:"platformCallsPerMinute"`
}

// WireRow is one size over the network transport with TLS on loopback.
type WireRow struct {
	Rest
	// Return is the time from the common start of a killed third until all nodes
	// see each other alive.
	Return float64 `json:"returnSeconds"`
}

// Compare is one way of dissemination at one size, with loss.
type Compare struct {
	Dissemination gossip.Dissemination `json:"dissemination"`
	Fanout        int                  `json:"fanout"`
	Leads         int                  `json:"leads"`
	Nodes         int                  `json:"nodes"`
	LeaveLossy    Spread               `json:"leaveLossy"`
	LeaveBytes    float64              `json:"leaveBytesPerNode"`
}

// Run measures everything that the options ask for.
func Run(o Options) (Result, error) {
	result := Result{Seed: o.Seed}
	// The capacity comes first, while no mesh that ends changes the heap.
	var err error
	if result.Capacity, err = measureCapacity(TargetNodes, TargetDataCentres); err != nil {
		return result, err
	}
	for _, centres := range o.DataCentres {
		for _, nodes := range o.Nodes {
			for run := range o.Runs {
				o.report("%d nodes, %d data centres, run %d", nodes, centres, run+1)
				row, err := measure(o, nodes, centres, o.Seed+uint64(run))
				if err != nil {
					return result, fmt.Errorf("%d nodes in %d data centres: %w", nodes, centres, err)
				}
				result.Rows = append(result.Rows, row)
			}
		}
	}
	if err := result.addWire(o); err != nil {
		return result, err
	}
	if err := result.addCompared(o); err != nil {
		return result, err
	}
	result.Slopes = slopes(result)
	if o.Plot != "" {
		return result, plotResult(result, o.Plot)
	}
	return result, nil
}

func (r *Result) addWire(o Options) error {
	for _, nodes := range o.WireNodes {
		o.report("%d nodes over TLS", nodes)
		row, err := measureWire(o, nodes, 3)
		if err != nil {
			return fmt.Errorf("%d nodes over TLS: %w", nodes, err)
		}
		r.Wire = append(r.Wire, row)
	}
	return nil
}

// addCompared measures the alternatives that were weighed.
func (r *Result) addCompared(o Options) error {
	if !o.Compare || len(o.Nodes) == 0 {
		return nil
	}
	nodes := o.Nodes[len(o.Nodes)-1]
	for _, c := range []Compare{
		{Dissemination: gossip.DisseminationTree, Fanout: 4, Leads: 3},
		{Dissemination: gossip.DisseminationTree, Fanout: 2, Leads: 3},
		{Dissemination: gossip.DisseminationTree, Fanout: 8, Leads: 3},
		{Dissemination: gossip.DisseminationTree, Fanout: 4, Leads: 1},
		{Dissemination: gossip.DisseminationGossip, Fanout: 4, Leads: 3},
		{Dissemination: gossip.DisseminationExchange, Fanout: 4, Leads: 3},
	} {
		c.Nodes = nodes
		o.report("%s with fanout %d and %d leads, %d nodes", c.Dissemination, c.Fanout, c.Leads, nodes)
		if err := c.measure(o); err != nil {
			return fmt.Errorf("dissemination %s: %w", c.Dissemination, err)
		}
		r.Compared = append(r.Compared, c)
	}
	return nil
}

func (o Options) report(format string, args ...any) {
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}
