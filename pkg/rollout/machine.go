package rollout

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// State is the state of one node's application of a version.
type State string

// The states of an application.
const (
	StateIdle      State = "idle"
	StateFetching  State = "fetching"
	StateVerifying State = "verifying"
	StateCompiling State = "compiling"
	StateApplied   State = "applied"
	StateRefused   State = "refused"
)

// Trigger moves an application from one state to the next.
type Trigger string

// The triggers of an application.
const (
	TriggerFetch   Trigger = "fetch"
	TriggerVerify  Trigger = "verify"
	TriggerCompile Trigger = "compile"
	TriggerPublish Trigger = "publish"
	TriggerRefuse  Trigger = "refuse"
	TriggerAbandon Trigger = "abandon"
)

// Transition is one step of the machine, reported to its observer.
type Transition struct {
	From, To State
	Trigger  Trigger
}

// Machine is the lifecycle of applications on a node. It is not safe for
// concurrent use: a node applies one version at a time.
type Machine struct {
	machine *stateless.StateMachine
}

// NewMachine returns a machine in StateIdle that reports each transition.
func NewMachine(observe func(Transition)) *Machine {
	m := stateless.NewStateMachine(StateIdle)
	m.Configure(StateIdle).
		Permit(TriggerFetch, StateFetching).
		Permit(TriggerVerify, StateVerifying)
	m.Configure(StateFetching).
		Permit(TriggerVerify, StateVerifying).
		Permit(TriggerAbandon, StateIdle)
	m.Configure(StateVerifying).
		Permit(TriggerCompile, StateCompiling).
		Permit(TriggerRefuse, StateRefused).
		Permit(TriggerAbandon, StateIdle)
	m.Configure(StateCompiling).
		Permit(TriggerPublish, StateApplied).
		Permit(TriggerRefuse, StateRefused).
		Permit(TriggerAbandon, StateIdle)
	for _, s := range []State{StateApplied, StateRefused} {
		m.Configure(s).
			Permit(TriggerFetch, StateFetching).
			Permit(TriggerVerify, StateVerifying)
	}
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		observe(Transition{From: t.Source.(State), To: t.Destination.(State), Trigger: t.Trigger.(Trigger)})
	})
	return &Machine{machine: m}
}

// State returns the current state.
func (m *Machine) State() State { return m.machine.MustState().(State) }

// Fire makes one transition. It returns an error if the state does not permit it.
func (m *Machine) Fire(t Trigger) error {
	if err := m.machine.Fire(t); err != nil {
		return fmt.Errorf("application in state %s: %w", m.State(), err)
	}
	return nil
}
