package link_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/memory"
	"github.com/tarragondrum/tarragondrum/pkg/pace"
)

// monitor monitors the connections of all tests.
var monitor = link.NewMonitor()

// relay is a TCP proxy that can break connections, drop their data, refuse new ones and slow
// them down.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []net.Conn
	// silent drops all data, and refuse closes new connections.
	silent atomic.Bool
	refuse atomic.Bool
	// pause is the delay in nanoseconds for each 4 kB, which simulates a slow link.
	pause atomic.Int64
}

// newRelay starts a relay to the target address.
func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target}
	t.Cleanup(func() { _ = l.Close(); r.cut() })
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.refuse.Load() {
			_ = c.Close()
			continue
		}
		up, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, c, up)
		r.mu.Unlock()
		go r.copy(up, c)
		go r.copy(c, up)
	}
}

func (r *relay) copy(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if r.silent.Load() {
			continue // drop the data without closing the connection
		}
		time.Sleep(time.Duration(r.pause.Load() * int64(n) / int64(len(buf))))
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// cut closes every connection.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

func identity(node string, incarnation int64) link.Identity {
	return link.Identity{Node: node, Incarnation: func() int64 { return incarnation }, Monitor: monitor}
}

// quiet returns event callbacks that do nothing.
func quiet() link.Events {
	return link.Events{Up: func(string) {}, Down: func(string, error) {}, StateUpdate: func(string, *link.StateUpdate, func(*link.StateUpdate) bool) {}}
}

var stale = &link.Answer{Outcome: link.Unknown, Reason: "stale"}

// pair is a server and a peer that calls it through a relay. runs counts the calls that the
// server has started.
type pair struct {
	server *link.Server
	relay  *relay
	peer   *link.Peer
	runs   atomic.Int32
}

func newPair(t *testing.T, handle func(ctx context.Context, c *link.Call) *link.Answer) *pair {
	t.Helper()
	p := &pair{}
	address := freeAddress(t)
	p.server = p.listen(t, address, 1, handle)
	p.relay = newRelay(t, address)
	p.peer = link.NewPeer(identity("caller", 1), "target", p.relay.listener.Addr().String(), quiet())
	t.Cleanup(p.peer.Close)
	return p
}

// listen starts a server as an incarnation of node "target".
func (p *pair) listen(t *testing.T, address string, incarnation int64, handle func(ctx context.Context, c *link.Call) *link.Answer) *link.Server {
	t.Helper()
	s := &link.Server{
		Self: identity("target", incarnation), StaleAnswer: stale, Events: quiet(),
		Handle: func(ctx context.Context, _ string, c *link.Call) *link.Answer {
			p.runs.Add(1)
			return handle(ctx, c)
		},
	}
	if err := s.Listen(address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// freeAddress returns a local address that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (p *pair) call(ctx context.Context, target string) (*link.Answer, error) {
	return p.peer.Call(ctx, &link.Call{Target: target, RemainingMs: 3000}, 3*time.Second)
}

func ran(body string) *link.Answer {
	return &link.Answer{Outcome: link.Ran, Status: 200, Body: []byte(body)}
}

// slow returns a handler that answers after d with the target of the call.
func slow(d time.Duration) func(ctx context.Context, c *link.Call) *link.Answer {
	return func(ctx context.Context, c *link.Call) *link.Answer {
		select {
		case <-time.After(d):
			return ran(c.Target)
		case <-ctx.Done():
			return &link.Answer{Outcome: link.Unknown, Reason: "cancelled"}
		}
	}
}

// Calls whose connection breaks repeatedly while they run must run once each and get their
// own answers.
func TestCallsSurviveConnectionLoss(t *testing.T) {
	is := is.New(t)
	p := newPair(t, slow(400*time.Millisecond))
	const calls = 20
	var all sync.WaitGroup
	for i := range calls {
		all.Add(1)
		go func() {
			defer all.Done()
			target := fmt.Sprint("/", i)
			a, err := p.call(context.Background(), target)
			if err != nil || string(a.Body) != target {
				t.Errorf("call %s: %v, %v", target, a, err)
			}
		}()
	}
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		p.relay.cut()
	}
	all.Wait()
	is.Equal(p.runs.Load(), int32(calls))
}

// A connection that stops delivering data without a reset must be closed, and its calls must
// finish on the next connection without running again.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	p := newPair(t, slow(300*time.Millisecond))
	answered := make(chan error, 1)
	go func() {
		_, err := p.call(context.Background(), "/x")
		answered <- err
	}()
	time.Sleep(100 * time.Millisecond)
	p.relay.silent.Store(true)
	time.Sleep(time.Second)
	p.relay.silent.Store(false) // new connections work
	is.NoErr(<-answered)
	is.Equal(p.runs.Load(), int32(1))
}

