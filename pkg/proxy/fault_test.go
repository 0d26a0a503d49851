package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// raw runs an upstream that answers each request with handle on the bare
// connection.
func raw(t *testing.T, n *node, name string, handle func(c net.Conn)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					handle(c)
				}
			}()
		}
	}()
	n.announce(t, "catalogue", name, ln.Addr())
	return ln
}

// two starts a node with upstreams and another in front of it.
func two(t *testing.T) (near, far *node) {
	m := newMesh()
	far = m.start(t, "b", catalogue(), nil)
	return m.start(t, "a", catalogue(), nil), far
}

func settle(t *testing.T, near *node, upstreams int) {
	t.Helper()
	eventually(t, "the near node knows the upstreams", func() bool { return near.endpoints() == upstreams })
}

func TestCutRepliesAreErrorsOfTheirCaller(t *testing.T) {
	const big = 1 << 20
	for _, tt := range []struct {
		name, head, body string
		status           int
	}{
		{"short", "Content-Length: 10\r\n\r\n", "half", 502},
		{"headers", "Content-Le", "", 502},
		{"long", fmt.Sprintf("Content-Length: %d\r\n\r\n", big), strings.Repeat("x", big/2), 0},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nhalf\r\n", 0},
		{"inside a chunk", "Transfer-Encoding: chunked\r\n\r\n", "8\r\nhalf", 0},
		{"without the last line", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nhalf\r\n0\r\n", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			near, far := two(t)
			raw(t, far, "c1", func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tt.head+tt.body) })
			settle(t, near, 1)
			a := do(t, "POST", near.url("/shades"), "x")
			if tt.status == 0 {
				is.True(a.err != nil) // a cut answer must not look whole
				return
			}
			is.NoErr(a.err)
			is.Equal(a.status, tt.status)
			is.Equal(a.reason(), "reply-broken")
			is.Equal(a.effect(), "unknown")
		})
	}
}

// A reply after the deadline reaches nobody.
func TestLateReplyIsDropped(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	release := make(chan struct{})
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	settle(t, near, 1)
	a := do(t, "GET", near.url("/slow"), "", "Tarragondrum-Timeout", "50ms")
	is.Equal(a.status, 504)
	is.Equal(a.reason(), "deadline-exceeded")
	is.Equal(a.effect(), "unknown")
	close(release)
	for range 20 {
		is.Equal(do(t, "GET", near.url("/next"), "").body, "/next")
	}
}

func TestExpiredCallIsNotRun(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	var calls atomic.Int64
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	settle(t, near, 1)
	a := do(t, "GET", near.url("/"), "", "Tarragondrum-Timeout", "0s")
	is.Equal(a.reason(), "deadline-expired")
	is.Equal(a.effect(), "not-run")
	a = do(t, "GET", near.url("/"), "", "Tarragondrum-Timeout", "soon")
	is.Equal(a.reason(), "bad-request")
	is.Equal(calls.Load(), int64(0))
}

// A crash is told to the peers, and the upstream returns when it listens again.
func TestCrashInTheMiddleOfACall(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	var ln net.Listener
	ready := make(chan struct{})
	ln = raw(t, far, "c1", func(net.Conn) { <-ready; _ = ln.Close() })
	close(ready)
	settle(t, near, 1)
	a := do(t, "POST", near.url("/shades"), "x")
	is.Equal(a.reason(), "reply-broken")
	is.Equal(a.effect(), "unknown")
	eventually(t, "the crash is told to the peers", func() bool { return near.endpoints() == 0 })
	is.Equal(far.upstreams.List()[0].State, model.UpstreamStopped)
	again, err := net.Listen("tcp", ln.Addr().String())
	is.NoErr(err)
	srv := &httptest.Server{Listener: again, Config: &http.Server{Handler: http.HandlerFunc(echo)}}
	srv.Start()
	defer srv.Close()
	eventually(t, "the upstream is back", func() bool { return near.endpoints() == 1 })
	is.Equal(do(t, "GET", near.url("/"), "").status, 200)
}

// A call of which one try may have run is never answered as not run, whatever
// the last try says.
func TestEffectsOfAllTriesCount(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	ready := make(chan struct{})
	var ln net.Listener
	ln = raw(t, far, "crashes", func(net.Conn) { <-ready; _ = ln.Close() })
	close(ready)
	settle(t, near, 1)
	a := do(t, "GET", near.url("/shades"), "") // broken, and then refused
	is.Equal(a.reason(), "reply-broken")
	is.Equal(a.effect(), "unknown")
	is.True(strings.Contains(a.body, `"effect":"unknown"`))
	is.Equal(near.counted(t, "call_retries_total", "reply-broken"), 1.0)
}

// A connection that nobody takes is retried elsewhere, for orders too.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	far.serve(t, "catalogue", "good", http.HandlerFunc(echo))
	is.NoErr(dead.Close())
	settle(t, near, 1)
	for i := range 20 {
		far.announce(t, "catalogue", "dead", dead.Addr())
		a := do(t, "POST", near.url(fmt.Sprintf("/orders/%d", i)), "x")
		is.Equal(a.status, 200)
	}
	a := do(t, "POST", near.url("/orders"), "x")
	is.Equal(a.effect(), "run")
}

func TestCallerThatGoesCancelsTheUpstream(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			near, far := two(t)
			started, ended := make(chan struct{}), make(chan struct{})
			far.serve(t, "catalogue", "c1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(started)
				<-r.Context().Done()
				close(ended)
			}))
			settle(t, near, 1)
			ctx, cancel := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, method, near.url("/shades"), strings.NewReader("body"))
			is.NoErr(err)
			go func() {
				<-started
				cancel()
			}()
			_, err = http.DefaultClient.Do(req)
			is.True(err != nil)
			<-ended
		})
	}
}

