package proxy_test

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

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

// BenchmarkPaced sends 160 calls a second through two nodes and as many straight
// to the upstream, in turn and without waiting for answers, and reports
// percentiles of both. Run it with -benchtime=3200x.
func BenchmarkPaced(b *testing.B) {
	const gap = time.Second / 320
	m := newMesh()
	far := m.start(b, "b", catalogue(), nil)
	srv := far.serve(b, "catalogue", "c1", http.HandlerFunc(stock))
	near := m.start(b, "a", catalogue(), nil)
	eventually(b, "the near node knows the upstream", func() bool { return near.endpoints() == 1 })
	pools := [2]*client.Pool{client.NewPool(srv.Listener.Addr().String(), 64), client.NewPool(near.inbound.Address(), 64)}
	took := [2][]time.Duration{make([]time.Duration, b.N), make([]time.Duration, b.N)}
	var wg sync.WaitGroup
	b.ResetTimer()
	start := time.Now()
	for i := range 2 * b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * gap)))
		sent := time.Now()
		wg.Go(func() {
			var h protocol.RequestHeader
			h.SetMethod("GET")
			h.SetRequestURI("/shades")
			h.SetHost("x")
			var reply client.Reply
			if err := pools[i%2].Do(b.Context(), &client.Request{Header: &h}, &reply); err != nil {
				b.Error(err)
			}
			took[i%2][i/2] = time.Since(sent)
		})
	}
	wg.Wait()
	for i, name := range []string{"direct", "two-nodes"} {
		slices.Sort(took[i])
		b.ReportMetric(float64(took[i][b.N/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(took[i][b.N*99/100].Microseconds()), name+"-p99-us")
	}
}
