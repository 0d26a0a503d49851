package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// meshSize is the number of hosts up to which every node connects to every
	// other one. In larger fleets every node connects to its contacts and to those it
	// calls.
	meshSize = 32
	// settled is how long after its start a node takes its fleet for a small one: by
	// then it has heard of all hosts.
	settled = 1500 * time.Millisecond
	// unusedAfter is how long a connection in a larger fleet is kept without calls. A
	// node calls each upstream of its subset every some seconds.
	unusedAfter = time.Minute
	// seekAfter is how long the first node of a data centre does without a host that
	// should follow it, before it looks for the host itself.
	seekAfter = 4 * time.Second
	// pullWait is how long a node that hears of a newer configuration from another
	// data centre waits for its own lead before it asks.
	pullWait = 700 * time.Millisecond
	// pullAgain is how long it waits for the answer before it asks another peer.
	pullAgain = 600 * time.Millisecond
)

// peers holds the connections to other nodes.
type peers struct {
	node   *Node
	server *link.Server
	pulse  *link.Pulse
	tree   *tree
	// changed tells that the table has changed since the last follow.
	changed atomic.Bool

	mu     sync.Mutex
	peers  map[string]*link.Peer
	closed bool
	lostAt map[string]time.Time
	// absent is since when hosts that should follow this node do not.
	absent  map[string]time.Time
	pulling time.Time
	// awaited is the newest version that another data centre has announced.
	awaited uint64
	// compressed is the configuration with a revision as peers are sent it.
	compressed         []byte
	compressedRevision uint64
}

func newPeers(n *Node) *peers {
	return &peers{
		node: n, pulse: link.NewPulse(), tree: newTree(n),
		peers: make(map[string]*link.Peer), lostAt: make(map[string]time.Time), absent: make(map[string]time.Time),
	}
}

func (p *peers) self() link.Identity {
	// Not the record's incarnation, which may grow while calls are open.
	return link.Identity{
		Node: p.node.settings.Load().Node.ID, Incarnation: func() int64 { return p.node.process },
		Pulse: p.pulse, Credentials: p.node.credentials, Uplink: p.node.uplink, Answers: p.node.answers,
		Panicked: p.node.panicked,
		Waited:   func(d time.Duration) { p.node.observer.linkWaits.Observe(d.Seconds()) },
	}
}

func (p *peers) listen(address string) error {
	p.server = &link.Server{
		Self: p.self(),
		Handle: func(ctx context.Context, _ string, c *link.Call) *link.Answer {
			return p.node.intake.Handle(ctx, c)
		},
		Stale:  staleAnswer,
		Events: link.Events{Up: p.called, Down: p.callerLost, News: p.news},
	}
	return p.server.Listen(address)
}

// send runs a call on the node of an upstream, which may be this one.
func (p *peers) send(ctx context.Context, node string, c *link.Call, patience time.Duration) (*link.Answer, error) {
	if node == p.node.settings.Load().Node.ID {
		c.Local = true
		return p.node.intake.Handle(ctx, c), nil
	}
	peer := p.get(node)
	if peer == nil {
		return nil, link.ErrNotSent
	}
	return peer.Call(ctx, c, patience)
}

// get returns the connection to a host of the table, or nil.
func (p *peers) get(node string) *link.Peer {
	h, ok := p.node.table.Get(node)
	if !ok {
		return nil
	}
	return p.ensure(h)
}

func (p *peers) ensure(h fleet.Host) *link.Peer {
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
	peer := link.NewPeer(p.self(), h.Node, h.PeerAddress, link.Events{Up: p.up, Down: p.down, News: p.news})
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

// isSmall reports whether every node connects to every other one.
func (p *peers) isSmall() bool {
	return p.node.table.Len() <= meshSize && time.Since(p.node.started) > settled
}

// open returns the connection to a node if it is open.
func (p *peers) open(node string) *link.Peer {
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

func (p *peers) all() []*link.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*link.Peer, 0, len(p.peers))
	for _, peer := range p.peers {
		all = append(all, peer)
	}
	return all
}

// connected counts the nodes with an open connection.
func (p *peers) connected() int {
	n := 0
	for _, peer := range p.all() {
		if open, _ := peer.Connected(); open {
			n++
		}
	}
	return n
}

func (p *peers) up(node string) {
	p.mu.Lock()
	delete(p.lostAt, node)
	peer := p.peers[node]
	p.mu.Unlock()
	p.node.log.Emit(event.PeerUp, event.F("peer", node))
	if peer != nil {
		peer.SendNews(p.greeting(node))
	}
}

// called is told of a node that connected to this one: it lives, so a lost
// connection to it is tried again at once.
func (p *peers) called(node string) {
	p.mu.Lock()
	peer := p.peers[node]
	p.mu.Unlock()
	if peer != nil {
		peer.Hurry()
	}
}

func (p *peers) down(node string, err error) {
	p.mu.Lock()
	p.lostAt[node] = time.Now()
	p.mu.Unlock()
	p.node.log.Emit(event.PeerDown, event.F("peer", node), event.F("error", err))
}

// callerLost is told that the connection of a calling node ended, and of the end
// of the listener, for which node is empty.
func (p *peers) callerLost(node string, err error) {
	if node == "" {
		p.node.log.Emit(event.ListenerFailed, event.F("error", err))
		return
	}
	p.node.log.Emit(event.CallerLost, event.F("peer", node), event.F("error", err))
}

// lostFor returns the hosts that could not be reached for at least d.
func (p *peers) lostFor(d time.Duration) []string {
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
	for _, peer := range p.all() {
		peer.Close()
	}
	p.pulse.Close()
}
