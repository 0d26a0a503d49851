package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// choose returns the host of the next try. It looks for a free slot first and
// lets the request wait where none is known of.
func (s *Service) choose(r *request) (fleet.Host, bool) {
	hosts, candidates, origin := s.candidates(r)
	untried := func(node string) bool { return r.tried[node] }
	i := Choose(candidates, origin, untried, rand.Float64)
	if r.call.MayWait || i >= 0 && r.places < quickTries && !candidates[i].Full() {
		return hostAt(hosts, i)
	}
	// No free slot is known of: wait for one where that takes the least time,
	// also at a node that had none just now.
	r.call.MayWait = true
	for node := range r.tried {
		r.tried[node] = r.tried[node] && !r.busy[node]
	}
	return hostAt(hosts, Choose(candidates, origin, untried, rand.Float64))
}

// chooseFree returns a host that probably has a free slot.
func (s *Service) chooseFree(r *request) (fleet.Host, bool) {
	hosts, candidates, origin := s.candidates(r)
	i := Choose(candidates, origin, func(node string) bool { return r.tried[node] }, rand.Float64)
	if i < 0 || candidates[i].Full() || !candidates[i].Reachable {
		return fleet.Host{}, false
	}
	return hosts[i], true
}

// candidates returns the usable hosts of the request's service.
func (s *Service) candidates(r *request) ([]fleet.Host, []Candidate, Origin) {
	now := time.Now()
	hosts := s.near(r.service)
	candidates := make([]Candidate, 0, len(hosts))
	s.mu.Lock()
	origin := Origin{
		Node: s.options.Node, DataCentre: s.options.DataCentre, Region: s.options.Region,
		Bytes: s.bytes[r.route.Name], Large: r.route.LargeAnswers,
	}
	for i := range hosts {
		candidates = append(candidates, s.candidate(&hosts[i], now))
	}
	s.mu.Unlock()
	for i := range candidates {
		candidates[i].Reachable = s.options.Reachable(candidates[i].Node)
	}
	return hosts, candidates, origin
}

// subsetFrom is the number of upstreams of a service from which on a node uses a
// subset of them.
const subsetFrom = 32

// ring is the order in which this node uses the hosts of a service, for one generation
// of the table.
type ring struct {
	fleet.Ring
	generation uint64
}

// near returns the hosts of a service that this node chooses from: all of a few, and
// otherwise a subset of those that it can reach and that do not fail.
func (s *Service) near(service string) []fleet.Host {
	generation := s.options.Table.Generation()
	usable := s.options.Table.Usable(service)
	if len(usable) <= subsetFrom {
		return usable
	}
	s.mu.Lock()
	current := s.rings[service]
	s.mu.Unlock()
	if current == nil || current.generation != generation {
		current = &ring{fleet.NewRing(s.options.Node, s.options.DataCentre, s.options.Table.All(), usable), generation}
		s.mu.Lock()
		s.rings[service] = current
		s.mu.Unlock()
	}
	now := time.Now()
	return current.Choose(func(node string) bool { return s.options.Reachable(node) && !s.failing(node, now) })
}

// failing reports whether most requests to a node fail.
func (s *Service) failing(node string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[node]
	if e == nil {
		return false
	}
	c := e.candidate(now)
	return c.failing() > avoidFailing
}

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

// candidate is what this node saw of an upstream, nothing if e is nil.
func (e *endpoint) candidate(now time.Time) Candidate {
	c := Candidate{ReportAge: -1}
	if e == nil {
		return c
	}
	c.InFlight, c.Silent = e.inFlight, e.silence.Share(now)
	if !e.reportAt.IsZero() {
		c.Report, c.ReportAge, c.InFlightThen = e.report, now.Sub(e.reportAt), e.inFlightThen
		c.LargeSince = max(0, e.large-e.largeThen)
	}
	return c
}

func (s *Service) begin(node string, large bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[node]
	if e == nil {
		e = &endpoint{}
		s.endpoints[node] = e
	}
	e.inFlight++
	if large {
		e.large++
	}
}

// meanWeight is the weight of the newest answer in a route's mean size and time.
const meanWeight = 0.05

// ended takes in how a try at a node ended, and tells when the node begins or ends
// to be avoided.
func (s *Service) ended(node string, r *request, a *link.Answer, took time.Duration) {
	if share, avoided, changed := s.note(node, r, a, took); changed {
		s.options.Silent(node, share, avoided)
	}
}

func (s *Service) note(node string, r *request, a *link.Answer, took time.Duration) (share float64, avoided, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[node]
	e.inFlight--
	if r.route.LargeAnswers {
		e.large--
	}
	mean, known := s.took[r.route.Name]
	if a != nil || known && float64(took) > hedgeFactor*float64(mean) {
		now := time.Now()
		e.silence.Note(now, a != nil)
		share = e.silence.Share(now)
		avoided = a == nil && (e.avoided || share > avoidFailing)
		changed, e.avoided = avoided != e.avoided, avoided
	}
	s.learn(e, r, a, took)
	return share, avoided, changed
}

// learn takes in the load, the size and the time of an answer. The caller holds mu.
func (s *Service) learn(e *endpoint, r *request, a *link.Answer, took time.Duration) {
	if a != nil && a.Load.Slots > 0 {
		e.report, e.reportAt, e.inFlightThen, e.largeThen = a.Load, time.Now(), e.inFlight, e.large
	}
	if a != nil && a.Outcome == link.Ran {
		size := float64(len(a.Body) + len(r.q.Body))
		mean, known := s.bytes[r.route.Name]
		if known {
			size = mean + meanWeight*(size-mean)
		}
		s.bytes[r.route.Name] = size
		if mean, known := s.took[r.route.Name]; known {
			took = mean + time.Duration(meanWeight*float64(took-mean))
		}
		s.took[r.route.Name] = took
	}
}
