package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["forged"] = caseForged }

// caseForged sends, to each machine of one service, one heartbeat of another writer that lacks
// the field address, and compares how often that service and another are served afterwards.
func caseForged(r *caseRun) (bool, error) {
	m, err := newMesh(r.repo, r.dir, 1000, [][2]string{{"a", "order-desk"}, {"a", "order-desk"}, {"b", "order-desk"}, {"b", "pigment-ledger"}, {"c", "order-desk"}, {"c", "pigment-ledger"}})
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
	routes["pigments"] = route(host, "/pigments/", "idempotent", "pigment-ledger", 1200, 500, 2, 2)
	if err := m.putConfig(5, routes, "order-desk", "pigment-ledger"); err != nil {
		return false, err
	}
	m.record.say("the store acknowledged version 5, which adds the route of /pigments/")
	stop := make(chan struct{})
	go m.askAll(stop)
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	var all []*request
	var open sync.WaitGroup
	for i, x := range m.machines {
		open.Go(func() {
			tick := time.NewTicker(50 * time.Millisecond)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				if !x.getsClients() {
					continue
				}
				q := &request{id: fmt.Sprintf("b%d-%05d", i, n), host: host, machine: x, method: "GET", path: fmt.Sprintf("/browse/%d-%d?w=100", i, n), deadline: 1200 * time.Millisecond}
				if n%2 == 1 {
					q.id, q.path = "p"+q.id[1:], fmt.Sprintf("/pigments/%d-%d?w=100", i, n)
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
	time.Sleep(5 * time.Second)
	if r.trouble {
		for _, x := range m.machines {
			if x.service == "pigment-ledger" {
				status, err := x.forge()
				m.record.say("a heartbeat of another writer, without the field address, to %s: status %d, %v", x.name, status, err)
			}
		}
	}
	time.Sleep(10 * time.Second)
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
		if q.id[0] == 'p' {
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
	m.record.say("from 10 s after the heartbeats, for 20 s: first route %d of %d served, route added later %d of %d served", served[0], n[0], served[1], n[1])
	return later < first/4, nil
}

// forge sends a heartbeat of another writer to the machine's node. It is whole but for the field
// address.
func (x *machine) forge() (int, error) {
	body, _ := json.Marshal(map[string]any{
		"born":   time.Now().UnixMilli(),
		"info":   map[string]any{"service": x.service, "version": "v1", "zone": x.zone, "slots": 9},
		"status": map[string]any{"state": "ready", "sequence": 1, "coldRemainingMs": 0},
	})
	r, err := http.NewRequest(http.MethodPut, "http://"+x.control+"/instances/other-"+x.name, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode, nil
}
