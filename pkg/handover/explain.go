package handover

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"
)

// Question describes a request whose way Explain asks for. It carries no key.
type Question struct {
	// Route is the name of the route. If it is empty, Host and Path find it.
	Route, Host, Path, Method string
	// Body is the size of the body in bytes.
	Body         int
	Organisation string
}

// Query returns the question as the query of ExplainPath.
func (q *Question) Query() url.Values {
	v := url.Values{"body": {strconv.Itoa(q.Body)}}
	for name, value := range map[string]string{"route": q.Route, "host": q.Host, "path": q.Path, "method": q.Method, "organisation": q.Organisation} {
		if value != "" {
			v.Set(name, value)
		}
	}
	return v
}

// Explanation says where a request would go from one node now, and why.
type Explanation struct {
	Node string    `json:"node"`
	Time time.Time `json:"time"`
	// Version is the configuration in force, 0 without one, and Applied when it came into force.
	Version uint64    `json:"version"`
	Applied time.Time `json:"applied,omitzero"`
	// ProofAgeMs is the age of the proof that the configuration is current, absent without one.
	ProofAgeMs *float64 `json:"proofAgeMs,omitempty"`
	// NewerKnown is set if the node knows of a newer version.
	NewerKnown bool `json:"newerKnown,omitempty"`
	// Refusal is the reason for which the node would refuse the request before it chooses an
	// upstream.
	Refusal      string  `json:"refusal,omitempty"`
	Route        string  `json:"route,omitempty"`
	Organisation string  `json:"organisation,omitempty"`
	Priority     int     `json:"priority"`
	RatePerS     float64 `json:"limitPerS,omitempty"`
	Burst        float64 `json:"burst,omitempty"`
	// ExpectedMs is the expected slot time at an upstream of usual speed, 0 if it is not known,
	// and Samples the number of recent requests of the route that it comes from.
	ExpectedMs float64          `json:"expectedMs"`
	Samples    float64          `json:"samples"`
	Services   []ExplainService `json:"services"`
}

// ExplainService is a service to which the route sends a share of the requests.
type ExplainService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
	// MayQueue is set if no free slot is known, so that the request may wait for one.
	MayQueue   bool               `json:"mayQueue"`
	Candidates []ExplainCandidate `json:"candidates"`
}

// ExplainCandidate is an upstream that the request could go to.
type ExplainCandidate struct {
	Node       string `json:"node"`
	DataCentre string `json:"dataCentre"`
	Upstream   string `json:"upstream"`
	// Chosen is set for the upstream of the lowest cost. CostMs is the cost without its random
	// share.
	Chosen     bool    `json:"chosen"`
	CostMs     float64 `json:"costMs"`
	ExpectedMs float64 `json:"expectedMs"`
	// InFlight counts the requests of this node. The next fields are those of the newest load
	// report, ReportAgeMs old. Without a report that is absent.
	InFlight    int      `json:"inFlight"`
	Slots       int      `json:"slots"`
	ReportAgeMs *float64 `json:"reportAgeMs,omitempty"`
	Running     int      `json:"running"`
	Queued      int      `json:"queued"`
	WorkMs      float64  `json:"workMs"`
	MeanMs      float64  `json:"meanMs"`
	Speed       float64  `json:"speed,omitempty"`
	// LimitPerS and LimitFree are the limit that the upstream named, absent without one.
	LimitPerS *float64 `json:"limitPerS,omitempty"`
	LimitFree *float64 `json:"limitFree,omitempty"`
	// Failing is the share of failing requests.
	Failing   float64 `json:"failing"`
	Reachable bool    `json:"reachable"`
	Cold      bool    `json:"cold"`
	Full      bool    `json:"full"`
}

// Explain asks the node at a URL where a request would go.
func (c *Client) Explain(ctx context.Context, node string, q *Question) (Explanation, error) {
	var e Explanation
	err := c.get(ctx, node+ExplainPath+"?"+q.Query().Encode(), &e)
	return e, err
}

// WriteText writes the explanation for a person.
func (e *Explanation) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	line := func(name, format string, a ...any) { _, _ = fmt.Fprintf(t, name+"\t"+format+"\n", a...) }
	line("node", "%s at %s", e.Node, e.Time.Format(time.RFC3339))
	line("version", "%d, in force for %s", e.Version, age(e.Time, e.Applied))
	if e.ProofAgeMs != nil {
		line("proof", "%.0f ms old", *e.ProofAgeMs)
	}
	if e.NewerKnown {
		line("newer", "a newer version is known")
	}
	if e.Refusal != "" {
		line("refusal", "%s", e.Refusal)
	}
	if e.Route != "" {
		line("route", "%s, priority %d", e.Route, e.Priority)
		line("expected", "%.0f ms in a slot, from %.0f recent requests", e.ExpectedMs, e.Samples)
	}
	if e.Organisation != "" {
		line("organisation", "%s, %.4g a second and %.4g more (0: no limit)", e.Organisation, e.RatePerS, e.Burst)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write explanation: %w", err)
	}
	for i := range e.Services {
		if err := e.Services[i].writeText(w); err != nil {
			return fmt.Errorf("write explanation of service %s: %w", e.Services[i].Service, err)
		}
	}
	return nil
}

// age returns the time since a moment, or "an unknown time" if it is not known.
func age(now, since time.Time) string {
	if since.IsZero() {
		return "an unknown time"
	}
	return now.Sub(since).Round(time.Second).String()
}

// writeText writes the candidates of a service.
func (s *ExplainService) writeText(w io.Writer) error {
	wait := "a free slot is known"
	if s.MayQueue {
		wait = "no free slot is known, the request may wait"
	}
	_, _ = fmt.Fprintf(w, "\nservice %s, weight %.4g: %s\n", s.Service, s.Weight, wait)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\tNODE\tUPSTREAM\tCOST MS\tEXPECTED MS\tRUNNING\tQUEUED\tSLOTS\tWORK MS\tSPEED\tLIMIT\tFAILING\tSTATE\tREPORT")
	for i := range s.Candidates {
		c := &s.Candidates[i]
		mark, limit, report := "", "-", "none"
		if c.Chosen {
			mark = "->"
		}
		if c.LimitPerS != nil && c.LimitFree != nil {
			limit = fmt.Sprintf("%.4g/s, %.3g free", *c.LimitPerS, *c.LimitFree)
		}
		if c.ReportAgeMs != nil {
			report = fmt.Sprintf("%.0f ms old", *c.ReportAgeMs)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.1f\t%.0f\t%d\t%d\t%d\t%.0f\t%.2f\t%s\t%.2f\t%s\t%s\n", mark, c.Node, c.Upstream,
			c.CostMs, c.ExpectedMs, c.Running, c.Queued, c.Slots, c.WorkMs, c.Speed, limit, c.Failing, c.state(), report)
	}
	return t.Flush()
}

// state names what else counts against a candidate.
func (c *ExplainCandidate) state() string {
	switch {
	case !c.Reachable:
		return "unreachable"
	case c.Full:
		return "full"
	case c.Cold:
		return "just started"
	}
	return "ready"
}
