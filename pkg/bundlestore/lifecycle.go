package bundlestore

import (
	"fmt"

	"github.com/qmuntal/stateless"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
)

// State is the state of a stored bundle. The manifest holds it; whether an
// accepted bundle is in force or superseded follows from the head.
type State string

// The states of a stored bundle.
const (
	// StateStoring: its parts are being written.
	StateStoring State = "storing"
	// StatePrepared: it is whole and waits for a sign-off.
	StatePrepared State = "prepared"
	// StateSigning: a sign-off is under way; it must not be removed.
	StateSigning State = "signing"
	// StateAccepted: it is in force.
	StateAccepted State = "accepted"
	// StateSuperseded: it was in force; another bundle is now.
	StateSuperseded State = "superseded"
	// StateWithdrawn: it cannot be signed off and may be removed.
	StateWithdrawn State = "withdrawn"
)

type trigger string

const (
	triggerStore    trigger = "store"
	triggerFinish   trigger = "finish storing"
	triggerSign     trigger = "sign off"
	triggerAccept   trigger = "accept"
	triggerLose     trigger = "lose the sign-off"
	triggerPrepare  trigger = "prepare again"
	triggerWithdraw trigger = "withdraw"
)

// newMachine returns the state machine of a bundle that is in the given state.
func newMachine(from State) *stateless.StateMachine {
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

// step returns the state after a trigger, or ErrState if it is not permitted.
func step(from State, t trigger) (State, error) {
	m := newMachine(from)
	if err := m.Fire(t); err != nil {
		return from, fmt.Errorf("bundle is %s, which does not permit to %s: %w", from, t, ErrState)
	}
	to, ok := m.MustState().(State)
	if !ok {
		return from, fmt.Errorf("state %v: %w", m.MustState(), ErrState)
	}
	return to, nil
}

// StateAt returns the state of the bundle beside a head that was read after the
// manifest.
func (m Manifest) StateAt(h *bundle.Head) State {
	m.settle(h)
	inForce := h.Acceptance.Version > 0 && h.Acceptance.Bundle == m.Bundle
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

// settle ends a claim whose version the head has passed: the sign-off either
// won, and the head lists it, or can no longer win. Where the head no longer
// lists the version, the bundle counts as accepted, which keeps it longer.
func (m *Manifest) settle(h *bundle.Head) {
	if m.State != StateSigning || h.Acceptance.Version < m.Claimed {
		return
	}
	id, listed := h.BundleOf(m.Claimed)
	won := listed && id == m.Bundle
	if won {
		m.Accepted = m.Claimed
	}
	t := triggerAccept
	if listed && !won {
		t = triggerLose
	}
	if next, err := step(m.State, t); err == nil {
		m.State = next
	}
}
