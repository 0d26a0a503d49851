package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

func TestSpoofedHeadersAreIgnored(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Tarragondrum-Reason", "queue-full")
		w.Header().Set("Tarragondrum-Effect", "not-run")
		w.Header().Set("Tarragondrum-Load", "0 0 1")
		echo(w, r)
	}))
	settle(t, near, 1)
	a := do(t, "GET", near.url("/"), "", "Tarragondrum-Hop", "guess 0 interactive catalogue c1", "Tarragondrum-Depth", "31r")
	is.Equal(a.body, `GET / depth=1 hop="" body=0`)
	is.Equal(a.effect(), "run")
	is.Equal(a.reason(), "")
	is.Equal(a.header.Get("Tarragondrum-Load"), "")
	is.True(near.log.Count(hopRejected) > 0)
	// An internal service cannot be reached past the routes.
	is.Equal(do(t, "GET", near.url("/check"), "", "Tarragondrum-Hop", "guess 0 internal catalogue c1").body, `GET /check depth=1 hop="" body=0`)
}

// An answer that does not come from a node's handler, here because the headers
// outgrow the bound on the second node, is never taken for an upstream's.
func TestAnswerOfNoHandlerIsAnError(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	far.serve(t, "catalogue", "c1", http.HandlerFunc(echo))
	settle(t, near, 1)
	a := do(t, "GET", near.url("/"), "", "X-Long", strings.Repeat("x", 16<<10-180))
	is.Equal(a.status, 502)
	is.Equal(a.reason(), "upstream-error")
	is.Equal(a.effect(), "unknown")
}

func TestLoopEnds(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	far.serve(t, "catalogue", "c1", http.HandlerFunc(echo))
	settle(t, near, 1)
	a := do(t, "GET", "http://"+near.outbound.Address()+"/check", "", "Tarragondrum-Depth", "32")
	is.Equal(a.status, 508)
	is.Equal(a.reason(), "loop-detected")
	a = do(t, "GET", "http://"+near.outbound.Address()+"/check", "", "Tarragondrum-Depth", "3r")
	is.Equal(a.body, `GET /check depth=4r hop="" body=0`)
}

func TestOversizeRequests(t *testing.T) {
	is := is.New(t)
	b := catalogue()
	b.Services[0].MaxBodyBytes = 1000
	m := newMesh()
	n := m.start(t, "a", b, nil)
	var calls atomic.Int64
	n.serve(t, "catalogue", "c1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	settle(t, n, 1)
	a := do(t, "POST", n.url("/"), strings.Repeat("x", 1001))
	is.Equal(a.status, 413)
	is.Equal(a.reason(), "body-too-large")
	is.Equal(a.effect(), "not-run")
	is.Equal(chunked(t, n.url("/"), 2000).status, 413)
	is.Equal(chunked(t, n.url("/"), 1000).status, 200)
	is.Equal(do(t, "GET", n.url("/"), "", "X-Long", strings.Repeat("x", 20<<10)).status, 431)
	is.Equal(calls.Load(), int64(1))
}

// chunked sends a body of unknown length.
func chunked(t *testing.T, url string, size int) answer {
	t.Helper()
	resp, err := http.Post(url, "text/plain", io.LimitReader(&endless{}, int64(size)))
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

type endless struct{}

func (*endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestLargeBodiesAreStreamed(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err == nil {
			_, _ = io.CopyN(w, &endless{}, n)
		}
	}))
	settle(t, near, 1)
	const size = 8 << 20
	a := do(t, "POST", near.url("/"), strings.Repeat("x", size))
	is.NoErr(a.err)
	is.Equal(len(a.body), size)
	a = do(t, "POST", near.url("/"), "body", "Expect", "100-continue")
	is.NoErr(a.err)
	is.Equal(a.body, "xxxx")
	a = chunked(t, near.url("/"), size)
	is.NoErr(a.err)
	is.Equal(len(a.body), size)
}

// A request that its sender cuts short never looks whole to the upstream.
func TestCutRequestIsNotPassedOnAsWhole(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	whole, broken := make(chan struct{}, 1), make(chan struct{}, 1)
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			broken <- struct{}{}
			return
		}
		whole <- struct{}{}
	}))
	settle(t, near, 1)
	c, err := net.Dial("tcp", near.inbound.Address())
	is.NoErr(err)
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 1<<20, strings.Repeat("x", 1<<20))
	is.NoErr(c.Close())
	select {
	case <-whole:
		t.Fatal("the upstream took a cut request as whole")
	case <-broken:
	}
}

func TestSlowSendersAreCutOff(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := m.start(t, "a", catalogue(), func(s *settings.Settings) { s.Inbound.HeaderTimeout = bundle.Duration(100 * time.Millisecond) })
	var calls atomic.Int64
	n.serve(t, "catalogue", "c1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	settle(t, n, 1)
	c, err := net.Dial("tcp", n.inbound.Address())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	go func() {
		for _, b := range []byte("GET / HTTP/1.1\r\nHost: x\r\nX-Slow: " + strings.Repeat("x", 1000)) {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	_, err = io.ReadAll(c) // ends when the node closes the connection
	_ = err
	is.Equal(calls.Load(), int64(0))
	a := slowBody(t, n)
	is.Equal(a.StatusCode, 504)
	is.Equal(a.Header.Get("Tarragondrum-Effect"), "not-run")
	is.Equal(calls.Load(), int64(0))
}

// slowBody sends headers and then half a body.
func slowBody(t *testing.T, n *node) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", n.inbound.Address())
	check(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nTarragondrum-Timeout: 100ms\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	check(t, err)
	return resp
}

// A body after a GET belongs to that GET and is not the next request.
func TestBodyOfGetIsNotTheNextRequest(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	far.serve(t, "catalogue", "c1", http.HandlerFunc(echo))
	settle(t, near, 1)
	c, err := net.Dial("tcp", near.inbound.Address())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	inner := "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n"
	_, _ = fmt.Fprintf(c, "GET /outer HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%sGET /next HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", len(inner), inner)
	all, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.Contains(string(all), "GET /outer"))
	is.True(strings.Contains(string(all), "GET /next"))
	is.True(!strings.Contains(string(all), "GET /inner"))
}
