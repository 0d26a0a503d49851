package host

import (
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// relayPause lets records that come shortly after each other go on in one message.
	relayPause = 100 * time.Millisecond
	// unlikeFor is how long the tables of a node and its hub differ before the node asks
	// for the whole one. Changes on their way take some relayPauses.
	unlikeFor = 4 * time.Second
	// maxAnnouncers bounds the nodes whose newest announcement is remembered, far above
	// those that lead within a minute.
	maxAnnouncers = 1024
)

// tree is the way of what nodes of a large fleet tell each other beside calls: along
// the connections to their contacts (fleet.FindContacts), in both directions.
type tree struct {
	node *Node
	// run names this process in its announcements.
	run int64

	mu       sync.Mutex
	contacts fleet.Contacts
	// wanted are the contacts by name.
	wanted map[string]bool
	// followers are the nodes that have this one as a contact.
	followers map[string]func(*link.News) bool
	number    uint64
	// silences are those of contacts, and of nodes that were passed over.
	silences map[string]*fleet.Silence
	// heard are the newest announcements by rank.
	heard map[string]announcement
	// unlike is since when the table differs from that of a contact.
	unlike time.Time
	// relayed waits to be told to others than those it came from.
	relayed map[string]relay
	timer   *time.Timer
	// saved is the newest word that the store has a record, by host.
	saved map[string]fleet.Version
}

// announcement tells announcements of one lead apart.
type announcement struct {
	run    int64
	number uint64
}

// relay is a record that goes on to all but the node it came from.
type relay struct {
	host fleet.Host
	from string
}

func newTree(n *Node) *tree {
	t := &tree{
		node: n, run: n.process,
		wanted:    make(map[string]bool),
		followers: make(map[string]func(*link.News) bool),
		heard:     make(map[string]announcement),
		silences:  make(map[string]*fleet.Silence),
		relayed:   make(map[string]relay),
		saved:     make(map[string]fleet.Version),
	}
	t.timer = time.AfterFunc(time.Hour, func() { _ = guard.Run("relay", n.panicked, t.flush) }) // it was reported
	return t
}

// setContacts takes in the contacts and returns those that are new.
func (t *tree) setContacts(c fleet.Contacts) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.wanted
	t.contacts, t.wanted = c, make(map[string]bool)
	var added []string
	for _, node := range append([]string{c.Hub}, c.Centres...) {
		if node == "" {
			continue
		}
		t.wanted[node] = true
		if !before[node] {
			added = append(added, node)
		}
	}
	return added
}

// wantedContacts returns the contacts by name. The map must not be changed.
func (t *tree) wantedContacts() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wanted
}

// isContact reports whether a node is a contact of this one.
func (t *tree) isContact(node string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wanted[node]
}

// look takes in when a contact was heard. It reports whether to ask it for a sign of life
// and whether it is passed over.
func (t *tree) look(node string, now, heard time.Time) (ask, passed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.silences[node]
	if s == nil {
		s = &fleet.Silence{}
		t.silences[node] = s
	}
	ask = s.Look(now, heard)
	return ask, s.IsPassed(heard)
}

// isPassed reports whether a node that was heard last at a time is passed over.
func (t *tree) isPassed(node string, heard time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.silences[node]
	return s != nil && s.IsPassed(heard)
}

// passedOver returns the nodes that were contacts and are none now.
func (t *tree) passedOver() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for node := range t.silences {
		if !t.wanted[node] {
			list = append(list, node)
		}
	}
	return list
}

// forgetSilence lets a node be a contact again.
func (t *tree) forgetSilence(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.silences, node)
}

// isFirst reports whether this node is the first of its data centre.
func (t *tree) isFirst() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contacts.First
}

// follow notes a node that wants to be told everything, and tells it what there is.
func (t *tree) follow(node string, reply func(*link.News) bool) {
	t.mu.Lock()
	t.followers[node] = reply
	t.mu.Unlock()
	n := t.table()
	if lead, run, number := t.newest(); lead != "" {
		n.Lead, n.Run, n.Number = lead, run, number
	}
	reply(n)
}

// follows reports whether a node follows this one.
func (t *tree) follows(node string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.followers[node]
	return ok
}

// table is a message with all hosts.
func (t *tree) table() *link.News {
	n := &link.News{ConfigVersion: t.node.Version()}
	hosts := t.node.table.All()
	packed, err := link.PackHosts(hosts)
	if err != nil {
		t.node.log.Emit(event.TableNotSent, event.F("hosts", len(hosts)), event.F("error", err))
		return n
	}
	n.Table = packed
	return n
}

