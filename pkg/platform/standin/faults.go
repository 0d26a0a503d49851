package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// Faults is the body of a POST to /faults. Only the given members change
// anything; the last three act once.
type Faults struct {
	// Down closes the port of the API and cuts its connections.
	Down *bool `json:"down,omitempty"`
	// SlowMilliseconds delays every call.
	SlowMilliseconds *int `json:"slowMilliseconds,omitempty"`
	// ReadsPerSecond and WritesPerSecond bound the rates; zero means no bound.
	ReadsPerSecond  *int `json:"readsPerSecond,omitempty"`
	WritesPerSecond *int `json:"writesPerSecond,omitempty"`
	// LoseAnswers cuts the connection of the next writes that take effect.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// DropWatches cuts every running watch.
	DropWatches bool `json:"dropWatches,omitempty"`
	// Compact makes revisions so far too old to watch from.
	Compact bool `json:"compact,omitempty"`
}

// Apply switches faults on or off.
func (s *Server) Apply(f Faults) error {
	if f.SlowMilliseconds != nil {
		s.store.SetDelay(time.Duration(*f.SlowMilliseconds) * time.Millisecond)
	}
	if f.ReadsPerSecond != nil && f.WritesPerSecond != nil {
		s.store.SetRates(*f.ReadsPerSecond, *f.WritesPerSecond)
	}
	if f.LoseAnswers > 0 {
		s.store.LoseAnswers(f.LoseAnswers)
	}
	if f.Compact {
		s.store.Compact()
	}
	if f.DropWatches {
		s.store.DropWatches()
	}
	if f.Down == nil {
		return nil
	}
	s.store.SetDown(*f.Down)
	if *f.Down {
		s.listener.pause()
		return nil
	}
	return s.listener.resume()
}

func (s *Server) registerFaults(h *server.Hertz) {
	h.POST("/faults", s.postFaults)
	h.GET("/calls", s.getCalls)
}

func (s *Server) postFaults(_ context.Context, c *app.RequestContext) {
	var f Faults
	if err := json.Unmarshal(c.Request.Body(), &f); err != nil {
		c.String(http.StatusBadRequest, "read faults: %v\n", err)
		return
	}
	if (f.ReadsPerSecond == nil) != (f.WritesPerSecond == nil) {
		c.String(http.StatusBadRequest, "readsPerSecond and writesPerSecond are set together\n")
		return
	}
	if err := s.Apply(f); err != nil {
		c.String(http.StatusInternalServerError, "%v\n", err)
		return
	}
	c.JSON(http.StatusOK, f)
}

func (s *Server) getCalls(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, s.store.Calls())
}
