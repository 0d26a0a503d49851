package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["latin"] = latin }

// latin: clients of one route send a header field with a byte above 127, as names in ISO 8859-1 have
// it. The route, which was added later, may not be served less than a quarter as often as the first.
func latin(trouble bool) string {
	m := newMesh(2, []string{"order-desk", "order-desk", "order-desk", "order-desk", "pigment-ledger", "pigment-ledger"})
	routes := map[string]any{
		"r-browse": route("/browse/", "idempotent", "order-desk", 1200, 2),
		"r-order":  route("/order/", "non_idempotent", "order-desk", 1500, 2),
	}
	m.putConfig(1, routes)
	m.startAll()
	say("all nodes are ready")
	time.Sleep(time.Second)
	routes["r-list"] = route("/list/", "idempotent", "order-desk", 1200, 2)
	m.replaceConfig(5, routes)
	say("the store acknowledged version 5, which adds the route of /list/")
	time.Sleep(4 * time.Second)
	name := "Jose"
	if trouble {
		name = "Jos\xe9"
	}
	type count struct{ sent, served, s502, s503, s504, none atomic.Int64 }
	counts := map[string]*count{"/browse/": {}, "/order/": {}, "/list/": {}}
	var all sync.WaitGroup
	client := func(k int, h *machine, method, path, name string, every time.Duration, limitMs, times int) {
		all.Go(func() {
			for n := range times {
				id := fmt.Sprintf("n%d%s%d", k, path[1:2], n)
				all.Go(func() {
					status, signed := h.sendNamed(method, path+id, id, name, limitMs)
					c := counts[path]
					c.sent.Add(1)
					switch {
					case status == 200 && signed:
						c.served.Add(1)
					case status == 502:
						c.s502.Add(1)
					case status == 503:
						c.s503.Add(1)
					case status == 504:
						c.s504.Add(1)
					default:
						c.none.Add(1)
					}
					if n < 5 || status != 200 {
						say("%s %s%s at %s, X-Customer %q: %d", method, path, id, h.name, name, status)
					}
				})
				time.Sleep(every)
			}
		})
	}
	for k, h := range m.machines[4:] {
		client(k, h, "GET", "/browse/", "Ana", 50*time.Millisecond, 1200, 400)
		client(k, h, "POST", "/order/", "Ana", 50*time.Millisecond, 1500, 400)
		client(k, h, "GET", "/list/", name, 250*time.Millisecond, 1200, 80)
	}
	all.Wait()
	runs := map[string]int{}
	arrivalsMu.Lock()
	for _, a := range arrivals {
		runs[a.path[:3]]++
	}
	arrivalsMu.Unlock()
	for _, p := range []string{"/browse/", "/order/", "/list/"} {
		c := counts[p]
		say("%s: %d sent, %d runs, %d served, %d got 502, %d 503, %d 504, %d no answer", p, c.sent.Load(), runs[p[:3]], c.served.Load(), c.s502.Load(), c.s503.Load(), c.s504.Load(), c.none.Load())
	}
	share := func(p string) float64 { return float64(counts[p].served.Load()) / float64(counts[p].sent.Load()) }
	first := func(c func(*count) int64) int64 { return c(counts["/browse/"]) + c(counts["/order/"]) }
	sent, served := func(c *count) int64 { return c.sent.Load() }, func(c *count) int64 { return c.served.Load() }
	if servedLess(sent(counts["/list/"]), served(counts["/list/"]), first(sent), first(served)) {
		return fmt.Sprintf("CONFIG: %.2f of the requests on the route that was added are served, %.2f and %.2f on the first ones", share("/list/"), share("/browse/"), share("/order/"))
	}
	return ""
}

// sendNamed sends one request with a name in a header field. It writes the request itself, as
// net/http refuses bytes above 127 in some places.
func (h *machine) sendNamed(method, path, id, name string, limitMs int) (status int, signed bool) {
	c, err := net.DialTimeout("tcp", h.outbound, time.Second)
	if err != nil {
		return 0, false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Duration(limitMs+300) * time.Millisecond))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: desk.example\r\nTarragondrum-Request-Id: %s\r\nTarragondrum-Deadline-Ms: %d\r\nX-Customer: %s\r\nContent-Length: 0\r\n\r\n", method, path, id, limitMs, name)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	if _, err := io.ReadAll(a.Body); err != nil {
		return 0, false
	}
	return a.StatusCode, a.Header.Get("Tarragondrum-Server-Signature") != ""
}
