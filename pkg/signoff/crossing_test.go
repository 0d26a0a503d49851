package signoff_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tarragondrum/tarragondrum/pkg/bundle/bundletest"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
	"github.com/tarragondrum/tarragondrum/pkg/objects/fake"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
)

// withRandomDelays returns a store that waits a random time before each call, so that the
// calls of concurrent operators interleave differently for each seed.
func withRandomDelays(store objects.Store, random *rand.Rand) objects.Store {
	return &bundletest.HookedStore{Store: store, Before: func(objects.Key) error {
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		return nil
	}}
}

// Operators prepare, remove and sign off the same bundle concurrently. In every order of
// their calls, a bundle that is in force must still be readable, and the number of
// sign-offs that report success must equal the number of accepted versions. The test
// guards against a removal that deletes a bundle while it is being signed off.
func TestConcurrentOperationsKeepBundleInForceReadable(t *testing.T) {
	accepted := 0
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := fake.New()
			b := bundletest.ValidBundle("one")
			id := prepare(t, store, "one")
			var wins int
			var mu sync.Mutex
			signOff := func(via objects.Store, operator string) {
				if _, err := signoff.Accept(t.Context(), via, request(id, 0, operator)); err == nil {
					mu.Lock()
					defer mu.Unlock()
					wins++
				}
			}
			operations := []func(objects.Store){
				func(via objects.Store) { _, _ = bundlestore.Save(t.Context(), via, &b, bundlestore.Meta{}) },
				func(via objects.Store) { _ = bundlestore.Remove(t.Context(), via, id) },
				func(via objects.Store) { _ = bundlestore.Remove(t.Context(), via, id) },
				func(via objects.Store) { signOff(via, "ioana") },
				func(via objects.Store) {
					_, _ = bundlestore.Save(t.Context(), via, &b, bundlestore.Meta{})
					signOff(via, "mihai")
				},
			}
			var wg sync.WaitGroup
			for i, operation := range operations {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				wg.Go(func() {
					operation(withRandomDelays(store, random))
				})
			}
			wg.Wait()
			h := head(t, store)
			is.Equal(wins, len(h.All()))
			if wins > 0 {
				accepted++
				_, err := bundlestore.Load(t.Context(), store, id)
				is.NoErr(err)
			}
		})
	}
	is.New(t).True(accepted > 0) // at least one seed has a successful sign-off
	t.Logf("%d of 400 seeds ended with the bundle in force", accepted)
}
