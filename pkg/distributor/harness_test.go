package distributor

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/fault"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/memory"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
)

const (
	operator = "ioana"
	keyID    = "ioana-1"
)

var (
	privateKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))
	keyring    = bundle.NewKeyring(bundle.TrustedKey{ID: keyID, Operator: operator, Public: privateKey.Public().(ed25519.PublicKey)})
)

// directory is a membership source that the test sets by hand.
type directory struct {
	mu      sync.Mutex
	index   uint64
	members map[model.NodeID]membership.Member
	changed chan struct{}
}

func newDirectory() *directory {
	return &directory{members: make(map[model.NodeID]membership.Member), changed: make(chan struct{})}
}

func (d *directory) set(id model.NodeID, dc model.DataCentre, status membership.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.members[id] = membership.Member{Record: membership.Record{ID: id, DataCentre: dc, MeshAddr: string(id)}, Status: status}
	close(d.changed)
	d.changed = make(chan struct{})
}

// seat is the directory as one node's kernel service "membership".
type seat struct {
	*directory
	self model.NodeID
}

func (seat) Name() string                                { return "membership" }
func (seat) Needs() []string                             { return nil }
func (seat) Start(context.Context, *kernel.Kernel) error { return nil }
func (seat) Stop(context.Context) error                  { return nil }
func (seat) SetUpstreams([]model.Upstream)               {}
func (seat) SetSuspects([]membership.Suspect)            {}
func (seat) SetStopping()                                {}

func (s seat) View() *membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &membership.View{Index: s.index, Self: s.self, Members: make(map[model.NodeID]membership.Member)}
	for id, m := range s.members {
		v.Members[id] = m
	}
	return v
}

func (s seat) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// node is one running node.
type node struct {
	id        model.NodeID
	dc        model.DataCentre
	service   *Service
	holder    *snapshot.Holder
	transport *memory.Transport
	store     *gate
	log       *event.Log
	kernel    *kernel.Kernel
}

// cluster is a set of nodes over in-memory transports and one platform.
type cluster struct {
	t       *testing.T
	network *memory.Network
	faults  *fault.Faults
	members *directory
	store   *fake.Store
	tuning  Tuning
	nodes   map[model.NodeID]*node
	old     []*node
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t:       t,
		network: memory.NewNetwork(),
		faults:  fault.New(1),
		members: newDirectory(),
		store:   fake.New(),
		nodes:   make(map[model.NodeID]*node),
	}
	c.faults.SetLinks(fault.Link{Delay: time.Millisecond}, fault.Link{Delay: 8 * time.Millisecond})
	t.Cleanup(c.stop)
	return c
}

// start adds n nodes in each data centre and waits until they are settled.
func (c *cluster) start(n int, dcs ...model.DataCentre) {
	for _, dc := range dcs {
		for i := range n {
			c.members.set(model.NodeID(fmt.Sprintf("%s-%02d", dc, i)), dc, membership.StatusAlive)
		}
	}
	for _, dc := range dcs {
		for i := range n {
			c.launch(model.NodeID(fmt.Sprintf("%s-%02d", dc, i)), dc)
		}
	}
	time.Sleep(10 * time.Second)
}

// launch starts one node process, or starts it again.
func (c *cluster) launch(id model.NodeID, dc model.DataCentre) *node {
	c.t.Helper()
	n := &node{
		id:        id,
		dc:        dc,
		holder:    &snapshot.Holder{},
		transport: c.network.Transport(mesh.Peer{ID: id, Addr: string(id)}),
		store:     &gate{Store: c.store},
		log:       event.Discard(),
		kernel:    kernel.New(),
	}
	n.service = New(Options{
		DataCentre: dc,
		Transport:  c.faults.Wrap(n.transport, dc),
		Platform:   n.store,
		Keyring:    keyring,
		Holder:     n.holder,
		Log:        n.log,
		Rand:       rand.New(rand.NewPCG(1, uint64(len(c.nodes)+len(c.old)))),
		Tuning:     c.tuning,
	})
	c.check(n.kernel.Register(seat{c.members, id}, n.service))
	c.check(n.kernel.Start(c.t.Context(), time.Second))
	c.nodes[id] = n
	return n
}

// kill ends a node without notice.
func (c *cluster) kill(id model.NodeID) {
	n := c.nodes[id]
	n.transport.Stop()
	c.check(n.kernel.Stop(10 * time.Second))
	delete(c.nodes, id)
	c.old = append(c.old, n)
}

// stop ends every node and checks the invariants that each one counted.
func (c *cluster) stop() {
	for id := range c.nodes {
		c.kill(id)
	}
	for _, n := range c.old {
		for _, e := range event.RolloutInvariants() {
			if count := n.log.Count(e); count != 0 {
				c.t.Errorf("%s violated %s %d times", n.id, e.Name, count)
			}
		}
	}
}

