// Package bundletest provides test helpers: a generator of random bundles, a small valid
// bundle, and an object store that calls a hook before each call.
package bundletest

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/jsonc"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/objects"
)

// Bundle generates normalized bundles whose services and routes have unique names. The
// bundles are not necessarily valid: routes may refer to missing services.
func Bundle() *rapid.Generator[bundle.Bundle] {
	return rapid.Custom(func(t *rapid.T) bundle.Bundle {
		b := bundle.Bundle{
			Services: rapid.SliceOfNDistinct(service(), 0, 5, func(s bundle.Service) string { return s.Name }).Draw(t, "services"),
			Routes:   rapid.SliceOfNDistinct(route(), 0, 8, func(r bundle.Route) string { return r.Name }).Draw(t, "routes"),

			Organisations: rapid.SliceOfNDistinct(organisation(), 0, 3, func(o bundle.Organisation) string { return o.Name }).Draw(t, "organisations"),
		}
		b.Normalize()
		return b
	})
}

// ValidBundle returns a small valid bundle: one service of the given name, and one route to
// it.
func ValidBundle(service string) bundle.Bundle {
	b := bundle.Bundle{
		Services: []bundle.Service{{Name: service, Timeout: bundle.Duration(time.Second), HealthPath: "/healthz", MaxConnections: 9}},
		Routes:   []bundle.Route{{Name: service, Host: "desk.example", PathPrefix: "/", Service: service, Class: model.ClassBatch, Attempts: 1}},
	}
	jsonc.ApplyDefaults(&b.Limits)
	return b
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
			Name:           name().Draw(t, "name"),
			Timeout:        duration().Draw(t, "timeout"),
			HealthPath:     rapid.SampledFrom([]string{"/", "/health"}).Draw(t, "path"),
			MaxConnections: rapid.IntRange(0, 9).Draw(t, "connections"),
		}
	})
}

func part() *rapid.Generator[bundle.Part] {
	return rapid.Custom(func(t *rapid.T) bundle.Part {
		return bundle.Part{Service: name().Draw(t, "part"), Weight: rapid.IntRange(0, 9).Draw(t, "weight")}
	})
}

func route() *rapid.Generator[bundle.Route] {
	return rapid.Custom(func(t *rapid.T) bundle.Route {
		return bundle.Route{
			Name:       name().Draw(t, "name"),
			Host:       rapid.SampledFrom([]string{"a.example", "desk.example"}).Draw(t, "host"),
			PathPrefix: fmt.Sprintf("/%s/", name().Draw(t, "prefix")),
			Service:    name().Draw(t, "service"),
			Parts:      rapid.SliceOfNDistinct(part(), 0, 3, func(p bundle.Part) string { return p.Service }).Draw(t, "parts"),
			Class:      rapid.SampledFrom(model.Classes()).Draw(t, "class"),
			Timeout:    duration().Draw(t, "timeout"),
			Target:     duration().Draw(t, "target"),
			Attempts:   rapid.IntRange(1, 3).Draw(t, "attempts"),
			Public:     rapid.Bool().Draw(t, "public"),
		}
	})
}

func organisation() *rapid.Generator[bundle.Organisation] {
	return rapid.Custom(func(t *rapid.T) bundle.Organisation {
		return bundle.Organisation{
			Name:      name().Draw(t, "name"),
			KeyHashes: rapid.SliceOfN(rapid.StringMatching(`[0-9a-f]{64}`), 0, 3).Draw(t, "keyHashes"),
			Priority:  rapid.Ptr(rapid.IntRange(0, 3), true).Draw(t, "priority"),
			RatePerS:  rapid.IntRange(0, 9).Draw(t, "limitPerS"),
			Burst:     rapid.IntRange(0, 9).Draw(t, "burst"),
		}
	})
}

// InForceKey is the key that HookedStore passes to its hook for calls of InForce and
// Accept, which have no key of their own.
var InForceKey = objects.Key{Collection: "in force"}

// HookedStore is an object store that calls Before ahead of each call that reads or
// writes a single object. If Before returns an error, the call returns that error and
// does not reach the wrapped store.
type HookedStore struct {
	objects.Store
	Before func(key objects.Key) error
}

// PauseAfter returns a hook that lets the given number of calls pass, and calls pause
// once before the next one.
func PauseAfter(calls int, pause func()) func(objects.Key) error {
	return func(objects.Key) error {
		calls--
		if calls == -1 {
			pause()
		}
		return nil
	}
}

// Get calls the hook and reads one object.
func (s *HookedStore) Get(ctx context.Context, key objects.Key) (objects.Object, error) {
	if err := s.Before(key); err != nil {
		return objects.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

// Put calls the hook and writes one object.
func (s *HookedStore) Put(ctx context.Context, key objects.Key, value json.RawMessage, ifRevision objects.Revision) (objects.Revision, error) {
	if err := s.Before(key); err != nil {
		return "", err
	}
	return s.Store.Put(ctx, key, value, ifRevision)
}

// Delete calls the hook and removes one object.
func (s *HookedStore) Delete(ctx context.Context, key objects.Key, ifRevision objects.Revision) error {
	if err := s.Before(key); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, ifRevision)
}

// InForce calls the hook and reads the configuration in force.
func (s *HookedStore) InForce(ctx context.Context) (objects.InForce, error) {
	if err := s.Before(InForceKey); err != nil {
		return objects.InForce{}, err
	}
	return s.Store.InForce(ctx)
}

// Accept calls the hook and puts a configuration in force.
func (s *HookedStore) Accept(ctx context.Context, next objects.InForce) (objects.Revision, error) {
	if err := s.Before(InForceKey); err != nil {
		return "", err
	}
	return s.Store.Accept(ctx, next)
}
