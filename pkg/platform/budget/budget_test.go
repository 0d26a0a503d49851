package budget_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/budget"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
)

var (
	key   = platform.Key{Collection: platform.CollectionContacts, Name: "a"}
	value = json.RawMessage(`{}`)
)

type fixture struct {
	store    *budget.Store
	fake     *fake.Store
	registry *metric.Registry
	log      *event.Log
}

func newFixture(o budget.Options) *fixture {
	b := &fixture{fake: fake.New(), registry: prometheus.NewRegistry(), log: event.Discard()}
	if o.Random == nil {
		o.Random = func() float64 { return 0.5 }
	}
	b.store = budget.New(b.fake, o, b.registry, b.log)
	return b
}

// counter adds up the series of a counter.
func (b *fixture) counter(t *testing.T, name string) float64 {
	t.Helper()
	families, err := b.registry.Gather()
	is.New(t).NoErr(err)
	var sum float64
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return sum
}

func TestCallsPassThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(budget.Options{})
		revision, err := b.store.Put(t.Context(), key, value, "")
		is.NoErr(err)
		w, err := b.store.Watch(t.Context(), key.Collection, "0")
		is.NoErr(err)
		_, err = w.Next(t.Context())
		is.NoErr(err)
		objects, _, err := b.store.List(t.Context(), key.Collection)
		is.NoErr(err)
		is.Equal(len(objects), 1)
		is.NoErr(b.store.Delete(t.Context(), key, revision))
		_, err = b.store.Get(t.Context(), key)
		is.True(errors.Is(err, platform.ErrNotFound))
		is.Equal(b.counter(t, "tarragondrum_platform_calls_total"), 5.0)
	})
}

// A storm of calls, as after a return of the platform, leaves this process at
// its rate; calls that would wait too long are refused with a reason.
func TestStormIsHeldToTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(budget.Options{Rate: 10})
		results := make(chan error, 100)
		for range 100 {
			go func() {
				_, _, err := b.store.List(t.Context(), key.Collection)
				results <- err
			}()
		}
		passed := 0
		for range 100 {
			err := <-results
			if err == nil {
				passed++
				continue
			}
			is.True(errors.Is(err, platform.ErrRateLimited))
		}
		is.Equal(passed, 30) // the burst of 20 and what comes within a second's wait
		is.Equal(b.fake.Calls().List, uint64(30))
		is.Equal(b.counter(t, "tarragondrum_platform_refusals_total"), 70.0)
		_, err := b.store.Get(t.Context(), platform.Key{Collection: platform.CollectionHeads, Name: "head"})
		is.True(errors.Is(err, platform.ErrNotFound)) // another class is not held up
	})
}

func TestDownPlatformFailsFastAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(budget.Options{})
		b.fake.SetDown(true)
		for range 50 {
			_, err := b.store.Get(t.Context(), key)
			is.True(errors.Is(err, platform.ErrUnavailable))
		}
		is.True(!b.store.Up())
		is.True(b.fake.Calls().Get <= 10) // most of the 50 did not reach the platform
		is.Equal(b.log.Count(event.PlatformDown), uint64(1))
		before := time.Now()
		_, err := b.store.Get(t.Context(), key)
		is.True(errors.Is(err, platform.ErrUnavailable))
		is.True(time.Since(before) < time.Second)

		b.fake.SetDown(false)
		time.Sleep(10 * time.Second)
		_, err = b.store.Get(t.Context(), key)
		is.True(errors.Is(err, platform.ErrNotFound))
		is.True(b.store.Up())
		is.Equal(b.log.Count(event.PlatformUp), uint64(1))
	})
}

func TestRetriesStayWithinTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(budget.Options{Rate: 1000, Failures: 1 << 30})
		b.fake.SetDown(true)
		const calls = 200
		for range calls {
			_, err := b.store.Get(t.Context(), key)
			is.True(errors.Is(err, platform.ErrUnavailable))
		}
		retries := b.counter(t, "tarragondrum_platform_retries_total")
		is.Equal(uint64(retries), b.fake.Calls().Get-calls)
		is.True(retries <= 0.1*calls+10)
	})
}

func TestLostAnswerIsNeverRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(budget.Options{})
		b.fake.LoseAnswers(1)
		_, err := b.store.Put(t.Context(), key, value, "")
		is.True(errors.Is(err, platform.ErrUnknownOutcome))
		is.Equal(b.fake.Calls().Put, uint64(1))
	})
}

func TestCallerThatGivesUpDoesNotOpenTheCircuit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(budget.Options{Failures: 1})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := b.store.Get(ctx, key)
		is.True(errors.Is(err, context.Canceled))
		is.True(b.store.Up())
	})
}
