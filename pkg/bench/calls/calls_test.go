package calls_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bench/calls"
)

func TestUnknownScenario(t *testing.T) {
	is := is.New(t)
	_, err := calls.Run(t.Context(), calls.Options{Scenarios: []string{"sunny-day"}})
	is.True(errors.Is(err, calls.ErrUnknownScenario))
}

// The day on which a cooperative was billed twice: with the mesh no order runs
// twice, and the plain retries of before are seen to fail by the same check.
func TestBilledTwice(t *testing.T) {
	is := is.New(t)
	r, err := calls.Run(t.Context(), calls.Options{Scenarios: []string{"billed-twice"}, Baselines: true, Seed: 1})
	is.NoErr(err)
	mesh, plain := r.Scenarios[0], r.Scenarios[1]
	is.Equal(mesh.Policy, calls.PolicyMesh)
	is.True(mesh.Orders.Runs > 0)
	is.True(mesh.Crashes > 0)
	is.True(!mesh.Orders.Broken())
	is.True(plain.Orders.RunTwice > 0)
}
