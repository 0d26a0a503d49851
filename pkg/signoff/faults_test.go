package signoff_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
)

// faultyStore draws a fault for every call, and lets other operators act before
// some calls.
type faultyStore struct {
	*fake.Store
	rt            *rapid.T
	intervene     func()
	interventions int
	// down is an outage for the rest of the sign-off.
	down bool
}

// fault prepares the store for the next call and returns an error if the call
// does not reach it.
func (s *faultyStore) fault() error {
	if s.interventions > 0 && rapid.IntRange(0, 7).Draw(s.rt, "intervene") == 0 {
		s.interventions--
		s.intervene()
	}
	s.LoseAnswers(0)
	s.DeferWrites(0)
	if s.down {
		return platform.ErrUnavailable
	}
	switch rapid.IntRange(0, 11).Draw(s.rt, "fault") {
	case 0:
		return platform.ErrUnavailable
	case 1:
		return platform.ErrRateLimited
	case 2:
		s.LoseAnswers(1)
	case 3:
		s.DeferWrites(1)
	case 4:
		s.ReleaseWrites()
	case 5:
		s.down = true
		s.LoseAnswers(1)
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if err := s.fault(); err != nil {
		return platform.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, key platform.Key, value json.RawMessage, revision platform.Revision) (platform.Revision, error) {
	if err := s.fault(); err != nil {
		return "", err
	}
	return s.Store.Put(ctx, key, value, revision)
}

// outcome is what an operator was told about a sign-off.
type outcome struct {
	acceptance bundle.Acceptance
	operation  string
	err        error
}

// noDeadline hides the deadline of a test, which must not be read in a bubble.
type noDeadline struct{ testing.TB }

// Whatever the platform does to the calls of racing operators: what each is told
// is true, no sign-off takes effect twice, and the versions form one chain.
func TestEveryOperatorIsToldTheTruth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			store := fake.New()
			var ids []bundle.ID
			for _, name := range []string{"one", "two", "three"} {
				ids = append(ids, prepare(t, store, name))
			}
			var all []outcome
			signOff := func(via platform.Store) {
				r := request(rapid.SampledFrom(ids).Draw(rt, "bundle"), 0, "ioana")
				h, _, err := bundlestore.ReadHead(t.Context(), store)
				is.New(t).NoErr(err)
				r.Expect = h.Acceptance.Version
				r.Operation = fmt.Sprintf("op-%d", len(all))
				all = append(all, outcome{operation: r.Operation})
				i := len(all) - 1
				a, err := signoff.Accept(t.Context(), via, r)
				all[i].acceptance, all[i].err = a, err
			}
			for range rapid.IntRange(1, 4).Draw(rt, "operators") {
				faulty := &faultyStore{Store: store, rt: rt, interventions: 2, intervene: func() { signOff(store) }}
				signOff(faulty)
				store.LoseAnswers(0)
				store.DeferWrites(0)
			}
			store.ReleaseWrites()
			h, _, err := bundlestore.ReadHead(t.Context(), store)
			is.New(t).NoErr(err)
			checkChain(rt, h.All())
			for _, o := range all {
				checkTold(rt, h.All(), o)
			}
		})
	})
}

func checkChain(rt *rapid.T, list []bundle.Acceptance) {
	for i, a := range list {
		if a.Version != model.Version(len(list)-i) {
			rt.Fatalf("place %d has version %d", i, a.Version)
		}
		if i+1 < len(list) && a.Parent != list[i+1].Bundle {
			rt.Fatalf("version %d has parent %.12s, not %.12s", a.Version, a.Parent, list[i+1].Bundle)
		}
	}
}

func checkTold(rt *rapid.T, list []bundle.Acceptance, o outcome) {
	var accepted []model.Version
	for _, a := range list {
		if a.Operation == o.operation {
			accepted = append(accepted, a.Version)
		}
	}
	var unknown *signoff.UnknownError
	switch {
	case len(accepted) > 1:
		rt.Fatalf("%s was accepted as versions %v", o.operation, accepted)
	case o.err == nil && (len(accepted) == 0 || accepted[0] != o.acceptance.Version):
		rt.Fatalf("%s was told version %d, in force are %v", o.operation, o.acceptance.Version, accepted)
	case o.err != nil && !errors.As(o.err, &unknown) && len(accepted) > 0:
		rt.Fatalf("%s was told %v, but is version %d", o.operation, o.err, accepted[0])
	}
}
