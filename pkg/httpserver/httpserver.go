// Package httpserver starts and stops hertz servers. Start binds the port before it returns,
// so that an address in use is reported as its error, and Stop waits for requests in flight.
// Each server bounds its connections, the sizes of requests and the time to send them.
package httpserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/tarragondrum/tarragondrum/pkg/h1"
)

// pollInterval is the interval at which a starting server is checked for whether it runs.
const pollInterval = time.Millisecond

// init turns off hertz's log, except for fatal errors.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// Server is a running hertz server.
type Server struct {
	hertz *server.Hertz
	addr  string
	done  chan error
}

// Start binds addr ("IP:port", where port 0 picks a free port), calls register to add the
// routes, and serves within the bounds in the background until Stop.
func Start(addr string, bounds Bounds, register func(*server.Hertz), options ...config.Option) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return Serve(ln, bounds, register, options...)
}

// Serve does the same as Start on a listener that is already bound, and takes ownership of
// the listener.
func Serve(ln net.Listener, bounds Bounds, register func(*server.Hertz), options ...config.Option) (*Server, error) {
	bounds = bounds.withDefaults()
	options = append([]config.Option{
		server.WithListener(newBoundedListener(ln, bounds)),
		server.WithMaxHeaderBytes(bounds.HeaderBytes),
		server.WithMaxRequestBodySize(bounds.BodyBytes),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	}, options...)
	s := &Server{
		hertz: server.New(options...),
		addr:  ln.Addr().String(),
		done:  make(chan error, 1),
	}
	s.hertz.Use(refuseMalformed(bounds.OnRefuse))
	register(s.hertz)
	go func() { s.done <- s.hertz.Run() }()
	return s, s.waitRunning(ln)
}

// refuseMalformed returns a handler that refuses requests with a field name that is not a token and
// closes their connections. The parser of hertz refuses blanks and accepts control bytes.
func refuseMalformed(onRefuse func(reason string)) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		valid := true
		rc.Request.Header.VisitAll(func(name, _ []byte) { valid = valid && h1.IsToken(string(name)) })
		if valid {
			rc.Next(ctx)
			return
		}
		onRefuse(ReasonMalformed)
		rc.SetConnectionClose()
		rc.AbortWithStatus(http.StatusBadRequest)
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Stop closes the listener and waits until the requests in flight have ended or ctx is
// done.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.hertz.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop server on %s: %w", s.addr, err)
	}
	return nil
}

// waitRunning waits until the server runs, or returns the error with which it failed to
// start.
func (s *Server) waitRunning(ln net.Listener) error {
	for !s.hertz.IsRunning() {
		select {
		case err := <-s.done:
			_ = ln.Close()
			return fmt.Errorf("serve on %s: %w", s.addr, err)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
