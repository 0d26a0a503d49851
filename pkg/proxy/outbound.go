package proxy

import (
	"context"
	"fmt"
	"net"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
	"github.com/tarragondrum/tarragondrum/pkg/upstream"
)

// Outbound takes the calls that the upstreams of this host make to other services.
type Outbound struct {
	shared   *shared
	listener *listener
}

// Name returns OutboundName.
func (o *Outbound) Name() string { return OutboundName }

// Needs names the services that calls depend on.
func (o *Outbound) Needs() []string {
	return append([]string{upstream.ServiceName, "membership"}, o.shared.options.Needs...)
}

// Start opens the listener.
func (o *Outbound) Start(_ context.Context, k *kernel.Kernel) error {
	if err := o.shared.start(k); err != nil {
		return err
	}
	s := o.shared.options.Settings
	if s.Outbound.Address == "" {
		return nil
	}
	if err := checkLoopback(s.Outbound.Address); err != nil {
		o.shared.stop()
		return err
	}
	l, err := listen(OutboundName, s.Outbound.Address, s.Inbound.HeaderTimeout.Std(), o.shared.options.Log, o.handle)
	if err != nil {
		o.shared.stop()
		return err
	}
	o.listener = l
	return nil
}

// Address returns the address of the running listener; empty without one.
func (o *Outbound) Address() string {
	if o.listener == nil {
		return ""
	}
	return o.listener.address()
}

// Stop waits for the calls in flight and closes the listener. The inbound
// listener, whose calls may still call out, has been closed before.
func (o *Outbound) Stop(ctx context.Context) error {
	defer o.shared.stop()
	if o.listener == nil {
		return nil
	}
	return o.listener.stop(ctx)
}

// checkLoopback returns ErrNotLoopback unless only this host can reach address.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("proxy: outbound address %q: %w", address, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("proxy: outbound address %q: %w", address, ErrNotLoopback)
	}
	return nil
}

func (o *Outbound) handle(ctx context.Context, rc *app.RequestContext) {
	o.shared.first(ctx, rc, matchOutbound, true)
}

func matchOutbound(s *snapshot.Snapshot, method, host, path string) (*bundle.Route, bool) {
	return s.MatchOutbound(method, host, path)
}
