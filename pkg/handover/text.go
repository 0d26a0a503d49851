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
	// shownRecent is the number of earlier versions on the page.
	shownRecent = 3
	// shownNames is the number of hosts that are named in one line.
	shownNames = 5
	// shortID is the number of digits of a bundle id on the page.
	shortID = 12
)

// WriteText writes the report as one screen of text.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	r.writeInForce(t)
	r.writeStore(t)
	r.writeRecent(t)
	r.writeTrouble(t)
	r.writeHosts(t)
	return t.Flush()
}

func (r *Report) writeInForce(w io.Writer) {
	a := r.Record.Acceptance
	switch {
	case r.Version == 0:
		line(w, "in force", "no version yet")
		return
	case r.RecordError != "":
		line(w, "in force", fmt.Sprintf("version %d, its record cannot be read: %s", r.Version, r.RecordError))
	case a.Version != r.Version:
		line(w, "in force", fmt.Sprintf("version %d, written without a sign-off", r.Version))
	default:
		line(w, "in force", fmt.Sprintf("version %d, bundle %.*s", a.Version, shortID, a.Bundle))
		line(w, "accepted by", fmt.Sprintf("%s at %s (%s ago)", a.Acceptor, stamp(a.Time), age(r.Time, a.Time)))
		line(w, "prepared by", a.Preparer)
		if a.Reason != "" {
			line(w, "reason", a.Reason)
		}
	}
	line(w, "on this node", fmt.Sprintf("%s in %s, for %s", r.Node, r.DataCentre, age(r.Time, r.Applied)))
}

func (r *Report) writeStore(w io.Writer) {
	switch {
	case r.StoreTime.IsZero():
		line(w, "store", "no node has said that it answers")
	default:
		line(w, "store", fmt.Sprintf("answered %s ago, read by %s", age(r.Time, r.StoreTime), r.Lead))
	}
}

func (r *Report) writeRecent(w io.Writer) {
	for _, a := range r.Record.Recent[:min(len(r.Record.Recent), shownRecent)] {
		line(w, "before", fmt.Sprintf("version %d, bundle %.*s, accepted by %s at %s", a.Version, shortID, a.Bundle, a.Acceptor, stamp(a.Time)))
	}
}

func (r *Report) writeTrouble(w io.Writer) {
	if r.Refused != nil {
		line(w, "refused", fmt.Sprintf("revision %d from %s at %s: %s", r.Refused.Revision, r.Refused.Source, stamp(r.Refused.Time), r.Refused.Error))
	}
	for _, s := range r.Suspects {
		line(w, "quarantined", fmt.Sprintf("request %s after %d crashes, until %s", s.Fingerprint, s.Crashes, stamp(s.Until)))
	}
	if n := len(r.Unreachable); n > 0 {
		text := strings.Join(r.Unreachable[:min(n, shownNames)], ", ")
		if n > shownNames {
			text += fmt.Sprintf(" and %d more", n-shownNames)
		}
		line(w, "unreachable", text)
	}
}

func (r *Report) writeHosts(w io.Writer) {
	parts := make([]string, 0, len(r.Hosts))
	for state, n := range r.Hosts {
		parts = append(parts, fmt.Sprintf("%d %s", n, state))
	}
	slices.Sort(parts)
	line(w, "hosts", strings.Join(parts, ", "))
}

// line writes one row; an error of the writer shows when it is flushed.
func line(w io.Writer, label, text string) {
	_, _ = fmt.Fprintf(w, "%s\t%s\n", label, text)
}

func stamp(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }

func age(now, then time.Time) string { return now.Sub(then).Round(time.Second).String() }