// A call that was sent to a process that has ended must not run on the next incarnation,
// because it may have run already. Its outcome is unknown.
func TestCallToRestartedNodeIsUnknown(t *testing.T) {
	is := is.New(t)
	p := newPair(t, slow(5*time.Second))
	answered := make(chan *link.Answer, 1)
	go func() {
		a, err := p.call(context.Background(), "/order")
		if err != nil {
			t.Error(err)
		}
		answered <- a
	}()
	for p.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(p.server.Close())
	p.listen(t, p.relay.target, 2, slow(0))
	is.Equal((<-answered).Reason, "stale")
	is.Equal(p.runs.Load(), int32(1))
	a, err := p.call(context.Background(), "/next")
	is.NoErr(err)
	is.Equal(string(a.Body), "/next")
}

// While a peer cannot be reached, calls must fail at once with ErrNotSent.
func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	p := newPair(t, slow(0))
	p.relay.refuse.Store(true)
	p.relay.cut()
	for open, failed := p.peer.Connected(); open || !failed; open, failed = p.peer.Connected() {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	_, err := p.call(context.Background(), "/x")
	is.True(errors.Is(err, link.ErrNotSent))
	is.True(time.Since(start) < 100*time.Millisecond)
	is.Equal(p.runs.Load(), int32(0))
}

// A call that its caller cancels must be cancelled on the serving node too.
func TestCancelledCallEnds(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	p := newPair(t, func(ctx context.Context, _ *link.Call) *link.Answer {
		<-ctx.Done()
		close(ended)
		return &link.Answer{Outcome: link.Unknown}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := p.call(ctx, "/x")
	is.True(errors.Is(err, link.ErrLost))
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the call still runs half a second after it was cancelled")
	}
}

// A node that took over the address of another must refuse connections meant for that node,
// and keep its own connections.
func TestAddressOfAnotherNode(t *testing.T) {
	is := is.New(t)
	p := newPair(t, slow(0))
	_, err := p.call(context.Background(), "/x")
	is.NoErr(err)
	downs := make(chan error, 10)
	events := quiet()
	events.Down = func(_ string, err error) { downs <- err }
	former := link.NewPeer(identity("caller", 1), "former", p.relay.target, events)
	defer former.Close()
	for _, failed := former.Connected(); !failed; _, failed = former.Connected() {
		time.Sleep(time.Millisecond)
	}
	_, err = former.Call(context.Background(), &link.Call{RemainingMs: 1000}, time.Second)
	is.True(errors.Is(err, link.ErrNotSent))
	open, _ := p.peer.Connected()
	is.True(open)
	_, err = p.call(context.Background(), "/y")
	is.NoErr(err)
	is.Equal(len(downs), 0)
}

// State updates can be sent in both directions of a connection.
func TestNewsBothWays(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 2)
	events := quiet()
	events.StateUpdate = func(node string, n *link.StateUpdate, reply func(*link.StateUpdate) bool) {
		got <- fmt.Sprint(node, " ", n.ConfigVersion)
		if n.ConfigVersion == 1 {
			reply(&link.StateUpdate{ConfigVersion: 2})
		}
	}
	address := freeAddress(t)
	s := &link.Server{Self: identity("target", 1), StaleAnswer: stale, Events: events,
		Handle: func(context.Context, string, *link.Call) *link.Answer { return ran("") }}
	is.NoErr(s.Listen(address))
	defer func() { _ = s.Close() }()
	peer := link.NewPeer(identity("caller", 1), "target", address, events)
	defer peer.Close()
	for open, _ := peer.Connected(); !open; open, _ = peer.Connected() {
		time.Sleep(time.Millisecond)
	}
	peer.SendStateUpdate(&link.StateUpdate{ConfigVersion: 1})
	is.Equal(<-got, "caller 1")
	is.Equal(<-got, "target 2")
}

