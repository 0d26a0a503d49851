package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["hot"] = caseHot }

// caseHot lets three instances crash, one every ten seconds, while clients ask for one and the
// same page again and again, and compares how often that page and others are served once all
// instances are back.
func caseHot(r *caseRun) (bool, error) {
	m, err := newMesh(r.repo, r.dir, 1000, [][2]string{{"a", "order-desk"}, {"a", "order-desk"}, {"b", "order-desk"}, {"b", "order-desk"}, {"c", "pigment-ledger"}, {"c", "pigment-ledger"}})
	if err != nil {
		return false, err
	}
	r.mesh = m
	const host = "desk.example"
	routes := map[string]any{"browse": route(host, "/browse/", "idempotent", "order-desk", 1200, 500, 2, 2)}
	if err := m.start(routes, "order-desk", "pigment-ledger"); err != nil {
		return false, err
	}
	// The operator adds a route.
	routes["list"] = route(host, "/list/", "idempotent", "order-desk", 1200, 500, 2, 2)
	if err := m.putConfig(5, routes, "order-desk", "pigment-ledger"); err != nil {
		return false, err
	}
	m.record.say("the store acknowledged version 5, which adds the route of /list/")
	stop := make(chan struct{})
	go m.askAll(stop)
	const back = 4500 * time.Millisecond
	for _, x := range m.machines {
		go x.superviseInstance(stop, back)
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	var all []*request
	var open sync.WaitGroup
	send := func(x *machine, name, path string) {
		if !x.getsClients() {
			return
		}
		q := &request{id: name, host: host, machine: x, method: "GET", path: path, deadline: 1200 * time.Millisecond}
		mu.Lock()
		all = append(all, q)
		mu.Unlock()
		open.Go(func() {
			q.do()
			m.record.line(q.endAt, "%s", q)
		})
	}
	every := func(d time.Duration, f func(n int)) {
		open.Go(func() {
			tick := time.NewTicker(d)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-tick.C:
					f(n)
				}
			}
		})
	}
	for i, x := range m.machines[4:] {
		every(25*time.Millisecond, func(n int) { send(x, fmt.Sprintf("l%d-%05d", i, n), "/list/all?w=200") })
		every(100*time.Millisecond, func(n int) { send(x, fmt.Sprintf("b%d-%05d", i, n), fmt.Sprintf("/browse/%d-%d?w=200", i, n)) })
	}
	time.Sleep(6 * time.Second)
	for _, x := range m.machines[:3] {
		if r.trouble {
			x.crashInstance()
		}
		time.Sleep(10 * time.Second)
	}
	// Ten seconds after the third crash all instances have been back for over contactMs.
	from := time.Now()
	time.Sleep(20 * time.Second)
	close(stop)
	open.Wait()

	var n, served [2]int
	for _, q := range all {
		if q.sentAt.Before(from) {
			continue
		}
		i := 0
		if q.id[0] == 'l' {
			i = 1
		}
		n[i]++
		if q.status == 200 && q.signature != "" {
			served[i]++
		}
	}
	if n[0] == 0 || n[1] < 20 {
		return false, fmt.Errorf("%w: only %d and %d requests were sent", errSetup, n[0], n[1])
	}
	first, later := float64(served[0])/float64(n[0]), float64(served[1])/float64(n[1])
	m.record.say("from 10 s after the last crash, for 20 s: first route %d of %d served, route added later %d of %d served", served[0], n[0], served[1], n[1])
	return later < first/4, nil
}
