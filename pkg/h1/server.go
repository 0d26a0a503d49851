package h1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// Handler answers a request. ctx ends when the caller's connection does.
type Handler func(ctx context.Context, q *Request) *Response

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

const (
	// maxPipelined bounds the requests of one connection that are worked on at
	// once; reading stops there until one is answered.
	maxPipelined = 128
	// bodyTimeout bounds the time between two parts of a request's body.
	bodyTimeout = 10 * time.Second
	// writeTimeout ends the connection of a caller that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a closing connection is read, so that the caller
	// gets the last answer before the close.
	lingerTimeout = time.Second
)

// Server serves the connections of callers. Pipelined requests are handled at
// once and answered in order.
type Server struct {
	// Handle answers requests.
	Handle Handler
	// Refuse returns the answer to a request that cannot be read whole.
	Refuse func(status int, err error) *Response
	// Broken returns the answer to a request whose handler failed unexpectedly, and
	// Panicked is told of it.
	Broken   func() *Response
	Panicked guard.Report
	// Limits returns the limits in force.
	Limits func() Limits
	// Memory bounds the bytes of all requests that are held.
	Memory *memory.Budget
	// Uplink paces large answers; nil does not.
	Uplink *pace.Uplink

	listener net.Listener
	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	draining bool
	retiring bool
	lastRead time.Time
	done     sync.WaitGroup
}

// Listen opens an address and serves it until Close.
func (s *Server) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s.listener = l
	s.conns = make(map[*serverConn]struct{})
	s.done.Add(1)
	go s.accept()
	return nil
}

// Address returns the address of the running listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	defer s.done.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if s.isRetiring() {
				_ = s.listener.Close() // nobody has come for retireGrace
				return
			}
			// For example too many open files; the next accept may succeed.
			time.Sleep(acceptPause)
			continue
		}
		if s.isRetiring() {
			// More may wait in the queue of the listener.
			s.acceptUntil(time.Now().Add(retireGrace))
		}
		sc := newServerConn(s, c)
		s.mu.Lock()
		s.conns[sc] = struct{}{}
		s.mu.Unlock()
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			if guard.Run("caller's connection", s.Panicked, sc.serve) != nil {
				_ = c.Close()
			}
			s.mu.Lock()
			delete(s.conns, sc)
			s.mu.Unlock()
		}()
	}
}

// acceptPause follows a failed accept, so that the error does not spin.
const acceptPause = 10 * time.Millisecond

// retireGrace is how long the listener of a retiring server takes connections that
// callers had opened before: closing it would reset those that it has not accepted yet.
const retireGrace = 30 * time.Millisecond

func (s *Server) isRetiring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retiring
}

// acceptUntil bounds the wait for the next connection.
func (s *Server) acceptUntil(t time.Time) {
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(t) // it fails only on a closed listener
	}
}

// Drain answers what has been read and ends each connection with its next
// answer. New connections are still served, one request each.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// noteRead notes that a request was read.
func (s *Server) noteRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = time.Now()
}

// LastRead returns when the newest request was read.
func (s *Server) LastRead() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead
}

// Pending counts the requests that have not been answered yet.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.pendingCount()
	}
	return n
}

// Retire closes the idle connections, and the listener when it has taken those that
// were opened before. What has been read is still answered.
func (s *Server) Retire() {
	s.mu.Lock()
	s.retiring = true
	for c := range s.conns {
		c.closeIdle()
	}
	s.mu.Unlock()
	s.acceptUntil(time.Now().Add(retireGrace))
}

// Close closes the listener and every connection.
func (s *Server) Close() error {
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil // Retire closed it
	}
	s.mu.Lock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
	return err
}
