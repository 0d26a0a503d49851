package signoff_test

import (
	"context"
	"crypto/ed25519"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundle/bundletest"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
	"github.com/tarragondrum/tarragondrum/pkg/objects/fake"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
)

// prepare stores a bundle with one service of the given name.
func prepare(t *testing.T, store objects.Store, service string) bundle.ID {
	t.Helper()
	b := bundletest.ValidBundle(service)
	id, err := bundlestore.Save(t.Context(), store, &b, bundlestore.Meta{Preparer: "ioana"})
	is.New(t).NoErr(err)
	return id
}

// request returns a sign-off of the bundle by an operator whose key is derived from the
// operator's name.
func request(id bundle.ID, expect model.Version, operator string) signoff.Request {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, operator)
	return signoff.Request{
		Bundle: id, ExpectedVersion: expect, Acceptor: operator, KeyID: operator + "-1",
		Key: ed25519.NewKeyFromSeed(seed), Reason: "test", Operation: "op-" + operator,
		Time: time.Date(2026, 3, 12, 12, 0, 0, 0, time.UTC),
	}
}

func head(t *testing.T, store objects.Store) bundle.Head {
	t.Helper()
	h, _, err := bundlestore.ReadHead(t.Context(), store)
	is.New(t).NoErr(err)
	return h
}

// Each acceptance names the bundle of the previous version as its parent, and the stored
// configuration has the digest that was signed.
func TestAcceptChainsVersions(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	one, two := prepare(t, store, "one"), prepare(t, store, "two")
	_, err := signoff.Accept(t.Context(), store, request(one, 0, "ioana"))
	is.NoErr(err)
	a, err := signoff.Accept(t.Context(), store, request(two, 1, "mihai"))
	is.NoErr(err)
	is.Equal(a.Version, model.Version(2))
	is.Equal(a.Parent, one)
	h := head(t, store)
	is.Equal(h.Acceptance.Bundle, two)
	is.Equal(h.Recent[0].Bundle, one)
	key := request(two, 0, "mihai").Key.Public().(ed25519.PublicKey)
	keyring := bundle.NewKeyring(bundle.TrustedKey{ID: "mihai-1", Operator: "mihai", Public: key})
	is.NoErr(keyring.Verify(&h.Acceptance)) // the signature is still valid after JSON encoding
	now, err := store.InForce(t.Context())
	is.NoErr(err)
	digest, err := now.Config.Digest()
	is.NoErr(err)
	is.Equal(digest, a.Config)
	is.Equal(now.Config.Version, uint64(2))
}

func TestConcurrentSignOffsHaveOneWinner(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	ids := map[string]bundle.ID{"ioana": prepare(t, store, "one"), "mihai": prepare(t, store, "two")}
	results := make(map[string]error)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for operator, id := range ids {
		wg.Go(func() {
			_, err := signoff.Accept(t.Context(), store, request(id, 0, operator))
			mu.Lock()
			defer mu.Unlock()
			results[operator] = err
		})
	}
	wg.Wait()
	h := head(t, store)
	is.Equal(h.Acceptance.Version, model.Version(1))
	is.Equal(len(h.Recent), 0)
	for operator, err := range results {
		if operator == h.Acceptance.Acceptor {
			is.NoErr(err)
			continue
		}
		var conflict *signoff.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Winner.Acceptor, h.Acceptance.Acceptor)
		is.Equal(conflict.Winner.Version, model.Version(1))
		is.True(conflict.Winner.Time.Equal(h.Acceptance.Time))
	}
}

// Another operator signs the same bundle off after Accept has read the head and before it
// claims the bundle. Accept must return a ConflictError that names the other operator,
// not the error that the bundle is in the wrong state.
func TestConflictOnSameBundleNamesWinner(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	id := prepare(t, store, "one")
	isFirst := true
	crossing := &bundletest.HookedStore{Store: store, Before: func(key objects.Key) error {
		if key.Collection == objects.CollectionBundles && isFirst {
			isFirst = false
			_, err := signoff.Accept(t.Context(), store, request(id, 0, "mihai"))
			is.NoErr(err)
		}
		return nil
	}}
	_, err := signoff.Accept(t.Context(), crossing, request(id, 0, "ioana"))
	var conflict *signoff.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner.Acceptor, "mihai")
	is.Equal(conflict.Winner.Version, model.Version(1))
}

// acceptHookStore calls the functions before and after around the first update of the
// head.
type acceptHookStore struct {
	*fake.Store
	before, after func()
}

func (s *acceptHookStore) Accept(ctx context.Context, next objects.InForce) (objects.Revision, error) {
	callOnce(&s.before)
	r, err := s.Store.Accept(ctx, next)
	callOnce(&s.after)
	return r, err
}

// callOnce calls *f and clears it, so that it runs only once.
func callOnce(f *func()) {
	if once := *f; once != nil {
		*f = nil
		once()
	}
}

// The update takes effect but its response is lost. Accept must find its operation id in
// the head and must not accept the bundle a second time.
func TestLostResponseIsResolvedToAccepted(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	id := prepare(t, store, "one")
	lossy := &acceptHookStore{Store: store, before: func() { store.LoseResponses(1) }}
	a, err := signoff.Accept(t.Context(), lossy, request(id, 0, "ioana"))
	is.NoErr(err)
	h := head(t, store)
	is.Equal(h.Acceptance.Operation, a.Operation)
	is.Equal(h.Acceptance.Version, model.Version(1)) // not accepted twice
}

