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

// ErrNotSent is returned for a call that no byte was sent of.
var ErrNotSent = errors.New("link: call was not sent")

// ErrLost is returned for a call that was sent and whose connection was lost; it
// may have run.
var ErrLost = errors.New("link: call was lost")

const (
	// dialTimeout bounds opening a connection. A node that is only slow answers
	// within it.
	dialTimeout = 600 * time.Millisecond
	// connectWait is how long a call waits for the first connection to a peer.
	connectWait = 400 * time.Millisecond
	// redialMin and redialMax bound the pause before a lost peer is dialled again.
	redialMin = 50 * time.Millisecond
	redialMax = 700 * time.Millisecond
	// headerNode and headerIncarnation introduce each side to the other.
	headerNode        = "Tarragondrum-Node"
	headerIncarnation = "Tarragondrum-Incarnation"
	// headerTarget names the node that is dialled: its address may have been given
	// to another one.
	headerTarget = "Tarragondrum-Target"
	// headerAttempt numbers the attempts of a process to connect. A node that was
	// frozen accepts old attempts after it has woken.
	headerAttempt = "Tarragondrum-Attempt"
)

// attempts counts the attempts of this process.
var attempts atomic.Int64

// Identity is the node that calls.
type Identity struct {
	Node        string
	Incarnation func() int64
	// Pulse looks at the connections of the process.
	Pulse *Pulse
	// Credentials seal the connections; without them they are plain.
	Credentials *pki.Credentials
	// Uplink paces large answers; nil does not.
	Uplink *pace.Uplink
	// Answers bounds the large answers that are held.
	Answers *memory.Budget
	// Waited is told how long short messages waited to be written; nil is not.
	Waited func(time.Duration)
	// Panicked is told of unexpected errors while a message is handled; nil is not.
	Panicked guard.Report
}

// scheme returns the scheme of the addresses that are dialled.
func (i *Identity) scheme() string {
	if i.Credentials != nil {
		return "wss://"
	}
	return "ws://"
}

// Events are told of what happens on the connections.
type Events struct {
	// Up and Down are told of a peer that was reached or lost.
	Up   func(node string)
	Down func(node string, err error)
	// News is told of what a peer says beside calls. reply sends something back.
	News func(node string, n *News, reply func(*News) bool)
}

// Peer calls one other node.
type Peer struct {
	self    Identity
	node    string
	address string
	events  Events
	client  *http.Client

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	mu      sync.Mutex
	session *session
	// failed tells that the newest attempt to connect failed.
	failed bool
	// changed is closed when session or failed change.
	changed chan struct{}
	nextID  uint64
	open    map[uint64]*openCall
	// used is when the last call ended.
	used time.Time
}

// NewPeer returns a peer and begins to connect to it.
func NewPeer(self Identity, node, address string, events Events) *Peer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &Peer{
		self: self, node: node, address: address, events: events,
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}),
		open:    make(map[uint64]*openCall),
		nextID:  rand.Uint64() >> 1,
		used:    time.Now(),
	}
	p.client = &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DialTLSContext: p.dialSealed(dialer), DisableKeepAlives: true,
	}}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.run()
	return p
}

// Address returns the address that the peer is dialled at.
func (p *Peer) Address() string { return p.address }

// Close ends the connection. Open calls end as lost.
func (p *Peer) Close() {
	p.cancel()
	<-p.done
}

// Unused returns the time since the last call ended, 0 while one is open.
func (p *Peer) Unused() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.open) > 0 {
		return 0
	}
	return time.Since(p.used)
}

// Connected reports whether a connection to the peer is open, and whether the
// newest attempt to open one failed.
func (p *Peer) Connected() (open, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session != nil, p.failed
}

// Heard returns when the peer was last heard on the open connection, or false without one.
func (p *Peer) Heard() (time.Time, bool) {
	s := p.current()
	if s == nil {
		return time.Time{}, false
	}
	return s.start.Add(time.Duration(s.heard.Load())), true
}

// Ask asks the peer for a sign of life, which Heard shows. Without a connection it does
// nothing.
func (p *Peer) Ask() {
	if s := p.current(); s != nil {
		s.send(&frame{Kind: kindPing})
	}
}

