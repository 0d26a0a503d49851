package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leaving"] = caseLeaving }

// caseLeaving lets an instance leave during an outage of the store, kills all nodes after the
// acknowledgement and looks for requests that reach the instance later.
func caseLeaving(r *caseRun) (bool, error) {
	m, err := newMesh(r.repo, r.dir, 1000, [][2]string{{"a", "order-desk"}, {"a", "order-desk"}, {"b", "order-desk"}, {"b", "order-desk"}, {"c", "order-desk"}, {"c", "pigment-ledger"}})
	if err != nil {
		return false, err
	}
	r.mesh = m
	const host = "desk.example"
	if err := m.start(map[string]any{"browse": route(host, "/browse/", "idempotent", "order-desk", 1200, 500, 2, 2)}, "order-desk", "pigment-ledger"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go m.askAll(stop)
	time.Sleep(6 * time.Second) // the rosters are in the store
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
	time.Sleep(3 * time.Second)
	gone := m.machines[0]
	down := time.Now()
	if r.trouble {
		if err := m.setStore(503); err != nil {
			return false, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	m.record.say("the instance beside %s leaves", gone.name)
	_ = gone.inst.Process.Signal(syscall.SIGUSR1)
	acknowledged := m.awaitEvent("acknowledged", 4*time.Second)
	if acknowledged.IsZero() {
		return false, fmt.Errorf("%w: the leaving was not acknowledged", errSetup)
	}
	m.record.say("the leaving was acknowledged %.2f s ago", time.Since(acknowledged).Seconds())
	time.Sleep(time.Until(acknowledged.Add(500 * time.Millisecond)))
	stable := acknowledged
	if r.trouble {
		var kills sync.WaitGroup
		for _, x := range m.machines {
			kills.Go(x.killNode)
		}
		kills.Wait()
		time.Sleep(500 * time.Millisecond)
		for _, x := range m.machines {
			if err := x.startNode(); err != nil {
				return false, err
			}
		}
		m.record.say("all nodes start again")
		time.Sleep(time.Until(down.Add(4500 * time.Millisecond)))
		if err := m.setStore(0); err != nil {
			return false, err
		}
		stable = time.Now()
	}
	// All machines are in touch from contactMs after the end of the outage, as their nodes
	// have started before.
	inTouch := stable.Add(contact)
	if exited := m.awaitEvent("exited", 20*time.Second); exited.IsZero() {
		return false, fmt.Errorf("%w: the instance has not exited", errSetup)
	}
	close(stop)
	open.Wait()
	late, served := 0, 0
	byID := map[string]*request{}
	for _, q := range all {
		byID[q.id] = q
		if q.sentAt.After(inTouch) && q.status == 200 {
			served++
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.all {
		q := byID[e.ID]
		if e.Event == "began" && e.Instance == "i-"+gone.name+"-1" && q.sentAt.After(inTouch) && e.At.After(acknowledged.Add(2*time.Second)) {
			late++
			if late <= 3 {
				m.record.say("DRAIN: %s, sent at %s, reached the instance %.2f s after the acknowledgement", e.ID, q.machine.name, e.At.Sub(acknowledged).Seconds())
			}
		}
	}
	m.record.say("in touch from %.2f s after the acknowledgement; from then on %d requests served, %d reached the instance that had left", inTouch.Sub(acknowledged).Seconds(), served, late)
	return late > 0, nil
}

// awaitEvent waits for an instance's log line and returns its time, or the zero time.
func (m *mesh) awaitEvent(event string, limit time.Duration) time.Time {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		m.mu.Lock()
		for _, e := range m.all {
			if e.Event == event {
				m.mu.Unlock()
				return e.At
			}
		}
		m.mu.Unlock()
	}
	return time.Time{}
}
