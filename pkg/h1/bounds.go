package h1

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/sock"
)

// Reasons for which a request or connection of a caller is refused or closed.
const (
	ReasonConnections       = "connections"
	ReasonAddress           = "connections-of-address"
	ReasonHeaderMemory      = "header-memory"
	ReasonBodyMemory        = "body-memory"
	ReasonHeaderTooLarge    = "header-too-large"
	ReasonBodyTooLarge      = "body-too-large"
	ReasonHeaderTime        = "header-time"
	ReasonBodyPace          = "body-pace"
	ReasonAnswerUnread      = "answer-unread"
	ReasonMalformed         = "malformed"
	ReasonMemoryHeldByStall = "stalled"
)

// Bounds limit what callers may take of the server together and one by one. A value of 0 is
// no limit, unless a default is named.
type Bounds struct {
	// Connections and ConnectionsPerAddress are the maximum numbers of open connections,
	// altogether and from one address.
	Connections, ConnectionsPerAddress int
	// RequestsAhead is the maximum number of requests of a connection that are read before
	// their responses are written, 128 by default.
	RequestsAhead int
	// BodyBytesPerS is the pace that a request body must keep over each BodyStall, which is
	// 10 s by default.
	BodyBytesPerS float64
	BodyStall     time.Duration
	// AnswerStall is the time for a caller to read a part of a response, 10 s by default.
	AnswerStall time.Duration
	// OnRefuse is called with the reason for which a request is refused before it is handled,
	// or a connection closed. It may be nil.
	OnRefuse func(reason string)
}

const (
	// defaultRequestsAhead, defaultBodyStall and defaultAnswerStall apply where Bounds has 0.
	defaultRequestsAhead = 128
	defaultBodyStall     = 10 * time.Second
	defaultAnswerStall   = 10 * time.Second
	// stalledAfter is how long a caller may make no progress while the memory that it holds is
	// short. Callers on a busy host may not run for some hundred milliseconds. waitingAfter is
	// how long responses may wait behind that of an earlier request meanwhile; it is longer,
	// since an ordinary request may take a second or two.
	stalledAfter = time.Second
	waitingAfter = 4 * time.Second
	// pressureShare is the part of a memory budget beyond which memory is short.
	pressureShare = 0.75
	// sweepInterval is the time between two checks for stalled callers.
	sweepInterval = 100 * time.Millisecond
	// maxPeeked is the number of connections that are examined to make room for one.
	maxPeeked = 8
)

func (s *Server) requestsAhead() int {
	if s.Bounds.RequestsAhead > 0 {
		return s.Bounds.RequestsAhead
	}
	return defaultRequestsAhead
}

func (s *Server) bodyStall() time.Duration {
	if s.Bounds.BodyStall > 0 {
		return s.Bounds.BodyStall
	}
	return defaultBodyStall
}

func (s *Server) answerStall() time.Duration {
	if s.Bounds.AnswerStall > 0 {
		return s.Bounds.AnswerStall
	}
	return defaultAnswerStall
}

// refused reports a refusal.
func (s *Server) refused(reason string) {
	if s.Bounds.OnRefuse != nil {
		s.Bounds.OnRefuse(reason)
	}
}

// errBodyPace is the error of a body that does not keep its pace.
var errBodyPace = errors.New("h1: body is sent too slowly")

