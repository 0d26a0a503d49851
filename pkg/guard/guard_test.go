package guard_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/guard"
)

// A panic in one task doesn't end the process, and is reported with the name of the task
// and a stack that shows where it happened.
func TestPanicIsReported(t *testing.T) {
	is := is.New(t)
	var where, stack string
	report := func(w string, _ any, s []byte) { where, stack = w, string(s) }
	is.NoErr(guard.Run("calm", report, func() {}))
	is.Equal(where, "")
	var none map[string]int
	err := guard.Run("call", report, func() { none["x"] = 1 })
	var caught *guard.PanicError
	is.True(errors.As(err, &caught))
	is.Equal(where, "call")
	is.True(strings.Contains(stack, "TestPanicIsReported"))
	is.True(guard.Run("call", nil, func() { panic("unheard") }) != nil)
}
