package calls

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bench/upstream"
	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/history"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/ledger"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/memory"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
	"github.com/tarragondrum/tarragondrum/pkg/proxy"
	"github.com/tarragondrum/tarragondrum/pkg/quarantine"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
	core "github.com/tarragondrum/tarragondrum/pkg/upstream"
)

const (
	// stopTimeout bounds the graceful stop of a node.
	stopTimeout = 10 * time.Second
	// closeTimeout bounds the end of each service after a run.
	closeTimeout = 50 * time.Millisecond
	// notice is the time between telling the peers of a stop and refusing calls.
	notice = 300 * time.Millisecond
	// restartPause is the time between the end of a host and its replacement.
	restartPause = 500 * time.Millisecond
	secret       = "secret of the bench"
)

// service describes one service of a scenario and its stand-ins.
type service struct {
	name        string
	instances   int
	slots       int
	connections int
	median      time.Duration
	spread      float64
	cold        time.Duration
	coldFactor  float64
}

// cluster runs the nodes of a scenario in this process: the real services of
// the path of calls, with a membership, mesh and platform in memory.
type cluster struct {
	seed    uint64
	bundle  bundle.Bundle
	members *members
	network *memory.Network
	store   *fake.Store
	history history.History
	look    order.Lookahead

	mu    sync.Mutex
	nodes []*node
}

// node is one host: a node process and its stand-in upstream.
type node struct {
	id       model.NodeID
	service  service
	standIn  *upstream.Server
	kernel   *kernel.Kernel
	source   *source
	manager  *core.Service
	inbound  *proxy.Inbound
	outbound *proxy.Outbound
	network  *memory.Transport
	// inboundAddr and outboundAddr change when the node is replaced.
	inboundAddr, outboundAddr atomic.Pointer[string]
	// incarnation grows with each start.
	incarnation uint64
}

// storeService is the platform as a service of the kernel.
type storeService struct{ platform.Store }

func (storeService) Name() string                                { return "platform" }
func (storeService) Needs() []string                             { return nil }
func (storeService) Start(context.Context, *kernel.Kernel) error { return nil }
func (storeService) Stop(context.Context) error                  { return nil }

// newCluster starts a host for each instance of the services, with a node
// process on each or the stand-in alone.
func newCluster(seed uint64, b bundle.Bundle, look order.Lookahead, withNodes bool, services ...service) (*cluster, error) {
	c := &cluster{
		seed:    seed,
		bundle:  b,
		members: newMembers(),
		network: memory.NewNetwork(),
		store:   fake.New(),
		look:    look,
	}
	for _, s := range services {
		for i := range s.instances {
			if err := c.add(s, i, withNodes); err != nil {
				c.close()
				return nil, err
			}
		}
	}
	return c, nil
}

func (c *cluster) add(s service, i int, withNode bool) error {
	standIn, err := upstream.Start(upstream.Options{
		Address:    "127.0.0.1:0",
		Slots:      s.slots,
		Queue:      s.connections,
		Median:     s.median,
		Spread:     s.spread,
		Cold:       s.cold,
		ColdFactor: s.coldFactor,
		Seed:       c.seed + uint64(i),
		History:    &c.history,
	})
	if err != nil {
		return err
	}
	n := &node{id: model.NodeID(fmt.Sprintf("%s-%d", s.name, i+1)), service: s, standIn: standIn}
	if withNode {
		if err := c.start(n); err != nil {
			standIn.Stop()
			return err
		}
	}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	return nil
}

