// Package guard recovers panics, so that one failing task does not end the process. It
// is used at task boundaries only: a call, a connection, an iteration of a background
// loop. State that a panicking task left half changed must be discarded with the task.
package guard

import (
	"fmt"
	"runtime/debug"
)

// ReportFunc is called with a recovered panic: the name of the task, the panic's value and the
// stack.
type ReportFunc func(where string, value any, stack []byte)

// PanicError is a recovered panic.
type PanicError struct {
	Task  string
	Value any
}

func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Task, e.Value) }

// Run calls f and recovers a panic in it, which it reports and returns as an *PanicError. report
// may be nil.
func Run(where string, report ReportFunc, f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			report.call(where, value)
			err = &PanicError{Task: where, Value: value}
		}
	}()
	f()
	return nil
}

// call calls the report function unless it is nil.
func (r ReportFunc) call(where string, value any) {
	if r != nil {
		r(where, value, debug.Stack())
	}
}
