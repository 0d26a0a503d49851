package rollout

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/distributor"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/gossip"
	"github.com/tarragondrum/tarragondrum/pkg/gossip/gossiptest"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/fault"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
)

const (
	operatorName = "ioana"
	operatorKey  = "ioana-1"
	// stopTimeout bounds the stop of one node.
	stopTimeout = 10 * time.Second
	// formTimeout bounds the time in which the members must find each other.
	formTimeout = 2 * time.Minute
	// platformDelay is the time in which the platform answers.
	platformDelay = 3 * time.Millisecond
)

var (
	localLink  = fault.Link{Delay: 250 * time.Microsecond, Jitter: 100 * time.Microsecond}
	remoteLink = fault.Link{Delay: 4 * time.Millisecond, Jitter: time.Millisecond}
	signingKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{3}, ed25519.SeedSize))
	keyring    = bundle.NewKeyring(bundle.TrustedKey{ID: operatorKey, Operator: operatorName, Public: signingKey.Public().(ed25519.PublicKey)})
)

// errNotFormed: the members did not find each other in time.
var errNotFormed = errors.New("bench: the members did not find each other")

// node is the roll-out of one process.
type node struct {
	service *distributor.Service
	holder  *snapshot.Holder
	log     *event.Log
}

// cluster is a set of nodes with the real membership and roll-out.
type cluster struct {
	*gossiptest.Cluster
	options Options
	way     Way
	store   *fake.Store
	// cut is the data centre that does not reach the platform.
	cut *cutSwitch
	// mu guards nodes, which a watch reads while others die and return.
	mu    sync.Mutex
	nodes map[model.NodeID]*node
	dead  []*node
	// gone is what nodes that ended had used.
	gone usage
	now  bundle.Bundle
	step int
	// operator is the platform as the operator reaches it.
	operator *headClock
	// operatorCalls is the number of platform calls of one sign-off.
	operatorCalls uint64
}

func newCluster(o Options, way Way, n, dcs int) *cluster {
	c := &cluster{
		options: o,
		way:     way,
		store:   fake.New(),
		cut:     &cutSwitch{},
		nodes:   make(map[model.NodeID]*node),
		now:     newContent(o.Size, o.Seed),
	}
	c.store.SetDelay(platformDelay)
	c.operator = &headClock{Store: c.store}
	c.Cluster = gossiptest.New(gossiptest.Options{
		Nodes:       n,
		DataCentres: dcs,
		Seed:        o.Seed,
		Platform:    c.store,
		Edit:        c.addRollout,
	})
	c.Faults.SetLinks(localLink, remoteLink)
	return c
}

