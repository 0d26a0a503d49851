package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragondrum/tarragondrum/pkg/event"
	"github.com/tarragondrum/tarragondrum/pkg/fleet"
	"github.com/tarragondrum/tarragondrum/pkg/link"
	"github.com/tarragondrum/tarragondrum/pkg/model"
	"github.com/tarragondrum/tarragondrum/platform"
)

const (
	// writeInterval is the least time between two writes of rosters, which collects changes
	// into one write. urgentWriteInterval applies where an upstream waits, for at most
	// storeAckTimeout, until the store knows that it leaves.
	writeInterval       = time.Second
	urgentWriteInterval = 60 * time.Millisecond
	// maxJoinPause bounds the pause between two attempts of a node that knows no other host
	// yet, since all hosts may start during a store outage.
	maxJoinPause = 3 * time.Second
	// slowLinkJoinDelay is how long a host with a slow link waits at the first start of the
	// fleet, spread at random up to twice as long, so that others create the roster. All
	// hosts start within 0.3 s.
	slowLinkJoinDelay = 500 * time.Millisecond
)

// rosters keeps the records of hosts in the store, one object for each data centre. The
// lead writes them for all hosts.
type rosters struct {
	node *Node
	// joined is closed when the store has returned the roster of the own data centre.
	joined once
	// losses counts the calls of forgetStored, and readAfter is the value that it had before
	// all rosters were last read.
	losses, readAfter atomic.Uint64
	// changes counts the changes of stored.
	changes atomic.Uint64

	mu sync.Mutex
	// stored is the last known state of the store, by data centre.
	stored map[string]*storedRoster
}

// storedRoster is the last known state of one roster in the store.
type storedRoster struct {
	revision model.Revision
	hosts    map[string]fleet.Version
	departed []fleet.Removal
}

func newRosters(n *Node) *rosters {
	return &rosters{node: n, joined: newOnce(), stored: make(map[string]*storedRoster)}
}

// join reads the roster of this host's data centre and creates it if there is none. The
// roster has the other hosts and what a former process of this host knew. It retries until
// the store answers.
func (r *rosters) join(ctx context.Context) {
	r.node.table.Merge(r.node.record.current())
	if s := r.node.settings.Load(); s.Node.FirstStart && s.Node.LinkMbps < slowLinkMbps {
		sleep(ctx, slowLinkJoinDelay+rand.N(slowLinkJoinDelay))
	}
	pause := retryMin
	for ctx.Err() == nil {
		err := r.tryJoin(ctx)
		if err == nil {
			r.node.peers.updateConnections()
			r.joined.done()
			return
		}
		r.node.log.Emit(event.RosterReadFailed, event.F("dataCentre", r.node.record.current().DataCentre), event.F("error", err))
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, max(maxJoinPause, outagePause(r.node.table.Len())))
	}
}

// tryJoin makes one attempt to read or create the roster.
func (r *rosters) tryJoin(ctx context.Context) error {
	own := r.node.record.current()
	roster, err := r.node.store().Roster(ctx, own.DataCentre)
	if errors.Is(err, platform.ErrNotFound) {
		roster, err = r.node.store().SaveRoster(ctx, own.DataCentre, []fleet.Host{own}, model.Revision{})
		if errors.Is(err, platform.ErrConflict) && roster.Revision.Number > 0 {
			err = nil
		}
	}
	if err == nil {
		r.mergeRoster(&roster)
	}
	return err
}

// forgetStored discards what is known of the rosters in the store.
func (r *rosters) forgetStored() {
	r.mu.Lock()
	clear(r.stored)
	r.mu.Unlock()
	r.losses.Add(1)
	r.changes.Add(1)
}

// mustReadAll reports whether the rosters have not been read since forgetStored.
func (r *rosters) mustReadAll() bool { return r.readAfter.Load() < r.losses.Load() }

