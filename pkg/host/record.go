package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
)

const (
	// storeAckTimeout is how long a heartbeat that says that the upstream leaves waits for
	// the store, so that a restarted node knows of it. The upstream waits for one second.
	storeAckTimeout = 700 * time.Millisecond
	// deliverAfter is how long it waits before it asks other nodes to confirm that they have
	// the change, and peerAckTimeout when it no longer waits for them. A fully loaded node
	// with a sixth of a core confirms within about 100 ms.
	deliverAfter   = 300 * time.Millisecond
	peerAckTimeout = 900 * time.Millisecond
	// learnTimeout is how long the first heartbeats wait for what the store knows of the
	// upstream.
	learnTimeout = 600 * time.Millisecond
	// retryMin and retryMax bound the pause after a call that the store refused or did not
	// answer.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
)

// record holds this host's own record. It applies the upstream's heartbeats, sends changes
// to peers and the store, and tracks which version the store has.
type record struct {
	node *Node

	mu   sync.Mutex
	host fleet.Host
	// saved is the newest version of the record that the store has.
	saved fleet.Version
	// changed is closed and replaced whenever saved or host changes.
	changed chan struct{}
	// learned is closed when the store or a peer has sent what is known of this host.
	learned once
	// firstBeat is the first heartbeat that arrived before learned was closed.
	firstBeat firstHeartbeat
	// dirty wakes saveLoop.
	dirty chan struct{}
}

// once is a channel that done closes. Calls of done after the first do nothing.
type once struct {
	closed chan struct{}
	first  *sync.Once
}

func newOnce() once { return once{closed: make(chan struct{}), first: new(sync.Once)} }

func (o *once) done() { o.first.Do(func() { close(o.closed) }) }

func newRecord(n *Node) *record {
	s := n.settings.Load()
	return &record{
		node: n,
		host: fleet.Host{
			Node: s.Node.ID, DataCentre: s.Node.DataCentre, Region: s.Node.Region, PeerAddress: s.PeerAddress(),
			Incarnation: time.Now().UnixMilli(), Size: fleet.Size(s.Node.CPUShare, s.Node.LinkMbps),
		},
		changed: make(chan struct{}),
		learned: newOnce(),
		dirty:   make(chan struct{}, 1),
	}
}

// current returns the record.
func (r *record) current() fleet.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host
}

func (r *record) incarnation() int64 { return r.current().Incarnation }

// update changes the record and sends it to all peers. The caller holds mu.
func (r *record) update(change func(h *fleet.Host)) {
	change(&r.host)
	r.host.Change++
	h := r.host
	r.node.table.Merge(h)
	r.node.intake.SetUpstream(h.Upstream)
	r.node.peers.broadcastHost(h)
	r.signal()
	r.markDirty()
}

// signal wakes the goroutines that wait for a change. The caller holds mu.
func (r *record) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Heartbeat implements platform.NodeHandler. It acknowledges that the upstream leaves only when a
// restarted node would learn of it from the store or a peer.
func (r *record) Heartbeat(ctx context.Context, b fleet.Heartbeat) error {
	r.waitLearned(ctx)
	r.mu.Lock()
	before := r.host.Upstream
	if before.State == fleet.StateNone && b.State == fleet.StateReady && !r.isLearned() && !r.firstBeat.confirms(time.Now(), b) {
		r.mu.Unlock()
		r.node.log.Emit(event.HeartbeatDeferred, event.F("upstream", b.ID), event.F("born", b.Born), event.F("sequence", b.Sequence))
		return nil
	}
	next, verdict := fleet.ApplyHeartbeat(before, b)
	switch verdict {
	case fleet.Stale:
		r.mu.Unlock()
		r.node.log.Emit(event.HeartbeatOutdated, event.F("upstream", b.ID), event.F("born", b.Born), event.F("sequence", b.Sequence),
			event.F("state", b.State), event.F("removed", b.Removed), event.F("known", before.ID), event.F("knownSequence", before.Sequence))
		return nil
	case fleet.Unchanged:
		r.host.Upstream = next
		version := r.host.Version()
		isSaved := !version.After(r.saved)
		r.mu.Unlock()
		if next.State != fleet.StateReady && !isSaved {
			return r.waitDurable(ctx, version)
		}
		return nil
	}
	r.update(func(h *fleet.Host) { h.Upstream = next })
	version := r.host.Version()
	r.mu.Unlock()
	r.node.log.Emit(event.UpstreamChanged, event.F("upstream", next.ID), event.F("born", next.Born), event.F("sequence", next.Sequence),
		event.F("from", before.State), event.F("to", next.State), event.F("slots", next.Slots))
	if next.State == fleet.StateReady {
		return nil
	}
	return r.waitDurable(ctx, version)
}

