// Package node assembles the process that runs on every upstream host: it
// registers all services with a kernel and starts and stops them as one.
package node

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/admin"
	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/distributor"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/gossip"
	"github.com/tarragondrum/tarragondrum/pkg/handover"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/ledger"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/wire"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/proxy"
	"github.com/tarragondrum/tarragondrum/pkg/quarantine"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
	"github.com/tarragondrum/tarragondrum/pkg/upstream"
)

const (
	// handoverTimeout bounds the question to the platform in a handover report.
	handoverTimeout = 2 * time.Second
	// stopMargin is added to the drain timeout for the rest of a graceful stop.
	stopMargin = 10 * time.Second
)

// ErrSettings is returned when the settings cannot be used.
var ErrSettings = errors.New("node: unusable settings")

// Options say what a node is made of.
type Options struct {
	Settings settings.Settings
	// SettingsFile is where the settings came from. The operators' keys are read
	// again when it changes; empty means never.
	SettingsFile string
	LogWriter    io.Writer
}

// Node is one process of the mesh.
type Node struct {
	settings settings.Settings
	kernel   *kernel.Kernel
	log      *event.Log
	registry *metric.Registry
	holder   *snapshot.Holder

	membership *gossip.Service
	rollout    *distributor.Service
	upstreams  *upstream.Service
	inbound    *proxy.Inbound
	outbound   *proxy.Outbound
	admin      *admin.Service

	// open is set while the listeners for calls are open.
	open atomic.Bool
}

