package calls

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tarragondrum/tarragondrum/pkg/history"
)

// Result is everything that a run measured.
type Result struct {
	Seed      uint64           `json:"seed"`
	Path      *PathResult      `json:"path,omitempty"`
	Scenarios []ScenarioResult `json:"scenarios,omitempty"`
	// Failures names the promises that were broken.
	Failures []string `json:"failures,omitempty"`
}

// ScenarioResult is one scenario under one policy.
type ScenarioResult struct {
	Name   string `json:"name"`
	Policy Policy `json:"policy"`
	// Classes holds the calls of each traffic class, or kind of call in one.
	Classes map[string]*ClassResult `json:"classes"`
	Orders  history.Report          `json:"orders"`
	// PlannedStopCuts counts calls cut by a planned stop.
	PlannedStopCuts int `json:"plannedStopCuts"`
	// WrongReplies counts replies that belong to another call.
	WrongReplies int `json:"wrongReplies"`
	// WrongReply describes the first of them.
	WrongReply string `json:"wrongReply,omitempty"`
	// Crashes counts the crashes of upstreams.
	Crashes uint64 `json:"crashes"`
	// PlatformWrites counts the writes that the platform was asked for.
	PlatformWrites uint64 `json:"platformWrites"`
}

// ClassResult is what the callers of one class saw. A call is what its caller
// wants done; it may take several attempts.
type ClassResult struct {
	Calls int `json:"calls"`
	// Good counts calls that got a whole and right answer in time.
	Good int `json:"good"`
	// Attempts counts what callers sent, Refusals the answers by reason.
	Attempts int            `json:"attempts"`
	Refusals map[string]int `json:"refusals,omitempty"`
	// P50, P99 and P999 are latencies of good calls from their planned start.
	P50  time.Duration `json:"p50"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`

	latency *hdrhistogram.Histogram
}

const (
	// maxLatency and latencyDigits size the histograms, in microseconds.
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency))
}

func quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

func newClassResult() *ClassResult {
	return &ClassResult{Refusals: make(map[string]int), latency: newHistogram()}
}

// finish works out the quantiles.
func (c *ClassResult) finish() {
	c.P50 = quantile(c.latency, 50)
	c.P99 = quantile(c.latency, 99)
	c.P999 = quantile(c.latency, 99.9)
}

// GoodShare returns the share of calls that ended well, between 0 and 1.
func (c *ClassResult) GoodShare() float64 {
	if c.Calls == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Calls)
}

// Print prints the result as tables.
func (r Result) Print(w io.Writer) error {
	if r.Path != nil {
		if err := r.Path.write(w); err != nil {
			return err
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "scenario\tpolicy\tclass\tcalls\tgood\tp50\tp99\ttwice\tnot-run ran\tcut\tcrashes\trefusals")
	for _, s := range r.Scenarios {
		for _, class := range slices.Sorted(maps.Keys(s.Classes)) {
			c := s.Classes[class]
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f%%\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", s.Name, s.Policy, class, c.Calls, 100*c.GoodShare(),
				rounded(c.P50), rounded(c.P99), s.Orders.RunTwice+s.Orders.IntentTwice, s.Orders.NotRunRan, s.PlannedStopCuts, s.Crashes, refusals(c.Refusals))
		}
	}
	for _, f := range r.Failures {
		_, _ = fmt.Fprintln(t, "FAILED:", f)
	}
	return t.Flush()
}

func rounded(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

func refusals(byReason map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(byReason)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, byReason[name]))
	}
	return strings.Join(parts, " ")
}
