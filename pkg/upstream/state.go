package upstream

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// trigger moves an upstream from one state to the next.
type trigger string

const (
	// triggerLeave: the upstream or an operator asked for a graceful stop.
	triggerLeave trigger = "leave"
	// triggerIdle: no call is in flight any more, or the drain's time is up.
	triggerIdle trigger = "idle"
	// triggerStop: the upstream is gone for good.
	triggerStop trigger = "stop"
	// triggerCrash: nothing listens at the upstream's address.
	triggerCrash trigger = "crash"
	// triggerReturn: the upstream listens again or announced itself anew.
	triggerReturn trigger = "return"
)

// newMachine returns the lifecycle of an upstream:
//
//	running -> leaving -> drained -> stopped
//
// A crash leads to stopped from anywhere, and a return from there to running.
func newMachine(onChange func(from, to model.UpstreamState, why trigger)) *stateless.StateMachine {
	m := stateless.NewStateMachine(model.UpstreamRunning)
	m.Configure(model.UpstreamRunning).
		Permit(triggerLeave, model.UpstreamLeaving).
		Permit(triggerCrash, model.UpstreamStopped).
		Permit(triggerStop, model.UpstreamStopped).
		Ignore(triggerReturn).
		Ignore(triggerIdle)
	m.Configure(model.UpstreamLeaving).
		Permit(triggerIdle, model.UpstreamDrained).
		Permit(triggerCrash, model.UpstreamStopped).
		Permit(triggerStop, model.UpstreamStopped).
		Ignore(triggerLeave).
		Ignore(triggerReturn)
	m.Configure(model.UpstreamDrained).
		Permit(triggerStop, model.UpstreamStopped).
		Permit(triggerCrash, model.UpstreamStopped).
		Permit(triggerReturn, model.UpstreamRunning).
		Ignore(triggerLeave).
		Ignore(triggerIdle)
	m.Configure(model.UpstreamStopped).
		Permit(triggerReturn, model.UpstreamRunning).
		Ignore(triggerLeave).
		Ignore(triggerIdle).
		Ignore(triggerStop).
		Ignore(triggerCrash)
	m.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		why, _ := t.Trigger.(trigger)
		onChange(asState(t.Source), asState(t.Destination), why)
	})
	return m
}

func asState(s stateless.State) model.UpstreamState {
	state, _ := s.(model.UpstreamState)
	return state
}

// fire moves the machine and turns its errors into those of this package.
func fire(m *stateless.StateMachine, t trigger) error {
	if err := m.Fire(t); err != nil {
		return fmt.Errorf("upstream: %s: %w", t, err)
	}
	return nil
}
