// Package standin is a stand-in for the platform's object API, for trying out
// and tests. It keeps everything in memory, meters calls, enforces the
// platform's rates and shows its faults on request.
package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/tarragondrum/tarragondrum/pkg/httpserver"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
	"github.com/tarragondrum/tarragondrum/pkg/platform/rest"
)

const (
	// DefaultReads is the platform's rate of reads and watches per second.
	DefaultReads = 2000
	// DefaultWrites is the platform's rate of writes per second.
	DefaultWrites = 400
	// bookmarkInterval is the time between two bookmarks of a quiet watch.
	bookmarkInterval = 5 * time.Second
	// maxRequestBytes leaves room for the envelope around the largest value.
	maxRequestBytes = platform.MaxValueBytes + 64<<10
)

// Config says how to run the stand-in.
type Config struct {
	// Address is the IP and port of the object API; port 0 picks a free one.
	Address string
	// FaultAddress is the IP and port for switching faults; empty means none.
	FaultAddress string
	// Token is the bearer token that callers must show; empty means none.
	Token string
	// Reads and Writes bound the calls per second; zero means no bound.
	Reads, Writes int
}

// Server is a running stand-in.
type Server struct {
	store    *fake.Store
	listener *pausableListener
	api      *httpserver.Server
	faults   *httpserver.Server
	token    string
	// ending is closed by Stop, so that watches end.
	ending context.Context
	end    context.CancelFunc
}

// Start serves until Stop.
func Start(c Config) (*Server, error) {
	listener, err := newPausableListener(c.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{store: fake.New(), listener: listener, token: c.Token}
	s.store.SetRates(c.Reads, c.Writes)
	s.ending, s.end = context.WithCancel(context.Background())
	s.api, err = httpserver.Serve(listener, s.register, server.WithMaxRequestBodySize(maxRequestBytes))
	if err != nil {
		return nil, err
	}
	if c.FaultAddress == "" {
		return s, nil
	}
	s.faults, err = httpserver.Start(c.FaultAddress, s.registerFaults)
	if err != nil {
		return nil, fmt.Errorf("%w, and stop: %w", err, s.Stop(context.Background()))
	}
	return s, nil
}

// URL returns the base URL of the object API.
func (s *Server) URL() string { return "http://" + s.listener.addr }

// FaultURL returns the base URL for switching faults, or "" if there is none.
func (s *Server) FaultURL() string {
	if s.faults == nil {
		return ""
	}
	return "http://" + s.faults.Addr()
}

// Store returns the memory behind the API, for setting faults and reading
// counts in the same process. Use Apply for SetDown, which also closes the port.
func (s *Server) Store() *fake.Store { return s.store }

// Stop ends every watch and call and closes the ports.
func (s *Server) Stop(ctx context.Context) error {
	s.end()
	s.store.DropWatches()
	s.listener.pause()
	_ = s.listener.Close()
	err := s.api.Stop(ctx)
	if s.faults == nil {
		return err
	}
	if faultErr := s.faults.Stop(ctx); err == nil {
		err = faultErr
	}
	return err
}

func (s *Server) register(h *server.Hertz) {
	group := h.Group("/apis/"+rest.APIVersion+"/namespaces/:mesh/:collection", s.authorize)
	group.GET("", s.list)
	group.POST("", s.create)
	group.GET("/:name", s.get)
	group.PUT("/:name", s.update)
	group.DELETE("/:name", s.delete)
}

func (s *Server) authorize(ctx context.Context, c *app.RequestContext) {
	if s.token == "" || string(c.GetHeader("Authorization")) == "Bearer "+s.token {
		c.Next(ctx)
		return
	}
	status := rest.NewStatus(401, rest.ReasonUnauthorized, "bearer token is missing or wrong")
	c.AbortWithStatusJSON(status.Code, status)
}
