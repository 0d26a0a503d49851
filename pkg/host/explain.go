package host

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/tarragondrum/tarragondrum/pkg/dispatch"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
)

// serveExplain answers where a request would go. It needs a route, or a host and a path.
func (n *Node) serveExplain(rc *app.RequestContext) {
	body, err := strconv.Atoi(rc.DefaultQuery("body", "0"))
	q := dispatch.Question{
		Route: rc.Query("route"), Host: rc.Query("host"), Path: rc.Query("path"),
		Method: rc.DefaultQuery("method", http.MethodGet), Body: body, Organisation: rc.Query("organisation"),
	}
	if err != nil || body < 0 || q.Route == "" && q.Path == "" {
		rc.String(http.StatusBadRequest, "want route, or host and path, and a body size that is not negative\n")
		return
	}
	rc.JSON(http.StatusOK, n.explain(q))
}

// explain returns where a request would go now, without sending it.
func (n *Node) explain(q dispatch.Question) handover.Explanation {
	x := n.dispatch.Explain(q)
	e := handover.Explanation{
		Node: n.settings.Load().Node.ID, Time: time.Now().UTC(), Refusal: x.Refusal,
		ExpectedMs: toMillis(x.Expected), Samples: x.Samples, Services: []handover.ExplainService{},
	}
	if x.Config != nil {
		e.Version, e.NewerKnown = x.Config.Version, x.Currency.NewerKnown
		if at := n.appliedAt.Load(); at != nil {
			e.Applied = at.UTC()
		}
		if x.Currency.Proven {
			age := toMillis(x.Currency.Age)
			e.ProofAgeMs = &age
		}
	}
	if x.Route != nil {
		e.Route, e.Priority = x.Route.Name, x.Route.Priority
	}
	if o := x.Organisation; o != nil {
		e.Organisation, e.RatePerS, e.Burst = o.Name, o.RatePerS, o.Burst
		if o.Priority != nil {
			e.Priority = *o.Priority
		}
	}
	for i := range x.Services {
		e.Services = append(e.Services, explainService(&x.Services[i]))
	}
	return e
}

// explainService describes the choice among the upstreams of a service.
func explainService(c *dispatch.ServiceChoice) handover.ExplainService {
	s := handover.ExplainService{Service: c.Part.Service, Weight: float64(c.Part.Weight), MayQueue: c.MayQueue, Candidates: []handover.ExplainCandidate{}}
	for i := range c.Candidates {
		x, r := &c.Candidates[i], &c.Candidates[i].Report
		e := handover.ExplainCandidate{
			Node: x.Node, DataCentre: x.DataCentre, Upstream: c.Hosts[i].Upstream.ID,
			Chosen: i == c.Chosen, CostMs: toMillis(c.Costs[i]), ExpectedMs: toMillis(x.Expected),
			InFlight: x.InFlight, Slots: x.Slots, Running: r.Running, Queued: r.Queued,
			WorkMs: r.WorkMs, MeanMs: r.MeanMs, Speed: r.Speed,
			Failing: x.Failing(), Reachable: x.Reachable, Cold: x.Cold, Full: x.FullFor(c.Origin),
		}
		if x.ReportAge >= 0 {
			age := toMillis(x.ReportAge)
			e.ReportAgeMs = &age
			if l := r.Limit; l != nil {
				e.LimitPerS, e.LimitFree = &l.PerS, &l.Free
			}
		}
		s.Candidates = append(s.Candidates, e)
	}
	return s
}

// toMillis returns a time in milliseconds.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
