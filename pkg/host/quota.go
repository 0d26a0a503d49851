package host

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/boottime"
	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/guard"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/meshconf"
	"github.com/tarragondrum/tarragondrum/pkg/quota"
)

// quotas applies the limits of organisations on this node. It exchanges tokens with other nodes
// while the configuration in force has limits and the settings bound them.
type quotas struct {
	node  *Node
	watch *quotaObserver
	// clock also runs while the machine is suspended.
	clock func() time.Duration
	// knowsFleet is set once the table of hosts was seen to be complete.
	knowsFleet atomic.Bool
	// census counts the hosts, as of a generation of the table. Only tick uses them.
	census     quota.Census
	generation uint64

	mu sync.Mutex
	// engine is nil while there are no limits.
	engine *quota.Node
	// since is when this process started, or when its last engine was discarded.
	since time.Duration
	// config is the snapshot that the limits of engine come from, and bounds the settings.
	config  *meshconf.Snapshot
	bounds  quota.Settings
	hub     string
	waiters map[string][]*quotaWaiter
	// replies send to the nodes that have sent requests, as long as engine knows them.
	replies map[string]func(*link.StateUpdate) bool
	// flush sends further requests for tokens. It is scheduled if flushSet is set.
	flush    *time.Timer
	flushSet bool
}

func newQuotas(n *Node) *quotas {
	q := &quotas{
		node: n, watch: newQuotaObserver(n.registry, n.log), clock: boottime.Now,
		waiters: make(map[string][]*quotaWaiter), replies: make(map[string]func(*link.StateUpdate) bool),
	}
	q.since = q.clock()
	// The error is ignored: guard.Run has reported the panic.
	q.flush = time.AfterFunc(time.Hour, func() { _ = guard.Run("quota", n.panicked, q.flushNow) })
	q.flush.Stop()
	return q
}

// run exchanges tokens every quota.TickInterval while there are limits.
func (q *quotas) run(ctx context.Context) {
	// Ticks of the nodes are spread, so that a hub does not get all requests at once.
	sleep(ctx, rand.N(quota.TickInterval))
	for ctx.Err() == nil {
		q.tick()
		sleep(ctx, quota.TickInterval)
	}
}

// settings returns the bounds of the limits.
func (q *quotas) settings() quota.Settings {
	b := q.node.settings.Load().Bounds
	return quota.Settings{Window: time.Duration(b.QuotaWindowS * float64(time.Second)), Excess: b.QuotaExcess, Slack: b.QuotaSlack}
}

// limitsOf returns the limits of a snapshot, nil if it has none or the settings do not bound
// them.
func (q *quotas) limitsOf(s *meshconf.Snapshot) map[string]quota.Limit {
	if s == nil || q.node.settings.Load().Bounds.QuotaWindowS <= 0 {
		return nil
	}
	var limits map[string]quota.Limit
	for i := range s.Organisations {
		if o := &s.Organisations[i]; o.RatePerS > 0 {
			if limits == nil {
				limits = make(map[string]quota.Limit)
			}
			limits[o.Name] = quota.Limit{RatePerS: o.RatePerS, Burst: o.Burst}
		}
	}
	return limits
}

// update applies the limits of the configuration in force. The caller holds mu.
func (q *quotas) update(now time.Duration) {
	s, bounds := q.node.config.Current(), q.settings()
	if s == q.config && bounds == q.bounds {
		return
	}
	if bounds != q.bounds {
		q.stop() // the sizes of all buckets and the validity of tokens change
	}
	q.config, q.bounds = s, bounds
	limits := q.limitsOf(s)
	if len(limits) == 0 {
		q.stop()
		return
	}
	if q.engine == nil {
		// The id differs from that of an engine that this process had before.
		q.engine = quota.NewNode(bounds, q.node.settings.Load().Node.ID, rand.Int64(), q.since, now)
	}
	q.engine.SetLimits(now, limits)
}

// stop discards all state when the last limit is gone. Waiting requests are no longer limited.
// The caller holds mu.
func (q *quotas) stop() {
	if q.engine != nil {
		q.since = q.clock()
	}
	q.engine = nil
	for _, list := range q.waiters {
		for _, v := range list {
			v.result <- quotaResult{ok: true}
		}
	}
	clear(q.waiters)
	clear(q.replies)
	q.watch.stopped()
}

// tick does what is due every quota.TickInterval.
func (q *quotas) tick() {
	env := q.environment()
	q.mu.Lock()
	now := q.clock()
	q.update(now)
	if q.engine == nil {
		events := q.watch.takeUnwritten()
		q.mu.Unlock()
		q.watch.write(events)
		return
	}
	list := q.engine.Tick(now, env)
	maps.DeleteFunc(q.replies, func(node string, _ func(*link.StateUpdate) bool) bool { return !q.engine.Knows(node) })
	if hub := hubName(q.node, env); hub != q.hub {
		q.watch.note(event.QuotaHubChanged, event.F("before", q.hub), event.F("hub", hub), event.F("hosts", env.Hosts))
		q.hub = hub
	}
	q.wakeAll(now)
	q.watch.tick(q.engine, env, now)
	q.schedule(now)
	events := q.watch.takeUnwritten()
	q.mu.Unlock()
	q.send(list)
	q.watch.write(events)
}

