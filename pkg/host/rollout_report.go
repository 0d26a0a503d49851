package host

import (
	"slices"
	"strings"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/handover"
)

// list returns what this node knows of the versions of all services, sorted by name. r may be
// nil.
func (r *rollouts) list() []handover.Rollout {
	list := []handover.Rollout{}
	if r == nil {
		return list
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.services {
		a := r.allowance(x, now)
		o := handover.Rollout{Service: x.service, Version: a.Stable, Upstreams: make(map[string]int)}
		for _, g := range r.groupsOf(x).groups {
			o.Upstreams[g.Version] = g.Count
		}
		if s, known := x.view.State(); known {
			o.Target, o.Phase, o.Reason, o.Coordinator, o.Order = s.Target, string(s.Phase), s.Reason, s.Coordinator, s.Order.String()
			o.Ordered, o.DurationMs, o.Heard = x.view.Start().UTC(), s.DurationMs, x.view.Heard().UTC()
			o.Canaries = slices.Clone(a.Canaries)
			if a.Target != "" {
				o.Share = a.Share
			}
		}
		if x.coordinator != nil {
			o.Figures = x.coordinator.Verdict().Figures()
		}
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b handover.Rollout) int { return strings.Compare(a.Service, b.Service) })
	return list
}
