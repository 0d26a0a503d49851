package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["hot"] = hot }

// hot: three instances crash one after the other, while clients ask for one and the same page. The
// route of that page, which was added later, may not be served less than a quarter as often as the
// first once all instances are back.
func hot(trouble bool) string {
	m := newMesh(3, []string{
		"order-desk", "order-desk", "order-desk", "order-desk", "order-desk", "order-desk", "order-desk",
		"pigment-ledger", "pigment-ledger", "pigment-ledger", "pigment-ledger", "pigment-ledger",
	})
	routes := map[string]any{"r-browse": route("/browse/", "idempotent", "order-desk", 1200, 2)}
	m.putConfig(1, routes)
	m.startAll()
	for _, h := range m.machines {
		h.inst.work = 200 * time.Millisecond
	}
	say("all nodes are ready")
	time.Sleep(time.Second)
	routes["r-list"] = route("/list/", "idempotent", "order-desk", 1200, 2)
	m.replaceConfig(5, routes)
	say("the store acknowledged version 5, which adds the route of /list/")
	time.Sleep(4 * time.Second)

	var all sync.WaitGroup
	var judged atomic.Bool
	type count struct{ sent, served atomic.Int64 }
	counts := map[string]*count{"/browse/": {}, "/list/": {}}
	stop := make(chan struct{})
	client := func(k int, h *machine, prefix string, path func(n int) string, every time.Duration) {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				counted := judged.Load()
				all.Go(func() {
					a := h.send("GET", path(n), fmt.Sprintf("h%d%s%d", k, prefix[1:2], n), 1200, "")
					if !counted {
						return
					}
					counts[prefix].sent.Add(1)
					if a.status == 200 && a.signed {
						counts[prefix].served.Add(1)
					} else if n%50 == 0 {
						say("GET %s at %s: %v", path(n), h.name, a)
					}
				})
			}
		})
	}
	for k, h := range m.machines[7:] {
		client(k, h, "/list/", func(int) string { return "/list/all" }, 25*time.Millisecond)
		client(k, h, "/browse/", func(n int) string { return fmt.Sprintf("/browse/%d-%d", k, n) }, 100*time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	for _, h := range m.machines[:3] {
		if trouble {
			h.inst.crash(4500 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
	}
	say("all instances have been back for over contactMs; requests of the next 20 s count")
	judged.Store(true)
	time.Sleep(20 * time.Second)
	close(stop)
	all.Wait()
	share := func(p string) float64 { return float64(counts[p].served.Load()) / float64(counts[p].sent.Load()) }
	for _, p := range []string{"/browse/", "/list/"} {
		say("%s: %d sent, %d served", p, counts[p].sent.Load(), counts[p].served.Load())
	}
	if servedLess(counts["/list/"].sent.Load(), counts["/list/"].served.Load(), counts["/browse/"].sent.Load(), counts["/browse/"].served.Load()) {
		return fmt.Sprintf("CONFIG: %.2f of the requests on the route that was added are served, %.2f on the first one", share("/list/"), share("/browse/"))
	}
	return ""
}
