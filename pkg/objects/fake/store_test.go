package fake_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
	"github.com/tarragondrum/tarragondrum/pkg/objects/fake"
)

var key = objects.Key{Collection: objects.CollectionBundles, Name: "a"}

func value(s string) json.RawMessage { return json.RawMessage(`"` + s + `"`) }

func TestPutIsConditional(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := fake.New()
	first, err := s.Put(ctx, key, value("one"), "")
	is.NoErr(err)
	_, err = s.Put(ctx, key, value("two"), "")
	is.True(errors.Is(err, objects.ErrConflict))
	_, err = s.Put(ctx, key, value("two"), first)
	is.NoErr(err)
	is.True(errors.Is(s.Delete(ctx, key, first), objects.ErrConflict))
	o, err := s.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(o.Value), `"two"`)
	is.NoErr(s.Delete(ctx, key, o.Revision))
	_, err = s.Get(ctx, key)
	is.True(errors.Is(err, objects.ErrNotFound))
}

// Each simulated write fault reports what happened to the write: a write with an unknown
// outcome takes effect at once or later, and an unavailable store changes nothing.
func TestWriteFaultsReportTheirEffect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := fake.New()
	s.LoseResponses(1)
	_, err := s.Put(ctx, key, value("lost"), "")
	is.True(errors.Is(err, objects.ErrUnknownOutcome))
	o, err := s.Get(ctx, key)
	is.NoErr(err) // the lost write took effect

	s.DeferWrites(1)
	_, err = s.Put(ctx, key, value("late"), o.Revision)
	is.True(errors.Is(err, objects.ErrUnknownOutcome))
	before, err := s.Get(ctx, key)
	is.NoErr(err)
	is.Equal(before.Revision, o.Revision) // the deferred write has not taken effect yet
	s.ApplyDeferredWrites()
	after, err := s.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(after.Value), `"late"`)

	s.SetUnavailable(true)
	_, err = s.Put(ctx, key, value("down"), after.Revision)
	is.True(errors.Is(err, objects.ErrUnavailable))
	s.SetUnavailable(false)
	big := make([]byte, objects.MaxValueBytes)
	_, err = s.Put(ctx, key, value(string(big)), after.Revision)
	is.True(errors.Is(err, objects.ErrTooLarge))
}

// A write that is still delayed when its caller's context ends takes effect all the same.
func TestDelayedWriteTakesEffectAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := fake.New()
		s.SetDelay(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Put(ctx, key, value("slow"), "")
		is.True(errors.Is(err, objects.ErrUnknownOutcome))
		o, err := s.Get(t.Context(), key)
		is.NoErr(err)
		is.Equal(string(o.Value), `"slow"`)
	})
}

// The configuration in force changes only if the expected revision matches, as for any
// other object.
func TestAcceptIsConditional(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s := fake.New()
	none, err := s.InForce(ctx)
	is.NoErr(err)
	is.Equal(none.Revision, objects.Revision(""))
	first, err := s.Accept(ctx, objects.InForce{Config: meshconf.Config{Version: 1}, Record: value("ioana")})
	is.NoErr(err)
	_, err = s.Accept(ctx, objects.InForce{Config: meshconf.Config{Version: 2}})
	is.True(errors.Is(err, objects.ErrConflict))
	s.LoseResponses(1)
	_, err = s.Accept(ctx, objects.InForce{Config: meshconf.Config{Version: 2}, Revision: first})
	is.True(errors.Is(err, objects.ErrUnknownOutcome))
	now, err := s.InForce(ctx)
	is.NoErr(err)
	is.Equal(now.Config.Version, uint64(2))
}
