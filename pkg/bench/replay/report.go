package replay

import (
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report holds the outcomes of a run.
type Report struct {
	Rows []Row `json:"rows"`
}

// Print writes the rows as a table, followed by a description of each load.
func (r Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "load\tshare\tplain\tat least\t\tcounts")
	for _, row := range r.Rows {
		verdict := "ok"
		if !row.Passed {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%s\t%s\n", row.Name, row.Figure, row.Plain, row.Bound, verdict, row.Counts)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print table of loads: %w", err)
	}
	for _, row := range r.Rows {
		if _, err := fmt.Fprintf(w, "%s: %s\n", row.Name, row.Description); err != nil {
			return fmt.Errorf("print descriptions of loads: %w", err)
		}
	}
	return nil
}

// Plot writes a PNG file for each row to a folder, named after the load, with the counts by
// second.
func (r Report) Plot(folder string) error {
	for _, row := range r.Rows {
		if err := plotRow(row, filepath.Join(folder, row.Name+".png")); err != nil {
			return fmt.Errorf("plot %s: %w", row.Name, err)
		}
	}
	return nil
}

// plotRow draws the counts of a row and of its baseline.
func plotRow(row Row, file string) error {
	p := plot.New()
	p.Title.Text = row.Description
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "answers in time per second"
	if row.MissesInPlot {
		p.Y.Label.Text = "requests to a full or silent upstream per second"
	}
	p.Y.Min = 0
	p.Legend.Top = true
	if err := plotutil.AddLines(p, "tarragondrum", points(row.Seconds), "plain", points(row.PlainSeconds)); err != nil {
		return err
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, file)
}

// points returns the counts as a line, one point for each second.
func points(counts []int) plotter.XYs {
	line := make(plotter.XYs, len(counts))
	for i, n := range counts {
		line[i] = plotter.XY{X: float64(i), Y: float64(n)}
	}
	return line
}
