package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
	"github.com/tarragondrum/tarragondrum/pkg/pki"
)

// ErrNotSent is returned for a call of which no byte was sent, so that it has not run.
var ErrNotSent = errors.New("link: call was not sent")

// ErrBodyNotSent is returned for a call that got no answer and whose body was not sent completely,
// so that it has not run and never will.
var ErrBodyNotSent = fmt.Errorf("link: body was not sent: %w", ErrNotSent)

// ErrLost is returned for a call that was sent and got no answer. It may have run.
var ErrLost = errors.New("link: call was lost")

const (
	// dialTimeout bounds connecting, including both handshakes. A node that is merely slow
	// accepts within it.
	dialTimeout = 600 * time.Millisecond
	// connectWait is how long a call waits for the first connection to a new peer.
	connectWait = 400 * time.Millisecond
	// redialMin and redialMax bound the exponential backoff between attempts to connect.
	redialMin = 50 * time.Millisecond
	redialMax = 700 * time.Millisecond
	// headerNode and headerIncarnation identify each side to the other.
	headerNode        = "Tarragondrum-Node"
	headerIncarnation = "Tarragondrum-Incarnation"
	// headerTarget names the node that is dialled. A node that now has this address but
	// another name refuses the connection.
	headerTarget = "Tarragondrum-Target"
	// headerAttempt numbers a process's attempts to connect. A node that was suspended
	// accepts the attempts of that time after it resumes; the number lets it refuse those
	// that a newer attempt has replaced.
	headerAttempt = "Tarragondrum-Attempt"
	// headerPulls is set in the answer of a node that requests the bodies of calls in parts. Nodes
	// of earlier builds neither set nor read it: they get and send whole bodies.
	headerPulls = "Tarragondrum-Pulls"
)

// attempts counts the attempts of this process to connect to any node.
var attempts atomic.Int64

// Identity holds what connections need to know of their own node: its name, credentials and
// shared resources.
type Identity struct {
	Node string
	// Incarnation returns the number of the node's current lifetime.
	Incarnation func() int64
	// Monitor monitors the connections of the process.
	Monitor *Monitor
	// Credentials enable TLS with mutual authentication; nil means plain TCP.
	Credentials *pki.Credentials
	// Uplink paces large answers; nil disables pacing.
	Uplink *pace.Uplink
	// AnswerBudget limits the memory for received large answers.
	AnswerBudget *memory.Budget
	// Downlink schedules the bodies that this node requests from others; with nil, other nodes send
	// bodies with their calls.
	Downlink *pace.Downlink
	// BodyBudget limits the memory for requested bodies.
	BodyBudget *memory.Budget
	// FrameBudget limits the memory for the frames that are being received. A frame that does not fit
	// ends its connection.
	FrameBudget *memory.Budget
	// ObserveBody is called with the size of a requested body, the time that it took, and the error
	// if it is not complete; may be nil.
	ObserveBody func(bytes int, took time.Duration, err error)
	// ObserveQueueTime is called with the time that a short frame was queued before it was written; may
	// be nil.
	ObserveQueueTime func(time.Duration)
	// ReportPanic is called with panics while a frame or call is handled; may be nil.
	ReportPanic guard.ReportFunc
}

// scheme returns the URL scheme for dialling: wss with TLS, ws without.
func (i *Identity) scheme() string {
	if i.Credentials != nil {
		return "wss://"
	}
	return "ws://"
}

// Events are callbacks for connection changes and received state updates.
type Events struct {
	// Up is called after a connection to a node was opened, and Down after it was lost. If a
	// server's listener fails, Down is called with an empty node.
	Up   func(node string)
	Down func(node string, err error)
	// StateUpdate is called with a received state update. reply sends one back on the same connection, or
	// on its successor if this side dialled.
	StateUpdate func(node string, n *StateUpdate, reply func(*StateUpdate) bool)
}

// Peer is the calling side of a link to one other node. It keeps a connection open and dials
// again when that is lost.
type Peer struct {
	self    Identity
	node    string
	address string
	events  Events
	client  *http.Client

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// redial receives a value when RedialNow cuts the backoff short.
	redial chan struct{}

	mu sync.Mutex
	// session is the open connection, nil without one.
	session *session
	// dialFailed is set when the latest attempt to connect failed or the connection was lost.
	dialFailed bool
	// changed is closed and replaced when session or dialFailed changes.
	changed chan struct{}
	nextID  uint64
	// open are the calls without an answer, by id.
	open map[uint64]*openCall
	// lastCallEnd is when the latest call ended.
	lastCallEnd time.Time
}

