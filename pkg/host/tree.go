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
	// relayDelay collects records that arrive shortly after each other into one message.
	relayDelay = 100 * time.Millisecond
	// digestMismatchTimeout is how long the table digests of a node and its hub differ
	// before the node requests the whole table. A change in transit takes a few
	// relayDelays.
	digestMismatchTimeout = 4 * time.Second
	// maxAnnouncers bounds the nodes whose newest announcement is stored. Far fewer nodes
	// lead within a minute.
	maxAnnouncers = 1024
)

// tree relays messages other than calls (records, announcements, removals, crashes) between
// the nodes of a large fleet. They travel in both directions along the connections to the
// contacts that fleet.FindContacts selects.
type tree struct {
	node *Node
	// process identifies this process in its announcements.
	process int64

	mu       sync.Mutex
	contacts fleet.Contacts
	// contactSet holds the names of the contacts. It is replaced, never changed.
	contactSet map[string]bool
	// followers maps each node that has this one as a contact to the function that sends to
	// it.
	followers map[string]func(*link.StateUpdate) bool
	// sequence numbers the announcements of this process.
	sequence uint64
	// silences tracks how long current and excluded contacts have been silent.
	silences map[string]*fleet.SilenceDetector
	// lastAnnouncements holds the newest announcement of each lead by its rank.
	lastAnnouncements map[string]announcement
	// digestDiffersSince is when the table began to differ from a contact's, or zero.
	digestDiffersSince time.Time
	// pendingRelays holds the records that the next flush sends on, by host.
	pendingRelays map[string]relay
	// relayTimer calls flushRelays.
	relayTimer *time.Timer
	// savedVersions is the newest version of each host's record known to be in the store.
	savedVersions map[string]fleet.Version
}

// announcement identifies one announcement of a lead.
type announcement struct {
	process  int64
	sequence uint64
}

// relay is a record to be sent on to all neighbours but the one it came from.
type relay struct {
	host fleet.Host
	from string
}

// newTree returns a tree without contacts and followers.
func newTree(n *Node) *tree {
	t := &tree{
		node: n, process: n.processID,
		contactSet:        make(map[string]bool),
		followers:         make(map[string]func(*link.StateUpdate) bool),
		lastAnnouncements: make(map[string]announcement),
		silences:          make(map[string]*fleet.SilenceDetector),
		pendingRelays:     make(map[string]relay),
		savedVersions:     make(map[string]fleet.Version),
	}
	// The error is ignored: guard.Run has reported the panic.
	t.relayTimer = time.AfterFunc(time.Hour, func() { _ = guard.Run("relay", n.panicked, t.flushRelays) })
	return t
}

// setContacts replaces the contacts and returns those that were not contacts before.
func (t *tree) setContacts(c fleet.Contacts) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.contactSet
	t.contacts, t.contactSet = c, make(map[string]bool)
	var added []string
	for _, node := range append([]string{c.Hub}, c.RemoteHubs...) {
		if node == "" {
			continue
		}
		t.contactSet[node] = true
		if !before[node] {
			added = append(added, node)
		}
	}
	return added
}

// currentContacts returns the names of the contacts. The map must not be changed.
func (t *tree) currentContacts() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contactSet
}

// isContact reports whether a node is a contact of this one.
func (t *tree) isContact(node string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contactSet[node]
}

// checkSilence records when a contact was last heard. It reports whether to send it a probe
// and whether it is excluded as unresponsive.
func (t *tree) checkSilence(node string, now, heard time.Time) (probe, excluded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.silences[node]
	if s == nil {
		s = &fleet.SilenceDetector{}
		t.silences[node] = s
	}
	probe = s.Check(now, heard)
	return probe, s.IsExcluded(heard)
}

// isExcluded reports whether a node that was last heard at the given time is excluded as
// unresponsive.
func (t *tree) isExcluded(node string, heard time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.silences[node]
	return s != nil && s.IsExcluded(heard)
}

