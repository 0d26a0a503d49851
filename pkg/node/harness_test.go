package node_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/bundlestore"
	"github.com/tarragondrum/tarragondrum/pkg/distributor"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/gossip"
	"github.com/tarragondrum/tarragondrum/pkg/history"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/ledger"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/fault"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/memory"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/order"
	"github.com/tarragondrum/tarragondrum/pkg/platform/fake"
	"github.com/tarragondrum/tarragondrum/pkg/quarantine"
	"github.com/tarragondrum/tarragondrum/pkg/reason"
	"github.com/tarragondrum/tarragondrum/pkg/signoff"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
)

const (
	desk     = "order-desk"
	acceptor = "ioana"
	keyID    = "ioana-1"
	seed     = 7
)

// storeService is the fake platform as a kernel service.
type storeService struct{ *fake.Store }

func (storeService) Name() string                                { return "platform" }
func (storeService) Needs() []string                             { return nil }
func (storeService) Start(context.Context, *kernel.Kernel) error { return nil }
func (storeService) Stop(context.Context) error                  { return nil }

// meshService stands for the transport, which runs outside the kernel.
type meshService struct{ storeService }

func (meshService) Name() string { return "mesh" }

// stack is the control part of one node: its real services over the in-process
// transport and the fake platform.
type stack struct {
	id         model.NodeID
	dc         model.DataCentre
	kernel     *kernel.Kernel
	transport  *memory.Transport
	holder     *snapshot.Holder
	membership *gossip.Service
	rollout    *distributor.Service
	ledger     *ledger.Service
	guard      *quarantine.Service
	log        *event.Log
	// newest is the highest version that the process has shown.
	newest model.Version
}

// cluster is a mesh in a synctest bubble.
type cluster struct {
	t       *testing.T
	is      *is.I
	network *memory.Network
	faults  *fault.Faults
	store   *fake.Store
	key     ed25519.PrivateKey
	keyring *bundle.Keyring
	entropy *rand.ChaCha8
	history history.History
	serial  int

	mu     sync.Mutex
	stacks map[model.NodeID]*stack
	ids    []model.NodeID
}

// run runs a test in a bubble on n nodes spread over the data centres.
func run(t *testing.T, n int, dcs []model.DataCentre, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
		c := &cluster{
			t:       t,
			is:      is.New(t),
			network: memory.NewNetwork(),
			faults:  fault.New(seed),
			store:   fake.New(),
			key:     key,
			keyring: bundle.NewKeyring(bundle.TrustedKey{ID: keyID, Operator: acceptor, Public: key.Public().(ed25519.PublicKey)}),
			entropy: rand.NewChaCha8([32]byte{seed}),
			stacks:  make(map[model.NodeID]*stack),
		}
		for i := range n {
			id := model.NodeID(fmt.Sprintf("node-%02d", i))
			c.ids = append(c.ids, id)
			c.start(id, dcs[i%len(dcs)])
		}
		defer c.close()
		test(c)
	})
}

// addrOf returns the made-up address of a node.
func addrOf(id model.NodeID) string {
	return "10.0.0." + strings.TrimLeft(strings.TrimPrefix(string(id), "node-"), "0") + "0:7100"
}

func (c *cluster) start(id model.NodeID, dc model.DataCentre) *stack {
	peer := mesh.Peer{ID: id, Addr: addrOf(id)}
	s := &stack{id: id, dc: dc, kernel: kernel.New(), transport: c.network.Transport(peer), holder: &snapshot.Holder{}, log: event.Discard()}
	wrapped := c.faults.Wrap(s.transport, dc)
	registry := metric.NewRegistry()
	var err error
	s.membership, err = gossip.New(gossip.Options{
		Self: membership.Record{
			ID: id, DataCentre: dc, MeshAddr: peer.Addr, InboundAddr: "10.0.0.1:8080",
			Incarnation: uint64(time.Now().UnixNano()),
			Upstreams:   []model.Upstream{{Name: "u-" + string(id), Service: desk, State: model.UpstreamRunning}},
		},
		Transport: wrapped, Log: s.log, Registry: registry, Platform: c.store,
		Contacts: []string{addrOf("node-00"), addrOf("node-01")}, Seed: seed,
	})
	c.is.NoErr(err)
	s.rollout = distributor.New(distributor.Options{
		DataCentre: dc, Transport: wrapped, Platform: c.store, Keyring: c.keyring, Holder: s.holder,
		Log: s.log, Metrics: registry, Rand: rand.New(rand.NewPCG(seed, uint64(len(id)))),
	})
	s.membership.SetHooks(s.rollout.Applied, s.rollout.Offer)
	s.ledger = ledger.New(ledger.Options{
		Transport: wrapped, Registry: registry, Log: s.log,
		TakesOrders: func(service string) bool { return service == desk },
		Lookahead:   order.DefaultLookahead(), Limits: order.DefaultLimits(),
	})
	s.guard = quarantine.New(registry, s.log)
	c.is.NoErr(s.kernel.Register(storeService{c.store}, meshService{}, s.membership, s.rollout, s.ledger, s.guard))
	c.is.NoErr(s.kernel.Start(c.t.Context(), time.Second))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stacks[id] = s
	return s
}

// kill ends a node without a word: its messages go nowhere from now on.
func (c *cluster) kill(id model.NodeID) {
	s := c.stack(id)
	s.transport.Stop()
	c.mu.Lock()
	delete(c.stacks, id)
	c.mu.Unlock()
	_ = s.kernel.Stop(time.Second) // its goroutines must end with the bubble
}

