package budget

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// CircuitState is the state of the circuit.
type CircuitState string

// The states of the circuit.
const (
	// CircuitClosed: calls go to the platform.
	CircuitClosed CircuitState = "closed"
	// CircuitOpen: the platform is down; calls fail at once.
	CircuitOpen CircuitState = "open"
	// CircuitProbing: one call finds out whether the platform is back.
	CircuitProbing CircuitState = "probing"
)

type circuitTrigger string

const (
	triggerFail  circuitTrigger = "fail"
	triggerProbe circuitTrigger = "probe"
	triggerPass  circuitTrigger = "pass"
)

// Circuit decides whether calls are worth sending. Time and random numbers come
// in as arguments. It is not safe for concurrent use.
type Circuit struct {
	// Failures is the number of failures in a row that open the circuit.
	Failures int
	// Base is the bound of the first time that it stays open; it doubles up to Max.
	Base, Max time.Duration

	machine  *stateless.StateMachine
	inARow   int
	openings int
	until    time.Time
}

// NewCircuit returns a closed circuit. onChange is called after each transition.
func NewCircuit(failures int, base, longest time.Duration, onChange func(from, to CircuitState)) *Circuit {
	c := &Circuit{Failures: failures, Base: base, Max: longest, machine: stateless.NewStateMachine(CircuitClosed)}
	c.machine.Configure(CircuitClosed).Permit(triggerFail, CircuitOpen).Ignore(triggerPass)
	c.machine.Configure(CircuitOpen).Permit(triggerProbe, CircuitProbing).Permit(triggerPass, CircuitClosed).Ignore(triggerFail)
	c.machine.Configure(CircuitProbing).Permit(triggerFail, CircuitOpen).Permit(triggerPass, CircuitClosed)
	c.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		onChange(t.Source.(CircuitState), t.Destination.(CircuitState))
	})
	return c
}

// State returns the state.
func (c *Circuit) State() CircuitState { return c.machine.MustState().(CircuitState) }

// Allow reports whether a call may be sent now. While probing, only the call
// that began it is under way and others are refused.
func (c *Circuit) Allow(now time.Time) bool {
	switch c.State() {
	case CircuitClosed:
		return true
	case CircuitOpen:
		if now.Before(c.until) {
			return false
		}
		c.fire(triggerProbe)
		return true
	}
	return false
}

// Pass notes that the platform answered.
func (c *Circuit) Pass() {
	c.inARow, c.openings = 0, 0
	c.fire(triggerPass)
}

// Fail notes that the platform did not answer. random in [0, 1) spreads the
// times at which many processes try again.
func (c *Circuit) Fail(now time.Time, random float64) {
	c.inARow++
	state := c.State()
	if state == CircuitOpen || (state == CircuitClosed && c.inARow < c.Failures) {
		return
	}
	bound := Backoff{Base: c.Base, Max: c.Max}.bound(c.openings + 1)
	c.openings++
	c.until = now.Add(bound/2 + time.Duration(random*float64(bound/2)))
	c.fire(triggerFail)
}

// Abandon notes that a call ended without a word about the platform, as when its
// caller went away. A probe is made again by the next call.
func (c *Circuit) Abandon() {
	if c.State() == CircuitProbing {
		c.until = time.Time{}
		c.fire(triggerFail)
	}
}

// fire runs a transition; the configuration permits every one that is fired.
func (c *Circuit) fire(t circuitTrigger) { _ = c.machine.Fire(t) }
