package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// chooseHost returns the host of the next try, and decides whether the request may wait there.
func (s *Service) chooseHost(r *request) (fleet.Host, bool) {
	if host, ok := s.chooseNewVersion(r); ok {
		return host, true
	}
	hosts, candidates, origin := s.candidates(r)
	if r.call.Nested {
		ForNestedCall(candidates)
	}
	t := Tries{Tried: r.tried, NoSlot: r.noSlot, Count: r.tries, MayQueue: r.call.MayQueue}
	i := NextTry(candidates, origin, &t, rand.Float64)
	r.call.MayQueue = t.MayQueue
	r.expectAt(candidates, i)
	return hostAt(hosts, i)
}

// chooseFreeHost returns a reachable host that probably has a free slot.
func (s *Service) chooseFreeHost(r *request) (fleet.Host, bool) {
	hosts, candidates, origin := s.candidates(r)
	i := Choose(candidates, origin, func(node string) bool { return r.tried[node] }, rand.Float64)
	if i < 0 || candidates[i].FullFor(origin) || !candidates[i].Reachable {
		return fleet.Host{}, false
	}
	r.expectAt(candidates, i)
	return hosts[i], true
}

// candidates returns the usable hosts of the request's service, their descriptions for
// Choose and the origin of the request.
func (s *Service) candidates(r *request) ([]fleet.Host, []Candidate, Origin) {
	now := time.Now()
	hosts, candidates, origin := s.describe(r.service, r.toNew, r.route, len(r.call.Body), now)
	r.usualSpeed = ExpectWork(candidates, s.expect(r, now))
	return hosts, candidates, origin
}

// describe returns the usable hosts of a service, their descriptions for Choose and the origin of
// requests of a route with a body of the given size. isNew selects hosts of a version that is being
// rolled out.
func (s *Service) describe(service string, isNew bool, route *meshconf.Route, body int, now time.Time) ([]fleet.Host, []Candidate, Origin) {
	selected := s.selectHosts(service, isNew)
	hosts, candidates := make([]fleet.Host, 0, len(selected)), make([]Candidate, 0, len(selected))
	s.mu.Lock()
	origin := Origin{
		Node: s.options.Node, DataCentre: s.options.DataCentre, Region: s.options.Region,
		Bytes: s.meanBytes[route.Name], Large: route.LargeAnswers, Body: largeSize(body),
	}
	for i := range selected {
		if s.toldLeaving(&selected[i]) {
			continue
		}
		hosts = append(hosts, selected[i])
		candidates = append(candidates, s.candidate(&selected[i], now))
	}
	s.mu.Unlock()
	for i := range candidates {
		candidates[i].Reachable = s.options.Reachable(candidates[i].Node)
	}
	return hosts, candidates, origin
}

// maxWithoutSubset is the largest number of upstreams of a service that a node uses all of.
// Of more upstreams it uses a subset.
const maxWithoutSubset = 32

// ringKey identifies the upstreams that a ring orders.
type ringKey struct{ service, version string }

// ring is the order in which this node prefers the hosts of a service, valid for one
// generation of the table.
type ring struct {
	fleet.SubsetOrder
	generation uint64
}

// selectHosts returns the hosts of a service that this node chooses from. These are all
// hosts of a small service, and otherwise a subset of the reachable hosts that do not mostly
// fail. isNew selects those of a version that is being rolled out.
func (s *Service) selectHosts(service string, isNew bool) []fleet.Host {
	generation := s.options.Table.Generation()
	usable, version := s.versions.Hosts(service, isNew)
	if len(usable) <= maxWithoutSubset {
		return usable
	}
	key := ringKey{service, version}
	s.mu.Lock()
	current := s.rings[key]
	s.mu.Unlock()
	if current == nil || current.generation != generation {
		current = &ring{fleet.NewSubsetOrder(s.options.Node, s.options.DataCentre, s.options.Table.All(), usable), generation}
		s.mu.Lock()
		s.rings[key] = current
		s.mu.Unlock()
	}
	now := time.Now()
	return current.Subset(func(node string) bool { return s.options.Reachable(node) && !s.failing(node, now) })
}

// failing reports whether the share of failed requests to a node exceeds maxFailingShare.
func (s *Service) failing(node string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[node]
	if e == nil {
		return false
	}
	c := e.candidate(now)
	return c.failing() > maxFailingShare
}

