package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
)

const (
	// handOver is how long a stopping node goes on as before: the platform notices a
	// node that is not ready after two checks, one a second, and sends callers to it
	// for longer where too few others are ready. quietFor without a request shows
	// that they have gone, and toldAfter is the time that other nodes have to hear of
	// the end.
	handOver  = 1900 * time.Millisecond
	quietFor  = 600 * time.Millisecond
	toldAfter = 200 * time.Millisecond
	// finishMargin is added to the longest time-out of a route for the time that
	// what was read last has to end.
	finishMargin = 300 * time.Millisecond
	// graceMargin is what a stop leaves of the time until SIGKILL.
	graceMargin = 400 * time.Millisecond
	stopPoll    = 20 * time.Millisecond
)

// Stop ends the node gracefully: it is not ready at once, answers what it has
// and what still comes, and ends when nothing is left or the grace is over.
func (n *Node) Stop() {
	start := time.Now()
	n.stopping.Store(true)
	n.log.Emit(event.ProcessStopping, event.F("pending", n.outbound.Pending()), event.F("running", n.intake.Running()))
	n.outbound.Drain()
	limit := start.Add(max(0, n.settings.Load().Grace()-graceMargin))
	n.waitQuiet(start, limit)
	n.record.stopping()
	sleepUntil(limit, time.Now().Add(toldAfter))
	n.intake.Stop()
	n.outbound.Retire()
	for time.Now().Before(limit) && n.outbound.Pending()+n.intake.Running() > 0 {
		time.Sleep(stopPoll)
	}
	n.record.withdraw()
	n.log.Emit(event.ProcessStopped, event.F("pending", n.outbound.Pending()), event.F("running", n.intake.Running()),
		event.F("tookMs", time.Since(start).Milliseconds()))
	n.Kill()
}

// Kill ends the node at once, as if its process was killed.
func (n *Node) Kill() {
	n.ended.Do(func() {
		n.listening.Store(false)
		if err := n.kernel.Stop(serviceStopTime); err != nil {
			n.log.Emit(event.ServiceStopFail, event.F("error", err))
		}
	})
}

// waitQuiet waits until callers have stopped coming, but leaves time to finish
// what runs before limit.
func (n *Node) waitQuiet(start, limit time.Time) {
	sleepUntil(limit, start.Add(handOver))
	last := limit.Add(-n.finishTime())
	for time.Now().Before(last) && time.Since(n.outbound.LastRead()) < quietFor {
		time.Sleep(stopPoll)
	}
}

// finishTime is the time that the newest request may need: the longest time-out of
// a route, but no more than half of the grace.
func (n *Node) finishTime() time.Duration {
	longest := time.Duration(0)
	if s := n.config.Current(); s != nil {
		for i := range s.Routes {
			longest = max(longest, s.Routes[i].Timeout)
		}
	}
	return min(longest+toldAfter+finishMargin, n.settings.Load().Grace()/2)
}

// sleepUntil sleeps until t, but not beyond limit.
func sleepUntil(limit, t time.Time) {
	if t.After(limit) {
		t = limit
	}
	time.Sleep(time.Until(t))
}