// restart stops a node gracefully and starts a process that remembers nothing.
func (c *cluster) restart(id model.NodeID) {
	s := c.stack(id)
	s.membership.SetStopping()
	time.Sleep(time.Second)
	_ = s.kernel.Stop(10 * time.Second)
	s.transport.Stop()
	c.start(id, s.dc)
}

func (c *cluster) close() {
	for _, s := range c.all() {
		_ = s.kernel.Stop(time.Second)
	}
}

func (c *cluster) stack(id model.NodeID) *stack {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stacks[id]
}

// all returns the running nodes in the order of their ids.
func (c *cluster) all() []*stack {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*stack
	for _, id := range c.ids {
		if s, ok := c.stacks[id]; ok {
			list = append(list, s)
		}
	}
	return list
}

// content is the bundle of one change; every change differs from the others.
func content(change int) bundle.Bundle {
	return bundle.Bundle{
		Services: []bundle.Service{{Name: desk, Timeout: bundle.Duration(time.Duration(change) * time.Second), MaxEjectedPercent: 50}},
		Routes:   []bundle.Route{{Name: "orders", PathPrefix: "/orders", Service: desk, Class: model.ClassInteractive, Attempts: 1}},
	}
}

// signOff prepares the content of a change and puts it in force.
func (c *cluster) signOff(change int) bundle.Acceptance {
	ctx := c.t.Context()
	head, _, err := bundlestore.ReadHead(ctx, c.store)
	c.is.NoErr(err)
	b := content(change)
	b.Normalize()
	id, err := bundlestore.Save(ctx, c.store, &b, bundlestore.Meta{Preparer: acceptor, Time: time.Now(), ParentVersion: head.Acceptance.Version})
	c.is.NoErr(err)
	a, err := signoff.Accept(ctx, c.store, signoff.Request{
		Bundle: id, Expect: head.Acceptance.Version, Acceptor: acceptor, KeyID: keyID, Key: c.key,
		Operation: fmt.Sprint("change-", change), Time: time.Now(),
	})
	c.is.NoErr(err)
	return a
}

// observe fails the test if a running process shows an older version than it
// showed before.
func (c *cluster) observe() {
	for _, s := range c.all() {
		v := s.rollout.Applied()
		if v < s.newest {
			c.t.Fatalf("node %s went back from version %d to %d", s.id, s.newest, v)
		}
		s.newest = v
	}
}

// converge waits until every running node has version v.
func (c *cluster) converge(v model.Version, within time.Duration) {
	c.t.Helper()
	c.eventually(within, fmt.Sprintf("version %d", v), func(s *stack) bool { return s.rollout.Applied() == v })
}

// eventually waits, in the time of the bubble, until done holds on every node.
func (c *cluster) eventually(within time.Duration, what string, done func(*stack) bool) {
	c.t.Helper()
	const step = 20 * time.Millisecond
	for end := time.Now().Add(within); ; time.Sleep(step) {
		c.observe()
		behind := model.NodeID("")
		for _, s := range c.all() {
			if !done(s) {
				behind = s.id
			}
		}
		if behind == "" {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("node %s has not reached %s within %s", behind, what, within)
		}
	}
}

// settle waits until all nodes know each other.
func (c *cluster) settle() {
	c.t.Helper()
	c.eventually(time.Minute, "the whole membership", func(s *stack) bool {
		return len(s.membership.View().Members) == len(c.all())
	})
}

// newKey returns an idempotency key that is born now.
func (c *cluster) newKey() string { return ulid.MustNew(ulid.Now(), c.entropy).String() }

// send sends an order through a node to the owner of its key, as the proxy
// does, and notes it for the history checker.
func (c *cluster) send(via model.NodeID, key string) history.Attempt {
	c.serial++
	a := history.Attempt{ID: fmt.Sprint(c.serial), Key: key, Effect: reason.NotRun}
	from := c.stack(via)
	place := from.ledger.Locate(desk, key)
	owner := c.stack(place.Node)
	switch {
	case place.Node == "":
		a.Effect = place.Effect
	case owner != nil && c.reaches(from, owner):
		c.runAt(owner, &a)
	}
	c.history.Answered(a)
	return a
}

func (c *cluster) runAt(owner *stack, a *history.Attempt) {
	r := order.Request{Service: desk, Key: a.Key, Digest: sha256.Sum256([]byte(a.Key))}
	d := owner.ledger.Begin(c.t.Context(), r)
	switch d.Verdict {
	case order.VerdictReplay:
		a.Effect, a.Replayed, a.Body = reason.Run, true, string(d.Outcome.Body)
	case order.VerdictRefuse:
		a.Effect = d.Effect
	case order.VerdictRun:
		a.Effect, a.Body = reason.Run, "done by "+string(owner.id)
		c.history.Ran(history.Run{Attempt: a.ID, Key: a.Key, Body: a.Body})
		owner.ledger.Finish(r, order.Outcome{Status: 200, Body: []byte(a.Body)})
	}
}

// reaches reports whether the faults let a message from one node to the other.
func (c *cluster) reaches(from, to *stack) bool {
	if from.dc == to.dc {
		return true
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 100*time.Millisecond)
	defer cancel()
	probe := c.faults.Wrap(from.transport, from.dc)
	err := probe.Call(ctx, mesh.Peer{ID: to.id, Addr: addrOf(to.id)}, mesh.KindProgress, struct{}{}, nil)
	return !errors.Is(err, mesh.ErrUnreachable)
}