// SendNews sends news to the peer if it is connected, and reports whether it is.
func (p *Peer) SendNews(n *News) bool {
	s := p.current()
	return s != nil && s.send(&frame{Kind: kindNews, News: n})
}

func (p *Peer) current() *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session
}

// Call sends a call and waits for its answer. After the connection is lost it
// waits up to patience for the peer to return.
func (p *Peer) Call(ctx context.Context, c *Call, patience time.Duration) (*Answer, error) {
	s, err := p.connected(ctx)
	if err != nil {
		return nil, err
	}
	// An order that is sent to a node which is gone cannot be sent to another one.
	if !c.Idempotent && !s.isAlive(ctx) {
		return nil, fmt.Errorf("%s: no sign of life within %s: %w", p.node, aliveWait, ErrNotSent)
	}
	c.Incarnation = s.incarnation
	o := &openCall{call: c, answer: make(chan *Answer, 1), sentAt: time.Now()}
	p.mu.Lock()
	p.nextID++
	id := p.nextID
	p.open[id] = o
	p.mu.Unlock()
	defer p.forget(id)
	if !s.send(&frame{Kind: kindCall, ID: id, Call: c}) {
		return nil, fmt.Errorf("%s: %w", p.node, ErrNotSent)
	}
	return p.await(ctx, id, o, patience)
}

// connected returns the open connection. Where none has been tried yet it waits
// for one.
func (p *Peer) connected(ctx context.Context) (*session, error) {
	limit := time.NewTimer(connectWait)
	defer limit.Stop()
	for {
		p.mu.Lock()
		s, failed, changed := p.session, p.failed, p.changed
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

func (p *Peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) > 0
}

// Hurry dials a lost peer again at once, for example when it is heard from.
func (p *Peer) Hurry() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run keeps the peer connected until Close.
func (p *Peer) run() {
	defer close(p.done)
	pause := redialMin
	for p.ctx.Err() == nil {
		s, err := p.dial()
		if err != nil {
			p.set(nil, true)
			select {
			case <-time.After(pause/2 + rand.N(pause)):
			case <-p.wake:
			case <-p.ctx.Done():
			}
			pause = min(2*pause, redialMax)
			continue
		}
		pause = redialMin
		p.attach(s)
		p.events.Up(p.node)
		s.readLoop(p.take)
		s.end()
		// Until it is connected again calls go elsewhere instead of waiting.
		p.set(nil, true)
		p.events.Down(p.node, context.Cause(s.ctx))
	}
}

func (p *Peer) dial() (*session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	header.Set(headerNode, p.self.Node)
	header.Set(headerTarget, p.node)
	header.Set(headerAttempt, strconv.FormatInt(attempts.Add(1), 10))
	header.Set(headerIncarnation, fmt.Sprint(p.self.Incarnation()))
	ws, answer, err := websocket.Dial(ctx, p.self.scheme()+p.address+path, &websocket.DialOptions{HTTPClient: p.client, HTTPHeader: header})
	if err != nil {
		return nil, fmt.Errorf("connect to %s at %s: %w", p.node, p.address, err)
	}
	incarnation, err := strconv.ParseInt(answer.Header.Get(headerIncarnation), 10, 64)
	if err != nil {
		_ = ws.CloseNow()
		return nil, fmt.Errorf("connect to %s at %s: incarnation: %w", p.node, p.address, err)
	}
	s := newSession(p.ctx, ws, &p.self)
	s.allowed = p.self.allows(answer.TLS)
	s.incarnation = incarnation
	go s.writeLoop()
	p.self.Pulse.watch(s, p.busy)
	return s, nil
}

// attach makes s the connection of the peer and sends the open calls again.
func (p *Peer) attach(s *session) {
	p.mu.Lock()
	again := make([]*frame, 0, len(p.open))
	for id, o := range p.open {
		c := *o.call
		spent := time.Since(o.sentAt).Milliseconds()
		c.LeftMs, c.AimMs, c.Again = c.LeftMs-spent, c.AimMs-spent, true
		again = append(again, &frame{Kind: kindCall, ID: id, Call: &c})
	}
	p.mu.Unlock()
	p.set(s, false)
	for _, f := range again {
		s.send(f)
	}
}

func (p *Peer) set(s *session, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session, p.failed = s, failed
	close(p.changed)
	p.changed = make(chan struct{})
}