// New assembles a node. Nothing is opened before Start.
func New(o Options) (*Node, error) {
	n := &Node{
		settings: o.Settings,
		kernel:   kernel.New(),
		log:      event.New(o.LogWriter, event.Level(o.Settings.Log.Level), string(o.Settings.Node.ID)),
		registry: metric.NewRegistry(),
		holder:   &snapshot.Holder{},
	}
	keyring, err := o.Settings.Keyring()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	store, err := newPlatform(o.Settings.Platform, n.registry, n.log)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	transport, err := wire.New(wire.Options{
		Settings: o.Settings.Mesh,
		Self:     o.Settings.Node.ID,
		Log:      n.log,
		Registry: n.registry,
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	if err := n.register(store, transport, keyring); err != nil {
		return nil, err
	}
	if o.SettingsFile != "" {
		return n, n.kernel.Register(newOperators(o.SettingsFile, o.Settings, keyring, n.log))
	}
	return n, nil
}

func (n *Node) register(store *platformService, transport *wire.Transport, keyring *bundle.Keyring) error {
	var err error
	if n.membership, err = n.newMembership(store, transport); err != nil {
		return fmt.Errorf("%w: %w", ErrSettings, err)
	}
	n.rollout = distributor.New(distributor.Options{
		DataCentre: n.settings.Node.DataCentre,
		Transport:  transport,
		Platform:   store,
		Keyring:    keyring,
		Holder:     n.holder,
		Log:        n.log,
		Metrics:    n.registry,
		Rand:       rand.New(rand.NewPCG(seed(n.settings.Node.ID), uint64(time.Now().UnixNano()))),
	})
	n.membership.SetHooks(n.rollout.Applied, n.rollout.Offer)
	n.upstreams = upstream.New(n.settings, n.holder, n.log, n.registry)
	orders := ledger.New(ledger.Options{
		Transport:   transport,
		Registry:    n.registry,
		Log:         n.log,
		TakesOrders: n.takesOrders,
		Lookahead:   order.DefaultLookahead(),
		Limits:      order.DefaultLimits(),
	})
	guard := quarantine.New(n.registry, n.log)
	ready := &gate{name: "rollout.ready", needs: []string{distributor.ServiceName}, ready: n.rollout.Ready()}
	n.inbound, n.outbound = proxy.New(proxy.Options{
		Settings: n.settings,
		Holder:   n.holder,
		Log:      n.log,
		Registry: n.registry,
		Needs:    []string{ready.Name(), orders.Name(), guard.Name()},
	})
	n.admin = admin.New(admin.Options{
		Settings:     n.settings.Admin,
		Log:          n.log,
		Registry:     n.registry,
		Collector:    n.newCollector(store, keyring, guard),
		Rollout:      n.rollout,
		Members:      n.membership,
		Upstreams:    n.upstreams,
		Quarantine:   operatorQuarantine{guard},
		Ready:        n.ready,
		DrainTimeout: n.settings.Drain.Timeout.Std(),
	}, n.rollout.Name(), n.upstreams.Name(), guard.Name())
	return n.kernel.Register(store, transport, n.membership, n.rollout, n.upstreams,
		orders, guard, ready, n.inbound, n.outbound, n.admin)
}

func (n *Node) newMembership(store platform.Store, transport mesh.Transport) (*gossip.Service, error) {
	s := n.settings
	return gossip.New(gossip.Options{
		Self: membership.Record{
			ID:          s.Node.ID,
			DataCentre:  s.Node.DataCentre,
			Region:      s.Node.Region,
			MeshAddr:    s.Mesh.Address,
			InboundAddr: s.Inbound.Address,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Transport:     transport,
		Log:           n.log,
		Registry:      n.registry,
		Platform:      store,
		Contacts:      s.Mesh.Contacts,
		Seed:          seed(s.Node.ID),
		ProbeInterval: s.Mesh.ProbeInterval.Std(),
	})
}

func (n *Node) newCollector(store platform.Store, keyring *bundle.Keyring, guard *quarantine.Service) *handover.Collector {
	return handover.NewCollector(handover.Sources{
		Node:            n.settings.Node.ID,
		DataCentre:      n.settings.Node.DataCentre,
		Rollout:         n.rollout,
		Members:         n.membership,
		Quarantine:      operatorQuarantine{guard}.Quarantined,
		Platform:        platformReader(store, keyring),
		Progress:        n.rollout.Progress,
		PlatformTimeout: handoverTimeout,
	})
}

// Start opens the listeners after the node has learned the newest version that
// it could reach.
func (n *Node) Start(ctx context.Context) error {
	if err := n.kernel.Start(ctx, n.stopTimeout()); err != nil {
		return err
	}
	n.open.Store(true)
	n.log.Emit(event.ProcessStarted,
		event.F("dataCentre", n.settings.Node.DataCentre),
		event.F("inbound", n.settings.Inbound.Address),
		event.F("version", n.rollout.Applied()))
	return nil
}

// Stop ends the node gracefully: it cuts off no call that ends within the
// drain timeout.
func (n *Node) Stop() error {
	n.open.Store(false)
	n.log.Emit(event.ProcessStopping)
	err := n.kernel.Stop(n.stopTimeout())
	if err != nil {
		n.log.Emit(event.ServiceStopFail, event.F("error", err))
	}
	n.log.Emit(event.ProcessStopped)
	return err
}

// Members returns the node's view of the membership.
func (n *Node) Members() membership.Source { return n.membership }

// Applied returns the version in force on the node.
func (n *Node) Applied() model.Version { return n.rollout.Applied() }

func (n *Node) stopTimeout() time.Duration {
	return n.settings.Drain.Timeout.Std() + stopMargin
}

// ready reports whether the node takes calls: its listeners are open and a
// bundle is in force.
func (n *Node) ready() bool { return n.open.Load() && n.holder.Current() != nil }

// takesOrders reports whether the bundle in force has an order route to service.
func (n *Node) takesOrders(service string) bool {
	s := n.holder.Current()
	if s == nil {
		return false
	}
	for _, r := range s.Bundle.Routes {
		if r.Service == service && r.Class == model.ClassOrder {
			return true
		}
	}
	return false
}

// seed derives the start of a node's random choices from its id.
func seed(id model.NodeID) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:])
}
