package rollout

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report is the result of Run, with one row for each number of nodes.
type Report struct {
	Rows []Row `json:"rows"`
}

// checkTarget returns an error for the first row that misses the target.
func (r Report) checkTarget() error {
	for _, row := range r.Rows {
		if row.WorstMs > float64(rolloutTarget.Milliseconds()) {
			return fmt.Errorf("%d nodes: a version was in force on the last node after %.0f ms, target %s: %w", row.Nodes, row.WorstMs, rolloutTarget, ErrTargetMissed)
		}
	}
	return nil
}

// Print writes the rows as a table.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "nodes\tdata centres\tmiddle, ms\tlast, ms\tworst, ms\tcalls at start\tcalls at rest, a minute\tcalls a change\tcore a node")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%d\t%d\t%.0f\t%.0f\t%.0f\t%d\t%.0f\t%.1f\t%.4f\n", row.Nodes, row.DataCentres, row.MedianMs, row.LastMs, row.WorstMs,
			row.StartCalls, row.RestCallsPerMin, row.CallsPerChange, row.CorePerNode)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// Plot draws the rollout times against the number of nodes and saves them as a PNG file.
func (r Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "a version is in force"
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = "time after the write, ms"
	p.Y.Min = 0
	p.Legend.Top = true
	line := func(value func(Row) float64) plotter.XYs {
		points := make(plotter.XYs, len(r.Rows))
		for i, row := range r.Rows {
			points[i] = plotter.XY{X: float64(row.Nodes), Y: value(row)}
		}
		return points
	}
	err := plotutil.AddLinePoints(p,
		"middle node", line(func(row Row) float64 { return row.MedianMs }),
		"last node", line(func(row Row) float64 { return row.LastMs }))
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