// excludedNodes returns the nodes whose silence is tracked and that are not contacts now.
func (t *tree) excludedNodes() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for node := range t.silences {
		if !t.contactSet[node] {
			list = append(list, node)
		}
	}
	return list
}

// clearSilence makes a node eligible as a contact again.
func (t *tree) clearSilence(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.silences, node)
}

// isFirst reports whether this node is the first one of its data centre.
func (t *tree) isFirst() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contacts.IsFirst
}

// addFollower registers a node that subscribes to all state updates, and sends it the whole table
// and the current announcement.
func (t *tree) addFollower(node string, reply func(*link.StateUpdate) bool) {
	t.mu.Lock()
	t.followers[node] = reply
	t.mu.Unlock()
	n := t.tableMessage()
	if lead, run, number := t.currentAnnouncement(); lead != "" {
		n.LeadRank, n.LeadRun, n.LeadSequence = lead, run, number
	}
	reply(n)
}

// hasFollower reports whether a node follows this one.
func (t *tree) hasFollower(node string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.followers[node]
	return ok
}

// tableMessage returns a message with the records of all hosts.
func (t *tree) tableMessage() *link.StateUpdate {
	n := t.node.versionUpdate()
	n.Rollouts = t.node.rollouts.messages()
	n.Crashes = t.node.knownCrashes()
	hosts := t.node.table.All()
	packed, err := link.PackHosts(hosts)
	if err != nil {
		t.node.log.Emit(event.HostTableNotEncoded, event.F("hosts", len(hosts)), event.F("error", err))
		return n
	}
	n.HostTable, n.Removed = packed, t.node.table.AllDepartures()
	return n
}

// currentAnnouncement returns the announcement that covers this node now, or an empty lead
// if there is none.
func (t *tree) currentAnnouncement() (lead string, run int64, number uint64) {
	lead, at := t.node.lead.election.LastAnnouncement()
	t.mu.Lock()
	defer t.mu.Unlock()
	a, known := t.lastAnnouncements[lead]
	if !known || time.Since(at) > fleet.RelayedAnnouncementValidity {
		return "", 0, 0
	}
	return lead, a.process, a.sequence
}

// send sends a message to all contacts and followers but one. A node that is both receives
// it once.
func (t *tree) send(n *link.StateUpdate, except string) {
	t.mu.Lock()
	followers := make(map[string]func(*link.StateUpdate) bool, len(t.followers))
	for node, reply := range t.followers {
		followers[node] = reply
	}
	contacts := t.contactSet
	t.mu.Unlock()
	for node := range contacts {
		if node != except {
			if peer := t.node.peers.openPeer(node); peer != nil && peer.SendStateUpdate(n) {
				delete(followers, node)
			}
		}
	}
	for node, reply := range followers {
		if node != except && !reply(n) {
			t.removeFollower(node, n)
		}
	}
}

// removeFollower removes a follower whose connection has ended, unless it has reconnected.
func (t *tree) removeFollower(node string, n *link.StateUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reply, ok := t.followers[node]; ok && !reply(n) {
		delete(t.followers, node)
	}
}

// announce tells all neighbours that this node reads the store.
func (t *tree) announce(rank string) {
	t.mu.Lock()
	t.sequence++
	n := t.sequence
	t.lastAnnouncements[rank] = announcement{t.process, n} // it may return by another route
	t.mu.Unlock()
	t.send(t.announcementMessage(&link.StateUpdate{
		LeadRank: rank, LeadRun: t.process, LeadSequence: n, StoreEpoch: t.node.store().Epoch(),
	}), "")
}

// announcementMessage returns an announcement of a lead with the version and the digest of
// this node, which its neighbours compare with theirs.
func (t *tree) announcementMessage(of *link.StateUpdate) *link.StateUpdate {
	digest := t.node.table.Digest()
	n := t.node.versionUpdate()
	n.LeadRank, n.LeadRun, n.LeadSequence, n.StoreEpoch = of.LeadRank, of.LeadRun, of.LeadSequence, of.StoreEpoch
	n.HostsDigest = &digest
	return n
}

