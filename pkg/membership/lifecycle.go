package membership

import (
	"context"
	"fmt"

	"github.com/qmuntal/stateless"
)

// trigger is what moves a member from one status to another.
type trigger string

// The triggers. A member that restarts or refutes comes back with a higher
// incarnation.
const (
	triggerSuspect trigger = "suspect"
	triggerReturn  trigger = "return"
	triggerFail    trigger = "fail"
	triggerLeave   trigger = "leave"
)

// Transition is a change of what this node believes of a member.
type Transition struct {
	Member Record
	From   Status
	To     Status
}

// lifecycle is the state machine of members. One machine serves all members of
// a table: the status lives in the member that is being moved.
type lifecycle struct {
	machine *stateless.StateMachine
	current *member
}

func newLifecycle(observe func(Transition)) *lifecycle {
	l := &lifecycle{}
	l.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return l.current.Status, nil },
		func(_ context.Context, s stateless.State) error {
			l.current.Status = s.(Status)
			return nil
		},
		stateless.FiringImmediate,
	)
	l.machine.Configure(StatusAlive).
		Permit(triggerSuspect, StatusSuspect).
		Permit(triggerFail, StatusFailed).
		Permit(triggerLeave, StatusLeft)
	l.machine.Configure(StatusSuspect).
		Permit(triggerReturn, StatusAlive).
		Permit(triggerFail, StatusFailed).
		Permit(triggerLeave, StatusLeft)
	l.machine.Configure(StatusFailed).
		Permit(triggerReturn, StatusAlive).
		Permit(triggerSuspect, StatusSuspect).
		Permit(triggerLeave, StatusLeft)
	l.machine.Configure(StatusLeft).
		Permit(triggerReturn, StatusAlive).
		Permit(triggerSuspect, StatusSuspect).
		Permit(triggerFail, StatusFailed)
	l.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		observe(Transition{
			Member: l.current.Record,
			From:   t.Source.(Status),
			To:     t.Destination.(Status),
		})
	})
	return l
}

// move brings m to the given status.
func (l *lifecycle) move(m *member, to Status) {
	if m.Status == to {
		return
	}
	l.current = m
	if err := l.machine.Fire(triggerTo(to)); err != nil {
		panic(fmt.Errorf("member %q from %s to %s: %w", m.Record.ID, m.Status, to, err))
	}
}

func triggerTo(s Status) trigger {
	switch s {
	case StatusSuspect:
		return triggerSuspect
	case StatusFailed:
		return triggerFail
	case StatusLeft:
		return triggerLeave
	}
	return triggerReturn
}
