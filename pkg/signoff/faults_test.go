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

// faults draws a random fault for each call of the store, and runs a sign-off of another
// operator before some of the calls.
type faults struct {
	store               *fake.Store
	rt                  *rapid.T
	signOffConcurrently func()
	concurrentSignOffs  int
	// down makes the store unavailable for the rest of the sign-off.
	down bool
}

// before is the hook ahead of each call. It sets up the fault of the call, and returns an
// error if the call must not reach the store.
func (f *faults) before(objects.Key) error {
	if f.concurrentSignOffs > 0 && rapid.IntRange(0, 7).Draw(f.rt, "intervene") == 0 {
		f.concurrentSignOffs--
		f.signOffConcurrently()
	}
	f.store.LoseResponses(0)
	f.store.DeferWrites(0)
	if f.down {
		return objects.ErrUnavailable
	}
	switch rapid.IntRange(0, 11).Draw(f.rt, "fault") {
	case 0:
		return objects.ErrUnavailable
	case 2:
		f.store.LoseResponses(1)
	case 3:
		f.store.DeferWrites(1)
	case 4:
		f.store.ApplyDeferredWrites()
	case 5:
		f.down = true
		f.store.LoseResponses(1)
	}
	return nil
}

// outcome is the result that Accept reported to an operator.
type outcome struct {
	acceptance bundle.Acceptance
	operation  string
	err        error
}

// noDeadline hides the method Deadline of a test, which must not be called in a synctest
// bubble.
type noDeadline struct{ testing.TB }

// Concurrent operators sign off while calls of the store fail, responses are lost and
// writes are delayed. Each reported outcome must match the stored acceptances, no sign-off
// may take effect twice, and the versions must form one chain.
func TestReportedOutcomesMatchStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			store := fake.New()
			var ids []bundle.ID
			for _, name := range []string{"one", "two", "three"} {
				ids = append(ids, prepare(t, store, name))
			}
			var outcomes []outcome
			signOff := func(via objects.Store) {
				r := request(rapid.SampledFrom(ids).Draw(rt, "bundle"), 0, "ioana")
				h, _, err := bundlestore.ReadHead(t.Context(), store)
				is.New(t).NoErr(err)
				r.ExpectedVersion = h.Acceptance.Version
				r.Operation = fmt.Sprintf("op-%d", len(outcomes))
				outcomes = append(outcomes, outcome{operation: r.Operation})
				i := len(outcomes) - 1
				a, err := signoff.Accept(t.Context(), via, r)
				outcomes[i].acceptance, outcomes[i].err = a, err
			}
			for range rapid.IntRange(1, 4).Draw(rt, "operators") {
				f := &faults{store: store, rt: rt, concurrentSignOffs: 2, signOffConcurrently: func() { signOff(store) }}
				signOff(&bundletest.HookedStore{Store: store, Before: f.before})
				store.LoseResponses(0)
				store.DeferWrites(0)
			}
			store.ApplyDeferredWrites()
			h, _, err := bundlestore.ReadHead(t.Context(), store)
			is.New(t).NoErr(err)
			checkChain(rt, h.All())
			for _, o := range outcomes {
				checkOutcome(rt, h.All(), o)
			}
		})
	})
}

// checkChain checks that the versions of the list, newest first, are consecutive down to
// 1 and that each names the bundle of the previous version as its parent.
func checkChain(rt *rapid.T, list []bundle.Acceptance) {
	for i, a := range list {
		if a.Version != model.Version(len(list)-i) {
			rt.Fatalf("acceptance at index %d has version %d", i, a.Version)
		}
		if i+1 < len(list) && a.Parent != list[i+1].Bundle {
			rt.Fatalf("version %d has parent %.12s, not %.12s", a.Version, a.Parent, list[i+1].Bundle)
		}
	}
}

// checkOutcome checks the reported outcome of one sign-off against the accepted versions.
// An UnknownOutcomeError is correct in either case.
func checkOutcome(rt *rapid.T, list []bundle.Acceptance, o outcome) {
	var accepted []model.Version
	for _, a := range list {
		if a.Operation == o.operation {
			accepted = append(accepted, a.Version)
		}
	}
	var unknown *signoff.UnknownOutcomeError
	switch {
	case len(accepted) > 1:
		rt.Fatalf("%s was accepted as versions %v", o.operation, accepted)
	case o.err == nil && (len(accepted) == 0 || accepted[0] != o.acceptance.Version):
		rt.Fatalf("%s was reported as accepted as version %d, but its accepted versions are %v", o.operation, o.acceptance.Version, accepted)
	case o.err != nil && !errors.As(o.err, &unknown) && len(accepted) > 0:
		rt.Fatalf("%s was reported as failed with %v, but was accepted as version %d", o.operation, o.err, accepted[0])
	}
}
