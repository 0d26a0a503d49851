package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// caseStop restarts the two nodes of one zone as planned while clients of that zone send
// requests at a steady rate, and looks for requests that were cut.
func caseStop(r *caseRun) (bool, error) {
	m, err := newMesh(r.repo, r.dir, 1000, [][2]string{{"a", "order-desk"}, {"a", "order-desk"}, {"b", "order-desk"}, {"b", "order-desk"}, {"c", "order-desk"}, {"c", "order-desk"}})
	if err != nil {
		return false, err
	}
	r.mesh = m
	const host = "desk.example"
	err = m.start(map[string]any{
		"browse": route(host, "/browse/", "idempotent", "order-desk", 1200, 500, 2, 2),
		"order":  route(host, "/order/", "non_idempotent", "order-desk", 1500, 600, 1, 2),
	}, "order-desk")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go m.askAll(stop)
	time.Sleep(3 * time.Second)

	var all []*request
	var mu sync.Mutex
	var open sync.WaitGroup
	var number atomic.Int64
	send := func(x *machine) {
		n := number.Add(1)
		q := &request{id: fmt.Sprintf("q%06d", n), host: host, machine: x, method: "GET", path: fmt.Sprintf("/browse/%d?w=160", n), deadline: 1200 * time.Millisecond}
		if n%3 == 0 {
			q.method, q.path, q.deadline, q.body = "POST", fmt.Sprintf("/order/%d?w=210", n), 1500*time.Millisecond, "one pallet"
		}
		mu.Lock()
		all = append(all, q)
		mu.Unlock()
		open.Go(func() {
			q.do()
			m.record.line(q.endAt, "%s", q)
		})
	}
	// 125 requests a second in the zone: no more than ro-nord-b gets on the day scale-1.
	clients := func(x *machine, every time.Duration) {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			if x.getsClients() {
				send(x)
			}
		}
	}
	for _, x := range m.machines {
		every := 100 * time.Millisecond
		if x.zone == "a" {
			every = 16 * time.Millisecond
		}
		go clients(x, every)
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		var restarts sync.WaitGroup
		for _, x := range m.machines[:2] {
			restarts.Go(func() {
				x.stopNode()
				time.Sleep(300 * time.Millisecond)
				if err := x.startNode(); err == nil {
					m.record.say("the node of %s starts again", x.name)
				}
			})
		}
		restarts.Wait()
	}
	time.Sleep(8 * time.Second)
	close(stop)
	open.Wait()
	time.Sleep(200 * time.Millisecond)
	return m.judgeStop(all), nil
}

// judgeStop counts the requests that break LOST around the SIGTERM of the machine that took
// them: passed on to an instance, and their connection ended without a complete answer.
func (m *mesh) judgeStop(all []*request) bool {
	lost, excused, served := 0, 0, 0
	for _, q := range all {
		if !q.done.Load() {
			continue // sent after the newest restart
		}
		if q.status != 0 {
			if q.status == 200 {
				served++
			}
			continue
		}
		term := q.machine.termAt
		events := m.eventsOf(q.id)
		if term.IsZero() || len(events) == 0 || q.gaveUp || q.endAt.Sub(q.sentAt) >= q.deadline-50*time.Millisecond ||
			q.endAt.Before(term) || q.sentAt.After(term.Add(grace+time.Second)) {
			continue
		}
		end := q.endAt // when its instance ended work on it
		for _, e := range events {
			if e.Event == "ended" {
				end = e.At
			}
		}
		if !q.sentAt.After(term.Add(3*time.Second)) && end.After(term.Add(grace*5/6)) {
			excused++
			continue
		}
		lost++
		m.record.say("LOST: %s was sent %.2f s after the SIGTERM, passed on, and cut %.2f s after the SIGTERM; its instance: %s",
			q.id, q.sentAt.Sub(term).Seconds(), q.endAt.Sub(term).Seconds(), events[len(events)-1].Event)
	}
	m.record.say("%d requests, %d served, %d cut after they had been passed on, %d more excused", len(all), served, lost, excused)
	return lost > 0
}
