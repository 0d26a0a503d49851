// Package bundletest helps tests with bundles: a generator of bundles and a
// store with a hook before each call.
package bundletest

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// Bundle generates normalized bundles of unique names; they need not be valid.
func Bundle() *rapid.Generator[bundle.Bundle] {
	return rapid.Custom(func(t *rapid.T) bundle.Bundle {
		b := bundle.Bundle{
			Services: rapid.SliceOfNDistinct(service(), 0, 5, func(s bundle.Service) string { return s.Name }).Draw(t, "services"),
			Routes:   rapid.SliceOfNDistinct(route(), 0, 8, func(r bundle.Route) string { return r.Name }).Draw(t, "routes"),
		}
		b.Normalize()
		return b
	})
}

// Valid returns a small bundle that passes every check: one service of the given
// name and a route to it.
func Valid(service string) bundle.Bundle {
	timeout := bundle.Duration(time.Second)
	return bundle.Bundle{
		Services: []bundle.Service{{Name: service, Timeout: timeout}},
		Routes:   []bundle.Route{{Name: service, PathPrefix: "/", Service: service, Class: model.ClassBatch, Attempts: 1}},
	}
}

func name() *rapid.Generator[string] { return rapid.StringMatching(`[a-d]{1,3}`) }

func duration() *rapid.Generator[bundle.Duration] {
	return rapid.Map(rapid.IntRange(0, 10_000), func(ms int) bundle.Duration {
		return bundle.Duration(time.Duration(ms) * time.Millisecond)
	})
}

func service() *rapid.Generator[bundle.Service] {
	return rapid.Custom(func(t *rapid.T) bundle.Service {
		return bundle.Service{
			Name:               name().Draw(t, "name"),
			Timeout:            duration().Draw(t, "timeout"),
			RetryBudgetPercent: rapid.IntRange(0, 100).Draw(t, "budget"),
			Queue:              bundle.QueueLimits{Batch: rapid.IntRange(0, 9).Draw(t, "batch")},
			Probe:              bundle.Probe{Path: rapid.SampledFrom([]string{"", "/health"}).Draw(t, "path")},
		}
	})
}

func route() *rapid.Generator[bundle.Route] {
	return rapid.Custom(func(t *rapid.T) bundle.Route {
		return bundle.Route{
			Name:       name().Draw(t, "name"),
			Host:       rapid.SampledFrom([]string{"", "desk.example"}).Draw(t, "host"),
			PathPrefix: fmt.Sprintf("/%s", name().Draw(t, "prefix")),
			Methods:    rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"GET", "POST", "PUT"}), 0, 3, rapid.ID[string]).Draw(t, "methods"),
			Service:    name().Draw(t, "service"),
			Class:      rapid.SampledFrom(model.Classes()).Draw(t, "class"),
			Timeout:    duration().Draw(t, "timeout"),
			Attempts:   rapid.IntRange(1, 3).Draw(t, "attempts"),
			Internal:   rapid.Bool().Draw(t, "internal"),
		}
	})
}

// HookedStore calls Before in front of every read and write of single objects;
// an error from it is the answer to the call.
type HookedStore struct {
	platform.Store
	Before func(key platform.Key) error
}

// PauseAfter returns a hook that calls pause once, after the given number of
// calls.
func PauseAfter(calls int, pause func()) func(platform.Key) error {
	return func(platform.Key) error {
		calls--
		if calls == -1 {
			pause()
		}
		return nil
	}
}

// Get reads one object.
func (s *HookedStore) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if err := s.Before(key); err != nil {
		return platform.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

// Put writes one object.
func (s *HookedStore) Put(ctx context.Context, key platform.Key, value json.RawMessage, ifRevision platform.Revision) (platform.Revision, error) {
	if err := s.Before(key); err != nil {
		return "", err
	}
	return s.Store.Put(ctx, key, value, ifRevision)
}

// Delete removes one object.
func (s *HookedStore) Delete(ctx context.Context, key platform.Key, ifRevision platform.Revision) error {
	if err := s.Before(key); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, ifRevision)
}
