package ledger_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/tarragondrum/tarragondrum/pkg/event"
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
	"github.com/tarragondrum/tarragondrum/pkg/reason"
)

const desk = "order-desk"

// named gives a fake the methods of a kernel service.
type named string

func (n named) Name() string                              { return string(n) }
func (named) Needs() []string                             { return nil }
func (named) Start(context.Context, *kernel.Kernel) error { return nil }
func (named) Stop(context.Context) error                  { return nil }

type storeService struct {
	named
	*fake.Store
}

// members is the membership that every node of a test shares.
type members struct {
	mu      sync.Mutex
	view    membership.View
	changed chan struct{}
}

func (m *members) update(change func(map[model.NodeID]membership.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[model.NodeID]membership.Member)
	for id, member := range m.view.Members {
		next[id] = member
	}
	change(next)
	m.view = membership.View{Index: m.view.Index + 1, Members: next}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *members) setStatus(id model.NodeID, s membership.Status) {
	m.update(func(all map[model.NodeID]membership.Member) {
		member := all[id]
		member.Status = s
		all[id] = member
	})
}

// source is the view that one node has of the members.
type source struct {
	named
	*members
	self model.NodeID
}

func (s source) View() *membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	v.Self = s.self
	return &v
}

func (s source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s source) SetUpstreams([]model.Upstream)    {}
func (s source) SetSuspects([]membership.Suspect) {}
func (s source) SetStopping() {
	s.update(func(all map[model.NodeID]membership.Member) {
		member := all[s.self]
		member.Stopping = true
		all[s.self] = member
	})
}

// node is one node under test.
type node struct {
	id        model.NodeID
	ledger    *ledger.Service
	kernel    *kernel.Kernel
	transport *memory.Transport
	source    source
}

// cluster is a service on several nodes in a synctest bubble.
type cluster struct {
	t       *testing.T
	network *memory.Network
	faults  *fault.Faults
	store   *fake.Store
	members *members
	mu      sync.Mutex
	nodes   map[model.NodeID]*node
	started []*node
	history history.History
	serial  int
	// dropReplies is the number of transfers whose answers are lost.
	dropReplies int
}

func newCluster(t *testing.T, ids ...model.NodeID) *cluster {
	c := &cluster{
		t:       t,
		network: memory.NewNetwork(),
		faults:  fault.New(1),
		store:   fake.New(),
		members: &members{changed: make(chan struct{})},
		nodes:   make(map[model.NodeID]*node),
	}
	for _, id := range ids {
		c.start(id)
	}
	return c
}

func (c *cluster) start(id model.NodeID) *node {
	peer := mesh.Peer{ID: id, Addr: string(id) + ":1"}
	n := &node{id: id, kernel: kernel.New(), transport: c.network.Transport(peer)}
	n.source = source{named: "membership", members: c.members, self: id}
	c.members.update(func(all map[model.NodeID]membership.Member) {
		all[id] = membership.Member{Status: membership.StatusAlive, Record: membership.Record{
			ID: id, MeshAddr: peer.Addr,
			Upstreams: []model.Upstream{{Name: "u", Service: desk, State: model.UpstreamRunning}},
		}}
	})
	n.ledger = ledger.New(ledger.Options{
		Transport:   lossy{c.faults.Wrap(n.transport, "dc"), c},
		Registry:    metric.NewRegistry(),
		Log:         event.Discard(),
		TakesOrders: func(service string) bool { return service == desk },
	})
	is := is.New(c.t)
	is.NoErr(n.kernel.Register(storeService{"platform", c.store}, n.source, n.ledger))
	is.NoErr(n.kernel.Start(c.t.Context(), time.Second))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[id] = n
	c.started = append(c.started, n)
	return n
}

func (c *cluster) node(id model.NodeID) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

// lossy loses the answers to some transfers after they took effect.
type lossy struct {
	mesh.Transport
	cluster *cluster
}

func (l lossy) Call(ctx context.Context, to mesh.Peer, kind mesh.Kind, request, reply any) error {
	err := l.Transport.Call(ctx, to, kind, request, reply)
	if kind == mesh.KindOrderTransfer && reply != nil && l.cluster.dropReplies > 0 {
		l.cluster.dropReplies--
		return mesh.ErrTimeout
	}
	return err
}

