package handover

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
)

const (
	// shownRecent is the number of earlier versions on the page.
	shownRecent = 3
	// shownLaggards is the number of laggards named per data centre.
	shownLaggards = 3
	// shortID is the number of digits of a bundle id on the page.
	shortID = 12
)

// WriteText writes the report as one screen of text.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	r.writeInForce(t)
	r.writePlatform(t)
	r.writeRecent(t)
	r.writeWaiting(t)
	r.writeProgress(t)
	r.writeTrouble(t)
	r.writeMembers(t)
	return t.Flush()
}

func (r Report) writeInForce(w io.Writer) {
	a := r.InForce
	if a.Version == 0 {
		line(w, "in force", "no bundle yet")
		return
	}
	line(w, "in force", fmt.Sprintf("version %d, bundle %s", a.Version, short(string(a.Bundle))))
	line(w, "accepted by", fmt.Sprintf("%s at %s (%s ago)", a.Acceptor, stamp(a.Time), age(r.Time, a.Time)))
	line(w, "prepared by", a.Preparer)
	if a.Reason != "" {
		line(w, "reason", a.Reason)
	}
	if r.Applied != a.Version {
		line(w, "this node", fmt.Sprintf("%s serves version %d", r.Node, r.Applied))
	}
}

func (r Report) writePlatform(w io.Writer) {
	switch {
	case r.PlatformError == "":
		line(w, "answer", fmt.Sprintf("from node %s in %s, confirmed by the platform now", r.Node, r.DataCentre))
	case r.PlatformTime.IsZero():
		line(w, "answer", fmt.Sprintf("from node %s in %s; the platform has never answered: %s", r.Node, r.DataCentre, r.PlatformError))
	default:
		line(w, "answer", fmt.Sprintf("from node %s in %s; the platform last answered %s ago: %s", r.Node, r.DataCentre, age(r.Time, r.PlatformTime), r.PlatformError))
	}
}

func (r Report) writeRecent(w io.Writer) {
	shown := 0
	for _, a := range r.Recent {
		if a.Version >= r.InForce.Version {
			continue
		}
		line(w, "before", fmt.Sprintf("version %d, bundle %s, accepted by %s at %s", a.Version, short(string(a.Bundle)), a.Acceptor, stamp(a.Time)))
		shown++
		if shown == shownRecent {
			return
		}
	}
}

func (r Report) writeWaiting(w io.Writer) {
	if len(r.Waiting) == 0 {
		line(w, "waiting", "nothing")
		return
	}
	for _, b := range r.Waiting {
		line(w, "waiting", fmt.Sprintf("bundle %s, prepared by %s at %s %s", short(string(b.Bundle)), b.Preparer, stamp(b.Time), b.Reason))
	}
}

func (r Report) writeProgress(w io.Writer) {
	for _, p := range r.Progress {
		text := fmt.Sprintf("version %d on %d of %d nodes, %s ago", p.Version, p.Applied, p.Members, age(r.Time, p.Time))
		line(w, "roll-out "+string(p.DataCentre), text)
		for i, l := range p.Laggards {
			if i == shownLaggards {
				line(w, "", fmt.Sprintf("and %d more behind", p.Members-p.Applied-i))
				break
			}
			line(w, "", fmt.Sprintf("%s has version %d: %s", l.Node, l.Version, l.Reason))
		}
	}
}

func (r Report) writeTrouble(w io.Writer) {
	if r.Refused != nil {
		line(w, "refused", fmt.Sprintf("version %d at %s: %s", r.Refused.Version, stamp(r.Refused.Time), r.Refused.Reason))
	}
	for _, q := range r.Quarantined {
		line(w, "quarantined", fmt.Sprintf("call %s after %d crashes, until %s", q.Fingerprint, q.Crashes, stamp(q.Until)))
	}
}

func (r Report) writeMembers(w io.Writer) {
	statuses := make([]string, 0, len(r.Members))
	for s := range r.Members {
		statuses = append(statuses, string(s))
	}
	sort.Strings(statuses)
	parts := make([]string, 0, len(statuses))
	for _, s := range statuses {
		parts = append(parts, fmt.Sprintf("%d %s", r.Members[membership.Status(s)], s))
	}
	line(w, "nodes", strings.Join(parts, ", "))
}

// line writes one row; an error of the writer shows when it is flushed.
func line(w io.Writer, label, text string) {
	_, _ = fmt.Fprintf(w, "%s\t%s\n", label, text)
}

func short(id string) string {
	if len(id) > shortID {
		return id[:shortID]
	}
	return id
}

func stamp(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }

func age(now, then time.Time) string { return now.Sub(then).Round(time.Second).String() }
