package bundlestore_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundle/bundletest"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
	"github.com/tarragondrum/tarragondrum/pkg/objects/fake"
)

var meta = bundlestore.Meta{Preparer: "ioana", Time: time.Date(2026, 3, 12, 12, 0, 0, 0, time.UTC)}

// save stores a bundle, prepared by meta, and returns its id.
func save(t *testing.T, store objects.Store, b bundle.Bundle) bundle.ID {
	t.Helper()
	id, err := bundlestore.Save(t.Context(), store, &b, meta)
	is.New(t).NoErr(err)
	return id
}

// bundleWithService returns a bundle with a single service of the given name.
func bundleWithService(name string) bundle.Bundle {
	return bundle.Bundle{Services: []bundle.Service{{Name: name}}}
}

func TestLoadReturnsSavedBundle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		store := fake.New()
		b := bundletest.Bundle().Draw(rt, "bundle")
		id, err := bundlestore.Save(t.Context(), store, &b, meta)
		is.NoErr(err)
		got, err := bundlestore.Load(t.Context(), store, id)
		is.NoErr(err)
		is.Equal(got, b)
		again, err := bundlestore.Save(t.Context(), store, &got, bundlestore.Meta{Preparer: "mihai"})
		is.NoErr(err)
		is.Equal(again, id)
	})
}

func TestSavingTwiceWritesNothing(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	id := save(t, store, bundleWithService("one"))
	writes := store.WriteCount()
	is.Equal(save(t, store, bundleWithService("one")), id)
	is.Equal(store.WriteCount(), writes)
}

// Load must reject a bundle with missing or damaged content, and saving the bundle again
// must repair it.
func TestBundleIsReadableWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := fake.New()
	b := bundleWithService("one")
	id := save(t, store, b)
	damages := map[string]func(objects.Object){
		"missing": func(o objects.Object) { is.NoErr(store.Delete(ctx, o.Key, o.Revision)) },
		"changed": func(o objects.Object) {
			value := json.RawMessage(strings.Replace(string(o.Value), "A", "B", 1))
			_, err := store.Put(ctx, o.Key, value, o.Revision)
			is.NoErr(err)
		},
		"no content": func(o objects.Object) {
			_, err := store.Put(ctx, o.Key, json.RawMessage(`[]`), o.Revision)
			is.NoErr(err)
		},
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			contents, err := store.List(ctx, objects.CollectionContents)
			is.NoErr(err)
			is.Equal(len(contents), 1)
			damage(contents[0])
			_, err = bundlestore.Load(ctx, store, id)
			is.True(errors.Is(err, bundlestore.ErrNotReadable))
			is.Equal(save(t, store, b), id) // saving again repairs the content
			_, err = bundlestore.Load(ctx, store, id)
			is.NoErr(err)
		})
	}
}

// The manifest and the content of one bundle are stored under the id of another. The hash
// in the manifest matches, so only the check of the content against the id finds it.
func TestLoadRejectsContentOfAnotherBundle(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := fake.New()
	one, two := save(t, store, bundleWithService("one")), save(t, store, bundleWithService("two"))
	m, _, err := bundlestore.LoadManifest(ctx, store, one)
	is.NoErr(err)
	// Store the content of the first bundle under the id of the second.
	content, err := store.Get(ctx, objects.Key{Collection: objects.CollectionContents, Name: string(one)})
	is.NoErr(err)
	target, err := store.Get(ctx, objects.Key{Collection: objects.CollectionContents, Name: string(two)})
	is.NoErr(err)
	_, err = store.Put(ctx, target.Key, content.Value, target.Revision)
	is.NoErr(err)
	_, revision, err := bundlestore.LoadManifest(ctx, store, two)
	is.NoErr(err)
	m.Bundle = two
	value, err := json.Marshal(m)
	is.NoErr(err)
	_, err = store.Put(ctx, objects.Key{Collection: objects.CollectionBundles, Name: string(two)}, value, revision)
	is.NoErr(err)
	_, err = bundlestore.Load(ctx, store, two)
	is.True(errors.Is(err, bundlestore.ErrNotReadable))
	is.True(errors.Is(err, bundle.ErrContent))
}

