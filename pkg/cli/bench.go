package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bench/latency"
	"github.com/tarragondrum/tarragondrum/pkg/bench/replay"
	"github.com/tarragondrum/tarragondrum/pkg/bench/rollout"
)

// benchCmd is the group of measurements.
type benchCmd struct {
	Replay  *benchReplayCmd  `arg:"subcommand:replay" help:"replay the worst loads of a host against its decisions and plain ones"`
	Rollout *benchRolloutCmd `arg:"subcommand:rollout" help:"measure how soon a version is in force, and what a mesh costs at rest"`
	Latency *benchLatencyCmd `arg:"subcommand:latency" help:"measure what the two nodes of a request add to its time and take of the processor"`
}

// benchReplayCmd replays recorded loads of a host.
type benchReplayCmd struct {
	Loads []string `arg:"--loads" placeholder:"NAME" help:"what to replay; by default everything"`
	Plots string   `arg:"--plots" placeholder:"DIR" help:"draw a PNG file for each load into this folder"`
	JSON  bool     `arg:"--json" help:"print JSON"`
}

func (*benchReplayCmd) example() string {
	return "tarragondrum bench replay --plots .\n  loads: " + strings.Join(replay.Names(), " ")
}

func (c *benchReplayCmd) run(_ context.Context, env Env) int {
	rows, err := replay.Run(c.Loads)
	if errors.Is(err, replay.ErrUnknownLoad) {
		return env.fail(ExitUsage, err)
	}
	report := replay.Report{Rows: rows}
	if c.Plots != "" {
		if plotErr := report.Plot(c.Plots); plotErr != nil {
			return env.fail(ExitFailed, plotErr)
		}
	}
	return env.report(report, c.JSON, err)
}

// benchRolloutCmd measures roll-outs on meshes of several sizes.
type benchRolloutCmd struct {
	Nodes       []int  `arg:"--nodes" help:"numbers of nodes; by default 10 30 60"`
	DataCentres int    `arg:"--data-centres" default:"4" help:"number of data centres"`
	Routes      int    `arg:"--routes" default:"200" help:"routes of each version"`
	Changes     int    `arg:"--changes" default:"4" help:"versions that are written"`
	Plot        string `arg:"--plot" placeholder:"FILE" help:"draw the result as PNG"`
	JSON        bool   `arg:"--json" help:"print JSON"`
}

func (*benchRolloutCmd) example() string {
	return "tarragondrum bench rollout --nodes 10 60 --plot rollout.png"
}

func (c *benchRolloutCmd) run(ctx context.Context, env Env) int {
	if len(c.Nodes) == 0 {
		c.Nodes = []int{10, 30, 60}
	}
	if c.DataCentres < 1 || c.Routes < 1 || c.Changes < 1 || slices.Min(c.Nodes) < 1 {
		return env.exit(usagef("give at least one node, data centre, route and change"))
	}
	report, err := rollout.Run(ctx, rollout.Options{
		Nodes: c.Nodes, DataCentres: c.DataCentres, Routes: c.Routes, Changes: c.Changes,
		Progress: func(r rollout.Row) { _, _ = fmt.Fprintf(env.Stderr, "%d nodes: last %.0f ms\n", r.Nodes, r.LastMs) },
	})
	if err == nil && c.Plot != "" {
		err = report.Plot(c.Plot)
	}
	return env.report(report, c.JSON, err)
}

// benchLatencyCmd measures the latency and processor time that the nodes add.
type benchLatencyCmd struct {
	Rates   []int `arg:"--rates" help:"requests a second; by default 20 160 500"`
	Seconds int   `arg:"--seconds" default:"10" help:"length of each measurement"`
	JSON    bool  `arg:"--json" help:"print JSON"`
}

func (*benchLatencyCmd) example() string { return "tarragondrum bench latency --rates 160" }

func (c *benchLatencyCmd) run(ctx context.Context, env Env) int {
	if len(c.Rates) == 0 {
		c.Rates = []int{20, 160, 500}
	}
	if c.Seconds < 1 || slices.Min(c.Rates) < 1 {
		return env.exit(usagef("give at least one second and one request per second"))
	}
	report, err := latency.Run(ctx, latency.Options{Rates: c.Rates, Length: time.Duration(c.Seconds) * time.Second})
	return env.report(report, c.JSON, err)
}

// printer is a measurement result that can be printed.
type printer interface {
	// Print writes the result as tables.
	Print(w io.Writer) error
}

// report prints a result, also a partial one, and returns the exit code. It fails if
// the run or the printing failed.
func (e Env) report(result printer, asJSON bool, runErr error) int {
	write := func() error { return result.Print(e.Stdout) }
	if asJSON {
		write = func() error { return e.printJSON(result) }
	}
	if err := errors.Join(write(), runErr); err != nil {
		return e.fail(ExitFailed, err)
	}
	return ExitOK
}
