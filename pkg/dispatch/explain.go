package dispatch

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/cost"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
)

// Question describes a request that Explain would dispatch. It carries no key.
type Question struct {
	// Route is the name of the route. If it is empty, Host and Path find it.
	Route, Host, Path string
	Method            string
	// Body is the size of the body in bytes.
	Body         int
	Organisation string
}

// Explanation says where a request would go. If Refusal is not empty, it would be refused for that
// reason before any upstream is chosen.
type Explanation struct {
	Config       *meshconf.Snapshot
	Currency     Currency
	Route        *meshconf.Route
	Organisation *meshconf.Organisation
	Refusal      string
	// Expected is the expected slot time at usual speed and Samples the decayed number of samples
	// of the route from which it was learned. Expected is 0 if they are too few.
	Expected time.Duration
	Samples  float64
	Services []ServiceChoice
}

// ServiceChoice is the choice among the upstreams of one service of the route.
type ServiceChoice struct {
	Part       meshconf.Part
	Hosts      []fleet.Host
	Candidates []Candidate
	Origin     Origin
	// Costs holds Candidate.Cost of each candidate.
	Costs []time.Duration
	// Chosen is the index of the candidate that a request would go to, -1 without one, up to the
	// random share of the cost. MayQueue is set if it may wait for a slot there.
	Chosen   int
	MayQueue bool
}

// Explain says where a request would go now and why. It sends nothing and changes nothing that a
// decision depends on.
func (s *Service) Explain(q Question) Explanation {
	snap := s.options.Config.Current()
	if snap == nil {
		return Explanation{Refusal: ReasonNoConfig}
	}
	e := Explanation{Config: snap, Currency: s.options.Currency(snap), Route: findRoute(snap, &q)}
	if e.Route == nil {
		e.Refusal = ReasonNoRoute
		return e
	}
	if snap.RequiresKey(e.Route) {
		e.Organisation = findOrganisation(snap, q.Organisation)
		switch {
		case !e.Currency.IsCurrent():
			e.Refusal = ReasonKeysNotCurrent
		case e.Organisation == nil:
			e.Refusal = ReasonUnknownKey
		}
	}
	key := cost.Key{Route: e.Route.Name, Method: q.Method, Body: q.Body}
	if e.Organisation != nil {
		key.Organisation = e.Organisation.Name
	}
	s.mu.Lock()
	e.Expected, e.Samples = s.costs.Estimate(time.Now(), key)
	s.mu.Unlock()
	if e.Samples < minCostSamples {
		e.Expected = 0
	}
	for _, part := range e.Route.Parts {
		e.Services = append(e.Services, s.explainService(&e, part, q.Body))
	}
	return e
}

// explainService returns the choice among the upstreams of a service for a request with a body of the
// given size. While a version is rolled out, it is the choice among the established one.
func (s *Service) explainService(e *Explanation, part meshconf.Part, body int) ServiceChoice {
	hosts, candidates, origin := s.describe(part.Service, false, e.Route, body, time.Now())
	ExpectWork(candidates, e.Expected)
	t := Tries{Tried: make(map[string]bool), NoSlot: make(map[string]bool)}
	c := ServiceChoice{Part: part, Hosts: hosts, Candidates: candidates, Origin: origin}
	c.Chosen = NextTry(candidates, origin, &t, func() float64 { return 0 })
	c.MayQueue = t.MayQueue
	for i := range candidates {
		c.Costs = append(c.Costs, candidates[i].Cost(origin))
	}
	return c
}

// findRoute returns the route of a question, nil if there is none.
func findRoute(snap *meshconf.Snapshot, q *Question) *meshconf.Route {
	if q.Route == "" {
		if route, ok := snap.Match(q.Host, q.Path); ok {
			return route
		}
		return nil
	}
	for i := range snap.Routes {
		if snap.Routes[i].Name == q.Route {
			return &snap.Routes[i]
		}
	}
	return nil
}

// findOrganisation returns the organisation with a name, nil if there is none.
func findOrganisation(snap *meshconf.Snapshot, name string) *meshconf.Organisation {
	for i := range snap.Organisations {
		if snap.Organisations[i].Name == name {
			return &snap.Organisations[i]
		}
	}
	return nil
}

// Failing estimates the share of requests that fail at the upstream.
func (c *Candidate) Failing() float64 { return c.failing() }
