package proxy_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/poison"
)

// guard quarantines a call after its first crash.
type guard struct {
	mu      sync.Mutex
	crashed map[uint64]bool
}

func (g *guard) Name() string                                { return "poison" }
func (g *guard) Needs() []string                             { return nil }
func (g *guard) Start(context.Context, *kernel.Kernel) error { return nil }
func (g *guard) Stop(context.Context) error                  { return nil }

func (g *guard) Quarantined(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashed[fingerprint]
}

func (g *guard) Begin(_ string, fingerprint uint64) func(poison.End) {
	return func(end poison.End) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if end == poison.EndCrashed {
			g.crashed[fingerprint] = true
		}
	}
}

// A call that was running when its upstream crashed is known again on every
// node, and others are not confused with it.
func TestPoisonIsRefused(t *testing.T) {
	is := is.New(t)
	g := &guard{crashed: map[uint64]bool{}}
	m := newMesh()
	far := m.start(t, "b", catalogue(), nil, g)
	near := m.start(t, "a", catalogue(), nil, g)
	ready := make(chan struct{})
	var ln net.Listener
	ln = raw(t, far, "c1", func(net.Conn) { <-ready; _ = ln.Close() })
	close(ready)
	settle(t, near, 1)
	is.Equal(do(t, "POST", near.url("/shades"), "poison").reason(), "reply-broken")
	settle(t, near, 0)
	settle(t, far, 0)
	far.serve(t, "catalogue", "c2", http.HandlerFunc(echo))
	settle(t, near, 1)
	settle(t, far, 1)
	for _, n := range []*node{near, far} {
		a := do(t, "POST", n.url("/shades"), "poison")
		is.Equal(a.status, 422)
		is.Equal(a.reason(), "poison")
		is.Equal(a.effect(), "not-run")
		is.Equal(do(t, "POST", n.url("/shades"), "harmless").status, 200)
	}
}