// Save must succeed if the store applies its writes and the answers are lost, and must
// complete a bundle that an outage left incomplete.
func TestSaveAfterLostAnswersAndOutage(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	store.LoseResponses(3) // one for each write
	id := save(t, store, bundleWithService("one"))
	_, err := bundlestore.Load(t.Context(), store, id)
	is.NoErr(err)
	store.SetUnavailable(true)
	b := bundleWithService("two")
	_, err = bundlestore.Save(t.Context(), store, &b, meta)
	is.True(errors.Is(err, objects.ErrUnavailable))
	store.SetUnavailable(false)
	save(t, store, b) // the next call of Save completes the bundle
}

// The store fails after each possible number of calls during a Save. The bundle must be
// either complete or not readable, and saving it again must complete it.
func TestOutageAtEveryCallOfASave(t *testing.T) {
	for stop := range 6 {
		t.Run(fmt.Sprintf("after %d calls", stop), func(t *testing.T) {
			is := is.New(t)
			store := fake.New()
			b := bundleWithService("one")
			id, err := b.ContentID()
			is.NoErr(err)
			failing := &bundletest.HookedStore{Store: store, Before: bundletest.PauseAfter(stop, func() { store.SetUnavailable(true) })}
			_, saveErr := bundlestore.Save(t.Context(), failing, &b, meta)
			store.SetUnavailable(false)
			got, err := bundlestore.Load(t.Context(), store, id)
			if saveErr == nil {
				is.NoErr(err)
			}
			if err == nil {
				is.Equal(got, b)
			} else {
				is.True(errors.Is(err, bundlestore.ErrNotPrepared) || errors.Is(err, bundlestore.ErrNotReadable))
			}
			is.Equal(save(t, store, b), id)
			entries, _, err := bundlestore.List(t.Context(), store)
			is.NoErr(err)
			is.Equal(entries[0].State, bundlestore.StatePrepared)
			_, err = bundlestore.Load(t.Context(), store, id)
			is.NoErr(err)
		})
	}
}

// A claimed bundle can be withdrawn only after another bundle has taken the claimed
// version, and claimed again only after it is prepared again.
func TestClaimedBundleCannotBeWithdrawn(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := fake.New()
	id := save(t, store, bundleWithService("one"))
	_, err := bundlestore.Claim(ctx, store, id, 1, false)
	is.NoErr(err)
	is.True(errors.Is(bundlestore.Withdraw(ctx, store, id), bundlestore.ErrInvalidTransition))

	// Another bundle becomes version 1, so the sign-off of this one has failed.
	accept(t, store, save(t, store, bundleWithService("two")))
	is.NoErr(bundlestore.Withdraw(ctx, store, id))
	_, err = bundlestore.Claim(ctx, store, id, 2, false)
	is.True(errors.Is(err, bundlestore.ErrInvalidTransition))
	save(t, store, bundleWithService("one")) // preparing it again allows the next claim
	_, err = bundlestore.Claim(ctx, store, id, 2, false)
	is.NoErr(err)
}

// accept puts a bundle in force as the next version, with an unsigned acceptance.
func accept(t *testing.T, store objects.Store, id bundle.ID) {
	t.Helper()
	is := is.New(t)
	head, revision, err := bundlestore.ReadHead(t.Context(), store)
	is.NoErr(err)
	a := bundle.Acceptance{Version: head.Acceptance.Version + 1, Bundle: id, Operation: fmt.Sprint(head.Acceptance.Version)}
	record, err := json.Marshal(head.Next(a))
	is.NoErr(err)
	_, err = store.Accept(t.Context(), objects.InForce{Config: meshconf.Config{Version: uint64(a.Version)}, Record: record, Revision: revision})
	is.NoErr(err)
}