// A connection without the headers that identify the calling node must be refused.
func TestCallerWithoutNodeNameIsRefused(t *testing.T) {
	is := is.New(t)
	p := newPair(t, slow(0))
	c, err := net.Dial("tcp", p.relay.target)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /link/v1 HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	text, err := io.ReadAll(io.LimitReader(c, 12))
	is.NoErr(err)
	is.Equal(string(text), "HTTP/1.1 400")
	_, err = p.call(context.Background(), "/x")
	is.NoErr(err)
}

// A suspended node accepts old attempts to connect after it resumes. Such an attempt must not
// replace a newer connection.
func TestOldAttemptIsRefused(t *testing.T) {
	is := is.New(t)
	p := newPair(t, slow(0))
	_, err := p.call(context.Background(), "/x")
	is.NoErr(err)
	c, err := net.Dial("tcp", p.relay.target)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /link/v1 HTTP/1.1\r\nHost: x\r\nTarragondrum-Node: caller\r\nTarragondrum-Target: target\r\n"+
		"Tarragondrum-Incarnation: 1\r\nTarragondrum-Attempt: 0\r\n\r\n")
	is.NoErr(err)
	text, err := io.ReadAll(io.LimitReader(c, 12))
	is.NoErr(err)
	is.Equal(string(text), "HTTP/1.1 409")
	open, _ := p.peer.Connected()
	is.True(open)
}

// A call that is not idempotent must not be sent to a node that doesn't reply to a ping: it
// fails with ErrNotSent, so that it can go elsewhere. An idle connection alone must not make
// a node count as unresponsive.
func TestNonIdempotentCallIsNotSentToSilentNode(t *testing.T) {
	is := is.New(t)
	p := newPair(t, slow(0))
	call := func(idempotent bool) error {
		_, err := p.peer.Call(context.Background(), &link.Call{Target: "/x", RemainingMs: 2000, Idempotent: idempotent}, 100*time.Millisecond)
		return err
	}
	is.NoErr(call(false))
	time.Sleep(500 * time.Millisecond)
	is.NoErr(call(false)) // an idle connection is not a lost one
	time.Sleep(500 * time.Millisecond)
	p.relay.silent.Store(true)
	start := time.Now()
	is.True(errors.Is(call(false), link.ErrNotSent))
	is.True(time.Since(start) < 600*time.Millisecond)
	is.Equal(p.runs.Load(), int32(2))
}

// A call whose handler panics has an unknown outcome. Other calls must still work.
func TestPanicEndsOneCall(t *testing.T) {
	is := is.New(t)
	p := newPair(t, func(_ context.Context, c *link.Call) *link.Answer {
		if c.Target == "/bad" {
			panic("unexpected")
		}
		return ran(c.Target)
	})
	a, err := p.call(context.Background(), "/bad")
	is.NoErr(err)
	is.Equal(a.Outcome, link.Unknown)
	is.Equal(a.Reason, link.ReasonInternal)
	a, err = p.call(context.Background(), "/good")
	is.NoErr(err)
	is.Equal(a.Outcome, link.Ran)
}

// A call that is not idempotent must run once and get its answer when its node is silent for
// a while and the caller keeps waiting.
func TestNonIdempotentCallSurvivesSilence(t *testing.T) {
	is := is.New(t)
	p := newPair(t, slow(600*time.Millisecond))
	answered := make(chan *link.Answer, 1)
	go func() {
		a, err := p.peer.Call(context.Background(), &link.Call{Target: "/order", RemainingMs: 5000}, 5*time.Second)
		if err != nil {
			t.Error(err)
		}
		answered <- a
	}()
	for p.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	p.relay.silent.Store(true)
	time.Sleep(1500 * time.Millisecond)
	p.relay.silent.Store(false)
	is.Equal(string((<-answered).Body), "/order")
	is.Equal(p.runs.Load(), int32(1))
}

