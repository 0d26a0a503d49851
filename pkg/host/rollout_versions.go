package host

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/dispatch"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/release"
)

var _ dispatch.Versions = (*rollouts)(nil)

// versions returns what tells versions of upstreams apart, nil where they are not.
func (n *Node) versions() dispatch.Versions {
	if n.rollouts == nil {
		return nil
	}
	return n.rollouts
}

// settleTime is how long after its start a node may not know all hosts and roll-outs.
const settleTime = 10 * time.Second

// versionGroups holds the hosts of a service by version, for one generation of the table.
type versionGroups struct {
	generation uint64
	valid      bool
	groups     []release.Group
	// usable holds the usable hosts, and lists those of each version that was asked for.
	usable []fleet.Host
	lists  map[string][]fleet.Host
}

// groupsOf returns the hosts of a service by version. The caller holds mu.
func (r *rollouts) groupsOf(x *rollout) *versionGroups {
	g := &x.groups
	generation := r.node.table.Generation()
	if g.valid && g.generation == generation {
		return g
	}
	*g = versionGroups{generation: generation, valid: true, usable: r.node.table.Usable(x.service), lists: make(map[string][]fleet.Host)}
	for _, h := range r.node.table.All() {
		if u := &h.Upstream; u.Service != x.service || u.State != fleet.StateReady && u.State != fleet.StateLeaving {
			continue
		}
		i := slices.IndexFunc(g.groups, func(o release.Group) bool { return o.Version == h.Upstream.Version })
		if i < 0 {
			i = len(g.groups)
			g.groups = append(g.groups, release.Group{Version: h.Upstream.Version, OldestBorn: h.Upstream.Born})
		}
		g.groups[i].Count++
		g.groups[i].OldestBorn = min(g.groups[i].OldestBorn, h.Upstream.Born)
	}
	return g
}

// selectHosts returns the usable hosts for which accept returns true, which are those of key.
func (g *versionGroups) selectHosts(key string, accept func(h *fleet.Host) bool) []fleet.Host {
	list, ok := g.lists[key]
	if !ok {
		for i := range g.usable {
			if accept(&g.usable[i]) {
				list = append(list, g.usable[i])
			}
		}
		g.lists[key] = list
	}
	return list
}

// establishedVersion returns the version that a service runs. The caller holds mu.
func (r *rollouts) establishedVersion(x *rollout) string {
	return x.established.Version(&x.view, r.groupsOf(x).groups, time.Since(r.node.started) < settleTime)
}

// establishedFor returns the version that a service runs beside a target, or "" if this node
// knows none. The caller holds mu.
func (r *rollouts) establishedFor(x *rollout, target string) string {
	if v := r.establishedVersion(x); v != target {
		return v
	}
	return ""
}

// allowance returns which versions may get requests. The caller holds mu.
func (r *rollouts) allowance(x *rollout, now time.Time) release.Allowance {
	a := x.view.Allow(now, r.establishedVersion(x))
	if s, known := x.view.State(); known && s.Phase == release.RolledBack {
		deadline := x.view.Start().Add(time.Duration(s.DurationMs) * time.Millisecond)
		if now.Sub(deadline) > forbiddenFor {
			a.Forbidden = ""
		}
	}
	return a
}

// Arrive implements dispatch.Versions.
func (r *rollouts) Arrive(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.get(service)
	a := r.allowance(x, time.Now())
	return x.entry.Arrive(a.Share, a.Target != "", rand.Float64())
}

// Hosts implements dispatch.Versions. Upstreams whose version is not known count as of the
// established version.
func (r *rollouts) Hosts(service string, isNew bool) (hosts []fleet.Host, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.get(service)
	g := r.groupsOf(x)
	a := r.allowance(x, time.Now())
	if isNew || a.Share >= 1 {
		if a.Target == "" {
			return nil, ""
		}
		list := g.selectHosts("="+a.Target, func(h *fleet.Host) bool { return h.Upstream.Version == a.Target })
		if a.Canaries != nil {
			return onlyNodes(list, a.Canaries), "canaries"
		}
		if isNew || len(list) > 0 {
			return list, "=" + a.Target
		}
	}
	key = "=" + a.Stable
	list := g.selectHosts(key, func(h *fleet.Host) bool { return h.Upstream.Version == a.Stable || h.Upstream.Version == "" })
	if len(list) > 0 {
		return list, key
	}
	key = "!" + a.Forbidden
	return g.selectHosts(key, func(h *fleet.Host) bool { return a.Forbidden == "" || h.Upstream.Version != a.Forbidden }), key
}

// onlyNodes returns the hosts with the given names.
func onlyNodes(hosts []fleet.Host, nodes []string) []fleet.Host {
	var list []fleet.Host
	for i := range hosts {
		if slices.Contains(nodes, hosts[i].Node) {
			list = append(list, hosts[i])
		}
	}
	return list
}

// Try implements dispatch.Versions.
func (r *rollouts) Try(h *fleet.Host) func(*release.Response) {
	service, version, node := h.Upstream.Service, h.Upstream.Version, h.Node
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.get(service)
	x.inFlight[version]++
	s, known := x.view.State()
	counts := known && !s.Phase.IsFinal()
	if counts {
		label := "established"
		if version == s.Target {
			label = "new"
		}
		r.choices.WithLabelValues(service, label).Inc()
	}
	return func(v *release.Response) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if x.inFlight[version]--; x.inFlight[version] == 0 {
			delete(x.inFlight, version)
		}
		if v == nil || !counts || x.counted != s.Order {
			return
		}
		if version == s.Target {
			v.Upstream = node
		}
		x.counter.Record(*v)
	}
}

// oldInFlight counts the tries of this node at other versions than the target. The caller holds
// mu.
func (x *rollout) oldInFlight(target string) int {
	n := 0
	for version, count := range x.inFlight {
		if version != target {
			n += count
		}
	}
	return n
}