func TestStateIsDerivedFromHead(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := fake.New()
	ids := []bundle.ID{save(t, store, bundleWithService("one")), save(t, store, bundleWithService("two")), save(t, store, bundleWithService("three"))}
	for i, id := range ids[:2] {
		_, err := bundlestore.Claim(ctx, store, id, model.Version(i+1), false)
		is.NoErr(err)
		accept(t, store, id)
	}
	is.NoErr(bundlestore.ResolveClaim(ctx, store, ids[1]))
	entries, _, err := bundlestore.List(ctx, store)
	is.NoErr(err)
	states := make(map[bundle.ID]bundlestore.State)
	for _, e := range entries {
		states[e.Bundle] = e.State
	}
	is.Equal(states[ids[0]], bundlestore.StateSuperseded) // although ResolveClaim was not called for it
	is.Equal(states[ids[1]], bundlestore.StateAccepted)
	is.Equal(states[ids[2]], bundlestore.StatePrepared)
	is.True(errors.Is(bundlestore.Remove(ctx, store, ids[1]), bundlestore.ErrInvalidTransition))
	is.NoErr(bundlestore.Remove(ctx, store, ids[2]))
	_, err = bundlestore.Load(ctx, store, ids[2])
	is.True(errors.Is(err, bundlestore.ErrNotPrepared))
}

// A superseded bundle that is prepared again must be listed as waiting, with its new
// preparer, also during a sign-off and after that sign-off has lost its version to another.
func TestSupersededBundleWaitsAgain(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := fake.New()
	one, two, three := bundleWithService("one"), bundleWithService("two"), bundleWithService("three")
	for i, b := range []bundle.Bundle{one, two} {
		id := save(t, store, b)
		_, err := bundlestore.Claim(ctx, store, id, model.Version(i+1), false)
		is.NoErr(err)
		accept(t, store, id)
	}
	id, err := bundlestore.Save(ctx, store, &one, bundlestore.Meta{Preparer: "mihai"})
	is.NoErr(err)
	expectWaiting := func() {
		t.Helper()
		entries, _, err := bundlestore.List(ctx, store)
		is.NoErr(err)
		waiting := bundlestore.Waiting(entries)
		is.Equal(len(waiting), 1)
		is.Equal(waiting[0].Bundle, id)
		is.Equal(waiting[0].Meta.Preparer, "mihai")
		is.Equal(waiting[0].Accepted, model.Version(1))
	}
	expectWaiting()
	_, err = bundlestore.Claim(ctx, store, id, 3, false)
	is.NoErr(err)
	expectWaiting() // during the sign-off
	accept(t, store, save(t, store, three))
	expectWaiting() // after another bundle has taken version 3
}

// Signing off the bundle in force once more requires the again flag of Claim.
func TestBundleInForceIsOnlySignedAgainOnRequest(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := fake.New()
	id := save(t, store, bundleWithService("one"))
	accept(t, store, id)
	_, err := bundlestore.Claim(ctx, store, id, 2, false)
	is.True(errors.Is(err, bundlestore.ErrInvalidTransition))
	_, err = bundlestore.Claim(ctx, store, id, 2, true)
	is.NoErr(err)
	is.True(errors.Is(bundlestore.Remove(ctx, store, id), bundlestore.ErrInvalidTransition))
}

func TestRetention(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	for i := range 6 {
		id := save(t, store, bundleWithService(fmt.Sprintf("s%d", i)))
		if i < 4 {
			_, err := bundlestore.Claim(t.Context(), store, id, model.Version(i+1), false)
			is.NoErr(err)
			accept(t, store, id)
		}
	}
	r := bundlestore.Retention{MaxWaitingAge: time.Hour, MaxWaiting: 1, MaxSuperseded: 2, MaxRemovals: 8}
	removed, err := bundlestore.Prune(t.Context(), store, r, meta.Time)
	is.NoErr(err)
	is.Equal(len(removed), 2) // one waiting and one superseded bundle exceed the limits
	removed, err = bundlestore.Prune(t.Context(), store, r, meta.Time.Add(2*time.Hour))
	is.NoErr(err)
	is.Equal(len(removed), 1) // the other waiting bundle is older than MaxWaitingAge
	entries, head, err := bundlestore.List(t.Context(), store)
	is.NoErr(err)
	is.Equal(len(entries), 3)
	is.Equal(head.Acceptance.Version, model.Version(4))
}

