package main

import (
	"fmt"
	"sync"
	"time"
)

// leaving: the store is down for 8 s; meanwhile an instance removes its entry, which is acknowledged,
// and goes on serving, and all processes are killed at the same moment. Once the store is back, no
// node may pass a request on to that instance.
func leaving(trouble bool) string {
	m := newMesh(2, []string{"order-desk", "order-desk", "order-desk", "order-desk", "pigment-ledger", "pigment-ledger"})
	m.putConfig(1, map[string]any{
		"r-browse": route("/browse/", "idempotent", "order-desk", 1200, 2),
		"r-batch":  route("/batch/", "idempotent", "pigment-ledger", 1200, 2),
	})
	m.startAll()
	say("all nodes are ready")
	stop := make(chan struct{})
	clients := load(m, 50*time.Millisecond, stop)
	time.Sleep(6 * time.Second)
	if trouble {
		say("the store is down (503) for 8 s")
		m.setFaults(`{"status": 503}`)
	}
	down := time.Now()
	time.Sleep(time.Second)
	gone := m.machines[0].inst
	acked, ok := gone.leave(6 * time.Second)
	if !ok {
		cannotRun("the leaving was not acknowledged") // then nothing binds
	}
	time.Sleep(time.Until(down.Add(4 * time.Second)))
	if trouble {
		say("all processes are killed at the same moment")
		var all sync.WaitGroup
		for _, h := range m.machines {
			all.Go(h.killNode)
		}
		all.Wait()
		time.Sleep(500 * time.Millisecond)
		for _, h := range m.machines {
			h.startNode()
		}
		say("they are started again")
	}
	time.Sleep(time.Until(down.Add(8 * time.Second)))
	if trouble {
		m.setFaults(`{}`)
		say("the store is back")
	}
	calm := time.Now().Add(contact)
	time.Sleep(8 * time.Second)
	say("the instance ends, %.1f s after the acknowledgement", time.Since(acked).Seconds())
	_ = gone.server.Close()
	close(stop)
	clients.Wait()

	return judgeLeaving(gone, acked, calm)
}

// judgeLeaving counts the requests that reached an instance later than drainMs after its leaving was
// acknowledged, and were sent by machines in touch after the time calm.
func judgeLeaving(gone *instance, acked, calm time.Time) string {
	late, served, first := 0, 0, ""
	answers.Range(func(_, a any) bool {
		if a.(answer).status == 200 {
			served++
		}
		return true
	})
	arrivalsMu.Lock()
	defer arrivalsMu.Unlock()
	for _, a := range arrivals {
		sent, ok := sentAt.Load(a.id)
		if !ok || a.inst != gone.id || !a.at.After(acked.Add(drain)) {
			continue
		}
		got, _ := answers.Load(a.id)
		inTouch, _ := calmThen.Load(a.id)
		recordMu.Lock()
		fmt.Fprintf(recordTo, "%8.3f  request %s reaches %s, %.1f s after the acknowledgement; the client gets %v; in touch: %t\n",
			a.at.Sub(start).Seconds(), a.id, a.inst, a.at.Sub(acked).Seconds(), got, sent.(time.Time).After(calm) && inTouch.(bool))
		recordMu.Unlock()
		if sent.(time.Time).After(calm) && inTouch.(bool) && gone.h.calmAt(sent.(time.Time)) {
			late++
			if first == "" {
				first = fmt.Sprintf("%.1f s", a.at.Sub(acked).Seconds())
			}
		}
	}
	say("%d requests were served; %d reached the instance later than drainMs after the acknowledgement, from machines in touch", served, late)
	if served == 0 {
		return ""
	}
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached the instance later than drainMs after its leaving was acknowledged, the first after %s", late, first)
	}
	return ""
}