// crash ends a node without a hand-over: its messages go nowhere.
func (c *cluster) crash(id model.NodeID) {
	c.nodes[id].transport.Stop()
	c.members.setStatus(id, membership.StatusFailed)
}

// stop ends a node gracefully.
func (c *cluster) stop(id model.NodeID) error {
	n := c.node(id)
	n.source.SetStopping()
	time.Sleep(2 * time.Second)
	err := n.kernel.Stop(10 * time.Second)
	n.transport.Stop()
	c.members.setStatus(id, membership.StatusLeft)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, id)
	return err
}

// close ends every node, so that the bubble can end.
func (c *cluster) close() {
	for _, n := range c.started {
		_ = n.kernel.Stop(time.Second)
	}
}

// entropy makes the keys of a run the same each time.
var entropy = rand.NewChaCha8([32]byte{1})

// newKey returns a key that is born now.
func newKey() string { return ulid.MustNew(ulid.Now(), entropy).String() }

// request returns an order with the digest of its key.
func request(key string) order.Request {
	return order.Request{Service: desk, Key: key, Digest: sha256.Sum256([]byte(key))}
}

// answer is what a caller learns from one attempt.
type answer struct {
	effect reason.Effect
	reason reason.Reason
	body   string
	ran    bool
}

// send sends an order from one node to where Locate points, runs it there if
// it may run, and puts the attempt into the history.
func (c *cluster) send(from model.NodeID, key string) answer {
	a := c.attempt(c.node(from), key)
	c.history.Answered(history.Attempt{ID: fmt.Sprint(c.serial), Key: key, Effect: a.effect, Body: a.body})
	return a
}

func (c *cluster) attempt(from *node, key string) answer {
	for range maxAttempts {
		c.serial++
		place := from.ledger.Locate(desk, key)
		if place.Node == "" {
			return answer{effect: place.Effect, reason: place.Reason}
		}
		owner := c.node(place.Node)
		if owner == nil {
			return answer{effect: reason.NotRun, reason: reason.ConnectFailed}
		}
		a := c.runAt(owner, key)
		if a.reason != reason.KeyUnowned {
			return a
		}
		from.ledger.Moved(desk)
		time.Sleep(retryPause)
	}
	return answer{effect: reason.NotRun, reason: reason.KeyUnowned}
}

// maxAttempts and retryPause are the retries of a proxy for answers not run.
const (
	maxAttempts = 3
	retryPause  = 250 * time.Millisecond
)

// attemptAt sends an order straight to a node, whoever owns the key.
func (c *cluster) attemptAt(owner *node, key string) {
	c.serial++
	a := c.runAt(owner, key)
	c.history.Answered(history.Attempt{ID: fmt.Sprint(c.serial), Key: key, Effect: a.effect, Body: a.body})
}

func (c *cluster) runAt(owner *node, key string) answer {
	d := owner.ledger.Begin(c.t.Context(), request(key))
	switch d.Verdict {
	case order.VerdictReplay:
		return answer{effect: reason.Run, body: string(d.Outcome.Body)}
	case order.VerdictRefuse:
		return answer{effect: d.Effect, reason: d.Reason}
	}
	body := fmt.Sprintf("done by %s", owner.id)
	c.history.Ran(history.Run{Attempt: fmt.Sprint(c.serial), Key: key, Body: body})
	owner.ledger.Finish(request(key), order.Outcome{Status: 200, Body: []byte(body)})
	return answer{effect: reason.Run, body: body, ran: true}
}

// sendMany sends fresh orders from one node and counts those that ran.
func (c *cluster) sendMany(from model.NodeID, n int) (keys []string, ran int) {
	for range n {
		key := newKey()
		keys = append(keys, key)
		if c.send(from, key).ran {
			ran++
		}
	}
	return keys, ran
}

// check fails the test if any promise to callers was broken.
func (c *cluster) check() {
	report := c.history.Check()
	is.New(c.t).Equal(report.Faults, nil)
}