// addRollout makes the roll-out of a node on the transport of its membership.
func (c *cluster) addRollout(o *gossip.Options) {
	n := &node{holder: &snapshot.Holder{}, log: event.Discard()}
	transport := o.Transport
	if c.way == WayPull {
		transport = noPush{transport}
	}
	tuning := distributor.Tuning{}
	if c.way == WayStar {
		tuning.Fanout = starFanout
	}
	n.service = distributor.New(distributor.Options{
		DataCentre: o.Self.DataCentre,
		Transport:  transport,
		Platform:   gate{Store: c.store, cut: c.cut, dc: o.Self.DataCentre},
		Keyring:    keyring,
		Holder:     n.holder,
		Log:        n.log,
		Rand:       rand.New(rand.NewPCG(o.Seed, 2)),
		Tuning:     tuning,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[o.Self.ID] = n
}

// start starts node i as a new process.
func (c *cluster) start(i int) error {
	if err := c.Start(i); err != nil {
		return err
	}
	k := kernel.New()
	n := c.nodes[c.Nodes[i].Record.ID]
	if err := k.Register(c.Nodes[i].Service, n.service); err != nil {
		return err
	}
	return n.service.Start(context.Background(), k)
}

// form starts every node and waits until all see each other and have
// the version in force.
func (c *cluster) form() error {
	v, err := c.signOffAlone()
	if err != nil {
		return err
	}
	for i := range c.Nodes {
		if err := c.start(i); err != nil {
			return err
		}
	}
	if _, ok := gossiptest.Wait(formTimeout, c.Converged); !ok {
		return errNotFormed
	}
	if _, ok := gossiptest.Wait(formTimeout, func() bool { return c.missing(v) == 0 }); !ok {
		return fmt.Errorf("version %d is missing on %d nodes: %w", v, c.missing(v), errNotFormed)
	}
	return nil
}

// kill ends node i without notice.
func (c *cluster) kill(i int) error {
	id := c.Nodes[i].Record.ID
	n := c.nodes[id]
	c.mu.Lock()
	delete(c.nodes, id)
	c.mu.Unlock()
	c.dead = append(c.dead, n)
	meter := c.Nodes[i].Transport.(mesh.Meter)
	c.Kill(i)
	c.gone.count(meter.Traffic(), n.service.Usage())
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return n.service.Stop(ctx)
}

// stop ends every node and reports violated invariants.
func (c *cluster) stop() error {
	var errs []error
	for i := range c.Nodes {
		if c.Nodes[i].Service != nil {
			errs = append(errs, c.kill(i))
		}
	}
	for _, n := range c.dead {
		for _, e := range event.RolloutInvariants() {
			if count := n.log.Count(e); count > 0 {
				errs = append(errs, fmt.Errorf("invariant %s violated %d times", e.Name, count))
			}
		}
	}
	return errors.Join(errs...)
}

// missing counts the running nodes without version v.
func (c *cluster) missing(v model.Version) int {
	count := 0
	for _, n := range c.nodes {
		if n.service.Applied() < v {
			count++
		}
	}
	return count
}

// signOffAlone signs off twice before any node runs, and notes the calls of the
// second sign-off.
func (c *cluster) signOffAlone() (model.Version, error) {
	if _, err := c.signOff(); err != nil {
		return 0, err
	}
	before := c.store.Calls().Total()
	v, err := c.signOff()
	c.operatorCalls = c.store.Calls().Total() - before
	return v, err
}

// signOff changes one route and puts the bundle in force.
func (c *cluster) signOff() (model.Version, error) {
	ctx := context.Background()
	next := change(c.now, c.step)
	id, err := bundlestore.Save(ctx, c.operator, &next, bundlestore.Meta{Preparer: operatorName, Time: time.Now()})
	if err != nil {
		return 0, err
	}
	acc, err := signoff.Accept(ctx, c.operator, signoff.Request{
		Bundle: id, Expect: model.Version(c.step), Acceptor: operatorName, KeyID: operatorKey, Key: signingKey,
		Reason: "change one route", Operation: fmt.Sprintf("bench-%d-%d", c.options.Seed, c.step), Time: time.Now(),
	})
	if err != nil {
		return 0, err
	}
	c.now = next
	c.step++
	return acc.Version, nil
}

// deltaBytes returns the size of the compressed delta of the last change.
func (c *cluster) deltaBytes(before bundle.Bundle, acc bundle.Acceptance) (int, error) {
	d, err := bundle.Diff(&before, &c.now)
	if err != nil {
		return 0, err
	}
	u := bundle.Update{Acceptance: acc, Delta: &d}
	data, err := u.Encode()
	return len(data), err
}

// traffic returns the bytes of the roll-out and of everything sent so far, and
// the bytes of updates received.
func (c *cluster) traffic() usage {
	u := c.gone
	for _, running := range c.Running() {
		u.count(running.Transport.(mesh.Meter).Traffic(), c.nodes[running.Record.ID].service.Usage())
	}
	return u
}

// usage counts bytes over all nodes.
type usage struct {
	all, rollout, payload, repair uint64
}

// count adds what one node sent and received.
func (u *usage) count(t mesh.Traffic, updates distributor.Usage) {
	for kind, bytes := range t.SentBytes {
		u.all += bytes
		if kind >= mesh.KindPush && kind <= mesh.KindProgress {
			u.rollout += bytes
		}
	}
	u.payload += updates.Push
	u.repair += updates.Repair
}

func (u usage) minus(v usage) usage {
	return usage{
		all:     u.all - v.all,
		rollout: u.rollout - v.rollout,
		payload: u.payload - v.payload,
		repair:  u.repair - v.repair,
	}
}

// gate is the platform as one node reaches it.
type gate struct {
	platform.Store
	cut *cutSwitch
	dc  model.DataCentre
}

func (g gate) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if err := g.cut.check(g.dc); err != nil {
		return platform.Object{}, err
	}
	return g.Store.Get(ctx, key)
}

func (g gate) List(ctx context.Context, c platform.Collection) ([]platform.Object, platform.Revision, error) {
	if err := g.cut.check(g.dc); err != nil {
		return nil, "", err
	}
	return g.Store.List(ctx, c)
}

func (g gate) Put(ctx context.Context, key platform.Key, value json.RawMessage, at platform.Revision) (platform.Revision, error) {
	if err := g.cut.check(g.dc); err != nil {
		return "", err
	}
	return g.Store.Put(ctx, key, value, at)
}

// headClock notes the time at which the head was last written.
type headClock struct {
	platform.Store
	written time.Time
}

func (h *headClock) Put(ctx context.Context, key platform.Key, value json.RawMessage, at platform.Revision) (platform.Revision, error) {
	revision, err := h.Store.Put(ctx, key, value, at)
	if key.Collection == platform.CollectionHeads && err == nil {
		h.written = time.Now()
	}
	return revision, err
}
