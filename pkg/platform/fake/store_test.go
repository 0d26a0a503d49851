package fake_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
)

var key = platform.Key{Collection: platform.CollectionContacts, Name: "a"}

func value(s string) json.RawMessage { return json.RawMessage(`"` + s + `"`) }

func TestPutIsConditional(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := fake.New()
	first, err := s.Put(ctx, key, value("one"), "")
	is.NoErr(err)
	_, err = s.Put(ctx, key, value("two"), "")
	is.True(errors.Is(err, platform.ErrConflict))
	_, err = s.Put(ctx, key, value("two"), first)
	is.NoErr(err)
	is.True(errors.Is(s.Delete(ctx, key, first), platform.ErrConflict))
	o, err := s.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(o.Value), `"two"`)
	is.NoErr(s.Delete(ctx, key, o.Revision))
	_, err = s.Get(ctx, key)
	is.True(errors.Is(err, platform.ErrNotFound))
}

func TestWriteFaultsTellTheTruth(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := fake.New()
	s.LoseAnswers(1)
	_, err := s.Put(ctx, key, value("lost"), "")
	is.True(errors.Is(err, platform.ErrUnknownOutcome))
	o, err := s.Get(ctx, key)
	is.NoErr(err) // the lost write took effect

	s.DeferWrites(1)
	_, err = s.Put(ctx, key, value("late"), o.Revision)
	is.True(errors.Is(err, platform.ErrUnknownOutcome))
	before, err := s.Get(ctx, key)
	is.NoErr(err)
	is.Equal(before.Revision, o.Revision) // not yet
	s.ReleaseWrites()
	after, err := s.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(after.Value), `"late"`)

	s.SetDown(true)
	_, err = s.Put(ctx, key, value("down"), after.Revision)
	is.True(errors.Is(err, platform.ErrUnavailable))
	s.SetDown(false)
	big := make([]byte, platform.MaxValueBytes)
	_, err = s.Put(ctx, key, value(string(big)), after.Revision)
	is.True(errors.Is(err, platform.ErrTooLarge))
}

func TestSlowWriteOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := fake.New()
		s.SetDelay(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Put(ctx, key, value("slow"), "")
		is.True(errors.Is(err, platform.ErrUnknownOutcome))
		o, err := s.Get(t.Context(), key)
		is.NoErr(err)
		is.Equal(string(o.Value), `"slow"`)
	})
}

func TestRatesRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := fake.New()
		s.SetRates(2, 1)
		_, err := s.Put(t.Context(), key, value("one"), "")
		is.NoErr(err)
		_, err = s.Put(t.Context(), key, value("two"), "1")
		is.True(errors.Is(err, platform.ErrRateLimited))
		time.Sleep(time.Second)
		_, err = s.Put(t.Context(), key, value("two"), "1")
		is.NoErr(err)
		is.Equal(s.Calls().Refused, uint64(1))
	})
}

func TestWatchSeesChangesAndFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		s := fake.New()
		_, from, err := s.List(ctx, key.Collection)
		is.NoErr(err)
		w, err := s.Watch(ctx, key.Collection, from)
		is.NoErr(err)
		go func() {
			time.Sleep(time.Second)
			_, _ = s.Put(ctx, platform.Key{Collection: platform.CollectionHeads, Name: "x"}, value("other"), "")
			_, _ = s.Put(ctx, key, value("one"), "")
		}()
		change, err := w.Next(ctx)
		is.NoErr(err)
		is.Equal(string(change.Object.Value), `"one"`)

		go func() {
			time.Sleep(time.Second)
			s.DropWatches()
		}()
		_, err = w.Next(ctx)
		is.True(errors.Is(err, platform.ErrUnavailable))

		s.Compact()
		_, err = s.Watch(ctx, key.Collection, from)
		is.True(errors.Is(err, platform.ErrCompacted))
	})
}

// The log is bounded: a watch from long ago must list again.
func TestOldChangesAreCompacted(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s := fake.New()
	first, err := s.Put(ctx, key, value("x"), "")
	is.NoErr(err)
	revision := first
	for range 10_000 {
		revision, err = s.Put(ctx, key, value("x"), revision)
		is.NoErr(err)
	}
	_, err = s.Watch(ctx, key.Collection, first)
	is.True(errors.Is(err, platform.ErrCompacted))
	w, err := s.Watch(ctx, key.Collection, revision)
	is.NoErr(err)
	is.NoErr(w.Close())
}
