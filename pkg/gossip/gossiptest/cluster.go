// Package gossiptest runs the membership of many nodes in one process, for
// tests and measurements. The nodes run the real code over a transport of the
// process with faults.
package gossiptest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/gossip"
	"github.com/tarragondrum/tarragondrum/pkg/kernel"
	"github.com/tarragondrum/tarragondrum/pkg/membership"
	"github.com/tarragondrum/tarragondrum/pkg/mesh"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/fault"
	"github.com/tarragondrum/tarragondrum/pkg/mesh/memory"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/pkg/platform"
)

// Options describes a cluster.
type Options struct {
	Nodes       int
	DataCentres int
	Seed        uint64
	// Platform may be nil. Without it, every node has the first one as contact.
	Platform platform.Store
	// Edit may change the options of a node before it is made.
	Edit func(*gossip.Options)
	// Transport makes the transport of a node and the function that ends it; nil
	// means in-process. A transport that is a kernel.Service is started.
	Transport func(self mesh.Peer) (mesh.Transport, func(), error)
	// Addr returns the address of a node; nil means made-up ones.
	Addr func(i int) string
}

// Cluster is a set of nodes.
type Cluster struct {
	Faults  *fault.Faults
	Nodes   []*Node
	options Options
	network *memory.Network
	starts  uint64
}

// Node is one node of a cluster. Service is nil while it is dead.
type Node struct {
	Record    membership.Record
	Service   *gossip.Service
	Transport mesh.Transport
	Log       *event.Log
	close     func()
}

// New returns a cluster whose nodes are not started.
func New(o Options) *Cluster {
	c := &Cluster{Faults: fault.New(o.Seed), options: o, network: memory.NewNetwork()}
	if o.Addr == nil {
		c.options.Addr = func(i int) string { return fmt.Sprintf("10.%d.%d.1:7400", i/250, i%250) }
	}
	for i := range o.Nodes {
		dc := i % o.DataCentres
		c.Nodes = append(c.Nodes, &Node{Record: membership.Record{
			ID:          model.NodeID(fmt.Sprintf("node-%04d", i)),
			DataCentre:  CentreName(dc),
			Region:      model.Region(fmt.Sprintf("region-%d", dc%4)),
			MeshAddr:    c.options.Addr(i),
			InboundAddr: fmt.Sprintf("10.%d.%d.1:7401", i/250, i%250),
			Upstreams:   []model.Upstream{upstream(i)},
		}})
	}
	return c
}

// CentreName returns the name of the data centre with the given index.
func CentreName(i int) model.DataCentre { return model.DataCentre(fmt.Sprintf("dc-%02d", i)) }

func upstream(i int) model.Upstream {
	return model.Upstream{
		Name:        fmt.Sprintf("order-desk-%d", i),
		Service:     "order-desk",
		Address:     "127.0.0.1:8080",
		Slots:       9,
		Connections: 130,
		State:       model.UpstreamRunning,
		Since:       time.Unix(1_700_000_000, 0),
	}
}

// StartAll starts every node that is not running.
func (c *Cluster) StartAll() error {
	for i := range c.Nodes {
		if c.Nodes[i].Service != nil {
			continue
		}
		if err := c.Start(i); err != nil {
			return err
		}
	}
	return nil
}

// Start starts one node as a new process that remembers nothing.
func (c *Cluster) Start(i int) error {
	n := c.Nodes[i]
	c.starts++
	n.Record.Incarnation = uint64(time.Now().UnixNano()) + c.starts // differs in a bubble too
	t, end, err := c.transport(n.Record)
	if err != nil {
		return fmt.Errorf("transport of %q: %w", n.Record.ID, err)
	}
	n.Log = event.Discard()
	o := gossip.Options{
		Self:      n.Record,
		Transport: c.Faults.Wrap(t, n.Record.DataCentre),
		Log:       n.Log,
		Platform:  c.options.Platform,
		Seed:      c.options.Seed<<32 + c.starts,
	}
	if c.options.Platform == nil {
		o.Contacts = []string{c.Nodes[0].Record.MeshAddr, c.Nodes[1%len(c.Nodes)].Record.MeshAddr}
	}
	if c.options.Edit != nil {
		c.options.Edit(&o)
	}
	n.Record = o.Self
	s, err := gossip.New(o)
	if err != nil {
		end()
		return fmt.Errorf("node %q: %w", n.Record.ID, err)
	}
	if starter, ok := t.(kernel.Service); ok {
		if err := starter.Start(context.Background(), nil); err != nil {
			end()
			return fmt.Errorf("transport of %q: %w", n.Record.ID, err)
		}
	}
	n.Service, n.Transport, n.close = s, o.Transport, end
	return s.Start(context.Background(), nil)
}

