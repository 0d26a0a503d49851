package memory_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/codec"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/memory"
)

type hello struct {
	Text string `cbor:"1,keyasint"`
}

func pair() (a, b *memory.Transport) {
	n := memory.NewNetwork()
	return n.Transport(mesh.Peer{ID: "a", Addr: "10.0.0.1:1"}), n.Transport(mesh.Peer{ID: "b", Addr: "10.0.0.2:1"})
}

func echo(_ context.Context, from mesh.Peer, body []byte) (any, error) {
	var h hello
	if err := codec.Unmarshal(body, &h); err != nil {
		return nil, err
	}
	return hello{Text: h.Text + " from " + string(from.ID)}, nil
}

func TestCallReachesHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := pair()
		b.Handle(mesh.KindJoin, echo)
		var reply hello
		is.NoErr(a.Call(t.Context(), b.Self(), mesh.KindJoin, hello{Text: "hi"}, &reply))
		is.Equal(reply.Text, "hi from a")
		is.Equal(a.Traffic().SentBytes[mesh.KindJoin], b.Traffic().ReceivedBytes[mesh.KindJoin])
		is.True(a.Traffic().SentBytes[mesh.KindJoin] > 0)
	})
}

func TestCallErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := pair()
		b.Handle(mesh.KindJoin, func(context.Context, mesh.Peer, []byte) (any, error) {
			return nil, errors.New("no room")
		})
		b.Handle(mesh.KindPull, func(ctx context.Context, _ mesh.Peer, _ []byte) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		err := a.Call(t.Context(), b.Self(), mesh.KindJoin, hello{}, nil)
		is.True(errors.Is(err, mesh.ErrRefused))
		err = a.Call(t.Context(), b.Self(), mesh.KindPush, hello{}, nil)
		is.True(errors.Is(err, mesh.ErrUnknownKind))
		err = a.Call(t.Context(), mesh.Peer{ID: "c", Addr: b.Self().Addr}, mesh.KindJoin, hello{}, nil)
		is.True(errors.Is(err, mesh.ErrUnreachable)) // another node took the address

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err = a.Call(ctx, b.Self(), mesh.KindPull, hello{}, nil)
		is.True(errors.Is(err, mesh.ErrTimeout))

		b.Stop()
		err = a.Call(t.Context(), b.Self(), mesh.KindJoin, hello{}, nil)
		is.True(errors.Is(err, mesh.ErrUnreachable))
	})
}

func TestDatagram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := pair()
		got := make(chan mesh.Peer, 1)
		b.HandleDatagram(mesh.KindPing, func(from mesh.Peer, _ []byte) { got <- from })
		is.NoErr(a.Send(b.Self(), mesh.KindPing, hello{}))
		is.Equal((<-got).ID, a.Self().ID)
		err := a.Send(b.Self(), mesh.KindPing, make([]byte, mesh.MaxDatagramBytes))
		is.True(errors.Is(err, mesh.ErrTooLarge))
	})
}
