package rollout

import (
	"fmt"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws the time of the last node over the number of nodes as a PNG file.
func Plot(r Result, file string) error {
	p := plot.New()
	p.Title.Text = "Convergence"
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = "sign-off to last node, ms"
	p.Legend.Top = true
	p.Legend.Left = true
	lines := make(map[string]plotter.XYs)
	for _, row := range r.Rows {
		name := fmt.Sprintf("%s, %s, %d DCs", row.Way, row.Scenario, row.DataCentres)
		lines[name] = append(lines[name], plotter.XY{X: float64(row.Nodes), Y: row.Last})
	}
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	sort.Strings(names)
	var args []any
	for _, name := range names {
		args = append(args, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(24*vg.Centimeter, 16*vg.Centimeter, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