// The response is lost and the update is still delayed when Accept reads the head. Accept
// sends the identical update again; only one of the two may take effect.
func TestDelayedUpdateIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := fake.New()
		id := prepare(t, store, "one")
		late := &acceptHookStore{Store: store, before: func() { store.DeferWrites(1) }}
		_, err := signoff.Accept(t.Context(), late, request(id, 0, "ioana"))
		is.NoErr(err)
		store.ApplyDeferredWrites()
		h := head(t, store)
		is.Equal(h.Acceptance.Version, model.Version(1))
		is.Equal(len(h.Recent), 0)
	})
}

// Another operator signs off after the response to the first update was lost. If the first
// update took effect, it must be reported as accepted although a newer version is in
// force; if it is delayed and the other one comes first, it must be reported as a conflict.
func TestConcurrentSignOffDuringLostResponse(t *testing.T) {
	cases := map[string]struct {
		fault   func(*fake.Store)
		expect  model.Version
		newest  model.Version
		outcome string
	}{
		"update with lost response took effect": {func(s *fake.Store) { s.LoseResponses(1) }, 1, 2, "accepted"},
		"update with lost response is delayed":  {func(s *fake.Store) { s.DeferWrites(1) }, 0, 1, "conflict"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := fake.New()
			one, two := prepare(t, store, "one"), prepare(t, store, "two")
			racing := &acceptHookStore{Store: store, before: func() { c.fault(store) }, after: func() {
				_, err := signoff.Accept(t.Context(), store, request(two, c.expect, "mihai"))
				is.NoErr(err)
			}}
			_, err := signoff.Accept(t.Context(), racing, request(one, 0, "ioana"))
			store.ApplyDeferredWrites()
			is.Equal(head(t, store).Acceptance.Version, c.newest)
			is.Equal(head(t, store).Acceptance.Acceptor, "mihai")
			if c.outcome == "accepted" {
				is.NoErr(err)
				return
			}
			var conflict *signoff.ConflictError
			is.True(errors.As(err, &conflict))
			is.Equal(conflict.Winner.Acceptor, "mihai")
		})
	}
}

func TestUnknownOutcomeReturnsUnknownError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := fake.New()
		id := prepare(t, store, "one")
		failing := &acceptHookStore{
			Store:  store,
			before: func() { store.LoseResponses(1) },
			after:  func() { store.SetUnavailable(true) },
		}
		_, err := signoff.Accept(t.Context(), failing, request(id, 0, "ioana"))
		var unknown *signoff.UnknownOutcomeError
		is.True(errors.As(err, &unknown))
		is.Equal(unknown.Operation, "op-ioana")
		is.Equal(unknown.Version, model.Version(1))
		store.SetUnavailable(false)
		h := head(t, store)
		_, ok := h.Find(unknown.Operation) // the lookup of "bundle status --operation"
		is.True(ok)
	})
}

func TestInvalidOrUntrustedRequestsAreRejected(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	id := prepare(t, store, "one")

	_, err := signoff.Accept(t.Context(), store, request("absent", 0, "ioana"))
	is.True(errors.Is(err, bundlestore.ErrNotPrepared))

	bad := bundle.Bundle{Services: []bundle.Service{{Name: "no timeout"}}}
	badID, err := bundlestore.Save(t.Context(), store, &bad, bundlestore.Meta{})
	is.NoErr(err)
	_, err = signoff.Accept(t.Context(), store, request(badID, 0, "ioana"))
	is.True(errors.Is(err, bundle.ErrInvalid))

	r := request(id, 0, "ioana")
	r.Keyring = bundle.NewKeyring()
	_, err = signoff.Accept(t.Context(), store, r)
	is.True(errors.Is(err, bundle.ErrSignature))

	store.SetUnavailable(true)
	_, err = signoff.Accept(t.Context(), store, request(id, 0, "ioana"))
	is.True(errors.Is(err, objects.ErrUnavailable))
	store.SetUnavailable(false)

	_, err = signoff.Accept(t.Context(), store, request(id, 7, "ioana"))
	var conflict *signoff.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(head(t, store).Acceptance.Version, model.Version(0))
}

// A sign-off takes effect even if the state of the bundle cannot be updated afterwards;
// the failure is reported to Warn.
func TestFailedSettleIsReportedAsWarning(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	id := prepare(t, store, "one")
	hooked := &bundletest.HookedStore{Store: store, Before: func(objects.Key) error {
		h, _, err := bundlestore.ReadHead(t.Context(), store)
		if err == nil && h.Acceptance.Version == 1 {
			return objects.ErrUnavailable
		}
		return err
	}}
	var warnings []error
	r := request(id, 0, "ioana")
	r.Warn = func(err error) { warnings = append(warnings, err) }
	_, err := signoff.Accept(t.Context(), hooked, r)
	is.NoErr(err)
	is.Equal(head(t, store).Acceptance.Version, model.Version(1))
	is.Equal(len(warnings), 1)
	is.True(errors.Is(warnings[0], objects.ErrUnavailable))
}
