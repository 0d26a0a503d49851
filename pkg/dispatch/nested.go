package dispatch

import (
	"strings"

	"github.com/tarragondrum/tarragondrum/pkg/intake"
)

// ParentLookup recognises nested calls. It is implemented by *intake.Service.
type ParentLookup interface {
	// Nest returns the request with the given id if it runs at the upstream beside this node,
	// and counts one nested call of it. It returns false if there is no such request, or if
	// the request has made too many calls.
	Nest(parentID string) (intake.Parent, bool)
	// CallStarted and CallEnded record the calls of a running request to a service. failed
	// reports that the call was refused or late.
	CallStarted(parentID, service string)
	CallEnded(parentID, service string, failed bool)
}

// ForNestedCall changes the candidates to what a nested call meets there. It goes before the new
// requests that wait, but delays them. They count half: if they didn't count, calls would take
// the slots of upstreams where others wait while slots are free elsewhere.
func ForNestedCall(candidates []Candidate) {
	for i := range candidates {
		r := &candidates[i].Report
		all := r.Running + r.Queued
		r.Queued = (r.Queued + min(r.Queued, r.QueuedNested)) / 2
		if all > 0 {
			// The report does not tell the work of nested calls from that of others.
			r.WorkMs *= float64(r.Running+r.Queued) / float64(all)
		}
	}
}

// parentID returns the id of the request that made the request with the given id, and false
// if the id doesn't name one. The id of a nested call is that of its parent, a dot and a
// suffix without a dot.
func parentID(id string) (string, bool) {
	dot := strings.LastIndexByte(id, '.')
	if dot <= 0 || dot == len(id)-1 {
		return "", false
	}
	return id[:dot], true
}

// inherit makes a request a nested call if a request that runs beside this node made it. The
// call takes the priority, organisation and weight of its parent, and ends no later: its
// answer would be of no use after that. Its target is that of its parent, since a call has no
// value by itself, and the calls of the request that must be answered first go first.
func (s *Service) inherit(r *request) {
	id, ok := parentID(r.id)
	if !ok || s.options.Parents == nil {
		return
	}
	p, ok := s.options.Parents.Nest(id)
	if !ok {
		return
	}
	r.call.Nested, r.parentID = true, id
	r.call.Priority, r.call.Organisation, r.call.Weight = p.Priority, p.Organisation, p.Weight
	if p.Deadline.Before(r.deadline) {
		r.deadline = p.Deadline
	}
	r.target = p.SoftDeadline
}
