package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// poison: a request that crashes each instance that begins to run it comes again and again. It is
// refused after three crashes. Then the machines are stopped and started in turn.
func poison(trouble bool) string {
	services := make([]string, 8)
	for i := range services {
		services[i] = "order-desk"
	}
	m := newMesh(2, services)
	m.putConfig(1, map[string]any{
		"r-browse": route("/browse/", "idempotent", "order-desk", 1200, 2),
		"r-order":  route("/order/", "non_idempotent", "order-desk", 1500, 2),
	})
	m.startAll()
	for _, h := range m.machines {
		h.inst.onRun = func(path string) bool { return strings.HasPrefix(path, "/order/poison") }
	}
	say("all nodes are ready")
	stop := make(chan struct{})
	clients := load(m, 100*time.Millisecond, stop)
	time.Sleep(4 * time.Second)
	var poisoners sync.WaitGroup
	poisoners.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(400 * time.Millisecond):
			}
			h := m.machines[n%len(m.machines)]
			id := fmt.Sprintf("p-%d", n)
			sent := time.Now()
			sentAt.Store(id, sent)
			calmThen.Store(id, h.calmAt(sent))
			a := h.send("POST", "/order/poison", id, 1500, "the same body")
			say("poison request %s at %s: %v", id, h.name, a)
		}
	})
	crashes := func() (list []arrival) {
		arrivalsMu.Lock()
		defer arrivalsMu.Unlock()
		for _, a := range arrivals {
			if a.isOf("p-") {
				list = append(list, a)
			}
		}
		return list
	}
	eventually("three instances have crashed", 15*time.Second, func() bool { return len(crashes()) >= 3 })
	third := crashes()[2].at
	say("the third instance has crashed")
	time.Sleep(contact + 2*time.Second)
	if trouble {
		say("roll_term: the machines are stopped and started in turn, 2 s between two")
		for _, h := range m.machines {
			say("SIGTERM to %s", h.name)
			h.termNode()
			time.Sleep(200 * time.Millisecond)
			h.startNode()
			say("%s is started again", h.name)
			time.Sleep(2 * time.Second)
		}
	} else {
		time.Sleep(20 * time.Second)
	}
	time.Sleep(25 * time.Second)
	close(stop)
	poisoners.Wait()
	clients.Wait()
	counted := map[string]bool{}
	for _, a := range crashes() {
		sent, _ := sentAt.Load(a.id)
		calm, _ := calmThen.Load(a.id)
		inTouch := calm.(bool) && a.m.calmAt(sent.(time.Time))
		late := sent.(time.Time).After(third.Add(contact))
		say("run of %s at %.3f by %s; later than contactMs after the third crash: %t; sent by a machine in touch: %t", a.id, a.at.Sub(start).Seconds(), a.inst, late, inTouch)
		if late && inTouch {
			counted[a.id] = true
		}
	}
	say("%d crashes; %d retries from machines in touch reached an instance later than contactMs after the third crash", len(crashes()), len(counted))
	if len(counted) > 3 {
		return fmt.Sprintf("BUDGET: a request that crashes instances reached one in %d retries later than contactMs after its third crash", len(counted))
	}
	return ""
}
