package intake

import (
	"net/http"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// startSize is the size of a large answer, in bytes, before any of its route came.
	startSize = 64 << 10
	// sizeWeight is the weight of the newest answer in the mean size of its route.
	sizeWeight = 0.1
)

// sizes keeps the mean size of each route's large answers, and what those that are
// worked on will probably send over the host's link.
type sizes struct {
	means    map[string]float64
	open     map[uint64]int // expected bytes by request
	promised int
}

func newSizes() sizes { return sizes{means: make(map[string]float64), open: make(map[uint64]int)} }

// mean returns the mean size of a route's answers.
func (s *sizes) mean(route string) int {
	if m, known := s.means[route]; known {
		return int(m)
	}
	return startSize
}

// learn takes in the size of an answer.
func (s *sizes) learn(route string, size int) {
	m, known := s.means[route]
	if !known {
		m = float64(size)
	}
	s.means[route] = m + sizeWeight*(float64(size)-m)
}

// begin expects the answer to a request.
func (s *sizes) begin(id uint64, route string) {
	n := s.mean(route)
	s.open[id] = n
	s.promised += n
}

// end expects it no more.
func (s *sizes) end(id uint64) {
	s.promised -= s.open[id]
	delete(s.open, id)
}

// learnSize takes in how a call with a large answer ended.
func (s *Service) learnSize(id uint64, c *link.Call, a *link.Answer) {
	if !c.Large {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes.end(id)
	if a.Outcome == link.Ran && a.Status < http.StatusBadRequest {
		s.sizes.learn(c.Route, len(a.Body))
	}
}
