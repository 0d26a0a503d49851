// Package proxy carries calls: from callers to the node of the chosen upstream
// and from there to the upstream. It holds the two services "proxy.inbound" and
// "proxy.outbound"; the decisions are in packages routing, outlier, admission,
// retry and deadline.
//
// A call passes at most two nodes. The first one matches the route, chooses the
// upstream and retries; the node of the upstream admits the call. A call that
// came from a node is never sent on to another.
package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
	"github.com/tarragondrum/tarragondrum/pkg/upstream"
)

// The names under which the services are looked up.
const (
	InboundName  = "proxy.inbound"
	OutboundName = "proxy.outbound"
)

// Inbound takes calls from callers outside the mesh and from other nodes.
type Inbound struct {
	shared   *shared
	listener *listener
}

// Name returns InboundName.
func (i *Inbound) Name() string { return InboundName }

// Needs names the services that calls depend on.
func (i *Inbound) Needs() []string {
	return append([]string{OutboundName, upstream.ServiceName, "membership"}, i.shared.options.Needs...)
}

// Start opens the listener.
func (i *Inbound) Start(_ context.Context, _ *kernel.Kernel) error {
	s := i.shared.options.Settings.Inbound
	l, err := listen(InboundName, s.Address, s.HeaderTimeout.Std(), i.shared.options.Log, i.handle)
	if err != nil {
		return err
	}
	i.listener = l
	return nil
}

// Address returns the address of the running listener.
func (i *Inbound) Address() string { return i.listener.address() }

// Stop ends the node's part in calls gracefully: it tells the peers, drains the
// upstreams of this host, waits for the calls in flight and closes the listener.
func (i *Inbound) Stop(ctx context.Context) error {
	i.shared.members.SetStopping()
	i.listener.closeNew()
	noticed := time.After(upstream.Notice(i.shared.options.Settings.Drain))
	drainErr := i.shared.upstreams.DrainAll(ctx)
	select {
	case <-noticed:
	case <-ctx.Done():
	}
	i.shared.stopping.Store(true)
	return errors.Join(drainErr, i.listener.stop(ctx))
}

func (i *Inbound) handle(ctx context.Context, rc *app.RequestContext) {
	hop, fromNode, err := i.shared.hopOf(rc)
	switch {
	case err != nil:
		a := refuse(reason.BadRequest)
		a.detail = err.Error()
		i.shared.refuse(rc, "", a)
	case fromNode:
		i.shared.last(ctx, rc, hop)
	default:
		i.shared.first(ctx, rc, matchInbound, false)
	}
}

func matchInbound(s *snapshot.Snapshot, method, host, path string) (*bundle.Route, bool) {
	return s.Match(method, host, path)
}
