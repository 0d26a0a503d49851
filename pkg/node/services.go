package node

import (
	"context"
	"fmt"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/budget"
	"github.com/tarragondrum/tarragondrum/pkg/platform/rest"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
)

// platformName is the name under which services look up the object API.
const platformName = "platform"

// platformService is the object API as a service of the kernel.
type platformService struct {
	platform.Store
	close func()
}

// Name implements kernel.Service.
func (*platformService) Name() string { return platformName }

// Needs implements kernel.Service.
func (*platformService) Needs() []string { return nil }

// Start implements kernel.Service. It makes no call: a node starts while the
// platform is down.
func (*platformService) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (p *platformService) Stop(context.Context) error {
	p.close()
	return nil
}

// newPlatform returns the object API that the settings name, within this
// process's budget of calls.
func newPlatform(s settings.Platform, registry *metric.Registry, log *event.Log) (*platformService, error) {
	client, err := rest.New(rest.Config{
		URL:       s.URL,
		Mesh:      s.Mesh,
		TokenFile: s.TokenFile,
		CAFile:    s.CAFile,
		Timeout:   s.Timeout.Std(),
	})
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	store := budget.New(client, budget.Options{}, registry, log)
	return &platformService{Store: store, close: client.Close}, nil
}