// NewPeer returns a peer and starts to connect to it in the background.
func NewPeer(self Identity, node, address string, events Events) *Peer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &Peer{
		self: self, node: node, address: address, events: events,
		done:        make(chan struct{}),
		redial:      make(chan struct{}, 1),
		changed:     make(chan struct{}),
		open:        make(map[uint64]*openCall),
		nextID:      rand.Uint64() >> 1,
		lastCallEnd: time.Now(),
	}
	p.client = &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DialTLSContext: p.dialTLS(dialer), DisableKeepAlives: true,
		MaxResponseHeaderBytes: maxUpgradeBytes,
	}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.run()
	return p
}

// Node returns the name of the peer.
func (p *Peer) Node() string { return p.node }

// Address returns the address at which the peer is dialled.
func (p *Peer) Address() string { return p.address }

// Close closes the connection and stops dialling. Open calls fail with ErrLost.
func (p *Peer) Close() {
	p.cancel()
	<-p.done
}

// IdleTime returns the time since the latest call ended, and 0 while a call is open.
func (p *Peer) IdleTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.open) > 0 {
		return 0
	}
	return time.Since(p.lastCallEnd)
}

// Connected reports whether a connection to the peer is open, and whether the latest attempt
// to connect failed.
func (p *Peer) Connected() (open, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session != nil, p.dialFailed
}

// LastReceived returns when the last frame from the peer was received on the open connection. It
// returns false without a connection.
func (p *Peer) LastReceived() (time.Time, bool) {
	s := p.current()
	if s == nil {
		return time.Time{}, false
	}
	return s.start.Add(time.Duration(s.lastReceived.Load())), true
}

// Ping pings the peer; LastReceived shows its reply. It does nothing without a connection.
func (p *Peer) Ping() {
	if s := p.current(); s != nil {
		s.ping()
	}
}

// SendStateUpdate queues a state update for the peer. It returns false if the peer is not connected or the
// queue is full.
func (p *Peer) SendStateUpdate(n *StateUpdate) bool {
	s := p.current()
	return s != nil && s.send(&frame{Kind: kindStateUpdate, StateUpdate: n})
}

// Deliver sends a state update and reports whether the peer has handled it before ctx ends.
func (p *Peer) Deliver(ctx context.Context, n *StateUpdate) bool {
	s := p.current()
	return s != nil && s.send(&frame{Kind: kindStateUpdate, StateUpdate: n}) && s.isDelivered(ctx)
}

// current returns the open connection, or nil.
func (p *Peer) current() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session
}

// Call sends a call and waits for its answer. If the connection is lost, the call waits up to
// reconnectWait for a new one, on which it is resent.
func (p *Peer) Call(ctx context.Context, c *Call, reconnectWait time.Duration) (*Answer, error) {
	s, err := p.connected(ctx)
	if err != nil {
		return nil, err
	}
	// A call that is not idempotent cannot be retried elsewhere once it was sent, so the peer
	// must prove first that it is responsive.
	if !c.Idempotent && !s.isResponsive(ctx) {
		return nil, fmt.Errorf("%s: nothing received within %s of a ping: %w", p.node, livenessTimeout, ErrNotSent)
	}
	c.Incarnation = s.incarnation
	o := &openCall{call: c, answer: make(chan *Answer, 1), sentAt: time.Now()}
	p.mu.Lock()
	p.nextID++
	id := p.nextID
	// The call is queued and becomes open under one lock. Otherwise attach could resend on a new
	// connection a call that the old one refuses, and a call that counts as not sent would run.
	if !s.send(&frame{Kind: kindCall, ID: id, Call: o.head(s, *c)}) {
		p.mu.Unlock()
		return nil, fmt.Errorf("%s: %w", p.node, ErrNotSent)
	}
	p.open[id] = o
	p.mu.Unlock()
	defer p.removeCall(id)
	a, err := p.await(ctx, id, o, reconnectWait)
	return p.result(o, a, err)
}

