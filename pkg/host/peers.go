package host

import (
	"context"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/pack"
	"github.com/tarragondrum/tarragondrum/pkg/suspect"
)

const (
	// meshSize is the number of hosts up to which every node connects to every
	// other one. In larger fleets a lead connects to the nodes of its data centre,
	// and every node to those it calls.
	meshSize = 32
	// unusedAfter is how long a connection in a larger fleet is kept without calls.
	unusedAfter = 15 * time.Second
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

	mu      sync.Mutex
	peers   map[string]*link.Peer
	closed  bool
	lostAt  map[string]time.Time
	pulling time.Time
	// awaited is the newest version that another data centre has announced.
	awaited uint64
	// compressed is the configuration with a revision as peers are sent it.
	compressed         []byte
	compressedRevision uint64
}

func newPeers(n *Node) *peers {
	return &peers{node: n, pulse: link.NewPulse(), peers: make(map[string]*link.Peer), lostAt: make(map[string]time.Time)}
}

func (p *peers) self() link.Identity {
	// Not the record's incarnation, which may grow while calls are open.
	return link.Identity{
		Node: p.node.settings.Load().Node.ID, Incarnation: func() int64 { return p.node.process },
		Pulse: p.pulse, Credentials: p.node.credentials, Uplink: p.node.uplink, Answers: p.node.answers,
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

// follow connects to the hosts that this node has to reach and drops those that
// left the table.
func (p *peers) follow() {
	hosts := p.node.table.All()
	s := p.node.settings.Load()
	isSmall, isLead := len(hosts) <= meshSize, p.node.lead.leads()
	known := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		known[h.Node] = true
		wanted := isSmall || isLead && h.DataCentre == s.Node.DataCentre
		if wanted && h.Node != s.Node.ID && !h.Stopping && h.Upstream.State != fleet.StateGone {
			p.ensure(h)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for node, peer := range p.peers {
		if !known[node] || !isSmall && !isLead && peer.Unused() > unusedAfter {
			go peer.Close()
			delete(p.peers, node)
			delete(p.lostAt, node)
		}
	}
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

// broadcast sends news to every connected node.
func (p *peers) broadcast(n *link.News) {
	for _, peer := range p.all() {
		peer.SendNews(n)
	}
	if p.server != nil && p.node.table.Len() > meshSize {
		// Those that call this node, its lead among them, may not be called by it.
		p.server.SendNews(n)
	}
}

// broadcastCovered sends news to the connected nodes that a lead covers: those of
// its data centre, and all in a fleet in which every node reaches every other one.
func (p *peers) broadcastCovered(n *link.News) {
	own := p.node.settings.Load().Node.DataCentre
	hosts := p.node.table.All()
	isSmall := len(hosts) <= meshSize
	for _, h := range hosts {
		if h.DataCentre != own && !isSmall {
			continue
		}
		p.mu.Lock()
		peer := p.peers[h.Node]
		p.mu.Unlock()
		if peer != nil {
			peer.SendNews(n)
		}
	}
}

func (p *peers) broadcastHost(h fleet.Host) { p.broadcast(&link.News{Hosts: []fleet.Host{h}}) }

// greeting is what a node is told when a connection opens.
func (p *peers) greeting() *link.News {
	n := &link.News{ConfigVersion: p.node.Version(), Hosts: []fleet.Host{p.node.record.current()}}
	if p.node.table.Len() <= meshSize {
		n.Hosts = p.node.table.All()
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
		peer.SendNews(p.greeting())
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

// news takes in what another node says beside calls.
func (p *peers) news(node string, n *link.News, reply func(*link.News)) {
	forward, stale := &link.News{}, &link.News{}
	for _, h := range n.Hosts {
		if r, ok := p.node.table.Removed(h); ok {
			// The sender missed it; if it is the host itself, it comes back with a change.
			stale.Removed = append(stale.Removed, r)
			continue
		}
		if old, ok := p.node.table.Get(h.Node); ok && h.Node == node && fleet.Supersedes(old.Upstream, h.Upstream) {
			// Its former process had heard more of the upstream.
			reply(&link.News{Hosts: []fleet.Host{old}})
		}
		if p.node.merge(h, "peer "+node) {
			forward.Hosts = append(forward.Hosts, h)
		}
	}
	if len(stale.Removed) > 0 {
		reply(stale)
	}
	if len(forward.Hosts) > 0 && p.node.lead.leads() && p.node.table.Len() > meshSize {
		p.broadcastCovered(forward)
	}
	for _, r := range n.Removed {
		p.node.remove(r, "peer "+node)
	}
	if n.Lead != "" {
		p.node.lead.cover.Announced(time.Now(), n.Lead)
	}
	for _, c := range n.Crashes {
		p.node.suspect(c.Fingerprint, suspect.Life{UpstreamID: c.UpstreamID, Born: c.Born})
	}
	if len(n.Config) > 0 {
		raw, err := pack.Unpack(n.Config)
		if err != nil {
			p.node.refuseConfig(n.ConfigRevision, "peer "+node, err)
			return
		}
		p.node.applyConfig(raw, n.ConfigRevision, "peer "+node)
		return
	}
	if n.WantNewer != nil {
		if s := p.node.config.Current(); s != nil && s.Version > *n.WantNewer {
			reply(&link.News{ConfigVersion: s.Version, ConfigRevision: s.Revision, Config: p.packed(s)})
		}
	}
	switch {
	case n.ConfigVersion <= p.node.Version():
	case n.Lead != "" || p.node.Version() == 0:
		p.pull(n.ConfigVersion, reply)
	case p.node.lead.leads():
		p.awaitVersion(n.ConfigVersion)
	}
}

// packed returns the compressed document of a configuration.
func (p *peers) packed(s *meshconf.Snapshot) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.compressedRevision != s.Revision {
		p.compressed, p.compressedRevision = pack.Pack(s.Raw), s.Revision
	}
	return p.compressed
}

// pull asks a peer for a configuration that the store has not brought, unless one
// was asked just now. Leads announce a version again until this node has it.
func (p *peers) pull(version uint64, reply func(*link.News)) {
	own := p.node.Version()
	if own >= version {
		return
	}
	p.mu.Lock()
	again := time.Since(p.pulling) < pullAgain
	if !again {
		p.pulling = time.Now()
	}
	p.mu.Unlock()
	if !again {
		reply(&link.News{WantNewer: &own})
	}
}

// awaitVersion gives the store time to bring a version that another data centre
// has, and then asks for it. One version is awaited at a time: whoever is asked
// sends the newest.
func (p *peers) awaitVersion(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awaited >= version {
		return
	}
	p.awaited = version
	time.AfterFunc(pullWait, func() { p.pullFromAny(version) })
}

// pullFromAny asks connected nodes, one after another, until this node has a
// version or hears a lead.
func (p *peers) pullFromAny(version uint64) {
	if p.node.Version() >= version || !p.node.lead.leads() || p.node.stopping.Load() {
		return
	}
	for _, peer := range p.all() { // in the random order of a map
		if open, _ := peer.Connected(); open {
			p.pull(version, peer.SendNews)
			break
		}
	}
	time.AfterFunc(pullAgain, func() { p.pullFromAny(version) })
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