// refusal returns the status and the reason for an error of a request that cannot be read
// completely, and 0 if the caller has disconnected. inBody tells that the header was read.
func refusal(err error, inBody bool) (status int, reason string) {
	switch {
	case errors.Is(err, ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge
	case errors.Is(err, ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge, ReasonBodyTooLarge
	case errors.Is(err, ErrNoMemory) && inBody:
		return http.StatusServiceUnavailable, ReasonBodyMemory
	case errors.Is(err, ErrNoMemory):
		return http.StatusServiceUnavailable, ReasonHeaderMemory
	case errors.Is(err, ErrMalformed):
		return http.StatusBadRequest, ReasonMalformed
	case errors.Is(err, errBodyPace), isTimeout(err) && inBody:
		return http.StatusRequestTimeout, ReasonBodyPace
	case isTimeout(err):
		return http.StatusRequestTimeout, ReasonHeaderTime
	}
	return 0, ""
}

// admit makes room for a new connection and adds it. It returns false if there is no room,
// since all open connections wait for responses.
func (s *Server) admit(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.Bounds
	if b.ConnectionsPerAddress > 0 && s.perAddress[c.address] >= b.ConnectionsPerAddress && !s.makeRoom(c.address, ReasonAddress) {
		s.refused(ReasonAddress)
		return false
	}
	if b.Connections > 0 && len(s.conns) >= b.Connections && !s.makeRoom("", ReasonConnections) {
		s.refused(ReasonConnections)
		return false
	}
	s.conns[c] = struct{}{}
	s.perAddress[c.address]++
	return true
}

// forget removes a connection that has ended or is closed to make room. The caller holds mu.
func (s *Server) forget(c *serverConn) {
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	if s.perAddress[c.address]--; s.perAddress[c.address] <= 0 {
		delete(s.perAddress, c.address)
	}
}

// makeRoom closes the connection, of an address if one is given, that has waited for its
// caller the longest, and reports whether there was one. Connections of callers that complete
// their requests are the newest in this order. The caller holds mu.
func (s *Server) makeRoom(address, reason string) bool {
	var peeked map[*serverConn]bool
	for range maxPeeked {
		var victim *serverConn
		var since time.Time
		for c := range s.conns {
			if address != "" && c.address != address || peeked[c] {
				continue
			}
			if at, ok := c.waitsForCaller(); ok && (victim == nil || at.Before(since)) {
				victim, since = c, at
			}
		}
		if victim == nil {
			return false
		}
		if victim.closeToMakeRoom() {
			s.refused(reason)
			s.forget(victim)
			return true
		}
		if peeked == nil {
			peeked = make(map[*serverConn]bool)
		}
		peeked[victim] = true
	}
	return false
}

// waitsForCaller returns since when the connection has made no progress, and whether it waits
// for its caller: none of its requests is being handled.
func (c *serverConn) waitsForCaller() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progressAt, c.unanswered == 0 && !c.closing
}

// closeToMakeRoom closes the connection if it still waits for its caller. It does not close an
// idle one on which a request has just arrived.
func (c *serverConn) closeToMakeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 || c.closing {
		return false
	}
	if !c.reading {
		if unread, err := sock.Peek(c.conn); err == nil && unread == sock.Readable {
			return false
		}
	}
	_ = c.conn.Close()
	return true
}

// progress records that the caller has sent or read a part of a message.
func (c *serverConn) progress() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progressAt = time.Now()
}

// sweep closes the connections of stalled callers while the memory that they hold is short,
// until the server is closed.
func (s *Server) sweep() {
	defer s.done.Done()
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-tick.C:
		}
		if s.Memory.IsOver(pressureShare) {
			s.closeStalled((*serverConn).stalledRequest, stalledAfter)
		}
		if s.AnswerMemory.IsOver(pressureShare) && !s.closeStalled((*serverConn).stalledAnswer, stalledAfter) {
			s.closeStalled((*serverConn).holdsAnswers, waitingAfter)
		}
	}
}

// closeStalled closes the connection that has made no progress for the longest time, and for
// longer than after, among those for which stalled holds. It reports whether there was one.
func (s *Server) closeStalled(stalled func(*serverConn) bool, after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victim *serverConn
	oldest := time.Now().Add(-after)
	for c := range s.conns {
		c.mu.Lock()
		if c.progressAt.Before(oldest) && stalled(c) {
			victim, oldest = c, c.progressAt
		}
		c.mu.Unlock()
	}
	if victim == nil {
		return false
	}
	s.refused(ReasonMemoryHeldByStall)
	_ = victim.conn.Close()
	return true
}

// stalledRequest reports whether a request is being read. The caller holds mu.
func (c *serverConn) stalledRequest() bool { return c.reading && c.unanswered == 0 || c.writing }

// stalledAnswer reports whether a response is being written. The caller holds mu.
func (c *serverConn) stalledAnswer() bool { return c.writing }

// holdsAnswers reports whether responses wait behind that of an earlier request, which may
// itself wait for the memory that they take. The caller holds mu.
func (c *serverConn) holdsAnswers() bool { return c.ready > 0 }

// addressOf returns the address of a caller without its port.
func addressOf(c net.Conn) string {
	remote := c.RemoteAddr()
	if remote == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return remote.String()
	}
	return host
}
