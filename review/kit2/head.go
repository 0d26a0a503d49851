package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["head"] = head }

// head: clients of one route send the method HEAD. The route, which was added later, may not be served
// less than a quarter as often as the first.
func head(trouble bool) string {
	m := newMesh(2, []string{"order-desk", "order-desk", "order-desk", "pigment-ledger"})
	routes := map[string]any{"r-browse": route("/browse/", "idempotent", "order-desk", 1200, 2)}
	m.putConfig(1, routes)
	m.startAll()
	say("all nodes are ready")
	time.Sleep(time.Second)
	routes["r-check"] = route("/check/", "idempotent", "order-desk", 1200, 2)
	m.replaceConfig(5, routes)
	say("the store acknowledged version 5, which adds the route of /check/")
	time.Sleep(4 * time.Second)
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
	share := func(j int) float64 { return float64(kinds[j].served.Load()) / float64(kinds[j].sent.Load()) }
	for j := range kinds {
		kind := &kinds[j]
		say("%s %s: %d sent, %d runs at the instances, %d served", kind.method, kind.path, kind.sent.Load(), runs[kind.path[:7]], kind.served.Load())
	}
	if servedLess(kinds[1].sent.Load(), kinds[1].served.Load(), kinds[0].sent.Load(), kinds[0].served.Load()) {
		return fmt.Sprintf("CONFIG: %.2f of the requests with %s on the route that was added are served, %.2f on the first one", share(1), method, share(0))
	}
	return ""
}
