package bundlestore

import (
	"fmt"

	"github.com/qmuntal/stateless"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
)

// State is the state of a stored bundle. The manifest stores it, except that whether an
// accepted bundle is in force or superseded is derived from the head; see
// Manifest.StateAt.
type State string

// The states of a stored bundle.
const (
	// StateStoring means that the content is being written.
	StateStoring State = "storing"
	// StatePrepared means that the bundle is complete and waits for a sign-off.
	StatePrepared State = "prepared"
	// StateSigning means that a sign-off is under way; the bundle must not be removed.
	StateSigning State = "signing"
	// StateAccepted means that the bundle is in force.
	StateAccepted State = "accepted"
	// StateSuperseded means that the bundle was in force and another one has replaced it.
	StateSuperseded State = "superseded"
	// StateWithdrawn means that the bundle cannot be signed off and may be removed.
	StateWithdrawn State = "withdrawn"
)

// trigger is an event that moves a bundle to another state. Its text completes the error
// "bundle is prepared, which does not allow it to ...".
type trigger string

const (
	triggerStore  trigger = "store"
	triggerFinish trigger = "finish storing"
	triggerSign   trigger = "sign off"
	triggerAccept trigger = "accept"
	// triggerLose applies when another sign-off took the claimed version.
	triggerLose trigger = "lose the sign-off"
	// triggerPrepare makes a superseded bundle wait for a sign-off again.
	triggerPrepare  trigger = "prepare again"
	triggerWithdraw trigger = "withdraw"
)

// newStateMachine returns the state machine of a bundle, starting in the given state.
func newStateMachine(from State) *stateless.StateMachine {
	m := stateless.NewStateMachine(from)
	m.Configure(StateStoring).
		Permit(triggerFinish, StatePrepared).
		Permit(triggerWithdraw, StateWithdrawn)
	m.Configure(StatePrepared).
		Permit(triggerSign, StateSigning).
		Permit(triggerWithdraw, StateWithdrawn)
	m.Configure(StateSigning).
		PermitReentry(triggerSign).
		Permit(triggerAccept, StateAccepted).
		Permit(triggerLose, StatePrepared)
	m.Configure(StateAccepted).
		Ignore(triggerAccept).
		Permit(triggerSign, StateSigning)
	m.Configure(StateSuperseded).
		Permit(triggerPrepare, StatePrepared).
		Permit(triggerSign, StateSigning).
		Permit(triggerWithdraw, StateWithdrawn)
	m.Configure(StateWithdrawn).
		Ignore(triggerWithdraw).
		Permit(triggerStore, StateStoring)
	return m
}

// nextState returns the state after a trigger, or ErrInvalidTransition if the trigger is not permitted.
func nextState(from State, event trigger) (State, error) {
	m := newStateMachine(from)
	if err := m.Fire(event); err != nil {
		return from, fmt.Errorf("bundle is %s, which does not allow it to %s: %w", from, event, ErrInvalidTransition)
	}
	to, ok := m.MustState().(State)
	if !ok {
		return from, fmt.Errorf("state machine returned %v, which is not a bundle state: %w", m.MustState(), ErrInvalidTransition)
	}
	return to, nil
}

// StateAt returns the state of the bundle as of the given head, which must have been read
// after the manifest.
func (m Manifest) StateAt(head *bundle.Head) State {
	m.resolveClaim(head)
	inForce := head.Acceptance.Version > 0 && head.Acceptance.Bundle == m.Bundle
	switch {
	case m.State == StateSigning:
		return StateSigning
	case inForce:
		return StateAccepted
	case m.State == StateAccepted:
		return StateSuperseded
	}
	return m.State
}

// resolveClaim ends a claim once the head has reached the claimed version. The sign-off
// succeeded if the head lists the bundle under that version; otherwise another one took
// the version and this sign-off can no longer succeed. If the head no longer lists the
// version, the outcome is unknown and the bundle counts as accepted, because accepted
// bundles are kept longer.
func (m *Manifest) resolveClaim(head *bundle.Head) {
	if m.State != StateSigning || head.Acceptance.Version < m.Claimed {
		return
	}
	id, listed := head.BundleOf(m.Claimed)
	succeeded := listed && id == m.Bundle
	if succeeded {
		m.Accepted = m.Claimed
	}
	event := triggerAccept
	if listed && !succeeded {
		event = triggerLose
	}
	if next, err := nextState(m.State, event); err == nil {
		m.State = next
	}
}
