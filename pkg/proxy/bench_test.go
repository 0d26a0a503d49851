package proxy_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/tarragondrum/tarragondrum/pkg/proxy/client"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// get calls one address over pooled connections.
func get(b *testing.B, address string) {
	b.Helper()
	p := client.NewPool(address, 64)
	defer p.Close()
	b.ReportAllocs()
	b.ResetTimer()
	var h protocol.RequestHeader
	for b.Loop() {
		h.Reset()
		h.SetMethod("GET")
		h.SetRequestURI("/shades")
		h.SetHost("x")
		var reply client.Reply
		if err := p.Do(b.Context(), &client.Request{Header: &h}, &reply); err != nil {
			b.Fatal(err)
		}
		if reply.Header.StatusCode() != 200 {
			b.Fatalf("status %d", reply.Header.StatusCode())
		}
	}
}

func stock(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "in stock") }

// BenchmarkCall is one call at a time: straight to the upstream, through the
// node of its host, and through two nodes.
func BenchmarkCall(b *testing.B) {
	m := newMesh()
	far := m.start(b, "b", catalogue(), nil)
	srv := far.serve(b, "catalogue", "c1", http.HandlerFunc(stock))
	near := m.start(b, "a", catalogue(), nil)
	eventually(b, "the near node knows the upstream", func() bool { return near.endpoints() == 1 })
	b.Run("direct", func(b *testing.B) { get(b, srv.Listener.Addr().String()) })
	b.Run("one node", func(b *testing.B) { get(b, far.inbound.Address()) })
	b.Run("two nodes", func(b *testing.B) { get(b, near.inbound.Address()) })
}
