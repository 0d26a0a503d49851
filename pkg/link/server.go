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
	"github.com/tarragondrum/tarragondrum/pkg/h1"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
)

const (
	// answerRetention is how long a call and its answer are kept after the call's deadline, so
	// that the call doesn't run again if it is resent.
	answerRetention = 2 * time.Second
	// deadlineGrace is how long past its deadline a call still waits for the upstream's own
	// answer, which is then on its way. The calling node waits a little longer than this.
	deadlineGrace = 40 * time.Millisecond
	// callerRetention is how long a caller without a connection or calls is kept after its
	// latest attempt to connect. It is far longer than connecting takes.
	callerRetention = time.Minute
	// orphanGrace is how long an idempotent call keeps running after its connection was lost;
	// by then the calling node has retried it elsewhere. Other calls run to their deadline.
	orphanGrace = 700 * time.Millisecond
	// maxUpgradeBytes is the maximum size of the header with which a node connects, and of that of
	// the answer. Each has some hundred bytes.
	maxUpgradeBytes = 16 << 10
	// sentRetention is how long a large answer to an idempotent call is kept after it was
	// written. The connection may still break before the calling node has read it.
	sentRetention = time.Second
)

// The values of Answer.Reason that this package sets itself.
const (
	// ReasonNoMemory: the calling node had no memory left for the answer, or the serving node
	// none for the call, which then did not run.
	ReasonNoMemory = "no-memory"
	// ReasonAnswerDropped: the call was resent, but its answer, or the record of the call, was already
	// dropped.
	ReasonAnswerDropped = "answer-forgotten"
	// ReasonAnswerMalformed: the upstream sent no valid answer to the call, or another node
	// passed one on. The call may have run.
	ReasonAnswerMalformed = "answer-malformed"
	// ReasonCallMalformed: another node passed on a request with a malformed header. The call did
	// not run.
	ReasonCallMalformed = "call-malformed"
	// ReasonInternal: the handler of the call panicked. The call may have run.
	ReasonInternal = "internal-error"
)

// Server accepts the connections of other nodes and serves their calls.
type Server struct {
	Self Identity
	// Handle serves one call of node from. ctx ends when the caller cancels the call and
	// shortly after the call's deadline.
	Handle func(ctx context.Context, from string, c *Call) *Answer
	// StaleAnswer is the answer to a resent call that may have run on an earlier incarnation of this
	// node.
	StaleAnswer *Answer
	Events      Events
	// CallMemory is the memory budget of the calls that run or wait. A call that does not fit
	// is refused as not run. nil means no limit. OnNoMemory is called for each refusal; it may
	// be nil.
	CallMemory *memory.Budget
	OnNoMemory func()

	http *http.Server
	mu   sync.Mutex
	// callers are the calling nodes, by node and incarnation.
	callers map[string]*caller
	ctx     context.Context
	cancel  context.CancelFunc
	puller  *puller
}

// caller is one incarnation of a calling node.
type caller struct {
	mu sync.Mutex
	// session is the newest connection, nil without one.
	session *session
	calls   map[uint64]*servedCall
	// expired is the highest id of a call that was removed from calls. Ids increase.
	expired uint64
	// attempt is the number of the newest attempt to connect, and attemptedAt its time.
	attempt     int64
	attemptedAt time.Time
}

// recordAttempt records an attempt to connect. It returns false unless the attempt is newer
// than all that were recorded before.
func (c *caller) recordAttempt(attempt int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt <= c.attempt {
		return false
	}
	c.attempt, c.attemptedAt = attempt, time.Now()
	return true
}

// servedCall is a call that is running on this node or has ended.
type servedCall struct {
	cancel context.CancelFunc
	// answer is nil while the call is running.
	answer     *Answer
	idempotent bool
	// expiresAt is when an ended call is removed.
	expiresAt time.Time
	// sentAt is when the last part of a large answer was taken for writing, zero before.
	sentAt time.Time
	// body is the body while it is requested, else nil.
	body *incomingBody
}

// droppedAnswer replaces an answer that is no longer kept.
var droppedAnswer = &Answer{Outcome: Unknown, Reason: ReasonAnswerDropped, ReachedUpstream: true}

// dropAnswer releases the memory of the answer and keeps droppedAnswer in its place.
func (c *servedCall) dropAnswer() {
	if c.answer != nil {
		c.answer.Memory.Release()
		c.answer = droppedAnswer
	}
}

