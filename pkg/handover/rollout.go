package handover

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Rollout is the newest roll-out of a version of a service, as one node knows it.
type Rollout struct {
	Service string `json:"service"`
	// Version is the version that the service runs, as this node sees it, and Target the one that
	// the operator ordered. Phase is canary, moving, succeeded or rolled_back. All but Version are
	// empty for a service without an order.
	Version string `json:"version"`
	Target  string `json:"target,omitempty"`
	Phase   string `json:"phase,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Share is the share of its requests that the node sends to the new version, to the upstreams
	// of the hosts in Canaries if there are any.
	Share    float64  `json:"share"`
	Canaries []string `json:"canaries,omitempty"`
	// Coordinator is the node that decides, and Heard when it sent the newest state.
	Coordinator string    `json:"coordinator,omitempty"`
	Order       string    `json:"order,omitempty"`
	Ordered     time.Time `json:"ordered,omitzero"`
	DurationMs  int64     `json:"durationMs,omitempty"`
	Heard       time.Time `json:"heard,omitzero"`
	// Figures are what the decision is based on, as the coordinator itself knows them.
	Figures string `json:"figures,omitempty"`
	// Upstreams counts the upstreams by version.
	Upstreams map[string]int `json:"upstreams"`
}

// Rollouts fetches the roll-outs that the node at a URL knows.
func (c *Client) Rollouts(ctx context.Context, url string) ([]Rollout, error) {
	var list []Rollout
	err := c.get(ctx, url+RolloutsPath, &list)
	return list, err
}

// WriteRollouts writes a table of roll-outs, with ages at now.
func WriteRollouts(w io.Writer, list []Rollout, now time.Time) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVICE\tRUNS\tORDERED\tPHASE\tSHARE\tCANARIES\tCOORDINATOR\tHEARD\tREASON")
	for i := range list {
		r := &list[i]
		heard := ""
		if !r.Heard.IsZero() {
			heard = now.Sub(r.Heard).Round(100*time.Millisecond).String() + " ago"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.2f\t%s\t%s\t%s\t%s\n",
			r.Service, r.Version, r.Target, r.Phase, r.Share, strings.Join(r.Canaries, " "), r.Coordinator, heard, r.Reason)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i := range list {
		if list[i].Figures != "" {
			if _, err := fmt.Fprintf(w, "%s: %s\n", list[i].Service, list[i].Figures); err != nil {
				return err
			}
		}
	}
	return nil
}
