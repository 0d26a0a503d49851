package dispatch

import (
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

// recordNotice stores what an answer tells about the upstream of a host. Other nodes' answers
// are not known here; the node beside the upstream sees all of them.
func (s *Service) recordNotice(host *fleet.Host, a *link.Answer) {
	if a == nil || a.Outcome != link.Ran {
		return
	}
	next, err := s.options.DecodeNotice(a.Header)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[host.Node]
	if !e.knows(host) {
		e.notice, e.noticeOf = fleet.Notice{}, host.Upstream
	}
	if err != nil {
		// The node beside the upstream logs the error.
		next.Limited, next.LimitPerS = e.notice.Limited, e.notice.LimitPerS
	}
	next.Leaving = next.Leaving || e.notice.Leaving
	e.notice = next
}

// knows reports whether the notice of an endpoint is of the host's current upstream process.
func (e *endpoint) knows(host *fleet.Host) bool {
	return e.noticeOf.ID == host.Upstream.ID && e.noticeOf.Born == host.Upstream.Born
}

// toldLeaving reports whether an answer to this node said that the upstream of a host leaves.
// This node then sends it nothing more, whatever other nodes know. The caller holds mu.
func (s *Service) toldLeaving(host *fleet.Host) bool {
	e := s.endpoints[host.Node]
	return e != nil && e.notice.Leaving && e.knows(host)
}

// knownLimit returns the limit that the upstream of a host named in its newest answer to this
// node, nil if it named none.
func (s *Service) knownLimit(host *fleet.Host) *link.KnownLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[host.Node]
	if e == nil || !e.knows(host) || !e.notice.Limited {
		return nil
	}
	return &link.KnownLimit{PerS: e.notice.LimitPerS, Born: e.noticeOf.Born}
}
