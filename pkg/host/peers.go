package host

import (
	"context"
	"sync"
	"sync/atomic"
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

// follow connects to the hosts that this node has to reach and drops those that
// left the table.
func (p *peers) follow() {
	hosts := p.node.table.All()
	isSmall := p.isSmall()
	if isSmall {
		p.reachAll(hosts)
	} else {
		p.reachContacts(hosts)
	}
	known := make(map[string]bool, len(hosts))
	for i := range hosts {
		known[hosts[i].Node] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for node, peer := range p.peers {
		if !known[node] || !isSmall && !p.tree.isContact(node) && peer.Unused() > unusedAfter {
			go peer.Close()
			delete(p.peers, node)
			delete(p.lostAt, node)
		}
	}
}

// reachAll connects to all hosts.
func (p *peers) reachAll(hosts []fleet.Host) {
	self := p.node.settings.Load().Node.ID
	for _, h := range hosts {
		if h.Node != self && !h.Stopping && h.Upstream.State != fleet.StateGone {
			p.ensure(h)
		}
	}
}

// followSoon makes the next refollow connect to the hosts of the changed table.
func (p *peers) followSoon() { p.changed.Store(true) }

// refollow connects to other hosts where the table has changed, and to other contacts
// where one is not reached.
func (p *peers) refollow() {
	if p.changed.Swap(false) {
		p.follow()
		return
	}
	if p.isSmall() {
		return
	}
	for node := range p.tree.wantedContacts() {
		if p.open(node) == nil {
			p.reachContacts(p.node.table.All())
			return
		}
	}
}

// reachContacts connects to the contacts and asks new ones to be told everything.
func (p *peers) reachContacts(hosts []fleet.Host) {
	self := p.node.record.current()
	contacts := fleet.FindContacts(&self, hosts, p.reachable)
	added := p.tree.setContacts(contacts)
	for _, node := range append([]string{contacts.Hub}, contacts.Centres...) {
		if node != "" {
			p.get(node)
		}
	}
	for _, node := range added {
		if peer := p.open(node); peer != nil {
			peer.SendNews(p.greeting(node))
		}
	}
}

// seek connects to the hosts of the own data centre that have not followed this node
// for a while, to find out whether they live.
func (p *peers) seek() {
	now := time.Now()
	s := p.node.settings.Load()
	for _, h := range p.node.table.All() {
		if h.DataCentre != s.Node.DataCentre || h.Node == s.Node.ID {
			continue
		}
		follows := p.tree.follows(h.Node)
		p.mu.Lock()
		since, known := p.absent[h.Node]
		switch {
		case follows:
			delete(p.absent, h.Node)
		case !known:
			p.absent[h.Node] = now
		}
		p.mu.Unlock()
		if !follows && known && now.Sub(since) > seekAfter {
			p.ensure(h)
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

// broadcast sends news to every connected node, or in a large fleet to the neighbours
// in the tree.
func (p *peers) broadcast(n *link.News) {
	if !p.isSmall() {
		p.tree.send(n, "")
		return
	}
	for _, peer := range p.all() {
		peer.SendNews(n)
	}
}

// tell is broadcast for what came from a node, which in a large fleet goes on to the
// others only, and in a small one comes to them directly.
func (p *peers) tell(n *link.News, from string) {
	switch {
	case !p.isSmall():
		p.tree.send(n, from)
	case from == "":
		p.broadcast(n)
	}
}

func (p *peers) broadcastHost(h fleet.Host) { p.broadcast(&link.News{Hosts: []fleet.Host{h}}) }

// greeting is what a node is told when a connection opens.
func (p *peers) greeting(node string) *link.News {
	n := &link.News{ConfigVersion: p.node.Version(), Hosts: []fleet.Host{p.node.record.current()}}
	switch {
	case p.isSmall():
		n.Hosts = p.node.table.All()
	case p.tree.isContact(node):
		n.Follow = true
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

// news takes in what another node says beside calls.
func (p *peers) news(node string, n *link.News, reply func(*link.News) bool) {
	isSmall := p.isSmall()
	stale := &link.News{}
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
	}
	p.node.learnFrom(node, n.Hosts)
	if len(stale.Removed) > 0 {
		reply(stale)
	}
	for _, r := range n.Removed {
		p.node.tellRemoval(fleet.Version(r), "peer "+node, node)
	}
	if len(n.Saved) > 0 {
		p.takeSaved(node, n.Saved)
	}
	if n.Lead != "" {
		p.takeLead(node, n)
	}
	for _, c := range n.Crashes {
		p.takeCrash(node, c)
	}
	p.takeTree(node, n, reply)
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
	case n.Lead != "" || p.node.Version() == 0 || !isSmall:
		p.pull(n.ConfigVersion, reply)
	case p.node.lead.leads():
		p.awaitVersion(n.ConfigVersion)
	}
}

// takeSaved takes in that the store has records.
func (p *peers) takeSaved(from string, versions []fleet.Version) {
	p.node.record.takeSaved(versions)
	if news := p.tree.newSaved(versions); len(news) > 0 {
		p.tell(&link.News{Saved: news}, from)
	}
}

// takeLead takes in that a node reads the store.
func (p *peers) takeLead(from string, n *link.News) {
	if n.Lead == rankOf(p.node.settings.Load()) || !p.isSmall() && !p.tree.isNew(from, n) {
		return
	}
	p.node.lead.cover.Announced(time.Now(), n.Lead)
}

// takeCrash takes in that a request ran when an upstream crashed.
func (p *peers) takeCrash(from string, c link.Crash) {
	isNew := p.node.suspect(c.Fingerprint, suspect.Life{UpstreamID: c.UpstreamID, Born: c.Born})
	if isNew && !p.isSmall() {
		p.tree.send(&link.News{Crashes: []link.Crash{c}}, from)
	}
}

// takeTree takes in what keeps the tables of a large fleet equal.
func (p *peers) takeTree(from string, n *link.News, reply func(*link.News) bool) {
	if n.Follow {
		p.tree.follow(from, reply)
	}
	if n.WantHosts {
		reply(p.tree.table())
	}
	if n.Digest != nil && (p.isSmall() || p.tree.isContact(from)) && p.tree.compare(*n.Digest) {
		reply(&link.News{WantHosts: true})
	}
	if len(n.Table) == 0 {
		return
	}
	missing, err := p.tree.takeTable(from, n.Table)
	if err != nil {
		p.node.log.Emit(event.PeerUnreadable, event.F("peer", from), event.F("error", err))
		return
	}
	if len(missing.Hosts)+len(missing.Removed) > 0 {
		reply(missing)
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
func (p *peers) pull(version uint64, reply func(*link.News) bool) {
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