// start assembles and starts the node process of a host.
func (c *cluster) start(n *node) error {
	n.incarnation++
	log, registry, holder := event.Discard(), metric.NewRegistry(), &snapshot.Holder{}
	compiled, err := snapshot.Compile(bundle.Acceptance{Version: 1}, c.bundle)
	if err != nil {
		return err
	}
	holder.Publish(compiled)
	peer := mesh.Peer{ID: n.id, Addr: string(n.id)}
	n.network = c.network.Transport(peer)
	s := nodeSettings(n.id)
	n.source = &source{members: c.members, own: membership.Member{Status: membership.StatusAlive, Record: membership.Record{
		ID: n.id, DataCentre: "dc1", Region: "r1", MeshAddr: peer.Addr, Incarnation: n.incarnation,
	}}}
	orders := ledger.New(ledger.Options{
		Transport: n.network, Registry: registry, Log: log, Lookahead: c.look,
		TakesOrders: func(name string) bool { return takesOrders(c.bundle, name) },
	})
	guard := quarantine.New(registry, log)
	n.manager = core.New(s, holder, log, registry)
	n.inbound, n.outbound = proxy.New(proxy.Options{
		Settings: s, Holder: holder, Log: log, Registry: registry, Secret: []byte(secret),
		Needs: []string{ledger.Name, quarantine.Name},
	})
	n.kernel = kernel.New()
	if err := n.kernel.Register(storeService{c.store}, n.source, orders, guard, n.manager, n.inbound, n.outbound); err != nil {
		return err
	}
	if err := n.kernel.Start(context.Background(), stopTimeout); err != nil {
		return err
	}
	in, out := n.inbound.Address(), n.outbound.Address()
	n.inboundAddr.Store(&in)
	n.outboundAddr.Store(&out)
	n.source.change(func(m *membership.Member) { m.InboundAddr = in })
	return n.announce()
}

func nodeSettings(id model.NodeID) settings.Settings {
	var s settings.Settings
	s.Node = settings.Node{ID: id, DataCentre: "dc1", Region: "r1"}
	s.Inbound.Address = "127.0.0.1:0"
	s.Outbound.Address = "127.0.0.1:0"
	s.Drain = settings.Drain{Timeout: bundle.Duration(stopTimeout), Notice: bundle.Duration(notice)}
	return s
}

func takesOrders(b bundle.Bundle, service string) bool {
	for _, r := range b.Routes {
		if r.Service == service && r.Class == model.ClassOrder {
			return true
		}
	}
	return false
}

// announce tells the node of its stand-in.
func (n *node) announce() error {
	if n.kernel == nil {
		return nil
	}
	return n.manager.Announce(model.Upstream{
		Name: "upstream", Service: n.service.name, Address: n.standIn.Addr(),
		Slots: n.service.slots, Connections: n.service.connections, Since: n.standIn.Started(),
	})
}

// stop ends the node process gracefully.
func (n *node) stop(c *cluster) error {
	err := n.kernel.Stop(stopTimeout)
	n.network.Stop()
	n.source.ownMu.Lock()
	member := n.source.own
	n.source.ownMu.Unlock()
	member.Status = membership.StatusLeft
	member.Revision++
	c.members.set(member)
	return err
}

// replace stops the host gracefully and starts another in its place.
func (c *cluster) replace(n *node) error {
	if err := n.stop(c); err != nil {
		return fmt.Errorf("stop %q: %w", n.id, err)
	}
	n.standIn.Crash()
	time.Sleep(restartPause)
	if err := n.standIn.Restart(); err != nil {
		return err
	}
	return c.start(n)
}

// of returns the hosts of a service, or all.
func (c *cluster) of(service string) []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*node
	for _, n := range c.nodes {
		if service == "" || n.service.name == service {
			list = append(list, n)
		}
	}
	return list
}

func (c *cluster) close() {
	var wg sync.WaitGroup
	for _, n := range c.of("") {
		wg.Go(func() {
			n.standIn.SetStalled(false)
			if n.kernel != nil {
				_ = n.kernel.Stop(closeTimeout)
			}
			n.standIn.Stop()
		})
	}
	wg.Wait()
}

// awaitOwners waits until the platform holds the owners of a service's orders.
func (c *cluster) awaitOwners(ctx context.Context, service string) error {
	for {
		_, err := c.store.Get(ctx, platform.Key{Collection: platform.CollectionOwners, Name: service})
		if err == nil || !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("owners of %q: %w", service, ctx.Err())
		case <-time.After(pollPause):
		}
	}
}

// pollPause is the time between two looks at a condition.
const pollPause = 20 * time.Millisecond
