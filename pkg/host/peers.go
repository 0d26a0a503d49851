package host

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// maxFullMeshHosts is the number of hosts up to which every node connects to every
	// other one. In larger fleets a node connects to its contacts and to the nodes it
	// calls.
	maxFullMeshHosts = 32
	// startupPeriod is how long after its start a node treats its fleet as large, so that
	// it does not connect to every host it knows before it has heard of all of them.
	startupPeriod = 1500 * time.Millisecond
	// idleConnectionTimeout is how long a large fleet keeps a connection without calls. A
	// node calls each upstream of its subset every few seconds.
	idleConnectionTimeout = time.Minute
	// probeAfter is how long the first node of a data centre waits for a host that should
	// follow it before it connects to the host itself.
	probeAfter = 4 * time.Second
	// pullDelay is how long a node that hears of a newer configuration from another data
	// centre waits for the store before it requests it from a peer.
	pullDelay = 700 * time.Millisecond
	// pullTimeout is how long it waits for the answer before it asks another peer.
	pullTimeout = 600 * time.Millisecond
)

// peers holds the connections to other nodes.
type peers struct {
	node    *Node
	server  *link.Server
	monitor *link.Monitor
	tree    *tree
	// tableChanged is set if the table has changed since the last updateConnections.
	tableChanged atomic.Bool

	mu     sync.Mutex
	peers  map[string]*link.Peer
	closed bool
	// lostAt is since when nodes cannot be reached.
	lostAt map[string]time.Time
	// missingSince is since when hosts that should follow this node do not.
	missingSince map[string]time.Time
	// sought are removed hosts that this node tries to reach, see seekRemoved.
	sought map[string]bool
	// pulledAt is when this node last requested a configuration from a peer.
	pulledAt time.Time
	// awaitedVersion is the newest version that another data centre has announced.
	awaitedVersion uint64
}

func newPeers(n *Node) *peers {
	return &peers{
		node: n, monitor: link.NewMonitor(), tree: newTree(n),
		peers: make(map[string]*link.Peer), lostAt: make(map[string]time.Time), missingSince: make(map[string]time.Time),
	}
}

// self returns the identity under which this node connects to others.
func (p *peers) self() link.Identity {
	// The record's incarnation is unsuitable: it may grow while calls are open.
	return link.Identity{
		Node: p.node.settings.Load().Node.ID, Incarnation: func() int64 { return p.node.processID },
		Monitor: p.monitor, Credentials: p.node.credentials, Uplink: p.node.uplink, AnswerBudget: p.node.answers,
		Downlink: p.node.downlink, BodyBudget: p.node.bodies, FrameBudget: p.node.frames, ObserveBody: p.node.observer.bodies.received,
		ReportPanic:      p.node.panicked,
		ObserveQueueTime: func(d time.Duration) { p.node.observer.linkWaits.Observe(d.Seconds()) },
	}
}

func (p *peers) serve(l net.Listener) {
	p.server = &link.Server{
		Self: p.self(),
		Handle: func(ctx context.Context, _ string, c *link.Call) *link.Answer {
			return p.node.intake.Handle(ctx, c)
		},
		StaleAnswer: staleAnswer,
		CallMemory:  p.node.outbound.Memory,
		OnNoMemory:  func() { p.node.observer.refuseCaller(nodesListener, reasonCallMemory) },
		Events:      link.Events{Up: p.callerConnected, Down: p.callerLost, StateUpdate: p.handleNews},
	}
	p.server.Serve(l)
}

// send runs a call on the node of an upstream, which may be this one.
func (p *peers) send(ctx context.Context, node string, c *link.Call, patience time.Duration) (*link.Answer, error) {
	if node == p.node.settings.Load().Node.ID {
		c.Local = true
		return p.node.intake.Handle(ctx, c), nil
	}
	peer := p.peerFor(node)
	if peer == nil {
		return nil, link.ErrNotSent
	}
	return peer.Call(ctx, c, patience)
}

// peerFor returns the connection to a host of the table, or nil.
func (p *peers) peerFor(node string) *link.Peer {
	h, ok := p.node.table.Get(node)
	if !ok {
		return nil
	}
	return p.ensurePeer(h)
}

