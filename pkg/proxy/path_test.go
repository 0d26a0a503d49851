package proxy_test

import (
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
