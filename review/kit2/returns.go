package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["returns"] = returns }

// returns: an instance removes its entry, which its node acknowledges and the store keeps, and goes on
// serving. Its node is stopped as planned and started again. A heartbeat that the instance sent before
// it removed its entry arrives late. No node may pass a request on to that instance.
func returns(trouble bool) string {
	m := newMesh(2, []string{"order-desk", "order-desk", "order-desk", "order-desk", "order-desk", "pigment-ledger", "pigment-ledger"})
	m.putConfig(1, map[string]any{
		"r-browse": route("/browse/", "idempotent", "order-desk", 1200, 2),
		"r-batch":  route("/batch/", "idempotent", "pigment-ledger", 1200, 2),
	})
	m.startAll()
	say("all nodes are ready")
	stop := make(chan struct{})
	clients := load(m, 50*time.Millisecond, stop)
	time.Sleep(6 * time.Second)
	h := m.machines[0]
	late := h.inst.nextBeat()
	sent := time.Now()
	say("instance %s sends a heartbeat, state ready, sequence %d, which is held up", h.inst.id, h.inst.sequence)
	acked, ok := h.inst.leave(4 * time.Second)
	if !ok {
		cannotRun("the leaving was not acknowledged")
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		say("SIGTERM to %s", h.name)
		h.termNode()
		say("its process has ended; it is started again 1.5 s later")
		time.Sleep(1500 * time.Millisecond)
		h.startNode()
		say("it is started again")
	}
	eventually(h.name+" is ready", 8*time.Second, h.isReady)
	time.Sleep(time.Until(sent.Add(6500 * time.Millisecond)))
	got := h.inst.tell(http.MethodPut, h.inst.id, late)
	say("the heartbeat arrives %.1f s late; acknowledged: %t", time.Since(sent).Seconds(), got)
	time.Sleep(8 * time.Second)
	say("the instance ends, %.1f s after the acknowledgement", time.Since(acked).Seconds())
	_ = h.inst.server.Close()
	close(stop)
	clients.Wait()
	return judgeLeaving(h.inst, acked)
}

// judgeLeaving counts the requests that reached an instance later than drainMs after its leaving was
// acknowledged, and were sent by machines in touch.
func judgeLeaving(gone *instance, acked time.Time) string {
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
			a.at.Sub(start).Seconds(), a.id, a.inst, a.at.Sub(acked).Seconds(), got, inTouch.(bool) && gone.h.calmAt(sent.(time.Time)))
		recordMu.Unlock()
		if inTouch.(bool) && gone.h.calmAt(sent.(time.Time)) {
			late++
			if first == "" {
				first = fmt.Sprintf("%.1f s", a.at.Sub(acked).Seconds())
			}
		}
	}
	say("%d requests were served; %d reached the instance later than drainMs after the acknowledgement, from machines in touch", served, late)
	if served == 0 {
		cannotRun("no request was served")
	}
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached the instance later than drainMs after its leaving was acknowledged, the first after %s", late, first)
	}
	return ""
}
