package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
)

const (
	// keepAnswers is how long a call is remembered after its deadline, so that it
	// does not run again when it is sent once more.
	keepAnswers = 2 * time.Second
	// answerSlack is how long past its deadline a call waits for the upstream's own
	// answer, which then is on its way. The caller waits a little longer.
	answerSlack = 40 * time.Millisecond
	// keepCaller is how long a caller without a connection is remembered, far longer
	// than it takes to connect.
	keepCaller = time.Minute
	// orphanGrace is how long an idempotent call goes on after its connection was
	// lost; by then its caller has sent it elsewhere. Others go on to their deadline.
	orphanGrace = 700 * time.Millisecond
	// keepSent is how long a large answer to an idempotent call is kept after it was
	// written: the other node may still lose the connection before it has read it.
	keepSent = time.Second
)

// The reasons of answers that the link itself gives.
const (
	// ReasonNoMemory: there was no memory for the answer.
	ReasonNoMemory = "no-memory"
	// ReasonForgotten: the answer was dropped after it was sent, and asked for again.
	ReasonForgotten = "answer-forgotten"
	// ReasonInternal: the handling of the call failed unexpectedly; it may have run.
	ReasonInternal = "internal-error"
)

// Server answers the calls of other nodes.
type Server struct {
	Self Identity
	// Handle answers one call. ctx ends when the caller gives it up.
	Handle func(ctx context.Context, from string, c *Call) *Answer
	// Stale is the answer to a call that may have run on an earlier incarnation.
	Stale  *Answer
	Events Events

	http *http.Server
	mu   sync.Mutex
	// callers are the nodes that call, by node and incarnation.
	callers map[string]*caller
	ctx     context.Context
	cancel  context.CancelFunc
}

// caller is one incarnation of a node that calls.
type caller struct {
	mu      sync.Mutex
	session *session
	calls   map[uint64]*servedCall
	// attempt is the newest one to connect.
	attempt int64
	// triedAt is when it came.
	triedAt time.Time
}

// isNewest notes an attempt to connect and reports whether it is newer than all
// before it.
func (c *caller) isNewest(attempt int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt <= c.attempt {
		return false
	}
	c.attempt, c.triedAt = attempt, time.Now()
	return true
}

// servedCall is a call that runs here or has run.
type servedCall struct {
	cancel context.CancelFunc
	// answer is nil until the call has ended.
	answer     *Answer
	idempotent bool
	forgetAt   time.Time
	// sentAt is when a large answer was written whole, zero before.
	sentAt time.Time
}

// forgotten is the answer to a call whose own answer is not kept any more.
var forgotten = &Answer{Outcome: Unknown, Reason: ReasonForgotten, Arrived: true}

// drop releases the answer.
func (c *servedCall) drop() {
	if c.answer != nil {
		c.answer.Held.Release()
		c.answer = forgotten
	}
}

// Listen opens an address and serves it until Close.
func (s *Server) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	if s.Self.Credentials != nil {
		l = tls.NewListener(l, s.Self.Credentials.ServerConfig())
	}
	s.callers = make(map[string]*caller)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc(path, s.accept)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout}
	go func() {
		if err := s.http.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.Events.Down("", fmt.Errorf("listener for nodes on %s: %w", address, err))
		}
	}()
	go s.sweep()
	return nil
}

// Close ends the listener and every connection.
func (s *Server) Close() error {
	s.cancel()
	return s.http.Close()
}

// SendNews sends news to every node that is connected.
func (s *Server) SendNews(n *News) {
	for _, c := range s.all() {
		c.mu.Lock()
		session := c.session
		c.mu.Unlock()
		if session != nil {
			session.send(&frame{Kind: kindNews, News: n})
		}
	}
}

func (s *Server) all() []*caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*caller, 0, len(s.callers))
	for _, c := range s.callers {
		all = append(all, c)
	}
	return all
}