// readAll reads the rosters of all data centres.
func (r *rosters) readAll(ctx context.Context, mayBeStale bool) error {
	losses := r.losses.Load()
	all, err := r.node.store().Rosters(ctx, mayBeStale)
	if err != nil {
		return err
	}
	for i := range all {
		r.mergeRoster(&all[i])
	}
	if !mayBeStale {
		r.readAfter.Store(losses)
		r.node.record.learnedFromStore()
	}
	return nil
}

// mergeRoster merges the records of a roster and removes the hosts that it no longer has.
func (r *rosters) mergeRoster(roster *platform.Roster) {
	for _, err := range roster.DecodeErrors {
		r.node.log.Emit(event.StoreEntryUnreadable, event.F("dataCentre", roster.DataCentre), event.F("error", err))
	}
	if r.isOutdated(roster) {
		return
	}
	n := r.node
	self := n.record.current()
	for _, d := range roster.Departed {
		n.removeAndForward(d, "store", "")
	}
	for i := range roster.Hosts {
		if h := &roster.Hosts[i]; h.Node == self.Node {
			n.record.learnFromStore(h)
		}
	}
	if roster.DataCentre == self.DataCentre {
		n.record.learnedFromStore()
	}
	// Merge the records before the revision is recorded: a draft based on that revision
	// must not lack any of them.
	n.mergeStoreHosts(roster.Hosts, "store")
	gone := r.recordStored(roster)
	if len(roster.DecodeErrors) > 0 {
		return // a missing host may be among the unreadable entries
	}
	for _, v := range gone {
		n.removeAndForward(v.Removal(), "store", "")
	}
}

// isOutdated reports whether a newer revision of a roster is known.
func (r *rosters) isOutdated(roster *platform.Roster) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.stored[roster.DataCentre]
	return before != nil && roster.Revision.Before(before.revision)
}

// recordStored records the state of the store, unless a newer one is known, and returns the
// hosts that were removed since the last one. Hosts that are missing after the store was
// restored were not removed: the older copy does not have them.
func (r *rosters) recordStored(roster *platform.Roster) (gone []fleet.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.stored[roster.DataCentre]
	if before != nil && roster.Revision.Before(before.revision) {
		return nil
	}
	now := &storedRoster{revision: roster.Revision, hosts: make(map[string]fleet.Version, len(roster.Hosts)), departed: roster.Departed}
	for i := range roster.Hosts {
		now.hosts[roster.Hosts[i].Node] = roster.Hosts[i].Version()
	}
	r.stored[roster.DataCentre] = now
	r.changes.Add(1)
	if before == nil || before.revision == now.revision || before.revision.Epoch != now.revision.Epoch {
		return nil
	}
	for node, v := range before.hosts {
		if _, there := now.hosts[node]; !there {
			gone = append(gone, v)
		}
	}
	return gone
}

// draft is a roster to be written.
type draft struct {
	dataCentre string
	revision   model.Revision
	hosts      []fleet.Host
	// departed lists the removed hosts whose upstreams were leaving or gone.
	departed []fleet.Removal
	// awaited lists the records of upstreams that leave or are gone: their hosts wait until
	// the store has them.
	awaited []fleet.Version
}

// drafts returns the rosters that differ from the last known state of the store.
func (r *rosters) drafts() []draft {
	stored := r.copyStored() // before the table is read, see mergeRoster
	byCentre := make(map[string][]fleet.Host)
	for centre := range stored {
		byCentre[centre] = nil
	}
	for _, h := range r.node.table.All() {
		byCentre[h.DataCentre] = append(byCentre[h.DataCentre], h)
	}
	var list []draft
	for centre, hosts := range byCentre {
		known := stored[centre]
		d := draft{dataCentre: centre, revision: known.revision, hosts: hosts, departed: r.node.table.Departures(centre)}
		if d.differs(&known) {
			list = append(list, d)
		}
	}
	return list
}

// copyStored copies the map of the last known state of the store. The rosters in it are
// never changed.
func (r *rosters) copyStored() map[string]storedRoster {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored := make(map[string]storedRoster, len(r.stored))
	for centre, roster := range r.stored {
		stored[centre] = *roster
	}
	return stored
}

