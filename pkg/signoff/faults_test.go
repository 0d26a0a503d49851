package signoff_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundle/bundletest"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
	"github.com/tarragondrum/tarragondrum/pkg/objects/fake"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
)

// faults draws a fault for every call, and lets other operators act before some
// calls.
type faults struct {
	store         *fake.Store
	rt            *rapid.T
	intervene     func()
	interventions int
	// down is an outage for the rest of the sign-off.
	down bool
}

// before prepares the store for the next call and returns an error if the call
// does not reach it.
func (f *faults) before(objects.Key) error {
	if f.interventions > 0 && rapid.IntRange(0, 7).Draw(f.rt, "intervene") == 0 {
		f.interventions--
		f.intervene()
	}
	f.store.LoseAnswers(0)
	f.store.DeferWrites(0)
	if f.down {
		return objects.ErrUnavailable
	}
	switch rapid.IntRange(0, 11).Draw(f.rt, "fault") {
	case 0:
		return objects.ErrUnavailable
	case 2:
		f.store.LoseAnswers(1)
	case 3:
		f.store.DeferWrites(1)
	case 4:
		f.store.ReleaseWrites()
	case 5:
		f.down = true
		f.store.LoseAnswers(1)
	}
	return nil
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
			signOff := func(via objects.Store) {
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
				f := &faults{store: store, rt: rt, interventions: 2, intervene: func() { signOff(store) }}
				signOff(&bundletest.HookedStore{Store: store, Before: f.before})
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
