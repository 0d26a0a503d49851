package host

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
)

const (
	// minDrainTime is how long a stopping node continues to serve callers at least. The
	// platform notices that a node is not ready after two checks, one a second, and sends
	// callers for longer where too few other nodes are ready. After quietPeriod without a
	// request the callers are taken to have left. peerNoticeTime is how long other nodes
	// have to learn that this one stops.
	minDrainTime   = 1900 * time.Millisecond
	quietPeriod    = 600 * time.Millisecond
	peerNoticeTime = 200 * time.Millisecond
	// finishMargin is added to the longest route timeout, for the request that was read
	// last.
	finishMargin = 300 * time.Millisecond
	// graceMargin is the part of the grace period that a stop leaves unused before SIGKILL.
	graceMargin = 400 * time.Millisecond
	stopPoll    = 20 * time.Millisecond
)

// Stop ends the node gracefully. It reports not ready at once, answers the requests it has
// and those that still arrive, and ends when nothing is left or the grace period is over.
func (n *Node) Stop() {
	start := time.Now()
	n.stopping.Store(true)
	n.log.Emit(event.ProcessStopping, event.F("pending", n.outbound.Pending()), event.F("running", n.intake.Running()))
	n.outbound.Drain()
	limit := start.Add(max(0, n.settings.Load().ShutdownGracePeriod()-graceMargin))
	n.waitQuiet(start, limit)
	n.record.announceStopping()
	sleepUntil(limit, time.Now().Add(peerNoticeTime))
	n.intake.Stop()
	n.dispatch.EndAt(limit)
	n.outbound.Retire()
	for time.Now().Before(limit) && !n.isFinished() {
		time.Sleep(stopPoll)
	}
	n.record.announceRemoval()
	n.log.Emit(event.ProcessStopped, event.F("pending", n.outbound.Pending()), event.F("running", n.intake.Running()),
		event.F("unsent", n.peers.server.Pending()), event.F("tookMs", time.Since(start).Milliseconds()))
	n.Kill()
}

// Kill ends the node at once, as if its process was killed.
func (n *Node) Kill() {
	n.killOnce.Do(func() {
		n.listening.Store(false)
		if err := n.kernel.Stop(serviceStopTime); err != nil {
			n.log.Emit(event.ServiceStopFailed, event.F("error", err))
		}
	})
}

// isFinished reports whether every request and every call of another node has been answered,
// the answers are written, and no more requests will be read.
func (n *Node) isFinished() bool {
	return n.outbound.IsRetired() && n.intake.Running() == 0 && n.peers.server.Pending() == 0
}

// waitQuiet waits until callers have stopped sending requests, but leaves time before limit
// to finish the running ones.
func (n *Node) waitQuiet(start, limit time.Time) {
	last := limit.Add(-n.finishTime())
	sleepUntil(last, start.Add(minDrainTime))
	for time.Now().Before(last) && time.Since(n.outbound.LastRead()) < quietPeriod {
		time.Sleep(stopPoll)
	}
}

// finishTime returns the time that the newest request may need: the longest route timeout
// and margins, but no more than half of the grace period.
func (n *Node) finishTime() time.Duration {
	longest := time.Duration(0)
	if s := n.config.Current(); s != nil {
		for i := range s.Routes {
			longest = max(longest, s.Routes[i].Timeout)
		}
	}
	return min(longest+peerNoticeTime+finishMargin, n.settings.Load().ShutdownGracePeriod()/2)
}

// sleepUntil sleeps until t, but not beyond limit.
func sleepUntil(limit, t time.Time) {
	if t.After(limit) {
		t = limit
	}
	time.Sleep(time.Until(t))
}
