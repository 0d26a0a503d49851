// Package guard keeps an unexpected error in one piece of work from ending the whole
// process. It stands at the edges only: a call, a connection, a step of a background
// loop. What the work had changed half is given up with it, never used on.
package guard

import (
	"fmt"
	"runtime/debug"
)

// Report is told of a panic: where it was caught, its value and its stack.
type Report func(where string, value any, stack []byte)

// Error is a panic as an error.
type Error struct {
	Where string
	Value any
}

func (e *Error) Error() string { return fmt.Sprintf("panic in %s: %v", e.Where, e.Value) }

// Run runs f. A panic is reported and returned as an *Error.
func Run(where string, report Report, f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			report.tell(where, value)
			err = &Error{Where: where, Value: value}
		}
	}()
	f()
	return nil
}

func (r Report) tell(where string, value any) {
	if r != nil {
		r(where, value, debug.Stack())
	}
}
