// Package rollout measures how an accepted version reaches every node: the time
// from sign-off to the last node, the bytes per node and the calls to the
// platform. The nodes run the real membership and roll-out in one process over
// in-memory transports; delay and loss come from package fault.
package rollout

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Scenario is what happens around the sign-off.
type Scenario string

// The scenarios.
const (
	ScenarioPlain Scenario = "plain"
	// ScenarioLoss loses 5% of the messages.
	ScenarioLoss Scenario = "loss"
	// ScenarioHerd kills a third of the nodes at the sign-off; they return together
	// one second later.
	ScenarioHerd Scenario = "herd"
	// ScenarioPlatformDown takes the platform down right after the sign-off.
	ScenarioPlatformDown Scenario = "platform-down"
	// ScenarioCut keeps one data centre from the platform.
	ScenarioCut Scenario = "cut"
)

// Scenarios lists every scenario in a fixed order.
func Scenarios() []Scenario {
	return []Scenario{ScenarioPlain, ScenarioLoss, ScenarioHerd, ScenarioPlatformDown, ScenarioCut}
}

// Options say what is measured. Zero fields take the defaults.
type Options struct {
	Nodes       []int
	DataCentres []int
	Scenarios   []Scenario
	// Ways are measured in ScenarioPlain and ScenarioLoss beside WayTree.
	Ways []Way
	Size Size
	// Changes is the number of sign-offs in each row.
	Changes int
	// Repeats is the number of runs with different seeds.
	Repeats int
	Seed    uint64
	// Rest is the time for which nodes with nothing to do are watched.
	Rest time.Duration
	// Calm is the time between the start of the nodes and that watch, in which
	// the members' first exchanges end.
	Calm time.Duration
	// Limit bounds the wait for the last node.
	Limit time.Duration
	// Plot is the file name of a PNG; empty draws none.
	Plot string
	// Progress, if not nil, is told each row as it is measured.
	Progress func(Row)
}

