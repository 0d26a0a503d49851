package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

// ledger is a ledger whose orders are all owned by one node.
type ledger struct {
	successor model.NodeID

	mu      sync.Mutex
	owner   model.NodeID
	stored  map[string]order.Outcome
	started map[string]bool
	events  []string
}

func newLedger(owner model.NodeID) *ledger {
	return &ledger{owner: owner, stored: map[string]order.Outcome{}, started: map[string]bool{}}
}

func (l *ledger) Name() string                                { return "orders" }
func (l *ledger) Needs() []string                             { return nil }
func (l *ledger) Start(context.Context, *kernel.Kernel) error { return nil }
func (l *ledger) Stop(context.Context) error                  { return nil }

// Moved makes the successor the owner.
func (l *ledger) Moved(string) {
	l.note("moved")
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successor != "" {
		l.owner = l.successor
	}
}

func (l *ledger) Locate(string, string) order.Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	return order.Place{Node: l.owner}
}

func (l *ledger) Begin(_ context.Context, r order.Request) order.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.stored[r.Key]; ok {
		return order.Decision{Verdict: order.VerdictReplay, Outcome: &o}
	}
	if l.started[r.Key] {
		return order.Decision{Verdict: order.VerdictRefuse, Reason: reason.KeyInProgress, Effect: reason.Unknown, RetryAfter: 2 * time.Second}
	}
	l.started[r.Key] = true
	return order.Decision{Verdict: order.VerdictRun}
}

func (l *ledger) Finish(r order.Request, o order.Outcome) {
	l.mu.Lock()
	l.stored[r.Key] = o
	l.mu.Unlock()
	l.note("finish")
}

func (l *ledger) NotRun(r order.Request) {
	l.mu.Lock()
	delete(l.started, r.Key)
	l.mu.Unlock()
	l.note("not-run")
}

func (l *ledger) Lost(order.Request) { l.note("lost") }

func (l *ledger) note(e string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

func (l *ledger) seen(e string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, got := range l.events {
		if got == e {
			return true
		}
	}
	return false
}

// owned starts node b, which owns every order, and node a in front of it.
func owned(t *testing.T) (near, far *node, l *ledger) {
	m := newMesh()
	l = newLedger("b")
	far = m.start(t, "b", catalogue(), nil, l)
	return m.start(t, "a", catalogue(), nil, l), far, l
}

const key = "Idempotency-Key"

// A re-sent order gets the stored answer and does not run again.
func TestResentOrderIsReplayed(t *testing.T) {
	is := is.New(t)
	near, far, _ := owned(t)
	var runs atomic.Int64
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Location", "/orders/1")
		w.WriteHeader(201)
		_, _ = fmt.Fprintf(w, "order %d", runs.Add(1))
	}))
	settle(t, near, 1)
	settle(t, far, 1)
	first := do(t, "POST", near.url("/orders"), "two pallets", key, "k1")
	again := do(t, "POST", far.url("/orders"), "two pallets", key, "k1")
	is.Equal(first.status, 201)
	is.Equal(again.status, 201)
	is.Equal(again.body, "order 1")
	is.Equal(again.header.Get("Location"), "/orders/1")
	is.Equal(again.header.Get("Tarragondrum-Replayed"), "true")
	is.Equal(first.header.Get("Tarragondrum-Replayed"), "")
	is.Equal(runs.Load(), int64(1))
}

// An order whose caller goes runs to its end, and a re-send gets its answer.
func TestOrderOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	near, far, l := owned(t)
	started, release := make(chan struct{}), make(chan struct{})
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "done")
	}))
	settle(t, near, 1)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", near.url("/orders"), strings.NewReader("x"))
	is.NoErr(err)
	req.Header.Set(key, "k1")
	go func() {
		<-started
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	is.True(err != nil)
	a := do(t, "POST", near.url("/orders"), "x", key, "k1")
	is.Equal(a.status, 409)
	is.Equal(a.reason(), "key-in-progress")
	is.Equal(a.header.Get("Retry-After"), "2")
	close(release)
	eventually(t, "the order is stored", func() bool { return l.seen("finish") })
	is.Equal(do(t, "POST", near.url("/orders"), "x", key, "k1").body, "done")
}

// An order that may have run is never sent again.
func TestBrokenOrderIsLost(t *testing.T) {
	is := is.New(t)
	near, far, l := owned(t)
	var runs atomic.Int64
	raw(t, far, "c1", func(net.Conn) { runs.Add(1) })
	settle(t, near, 1)
	a := do(t, "POST", near.url("/orders"), "x", key, "k1")
	is.Equal(a.reason(), "reply-broken")
	is.Equal(a.effect(), "unknown")
	is.True(l.seen("lost"))
	a = do(t, "POST", near.url("/orders"), "x") // without a key
	is.Equal(a.effect(), "unknown")
	is.Equal(runs.Load(), int64(2))
}

// An upstream that promises that a shed order did not run frees its key.
func TestShedOrderIsNotRun(t *testing.T) {
	is := is.New(t)
	near, far, l := owned(t)
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/orders/promise" {
			w.Header().Set("Tarragondrum-Shed", "not-run")
		}
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(503)
		_, _ = io.WriteString(w, "too busy")
	}))
	settle(t, near, 1)
	a := do(t, "POST", near.url("/orders/promise"), "x", key, "k1")
	is.Equal(a.status, 503)
	is.Equal(a.body, "too busy")
	is.Equal(a.reason(), "shed")
	is.Equal(a.effect(), "not-run")
	is.Equal(a.header.Get("Retry-After"), "3")
	is.True(l.seen("not-run"))
	is.Equal(do(t, "POST", near.url("/orders"), "x", key, "k2").effect(), "unknown")
	is.True(l.seen("lost"))
}

// Orders follow their keys when the owner has no upstream any more.
func TestOrderFollowsItsKey(t *testing.T) {
	is := is.New(t)
	near, far, l := owned(t)
	l.successor = "a"
	far.serve(t, "catalogue", "old", http.HandlerFunc(echo))
	near.serve(t, "catalogue", "new", http.HandlerFunc(echo))
	settle(t, near, 2)
	is.NoErr(far.upstreams.Drain(t.Context(), "old"))
	settle(t, near, 1)
	is.Equal(do(t, "POST", near.url("/orders"), "x", key, "k1").status, 200)
	is.True(l.seen("moved"))
}
