package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/bundle"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/metric"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/proxy"
	"github.com/tarragondrum/tarragondrum/pkg/settings"
	"github.com/tarragondrum/tarragondrum/pkg/snapshot"
	"github.com/tarragondrum/tarragondrum/pkg/upstream"
)

// mesh is a membership that every node of a test sees at once.
type mesh struct {
	mu      sync.Mutex
	index   uint64
	members map[model.NodeID]membership.Member
	changed chan struct{}
}

func newMesh() *mesh {
	return &mesh{members: map[model.NodeID]membership.Member{}, changed: make(chan struct{})}
}

func (m *mesh) change(id model.NodeID, f func(*membership.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member := m.members[id]
	f(&member)
	m.members[id] = member
	m.index++
	close(m.changed)
	m.changed = make(chan struct{})
}

// member is one node's view of the mesh; it implements membership.Source.
type member struct {
	*mesh
	id model.NodeID
}

func (m *member) Name() string                                { return "membership" }
func (m *member) Needs() []string                             { return nil }
func (m *member) Start(context.Context, *kernel.Kernel) error { return nil }
func (m *member) Stop(context.Context) error                  { return nil }
func (m *member) SetSuspects([]membership.Suspect)            {}
func (m *member) SetStopping()                                { m.change(m.id, func(r *membership.Member) { r.Stopping = true }) }
func (m *member) SetUpstreams(u []model.Upstream) {
	m.change(m.id, func(r *membership.Member) { r.Upstreams = u })
}

func (m *member) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *member) View() *membership.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &membership.View{Index: m.index, Self: m.id, Members: map[model.NodeID]membership.Member{}}
	for id, r := range m.members {
		v.Members[id] = r
	}
	return v
}

// node is one running node of a test.
type node struct {
	kernel    *kernel.Kernel
	inbound   *proxy.Inbound
	outbound  *proxy.Outbound
	upstreams *upstream.Service
	log       *event.Log
	registry  *metric.Registry
	holder    *snapshot.Holder
}

func (n *node) url(path string) string { return "http://" + n.inbound.Address() + path }

const testSecret = "one secret for all"

// start runs a node in the mesh. extra services are registered with it.
func (m *mesh) start(t testing.TB, id model.NodeID, b bundle.Bundle, edit func(*settings.Settings), extra ...kernel.Service) *node {
	t.Helper()
	n := &node{kernel: kernel.New(), log: event.Discard(), registry: metric.NewRegistry(), holder: &snapshot.Holder{}}
	if len(b.Services) > 0 {
		publish(t, n.holder, b, 1)
	}
	s := settings.Settings{}
	s.Node = settings.Node{ID: id, DataCentre: "dc1", Region: "r1"}
	s.Inbound.Address = "127.0.0.1:0"
	s.Outbound.Address = "127.0.0.1:0"
	s.Drain.Notice = bundle.Duration(50 * time.Millisecond)
	if edit != nil {
		edit(&s)
	}
	n.inbound, n.outbound = proxy.New(proxy.Options{Settings: s, Holder: n.holder, Log: n.log, Registry: n.registry, Secret: []byte(testSecret)})
	n.upstreams = upstream.New(s, n.holder, n.log, n.registry)
	services := append([]kernel.Service{&member{mesh: m, id: id}, n.upstreams, n.inbound, n.outbound}, extra...)
	check(t, n.kernel.Register(services...))
	check(t, n.kernel.Start(context.Background(), time.Second))
	t.Cleanup(func() { _ = n.kernel.Stop(5 * time.Second) })
	m.change(id, func(r *membership.Member) {
		r.ID, r.DataCentre, r.Region, r.Status = id, "dc1", "r1", membership.StatusAlive
		r.InboundAddr = n.inbound.Address()
	})
	return n
}

func publish(t testing.TB, h *snapshot.Holder, b bundle.Bundle, v model.Version) {
	t.Helper()
	s, err := snapshot.Compile(bundle.Acceptance{Version: v}, b)
	check(t, err)
	h.Publish(s)
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// serve runs an upstream and announces it to the node.
func (n *node) serve(t testing.TB, service, name string, h http.Handler) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	n.announce(t, service, name, srv.Listener.Addr())
	return srv
}

func (n *node) announce(t testing.TB, service, name string, addr net.Addr) {
	t.Helper()
	check(t, n.upstreams.Announce(model.Upstream{
		Name: name, Service: service, Address: addr.String(), Slots: 9, Connections: 130,
		Since: time.Now().Add(-time.Hour),
	}))
}

// catalogue is a bundle with one route per class to service "catalogue".
func catalogue() bundle.Bundle {
	return bundle.Bundle{
		Services: []bundle.Service{{Name: "catalogue", Timeout: bundle.Duration(5 * time.Second), MaxEjectedPercent: 50, RetryBudgetPercent: 20}},
		Routes: []bundle.Route{
			{Name: "browse", PathPrefix: "/", Service: "catalogue", Class: model.ClassInteractive, Attempts: 2},
			{Name: "order", PathPrefix: "/orders", Service: "catalogue", Class: model.ClassOrder, Attempts: 2},
			{Name: "batch", PathPrefix: "/batch", Service: "catalogue", Class: model.ClassBatch, Attempts: 2},
			{Name: "check", PathPrefix: "/check", Service: "catalogue", Class: model.ClassInternal, Attempts: 2, Internal: true},
		},
	}
}

// answer is a reply read whole.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) reason() string { return a.header.Get("Tarragondrum-Reason") }
func (a answer) effect() string { return a.header.Get("Tarragondrum-Effect") }

// do sends one request on a connection of its own.
func do(t testing.TB, method, url, body string, header ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	check(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

// eventually waits for a condition.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("never happened: " + what)
}

// echo answers with what it received.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s depth=%s hop=%q body=%d", r.Method, r.URL.RequestURI(), r.Header.Get("Tarragondrum-Depth"), r.Header.Get("Tarragondrum-Hop"), len(body))
}

// hopRejected is the event of a hop header without a valid token.
var hopRejected = event.HopRejected

// hopTo returns the hop header that a node would send.
func hopTo(upstream string) string {
	h := proxy.Hop{Class: model.ClassInteractive, Service: "catalogue", Upstream: upstream}
	return h.Encode(proxy.NewToken([]byte(testSecret)))
}

// endpoints returns the number of endpoints of "catalogue" that the node knows.
func (n *node) endpoints() int { return proxy.Endpoints(n.inbound, "catalogue") }

// pretend makes the peers believe that an upstream is in another state.
func (n *node) pretend(t testing.TB, name string, state model.UpstreamState) {
	t.Helper()
	src, err := kernel.Lookup[membership.Source](n.kernel, "membership")
	check(t, err)
	list := n.upstreams.List()
	for i := range list {
		if list[i].Name == name {
			list[i].State = state
		}
	}
	src.SetUpstreams(list)
}

// counted sums a counter over the series that have the given label value.
func (n *node) counted(t testing.TB, name, label string) float64 {
	t.Helper()
	families, err := n.registry.Gather()
	check(t, err)
	sum := 0.0
	for _, f := range families {
		if f.GetName() != metric.Namespace+"_"+name {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetValue() == label {
					sum += m.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}
