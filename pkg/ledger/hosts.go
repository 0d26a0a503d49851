package ledger

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
)

// hosts reports whether the member runs an upstream of the service.
func hosts(m membership.Member, service string) bool {
	return slices.ContainsFunc(m.Upstreams, func(u model.Upstream) bool {
		return u.Service == service && u.State == model.UpstreamRunning
	})
}

// hosting returns the peers that can guard keys of the service: members that
// are alive, do not stop and run an upstream of it. They are sorted by id.
func hosting(v *membership.View, service string) []mesh.Peer {
	var peers []mesh.Peer
	for _, m := range v.Members {
		alive := m.Status == membership.StatusAlive || m.Status == membership.StatusSuspect
		if alive && !m.Stopping && hosts(m, service) {
			peers = append(peers, m.Peer())
		}
	}
	slices.SortFunc(peers, func(a, b mesh.Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return peers
}

// ranked returns the peers in rendezvous order for a name. The first one is the
// coordinator; the order is a hint that saves traffic and nothing rests on it.
func ranked(peers []mesh.Peer, name string) []mesh.Peer {
	r := make([]mesh.Peer, 0, len(peers))
	rest := slices.Clone(peers)
	for len(rest) > 0 {
		ids := make([]string, len(rest))
		for i, p := range rest {
			ids[i] = string(p.ID)
		}
		first := rendezvous.New(ids, xxhash.Sum64String).Lookup(name)
		i := slices.Index(ids, first)
		r = append(r, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return r
}

// hosted returns the services that this node hosts or holds ranges of.
func (s *Service) hosted() []string {
	names := make(map[string]bool)
	if m, ok := s.source.View().Members[s.self.Node]; ok {
		for _, u := range m.Upstreams {
			names[u.Service] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, svc := range s.services {
		if len(svc.book.Owned()) > 0 {
			names[name] = true
		}
	}
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// takes reports whether this node can be given further shards of the service.
func (s *Service) takes(service string) bool {
	m, ok := s.source.View().Members[s.self.Node]
	return ok && !m.Stopping && hosts(m, service)
}

// noteDeaths records which nodes have ended, from the membership view.
func (s *Service) noteDeaths() {
	v := s.source.View()
	now := order.BirthOf(time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.deadSince {
		if !ended(v, id) {
			delete(s.deadSince, id)
		}
	}
	for id := range v.Members {
		if _, ok := s.deadSince[id]; !ok && ended(v, id) {
			s.deadSince[id] = now
		}
	}
}

// dead tells since when the node is known to have ended. s.mu must be held.
func (s *Service) dead(id model.NodeID) (seen order.Birth, ok bool) {
	if !ended(s.source.View(), id) {
		return 0, false
	}
	if seen, ok = s.deadSince[id]; !ok {
		seen = order.BirthOf(time.Now())
		s.deadSince[id] = seen
	}
	return seen, true
}

func ended(v *membership.View, id model.NodeID) bool {
	m, ok := v.Members[id]
	return !ok || m.Status == membership.StatusFailed || m.Status == membership.StatusLeft
}
