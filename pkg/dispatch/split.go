package dispatch

import "github.com/tarragondrum/tarragondrum/pkg/meshconf"

// Split distributes the requests of a route over its services by smooth weighted round
// robin. The zero value is ready for use. It is not safe for concurrent use.
type Split struct {
	// credit is the accumulated weight of each service. Next picks the largest.
	credit map[string]float64
}

// Next returns the service for the next request. offset in [0,1) sets the initial credits,
// so that nodes do not all start with the same service.
func (s *Split) Next(parts []meshconf.Part, offset float64) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	total := 0
	for _, p := range parts {
		total += p.Weight
	}
	if s.credit == nil {
		s.credit = make(map[string]float64)
		for _, p := range parts {
			s.credit[p.Service] = offset * float64(p.Weight)
			offset = 1 - offset
		}
	}
	best := ""
	for _, p := range parts {
		if p.Weight == 0 {
			continue
		}
		s.credit[p.Service] += float64(p.Weight)
		if best == "" || s.credit[p.Service] > s.credit[best] {
			best = p.Service
		}
	}
	s.credit[best] -= float64(total)
	return best
}