// markLeaving records that an answer of an upstream process says that it leaves. Its
// heartbeats may say so later, or never.
func (r *record) markLeaving(u fleet.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.host.Upstream
	if known.ID != u.ID || known.Born != u.Born || known.State != fleet.StateReady {
		return
	}
	r.update(func(h *fleet.Host) { h.Upstream.State = fleet.StateLeaving })
}

// errNotDurable is returned for a change that neither the store nor a peer has yet.
var errNotDurable = errors.New("host: neither the store nor a peer has taken the change")

// waitDurable waits until the store has a version of the record. If the store does not save
// it in time, a peer that has handled it suffices. An open connection does not show that:
// the peer may be frozen or cut off.
func (r *record) waitDurable(ctx context.Context, version fleet.Version) error {
	ctx, cancel := context.WithTimeout(ctx, peerAckTimeout)
	defer cancel()
	if r.waitSaved(ctx, version, deliverAfter) {
		return nil
	}
	handled := r.node.peers.deliver(ctx, &link.StateUpdate{Hosts: []fleet.Host{r.current()}})
	if r.waitSaved(ctx, version, storeAckTimeout-deliverAfter) || <-handled {
		return nil
	}
	return errNotDurable
}

// InvalidHeartbeat implements platform.NodeHandler.
func (r *record) InvalidHeartbeat(err error) {
	r.node.log.Emit(event.HeartbeatRefused, event.F("error", err))
}

// Ready implements platform.NodeHandler.
func (r *record) Ready() bool { return r.node.ready() }

// isLearned reports whether the store or a peer has sent what is known of this host.
func (r *record) isLearned() bool {
	select {
	case <-r.learned.closed:
		return true
	default:
		return false
	}
}

// learnedFromStore closes learned. It is called when the store's records of this host's data
// centre have been merged, and logs what they say of the upstream the first time.
func (r *record) learnedFromStore() {
	if !r.isLearned() {
		h := r.current()
		r.node.log.Emit(event.OwnRecordRead, event.F("upstream", h.Upstream.ID), event.F("born", h.Upstream.Born), event.F("state", h.Upstream.State))
	}
	r.learned.done()
}

// waitLearned waits until learned is closed, for at most learnTimeout.
func (r *record) waitLearned(ctx context.Context) {
	select {
	case <-r.learned.closed:
	default:
		select {
		case <-r.learned.closed:
		case <-time.After(learnTimeout):
		case <-ctx.Done():
		}
	}
}