// differs reports whether the store lacks a record or a departure, or has one of a host that
// was removed or is back. It adds the records whose hosts wait for the store to awaited.
func (d *draft) differs(stored *storedRoster) bool {
	differs := !slices.EqualFunc(d.departed, stored.departed, fleet.Removal.SameDeparture)
	known := 0
	for i := range d.hosts {
		h := &d.hosts[i]
		v := h.Version()
		there, ok := stored.hosts[h.Node]
		if ok {
			known++
		}
		if ok && !v.After(there) {
			continue
		}
		differs = true
		if h.Upstream.IsLeavingOrGone() {
			d.awaited = append(d.awaited, v)
		}
	}
	return differs || known < len(stored.hosts)
}

// write saves a roster and tells the hosts that wait for it. After a conflict it merges the
// stored roster, and the next draft starts from that. A roster that is not in the store, or
// whose revision is of an earlier epoch, is created by the next draft, or conflicts with the
// one in the store.
func (r *rosters) write(ctx context.Context, d *draft) error {
	saved, err := r.node.store().SaveRoster(ctx, d.dataCentre, d.hosts, d.revision, d.departed...)
	switch {
	case err == nil:
		r.recordStored(&platform.Roster{DataCentre: d.dataCentre, Revision: saved.Revision, Hosts: d.hosts, Departed: d.departed})
		r.node.lead.skipOwnWrite(saved.Revision)
		r.node.log.Emit(event.RosterSaved, event.F("dataCentre", d.dataCentre), event.F("revision", saved.Revision),
			event.F("hosts", len(d.hosts)), event.F("departed", len(d.departed)), event.F("awaited", len(d.awaited)))
		r.node.record.noteSavedHosts(d.hosts)
		if len(d.awaited) > 0 {
			r.node.peers.broadcast(&link.StateUpdate{Persisted: d.awaited})
		}
		return nil
	case errors.Is(err, platform.ErrConflict) && saved.Revision.Number > 0:
		r.mergeRoster(&saved) // it may be the result of an earlier write whose answer was lost
		r.node.record.noteSavedHosts(saved.Hosts)
		return nil
	case errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrRestored):
		r.mu.Lock()
		delete(r.stored, d.dataCentre)
		r.mu.Unlock()
		return nil
	}
	r.node.log.Emit(event.RosterSaveFailed, event.F("dataCentre", d.dataCentre), event.F("revision", d.revision), event.F("error", err))
	return err
}

// generation identifies a state of the table of hosts and of what is known of the store.
type generation struct{ table, stored uint64 }

// generation returns the current state.
func (r *rosters) generation() generation {
	return generation{table: r.node.table.Generation(), stored: r.changes.Load()}
}

// writeLoop writes the rosters that differ from the store while this node leads.
func (r *rosters) writeLoop(ctx context.Context) {
	var wroteAt time.Time
	var equal generation // the last state in which no roster differed from the store
	for ctx.Err() == nil {
		sleep(ctx, urgentWriteInterval)
		now := r.generation()
		if now == equal || r.mustReadAll() || !r.node.lead.reachedStoreRecently(time.Now()) {
			continue
		}
		drafts := r.drafts()
		if len(drafts) == 0 {
			equal = now
			continue
		}
		isUrgent := slices.ContainsFunc(drafts, func(d draft) bool { return len(d.awaited) > 0 })
		if !isUrgent && time.Since(wroteAt) < writeInterval {
			continue
		}
		for i := range drafts {
			_ = r.write(ctx, &drafts[i]) // it has logged the error; the roster still differs
		}
		wroteAt = time.Now()
	}
}

// writeOwn writes the roster of this host's data centre where the lead has not done so.
func (r *rosters) writeOwn(ctx context.Context) error {
	centre := r.node.record.current().DataCentre
	if _, known := r.copyStored()[centre]; !known {
		if err := r.tryJoin(ctx); err != nil {
			return err
		}
	}
	for _, d := range r.drafts() {
		if d.dataCentre == centre {
			return r.write(ctx, &d)
		}
	}
	return nil
}
