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
	// ackWait is how long a heartbeat that says that the upstream leaves waits for
	// the store, so that a restarted node knows of it. The upstream waits a second.
	ackWait = 700 * time.Millisecond
	// learnWait is how long the first heartbeats wait for what the store knows of
	// the upstream.
	learnWait = 600 * time.Millisecond
	// retryMin and retryMax bound the pause after a call that the store refused or
	// did not answer.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
)

// record keeps this host's own record: it takes in the upstream's heartbeats,
// tells peers and the store, and knows what the store has.
type record struct {
	node *Node

	mu   sync.Mutex
	host fleet.Host
	// saved is the newest state of the record that the store has.
	saved fleet.Version
	// changed is closed and replaced whenever saved or host change.
	changed chan struct{}
	// learned tells that the store or a peer has told what is known of this host.
	learned once
	// first is the first heartbeat that came before that.
	first firstBeat
	dirty chan struct{}
}

// once is a channel that is closed once.
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

func (r *record) current() fleet.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host
}

func (r *record) incarnation() int64 { return r.current().Incarnation }

// update changes the record and tells everybody. The caller holds mu.
func (r *record) update(change func(h *fleet.Host)) {
	change(&r.host)
	r.host.Change++
	h := r.host
	r.node.table.Merge(h)
	r.node.intake.SetUpstream(h.Upstream)
	r.node.peers.broadcastHost(h)
	r.signal()
	select {
	case r.dirty <- struct{}{}:
	default:
	}
}

// signal wakes those that wait for a change. The caller holds mu.
func (r *record) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Beat implements platform.Listener. That the upstream leaves is
// acknowledged once a restarted node would learn of it, from the store or a peer.
func (r *record) Beat(ctx context.Context, b fleet.Beat) error {
	r.waitLearned(ctx)
	r.mu.Lock()
	before := r.host.Upstream
	if before.State == fleet.StateNone && b.State == fleet.StateReady && !r.isLearned() && !r.first.confirms(time.Now(), b) {
		r.mu.Unlock()
		r.node.log.Emit(event.UpstreamUnsure, event.F("upstream", b.ID), event.F("born", b.Born), event.F("sequence", b.Sequence))
		return nil
	}
	next, verdict := fleet.Apply(before, b)
	switch verdict {
	case fleet.Late:
		r.mu.Unlock()
		r.node.log.Emit(event.UpstreamOldBeat, event.F("upstream", b.ID), event.F("born", b.Born), event.F("sequence", b.Sequence),
			event.F("state", b.State), event.F("removed", b.Removed), event.F("known", before.ID), event.F("knownSequence", before.Sequence))
		return nil
	case fleet.Unchanged:
		r.host.Upstream = next
		version := r.host.Version()
		isSaved := !version.After(r.saved)
		r.mu.Unlock()
		if next.State != fleet.StateReady && !isSaved {
			return r.waitKept(ctx, version)
		}
		return nil
	}
	r.update(func(h *fleet.Host) { h.Upstream = next })
	version := r.host.Version()
	r.mu.Unlock()
	r.node.log.Emit(event.UpstreamBeat, event.F("upstream", next.ID), event.F("born", next.Born), event.F("sequence", next.Sequence),
		event.F("from", before.State), event.F("to", next.State), event.F("slots", next.Slots))
	if next.State == fleet.StateReady {
		return nil
	}
	return r.waitKept(ctx, version)
}

// errNotKept is returned for a change that nobody else knows of yet.
var errNotKept = errors.New("host: neither the store nor a peer has taken the change")

// waitKept waits until the store has a state of the record. If the store does not take
// it in time, it is enough that peers were told.
func (r *record) waitKept(ctx context.Context, version fleet.Version) error {
	if r.waitSaved(ctx, version) || r.node.peers.connected() > 0 {
		return nil
	}
	return errNotKept
}

// BadBeat implements platform.Listener.
func (r *record) BadBeat(err error) {
	r.node.log.Emit(event.UpstreamBadBeat, event.F("error", err))
}

// Ready implements platform.Listener.
func (r *record) Ready() bool { return r.node.ready() }

func (r *record) isLearned() bool {
	select {
	case <-r.learned.closed:
		return true
	default:
		return false
	}
}

func (r *record) waitLearned(ctx context.Context) {
	select {
	case <-r.learned.closed:
	default:
		select {
		case <-r.learned.closed:
		case <-time.After(learnWait):
		case <-ctx.Done():
		}
	}
}