// waitSaved waits until the store has a version of the record and reports whether it does
// within d.
func (r *record) waitSaved(ctx context.Context, version fleet.Version, d time.Duration) bool {
	limit := time.NewTimer(d)
	defer limit.Stop()
	for {
		r.mu.Lock()
		saved, changed := r.saved, r.changed
		r.mu.Unlock()
		if !version.After(saved) {
			return true
		}
		select {
		case <-changed:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// forgetSaved discards what is known to be in the store, so that the record is written again.
func (r *record) forgetSaved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = fleet.Version{}
	r.signal()
	r.markDirty()
}

// markDirty wakes saveLoop.
func (r *record) markDirty() {
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

// learnFromStore merges the store's record of this host. A former process may have known
// more of the upstream than this one.
func (r *record) learnFromStore(h *fleet.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advanceSaved(h.Version())
	r.adoptFormer(*h)
}

// advanceSaved records a version of the record that the store has. The caller holds mu.
func (r *record) advanceSaved(v fleet.Version) {
	if v.After(r.saved) {
		r.saved = v
		r.signal()
	}
}

// noteSavedHosts advances saved if the own record is among those that the store has now.
func (r *record) noteSavedHosts(hosts []fleet.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range hosts {
		if hosts[i].Node == r.host.Node {
			r.advanceSaved(hosts[i].Version())
		}
	}
}

// noteSavedVersions advances saved if a peer has sent that the store has the own record.
func (r *record) noteSavedVersions(versions []fleet.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range versions {
		if v.Node == r.host.Node {
			r.advanceSaved(v)
		}
	}
}

// restore makes the record newer than a removal of this host that the store or a peer has,
// so that this host is listed again. The store's entry is gone then, which the next write
// detects. The removed record may be of a former process that knew that the upstream leaves.
func (r *record) restore(removal *fleet.Removal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if removal.Upstream != nil {
		r.adoptFormer(removal.Record(r.host))
	}
	if !removal.Covers(&r.host) || !r.hasActiveUpstream() {
		return
	}
	r.update(func(h *fleet.Host) {
		// The clock of this host may have stepped back since the removed record was written.
		h.Incarnation = max(h.Incarnation, removal.Incarnation)
		h.Change = max(h.Change, removal.Change)
	})
}

// hasActiveUpstream reports whether other nodes should know of the upstream. The caller
// holds mu.
func (r *record) hasActiveUpstream() bool {
	s := r.host.Upstream.State
	return s != fleet.StateNone && s != fleet.StateGone && !r.host.Stopping
}

// learnFromPeer merges what a peer knows of this host from a former process.
func (r *record) learnFromPeer(known fleet.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adoptFormer(known)
	r.learned.done()
}

// adoptFormer merges a record of this host that another node or the store has. It may say
// more of the upstream than this process knows: a former process wrote it, or it is a record
// of this process in which another node put what it knew from the former one. The caller
// holds mu.
func (r *record) adoptFormer(known fleet.Host) {
	more := fleet.Supersedes(known.Upstream, r.host.Upstream) && !r.hasUnknownStart()
	if known.Incarnation <= r.host.Incarnation && !more {
		return
	}
	r.node.log.Emit(event.PreviousRecordFound, event.F("incarnation", known.Incarnation), event.F("upstream", known.Upstream.ID),
		event.F("state", known.Upstream.State), event.F("known", r.host.Upstream.State))
	r.update(func(h *fleet.Host) {
		if known.Incarnation > h.Incarnation {
			// The clock of this host has stepped back since the former process started.
			h.Incarnation = known.Incarnation + 1
		}
		if more {
			h.Upstream = known.Upstream
		}
	})
}

// hasUnknownStart reports whether the upstream told this process that it is gone, and not when
// it had started. No other state of an upstream can be ordered before or after that one. The
// caller holds mu.
func (r *record) hasUnknownStart() bool {
	return r.host.Upstream.State == fleet.StateGone && r.host.Upstream.Born == 0
}

// announceStopping tells peers that this node stops.
func (r *record) announceStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.host.Stopping = true
	r.host.Change++
	r.node.table.Merge(r.host)
	r.node.peers.broadcastHost(r.host)
}

const (
	// ownWriteDelay is how long a node waits for the lead to save a changed record before
	// it writes the roster itself. leavingWriteDelay applies where the upstream waits for
	// the write. Both are spread at random up to twice as long.
	ownWriteDelay     = 3 * time.Second
	leavingWriteDelay = 200 * time.Millisecond
)

// saveLoop ensures that the store gets every change of the record: usually from the lead,
// and from this node if the lead takes too long.
func (r *record) saveLoop(ctx context.Context) {
	r.node.rosters.join(ctx)
	pause := retryMin
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.dirty:
		}
		for ctx.Err() == nil && !r.isSaved() {
			r.waitForLeadWrite(ctx)
			if r.isSaved() || r.canLeaveToLead() {
				break
			}
			if err := r.node.rosters.writeOwn(ctx); err == nil {
				continue
			}
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, max(retryMax, outagePause(r.node.table.Len())))
		}
		pause = retryMin
	}
}

// isSaved reports whether the store has the current version of the record.
func (r *record) isSaved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.host.Version()
	return !v.After(r.saved)
}

// canLeaveToLead reports whether this node need not check that the record is saved. The
// lead does not confirm writes of ready upstreams: nobody waits for them, and the next lead
// saves what this one has not.
func (r *record) canLeaveToLead() bool {
	return r.current().Upstream.State == fleet.StateReady && r.node.lead.isCovered(time.Now())
}

// waitForLeadWrite waits until the lead has saved the record or the delay is over.
func (r *record) waitForLeadWrite(ctx context.Context) {
	wait := ownWriteDelay
	if r.current().Upstream.State != fleet.StateReady {
		wait = leavingWriteDelay
	}
	limit := time.NewTimer(wait + rand.N(wait))
	defer limit.Stop()
	for !r.isSaved() {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// announceRemoval tells other nodes to remove this host if its upstream is gone.
func (r *record) announceRemoval() {
	h := r.current()
	if h.Upstream.State != fleet.StateGone {
		return
	}
	r.node.peers.broadcast(&link.StateUpdate{Removed: []fleet.Removal{h.Removal(time.Now().UnixMilli())}})
	r.node.log.Emit(event.HostWithdrawn, event.F("host", h.Node), event.F("incarnation", h.Incarnation), event.F("change", h.Change))
}
