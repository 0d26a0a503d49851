package intake

import (
	"net/http"

	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// startSize is the assumed size of a large answer, in bytes, before the first one of its
	// route.
	startSize = 64 << 10
	// sizeWeight is the weight of the newest answer in the moving average of its route.
	sizeWeight = 0.1
)

// sizes keeps the mean size of each route's large answers, and the bytes that running and
// waiting requests are expected to send over the host's link.
type sizes struct {
	means    map[string]float64
	pending  map[uint64]int // expected bytes by request
	expected int
}

func newSizes() sizes { return sizes{means: make(map[string]float64), pending: make(map[uint64]int)} }

// mean returns the moving average of the answer sizes of a route, in bytes.
func (s *sizes) mean(route string) int {
	if m, known := s.means[route]; known {
		return int(m)
	}
	return startSize
}

// update adds the size of an answer to the mean of its route.
func (s *sizes) update(route string, size int) {
	m, known := s.means[route]
	if !known {
		m = float64(size)
	}
	s.means[route] = m + sizeWeight*(float64(size)-m)
}

// begin adds the expected answer to a request to the expected bytes.
func (s *sizes) begin(id uint64, route string) {
	n := s.mean(route)
	s.pending[id] = n
	s.expected += n
}

// end removes the answer to a request from the expected bytes.
func (s *sizes) end(id uint64) {
	s.expected -= s.pending[id]
	delete(s.pending, id)
}

// recordSize updates the expected bytes, and the mean size if the answer succeeded, when a
// call with a large answer ends.
func (s *Service) recordSize(id uint64, c *link.Call, a *link.Answer) {
	if !c.LargeAnswer {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes.end(id)
	if a.Outcome == link.Ran && a.Status < http.StatusBadRequest {
		s.sizes.update(c.Route, len(a.Body))
	}
}

// releaseSize updates the expected bytes when a call with a large answer ends without one.
func (s *Service) releaseSize(id uint64, c *link.Call) {
	if c.LargeAnswer {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sizes.end(id)
	}
}