// Listen listens on an address and serves connections in the background until Close.
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
	if s.Self.Credentials != nil {
		l = tls.NewListener(l, s.Self.Credentials.ServerConfig())
	}
	s.callers = make(map[string]*caller)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.puller = newPuller(s.Self.Downlink)
	mux := http.NewServeMux()
	mux.HandleFunc(linkPath, s.accept)
	address := l.Addr()
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: dialTimeout, MaxHeaderBytes: maxUpgradeBytes}
	go func() {
		if err := s.http.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.Events.Down("", fmt.Errorf("node listener on %s: %w", address, err))
		}
	}()
	go s.sweep()
}

// Pending returns the number of calls that are running and of frames, answers among them,
// that are not completely written to the calling nodes.
func (s *Server) Pending() int {
	n := 0
	for _, c := range s.allCallers() {
		n += c.pending()
	}
	return n
}

// pending is Server.Pending for one caller. Without a connection it has nothing to write.
func (c *caller) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, served := range c.calls {
		if served.answer == nil {
			n++
		}
	}
	if c.session != nil && c.session.ctx.Err() == nil {
		n += int(c.session.unwritten.Load())
	}
	return n
}

// Close closes the listener and all connections and cancels the running calls.
func (s *Server) Close() error {
	s.cancel()
	return s.http.Close()
}

// SendStateUpdate queues a state update for all nodes that have a connection to this one.
func (s *Server) SendStateUpdate(n *StateUpdate) {
	for _, c := range s.allCallers() {
		c.mu.Lock()
		session := c.session
		c.mu.Unlock()
		if session != nil {
			session.send(&frame{Kind: kindStateUpdate, StateUpdate: n})
		}
	}
}

// allCallers returns a copy of the callers, so that mu isn't held while they are used.
func (s *Server) allCallers() []*caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*caller, 0, len(s.callers))
	for _, c := range s.callers {
		all = append(all, c)
	}
	return all
}

// accept upgrades a connection of another node to a WebSocket and serves it until it ends. It
// refuses nodes without a valid name, connections meant for another node, and attempts that
// are older than one already seen. A new connection replaces the caller's old one.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) {
	node := r.Header.Get(headerNode)
	incarnation, err := strconv.ParseInt(r.Header.Get(headerIncarnation), 10, 64)
	attempt, attemptErr := strconv.ParseInt(r.Header.Get(headerAttempt), 10, 64)
	if node == "" || err != nil || attemptErr != nil {
		http.Error(w, "the caller does not say who it is", http.StatusBadRequest)
		return
	}
	if s.Self.Credentials != nil {
		if err := verifyNode(*r.TLS, node); err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
	}
	if target := r.Header.Get(headerTarget); target != s.Self.Node {
		http.Error(w, fmt.Sprintf("this is node %q, not %q", s.Self.Node, target), http.StatusMisdirectedRequest)
		return
	}
	c := s.callerFor(node, incarnation)
	if !c.recordAttempt(attempt) {
		http.Error(w, fmt.Sprintf("attempt %d of %s came after a newer one", attempt, node), http.StatusConflict)
		return
	}
	w.Header().Set(headerNode, s.Self.Node)
	w.Header().Set(headerIncarnation, strconv.FormatInt(s.Self.Incarnation(), 10))
	if s.Self.Downlink != nil {
		w.Header().Set(headerPulls, "1")
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has sent the error response
	}
	session := newSession(s.ctx, ws, &s.Self)
	session.checkPeer = s.Self.peerCheck(r.TLS)
	c.mu.Lock()
	old := c.session
	c.session = session
	c.mu.Unlock()
	if old != nil {
		old.cancel(errors.New("link: replaced by a newer connection of the caller"))
	}
	go session.writeLoop()
	s.Self.Monitor.watch(session, func() bool { return false })
	s.Events.Up(node)
	session.readLoop(func(f *frame) error {
		s.handleFrame(node, c, session, f)
		return nil
	})
	cause := context.Cause(session.ctx)
	session.closeConn()
	s.Events.Down(node, cause)
	s.handleDisconnect(c, session)
}