// Guards against calls of many nodes whose bodies together exceed the memory of the serving
// node: a call that does not fit is refused as not run, and the memory of others is free again
// when they end.
func TestCallsStayWithinMemory(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	budget := memory.New(1000)
	p := &pair{}
	p.server = &link.Server{
		Self: identity("target", 1), StaleAnswer: stale, Events: quiet(), CallMemory: budget,
		Handle: func(_ context.Context, _ string, c *link.Call) *link.Answer {
			p.runs.Add(1)
			<-release
			return ran(c.Target)
		},
	}
	address := freeAddress(t)
	is.NoErr(p.server.Listen(address))
	t.Cleanup(func() { _ = p.server.Close() })
	p.peer = link.NewPeer(identity("caller", 1), "target", address, quiet())
	t.Cleanup(p.peer.Close)
	call := func(size int) (*link.Answer, error) {
		return p.peer.Call(context.Background(), &link.Call{Target: "/x", Body: make([]byte, size), RemainingMs: 3000}, 3*time.Second)
	}
	first := make(chan *link.Answer, 1)
	go func() {
		a, err := call(600)
		if err != nil {
			t.Error(err)
		}
		first <- a
	}()
	for p.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	a, err := call(600)
	is.NoErr(err)
	is.Equal(a.Outcome, link.NotRun)
	is.Equal(a.Reason, link.ReasonNoMemory)
	is.True(!a.ReachedUpstream)
	is.Equal(p.runs.Load(), int32(1))
	close(release)
	is.Equal((<-first).Outcome, link.Ran)
	for budget.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
	a, err = call(600)
	is.NoErr(err)
	is.Equal(a.Outcome, link.Ran)
}

// An answer of another node that says that the call ran, with a status that is not final,
// is malformed: it is not passed on, and the call may have run. A node of an earlier build
// passes such a status on from its upstream.
func TestAnswerWithoutAFinalStatusIsMalformed(t *testing.T) {
	for _, status := range []int{-1, 0, 20, 99, 100, 199, 600, 999, 1 << 20} {
		for _, size := range []int{5, 3 * pace.PartBytes} {
			is := is.New(t)
			p := newPair(t, func(context.Context, *link.Call) *link.Answer {
				return &link.Answer{Outcome: link.Ran, Status: status, Header: http.Header{"A": {"b"}}, Body: make([]byte, size), Load: link.Load{Slots: 7}}
			})
			a, err := p.call(context.Background(), "/x")
			is.NoErr(err)
			is.Equal(a.Outcome, link.Unknown)
			is.Equal(a.Reason, link.ReasonAnswerMalformed)
			is.True(a.ReachedUpstream)
			is.Equal(len(a.Body), 0)
			is.Equal(a.Status, 0)
			is.Equal(a.Load.Slots, 7) // the load report of the node is still used
		}
	}
}

// invalidHeaders have a field name that is not a token. A node of an earlier build passes blanks on.
var invalidHeaders = map[string]http.Header{
	"blank at the end": {"Content-Length ": {"5"}},
	"blank inside":     {"X More": {"1"}},
	"control byte":     {"X\x01More": {"1"}},
	"line break":       {"X: 1\r\nY": {"1"}},
	"empty":            {"": {"1"}},
}

// An answer of another node whose header has an invalid field name is malformed, and the call may
// have run.
func TestAnswerWithInvalidNameIsMalformed(t *testing.T) {
	for name, header := range invalidHeaders {
		for _, size := range []int{5, 3 * pace.PartBytes} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				is := is.New(t)
				p := newPair(t, func(context.Context, *link.Call) *link.Answer {
					return &link.Answer{Outcome: link.Ran, Status: 200, Header: header, Body: make([]byte, size), Load: link.Load{Slots: 7}}
				})
				a, err := p.call(context.Background(), "/x")
				is.NoErr(err)
				is.Equal(a.Outcome, link.Unknown)
				is.Equal(a.Reason, link.ReasonAnswerMalformed)
				is.True(a.ReachedUpstream)
				is.Equal(len(a.Body)+len(a.Header), 0)
				is.Equal(a.Load.Slots, 7)
			})
		}
	}
}

// A call of another node whose header has an invalid field name does not run.
func TestCallWithInvalidNameDoesNotRun(t *testing.T) {
	for name, header := range invalidHeaders {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t, func(context.Context, *link.Call) *link.Answer {
				return &link.Answer{Outcome: link.Ran, Status: 200}
			})
			a, err := p.peer.Call(context.Background(), &link.Call{Target: "/x", Header: header, RemainingMs: 3000}, 3*time.Second)
			is.NoErr(err)
			is.Equal(a.Outcome, link.NotRun)
			is.Equal(a.Reason, link.ReasonCallMalformed)
			is.True(!a.ReachedUpstream)
			is.Equal(p.runs.Load(), int32(0))
		})
	}
}
