package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
)

// A call goes from any node to the node of the upstream and back.
func TestCallPassesTwoNodes(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	far := m.start(t, "b", catalogue(), nil)
	far.serve(t, "catalogue", "c1", http.HandlerFunc(echo))
	near := m.start(t, "a", catalogue(), nil)
	settle(t, near, 1)
	settle(t, far, 1)
	a := do(t, "GET", near.url("/shades?red=1"), "")
	is.NoErr(a.err)
	is.Equal(a.body, `GET /shades?red=1 depth=1 hop="" body=0`)
	is.Equal(a.effect(), "run")
	is.Equal(a.reason(), "")
	is.Equal(a.header.Get("Tarragondrum-Version"), "1")
	is.Equal(a.header.Get("Tarragondrum-Load"), "")
	a = do(t, "POST", far.url("/shades"), "body")
	is.Equal(a.body, `POST /shades depth=1 hop="" body=4`)
}

// Refusals name their reason, effect and when to come back.
func TestRefusalsSayWhy(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	bare := m.start(t, "a", bundle.Bundle{}, nil)
	a := do(t, "GET", bare.url("/"), "")
	is.Equal(a.status, 503)
	is.Equal(a.reason(), "no-bundle")
	n := m.start(t, "b", catalogue(), nil)
	a = do(t, "GET", n.url("/shades"), "")
	is.Equal(a.status, 503)
	is.Equal(a.reason(), "no-upstream")
	is.Equal(a.effect(), "not-run")
	is.Equal(a.header.Get("Retry-After"), "1")
	is.Equal(a.body, `{"reason":"no-upstream","effect":"not-run"}`)
	is.Equal(do(t, "GET", n.url("/check/label"), "").reason(), "no-upstream") // the internal route is not matched
}

// A call reaches an upstream as soon as its node has announced it.
func TestAnnouncementReachesOtherNodes(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	near := m.start(t, "a", catalogue(), nil)
	far := m.start(t, "b", catalogue(), nil)
	is.Equal(do(t, "GET", near.url("/"), "").reason(), "no-upstream")
	far.serve(t, "catalogue", "c1", http.HandlerFunc(echo))
	eventually(t, "the new upstream gets calls", func() bool { return do(t, "GET", near.url("/"), "").status == 200 })
}

// Headers of the message pass, headers of the connection do not, and answers
// without a body stay without one.
func TestHeadersAndBodilessAnswers(t *testing.T) {
	is := is.New(t)
	near, far := two(t)
	far.serve(t, "catalogue", "c1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Add("Set-Cookie", "a=1; Path=/; HttpOnly")
		h.Add("Set-Cookie", "b=2")
		h.Add("X-Many", "one")
		h.Add("X-Many", "two")
		h.Set("Etag", `"red"`)
		h.Set("X-Seen", r.Header.Get("X-Mine")+r.Header.Get("X-Secret")+r.Header.Get("Cookie"))
		h.Set("Connection", "X-Private")
		h.Set("X-Private", "between two")
		switch r.URL.Path {
		case "/none":
			w.WriteHeader(204)
		case "/same":
			w.WriteHeader(304)
		case "/gone":
			w.WriteHeader(404)
		default:
			h.Set("Content-Length", "4")
			_, _ = w.Write([]byte("body"))
		}
	}))
	settle(t, near, 1)
	a := do(t, "HEAD", near.url("/"), "", "X-Mine", "mine", "Cookie", "c=3; d=4")
	is.NoErr(a.err)
	is.Equal(a.header.Get("Content-Length"), "4")
	is.Equal(a.header.Get("X-Seen"), "minec=3; d=4")
	is.Equal(a.header.Values("Set-Cookie"), []string{"a=1; Path=/; HttpOnly", "b=2"})
	is.Equal(a.header.Values("X-Many"), []string{"one", "two"})
	is.Equal(a.header.Get("X-Private"), "")
	is.Equal(a.header.Get("Etag"), `"red"`)
	for path, status := range map[string]int{"/none": 204, "/same": 304, "/gone": 404} {
		a := do(t, "GET", near.url(path), "")
		is.NoErr(a.err)
		is.Equal(a.status, status)
		is.Equal(a.body, "")
		is.Equal(a.effect(), "run")
	}
	c, err := net.Dial("tcp", near.inbound.Address())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, x-secret\r\nX-Secret: hidden\r\nX-Mine: mine\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.Header.Get("X-Seen"), "mine")
}