// connected returns the open connection. It waits up to connectWait while the first attempt
// to connect is under way, and fails at once after an attempt has failed.
func (p *Peer) connected(ctx context.Context) (*session, error) {
	limit := time.NewTimer(connectWait)
	defer limit.Stop()
	for {
		p.mu.Lock()
		s, failed, changed := p.session, p.dialFailed, p.changed
		p.mu.Unlock()
		if s != nil {
			return s, nil
		}
		if failed {
			return nil, fmt.Errorf("%s: %w", p.node, ErrNotSent)
		}
		select {
		case <-changed:
		case <-limit.C:
			return nil, fmt.Errorf("%s: no connection within %s: %w", p.node, connectWait, ErrNotSent)
		case <-ctx.Done():
			return nil, fmt.Errorf("%s: %w: %w", p.node, ErrNotSent, ctx.Err())
		}
	}
}

// hasOpenCalls reports whether calls wait for an answer.
func (p *Peer) hasOpenCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) > 0
}

// RedialNow cuts the backoff short and dials a lost peer at once, for example after a state update about it
// came from elsewhere.
func (p *Peer) RedialNow() {
	select {
	case p.redial <- struct{}{}:
	default:
	}
}

// run keeps the peer connected until Close.
func (p *Peer) run() {
	defer close(p.done)
	backoff := redialMin
	for p.ctx.Err() == nil {
		s, err := p.dial()
		if err != nil {
			p.setSession(nil, true)
			select {
			case <-time.After(backoff/2 + rand.N(backoff)):
			case <-p.redial:
			case <-p.ctx.Done():
			}
			backoff = min(2*backoff, redialMax)
			continue
		}
		backoff = redialMin
		p.attach(s)
		p.events.Up(p.node)
		s.readLoop(p.handleFrame)
		s.closeConn()
		// Until the peer is connected again, new calls fail at once and can go elsewhere.
		p.setSession(nil, true)
		p.events.Down(p.node, context.Cause(s.ctx))
	}
}

// dial opens a connection and starts its write loop and monitoring.
func (p *Peer) dial() (*session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(headerNode, p.self.Node)
	header.Set(headerTarget, p.node)
	header.Set(headerAttempt, strconv.FormatInt(attempts.Add(1), 10))
	header.Set(headerIncarnation, fmt.Sprint(p.self.Incarnation()))
	ws, response, err := websocket.Dial(ctx, p.self.scheme()+p.address+linkPath, &websocket.DialOptions{HTTPClient: p.client, HTTPHeader: header})
	if err != nil {
		return nil, fmt.Errorf("connect to %s at %s: %w", p.node, p.address, err)
	}
	incarnation, err := strconv.ParseInt(response.Header.Get(headerIncarnation), 10, 64)
	if err != nil {
		_ = ws.CloseNow()
		return nil, fmt.Errorf("connect to %s at %s: parse incarnation: %w", p.node, p.address, err)
	}
	s := newSession(p.ctx, ws, &p.self)
	s.checkPeer = p.self.peerCheck(response.TLS)
	s.incarnation, s.pulls = incarnation, response.Header.Get(headerPulls) != ""
	go s.writeLoop()
	p.self.Monitor.watch(s, p.hasOpenCalls)
	return s, nil
}

// attach makes s the peer's connection and resends the open calls on it, with the time that
// has passed since they were first sent taken off their deadlines.
func (p *Peer) attach(s *session) {
	p.mu.Lock()
	resend := make([]*frame, 0, len(p.open))
	for id, o := range p.open {
		if o.ended {
			continue
		}
		c := *o.call
		elapsed := time.Since(o.sentAt).Milliseconds()
		c.RemainingMs, c.LatencyTargetMs, c.Resent = c.RemainingMs-elapsed, c.LatencyTargetMs-elapsed, true
		resend = append(resend, &frame{Kind: kindCall, ID: id, Call: o.head(s, c)})
	}
	p.mu.Unlock()
	p.setSession(s, false)
	for _, f := range resend {
		s.send(f)
	}
}

// setSession replaces the connection and wakes everyone who waits for a change.
func (p *Peer) setSession(s *session, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session, p.dialFailed = s, failed
	close(p.changed)
	p.changed = make(chan struct{})
}