func (o Options) withDefaults() Options {
	if len(o.Nodes) == 0 {
		o.Nodes = []int{25, 50, 100, 200}
	}
	if len(o.DataCentres) == 0 {
		o.DataCentres = []int{3, 4, 12}
	}
	if len(o.Scenarios) == 0 {
		o.Scenarios = Scenarios()
	}
	if o.Ways == nil {
		o.Ways = []Way{WayStar, WayPull, WayWatch}
	}
	if o.Size == (Size{}) {
		o.Size = SizeTarget
	}
	if o.Changes == 0 {
		o.Changes = 3
	}
	if o.Repeats == 0 {
		o.Repeats = 1
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Rest == 0 {
		o.Rest = 4 * time.Second
	}
	if o.Calm == 0 {
		o.Calm = 10 * time.Second
	}
	if o.Limit == 0 {
		o.Limit = 30 * time.Second
	}
	return o
}

// Row is one measurement. Bytes are per node and change.
type Row struct {
	Scenario    Scenario `json:"scenario"`
	Way         Way      `json:"way"`
	Nodes       int      `json:"nodes"`
	DataCentres int      `json:"dataCentres"`
	Seed        uint64   `json:"seed"`
	// P50, P99 and Last are the times from sign-off in milliseconds. Last is the
	// worst of all changes.
	P50  float64 `json:"p50Ms"`
	P99  float64 `json:"p99Ms"`
	Last float64 `json:"lastMs"`
	// DeltaBytes is the size of the compressed, signed delta.
	DeltaBytes float64 `json:"deltaBytes"`
	// TotalBytes is the sum of payload, overhead and repair.
	TotalBytes    float64 `json:"totalBytes"`
	PayloadBytes  float64 `json:"payloadBytes"`
	OverheadBytes float64 `json:"overheadBytes"`
	RepairBytes   float64 `json:"repairBytes"`
	// PlatformCalls is the number of calls of all nodes for each change.
	PlatformCalls float64 `json:"platformCalls"`
	Seconds       float64 `json:"seconds"`
	Rest          *Rest   `json:"rest,omitempty"`
}

// Rest is what nodes use when nothing changes, membership included.
type Rest struct {
	// BytesPerSecond is sent by one node.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// RolloutBytesPerSecond is the part of the roll-out.
	RolloutBytesPerSecond float64 `json:"rolloutBytesPerSecond"`
	// CorePercent is the processor time of one node.
	CorePercent float64 `json:"corePercent"`
	// MemoryBytes is the heap of the process divided by its nodes.
	MemoryBytes float64 `json:"memoryBytes"`
	// PlatformCallsPerSecond is the sum over all nodes.
	PlatformCallsPerSecond float64 `json:"platformCallsPerSecond"`
}

// Result is everything that was measured.
type Result struct {
	Size  Size  `json:"size"`
	Rows  []Row `json:"rows"`
	Fits  []Fit `json:"fits"`
	Cores int   `json:"cores"`
}

// Run measures every row. It fails if a node misses a version or an invariant
// is violated.
func Run(o Options) (Result, error) {
	o = o.withDefaults()
	result := Result{Size: o.Size, Cores: runtime.NumCPU()}
	for repeat := range o.Repeats {
		seeded := o
		seeded.Seed = o.Seed + uint64(repeat)
		if err := seeded.rows(&result); err != nil {
			return result, err
		}
	}
	result.Fits = fits(result.Rows)
	if o.Plot != "" {
		return result, Plot(result, o.Plot)
	}
	return result, nil
}

func (o Options) rows(result *Result) error {
	for _, dcs := range o.DataCentres {
		for _, n := range o.Nodes {
			if err := o.rowsAt(result, n, dcs); err != nil {
				return fmt.Errorf("%d nodes in %d data centres: %w", n, dcs, err)
			}
		}
	}
	return nil
}

func (o Options) rowsAt(result *Result, n, dcs int) error {
	for _, s := range o.Scenarios {
		if err := o.add(result, func() (Row, error) { return measure(o, s, WayTree, n, dcs) }); err != nil {
			return err
		}
	}
	for _, way := range o.Ways {
		run := func() (Row, error) { return measure(o, ScenarioPlain, way, n, dcs) }
		if way == WayWatch {
			run = func() (Row, error) { return watchEverywhere(o, n, dcs) }
		}
		if err := o.add(result, run); err != nil {
			return err
		}
	}
	return nil
}

func (o Options) add(result *Result, run func() (Row, error)) error {
	row, err := run()
	row.Seed = o.Seed
	if err != nil {
		return fmt.Errorf("%s, %s: %w", row.Scenario, row.Way, err)
	}
	result.Rows = append(result.Rows, row)
	if o.Progress != nil {
		o.Progress(row)
	}
	return nil
}

// fillTimes sets the percentiles of the times from sign-off.
func (r *Row) fillTimes(times []time.Duration) {
	slices.Sort(times)
	r.P50 = percentile(times, 0.50)
	r.P99 = percentile(times, 0.99)
	r.Last = percentile(times, 1)
}

// percentile returns a percentile of sorted times in milliseconds.
func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	i := int(math.Ceil(p*float64(len(sorted)))) - 1
	return float64(sorted[max(i, 0)].Microseconds()) / 1000
}

// pollInterval is the resolution of convergence times.
const pollInterval = time.Millisecond

// sighting is the outcome of a watch over the versions of all nodes.
type sighting struct {
	times []time.Time
	err   error
}

// watchVersions looks at the versions of all nodes until n of them are at least
// v, and sends the times at which each one was seen to be.
func watchVersions(applied func() []model.Version, v model.Version, n int, limit time.Duration) <-chan sighting {
	result := make(chan sighting, 1)
	go func() {
		var s sighting
		deadline := time.Now().Add(limit)
		for len(s.times) < n {
			now := time.Now()
			done := reached(applied(), v)
			for len(s.times) < done {
				s.times = append(s.times, now)
			}
			if now.After(deadline) {
				s.err = fmt.Errorf("version %d is missing on %d of %d nodes after %s", v, n-done, n, limit)
				break
			}
			time.Sleep(pollInterval)
		}
		result <- s
	}()
	return result
}

func reached(versions []model.Version, v model.Version) int {
	done := 0
	for _, version := range versions {
		if version >= v {
			done++
		}
	}
	return done
}

// since returns the times from the sign-off.
func (s sighting) since(signed time.Time) []time.Duration {
	list := make([]time.Duration, len(s.times))
	for i, t := range s.times {
		list[i] = t.Sub(signed)
	}
	return list
}

// processorTime returns the processor time of the process.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
