package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stops"] = caseStops }

// caseStops plays both planned stops, one mesh after the other.
func caseStops(r *caseRun) (bool, error) {
	early, err := caseStopEnd(r)
	if err != nil {
		return false, err
	}
	r.mesh.record.say("requests at random times: LOST broken: %v", early)
	r.mesh.close()
	r.mesh = nil
	late, err := caseStop(r)
	if err != nil {
		return false, err
	}
	r.mesh.record.say("requests at most 30 ms apart: LOST broken: %v", late)
	return early || late, nil
}

// caseStopEnd restarts the three nodes of one zone as planned, eight times, while clients of that
// zone send short requests at random times, and looks for requests that were cut.
func caseStopEnd(r *caseRun) (bool, error) {
	m, err := newMesh(r.repo, r.dir, 1000, [][2]string{{"a", "order-desk"}, {"a", "order-desk"}, {"a", "order-desk"}, {"b", "order-desk"}, {"b", "order-desk"}, {"b", "order-desk"}})
	if err != nil {
		return false, err
	}
	r.mesh = m
	const host = "desk.example"
	err = m.start(map[string]any{
		"check": route(host, "/check/", "idempotent", "order-desk", 1200, 500, 2, 2),
		"order": route(host, "/order/", "non_idempotent", "order-desk", 1500, 600, 1, 2),
	}, "order-desk")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go m.askAll(stop)
	time.Sleep(3 * time.Second)

	var all []*request
	var mu sync.Mutex
	var open, clients sync.WaitGroup
	var number atomic.Int64
	for _, x := range m.machines {
		// 120 requests a second in zone a, at random times.
		mean := 100 * time.Millisecond
		if x.zone == "a" {
			mean = 25 * time.Millisecond
		}
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(mean))):
				}
				if !x.getsClients() {
					continue
				}
				n := number.Add(1)
				q := &request{id: fmt.Sprintf("q%06d", n), host: host, machine: x, method: "GET", path: fmt.Sprintf("/check/%d?w=20", n), deadline: 1200 * time.Millisecond}
				if n%3 == 0 {
					q.method, q.path, q.deadline, q.body = "POST", fmt.Sprintf("/order/%d?w=20", n), 1500*time.Millisecond, "one pallet"
				}
				mu.Lock()
				all = append(all, q)
				mu.Unlock()
				open.Go(func() {
					q.do()
					m.record.line(q.endAt, "%s", q)
				})
			}
		})
	}
	broken := false
	judged := 0
	judge := func() { // before the next SIGTERM, as a machine keeps its newest one only
		mu.Lock()
		now := all[judged:]
		judged = len(all)
		mu.Unlock()
		broken = m.judgeStop(now) || broken
	}
	for range 8 {
		time.Sleep(time.Second)
		if r.trouble {
			var restarts sync.WaitGroup
			for _, x := range m.machines[:3] {
				restarts.Go(func() {
					x.stopNode()
					time.Sleep(300 * time.Millisecond)
					if err := x.startNode(); err == nil {
						m.record.say("the node of %s starts again", x.name)
					}
				})
			}
			restarts.Wait()
		} else {
			time.Sleep(4 * time.Second)
		}
		time.Sleep(3 * time.Second)
		judge()
	}
	close(stop)
	clients.Wait()
	open.Wait()
	time.Sleep(200 * time.Millisecond)
	judge()
	return broken, nil
}
