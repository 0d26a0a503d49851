// Package upstream keeps the upstreams of this host: their announcements, their
// health and their graceful stop. It is looked up under the name "upstreams".
package upstream

import (
	"context"

	"github.com/tarragondrum/tarragondrum/pkg/model"
)

// Manager is what the proxy and the admin listener look up.
type Manager interface {
	// Announce adds or renews an upstream of this host.
	Announce(u model.Upstream) error
	// Drain stops an upstream gracefully: peers are told at once, new calls are
	// refused as not run, and it returns when no call is in flight or ctx ends.
	Drain(ctx context.Context, name string) error
	// List returns the upstreams of this host.
	List() []model.Upstream
}