// Guards against a removal that deletes the content of a bundle that is saved and signed
// off at the same time. Each of the two operations is run in full after every possible
// number of store calls of the other; a bundle that is in force afterwards must be readable.
func TestRemoveKeepsContentOfAcceptedBundle(t *testing.T) {
	b := bundleWithService("one")
	prepare := func(t *testing.T, via, store objects.Store) {
		id, err := bundlestore.Save(t.Context(), via, &b, meta)
		if err == nil {
			_, err = bundlestore.Load(t.Context(), store, id)
		}
		is.New(t).NoErr(err)
	}
	remove := func(t *testing.T, store, _ objects.Store) {
		id, _ := b.ContentID()
		_ = bundlestore.Remove(t.Context(), store, id)
	}
	interleavings := map[string]struct {
		outer, inner func(t *testing.T, via, store objects.Store)
	}{
		"prepared during a removal": {remove, prepare},
		"removed while preparing":   {prepare, remove},
	}
	for name, interleaving := range interleavings {
		for stop := range 12 {
			t.Run(fmt.Sprintf("%s after %d calls", name, stop), func(t *testing.T) {
				is := is.New(t)
				store := fake.New()
				id := save(t, store, b)
				is.NoErr(bundlestore.Withdraw(t.Context(), store, id))
				paused := &bundletest.HookedStore{Store: store, Before: bundletest.PauseAfter(stop, func() {
					interleaving.inner(t, store, store)
					signOff(t, store, id)
				})}
				interleaving.outer(t, paused, store)
				signOff(t, store, id)
				head, _, err := bundlestore.ReadHead(t.Context(), store)
				is.NoErr(err)
				if head.Acceptance.Version > 0 {
					_, err = bundlestore.Load(t.Context(), store, id)
					is.NoErr(err)
				}
			})
		}
	}
}

// signOff claims, loads and accepts a bundle in the same order as package signoff. It does
// nothing if the bundle cannot be claimed or read.
func signOff(t *testing.T, store objects.Store, id bundle.ID) {
	t.Helper()
	if _, err := bundlestore.Claim(t.Context(), store, id, 1, false); err != nil {
		return
	}
	if _, err := bundlestore.Load(t.Context(), store, id); err == nil {
		accept(t, store, id)
	}
}

// History and AcceptanceOf must find versions that the head no longer lists. The versions
// span two history segments.
func TestHistoryKeepsVersionsNotInHead(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := fake.New()
	const versions = 540
	for range versions {
		accept(t, store, "x")
		head, _, err := bundlestore.ReadHead(ctx, store)
		is.NoErr(err)
		if head.Acceptance.Version%bundle.MaxRecentAcceptances == 0 {
			is.NoErr(bundlestore.Archive(ctx, store, head))
		}
	}
	list, err := bundlestore.History(ctx, store, 1000)
	is.NoErr(err)
	is.Equal(len(list), versions)
	for i, a := range list {
		is.Equal(a.Version, model.Version(versions-i))
	}
	a, err := bundlestore.AcceptanceOf(ctx, store, 7)
	is.NoErr(err)
	is.Equal(a.Version, model.Version(7))
	_, err = bundlestore.AcceptanceOf(ctx, store, versions+1)
	is.True(errors.Is(err, bundlestore.ErrNotPrepared))
}

func TestMalformedHeadIsAnError(t *testing.T) {
	for _, record := range []string{`{}`, `[]`, `{"acceptance":{"version":"x"}}`} {
		is := is.New(t)
		store := fake.New()
		_, err := store.Accept(t.Context(), objects.InForce{Config: meshconf.Config{Version: 1}, Record: json.RawMessage(record)})
		is.NoErr(err)
		_, _, err = bundlestore.ReadHead(t.Context(), store)
		is.True(errors.Is(err, bundle.ErrMalformed))
	}
}

// A configuration that was written to the store without the tools has no record. The head
// must still have its version, so that the next acceptance continues from it.
func TestReadHeadOfConfigurationWithoutRecord(t *testing.T) {
	is := is.New(t)
	store := fake.New()
	_, err := store.Accept(t.Context(), objects.InForce{Config: meshconf.Config{Version: 12}})
	is.NoErr(err)
	head, _, err := bundlestore.ReadHead(t.Context(), store)
	is.NoErr(err)
	is.Equal(head.Acceptance.Version, model.Version(12))
	is.Equal(head.Acceptance.Bundle, bundle.ID(""))
}