func (c *Cluster) transport(r membership.Record) (mesh.Transport, func(), error) {
	self := mesh.Peer{ID: r.ID, Addr: r.MeshAddr}
	if c.options.Transport != nil {
		return c.options.Transport(self)
	}
	t := c.network.Transport(self)
	return t, t.Stop, nil
}

// Kill ends a node without a word to its peers.
func (c *Cluster) Kill(i int) {
	n := c.Nodes[i]
	if n.Service == nil {
		return
	}
	n.close()
	_ = n.Service.Kill(context.Background())
	n.Service = nil
}

// Leave stops a node gracefully.
func (c *Cluster) Leave(ctx context.Context, i int) error {
	n := c.Nodes[i]
	err := n.Service.Stop(ctx)
	n.close()
	n.Service = nil
	return err
}

// KillAll ends every node.
func (c *Cluster) KillAll() {
	for i := range c.Nodes {
		c.Kill(i)
	}
}

// Running returns the nodes that are not dead.
func (c *Cluster) Running() []*Node {
	return slices.DeleteFunc(slices.Clone(c.Nodes), func(n *Node) bool { return n.Service == nil })
}

// In returns the indices of the nodes of a data centre.
func (c *Cluster) In(dc model.DataCentre) []int {
	var indices []int
	for i, n := range c.Nodes {
		if n.Record.DataCentre == dc {
			indices = append(indices, i)
		}
	}
	return indices
}

// Converged reports whether every running node sees exactly the running nodes
// as alive, each with the incarnation of its present process.
func (c *Cluster) Converged() bool {
	running := c.Running()
	for _, n := range running {
		if !sees(n.Service.View(), running) {
			return false
		}
	}
	return true
}

func sees(v *membership.View, running []*Node) bool {
	alive := 0
	for _, m := range v.Members {
		if m.Status == membership.StatusAlive {
			alive++
		}
	}
	if alive != len(running) {
		return false
	}
	for _, n := range running {
		m := v.Members[n.Record.ID]
		if m.Status != membership.StatusAlive || m.Incarnation < n.Record.Incarnation {
			return false
		}
	}
	return true
}

// All reports whether every running node's view satisfies f.
func (c *Cluster) All(f func(*membership.View) bool) bool {
	for _, n := range c.Running() {
		if !f(n.Service.View()) {
			return false
		}
	}
	return true
}

// pollInterval is the resolution of Wait.
const pollInterval = 5 * time.Millisecond

// Wait waits until f holds, at most for limit. It returns the time that it took
// and whether f held.
func Wait(limit time.Duration, f func() bool) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < limit {
		if f() {
			return time.Since(start), true
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), f()
}

// Traffic sums up the traffic of the running nodes.
func (c *Cluster) Traffic() mesh.Traffic {
	var sum mesh.Traffic
	sum.SentBytes = make(map[mesh.Kind]uint64)
	sum.ReceivedBytes = make(map[mesh.Kind]uint64)
	sum.SentCount = make(map[mesh.Kind]uint64)
	for _, n := range c.Running() {
		t := n.Transport.(mesh.Meter).Traffic()
		add(sum.SentBytes, t.SentBytes)
		add(sum.ReceivedBytes, t.ReceivedBytes)
		add(sum.SentCount, t.SentCount)
	}
	return sum
}

func add(sum, more map[mesh.Kind]uint64) {
	for kind, n := range more {
		sum[kind] += n
	}
}
