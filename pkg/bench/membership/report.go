package membershipbench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Slope is a line through a figure at the measured sizes, and its value at the
// target size.
type Slope struct {
	Figure      string `json:"figure"`
	DataCentres int    `json:"dataCentres"`
	// Shape says what the line runs over.
	Shape    Shape   `json:"shape"`
	Base     float64 `json:"base"`
	Factor   float64 `json:"factor"`
	AtTarget float64 `json:"atTarget"`
}

// Shape is how a figure depends on the number of nodes.
type Shape string

// The shapes.
const (
	// ShapeGrowing is base + factor*nodes, for what grows with the mesh.
	ShapeGrowing Shape = "base+factor*nodes"
	// ShapeShared is base + factor/nodes, for the work of the few leads of each
	// data centre, which the average over all nodes contains.
	ShapeShared Shape = "base+factor/nodes"
	// ShapeLargest is the largest measured value, for what does not depend on the
	// number of nodes.
	ShapeLargest Shape = "largest"
)

func (s Shape) over(nodes float64) float64 {
	if s == ShapeShared {
		return 1 / nodes
	}
	return nodes
}

// figure is one line of the slopes.
type figure struct {
	name  string
	shape Shape
	of    func(Row) float64
}

var figures = []figure{
	{figureBytes, ShapeShared, func(r Row) float64 { return r.SentBytesPerSecond + r.ReceivedBytesPerSecond }},
	{figureBusiest, ShapeLargest, func(r Row) float64 { return r.BusiestBytesPerSecond }},
	{"messages/s per node", ShapeShared, func(r Row) float64 { return r.MessagesPerSecond }},
	{"core % per node", ShapeShared, func(r Row) float64 { return r.CPUPercent }},
	{"heap KB per node", ShapeGrowing, func(r Row) float64 { return r.HeapKB }},
	{"platform calls/min", ShapeLargest, func(r Row) float64 { return r.PlatformCallsPerMinute }},
	{"update bytes per node", ShapeShared, func(r Row) float64 { return r.LeaveBytes }},
}

// The figures that the target bounds.
const (
	figureBytes   = "sent and received B/s per node"
	figureBusiest = "busiest node B/s"
)

func slopes(r Result) []Slope {
	var all []Slope
	for _, centres := range centresOf(r.Rows) {
		for _, f := range figures {
			all = append(all, f.slope(r.Rows, centres))
		}
	}
	return all
}

func (f figure) slope(rows []Row, centres int) Slope {
	var xs, ys []float64
	for _, row := range rows {
		if row.DataCentres == centres {
			xs = append(xs, f.shape.over(float64(row.Nodes)))
			ys = append(ys, f.of(row))
		}
	}
	if f.shape == ShapeLargest && len(ys) > 0 {
		largest := slices.Max(ys)
		return Slope{Figure: f.name, DataCentres: centres, Shape: f.shape, Base: largest, AtTarget: largest}
	}
	base, factor := fit(xs, ys)
	return Slope{
		Figure: f.name, DataCentres: centres, Shape: f.shape, Base: base, Factor: factor,
		AtTarget: base + factor*f.shape.over(TargetNodes),
	}
}

func centresOf(rows []Row) []int {
	var found []int
	seen := make(map[int]bool)
	for _, row := range rows {
		if !seen[row.DataCentres] {
			seen[row.DataCentres] = true
			found = append(found, row.DataCentres)
		}
	}
	return found
}

// fit returns the line of least squares through the points.
func fit(xs, ys []float64) (base, slope float64) {
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range xs {
		sumX += x
		sumY += ys[i]
		sumXX += x * x
		sumXY += x * ys[i]
	}
	n := float64(len(xs))
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return sumY / max(n, 1), 0
	}
	slope = (n*sumXY - sumX*sumY) / spread
	return (sumY - slope*sumX) / n, slope
}

