// Package upstream is a stand-in for the upstreams of a mesh: a small HTTP
// server with slots, service times, cold starts and shedding, that can be told
// to stall, crash, fail calls behind a good health page and die of a poison.
package upstream

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/tarragondrum/tarragondrum/pkg/history"
	"github.com/tarragondrum/tarragondrum/pkg/httpserver"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

const (
	// HealthPath answers probes.
	HealthPath = "/health"
	// HeaderAttempt carries the id of one sending of a call.
	HeaderAttempt = "X-Attempt"
	// HeaderPoison marks a call that crashes the upstream.
	HeaderPoison = "X-Poison"
	// headerShed tells a node that a shed call did not run.
	headerShed = "Tarragondrum-Shed"
	// maxSlowdown bounds the service time drawn, in multiples of the median.
	maxSlowdown = 20
)

// Options describe a stand-in.
type Options struct {
	// Address is the IP and port to listen on; port 0 picks a free one.
	Address string
	// Slots bounds the calls that run at the same time; zero means no bound.
	Slots int
	// Queue bounds the calls that wait for a slot; further ones are shed.
	Queue int
	// Median is the median service time, Spread the sigma of its logarithm.
	Median time.Duration
	Spread float64
	// Cold is how long after a start the service time is higher, ColdFactor by
	// how much at the start.
	Cold       time.Duration
	ColdFactor float64
	// Seed seeds the service times.
	Seed uint64
	// History receives the calls that ran; nil for none.
	History *history.History
}

// Server is a running stand-in.
type Server struct {
	opts  Options
	addr  string
	slots chan struct{}

	mu      sync.Mutex
	rng     *rand.Rand
	conns   map[net.Conn]struct{}
	ln      net.Listener
	http    *httpserver.Server
	started time.Time

	// generation grows with each crash; calls of an older one are dead.
	generation atomic.Int64
	waiting    atomic.Int64
	runs       atomic.Uint64
	crashes    atomic.Uint64
	crashAfter atomic.Int64
	stalled    atomic.Bool
	failing    atomic.Bool
	resume     atomic.Pointer[chan struct{}]
}

// Start runs a stand-in.
func Start(opts Options) (*Server, error) {
	s := &Server{opts: opts, addr: opts.Address, rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed+1))}
	if opts.Slots > 0 {
		s.slots = make(chan struct{}, opts.Slots)
	}
	return s, s.Restart()
}

// Addr returns the address of the stand-in, which stays over restarts.
func (s *Server) Addr() string { return s.addr }

// Runs returns the number of calls that ran.
func (s *Server) Runs() uint64 { return s.runs.Load() }

// Crashes returns the number of crashes.
func (s *Server) Crashes() uint64 { return s.crashes.Load() }

// Busy returns the number of slots in use.
func (s *Server) Busy() int { return len(s.slots) }

// Started returns the time of the last start.
func (s *Server) Started() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// Restart listens again after a crash or a stop, from a cold start.
func (s *Server) Restart() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("stand-in upstream: %w", err)
	}
	s.mu.Lock()
	if s.ln == nil {
		s.addr = ln.Addr().String()
	}
	s.ln = ln
	s.conns = make(map[net.Conn]struct{})
	s.started = time.Now()
	s.mu.Unlock()
	s.http, err = httpserver.Serve(&listener{Listener: ln, server: s, generation: s.generation.Load()}, func(h *server.Hertz) {
		h.GET(HealthPath, func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusOK) })
		h.Any("/*path", s.handle)
	}, server.WithDisablePreParseMultipartForm(true))
	return err
}

// Crash cuts every connection and closes the listener at once.
func (s *Server) Crash() {
	s.crashes.Add(1)
	s.generation.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns = make(map[net.Conn]struct{})
}

// CrashAfter makes the stand-in crash when n more orders have run, before it
// answers the last of them.
func (s *Server) CrashAfter(n int) { s.crashAfter.Store(int64(n)) }

// Stop ends the stand-in; calls in flight are cut.
func (s *Server) Stop() {
	s.SetStalled(false)
	s.Crash()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.http.Stop(ctx)
}

// SetStalled makes calls hang before they run; the health page still answers.
func (s *Server) SetStalled(stalled bool) {
	if stalled {
		c := make(chan struct{})
		s.resume.Store(&c)
		s.stalled.Store(true)
		return
	}
	if s.stalled.CompareAndSwap(true, false) {
		close(*s.resume.Load())
	}
}

// SetFailing makes calls fail at once; the health page still answers.
func (s *Server) SetFailing(failing bool) { s.failing.Store(failing) }

func (s *Server) handle(ctx context.Context, c *app.RequestContext) {
	generation := s.generation.Load()
	if s.failing.Load() {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	if !s.acquire(ctx) {
		c.Response.Header.Set(headerShed, string(reason.NotRun))
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	if s.stalled.Load() {
		<-*s.resume.Load()
	}
	if len(c.GetHeader(HeaderPoison)) > 0 {
		s.ran(c, "")
		s.Crash()
		return
	}
	time.Sleep(s.draw())
	if generation != s.generation.Load() {
		// A crash has begun and may not have reached this connection yet. Without
		// this, the server would end the call with an empty success.
		_ = c.GetConn().Close()
		return
	}
	s.answer(c)
}

// answer records an order as run and replies with a body that names the run.
func (s *Server) answer(c *app.RequestContext) {
	n := s.runs.Add(1)
	body := fmt.Sprintf("run %d on %s for attempt %s", n, s.addr, c.GetHeader(HeaderAttempt))
	if s.ran(c, body) {
		if s.crashAfter.Load() > 0 && s.crashAfter.Add(-1) == 0 {
			s.Crash()
			return
		}
	}
	c.Response.SetBodyString(body)
}

// ran puts a call into the history and reports whether it is an order.
func (s *Server) ran(c *app.RequestContext, body string) bool {
	key := string(c.GetHeader(order.HeaderKey))
	if s.opts.History != nil {
		s.opts.History.Ran(history.Run{Attempt: string(c.GetHeader(HeaderAttempt)), Key: key, Body: body})
	}
	return key != ""
}

// acquire takes a slot, waiting for one if the queue is not full.
func (s *Server) acquire(ctx context.Context) bool {
	if s.slots == nil {
		return true
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > int64(s.opts.Queue) {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) release() {
	if s.slots != nil {
		<-s.slots
	}
}

// draw returns a service time: log-normal, and higher after a start.
func (s *Server) draw() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := min(math.Exp(s.rng.NormFloat64()*s.opts.Spread), maxSlowdown)
	if age := time.Since(s.started); age < s.opts.Cold {
		left := 1 - float64(age)/float64(s.opts.Cold)
		factor *= 1 + left*(s.opts.ColdFactor-1)
	}
	return time.Duration(float64(s.opts.Median) * factor)
}

// listener remembers its connections, so that a crash can cut them.
type listener struct {
	net.Listener
	server     *Server
	generation int64
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.generation != l.server.generation.Load() {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.server.conns[c] = struct{}{}
	return &conn{Conn: c, server: l.server}, nil
}

type conn struct {
	net.Conn
	server *Server
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c.Conn)
	c.server.mu.Unlock()
	return c.Conn.Close()
}