func (r *record) waitSaved(ctx context.Context, version fleet.Version) bool {
	limit := time.NewTimer(ackWait)
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

// learn takes in what the store has of this host: a former process may have known more
// of the upstream than this one.
func (r *record) learn(h *fleet.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(h.Version())
	r.adopt(*h)
}

// note notes a state of the record that the store has. The caller holds mu.
func (r *record) note(v fleet.Version) {
	if v.After(r.saved) {
		r.saved = v
		r.signal()
	}
}

// noteSaved takes in records that the store has now.
func (r *record) noteSaved(hosts []fleet.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range hosts {
		if hosts[i].Node == r.host.Node {
			r.note(hosts[i].Version())
		}
	}
}

// takeSaved takes in word of records that the store has now.
func (r *record) takeSaved(versions []fleet.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range versions {
		if v.Node == r.host.Node {
			r.note(v)
		}
	}
}

// restore writes the record anew after a peer said that it was taken away, so that
// it is newer than the removal. The store's entry is gone then, which the next
// write finds.
func (r *record) restore(removal *fleet.Removal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !removal.Covers(&r.host) || !r.isAnnounced() {
		return
	}
	r.update(func(h *fleet.Host) {
		// The clock of this host may have stepped back since the removed record.
		h.Incarnation = max(h.Incarnation, removal.Incarnation)
		h.Change = max(h.Change, removal.Change)
	})
}

// isAnnounced reports whether others should know of the upstream. The caller
// holds mu.
func (r *record) isAnnounced() bool {
	s := r.host.Upstream.State
	return s != fleet.StateNone && s != fleet.StateGone && !r.host.Stopping
}

// learnFromPeer takes in what a peer knows of this host, if a former process told it.
func (r *record) learnFromPeer(known fleet.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopt(known)
	r.learned.done()
}

// adopt takes in a record that a former process of this host wrote. It may say
// more of the upstream than this process has heard. The caller holds mu.
func (r *record) adopt(known fleet.Host) {
	if known.Incarnation == r.host.Incarnation {
		return // of this process
	}
	more := fleet.Supersedes(known.Upstream, r.host.Upstream)
	if known.Incarnation < r.host.Incarnation && !more {
		return
	}
	r.node.log.Emit(event.RecordFound, event.F("incarnation", known.Incarnation), event.F("upstream", known.Upstream.ID),
		event.F("state", known.Upstream.State), event.F("known", r.host.Upstream.State))
	r.update(func(h *fleet.Host) {
		// The clock of this host may have stepped back since the former process.
		h.Incarnation = max(h.Incarnation, known.Incarnation+1)
		if more {
			h.Upstream = known.Upstream
		}
	})
}

// stopping tells peers that this node stops.
func (r *record) stopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.host.Stopping = true
	r.host.Change++
	r.node.table.Merge(r.host)
	r.node.peers.broadcastHost(r.host)
}

const (
	// ownWait is how long a node leaves it to the one that reads the store to save a
	// changed record, and leavingWait where its upstream waits for that. Both are spread
	// at random up to twice as long.
	ownWait     = 3 * time.Second
	leavingWait = 200 * time.Millisecond
)

// keep sees to it that the store gets the record whenever it changes: usually from the
// node that reads the store, and from this one if that takes too long.
func (r *record) keep(ctx context.Context) {
	r.node.rosters.join(ctx)
	pause := retryMin
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.dirty:
		}
		for ctx.Err() == nil && !r.isSaved() {
			r.waitForOther(ctx)
			if r.isSaved() || r.leftToLead() {
				break
			}
			if err := r.node.rosters.saveOwn(ctx); err == nil {
				continue
			}
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, max(retryMax, awayPause(r.node.table.Len())))
		}
		pause = retryMin
	}
}

// isSaved reports whether the store has the record as it is.
func (r *record) isSaved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.host.Version()
	return !v.After(r.saved)
}

// leftToLead reports whether the record can be left to the node that reads the store,
// which does not tell when it has saved it: nobody waits for it, and whoever leads next
// saves what is not.
func (r *record) leftToLead() bool {
	return r.current().Upstream.State == fleet.StateReady && r.node.lead.isCovered(time.Now())
}

// waitForOther waits for the node that reads the store to save the record.
func (r *record) waitForOther(ctx context.Context) {
	wait := ownWait
	if r.current().Upstream.State != fleet.StateReady {
		wait = leavingWait
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

// withdraw tells others to forget a host whose upstream has ended.
func (r *record) withdraw() {
	h := r.current()
	if h.Upstream.State != fleet.StateGone {
		return
	}
	v := h.Version()
	r.node.peers.broadcast(&link.News{Removed: []fleet.Removal{fleet.Removal(v)}})
	r.node.log.Emit(event.HostWithdrawn, event.F("host", h.Node), event.F("incarnation", h.Incarnation), event.F("change", h.Change))
}