// ensurePeer returns the connection to a host and creates it if there is none or the
// address has changed.
func (p *peers) ensurePeer(h fleet.Host) *link.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	old := p.peers[h.Node]
	if old != nil && old.Address() == h.PeerAddress {
		return old
	}
	if old != nil {
		go old.Close()
	}
	peer := link.NewPeer(p.self(), h.Node, h.PeerAddress, link.Events{Up: p.peerUp, Down: p.peerDown, StateUpdate: p.handleNews})
	p.peers[h.Node] = peer
	return peer
}

// reachable reports whether the newest attempt to reach a node succeeded.
func (p *peers) reachable(node string) bool {
	if node == p.node.settings.Load().Node.ID {
		return true
	}
	p.mu.Lock()
	peer := p.peers[node]
	p.mu.Unlock()
	if peer == nil {
		return true
	}
	open, failed := peer.Connected()
	return open || !failed
}

// isFullMesh reports whether the fleet is small, so that every node connects to every other
// one.
func (p *peers) isFullMesh() bool {
	return p.node.table.Len() <= maxFullMeshHosts && time.Since(p.node.started) > startupPeriod
}

// openPeer returns the connection to a node if it is open, or nil.
func (p *peers) openPeer(node string) *link.Peer {
	p.mu.Lock()
	peer := p.peers[node]
	p.mu.Unlock()
	if peer == nil {
		return nil
	}
	if open, _ := peer.Connected(); !open {
		return nil
	}
	return peer
}

func (p *peers) allPeers() []*link.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*link.Peer, 0, len(p.peers))
	for _, peer := range p.peers {
		all = append(all, peer)
	}
	return all
}

// deliver sends a state update to the nodes that broadcast sends it to over a connection of this
// node, and returns a channel that receives whether one of them has handled it before ctx ends.
func (p *peers) deliver(ctx context.Context, n *link.StateUpdate) <-chan bool {
	to := p.allPeers()
	if !p.isFullMesh() {
		to = slices.DeleteFunc(to, func(peer *link.Peer) bool { return !p.tree.isContact(peer.Node()) })
	}
	handled := make(chan bool, len(to)+1)
	var all sync.WaitGroup
	for _, peer := range to {
		all.Go(func() {
			if peer.Deliver(ctx, n) {
				handled <- true
			}
		})
	}
	go func() {
		all.Wait()
		handled <- false
	}()
	return handled
}

// peerUp handles a connection of this node that has opened.
func (p *peers) peerUp(node string) {
	p.mu.Lock()
	delete(p.lostAt, node)
	peer := p.peers[node]
	p.mu.Unlock()
	p.node.log.Emit(event.PeerConnected, event.F("peer", node))
	if peer != nil {
		peer.SendStateUpdate(p.greeting(node))
	}
}

// callerConnected handles a connection from another node: that node is alive, so a lost
// connection to it is retried at once.
func (p *peers) callerConnected(node string) {
	p.mu.Lock()
	peer := p.peers[node]
	p.mu.Unlock()
	if peer != nil {
		peer.RedialNow()
	}
}

// peerDown handles a connection of this node that has ended.
func (p *peers) peerDown(node string, err error) {
	p.mu.Lock()
	p.lostAt[node] = time.Now()
	p.mu.Unlock()
	p.node.log.Emit(event.PeerDisconnected, event.F("peer", node), event.F("error", err))
}

// callerLost handles the end of a connection from another node, and of the listener, for
// which node is empty.
func (p *peers) callerLost(node string, err error) {
	if node == "" {
		p.node.log.Emit(event.ListenerFailed, event.F("error", err))
		return
	}
	p.node.log.Emit(event.InboundPeerDisconnected, event.F("peer", node), event.F("error", err))
}

// unreachableFor returns the hosts that could not be reached for at least d.
func (p *peers) unreachableFor(d time.Duration) []string {
	var lost []string
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for node, peer := range p.peers {
		open, failed := peer.Connected()
		if open || !failed {
			delete(p.lostAt, node)
			continue
		}
		if _, ok := p.lostAt[node]; !ok {
			p.lostAt[node] = now
		}
		if now.Sub(p.lostAt[node]) >= d {
			lost = append(lost, node)
		}
	}
	return lost
}

func (p *peers) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, peer := range p.allPeers() {
		peer.Close()
	}
	p.monitor.Close()
}
