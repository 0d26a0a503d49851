package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// head: one kind of request is sent with the method HEAD. It may not be served less than a quarter as
// often as all requests.
func head(trouble bool) string {
	m := newMesh(2, []string{"order-desk", "order-desk", "order-desk", "pigment-ledger"})
	m.putConfig(1, map[string]any{
		"r-browse": route("/browse/", "idempotent", "order-desk", 1200, 2),
		"r-check":  route("/check/", "idempotent", "order-desk", 1200, 2),
	})
	m.startAll()
	say("all nodes are ready")
	time.Sleep(3 * time.Second)
	method := "GET"
	if trouble {
		method = "HEAD"
	}
	kinds := []struct {
		method, path string
		sent, served atomic.Int64
	}{{method: "GET", path: "/browse/"}, {method: method, path: "/check/"}}
	var all sync.WaitGroup
	for k, h := range m.machines {
		for j := range kinds {
			kind := &kinds[j]
			all.Go(func() {
				for n := range 100 {
					id := fmt.Sprintf("h%d-%d-%d", k, j, n)
					a := h.send(kind.method, kind.path+fmt.Sprint(n), id, 1200, "")
					kind.sent.Add(1)
					if a.status == http.StatusOK && a.signed && a.err == nil {
						kind.served.Add(1)
					}
					if n < 3 {
						say("%s %s%d at %s: %v", kind.method, kind.path, n, h.name, a)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	all.Wait()
	runs := map[string]int{}
	arrivalsMu.Lock()
	for _, a := range arrivals {
		runs[a.path[:7]]++
	}
	arrivalsMu.Unlock()
	sent, served := 0.0, 0.0
	for j := range kinds {
		kind := &kinds[j]
		sent, served = sent+float64(kind.sent.Load()), served+float64(kind.served.Load())
		say("%s %s: %d sent, %d runs at the instances, %d served", kind.method, kind.path, kind.sent.Load(), runs[kind.path[:7]], kind.served.Load())
	}
	if share := float64(kinds[1].served.Load()) / float64(kinds[1].sent.Load()); share < served/sent/4 {
		return fmt.Sprintf("Starved: of the requests with %s %.2f are served, of all %.2f", method, share, served/sent)
	}
	return ""
}