// hubName returns the name of the hub of an environment.
func hubName(n *Node, env quota.Environment) string {
	if env.Hub == "" {
		return n.settings.Load().Node.ID
	}
	return env.Hub
}

// environment returns what this node knows of its fleet now.
func (q *quotas) environment() quota.Environment {
	if q.limitsUnused() {
		return quota.Environment{}
	}
	contacts := q.contacts()
	env := quota.Environment{}
	if contacts.IsFirst {
		env.OtherHubs = contacts.RemoteHubs
	} else {
		env.Hub = contacts.Hub
	}
	if q.knowsFleet.Load() || q.node.lead.hasReadRosters() {
		q.knowsFleet.Store(true)
		env.Hosts = q.countHosts()
	}
	env.ProvenAt, env.Proven = q.provenAt()
	env.Stopping = q.node.stopping.Load()
	return env
}

// countHosts returns the number of hosts by which limits are divided.
func (q *quotas) countHosts() int {
	now := q.clock()
	// The generation is read first: a change in between is observed once more at the next tick.
	generation := q.node.table.Generation()
	if generation == q.generation {
		return q.census.Count(now)
	}
	q.generation = generation
	all := q.node.table.All()
	hosts := make([]quota.Host, 0, len(all))
	for i := range all {
		hosts = append(hosts, quota.Host{Name: all[i].Node, Stopping: all[i].Stopping})
	}
	return q.census.Observe(now, hosts)
}

// limitsUnused reports whether there are no limits and none were set since the last tick.
func (q *quotas) limitsUnused() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.engine == nil && q.config == q.node.config.Current() && q.bounds == q.settings()
}

// contacts returns the hub of the own data centre and those of the others. In a full mesh they
// are selected here, in a large fleet they are the contacts of the tree.
func (q *quotas) contacts() fleet.Contacts {
	p := q.node.peers
	if !p.isFullMesh() {
		p.tree.mu.Lock()
		defer p.tree.mu.Unlock()
		return p.tree.contacts
	}
	self := q.node.record.current()
	return fleet.FindContacts(&self, q.node.table.All(), p.isEligibleContact)
}

// hasReadRosters reports whether this node has read the rosters of all data centres.
func (l *lead) hasReadRosters() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.rostersReadAt.IsZero()
}

// handleUpdate processes requests and grants of another node.
func (q *quotas) handleUpdate(from string, n *link.StateUpdate, reply func(*link.StateUpdate) bool) {
	if n.HostsDigest != nil && !q.knowsFleet.Load() && *n.HostsDigest == q.node.table.Digest() {
		q.knowsFleet.Store(true)
	}
	if n.QuotaRequest == nil && n.QuotaGrant == nil {
		return
	}
	q.mu.Lock()
	now := q.clock()
	q.update(now)
	if q.engine == nil {
		q.mu.Unlock()
		return
	}
	if n.QuotaRequest != nil {
		q.replies[from] = reply
	}
	follow, organisations := q.engine.Receive(now, from, quota.Message{Request: n.QuotaRequest, Grant: n.QuotaGrant})
	for _, o := range organisations {
		q.wake(now, o)
	}
	q.schedule(now)
	q.mu.Unlock()
	q.send(follow)
}

// send sends messages to other nodes. A message that cannot be sent is lost: its tokens are not
// used by anyone.
func (q *quotas) send(list []quota.Message) {
	for _, m := range list {
		update := &link.StateUpdate{QuotaRequest: m.Request, QuotaGrant: m.Grant}
		sent := false
		if m.Grant != nil {
			q.mu.Lock()
			reply := q.replies[m.To]
			q.mu.Unlock()
			sent = reply != nil && reply(update)
		}
		if sent {
			continue
		}
		if peer := q.node.peers.openPeer(m.To); peer == nil || !peer.SendStateUpdate(update) {
			q.watch.unsent.Inc()
			q.mu.Lock()
			delete(q.replies, m.To)
			q.mu.Unlock()
		}
	}
}

// schedule makes flushNow run when further requests may be sent. The caller holds mu.
func (q *quotas) schedule(now time.Duration) {
	if d, due := q.engine.FlushDue(now); due && !q.flushSet {
		q.flushSet = true
		q.flush.Reset(d)
	}
}

// flushNow sends the requests that are due.
func (q *quotas) flushNow() {
	q.mu.Lock()
	q.flushSet = false
	if q.engine == nil {
		q.mu.Unlock()
		return
	}
	now := q.clock()
	list := q.engine.Flush(now)
	q.wakeAll(now)
	q.schedule(now)
	q.mu.Unlock()
	q.send(list)
}

// provenAt returns when the configuration in force was last known to be current: when this node
// reached the store, or heard a lead that did. Where revocation is strict, there are proofs.
func (q *quotas) provenAt() (time.Duration, bool) {
	if q.node.settings.Load().Bounds.StrictRevocation {
		now := q.clock()
		s := q.node.currency.status(q.node.config.Current())
		return now - s.Age, s.Proven
	}
	l := q.node.lead
	_, at := l.election.LastAnnouncement()
	l.mu.Lock()
	if l.storeAnsweredAt.After(at) {
		at = l.storeAnsweredAt
	}
	l.mu.Unlock()
	if at.IsZero() {
		return 0, false
	}
	return q.clock() - time.Since(at), true
}
