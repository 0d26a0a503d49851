// Package snapshot holds the compiled, immutable form of an accepted bundle
// and the single pointer through which requests reach it.
package snapshot

import (
	"sync/atomic"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Snapshot is a compiled bundle. It never changes; a request uses the one that
// it began with until it ends.
type Snapshot struct {
	Acceptance bundle.Acceptance
	Bundle     bundle.Bundle
	services   map[string]*bundle.Service
	inbound    routeIndex
	outbound   routeIndex
}

// Version returns the accepted version that the snapshot was compiled from.
func (s *Snapshot) Version() model.Version { return s.Acceptance.Version }

// Service returns the named service.
func (s *Snapshot) Service(name string) (*bundle.Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Holder publishes the snapshot in force.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil before the first one.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Publish puts s in force if its version is newer than the current one and
// reports whether it did. It is safe for concurrent use.
func (h *Holder) Publish(s *Snapshot) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version() >= s.Version() {
			return false
		}
		if h.current.CompareAndSwap(old, s) {
			return true
		}
	}
}