// hostAt returns the host with index i, and false if i is negative.
func hostAt(hosts []fleet.Host, i int) (fleet.Host, bool) {
	if i < 0 {
		return fleet.Host{}, false
	}
	return hosts[i], true
}

// candidate describes a host for Choose. The caller holds mu.
func (s *Service) candidate(h *fleet.Host, now time.Time) Candidate {
	c := s.endpoints[h.Node].candidate(now)
	c.Node, c.DataCentre, c.Region, c.Slots = h.Node, h.DataCentre, h.Region, h.Upstream.Slots
	c.Cold = h.Upstream.WarmAtUnixMs > now.UnixMilli()
	return c
}

// candidate returns what this node observed of an upstream. e may be nil.
func (e *endpoint) candidate(now time.Time) Candidate {
	c := Candidate{ReportAge: -1}
	if e == nil {
		return c
	}
	c.InFlight, c.Unanswered = e.inFlight, e.silence.Value(now)
	if !e.reportAt.IsZero() {
		c.Report, c.ReportAge, c.InFlightThen = e.report, now.Sub(e.reportAt), e.inFlightThen
		c.StartedSince, c.SentWork = e.startedSince, e.sentWork
		c.LargeSince = max(0, e.large-e.largeThen)
		c.BodiesSince = max(0, e.bodies-e.bodiesThen)
	}
	return c
}

// largeBody returns the size of the request's body if it is large, else 0.
func largeBody(r *request) int { return largeSize(len(r.call.Body)) }

// largeSize returns the size of a body if it is large, else 0.
func largeSize(body int) int {
	if body > pace.PartBytes {
		return body
	}
	return 0
}

// tryStarted counts a request as in flight at a node. work is the time that it is expected to take
// in a slot there.
func (s *Service) tryStarted(node string, r *request, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[node]
	if e == nil {
		e = &endpoint{}
		s.endpoints[node] = e
	}
	e.inFlight++
	e.startedSince++
	e.sentWork += work
	e.bodies += largeBody(r)
	if r.route.LargeAnswers {
		e.large++
	}
}

// meanWeight is the weight of the newest answer in the moving averages of a route.
const meanWeight = 0.05

// tryEnded records the result of a try at a node and calls Options.OnAvoidChange if the node starts
// or stops being avoided.
func (s *Service) tryEnded(node string, r *request, a *link.Answer, took time.Duration) {
	if share, avoided, changed := s.recordTry(node, r, a, took); changed {
		s.options.OnAvoidChange(node, share, avoided)
	}
}

// recordTry updates the endpoint of a node after a try. A try without an answer counts as
// unanswered only if it took longer than hedgeFactor mean times of its route. changed
// reports whether the node starts or stops being avoided.
func (s *Service) recordTry(node string, r *request, a *link.Answer, took time.Duration) (share float64, avoided, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[node]
	e.inFlight--
	e.bodies -= largeBody(r)
	if r.route.LargeAnswers {
		e.large--
	}
	mean, known := s.meanTimes[r.route.Name]
	if a != nil || known && float64(took) > hedgeFactor*float64(mean) {
		now := time.Now()
		e.silence.Record(now, a != nil)
		share = e.silence.Value(now)
		avoided = a == nil && (e.avoided || share > maxFailingShare)
		changed, e.avoided = avoided != e.avoided, avoided
	}
	s.updateMeans(e, r, a, took)
	return share, avoided, changed
}

// updateMeans updates the load report of an endpoint and the mean size and time of the
// route. The caller holds mu.
func (s *Service) updateMeans(e *endpoint, r *request, a *link.Answer, took time.Duration) {
	if a != nil && a.Load.Slots > 0 {
		e.report, e.reportAt, e.inFlightThen, e.largeThen = a.Load, time.Now(), e.inFlight, e.large
		e.startedSince, e.sentWork, e.bodiesThen = 0, 0, e.bodies
	}
	if a != nil && a.Outcome == link.Ran {
		size := float64(len(a.Body) + len(r.req.Body))
		mean, known := s.meanBytes[r.route.Name]
		if known {
			size = mean + meanWeight*(size-mean)
		}
		s.meanBytes[r.route.Name] = size
		if mean, known := s.meanTimes[r.route.Name]; known {
			took = mean + time.Duration(meanWeight*float64(took-mean))
		}
		s.meanTimes[r.route.Name] = took
	}
}
