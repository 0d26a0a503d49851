package release

import (
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Status is the state of a roll-out in the store.
type Status string

// The states of a roll-out in the store.
const (
	// StatusNone: no node has written a status yet.
	StatusNone       Status = ""
	StatusRunning    Status = "running"
	StatusSucceeded  Status = "succeeded"
	StatusRolledBack Status = "rolled-back"
)

// Order is an order of the operator to roll out a version of a service, with the status that
// the store has.
type Order struct {
	Service, Target string
	Duration        time.Duration
	// Revision is that of the last change of the order or of its status.
	Revision model.Revision
	// Status is StatusNone if the status in the store is that of another version.
	Status Status
}

// PhaseOf returns the phase of a roll-out that has ended with a status, and false if the status
// is not one of an end.
func PhaseOf(s Status) (Phase, bool) {
	switch s {
	case StatusSucceeded:
		return Succeeded, true
	case StatusRolledBack:
		return RolledBack, true
	}
	return "", false
}

// Begin returns the first state of an order, with which a node becomes its coordinator. share is
// as CanaryShare returns it.
func Begin(o Order, node, established string, share float64) State {
	return State{
		Service: o.Service, Target: o.Target, Order: o.Revision, Revision: o.Revision, DurationMs: o.Duration.Milliseconds(),
		Phase: Canary, Share: share, Established: established, Term: 1, Coordinator: node,
	}
}

// Concerns reports whether an order in the store is the one that a state is about, and not a
// later one.
func Concerns(s *State, o *Order) bool {
	if s.Target != o.Target || o.Revision.Before(s.Order) {
		return false
	}
	return o.Revision == s.Order || o.Status != StatusNone
}
