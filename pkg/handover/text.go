package handover

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// maxRecentShown is the number of earlier versions that are listed.
	maxRecentShown = 3
	// maxHostsShown is the number of unreachable hosts that are listed by name.
	maxHostsShown = 5
	// bundleIDDigits is the number of leading digits that are shown of a bundle id.
	bundleIDDigits = 12
)

// WriteText writes the report as a text table that fits on one screen.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	r.writeInForce(t)
	r.writeStore(t)
	r.writeRecent(t)
	r.writeProblems(t)
	r.writeHosts(t)
	return t.Flush()
}

// writeInForce writes the version in force and who accepted and prepared it.
func (r *Report) writeInForce(w io.Writer) {
	a := r.Record.Acceptance
	switch {
	case r.Version == 0:
		writeRow(w, "in force", "no version yet")
		return
	case r.RecordError != "":
		writeRow(w, "in force", fmt.Sprintf("version %d, its record cannot be read: %s", r.Version, r.RecordError))
	case a.Version != r.Version:
		writeRow(w, "in force", fmt.Sprintf("version %d, written without a sign-off", r.Version))
	default:
		writeRow(w, "in force", fmt.Sprintf("version %d, bundle %.*s", a.Version, bundleIDDigits, a.Bundle))
		writeRow(w, "accepted by", fmt.Sprintf("%s at %s (%s ago)", a.Acceptor, formatTime(a.Time), formatAge(r.Time, a.Time)))
		writeRow(w, "prepared by", a.Preparer)
		if a.Reason != "" {
			writeRow(w, "reason", a.Reason)
		}
	}
	writeRow(w, "on this node", fmt.Sprintf("%s in %s, for %s", r.Node, r.DataCentre, formatAge(r.Time, r.Applied)))
}

// writeStore writes when the store last responded and which node reads it.
func (r *Report) writeStore(w io.Writer) {
	switch {
	case r.StoreTime.IsZero():
		writeRow(w, "store", "no node has reported a response yet")
	default:
		writeRow(w, "store", fmt.Sprintf("answered %s ago, read by %s", formatAge(r.Time, r.StoreTime), r.Lead))
	}
	if !r.Restored.IsZero() {
		writeRow(w, "", fmt.Sprintf("restored from an older copy %s ago; bundle status tells whether it lacks the version in force", formatAge(r.Time, r.Restored)))
	}
}

// writeRecent writes the versions before the one in force, the newest first.
func (r *Report) writeRecent(w io.Writer) {
	for _, a := range r.Record.Recent[:min(len(r.Record.Recent), maxRecentShown)] {
		writeRow(w, "before", fmt.Sprintf("version %d, bundle %.*s, accepted by %s at %s", a.Version, bundleIDDigits, a.Bundle, a.Acceptor, formatTime(a.Time)))
	}
}

// writeProblems writes the last rejected configuration, the quarantined requests and the
// unreachable hosts.
func (r *Report) writeProblems(w io.Writer) {
	if r.Refused != nil {
		writeRow(w, "refused", fmt.Sprintf("revision %d from %s at %s: %s", r.Refused.Revision, r.Refused.Source, formatTime(r.Refused.Time), r.Refused.Error))
	}
	for _, s := range r.Suspects {
		writeRow(w, "quarantined", fmt.Sprintf("request %s after %d crashes, until %s", s.Fingerprint, s.Crashes, formatTime(s.Until)))
	}
	if n := len(r.Unreachable); n > 0 {
		text := strings.Join(r.Unreachable[:min(n, maxHostsShown)], ", ")
		if n > maxHostsShown {
			text += fmt.Sprintf(" and %d more", n-maxHostsShown)
		}
		writeRow(w, "unreachable", text)
	}
}

// writeHosts writes the number of hosts in each state.
func (r *Report) writeHosts(w io.Writer) {
	parts := make([]string, 0, len(r.Hosts))
	for state, n := range r.Hosts {
		parts = append(parts, fmt.Sprintf("%d %s", n, state))
	}
	slices.Sort(parts)
	writeRow(w, "hosts", strings.Join(parts, ", "))
}

// writeRow writes one row of the table. It ignores the error of the tabwriter, which
// buffers the rows: Flush in WriteText returns the error.
func writeRow(w io.Writer, label, text string) {
	_, _ = fmt.Fprintf(w, "%s\t%s\n", label, text)
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }

func formatAge(now, then time.Time) string { return now.Sub(then).Round(time.Second).String() }