// callerFor returns the caller for an incarnation of a node, and creates it if needed.
func (s *Server) callerFor(node string, incarnation int64) *caller {
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

// handleFrame handles a frame from a calling node.
func (s *Server) handleFrame(node string, c *caller, session *session, f *frame) {
	switch {
	case f.Kind == kindCall && f.Call != nil:
		s.serveCall(node, c, session, f.ID, f.Call)
	case f.Kind == kindBodyPart && f.Part != nil:
		c.receivePart(s.puller, session, f.ID, f.Part)
	case f.Kind == kindCancel:
		session.cancelAnswer(f.ID)
		c.mu.Lock()
		if served := c.calls[f.ID]; served != nil {
			served.cancel()
			served.dropAnswer()
		}
		c.mu.Unlock()
	case f.Kind == kindStateUpdate && f.StateUpdate != nil:
		s.Events.StateUpdate(node, f.StateUpdate, func(n *StateUpdate) bool { return session.send(&frame{Kind: kindStateUpdate, StateUpdate: n}) })
	}
}

// serveCall starts a call if there is memory for it. If its id is known, the call was resent: it then gets the stored
// answer, or keeps running if it hasn't ended. If its body is not complete, the body is requested
// anew from the new connection.
func (s *Server) serveCall(node string, c *caller, session *session, id uint64, call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if served, ok := c.calls[id]; ok {
		switch {
		case served.answer != nil:
			c.reply(id, served)
		case served.body != nil:
			s.puller.restart(served.body, session)
		}
		return
	}
	if call.Resent && call.Incarnation != s.Self.Incarnation() {
		c.reply(id, &servedCall{answer: s.StaleAnswer})
		return
	}
	if call.Resent && (id <= c.expired || call.RemainingMs <= 0) {
		// It may have run, and the record of that may have been removed.
		c.reply(id, &servedCall{answer: droppedAnswer})
		return
	}
	if !h1.HasValidNames(call.Header) {
		c.reply(id, &servedCall{answer: &Answer{Outcome: NotRun, Reason: ReasonCallMalformed}})
		return
	}
	held := s.CallMemory.NewReservation()
	if !held.TryGrow(h1.ForwardedCost(call.Target, call.Host, call.Header, call.Body)) {
		if s.OnNoMemory != nil {
			s.OnNoMemory()
		}
		c.reply(id, &servedCall{answer: &Answer{Outcome: NotRun, Reason: ReasonNoMemory}})
		return
	}
	left := time.Duration(call.RemainingMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(s.ctx, left+deadlineGrace)
	served := &servedCall{cancel: cancel, idempotent: call.Idempotent, expiresAt: time.Now().Add(left + answerRetention)}
	c.calls[id] = served
	var body *memory.Reservation
	if call.BodySize > 0 {
		body = s.Self.BodyBudget.NewReservation()
		call.Body = nil
		call.Fetch = func(ctx context.Context) error { return s.fetch(ctx, node, c, id, served, call, body) }
	}
	go func() {
		defer cancel()
		defer held.Release()
		defer body.Release()
		var a *Answer
		if guard.Run("call", s.Self.ReportPanic, func() { a = s.Handle(ctx, node, call) }) != nil {
			a = &Answer{Outcome: Unknown, Reason: ReasonInternal, ReachedUpstream: true}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		served.answer = a
		c.reply(id, served)
	}()
}

// reply sends the answer on the caller's newest connection, if there is one. The caller of
// reply holds mu.
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

// handleDisconnect cancels the caller's idempotent calls if it hasn't connected again after
// orphanGrace.
func (s *Server) handleDisconnect(c *caller, session *session) {
	c.mu.Lock()
	if c.session == session {
		c.session = nil
	}
	c.mu.Unlock()
	s.puller.pause(session)
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

// sweep runs expire once a second until Close.
func (s *Server) sweep() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		s.expire(time.Now())
	}
}

// expire removes ended calls and large answers whose retention is over, and callers that are
// gone. A caller that has just begun to connect has neither a session nor calls, but must be
// kept for callerRetention: otherwise the calls of that connection wouldn't be found after
// it is lost and the node connects again, and they would run twice.
func (s *Server) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, c := range s.callers {
		c.mu.Lock()
		for id, served := range c.calls {
			switch {
			case served.answer != nil && now.After(served.expiresAt):
				served.dropAnswer()
				delete(c.calls, id)
				c.expired = max(c.expired, id)
			case served.idempotent && !served.sentAt.IsZero() && now.Sub(served.sentAt) > sentRetention:
				served.dropAnswer()
			}
		}
		if c.session == nil && len(c.calls) == 0 && now.Sub(c.attemptedAt) > callerRetention {
			delete(s.callers, key)
		}
		c.mu.Unlock()
	}
}
