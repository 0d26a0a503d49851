package fault_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/fault"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/memory"
)

func ok(context.Context, mesh.Peer, []byte) (any, error) { return true, nil }

func pair(f *fault.Faults) (a, b mesh.Transport) {
	n := memory.NewNetwork()
	a = f.Wrap(n.Transport(mesh.Peer{ID: "a", Addr: "10.0.0.1:1"}), "cluj-1")
	b = f.Wrap(n.Transport(mesh.Peer{ID: "b", Addr: "10.0.0.2:1"}), "cluj-2")
	b.Handle(mesh.KindJoin, ok)
	return a, b
}

func TestCutAndHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fault.New(1)
		a, b := pair(f)
		f.Cut("cluj-1", "cluj-2")
		err := a.Call(t.Context(), b.Self(), mesh.KindJoin, true, nil)
		is.True(errors.Is(err, mesh.ErrUnreachable))
		err = a.Call(t.Context(), mesh.Peer{Addr: b.Self().Addr}, mesh.KindJoin, true, nil)
		is.True(errors.Is(err, mesh.ErrUnreachable)) // also when only the address is known
		f.Heal("cluj-1", "cluj-2")
		is.NoErr(a.Call(t.Context(), b.Self(), mesh.KindJoin, true, nil))
	})
}

func TestDelayAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fault.New(1)
		a, b := pair(f)
		f.SetLinks(fault.Link{}, fault.Link{Delay: 4 * time.Millisecond})
		start := time.Now()
		is.NoErr(a.Call(t.Context(), b.Self(), mesh.KindJoin, true, nil))
		is.Equal(time.Since(start), 8*time.Millisecond)

		f.SetLinks(fault.Link{}, fault.Link{Loss: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := a.Call(ctx, b.Self(), mesh.KindJoin, true, nil)
		is.True(errors.Is(err, mesh.ErrTimeout))
	})
}