func (c *cluster) check(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// content returns a small bundle whose route timeout tells versions apart.
func content(v int) bundle.Bundle {
	b := bundle.Bundle{
		Services: []bundle.Service{{Name: "order-desk", Timeout: bundle.Duration(time.Second)}},
		Routes: []bundle.Route{{
			Name: "orders", PathPrefix: "/orders", Methods: []string{"POST"}, Service: "order-desk",
			Class: model.ClassOrder, Timeout: bundle.Duration(time.Duration(v) * time.Millisecond), Attempts: 1,
		}},
	}
	b.Normalize()
	return b
}

// signOff prepares and accepts content(v) as the next version.
func (c *cluster) signOff(v model.Version) bundle.Acceptance {
	c.t.Helper()
	return c.signOffBundle(v, content(int(v)))
}

func (c *cluster) signOffBundle(v model.Version, b bundle.Bundle) bundle.Acceptance {
	c.t.Helper()
	id, err := bundlestore.Save(c.t.Context(), c.store, &b, bundlestore.Meta{Preparer: "mihai", Time: time.Now()})
	c.check(err)
	acc, err := signoff.Accept(c.t.Context(), c.store, signoff.Request{
		Bundle: id, Expect: v - 1, Acceptor: operator, KeyID: keyID, Key: privateKey,
		Reason: "change", Operation: fmt.Sprintf("op-%d", v), Time: time.Now(),
	})
	c.check(err)
	return acc
}

// force puts a bundle in force that the sign-off would refuse.
func (c *cluster) force(v model.Version, b bundle.Bundle) {
	c.t.Helper()
	ctx := c.t.Context()
	id, err := bundlestore.Save(ctx, c.store, &b, bundlestore.Meta{Preparer: "mihai", Time: time.Now()})
	c.check(err)
	head, revision, err := bundlestore.ReadHead(ctx, c.store)
	c.check(err)
	acc := bundle.Acceptance{Version: v, Bundle: id, Parent: head.Acceptance.Bundle, Acceptor: operator, Time: time.Now().Truncate(time.Second), Operation: "forced"}
	c.check(acc.Sign(keyID, privateKey))
	c.putHead(head.Next(acc), revision)
}

// forceHead writes an acceptance as it is.
func (c *cluster) forceHead(acc bundle.Acceptance) {
	c.t.Helper()
	head, revision, err := bundlestore.ReadHead(c.t.Context(), c.store)
	c.check(err)
	c.putHead(head.Next(acc), revision)
}

func (c *cluster) putHead(head bundlestore.Head, revision platform.Revision) {
	c.t.Helper()
	value, err := json.Marshal(head)
	c.check(err)
	_, err = c.store.Put(c.t.Context(), bundlestore.HeadKey(), value, revision)
	c.check(err)
}

// converge waits until every node has version v and fails after limit.
func (c *cluster) converge(v model.Version, limit time.Duration) time.Duration {
	c.t.Helper()
	begin := time.Now()
	for time.Since(begin) < limit {
		if len(c.behind(v)) == 0 {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("after %s version %d is missing on %v", limit, v, c.behind(v))
	return 0
}

// behind returns the nodes without version v.
func (c *cluster) behind(v model.Version) []model.NodeID {
	var ids []model.NodeID
	for id, n := range c.nodes {
		if n.service.Applied() < v {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// gossip lets each node hear the version of every other node that it reaches
// once, as heartbeats do.
func (c *cluster) gossip(reach func(a, b *node) bool) {
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if a != b && reach(a, b) {
				a.service.Offer(b.id, b.service.Applied())
			}
		}
	}
}

// gate is the platform of one node, which the test can close and pause.
type gate struct {
	platform.Store
	mu     sync.Mutex
	closed bool
	silent bool
	puts   int
}

// Put counts the writes of the node.
func (g *gate) Put(ctx context.Context, key platform.Key, value json.RawMessage, at platform.Revision) (platform.Revision, error) {
	g.mu.Lock()
	g.puts++
	g.mu.Unlock()
	return g.Store.Put(ctx, key, value, at)
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

// setSilent makes the watches deliver nothing while reads go on working.
func (g *gate) setSilent(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = silent
}

func (g *gate) delivers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.closed && !g.silent
}

func (g *gate) pass() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return fmt.Errorf("gate is closed: %w", platform.ErrUnavailable)
	}
	return nil
}

func (g *gate) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if err := g.pass(); err != nil {
		return platform.Object{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g *gate) List(ctx context.Context, c platform.Collection) ([]platform.Object, platform.Revision, error) {
	if err := g.pass(); err != nil {
		return nil, "", err
	}
	return g.Store.List(ctx, c)
}

func (g *gate) Watch(ctx context.Context, c platform.Collection, from platform.Revision) (platform.Watch, error) {
	if err := g.pass(); err != nil {
		return nil, err
	}
	w, err := g.Store.Watch(ctx, c, from)
	return &gatedWatch{Watch: w, gate: g}, err
}

// gatedWatch drops what arrives while the gate is closed or silent, like a
// watch that lies behind.
type gatedWatch struct {
	platform.Watch
	gate *gate
}

func (w *gatedWatch) Next(ctx context.Context) (platform.Change, error) {
	for {
		change, err := w.Watch.Next(ctx)
		if err != nil || w.gate.delivers() {
			return change, err
		}
	}
}
