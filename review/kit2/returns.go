package main

import (
	"net/http"
	"time"
)

// returns: an instance removes its entry, which its node acknowledges and the store keeps, and goes on
// serving. Its node is stopped as planned and started again. A heartbeat that the instance sent before
// it removed its entry arrives late. No node may pass a request on to that instance.
func returns(trouble bool) string {
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
	return judgeLeaving(h.inst, acked, acked)
}
