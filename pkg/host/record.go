package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/platform"
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
	// revision is the store's one of this host's entry; 0 when there is none.
	revision uint64
	// saved is the change of the record that the store has.
	saved int64
	// changed is closed and replaced whenever saved or host change.
	changed chan struct{}
	// learned is closed once the store has told what it knows of this host.
	learned     chan struct{}
	learnedOnce sync.Once
	dirty       chan struct{}
}

func newRecord(n *Node) *record {
	s := n.settings.Load()
	return &record{
		node: n,
		host: fleet.Host{
			Node: s.Node.ID, DataCentre: s.Node.DataCentre, Region: s.Node.Region, PeerAddress: s.PeerAddress(),
			Incarnation: time.Now().UnixMilli(), Size: fleet.Size(s.Node.CPUShare, s.Node.LinkMbps),
		},
		changed: make(chan struct{}),
		learned: make(chan struct{}),
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
	next, verdict := fleet.Apply(before, b)
	switch verdict {
	case fleet.Late:
		r.mu.Unlock()
		r.node.log.Emit(event.UpstreamOldBeat, event.F("upstream", b.ID), event.F("born", b.Born), event.F("sequence", b.Sequence),
			event.F("state", b.State), event.F("removed", b.Removed), event.F("known", before.ID), event.F("knownSequence", before.Sequence))
		return nil
	case fleet.Unchanged:
		r.host.Upstream = next
		change, saved := r.host.Change, r.saved
		r.mu.Unlock()
		if next.State != fleet.StateReady && saved < change {
			return r.waitKept(ctx, change)
		}
		return nil
	}
	r.update(func(h *fleet.Host) { h.Upstream = next })
	change := r.host.Change
	r.mu.Unlock()
	r.node.log.Emit(event.UpstreamBeat, event.F("upstream", next.ID), event.F("born", next.Born), event.F("sequence", next.Sequence),
		event.F("from", before.State), event.F("to", next.State), event.F("slots", next.Slots))
	if next.State == fleet.StateReady {
		return nil
	}
	return r.waitKept(ctx, change)
}

// errNotKept is returned for a change that nobody else knows of yet.
var errNotKept = errors.New("host: neither the store nor a peer has taken the change")

// waitKept waits until the store has a change. If the store does not take it in
// time, it is enough that peers were told.
func (r *record) waitKept(ctx context.Context, change int64) error {
	if r.waitSaved(ctx, change) || r.node.peers.connected() > 0 {
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

func (r *record) waitLearned(ctx context.Context) {
	select {
	case <-r.learned:
	default:
		select {
		case <-r.learned:
		case <-time.After(learnWait):
		case <-ctx.Done():
		}
	}
}

func (r *record) waitSaved(ctx context.Context, change int64) bool {
	limit := time.NewTimer(ackWait)
	defer limit.Stop()
	for {
		r.mu.Lock()
		saved, changed := r.saved, r.changed
		r.mu.Unlock()
		if saved >= change {
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

// learn takes in what the store has of this host, if anything: a former process
// may have known more of the upstream than this one.
func (r *record) learn(entry *platform.HostEntry) {
	defer r.learnedOnce.Do(func() { close(r.learned) })
	if entry == nil || entry.Err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry.Deleted {
		if entry.Revision >= r.revision && r.isAnnounced() {
			r.revision, r.saved = 0, 0
			r.update(func(*fleet.Host) {})
		}
		return
	}
	r.revision = max(r.revision, entry.Revision)
	r.adopt(entry.Host)
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

// keep writes the record to the store whenever it changes.
func (r *record) keep(ctx context.Context) {
	pause := retryMin
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.dirty:
		}
		for ctx.Err() == nil && !r.save(ctx) {
			select {
			case <-time.After(pause/2 + rand.N(pause)):
			case <-ctx.Done():
			}
			pause = min(2*pause, retryMax)
		}
		pause = retryMin
	}
}

// save writes the record once and reports whether the store has it now.
func (r *record) save(ctx context.Context) bool {
	r.mu.Lock()
	h, revision, saved := r.host, r.revision, r.saved
	r.mu.Unlock()
	if saved >= h.Change {
		return true
	}
	entry, err := r.node.store().SaveHost(ctx, h, revision)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.revision, r.saved = entry.Revision, max(r.saved, h.Change)
		r.signal()
		r.node.log.Emit(event.StoreSaved, event.F("change", h.Change), event.F("revision", entry.Revision), event.F("state", h.Upstream.State))
		return r.saved >= r.host.Change
	case errors.Is(err, platform.ErrConflict) && entry.Revision > 0:
		r.conflict(&entry, &h)
	case errors.Is(err, platform.ErrNotFound):
		r.revision = 0
	default:
		r.node.log.Emit(event.StoreSaveFail, event.F("change", h.Change), event.F("error", err))
		return false
	}
	return r.saved >= r.host.Change
}

// conflict takes in the entry that lies in the store instead. The caller holds mu.
func (r *record) conflict(entry *platform.HostEntry, sent *fleet.Host) {
	r.revision = entry.Revision
	if entry.Err != nil {
		return
	}
	known := entry.Host
	switch {
	case known.Incarnation == sent.Incarnation && known.Change >= sent.Change:
		// An earlier write whose answer was lost was done.
		r.saved = max(r.saved, known.Change)
		r.signal()
	case known.Incarnation >= r.host.Incarnation && known.Incarnation != sent.Incarnation:
		r.host.Incarnation = known.Incarnation + 1
		r.host.Change++
		r.node.table.Merge(r.host)
	}
}

// withdraw removes the entry of a host whose upstream has ended.
func (r *record) withdraw(ctx context.Context) {
	r.mu.Lock()
	revision, gone := r.revision, r.host.Upstream.State == fleet.StateGone
	name := r.host.Node
	r.mu.Unlock()
	if !gone || revision == 0 {
		return
	}
	if err := r.node.store().RemoveHost(ctx, name, revision); err != nil {
		r.node.log.Emit(event.StoreSaveFail, event.F("remove", name), event.F("error", err))
		return
	}
	r.node.log.Emit(event.StoreRemoved, event.F("host", name), event.F("revision", revision))
}
