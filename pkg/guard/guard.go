// Package guard recovers panics, so that one failing task does not end the process. It
// is used at task boundaries only: a call, a connection, an iteration of a background
// loop. State that a panicking task left half changed must be discarded with the task.
package guard

import (
	"fmt"
	"runtime/debug"
)

// Report is called with a recovered panic: the name of the task, the panic's value and the
// stack.
type Report func(where string, value any, stack []byte)

// Error is a recovered panic.
type Error struct {
	Where string
	Value any
}

func (e *Error) Error() string { return fmt.Sprintf("panic in %s: %v", e.Where, e.Value) }

// Run calls f and recovers a panic in it, which it reports and returns as an *Error. report
// may be nil.
func Run(where string, report Report, f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			report.call(where, value)
			err = &Error{Where: where, Value: value}
		}
	}()
	f()
	return nil
}

// call calls the report function unless it is nil.
func (r Report) call(where string, value any) {
	if r != nil {
		r(where, value, debug.Stack())
	}
}