// forwardIfNew reports whether an announcement is newer than the last one of its lead, and
// sends it on to all neighbours but the sender if so.
func (t *tree) forwardIfNew(from string, n *link.StateUpdate) bool {
	t.mu.Lock()
	last, known := t.lastAnnouncements[n.LeadRank]
	if known && last.process == n.LeadRun && n.LeadSequence <= last.sequence {
		t.mu.Unlock()
		return false
	}
	if len(t.lastAnnouncements) >= maxAnnouncers {
		clear(t.lastAnnouncements)
	}
	t.lastAnnouncements[n.LeadRank] = announcement{n.LeadRun, n.LeadSequence}
	t.mu.Unlock()
	t.send(t.announcementMessage(n), from)
	return true
}

// forgetSaved discards what is known to be in the store.
func (t *tree) forgetSaved() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.savedVersions)
}

// recordSaved records the versions that the store has and returns those that are newer than
// the known ones.
func (t *tree) recordSaved(versions []fleet.Version) []fleet.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []fleet.Version
	for _, v := range versions {
		if last, ok := t.savedVersions[v.Node]; !ok || v.After(last) {
			t.savedVersions[v.Node] = v
			news = append(news, v)
		}
	}
	return news
}

// checkDigest compares the digest of a contact's table with the own one. It reports whether
// this node should request the table, since they have differed for digestMismatchTimeout.
func (t *tree) checkDigest(digest uint64) bool {
	own := t.node.table.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch {
	case digest == own:
		t.digestDiffersSince = time.Time{}
	case t.digestDiffersSince.IsZero():
		t.digestDiffersSince = now
	case now.Sub(t.digestDiffersSince) > digestMismatchTimeout:
		t.digestDiffersSince = now
		return true
	}
	return false
}

// queueRelay queues a record for the next flush and starts the timer if the queue was
// empty.
func (t *tree) queueRelay(h fleet.Host, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pendingRelays) == 0 {
		t.relayTimer.Reset(relayDelay)
	}
	t.pendingRelays[h.Node] = relay{h, from}
}

// flushRelays sends the queued records. If all came from one node, that node is left out;
// otherwise all neighbours receive one message with everything.
func (t *tree) flushRelays() {
	t.mu.Lock()
	relayed := t.pendingRelays
	t.pendingRelays = make(map[string]relay)
	t.mu.Unlock()
	from := make(map[string][]fleet.Host)
	for _, r := range relayed {
		from[r.from] = append(from[r.from], r.host)
	}
	if len(from) == 1 {
		for node, hosts := range from {
			t.send(&link.StateUpdate{Hosts: hosts}, node)
		}
		return
	}
	all := &link.StateUpdate{}
	for _, hosts := range from {
		all.Hosts = append(all.Hosts, hosts...)
	}
	if len(all.Hosts) > 0 {
		t.send(all, "")
	}
}

// mergeTable merges a received table, relays the records that are new, and returns the
// records and removals that the sender lacks.
func (t *tree) mergeTable(from string, packed []byte) (*link.StateUpdate, error) {
	hosts, err := link.UnpackHosts(packed)
	if err != nil {
		return nil, err
	}
	theirs := make(map[string]fleet.Host, len(hosts))
	for _, h := range hosts {
		theirs[h.Node] = h
	}
	t.node.mergePeerHosts(from, hosts)
	t.node.record.learned.done() // the sender has nothing more about this host
	missing := &link.StateUpdate{}
	for _, h := range t.node.table.All() {
		known, ok := theirs[h.Node]
		if !ok || h.IsNewer(&known) || h.Upstream.IsLeavingOrGone() && fleet.Supersedes(h.Upstream, known.Upstream) {
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