// An upstream that leaves finishes its calls, and new ones go elsewhere.
func TestDrainCutsNothing(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	started, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	far.serve(t, "catalogue", "old", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		once.Do(func() { close(started) })
		<-release
		_, _ = io.WriteString(w, "old")
	}))
	settle(t, near, 1)
	first := make(chan answer, 1)
	go func() { first <- do(t, "GET", near.url("/"), "") }()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- far.upstreams.Drain(t.Context(), "old") }()
	eventually(t, "the drain is told to the peers", func() bool { return near.endpoints() == 0 })
	near.serve(t, "catalogue", "new", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "new") }))
	settle(t, near, 1)
	for range 10 {
		is.Equal(do(t, "GET", near.url("/"), "").body, "new")
	}
	eventually(t, "the notice is over", func() bool {
		a := do(t, "GET", far.url("/"), "", "Tarragondrum-Hop", hopTo("old"), "Tarragondrum-Timeout", "5ms")
		return a.reason() == "upstream-leaving" && a.effect() == "not-run"
	})
	close(release)
	is.Equal((<-first).body, "old")
	is.NoErr(<-drained)
	is.Equal(far.upstreams.List()[0].State, model.UpstreamDrained)
}

// A sender whose view is old gets upstream-leaving and tries elsewhere.
func TestLeavingUpstreamIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	far.serve(t, "catalogue", "old", http.HandlerFunc(echo))
	near.serve(t, "catalogue", "new", http.HandlerFunc(echo))
	settle(t, near, 2)
	is.NoErr(far.upstreams.Drain(t.Context(), "old"))
	far.pretend(t, "old", model.UpstreamRunning)
	settle(t, near, 2)
	for range 20 {
		is.Equal(do(t, "POST", near.url("/orders"), "x").status, 200)
	}
	is.True(near.counted(t, "call_retries_total", "upstream-leaving") > 0)
}

// A planned stop of a node cuts no call.
func TestNodeStopCutsNothing(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	nodes := []*node{m.start(t, "b", catalogue(), nil), m.start(t, "c", catalogue(), nil)}
	for _, n := range nodes {
		n.serve(t, "catalogue", "c1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(3 * time.Millisecond)
			echo(w, r)
		}))
	}
	near := m.start(t, "a", catalogue(), nil)
	settle(t, near, 2)
	stop, failed := make(chan struct{}), make(chan answer, 8)
	for range 8 {
		go func() {
			for {
				select {
				case <-stop:
					failed <- answer{}
					return
				default:
				}
				if a := do(t, "POST", near.url("/orders"), "x"); a.status != 200 {
					failed <- a
					return
				}
			}
		}()
	}
	time.Sleep(30 * time.Millisecond)
	is.NoErr(nodes[0].kernel.Stop(5 * time.Second))
	time.Sleep(30 * time.Millisecond)
	close(stop)
	for range 8 {
		is.Equal(<-failed, answer{})
	}
}

// A call ends under the bundle that it began with.
func TestBundleSwapDuringACall(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	started, release := make(chan struct{}), make(chan struct{})
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		echo(w, r)
	}))
	settle(t, near, 1)
	first := make(chan answer, 1)
	go func() { first <- do(t, "GET", near.url("/shades"), "") }()
	<-started
	publish(t, near.holder, bundle.Bundle{Services: []bundle.Service{{Name: "other"}}}, 2)
	publish(t, far.holder, bundle.Bundle{Services: []bundle.Service{{Name: "other"}}}, 2)
	close(release)
	a := <-first
	is.Equal(a.status, 200)
	is.Equal(a.header.Get("Tarragondrum-Version"), "1")
	is.Equal(do(t, "GET", near.url("/shades"), "").reason(), "no-route")
}

// Callers that ask for far too little time do not get an upstream ejected;
// those with enough do.
func TestImpatientCallersEjectNobody(t *testing.T) {
	is := is.New(t)
	b := catalogue()
	b.Services[0].Timeout = bundle.Duration(100 * time.Millisecond)
	m := newMesh()
	n := m.start(t, "a", b, nil)
	for _, name := range []string{"c1", "c2"} {
		n.serve(t, "catalogue", name, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	}
	settle(t, n, 2)
	for range 12 {
		is.Equal(do(t, "GET", n.url("/"), "", "Tarragondrum-Timeout", "10ms").status, 504)
	}
	is.Equal(n.counted(t, "endpoint_ejections_total", "catalogue"), 0.0)
	for range 12 {
		is.Equal(do(t, "GET", n.url("/"), "", "Tarragondrum-Timeout", "80ms").status, 504)
	}
	is.Equal(n.counted(t, "endpoint_ejections_total", "catalogue"), 1.0)
}

// An upstream that answers its probes but fails its calls is ejected by them,
// and the good one carries the load.
func TestUpstreamThatFailsCallsIsEjected(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	far.serve(t, "catalogue", "bad", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }))
	near.serve(t, "catalogue", "good", http.HandlerFunc(echo))
	settle(t, near, 2)
	failed := 0
	for range 200 {
		if do(t, "POST", near.url("/shades"), "x").status != 200 {
			failed++
		}
	}
	is.True(failed <= 5) // as many as eject it
	is.Equal(near.counted(t, "endpoint_ejections_total", "catalogue"), 1.0)
	is.Equal(far.upstreams.List()[0].State, model.UpstreamRunning)
}
