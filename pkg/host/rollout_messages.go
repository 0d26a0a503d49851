package host

import (
	"strconv"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/release"
)

// maxRelayedReports bounds the nodes whose reports wait to be sent on.
const maxRelayedReports = 10_000

// messages returns what this node knows of roll-outs, for a node that connects. r may be nil.
func (r *rollouts) messages() []release.State {
	if r == nil {
		return nil
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []release.State
	for _, x := range r.services {
		if _, known := x.view.State(); known {
			list = append(list, x.view.Message(now))
		}
	}
	return list
}

// handle processes the states and reports in a message of another node. r may be nil.
func (r *rollouts) handle(from string, n *link.StateUpdate, reply func(*link.StateUpdate) bool) {
	if r == nil || len(n.Rollouts)+len(n.RolloutReports) == 0 {
		return
	}
	now := time.Now()
	var forward, corrections []release.State
	r.mu.Lock()
	for _, s := range n.Rollouts {
		if !fleet.IsValidName(s.Service) || !fleet.IsValidName(s.Target) {
			continue // no node sends that
		}
		x := r.get(s.Service)
		if r.merge(x, now, s) {
			x.coordinator = nil // another node decides or has decided
			x.toCoordinator = reply
			forward = append(forward, x.view.Message(now))
			continue
		}
		if own, known := x.view.State(); known && release.Corrects(&own, &s) {
			corrections = append(corrections, x.view.Message(now))
		}
	}
	for i := range n.RolloutReports {
		r.receive(now, &n.RolloutReports[i])
	}
	r.mu.Unlock()
	if len(forward) > 0 {
		r.node.peers.forward(&link.StateUpdate{Rollouts: forward}, from)
	}
	if len(corrections) > 0 {
		reply(&link.StateUpdate{Rollouts: corrections})
	}
}

// receive processes a report of another node. The coordinator adds it, and other nodes send it
// on towards the coordinator. The caller holds mu.
func (r *rollouts) receive(now time.Time, report *release.Report) {
	x := r.get(report.Service)
	if report.Order != x.counted || report.Node == r.self() {
		return
	}
	if x.coordinator != nil {
		x.coordinator.Add(now, *report)
		return
	}
	// A report may come back while nodes learn of a new coordinator, and is sent on once only.
	key := report.Node + " " + strconv.FormatInt(report.Process, 10)
	if x.relayed[key] >= report.Number || len(x.relayed) >= maxRelayedReports {
		return
	}
	x.relayed[key] = report.Number
	x.pending[key] = *report
}

// report sends the counts of this node, and those that it received, towards the coordinator.
// The caller holds mu.
func (r *rollouts) report(x *rollout, now time.Time, o *outbox) {
	s, known := x.view.State()
	if !known || s.Phase.IsFinal() || now.Sub(x.reportedAt) < release.BeatInterval {
		return
	}
	x.reportedAt = now
	x.reportNumber++
	a := r.allowance(x, now)
	own := release.Report{
		Node: r.self(), Process: r.node.processID, Service: x.service, Order: s.Order, Number: x.reportNumber,
		Entries: x.counter.Entries(), OldInFlight: x.oldInFlight(s.Target), Share: a.Share, Phase: s.Phase, Term: s.Term,
	}
	if x.coordinator != nil {
		x.coordinator.Add(now, own)
		for _, p := range x.pending {
			x.coordinator.Add(now, p)
		}
		clear(x.pending)
		return
	}
	if x.toCoordinator == nil {
		return
	}
	reports := []release.Report{own}
	for _, p := range x.pending {
		reports = append(reports, p)
	}
	clear(x.pending)
	send := x.toCoordinator
	o.sends = append(o.sends, func() { send(&link.StateUpdate{RolloutReports: reports}) })
}
