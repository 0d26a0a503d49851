package host

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// stateStopping stands for the state of the upstream while its node stops, and
// stateNone for that of a host without one.
const (
	// stateStopping is reported in place of the upstream's state while the node stops, and
	// stateNone for a host without an upstream.
	stateStopping = "stopping"
	stateNone     = "without upstream"
)

// serveHandover adds the endpoints that operators query to a server.
func (n *Node) serveHandover(h *server.Hertz) {
	h.GET(handover.ReportPath, func(_ context.Context, rc *app.RequestContext) { rc.JSON(http.StatusOK, n.Report()) })
	h.GET(handover.RolloutsPath, func(_ context.Context, rc *app.RequestContext) { rc.JSON(http.StatusOK, n.rollouts.list()) })
	h.GET(handover.ExplainPath, func(_ context.Context, rc *app.RequestContext) { n.serveExplain(rc) })
	h.GET(handover.HostsPath, func(_ context.Context, rc *app.RequestContext) { rc.JSON(http.StatusOK, n.hosts()) })
}

// Report returns this node's report for operators: the configuration in force, the known
// hosts and the state of the store.
func (n *Node) Report() handover.Report {
	now := time.Now()
	s := n.settings.Load()
	r := handover.Report{
		Node: s.Node.ID, DataCentre: s.Node.DataCentre, Time: now.UTC(),
		Hosts: make(map[string]int), Unreachable: n.peers.unreachable(), Suspects: []handover.Suspect{},
	}
	if c := n.config.Current(); c != nil {
		r.Version = model.Version(c.Version)
		if at := n.appliedAt.Load(); at != nil {
			r.Applied = at.UTC()
		}
		if len(c.Record) > 0 {
			var err error
			if r.Record, err = bundle.DecodeHead(c.Record); err != nil {
				r.RecordError = err.Error()
			}
		}
	}
	r.Lead, r.StoreTime = n.lead.lastStoreAnswer()
	r.Restored = n.lead.lastRestored()
	r.Refused = n.refused.Load()
	for _, h := range n.table.All() {
		r.Hosts[stateOf(&h)]++
	}
	for _, f := range n.suspects.Refusals(now) {
		r.Suspects = append(r.Suspects, handover.Suspect{Fingerprint: fmt.Sprintf("%016x", f.Fingerprint), Crashes: f.Crashes, Until: f.Until.UTC()})
	}
	return r
}

// hosts returns the hosts that this node knows. Ports are the same on all hosts.
func (n *Node) hosts() []handover.Host {
	port := strconv.Itoa(n.settings.Load().Listen.MetricsPort)
	list := []handover.Host{}
	for _, h := range n.table.All() {
		ip, _, err := net.SplitHostPort(h.PeerAddress)
		if err != nil {
			ip = h.PeerAddress
		}
		list = append(list, handover.Host{
			Node: h.Node, DataCentre: h.DataCentre, URL: "http://" + net.JoinHostPort(ip, port),
			Upstream: h.Upstream.ID, Service: h.Upstream.Service, Slots: h.Upstream.Slots, State: stateOf(&h),
		})
	}
	return list
}

func stateOf(h *fleet.Host) string {
	switch {
	case h.Stopping:
		return stateStopping
	case h.Upstream.State == fleet.StateNone:
		return stateNone
	}
	return string(h.Upstream.State)
}

// lastStoreAnswer returns the node that last reported that the store answers, and when: a
// lead, or this node.
func (l *lead) lastStoreAnswer() (node string, at time.Time) {
	l.mu.Lock()
	answered := l.storeAnsweredAt
	l.mu.Unlock()
	rank, at := l.election.LastAnnouncement()
	if answered.After(at) {
		return l.node.settings.Load().Node.ID, answered.UTC()
	}
	return fleet.NodeOf(rank), at.UTC()
}

// unreachable lists the nodes whose last connection attempt failed.
func (p *peers) unreachable() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []string{}
	for node, peer := range p.peers {
		if open, failed := peer.Connected(); !open && failed {
			list = append(list, node)
		}
	}
	slices.Sort(list)
	return list
}