// Print writes the result as tables.
func (r Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("nodes\tDCs\tseed\tdetect p50/p99/last s\tleaving p50/p99/last s\twith 5%% loss s\tB/update\tthird back s\tcut s\thealed s\tcalls to start\tcalls to return\t")
	for _, row := range r.Rows {
		line("%d\t%d\t%d\t%s\t%s\t%s\t%.0f\t%.2f\t%.2f\t%.2f\t%d\t%d\t", row.Nodes, row.DataCentres, row.Seed,
			row.Detect, row.Leave, row.LeaveLossy, row.LeaveBytes, row.Return, row.Cut, row.Heal,
			row.StartCalls, row.ReturnCalls)
	}
	line("\nat rest\tnodes\tDCs\tsent B/s\treceived B/s\tbusiest B/s\tmessages/s\tcore %%\theap KB\tplatform calls/min\t")
	for _, row := range r.Rows {
		line("in process\t%s", row.Rest)
	}
	for _, row := range r.Wire {
		line("TLS\t%s", row.Rest)
	}
	line("\nTLS\tnodes\tthird back s\t")
	for _, row := range r.Wire {
		line("\t%d\t%.2f\t", row.Nodes, row.Return)
	}
	line("\nway, with 5%% loss\tfanout\tleads\tnodes\tleaving p50/p99/last s\tB/update and node\t")
	for _, c := range r.Compared {
		line("%s\t%d\t%d\t%d\t%s\t%.0f\t", c.Dissemination, c.Fanout, c.Leads, c.Nodes, c.LeaveLossy, c.LeaveBytes)
	}
	line("\nslope\tDCs\tshape\tbase\tfactor\tat %d nodes\t", TargetNodes)
	for _, s := range r.Slopes {
		line("%s\t%d\t%s\t%.3f\t%.5f\t%.2f\t", s.Figure, s.DataCentres, s.Shape, s.Base, s.Factor, s.AtTarget)
	}
	c := r.Capacity
	line("\none node at %d nodes in %d data centres\t", c.Nodes, c.DataCentres)
	line("table\t%.1f MB\t", c.TableMB)
	line("one view\t%.1f MB\t%.2f ms\t", c.ViewMB, c.ViewMillis)
	line("take one record\t%.1f us\t", c.ApplyMicros)
	line("decisions of a probe interval\t%.0f us\t", c.TickMicros)
	line("join\t%.2f MB\t%d exchanges\tlargest message %d B\t", float64(c.JoinBytes)/(1<<20), c.JoinExchanges, c.LargestMessage)
	line("ping\t%d B\t", c.PingBytes)
	return t.Flush()
}

// String returns the three times in seconds.
func (s Spread) String() string { return fmt.Sprintf("%.3f/%.3f/%.3f", s.P50, s.P99, s.Last) }

// String returns the columns of one line.
func (r Rest) String() string {
	return fmt.Sprintf("%d\t%d\t%.0f\t%.0f\t%.0f\t%.2f\t%.3f\t%.0f\t%.1f\t", r.Nodes, r.DataCentres,
		r.SentBytesPerSecond, r.ReceivedBytesPerSecond, r.BusiestBytesPerSecond, r.MessagesPerSecond,
		r.CPUPercent, r.HeapKB, r.PlatformCallsPerMinute)
}

// plotResult draws the times of a leaving upstream over the number of nodes.
func plotResult(r Result, file string) error {
	p := plot.New()
	p.Title.Text = "Time until a leaving upstream is known on the last node"
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = "seconds"
	var lines []any
	for _, centres := range centresOf(r.Rows) {
		var plain, lossy plotter.XYs
		for _, row := range r.Rows {
			if row.DataCentres == centres {
				plain = append(plain, plotter.XY{X: float64(row.Nodes), Y: row.Leave.Last})
				lossy = append(lossy, plotter.XY{X: float64(row.Nodes), Y: row.LeaveLossy.Last})
			}
		}
		lines = append(lines,
			fmt.Sprintf("%d data centres", centres), plain,
			fmt.Sprintf("%d data centres, 5%% loss", centres), lossy)
	}
	if err := plotutil.AddScatters(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(20*vg.Centimeter, 12*vg.Centimeter, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
