package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["poison"] = casePoison }

// casePoison restarts nodes in turn as planned while a request that crashes each instance
// comes again and again, and counts its runs later than contactMs after the third crash.
func casePoison(r *caseRun) (bool, error) {
	m, err := newMesh(r.repo, r.dir, 1000, [][2]string{{"a", "order-desk"}, {"a", "order-desk"}, {"b", "order-desk"}, {"b", "order-desk"}, {"c", "pigment-ledger"}, {"c", "pigment-ledger"}})
	if err != nil {
		return false, err
	}
	r.mesh = m
	const host = "desk.example"
	err = m.start(map[string]any{
		"browse": route(host, "/browse/", "idempotent", "order-desk", 1200, 500, 2, 2),
		"poison": route(host, "/poison/", "idempotent", "order-desk", 1200, 500, 2, 2),
	}, "order-desk", "pigment-ledger")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go m.askAll(stop)
	desks := m.machines[:4]
	for _, x := range desks {
		go x.superviseInstance(stop, 2*time.Second)
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var poison []*request
	var open sync.WaitGroup
	send := func(q *request, keep bool) {
		if keep {
			mu.Lock()
			poison = append(poison, q)
			mu.Unlock()
		}
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
	every(50*time.Millisecond, func(n int) {
		if x := m.machines[n%len(m.machines)]; x.getsClients() {
			send(&request{id: fmt.Sprintf("b%06d", n), host: host, machine: x, method: "GET", path: fmt.Sprintf("/browse/%d?w=100", n), deadline: 1200 * time.Millisecond}, false)
		}
	})
	// The same request comes again every second, at one machine after the other.
	every(time.Second, func(n int) {
		if x := desks[n%len(desks)]; x.getsClients() {
			send(&request{id: fmt.Sprintf("p%06d", n), host: host, machine: x, method: "GET", path: "/poison/7", deadline: 1200 * time.Millisecond}, true)
		}
	})
	time.Sleep(12 * time.Second)
	for _, x := range desks[:3] {
		if r.trouble {
			x.stopNode()
			time.Sleep(300 * time.Millisecond)
			if err := x.startNode(); err != nil {
				return false, err
			}
			m.record.say("the node of %s starts again", x.name)
		}
		time.Sleep(18 * time.Second)
	}
	close(stop)
	open.Wait()
	time.Sleep(200 * time.Millisecond)

	var began []entry
	m.mu.Lock()
	for _, e := range m.all {
		if e.Event == "began" && e.Path == "/poison/7" {
			began = append(began, e)
		}
	}
	m.mu.Unlock()
	if len(began) < 3 {
		return false, fmt.Errorf("%w: the request crashed %d instances only", errSetup, len(began))
	}
	byID := map[string]*request{}
	for _, q := range poison {
		byID[q.id] = q
	}
	third := began[2].At
	late := 0
	for i, e := range began {
		q := byID[e.ID]
		q.machine.mu.Lock()
		inTouch := !q.machine.startedAt.After(e.At.Add(-contact)) && !q.machine.termAt.After(q.machine.startedAt)
		if q.machine.startedAt.After(e.At) { // started again since; it ran without a pause before that SIGTERM
			inTouch = q.machine.termAt.After(e.At)
		}
		q.machine.mu.Unlock()
		counts := i > 2 && e.At.After(third.Add(contact)) && inTouch
		if counts {
			late++
		}
		m.record.say("crash %d: %s, sent at %s, begun by %s, %.1f s after the third crash, counts: %v", i+1, e.ID, q.machine.name, e.Instance, e.At.Sub(third).Seconds(), counts)
	}
	m.record.say("%d requests that crash instances, %d runs, %d of them later than contactMs after the third crash by machines in touch (3 are allowed)", len(poison), len(began), late)
	return late > 3, nil
}
