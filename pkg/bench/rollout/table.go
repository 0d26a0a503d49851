package rollout

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the result as tables.
func (r Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "bundle of %d services and %d routes, one route changed; times from sign-off, bytes per node and change\n\n", r.Size.Services, r.Size.Routes)
	_, _ = fmt.Fprintln(t, "scenario\tway\tnodes\tDCs\tseed\tp50 ms\tp99 ms\tlast ms\tdelta B\ttotal B\tpayload\toverhead\trepair\tcalls\t")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			row.Scenario, row.Way, row.Nodes, row.DataCentres, row.Seed, row.P50, row.P99, row.Last,
			row.DeltaBytes, row.TotalBytes, row.PayloadBytes, row.OverheadBytes, row.RepairBytes, row.PlatformCalls)
	}
	_, _ = fmt.Fprintln(t, "\nat rest\tnodes\tDCs\tB/s\troll-out B/s\t% of a core\theap KB\tcalls/s\t")
	for _, row := range r.Rows {
		if row.Rest == nil {
			continue
		}
		_, _ = fmt.Fprintf(t, "\t%d\t%d\t%.0f\t%.1f\t%.3f\t%.0f\t%.2f\t\n", row.Nodes, row.DataCentres,
			row.Rest.BytesPerSecond, row.Rest.RolloutBytesPerSecond, row.Rest.CorePercent, row.Rest.MemoryBytes/1024, row.Rest.PlatformCallsPerSecond)
	}
	_, _ = fmt.Fprintf(t, "\nextrapolated\tDCs\tby\tat 0\tslope\tat %d\t\n", targetNodes)
	for _, f := range r.Fits {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%.3g\t%.3g\t%.4g\t\n", f.Figure, f.DataCentres, f.By, f.Intercept, f.Slope, f.AtTarget)
	}
	return t.Flush()
}
