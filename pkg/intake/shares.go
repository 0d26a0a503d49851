package intake

import (
	"math"
	"time"
)

const (
	// shareHalfLife is the time after which a request counts half.
	shareHalfLife = 3 * time.Second
	// starvedShare is the fraction of the average service rate below which a route is starved:
	// its callers would lose nearly all of their requests, urgent or not.
	starvedShare = 0.3
	// minAsked is the number of requests that a route needs before it can count as starved.
	minAsked = 10.0
)

// routeCount counts the requests that arrived and that got a slot. Counts decay with time.
type routeCount struct{ asked, served float64 }

// RouteShares compares which share of its requests each route gets served. The zero value is
// ready for use.
type RouteShares struct {
	routes    map[string]*routeCount
	all       routeCount
	decayedAt time.Time
}

// Asked counts a request that arrived.
func (s *RouteShares) Asked(now time.Time, route string) {
	s.decay(now)
	c := s.routes[route]
	if c == nil {
		if s.routes == nil {
			s.routes = make(map[string]*routeCount)
		}
		c = &routeCount{}
		s.routes[route] = c
	}
	c.asked++
	s.all.asked++
}

// Served counts a request that got a slot.
func (s *RouteShares) Served(route string) {
	if c := s.routes[route]; c != nil {
		c.served++
		s.all.served++
	}
}

// Starved reports whether a smaller share of the route's requests is served than starvedShare
// of the average over all routes.
func (s *RouteShares) Starved(route string) bool {
	c := s.routes[route]
	return c != nil && c.asked >= minAsked && c.served*s.all.asked < starvedShare*s.all.served*c.asked
}

// decayStep is the shortest time between two updates of the decaying counts.
const decayStep = 100 * time.Millisecond

// decay reduces all counts by the time since the last reduction, and removes unused routes.
func (s *RouteShares) decay(now time.Time) {
	age := now.Sub(s.decayedAt)
	if age < decayStep {
		return
	}
	s.decayedAt = now
	keep := math.Exp2(-float64(age) / float64(shareHalfLife))
	s.all.asked, s.all.served = s.all.asked*keep, s.all.served*keep
	for route, c := range s.routes {
		c.asked, c.served = c.asked*keep, c.served*keep
		if c.asked < 0.1 {
			delete(s.routes, route)
		}
	}
}