// newest returns the announcement that covers this node now.
func (t *tree) newest() (lead string, run int64, number uint64) {
	lead, at := t.node.lead.cover.Heard()
	t.mu.Lock()
	defer t.mu.Unlock()
	a, known := t.heard[lead]
	if !known || time.Since(at) > fleet.RelayedFor {
		return "", 0, 0
	}
	return lead, a.run, a.number
}

// send tells all neighbours but one.
func (t *tree) send(n *link.News, except string) {
	t.mu.Lock()
	followers := make(map[string]func(*link.News) bool, len(t.followers))
	for node, reply := range t.followers {
		followers[node] = reply
	}
	contacts := t.wanted
	t.mu.Unlock()
	for node := range contacts {
		if node != except {
			if peer := t.node.peers.open(node); peer != nil && peer.SendNews(n) {
				delete(followers, node)
			}
		}
	}
	for node, reply := range followers {
		if node != except && !reply(n) {
			t.unfollow(node, n)
		}
	}
}

// unfollow forgets a follower whose connection has ended, unless it has come back.
func (t *tree) unfollow(node string, n *link.News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reply, ok := t.followers[node]; ok && !reply(n) {
		delete(t.followers, node)
	}
}

// announce tells that this node reads the store.
func (t *tree) announce(rank string) {
	t.mu.Lock()
	t.number++
	n := t.number
	t.heard[rank] = announcement{t.run, n} // it may come back over another way
	t.mu.Unlock()
	t.send(t.announcement(rank, t.run, n), "")
}

func (t *tree) announcement(rank string, run int64, number uint64) *link.News {
	digest := t.node.table.Digest()
	return &link.News{Lead: rank, Run: run, Number: number, ConfigVersion: t.node.Version(), Digest: &digest}
}

// isNew reports whether an announcement was not heard yet, and passes it on.
func (t *tree) isNew(from string, n *link.News) bool {
	t.mu.Lock()
	last, known := t.heard[n.Lead]
	if known && last.run == n.Run && n.Number <= last.number {
		t.mu.Unlock()
		return false
	}
	if len(t.heard) >= maxAnnouncers {
		clear(t.heard)
	}
	t.heard[n.Lead] = announcement{n.Run, n.Number}
	t.mu.Unlock()
	t.send(t.announcement(n.Lead, n.Run, n.Number), from)
	return true
}

// newSaved returns what was not heard yet of records that the store has.
func (t *tree) newSaved(versions []fleet.Version) []fleet.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []fleet.Version
	for _, v := range versions {
		if last, ok := t.saved[v.Node]; !ok || v.After(last) {
			t.saved[v.Node] = v
			news = append(news, v)
		}
	}
	return news
}

// compare takes in the digest of a contact's table, and reports whether this node
// should ask for the table.
func (t *tree) compare(digest uint64) bool {
	own := t.node.table.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch {
	case digest == own:
		t.unlike = time.Time{}
	case t.unlike.IsZero():
		t.unlike = now
	case now.Sub(t.unlike) > unlikeFor:
		t.unlike = now
		return true
	}
	return false
}

// pass tells others of a record after a short pause.
func (t *tree) pass(h fleet.Host, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.relayed) == 0 {
		t.timer.Reset(relayPause)
	}
	t.relayed[h.Node] = relay{h, from}
}

// flush tells what was passed: in one message to all, but those that brought some of
// it are not told of that.
func (t *tree) flush() {
	t.mu.Lock()
	relayed := t.relayed
	t.relayed = make(map[string]relay)
	t.mu.Unlock()
	from := make(map[string][]fleet.Host)
	for _, r := range relayed {
		from[r.from] = append(from[r.from], r.host)
	}
	if len(from) == 1 {
		for node, hosts := range from {
			t.send(&link.News{Hosts: hosts}, node)
		}
		return
	}
	all := &link.News{}
	for _, hosts := range from {
		all.Hosts = append(all.Hosts, hosts...)
	}
	if len(all.Hosts) > 0 {
		t.send(all, "")
	}
}

// takeTable merges a table, passes on what is news, and returns what the sender does
// not know yet.
func (t *tree) takeTable(from string, packed []byte) (*link.News, error) {
	hosts, err := link.UnpackHosts(packed)
	if err != nil {
		return nil, err
	}
	theirs := make(map[string]fleet.Host, len(hosts))
	for _, h := range hosts {
		theirs[h.Node] = h
	}
	t.node.learnFrom(from, hosts)
	t.node.record.learned.done() // of this host the sender knows nothing else
	missing := &link.News{}
	for _, h := range t.node.table.All() {
		if known, ok := theirs[h.Node]; !ok || h.IsNewer(&known) {
			missing.Hosts = append(missing.Hosts, h)
		}
	}
	for _, h := range hosts {
		if r, removed := t.node.table.Removed(h); removed {
			missing.Removed = append(missing.Removed, r)
		}
	}
	return missing, nil
}