func (s *Server) accept(w http.ResponseWriter, r *http.Request) {
	node := r.Header.Get(headerNode)
	incarnation, err := strconv.ParseInt(r.Header.Get(headerIncarnation), 10, 64)
	attempt, attemptErr := strconv.ParseInt(r.Header.Get(headerAttempt), 10, 64)
	if node == "" || err != nil || attemptErr != nil {
		http.Error(w, "the caller does not say who it is", http.StatusBadRequest)
		return
	}
	if s.Self.Credentials != nil {
		if err := certified(*r.TLS, node); err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
	}
	if target := r.Header.Get(headerTarget); target != s.Self.Node {
		http.Error(w, fmt.Sprintf("this is node %q, not %q", s.Self.Node, target), http.StatusMisdirectedRequest)
		return
	}
	c := s.caller(node, incarnation)
	if !c.isNewest(attempt) {
		http.Error(w, fmt.Sprintf("attempt %d of %s came after a newer one", attempt, node), http.StatusConflict)
		return
	}
	w.Header().Set(headerNode, s.Self.Node)
	w.Header().Set(headerIncarnation, strconv.FormatInt(s.Self.Incarnation(), 10))
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has answered
	}
	session := newSession(s.ctx, ws, &s.Self)
	session.allowed = s.Self.allows(r.TLS)
	c.mu.Lock()
	old := c.session
	c.session = session
	c.mu.Unlock()
	if old != nil {
		old.cancel(errors.New("link: the caller connected again"))
	}
	go session.writeLoop()
	s.Self.Pulse.watch(session, func() bool { return false })
	s.Events.Up(node)
	session.readLoop(func(f *frame) error {
		s.take(node, c, session, f)
		return nil
	})
	cause := context.Cause(session.ctx)
	session.end()
	s.Events.Down(node, cause)
	s.lost(c, session)
}

func (s *Server) caller(node string, incarnation int64) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := node + " " + strconv.FormatInt(incarnation, 10)
	c, ok := s.callers[key]
	if !ok {
		c = &caller{calls: make(map[uint64]*servedCall)}
		s.callers[key] = c
	}
	return c
}

func (s *Server) take(node string, c *caller, session *session, f *frame) {
	switch {
	case f.Kind == kindCall && f.Call != nil:
		s.call(node, c, f.ID, f.Call)
	case f.Kind == kindCancel:
		session.large.cancel(f.ID)
		c.mu.Lock()
		if served := c.calls[f.ID]; served != nil {
			served.cancel()
			served.drop()
		}
		c.mu.Unlock()
	case f.Kind == kindNews && f.News != nil:
		s.Events.News(node, f.News, func(n *News) bool { return session.send(&frame{Kind: kindNews, News: n}) })
	}
}

// call runs a call, unless its id is known: then it goes on or has its answer.
func (s *Server) call(node string, c *caller, id uint64, call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if served, ok := c.calls[id]; ok {
		if served.answer != nil {
			c.reply(id, served)
		}
		return
	}
	if call.Again && call.Incarnation != s.Self.Incarnation() {
		c.reply(id, &servedCall{answer: s.Stale})
		return
	}
	left := time.Duration(call.LeftMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(s.ctx, left+answerSlack)
	served := &servedCall{cancel: cancel, idempotent: call.Idempotent, forgetAt: time.Now().Add(left + keepAnswers)}
	c.calls[id] = served
	go func() {
		defer cancel()
		var a *Answer
		if guard.Run("call", s.Self.Panicked, func() { a = s.Handle(ctx, node, call) }) != nil {
			a = &Answer{Outcome: Unknown, Reason: ReasonInternal, Arrived: true}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		served.answer = a
		c.reply(id, served)
	}()
}

// reply sends an answer on the newest connection. The caller holds mu.
func (c *caller) reply(id uint64, served *servedCall) {
	served.sentAt = time.Time{}
	if c.session == nil {
		return
	}
	c.session.answer(id, served.answer, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		served.sentAt = time.Now()
	})
}

// lost ends the idempotent calls of a connection that does not return.
func (s *Server) lost(c *caller, session *session) {
	c.mu.Lock()
	if c.session == session {
		c.session = nil
	}
	c.mu.Unlock()
	time.AfterFunc(orphanGrace, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.session != nil {
			return
		}
		for _, served := range c.calls {
			if served.answer == nil && served.idempotent {
				served.cancel()
			}
		}
	})
}

// sweep forgets calls that cannot be sent again and callers that left.
func (s *Server) sweep() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		s.forget(time.Now())
	}
}

// forget drops what is not needed any more. A caller that has just begun to
// connect has neither a session nor calls; it must stay, or its calls would not
// be found when it connects again, and would run twice.
func (s *Server) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, c := range s.callers {
		c.mu.Lock()
		for id, served := range c.calls {
			switch {
			case served.answer != nil && now.After(served.forgetAt):
				served.drop()
				delete(c.calls, id)
			case served.idempotent && !served.sentAt.IsZero() && now.Sub(served.sentAt) > keepSent:
				served.drop()
			}
		}
		if c.session == nil && len(c.calls) == 0 && now.Sub(c.triedAt) > keepCaller {
			delete(s.callers, key)
		}
		c.mu.Unlock()
	}
}
