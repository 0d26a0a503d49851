package h1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// Handler returns the response to a request. ctx is cancelled when the caller's connection
// ends.
type Handler func(ctx context.Context, q *Request) *Response

// Limits are the limits on the size of a caller's requests and on its time to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

const (
	// lingerTimeout is how long the server keeps reading a connection after its last
	// response. Closing it with unread data would reset it, and the caller could lose that
	// response.
	lingerTimeout = time.Second
)

// Server serves the connections of callers. Pipelined requests are handled concurrently and
// their responses are written in order.
type Server struct {
	// Handle returns the responses to requests.
	Handle Handler
	// Refuse returns the response to a request that cannot be read completely.
	Refuse func(status int, err error) *Response
	// PanicResponse returns the response to a request whose handler panicked. Panicked is called
	// with the panic.
	PanicResponse func() *Response
	ReportPanic   guard.ReportFunc
	// Limits returns the current limits.
	Limits func() Limits
	// Bounds limit what callers may take.
	Bounds Bounds
	// Memory is the memory budget of request bodies, of headers, and of requests whose
	// responses are not written yet.
	Memory *memory.Budget
	// AnswerMemory is the memory budget of the responses that the handler returns. While it is
	// short, connections of callers that do not read are closed. It may be nil.
	AnswerMemory *memory.Budget
	// Uplink paces large responses to the bandwidth of the link. If it is nil, they are not
	// paced.
	Uplink *pace.Uplink

	listener net.Listener
	draining atomic.Bool
	retiring atomic.Bool
	done     sync.WaitGroup

	closed    chan struct{} // closed by Close
	closeOnce sync.Once

	mu    sync.Mutex
	conns map[*serverConn]struct{}
	// perAddress counts the connections by the address of the caller.
	perAddress map[string]int
	// acceptUntil is the end of retireAcceptTime of a retiring server.
	acceptUntil time.Time
	// notAccepting is set once no connection will be accepted any more.
	notAccepting bool
	lastRead     time.Time
}

// Listen listens on an address and serves its connections in the background until Close.
func (s *Server) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s.Serve(l)
	return nil
}

// Serve serves the connections of a listener in the background until Close, which closes the
// listener.
func (s *Server) Serve(l net.Listener) {
	s.listener = l
	s.conns, s.perAddress = make(map[*serverConn]struct{}), make(map[string]int)
	s.closed = make(chan struct{})
	s.done.Add(2)
	go s.accept()
	go s.sweep()
}

// Address returns the address of the running listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	defer s.done.Done()
	defer s.stopAccepting()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if s.retiring.Load() && isTimeout(err) {
				return // the accept queue is empty
			}
			// A temporary error, such as too many open files. The next accept may succeed.
			time.Sleep(acceptPause)
			continue
		}
		if s.retiring.Load() {
			s.awaitNextAccept() // the accept queue may hold more connections
		}
		sc := newServerConn(s, c)
		if !s.admit(sc) {
			_ = c.Close()
			continue
		}
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			if guard.Run("caller's connection", s.ReportPanic, sc.serve) != nil {
				_ = c.Close()
			}
			s.mu.Lock()
			s.forget(sc)
			s.mu.Unlock()
		}()
	}
}

// acceptPause is the delay after a failed accept, which prevents a busy loop.
const acceptPause = 10 * time.Millisecond

const (
	// retireGrace is how long the listener of a retiring server waits for the next connection
	// before it closes. Closing it earlier would reset connections that callers have opened and
	// that are not accepted yet.
	retireGrace = 30 * time.Millisecond
	// retireAcceptTime bounds the time for which a retiring server waits so long. After it the
	// listener closes as soon as the accept queue is empty, for which it waits emptyQueueWait.
	retireAcceptTime = 150 * time.Millisecond
	emptyQueueWait   = time.Millisecond
	// retireReadTimeout is how long a retiring server waits for the first byte of a request on
	// a connection that it has just accepted.
	retireReadTimeout = 200 * time.Millisecond
)

// awaitNextAccept sets the deadline for accepting the next connection of a retiring server.
func (s *Server) awaitNextAccept() {
	l, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	s.mu.Lock()
	until := s.acceptUntil
	s.mu.Unlock()
	now := time.Now()
	next := now.Add(emptyQueueWait)
	if next.Before(until) {
		next = now.Add(min(retireGrace, until.Sub(now)))
	}
	_ = l.SetDeadline(next) // fails only if the listener is closed
}

// stopAccepting closes the listener. All connections that it has accepted are in conns.
func (s *Server) stopAccepting() {
	_ = s.listener.Close() // fails only if it is closed already
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notAccepting = true
}

// Drain makes the server answer the requests that it has read and close each connection
// after the response to its newest request. New connections are still served, with one
// request each.
func (s *Server) Drain() { s.draining.Store(true) }

// noteRead records the time at which a request was read.
func (s *Server) noteRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = time.Now()
}

// LastRead returns the time at which the newest request was read.
func (s *Server) LastRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead
}

// Pending returns the number of requests that are not answered yet, including those that
// are being read.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.pendingCount()
	}
	return n
}

// Retire closes the idle connections, and closes the listener once it has accepted the
// connections that were already open. Requests that have arrived are still answered. Drain
// must have been called before.
func (s *Server) Retire() {
	s.mu.Lock()
	s.acceptUntil = time.Now().Add(retireAcceptTime)
	s.retiring.Store(true)
	for c := range s.conns {
		c.closeIdle()
	}
	s.mu.Unlock()
	s.awaitNextAccept()
}

// IsRetired reports whether a retiring server has answered its last request: it accepts no
// connections, and no request will be read from those that are open.
func (s *Server) IsRetired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retiring.Load() || !s.notAccepting {
		return false
	}
	for c := range s.conns {
		if !c.isFinished() {
			return false
		}
	}
	return true
}

// Close closes the listener and every connection.
func (s *Server) Close() error {
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil // Retire has closed it already
	}
	s.closeOnce.Do(func() { close(s.closed) })
	s.mu.Lock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
	return err
}
