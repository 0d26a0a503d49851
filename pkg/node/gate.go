package node

import (
	"context"

	"github.com/tarragondrum/tarragondrum/pkg/kernel"
)

// gate is a service whose start waits until something is ready, so that
// services that need it start later.
type gate struct {
	name  string
	needs []string
	ready <-chan struct{}
}

// Name implements kernel.Service.
func (g *gate) Name() string { return g.name }

// Needs implements kernel.Service.
func (g *gate) Needs() []string { return g.needs }

// Start implements kernel.Service. What it waits for is bounded by its owner.
func (g *gate) Start(ctx context.Context, _ *kernel.Kernel) error {
	select {
	case <-g.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop implements kernel.Service.
func (g *gate) Stop(context.Context) error { return nil }
